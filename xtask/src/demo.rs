//! Starts a small fleet as processes, sends requests through it and says what happened to each.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

use eyre::{Result, WrapErr, ensure};
use standins::process::{
    CREDENTIAL, NodeOptions, NodeProcess, Process, Signal, TempDir, free_addrs, wait_until,
};

/// Time for the fleet to be ready.
const READY_WITHIN: Duration = Duration::from_secs(30);

/// Time for an announced endpoint to be usable everywhere.
const SETTLE_WITHIN: Duration = Duration::from_secs(15);

/// Failure domains of the demo, with one node each.
const DOMAINS: [&str; 3] = ["mid-a", "mid-b", "mid-c"];

/// Where the built programs are.
pub struct Programs {
    product: PathBuf,
    platform: PathBuf,
    upstream: PathBuf,
}

impl Programs {
    /// Builds the product and the stand-ins.
    pub fn build() -> Result<Programs> {
        println!("building the product and the stand-ins (release)");
        let status = Command::new(env!("CARGO"))
            .args(["build", "--release", "--locked", "-p", "zinniacross", "-p", "standins"])
            .status()?;
        ensure!(status.success(), "the build failed: {status}");
        let target = std::env::var_os("CARGO_TARGET_DIR").map(PathBuf::from);
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
        let dir = target.unwrap_or_else(|| root.join("target")).join("release");
        Ok(Programs {
            product: dir.join("zinniacross"),
            platform: dir.join("standin-platform"),
            upstream: dir.join("standin-upstream"),
        })
    }
}

/// A running fleet of the demo.
pub struct Fleet {
    programs: Programs,
    dir: TempDir,
    platform: SocketAddr,
    /// The nodes, one for each domain.
    pub nodes: Vec<NodeProcess>,
    upstreams: Vec<Process>,
    _platform: Process,
}

impl Fleet {
    /// Starts the platform stand-in and `nodes` nodes.
    pub fn start(programs: Programs, nodes: usize, extra: &str) -> Result<Fleet> {
        let dir = TempDir::new("demo")?;
        let [platform] = free_addrs()?;
        let log = dir.path().join("platform.log");
        let listen = platform.to_string();
        let process = Process::start(&programs.platform, &["--listen", &listen], &log)?;
        let mut fleet = Fleet {
            programs,
            dir,
            platform,
            nodes: Vec::new(),
            upstreams: Vec::new(),
            _platform: process,
        };
        println!("started the platform stand-in on {platform}");
        for index in 0..nodes {
            fleet.start_node(index, extra)?;
        }
        for node in &fleet.nodes {
            node.wait_ready(READY_WITHIN).wrap_err("a node did not become ready")?;
        }
        println!("{nodes} nodes are ready");
        Ok(fleet)
    }

    fn start_node(&mut self, index: usize, extra: &str) -> Result<()> {
        let domain = DOMAINS[index % DOMAINS.len()];
        let options = NodeOptions {
            name: format!("node-{}", index + 1),
            domain: domain.to_owned(),
            platform: format!("http://{}", self.platform),
            advertise: None,
            peer: None,
            seeds: Vec::new(),
            extra: extra.to_owned(),
        };
        let node = NodeProcess::start(&self.programs.product, self.dir.path(), &options)?;
        println!("started {} in {domain} (process {})", options.name, node.process.id());
        self.nodes.push(node);
        Ok(())
    }

    /// Starts an upstream that announces itself to a node.
    pub fn start_upstream(&mut self, name: &str, node: usize, args: &[&str]) -> Result<SocketAddr> {
        let [addr] = free_addrs()?;
        let (listen, announce) = (addr.to_string(), self.nodes[node].announce.to_string());
        let log = self.dir.path().join(format!("{name}.log"));
        let mut all = vec!["--listen", &listen, "--announce-to", &announce, "--name", name];
        all.extend(args);
        self.upstreams.push(Process::start(&self.programs.upstream, &all, &log)?);
        println!("started upstream {name} beside node-{}", node + 1);
        Ok(addr)
    }

    /// Runs an operator command and returns its output.
    pub fn operate(&self, args: &[&str]) -> Result<String> {
        println!("$ zinniacross {}", args.join(" "));
        let output = Command::new(&self.programs.product)
            .args(args)
            .env("ZINNIACROSS_CREDENTIAL", CREDENTIAL)
            .env("ZINNIACROSS_PLATFORM", format!("http://{}", self.platform))
            .output()?;
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        let err = String::from_utf8_lossy(&output.stderr);
        ensure!(output.status.success(), "the command failed: {text}{err}");
        Ok(text)
    }
}

/// One answer, as the demo shows it.
struct Answer {
    status: u16,
    id: String,
    body: String,
}

/// Runs the demo.
pub fn run() -> Result<()> {
    let mut fleet = Fleet::start(Programs::build()?, 3, "")?;
    for index in 0..3 {
        let name = format!("orders-{}", index + 1);
        fleet.start_upstream(&name, index, &["--service", "orders", "--service-ms", "20"])?;
    }
    print!("{}", fleet.operate(&ORDERS_ROUTE)?);
    print!("{}", fleet.operate(&["account", "create", "garden", "--rate", "5/s", "--burst", "6"])?);
    let issued = fleet.operate(&["key", "issue", "garden", "--json"])?;
    let key = find_key(&issued).ok_or_else(|| eyre::eyre!("no key in {issued}"))?;
    println!("a key was issued for the account garden; it is shown once and not repeated here");

    let entry = fleet.nodes[0].caller;
    let usable = wait_until(SETTLE_WITHIN, || {
        send(entry, "GET", "/orders/ready", Some(&key)).is_ok_and(|answer| answer.status == 200)
    });
    ensure!(usable, "the route did not become usable");
    std::thread::sleep(Duration::from_secs(2));

    show("served", send(entry, "GET", "/orders/1", Some(&key))?);
    show(
        "served through another entry",
        send(fleet.nodes[2].caller, "POST", "/orders", Some(&key))?,
    );
    show("without a key", send(entry, "GET", "/orders/1", None)?);
    show("on a path without a route", send(entry, "GET", "/nowhere", Some(&key))?);
    let refused = (0..40)
        .map(|_| send(entry, "GET", "/orders/1", Some(&key)))
        .find(|answer| answer.as_ref().is_ok_and(|answer| answer.status == 429));
    match refused {
        Some(answer) => show("above the rate of the account", answer?),
        None => println!("above the rate of the account: no call was refused"),
    }
    std::thread::sleep(Duration::from_secs(2));
    let explained = send(entry, "GET", "/orders/2", Some(&key))?;
    print!("{}", fleet.operate(&["explain", &explained.id])?);

    println!("stopping node-2 gracefully");
    fleet.nodes[1].process.signal(Signal::Terminate)?;
    show("while node-2 leaves", send(entry, "GET", "/orders/3", Some(&key))?);
    let ended = fleet.nodes[1].process.wait(Duration::from_secs(30));
    ensure!(ended == Some(true), "node-2 did not stop cleanly: {ended:?}");
    println!("node-2 has stopped");
    std::thread::sleep(Duration::from_secs(1));
    show("after node-2 has left", send(entry, "GET", "/orders/4", Some(&key))?);
    print!("{}", fleet.operate(&["fleet", "state"])?);
    println!("stopping everything that was started");
    Ok(())
}

const ORDERS_ROUTE: [&str; 17] = [
    "route",
    "create",
    "orders",
    "--prefix",
    "/orders",
    "--service",
    "orders",
    "--access",
    "keyed",
    "--timeout-ms",
    "2000",
    "--idempotent",
    "GET,HEAD",
    "--retry-budget",
    "20",
    "--floor",
    "50",
];

fn find_key(text: &str) -> Option<String> {
    let found = model::CallerKey::find_all(text);
    found.first().map(model::CallerKey::reveal)
}

fn send(entry: SocketAddr, method: &str, path: &str, key: Option<&str>) -> Result<Answer> {
    let agent: ureq::Agent =
        ureq::Agent::config_builder().http_status_as_error(false).build().into();
    let mut req =
        ureq::http::Request::builder().method(method).uri(format!("http://{entry}{path}"));
    if let Some(key) = key {
        req = req.header("x-api-key", key);
    }
    let mut answer = agent.run(req.body(())?)?;
    let header = answer.headers().get("x-request-id").and_then(|id| id.to_str().ok());
    let id = header.unwrap_or("-").to_owned();
    let status = answer.status().as_u16();
    Ok(Answer { status, id, body: answer.body_mut().read_to_string()? })
}

fn show(what: &str, answer: Answer) {
    println!("request {what}: status {}, id {}, body {}", answer.status, answer.id, answer.body);
}
