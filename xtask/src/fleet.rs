//! Starts a small fleet as processes and operates it, for the demo and for load.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

use eyre::{Result, WrapErr, ensure};
use standins::process::{CREDENTIAL, NodeOptions, NodeProcess, Process, TempDir, free_addrs};

/// Time for the fleet to be ready.
const READY_WITHIN: Duration = Duration::from_secs(30);

/// Time for an announced endpoint to be usable everywhere.
pub const SETTLE_WITHIN: Duration = Duration::from_secs(15);

/// Failure domains of the nodes, with one node each.
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

/// A running fleet.
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
        let dir = TempDir::new("fleet")?;
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

/// One answer of the fleet.
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Request id.
    pub id: String,
    /// Body.
    pub body: String,
}

/// Finds the key in the output of an operator command.
pub fn find_key(text: &str) -> Option<String> {
    let found = model::CallerKey::find_all(text);
    found.first().map(model::CallerKey::reveal)
}

/// Sends one request to an entry over a new connection.
pub fn send(entry: SocketAddr, method: &str, path: &str, key: Option<&str>) -> Result<Answer> {
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
