//! Stand-in of an upstream as a process of its own.

use std::net::SocketAddr;

use bpaf::{Parser, construct, long};
use model::{Endpoint, EndpointName, EndpointState, Labels, ServiceName, Slots};
use standins::upstream::{Behaviour, UpstreamStandin};

#[derive(Debug, Clone)]
struct Options {
    listen: SocketAddr,
    announce_to: Option<SocketAddr>,
    name: EndpointName,
    service: ServiceName,
    labels: Vec<String>,
    slots: Slots,
    service_ms: u64,
}

fn main() -> eyre::Result<()> {
    let options = options().run();
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    runtime.block_on(run(options))
}

async fn run(options: Options) -> eyre::Result<()> {
    let mut labels = Labels::new();
    for label in &options.labels {
        let (key, value) = label.split_once('=').unwrap_or((label, ""));
        labels.insert(key.into(), value.into());
    }
    let endpoint = Endpoint {
        name: options.name,
        service: options.service,
        labels,
        addr: options.listen,
        slots: options.slots,
        state: EndpointState::Ready,
        load: 0,
    };
    let behaviour = Behaviour { service_ms: options.service_ms, ..Behaviour::default() };
    let standin =
        UpstreamStandin::start(options.listen, endpoint, options.announce_to, behaviour).await?;
    println!("listening on {}", standin.addr);
    std::future::pending::<()>().await;
    Ok(())
}

fn options() -> bpaf::OptionParser<Options> {
    let listen = long("listen").help("Address to listen on").argument("ADDR");
    let announce_to =
        long("announce-to").help("Where the node takes announcements").argument("ADDR").optional();
    let name = long("name").help("Name of the endpoint").argument("NAME");
    let service = long("service").help("Service of the endpoint").argument("NAME");
    let labels = long("label").help("Label, as key=value").argument("LABEL").many();
    let slots = long("slots").help("Calls that run at once").argument("N").fallback(Slots(3));
    let service_ms = long("service-ms")
        .help("Time that a call runs, in milliseconds")
        .argument("MS")
        .fallback(0);
    construct!(Options { listen, announce_to, name, service, labels, slots, service_ms })
        .to_options()
        .descr("Stand-in of an upstream, for tests and the demo")
}
