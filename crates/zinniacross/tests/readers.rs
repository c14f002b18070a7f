//! How changes of the stored objects reach the nodes of a failure domain, most of which do not wait for
//! them at the platform.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use standins::platform::{Faults, PlatformConfig, PlatformStandin};
use standins::process::{NodeOptions, NodeProcess, TempDir, free_addrs, wait_until};

const LOCAL: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

const NODES: usize = 14;

const CHANGES: usize = 10;

/// Interval between two changes, longer than the pause of a reader between two watches.
const CHANGE_INTERVAL: Duration = Duration::from_millis(1100);

/// Time in which a change has to reach all nodes.
const SPREAD_WITHIN: Duration = Duration::from_secs(3);

/// Time in which a new configuration has to be in force at all nodes.
const CONFIG_WITHIN: Duration = Duration::from_secs(2);

/// Time for what nodes do by themselves, on a machine that also builds.
const SOON: Duration = Duration::from_secs(40);

struct Fleet {
    platform: PlatformStandin,
    metrics: Vec<SocketAddr>,
    _nodes: Vec<NodeProcess>,
    _dir: TempDir,
}

impl Fleet {
    fn start() -> Fleet {
        let platform = PlatformStandin::start(LOCAL, PlatformConfig::default()).unwrap();
        let dir = TempDir::new("readers").unwrap();
        let binary = Path::new(env!("CARGO_BIN_EXE_zinniacross"));
        let mut fleet = Fleet { platform, metrics: Vec::new(), _nodes: Vec::new(), _dir: dir };
        fleet.create("config", "main", r#"{"routes":[]}"#);
        for index in 0..NODES {
            let [metrics] = free_addrs().unwrap();
            let options = NodeOptions {
                name: format!("node-{index}"),
                domain: "mid-a".into(),
                platform: format!("{}\ninterface = platform", fleet.platform.url()),
                advertise: None,
                peer: None,
                seeds: Vec::new(),
                extra: format!("[status]\nmetrics = {metrics}\n"),
            };
            fleet._nodes.push(NodeProcess::start(binary, fleet._dir.path(), &options).unwrap());
            fleet.metrics.push(metrics);
        }
        let others = (NODES - 1) as u64;
        let all_known = || fleet.metrics.iter().all(|addr| metric(*addr, "members") == others);
        assert!(wait_until(SOON, all_known), "the nodes know each other");
        fleet
    }

    fn create(&self, kind: &str, name: &str, spec: &str) {
        let body = format!(r#"{{"meta":{{"name":"{name}"}},"spec":{spec}}}"#);
        let url = format!("{}/api/objects/{kind}", self.platform.url());
        ureq::post(&url).header("content-type", "application/json").send(body).unwrap();
    }

    /// Writes an object that all nodes follow, and returns the time until all know of it.
    fn spread_change(&self, number: usize) -> Duration {
        let spec = r#"{"write_id":"w","document":{"drained":true}}"#;
        let name = format!("endpoint-mark.e-{number}");
        self.time_until_known("objects_revision", || self.create("zinniacross", &name, spec))
    }

    /// Replaces the configuration, and returns the time until all nodes know of it.
    fn spread_config(&self, number: usize) -> Duration {
        let body =
            format!(r#"{{"meta":{{"name":"main"}},"spec":{{"version":{number},"routes":[]}}}}"#);
        let url = format!("{}/api/objects/config/main", self.platform.url());
        self.time_until_known("imported_revision", || {
            ureq::put(&url).header("content-type", "application/json").send(&body).unwrap();
        })
    }

    /// Makes a change, and returns the time until the metric of a revision has risen at all nodes.
    fn time_until_known(&self, revision: &str, change: impl FnOnce()) -> Duration {
        let before = self.metrics.iter().map(|addr| metric(*addr, revision)).max().unwrap();
        change();
        let started = Instant::now();
        let all = || self.metrics.iter().all(|addr| metric(*addr, revision) > before);
        assert!(wait_until(SOON, all), "the change reaches all nodes");
        started.elapsed()
    }
}

/// Value of a metric of a node, or 0 if the node has none yet.
fn metric(node: SocketAddr, name: &str) -> u64 {
    let Ok(mut answer) = ureq::get(format!("http://{node}/metrics")).call() else { return 0 };
    let text = answer.body_mut().read_to_string().unwrap();
    let value = text.lines().find_map(|line| line.strip_prefix(&format!("zinniacross_{name} ")));
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

/// Guards against a platform that is asked by every node for each change, and against nodes that hear
/// of a change late because they do not ask.
#[test]
fn few_nodes_ask_the_platform_and_all_hear_of_changes() {
    let fleet = Fleet::start();
    std::thread::sleep(CHANGE_INTERVAL);
    let watches_before = fleet.platform.counts().watches;
    for number in 0..CHANGES {
        let took = fleet.spread_change(number);
        assert!(took < SPREAD_WITHIN, "change {number} took {took:?}");
        std::thread::sleep(CHANGE_INTERVAL.saturating_sub(took));
    }
    let watches = fleet.platform.counts().watches - watches_before;
    let if_all_watched = (NODES * CHANGES) as u64;
    assert!(watches < if_all_watched / 2, "{watches} watches for {CHANGES} changes");
}

/// Guards against a new configuration that is in force late at nodes that do not ask the platform for
/// it. The users allow 2 s.
#[test]
fn a_new_configuration_is_soon_in_force_everywhere() {
    let fleet = Fleet::start();
    std::thread::sleep(CHANGE_INTERVAL);
    let watches_before = fleet.platform.counts().watches;
    for number in 1..=CHANGES {
        let took = fleet.spread_config(number);
        assert!(took < CONFIG_WITHIN, "version {number} took {took:?}");
        std::thread::sleep(CHANGE_INTERVAL.saturating_sub(took));
    }
    let watches = fleet.platform.counts().watches - watches_before;
    let if_all_watched = (NODES * CHANGES) as u64;
    assert!(watches < if_all_watched * 3 / 4, "{watches} watches for {CHANGES} versions");
}

/// Guards against an outage of the platform in which every node repeats its calls all the time, and
/// against nodes that notice the end of it late.
#[test]
fn an_outage_costs_few_calls() {
    let fleet = Fleet::start();
    let outage = Duration::from_secs(8);
    fleet.platform.set_faults(Faults { down: true, ..Faults::default() });
    std::thread::sleep(Duration::from_secs(1));
    let calls = || {
        let counts = fleet.platform.counts();
        counts.lists + counts.watches + counts.reads + counts.writes
    };
    let before = calls();
    std::thread::sleep(outage);
    let per_node_and_second = (calls() - before) as f64 / NODES as f64 / outage.as_secs_f64();
    assert!(per_node_and_second < 1.5, "{per_node_and_second:.2} calls a second and node");
    fleet.platform.set_faults(Faults::default());
    let took = fleet.spread_change(0);
    assert!(took < SPREAD_WITHIN, "the first change after the outage took {took:?}");
}
