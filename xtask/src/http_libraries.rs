//! Compares a `rouille` server with the server of the `caller` crate under half-open connections.
//!
//! Each server runs in a process of its own, so that its threads and memory can be read.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use caller::{CallerConfig, CallerHandler, CallerRequest, PendingAnswer};
use eyre::{Result, bail};
use hyper::http::Response;
use model::{RequestId, ResultCode};
use payload::{BodyLimits, Payload};
use standins::process::{free_addrs, wait_until};
use tokio::sync::watch;

use crate::load::status_field;

/// Numbers of half-open connections.
const HALF_OPEN: [usize; 2] = [400, 1200];

/// Idle timeout of the `caller` server.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after which half-open connections should have been closed.
const CLOSED_WITHIN: Duration = Duration::from_secs(5);

/// A normal call fails after this time.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

const READY_WITHIN: Duration = Duration::from_secs(5);

/// Runs the comparison, or with a server's name and address, that server.
pub fn run(server: Option<&(String, SocketAddr)>) -> Result<()> {
    match server {
        Some((name, addr)) if name == "rouille" => serve_rouille(*addr),
        Some((_, addr)) => serve_caller(*addr),
        None => compare(),
    }
}

fn compare() -> Result<()> {
    println!(
        "| server | half-open | threads | VmRSS, KB | normal call | still open after {} s |\n\
         |---|---|---|---|---|---|",
        CLOSED_WITHIN.as_secs()
    );
    for name in ["rouille", "caller"] {
        for count in HALF_OPEN {
            println!("{}", measure(name, count)?);
        }
    }
    Ok(())
}

fn measure(name: &str, count: usize) -> Result<String> {
    let [addr] = free_addrs()?;
    let server = Server::start(name, addr)?;
    if !wait_until(READY_WITHIN, || TcpStream::connect(addr).is_ok()) {
        bail!("the server {name} did not start");
    }
    let mut open = Vec::with_capacity(count);
    for _ in 0..count {
        let mut stream = TcpStream::connect_timeout(&addr, CALL_TIMEOUT)?;
        stream.write_all(b"GET / HTTP/1.1\r\nhost: half")?;
        stream.set_nonblocking(true)?;
        open.push(stream);
    }
    std::thread::sleep(Duration::from_millis(500));
    let pid = server.0.id();
    let threads = status_field(pid, "Threads:")?;
    let memory = status_field(pid, "VmRSS:")?;
    let call = normal_call(addr);
    std::thread::sleep(CLOSED_WITHIN);
    // An open connection has nothing to read; a closed one reads as ended.
    let is_open = |stream: &&TcpStream| {
        let peeked = stream.peek(&mut [0; 1]);
        peeked.is_err_and(|err| err.kind() == std::io::ErrorKind::WouldBlock)
    };
    let left = open.iter().filter(is_open).count();
    Ok(format!("| {name} | {count} | {threads} | {memory} | {call} | {left} |"))
}

fn normal_call(addr: SocketAddr) -> String {
    let agent: ureq::Agent =
        ureq::Agent::config_builder().timeout_global(Some(CALL_TIMEOUT)).build().into();
    let started = Instant::now();
    match agent.get(format!("http://{addr}/")).call() {
        Ok(_) => format!("served in {} µs", started.elapsed().as_micros()),
        Err(err) => format!("not served: {err}"),
    }
}

/// A server process, ended when it is dropped.
struct Server(Child);

impl Server {
    fn start(name: &str, addr: SocketAddr) -> Result<Server> {
        let child = Command::new(std::env::current_exe()?)
            .args(["http-libraries", "--server", name, "--listen", &addr.to_string()])
            .stdin(Stdio::null())
            .spawn()?;
        Ok(Server(child))
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn serve_rouille(addr: SocketAddr) -> Result<()> {
    let server = rouille::Server::new(addr, |_| rouille::Response::text("ok"));
    let Ok(server) = server else { bail!("rouille can't listen on {addr}") };
    server.run();
    Ok(())
}

struct Answering;

impl CallerHandler for Answering {
    fn handle(&self, _: CallerRequest) -> PendingAnswer {
        Box::pin(async { Response::new(Payload::Full("ok".into())) })
    }

    fn refused(&self, _: &RequestId, _: ResultCode) {}
}

fn serve_caller(addr: SocketAddr) -> Result<()> {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    runtime.block_on(async {
        let listener = tokio::net::TcpListener::bind(addr).await?;
        let cfg = CallerConfig {
            max_connections: 4096,
            max_head_bytes: 16 * 1024,
            idle_timeout: IDLE_TIMEOUT,
            head_timeout: None,
            body: BodyLimits { stall_timeout: IDLE_TIMEOUT, max_bytes: 1 << 20 },
            names: model::HeaderNames::NATIVE,
        };
        let (_stop, stopped) = watch::channel(false);
        caller::serve(listener, cfg, Arc::new(Answering), stopped).await;
        Ok(())
    })
}
