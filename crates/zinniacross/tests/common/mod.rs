//! A small fleet of node processes, with the platform and the upstreams in the test process.
#![allow(dead_code)]

pub mod caller;
pub mod imported;
pub mod repeats;
pub mod site;

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::time::{Duration, Instant};

use model::{CallerKey, Endpoint, EndpointState, Key, Kind, Object, ObjectKey, Revision, Slots};
use platform::{HttpStore, HttpStoreConfig};
use standins::cut::{CutProxy, Direction, Links};
use standins::platform::{PlatformConfig, PlatformStandin};
use standins::process::{
    CREDENTIAL, NodeOptions, NodeProcess, Signal, TempDir, free_addrs, wait_until,
};
use standins::upstream::{Behaviour, UpstreamStandin};
use store::{ObjectStore, Precondition, new_write_id};
use tokio::runtime::Runtime;

// Not every test file uses all of them.
#[allow(unused_imports)]
pub use caller::{Caller, Connections, Done, Plan, call_until};

const LOCAL: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Time for a node to be ready, on a machine that also builds and measures.
const READY_WITHIN: Duration = Duration::from_secs(30);

pub fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

pub fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub struct Fleet {
    pub nodes: Vec<NodeProcess>,
    pub upstreams: Vec<UpstreamStandin>,
    pub platform: PlatformStandin,
    /// Proxy before the peer address of each node.
    links: Vec<CutProxy>,
    /// Proxy between each node and the platform.
    platform_links: Vec<CutProxy>,
    options: Vec<NodeOptions>,
    store: HttpStore,
    rt: Runtime,
    dir: TempDir,
}

impl Fleet {
    /// Starts the platform and `count` nodes, `node-0` and so on, and waits until all know each other.
    pub fn start(count: usize) -> Fleet {
        Fleet::start_with(count, "")
    }

    /// The same, with further lines in the section `[node]` of the settings.
    pub fn start_with(count: usize, node_settings: &str) -> Fleet {
        Fleet::start_all(count, node_settings, None)
    }

    /// The same, with a store that tells this era.
    pub fn start_in(count: usize, era: u64) -> Fleet {
        Fleet::start_all(count, "", Some(era))
    }

    fn start_all(count: usize, node_settings: &str, era: Option<u64>) -> Fleet {
        for _ in 0..2 {
            match Fleet::try_start(count, node_settings, era) {
                Ok(fleet) => return fleet,
                // Another test may have taken a port between its choice and its use.
                Err(reason) if reason.contains("Address already in use") => {}
                Err(reason) => panic!("the fleet does not start: {reason}"),
            }
        }
        Fleet::try_start(count, node_settings, era).unwrap()
    }

    fn try_start(count: usize, node_settings: &str, era: Option<u64>) -> Result<Fleet, String> {
        let rt = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .unwrap();
        let platform = PlatformStandin::start(LOCAL, PlatformConfig::default()).unwrap();
        era.iter().for_each(|era| platform.tell_era(*era));
        let store = HttpStore::new(&platform.url(), HttpStoreConfig::default()).unwrap();
        let mut fleet = Fleet {
            nodes: Vec::new(),
            upstreams: Vec::new(),
            platform,
            links: Vec::new(),
            platform_links: Vec::new(),
            options: Vec::new(),
            store,
            rt,
            dir: TempDir::new("fleet").unwrap(),
        };
        for index in 0..count {
            let [peer] = free_addrs().unwrap();
            let link = fleet.rt.block_on(CutProxy::start(LOCAL, peer)).unwrap();
            let to_platform =
                fleet.rt.block_on(CutProxy::start(LOCAL, fleet.platform.addr())).unwrap();
            fleet.options.push(NodeOptions {
                name: format!("node-{index}"),
                // The domain is the last line of its section.
                domain: format!("mid-{}\n{node_settings}", ["a", "b", "c"][index % 3]),
                platform: format!("http://{}", to_platform.addr()),
                advertise: Some(link.addr()),
                peer: Some(peer),
                seeds: Vec::new(),
                extra: String::new(),
            });
            fleet.links.push(link);
            fleet.platform_links.push(to_platform);
        }
        let seeds: Vec<SocketAddr> = fleet.links.iter().map(CutProxy::addr).collect();
        for index in 0..count {
            let others = seeds.iter().enumerate().filter(|(other, _)| *other != index);
            fleet.options[index].seeds = others.map(|(_, addr)| *addr).collect();
            let node = fleet.start_process(index);
            fleet.nodes.push(node);
        }
        let settled =
            wait_until(READY_WITHIN, || fleet.is_settled() || fleet.has_ended().is_some());
        match (fleet.has_ended(), settled) {
            (None, true) => Ok(fleet),
            (Some(log), _) => Err(log),
            (None, false) => Err(format!("{:?}", fleet.unsettled())),
        }
    }

    /// The log of a node that has ended.
    fn has_ended(&mut self) -> Option<String> {
        let ended =
            self.nodes.iter_mut().position(|node| node.process.wait(Duration::ZERO).is_some());
        ended.map(|index| self.log(index))
    }

    fn start_process(&self, index: usize) -> NodeProcess {
        let binary = Path::new(env!("CARGO_BIN_EXE_zinniacross"));
        NodeProcess::start(binary, self.dir.path(), &self.options[index]).unwrap()
    }

    fn is_settled(&self) -> bool {
        self.unsettled().is_empty()
    }

    /// Waits until all nodes know each other, and tells whether that came about in time.
    pub fn wait_settled(&self, within: Duration) -> bool {
        wait_until(within, || self.is_settled())
    }

    /// What keeps the fleet from its steady state.
    fn unsettled(&self) -> Vec<String> {
        let Ok(listing) = self.store.list() else { return vec!["no listing".to_owned()] };
        let mut missing = Vec::new();
        let nodes = listing.objects.iter().filter(|o| o.key.kind == Kind::Node).count();
        if nodes != self.nodes.len() {
            missing.push(format!("{nodes} nodes"));
        }
        for (index, node) in self.nodes.iter().enumerate() {
            // A node without any object is not ready yet, which ends with the first route.
            let members = node.members().unwrap_or(0);
            if members + 1 != self.nodes.len() as u32 {
                missing.push(format!("node {index} knows {members} others"));
            }
        }
        missing
    }

    /// Starts a killed node again, without a wait until it is ready.
    pub fn restart(&mut self, index: usize) {
        self.nodes[index] = self.start_process(index);
    }

    /// Takes the seeds out of the settings that a node gets when it starts again.
    pub fn forget_seeds(&mut self, index: usize) {
        self.options[index].seeds.clear();
    }

    /// Starts a node that has ended again, at the same addresses.
    pub fn start_again(&mut self, index: usize) {
        let binary = Path::new(env!("CARGO_BIN_EXE_zinniacross"));
        self.nodes[index].start_again(binary).unwrap();
    }

    /// Name and text of each log, those of ended processes included.
    pub fn all_logs(&self) -> Vec<(String, String)> {
        let files = std::fs::read_dir(self.dir.path()).unwrap().map(|file| file.unwrap().path());
        let logs = files.filter(|path| path.extension().is_some_and(|ext| ext == "log"));
        logs.map(|path| {
            let name = path.file_name().unwrap().to_string_lossy().into_owned();
            (name, std::fs::read_to_string(path).unwrap())
        })
        .collect()
    }

    pub fn kill(&mut self, index: usize) {
        self.signal(index, Signal::Kill);
        self.nodes[index].process.wait(seconds(5)).expect("a killed process ends");
    }

    pub fn signal(&self, index: usize, signal: Signal) {
        self.nodes[index].process.signal(signal).unwrap();
    }

    pub fn log(&self, index: usize) -> String {
        std::fs::read_to_string(&self.nodes[index].log).unwrap_or_default()
    }

    /// Starts an upstream that announces itself to a node, and returns its index.
    pub fn upstream(
        &mut self,
        node: usize,
        service: &str,
        slots: u32,
        behaviour: Behaviour,
    ) -> usize {
        let index = self.upstreams.len();
        let started = self.start_upstream(index, node, service, slots, behaviour);
        self.upstreams.push(started);
        index
    }

    /// Starts another process of an upstream, under the same name and at another address.
    pub fn start_upstream(
        &self,
        index: usize,
        node: usize,
        service: &str,
        slots: u32,
        behaviour: Behaviour,
    ) -> UpstreamStandin {
        let endpoint = Endpoint {
            name: format!("{service}-{index}").parse().unwrap(),
            service: service.parse().unwrap(),
            labels: Default::default(),
            addr: LOCAL,
            slots: Slots(slots),
            state: EndpointState::Ready,
            load: 0,
        };
        let announce = Some(self.nodes[node].announce);
        let started = UpstreamStandin::start(LOCAL, endpoint, announce, behaviour);
        self.rt.block_on(started).unwrap()
    }

    /// Runs of all upstreams together.
    pub fn runs(&self) -> u64 {
        self.upstreams.iter().map(UpstreamStandin::runs).sum()
    }

    /// Runs a loop of calls on each of the given entries while `during` runs.
    pub fn calls_while(&self, entries: &[usize], plan: &Plan, during: impl FnOnce()) -> Vec<Done> {
        let entries: Vec<_> =
            entries.iter().map(|entry| (*entry, self.nodes[*entry].caller)).collect();
        calls_on(&entries, plan, during)
    }

    pub fn put(&self, kind: Kind, name: &str, document: &str) -> Revision {
        let object = Object::from_document(kind, document.as_bytes()).unwrap();
        let key = ObjectKey::new(kind, name);
        self.store.write(&key, Precondition::Absent, Some(&object), &new_write_id()).unwrap()
    }

    pub fn read(&self, kind: Kind, name: &str) -> Option<model::StoredObject> {
        self.store.read(&ObjectKey::new(kind, name)).unwrap()
    }

    /// Creates the route `/{service}` to a service. GET and HEAD are idempotent.
    pub fn route(&self, service: &str, access: &str, timeout_ms: u64) {
        let document = format!(
            r#"{{"prefix":"/{service}","service":"{service}","access":"{access}",
            "timeout_ms":{timeout_ms},"idempotent":["GET","HEAD"],"retry_budget":20,"floor":50}}"#
        );
        self.put(Kind::Route, service, &document);
    }

    /// Creates a client account and a key of it.
    pub fn account(&self, name: &str, rate: u32, burst: u32) -> CallerKey {
        self.put(Kind::Account, name, &format!(r#"{{"rate":"{rate}/s","burst":{burst}}}"#));
        self.issue(name)
    }

    pub fn issue(&self, account: &str) -> CallerKey {
        static NEXT: AtomicU8 = AtomicU8::new(1);
        let unique = NEXT.fetch_add(1, Ordering::Relaxed);
        let key = CallerKey::from_random([unique; 8], [unique ^ 0xa5; 20]);
        let object = Object::Key(Key { account: account.parse().unwrap(), digest: key.digest() });
        let id = ObjectKey::new(Kind::Key, key.id().as_str());
        self.store.write(&id, Precondition::Absent, Some(&object), &new_write_id()).unwrap();
        key
    }

    /// Deletes a key, and returns the time at which the platform had accepted that.
    pub fn withdraw(&self, key: &CallerKey) -> Instant {
        let id = ObjectKey::new(Kind::Key, key.id().as_str());
        let stored = self.store.read(&id).unwrap().expect("the key exists");
        let at = Precondition::At(stored.revision);
        self.store.write(&id, at, None, &new_write_id()).unwrap();
        Instant::now()
    }

    /// Runs an operator command with the real binary.
    pub fn operate(&self, args: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_zinniacross"))
            .args(args)
            .env("ZINNIACROSS_CREDENTIAL", CREDENTIAL)
            .env("ZINNIACROSS_PLATFORM", self.platform.url())
            .output()
            .unwrap()
    }

    pub fn caller(&self, node: usize) -> Caller {
        Caller::new(self.nodes[node].caller)
    }

    /// Waits until a path is served by every entry.
    pub fn wait_served(&self, path: &str, key: Option<&CallerKey>) {
        for node in 0..self.nodes.len() {
            self.wait_served_by(node, path, key);
        }
    }

    pub fn wait_served_by(&self, node: usize, path: &str, key: Option<&CallerKey>) {
        let mut last = None;
        let served = wait_until(seconds(15), || {
            last = Some(self.caller(node).get(path, key));
            matches!(&last, Some(Ok(answer)) if answer.status == 200)
        });
        assert!(served, "node {node} does not serve {path}: {last:?}");
    }

    /// Cuts what a node sends to the others, or what they send to it, on all links.
    pub fn cut_node(&self, node: usize, what: Cut) {
        let name = || Links::Of(self.options[node].name.clone());
        for (index, link) in self.links.iter().enumerate() {
            match (index == node, what) {
                (true, Cut::Outgoing) => link.cut(Links::All, Direction::ToDialer),
                (true, Cut::Incoming) => link.cut(Links::All, Direction::ToListener),
                (false, Cut::Outgoing) => link.cut(name(), Direction::ToListener),
                (false, Cut::Incoming) => link.cut(name(), Direction::ToDialer),
            }
        }
    }

    /// Cuts the links that `from` has dialed to `to`, in one direction.
    pub fn cut_link(&self, from: usize, to: usize, direction: Direction) {
        self.links[to].cut(Links::Of(self.options[from].name.clone()), direction);
    }

    /// Cuts a node off from the platform.
    pub fn cut_platform(&self, node: usize) {
        for direction in Direction::BOTH {
            self.platform_links[node].cut(Links::All, direction);
        }
    }

    pub fn heal(&self) {
        self.links.iter().chain(&self.platform_links).for_each(CutProxy::heal);
    }
}

/// Which half of a node's traffic with the others is cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    Incoming,
    Outgoing,
}

/// Ends loops of calls, also when the code beside them panics: otherwise a failed check would hang
/// the test.
pub struct StopOnDrop<'a>(pub &'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Runs a loop of calls on each of the given entries while `during` runs.
pub fn calls_on(entries: &[(usize, SocketAddr)], plan: &Plan, during: impl FnOnce()) -> Vec<Done> {
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let start = |(index, (entry, addr)): (usize, &(usize, SocketAddr))| {
            let (entry, caller, stop) = (*entry, Caller::new(*addr), &stop);
            let path = format!("{}{index}-", plan.path);
            scope.spawn(move || call_until(entry, caller, &Plan { path, ..plan.clone() }, stop))
        };
        let loops: Vec<_> = entries.iter().enumerate().map(start).collect();
        {
            // The scope joins the loops before it passes on a panic of `during`.
            let _stop = StopOnDrop(&stop);
            during();
        }
        loops.into_iter().flat_map(|calls| calls.join().unwrap()).collect()
    })
}
