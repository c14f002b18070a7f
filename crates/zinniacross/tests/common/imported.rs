//! A fleet of node processes that take their configuration from the users' platform. Proxies stand
//! before the platform and before the peer address of each node.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use standins::cut::{CutProxy, Direction, Links};
use standins::platform::{PlatformConfig, PlatformStandin};
use standins::process::{NodeOptions, NodeProcess, Signal, TempDir, free_addrs, wait_until};
use tokio::runtime::Runtime;

const LOCAL: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Time for what nodes do by themselves, on a machine that also builds.
pub const SOON: Duration = Duration::from_secs(40);

/// Metric with the revision of the configuration.
const CONFIG_REVISION: &str = "imported_revision";

/// Configuration without routes and version.
const EMPTY_CONFIG: &str = r#"{"routes":[]}"#;

pub struct ImportedFleet {
    pub platform: PlatformStandin,
    pub nodes: Vec<NodeProcess>,
    metrics: Vec<SocketAddr>,
    to_platform: Vec<CutProxy>,
    links: Vec<CutProxy>,
    options: Vec<NodeOptions>,
    rt: Runtime,
    dir: TempDir,
}

impl ImportedFleet {
    /// Starts `count` nodes in one failure domain, and waits until they know each other.
    pub fn start(count: usize) -> ImportedFleet {
        ImportedFleet::start_all(&vec!["mid-a"; count], "", None, EMPTY_CONFIG)
    }

    /// Starts a node in each of these failure domains, with a further line in the section `[platform]` of
    /// the settings, and waits until they know each other.
    pub fn start_in(domains: &[&str], setting: &str) -> ImportedFleet {
        ImportedFleet::start_all(domains, setting, None, EMPTY_CONFIG)
    }

    /// The same with a store that is in this era.
    pub fn start_in_era(domains: &[&str], setting: &str, era: u64) -> ImportedFleet {
        ImportedFleet::start_all(domains, setting, Some(era), EMPTY_CONFIG)
    }

    /// Starts `count` nodes with a configuration, in a store that is in this era, if it tells one.
    pub fn start_with(count: usize, era: Option<u64>, config: &str) -> ImportedFleet {
        ImportedFleet::start_all(&vec!["mid-a"; count], "", era, config)
    }

    fn start_all(domains: &[&str], setting: &str, era: Option<u64>, config: &str) -> ImportedFleet {
        let platform = PlatformStandin::start(LOCAL, PlatformConfig::default()).unwrap();
        era.iter().for_each(|era| platform.tell_era(*era));
        let rt = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .unwrap();
        let mut fleet = ImportedFleet {
            platform,
            nodes: Vec::new(),
            metrics: Vec::new(),
            to_platform: Vec::new(),
            links: Vec::new(),
            options: Vec::new(),
            rt,
            dir: TempDir::new("imported").unwrap(),
        };
        fleet.create("config", "main", config);
        for (index, domain) in domains.iter().enumerate() {
            fleet.add_node_in(index, domain, setting);
        }
        fleet.wait_until_known();
        fleet
    }

    /// Waits until the nodes know each other. Prints what each node knows and its log if they don't.
    pub fn wait_until_known(&mut self) {
        let count = self.nodes.len();
        let others = (count - 1) as u64;
        let mut ended = None;
        let all_known = wait_until(SOON, || {
            ended =
                self.nodes.iter_mut().position(|node| node.process.wait(Duration::ZERO).is_some());
            ended.is_some() || (0..count).all(|node| self.metric(node, "members") == others)
        });
        if all_known && ended.is_none() {
            return;
        }
        self.print_logs();
        match ended {
            Some(index) => panic!("the process of node {index} has ended"),
            None => panic!("the nodes don't know each other after {SOON:?}"),
        }
    }

    /// Prints how many others each node knows, and its log.
    pub fn print_logs(&self) {
        for (index, node) in self.nodes.iter().enumerate() {
            let log = std::fs::read_to_string(&node.log).unwrap_or_default();
            println!(
                "node {index} knows {} others. Its log:\n{log}",
                self.metric(index, "members")
            );
        }
    }

    /// Kills all nodes and starts them again at once.
    pub fn restart_all(&mut self) {
        for node in &mut self.nodes {
            node.process.signal(Signal::Kill).unwrap();
            node.process.wait(SOON).expect("the process ends");
        }
        let binary = Path::new(env!("CARGO_BIN_EXE_zinniacross"));
        for (node, options) in self.nodes.iter_mut().zip(&self.options) {
            *node = NodeProcess::start(binary, self.dir.path(), options).unwrap();
        }
    }

    /// Adds a node, `node-N` with the given number.
    pub fn add_node(&mut self, index: usize) {
        self.add_node_in(index, "mid-a", "");
    }

    fn add_node_in(&mut self, index: usize, domain: &str, setting: &str) {
        let [peer, metrics] = free_addrs().unwrap();
        let link = self.rt.block_on(CutProxy::start(LOCAL, peer)).unwrap();
        let to_platform = self.rt.block_on(CutProxy::start(LOCAL, self.platform.addr())).unwrap();
        let options = NodeOptions {
            name: format!("node-{index}"),
            domain: domain.into(),
            platform: format!("http://{}\ninterface = platform\n{setting}", to_platform.addr()),
            advertise: Some(link.addr()),
            peer: Some(peer),
            seeds: Vec::new(),
            extra: format!("[status]\nmetrics = {metrics}\n"),
        };
        let binary = Path::new(env!("CARGO_BIN_EXE_zinniacross"));
        self.nodes.push(NodeProcess::start(binary, self.dir.path(), &options).unwrap());
        self.metrics.push(metrics);
        self.options.push(options);
        self.to_platform.push(to_platform);
        self.links.push(link);
    }

    /// Creates an object in the store.
    pub fn create(&self, kind: &str, name: &str, spec: &str) {
        let body = format!(r#"{{"meta":{{"name":"{name}"}},"spec":{spec}}}"#);
        let url = format!("{}/api/objects/{kind}", self.platform.url());
        ureq::post(&url).header("content-type", "application/json").send(body).unwrap();
    }

    /// Deletes an object from the store.
    pub fn delete(&self, kind: &str, name: &str) {
        let url = format!("{}/api/objects/{kind}/{name}", self.platform.url());
        ureq::delete(&url).call().unwrap();
    }

    /// Replaces the configuration by one with these routes.
    pub fn put_routes(&self, routes: &str) {
        let body = format!(r#"{{"meta":{{"name":"main"}},"spec":{{"routes":{routes}}}}}"#);
        let url = format!("{}/api/objects/config/main", self.platform.url());
        ureq::put(&url).header("content-type", "application/json").send(&body).unwrap();
    }

    /// Cuts a node off from the platform.
    pub fn cut_platform(&self, node: usize) {
        for direction in Direction::BOTH {
            self.to_platform[node].cut(Links::All, direction);
        }
    }

    /// Kills a node and starts it again at the same addresses.
    pub fn restart(&mut self, node: usize) {
        self.kill(node);
        self.start_again(node);
    }

    /// Kills a node.
    pub fn kill(&mut self, node: usize) {
        let process = &mut self.nodes[node].process;
        process.signal(Signal::Kill).unwrap();
        process.wait(SOON).expect("a killed process ends");
    }

    /// Starts a node again that has ended, at the same addresses.
    pub fn start_again(&mut self, node: usize) {
        let binary = Path::new(env!("CARGO_BIN_EXE_zinniacross"));
        self.nodes[node].start_again(binary).unwrap();
    }

    /// Replaces the configuration, as the operators do.
    pub fn put_config(&self, spec: &str) {
        let body = format!(r#"{{"meta":{{"name":"main"}},"spec":{spec}}}"#);
        let url = format!("{}/api/objects/config/main", self.platform.url());
        ureq::put(&url).header("content-type", "application/json").send(body).unwrap();
    }

    /// The text of an object of the product in the store, or nothing.
    pub fn stored(&self, name: &str) -> String {
        let url = format!("{}/api/objects/zinniacross/{name}", self.platform.url());
        match ureq::get(&url).call() {
            Ok(mut answer) => answer.body_mut().read_to_string().unwrap(),
            Err(_) => String::new(),
        }
    }

    /// Deletes an object of the product in the store.
    pub fn delete_stored(&self, name: &str) {
        self.delete("zinniacross", name);
    }

    /// Replaces the configuration, and returns the time until the given nodes have it.
    pub fn spread_config(&self, number: usize, nodes: &[usize]) -> Duration {
        let body =
            format!(r#"{{"meta":{{"name":"main"}},"spec":{{"version":{number},"routes":[]}}}}"#);
        let url = format!("{}/api/objects/config/main", self.platform.url());
        self.time_until_known(CONFIG_REVISION, nodes, || {
            ureq::put(&url).header("content-type", "application/json").send(&body).unwrap();
        })
    }

    /// Makes a change, and returns the time until the metric of a revision has risen at the given
    /// nodes.
    pub fn time_until_known(
        &self,
        revision: &str,
        nodes: &[usize],
        change: impl FnOnce(),
    ) -> Duration {
        let before = nodes.iter().map(|node| self.metric(*node, revision)).max().unwrap();
        change();
        let started = Instant::now();
        let all = || nodes.iter().all(|node| self.metric(*node, revision) > before);
        assert!(wait_until(SOON, all), "the change reaches all nodes");
        started.elapsed()
    }

    /// Sends a signal to all nodes but one.
    pub fn signal_others(&self, spared: usize, signal: Signal) {
        let others = self.nodes.iter().enumerate().filter(|(index, _)| *index != spared);
        others.for_each(|(_, node)| node.process.signal(signal).unwrap());
    }

    /// Silences all open connections to the platform and between the nodes. New ones work.
    pub fn silence_connections(&self) {
        self.to_platform.iter().for_each(CutProxy::silence);
        self.silence_links();
    }

    /// Silences all open connections between the nodes. New ones work.
    pub fn silence_links(&self) {
        self.links.iter().for_each(CutProxy::silence);
    }

    /// Value of a metric of a node, or 0 if the node has none yet.
    pub fn metric(&self, node: usize, name: &str) -> u64 {
        let url = format!("http://{}/metrics", self.metrics[node]);
        let Ok(mut answer) = ureq::get(url).call() else { return 0 };
        let text = answer.body_mut().read_to_string().unwrap();
        let value =
            text.lines().find_map(|line| line.strip_prefix(&format!("zinniacross_{name} ")));
        value.and_then(|value| value.parse().ok()).unwrap_or(0)
    }
}
