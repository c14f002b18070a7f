//! Starts the nodes as processes, with the command and the template of the deploy file.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::call;
use crate::proxy::{self, Cut};
use crate::record::Record;

const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// The bounds of the site file of the cases, as far as the template names them.
const GRACE_S: &str = "6";
const RETRY_SLACK: &str = "64";
const CONTRACTS: &str = "base,drain,config,cost,retry,recover,health,tenants,quota,platform";

/// A child process that is killed when it is dropped.
pub struct Process(Child);

impl Process {
    pub fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Loopback addresses that nothing listens on now. Their ports are below those that the system gives to
/// outgoing connections.
pub fn free_addrs<const N: usize>() -> [SocketAddr; N] {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    [(); N].map(|()| {
        loop {
            let offset = std::process::id().wrapping_mul(61) + NEXT.fetch_add(1, Ordering::Relaxed);
            let port = 12_000 + (offset % 20_000) as u16;
            if let Ok(listener) = TcpListener::bind((Ipv4Addr::LOCALHOST, port)) {
                return listener.local_addr().unwrap();
            }
        }
    })
}

/// A node, with the addresses of its settings.
pub struct Node {
    process: Process,
    settings: PathBuf,
    log: PathBuf,
    pub outbound: SocketAddr,
    pub control: SocketAddr,
    pub ready: SocketAddr,
    metrics: SocketAddr,
}

impl Node {
    /// Starts a node. With proxies, other nodes reach it through one.
    pub fn start(
        dir: &str,
        name: &str,
        zone: &str,
        service: &str,
        platform: SocketAddr,
        proxies: Option<&Cut>,
    ) -> Node {
        let [outbound, inbound, control, ready, operator, metrics] = free_addrs();
        let mut fields = BTreeMap::new();
        let mut set = |key: &str, value: &str| fields.insert(key.to_owned(), value.to_owned());
        set("node", name);
        set("zone", zone);
        set("service", service);
        set("bounds.graceS", GRACE_S);
        set("bounds.retrySlack", RETRY_SLACK);
        set("listen.outbound", &outbound.to_string());
        set("listen.inbound", &inbound.to_string());
        set("listen.control", &control.to_string());
        set("listen.ready", &ready.to_string());
        set("ip", &operator.ip().to_string());
        set("portRange.0", &operator.port().to_string());
        set("portRange.1", &metrics.port().to_string());
        set("platform.addr", &platform.to_string());
        set("contracts", CONTRACTS);
        let template = fs::read_to_string("deploy/node.ini").unwrap();
        let settings = PathBuf::from(format!("{dir}/{name}.ini"));
        let mut text = fill(&template, &fields);
        if let Some(cut) = proxies {
            let advertise = format!("[peer]\nadvertise = {}", proxy::start(name, inbound, cut));
            text = text.replace("[peer]", &advertise);
        }
        fs::write(&settings, text).unwrap();
        let log = PathBuf::from(format!("{dir}/{name}.log"));
        let process = start_process(&settings, &log);
        Node { process, settings, log, outbound, control, ready, metrics }
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        self.process.kill();
    }

    /// Starts the process again, with the same settings.
    pub fn start_again(&mut self) {
        self.process = start_process(&self.settings, &self.log);
    }

    pub fn is_ready(&self) -> bool {
        let answer = call(self.ready, "GET", "/api/readyz", &[], "", Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Value of a metric, or `None` if the node does not tell it.
    pub fn metric(&self, name: &str) -> Option<u64> {
        let answer = call(self.metrics, "GET", "/metrics", &[], "", CALL_TIMEOUT).ok()?.text();
        let value = answer.lines().find_map(|line| line.strip_prefix(&format!("{name} ")))?;
        value.parse::<f64>().ok().map(|value| value as u64)
    }
}

fn start_process(settings: &PathBuf, log: &PathBuf) -> Process {
    let log = File::options().create(true).append(true).open(log).unwrap();
    let process = Command::new("target/release/zinniacross")
        .arg("node")
        .env("ZINNIACROSS_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn()
        .expect("target/release/zinniacross starts; the build of the deploy file makes it");
    Process(process)
}

/// Fills in the placeholders of a template, and the sections of fields that have a value or none.
fn fill(template: &str, fields: &BTreeMap<String, String>) -> String {
    let mut text = String::new();
    let mut is_shown = true;
    for line in template.lines() {
        let tag = line.trim().strip_prefix("{{").and_then(|rest| rest.strip_suffix("}}"));
        match tag.map(|tag| tag.split_at(1)) {
            Some(("#", name)) => is_shown = fields.contains_key(name),
            Some(("^", name)) => is_shown = !fields.contains_key(name),
            Some(("/", _)) => is_shown = true,
            _ if is_shown => {
                text += line;
                text += "\n";
            }
            _ => {}
        }
    }
    // Inside the section of a field, `{{.}}` is its value; the template has one such section.
    text = text.replace("{{.}}", &fields["bounds.graceS"]);
    for (name, value) in fields {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    assert!(!text.contains("{{"), "a placeholder is not filled in: {text}");
    text
}

pub fn wait_until(within: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + within;
    loop {
        if condition() {
            return true;
        }
        if Instant::now() >= deadline {
            return false;
        }
        sleep(Duration::from_millis(30));
    }
}

/// Waits until all nodes are ready and know each other.
pub fn wait_until_known(nodes: &[Node], record: &Record) -> bool {
    let others = nodes.len() as u64 - 1;
    let known = wait_until(Duration::from_secs(30), || {
        nodes
            .iter()
            .all(|node| node.is_ready() && node.metric("zinniacross_members") == Some(others))
    });
    record.line(format!("{} nodes are ready and know each other: {known}", nodes.len()));
    known
}
