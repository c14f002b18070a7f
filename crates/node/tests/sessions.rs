//! Golden files of whole sessions: the calls to the platform, the frames between nodes and the
//! answer to the caller. They guard against an unintended change of what is said to whom.
//!
//! Three nodes run in this process. `node-1` is the entry and has no upstream; `node-2` is in the
//! same failure domain and therefore tried before `node-3`.

mod common;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use common::{FakeStore, Session, Tap};
use expect_test::expect_file;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use model::{
    Access, Account, Burst, CallerKey, Endpoint, EndpointState, Key, Kind, Labels, Object,
    ObjectKey, Percent, Rate, Route, Selector, Slots,
};
use node::Running;
use settings::Settings;
use standins::process::free_addrs;
use standins::upstream::{Behaviour, UpstreamStandin};

/// Time for the fleet to own its partitions: claim, confirmation, lease and settling.
const SETTLE: Duration = Duration::from_secs(30);

struct Fleet {
    store: Arc<FakeStore>,
    nodes: Vec<Running>,
    callers: Vec<SocketAddr>,
    announcers: Vec<SocketAddr>,
}

impl Fleet {
    async fn start() -> Fleet {
        let store = Arc::new(FakeStore::default());
        let mut fleet =
            Fleet { store, nodes: Vec::new(), callers: Vec::new(), announcers: Vec::new() };
        for (name, domain) in [("node-1", "mid-a"), ("node-2", "mid-a"), ("node-3", "mid-b")] {
            fleet.start_node(name, domain).await;
        }
        fleet
    }

    async fn start_node(&mut self, name: &'static str, domain: &str) {
        let [caller, peer, announce, operator] = free_addrs().unwrap();
        let text = format!(
            "[node]\nname = {name}\ndomain = {domain}\n[caller]\nlisten = {caller}\n\
             [peer]\nlisten = {peer}\n[upstream]\nlisten = {announce}\n\
             [operator]\nlisten = {operator}\ncredential = 0123456789abcdef\n\
             [platform]\nurl = http://127.0.0.1:1\n[fleet]\nsecret = 0123456789abcdef\n"
        );
        let settings = Settings::parse("test", &text).unwrap();
        let session = Arc::clone(&self.store.session);
        let tap = Arc::new(Tap { node: name, session });
        let store = Arc::clone(&self.store);
        self.nodes.push(node::start(settings, store, Some(tap)).await.unwrap());
        self.callers.push(caller);
        self.announcers.push(announce);
    }

    async fn start_upstream(&self, name: &str, service: &str, node: usize) -> UpstreamStandin {
        let listen: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let endpoint = Endpoint {
            name: name.parse().unwrap(),
            service: service.parse().unwrap(),
            labels: Labels::new(),
            addr: listen,
            slots: Slots(3),
            state: EndpointState::Ready,
            load: 0,
        };
        let announce_to = Some(self.announcers[node]);
        UpstreamStandin::start(listen, endpoint, announce_to, Behaviour::default()).await.unwrap()
    }

    fn create(&self, kind: Kind, name: &str, object: Object) {
        self.store.put(ObjectKey::new(kind, name), object);
    }

    fn create_route(&self, service: &str) {
        let route = Route {
            prefix: format!("/{service}").into(),
            service: service.parse().unwrap(),
            selector: Selector::default(),
            access: Access::Keyed,
            timeout_ms: 5000,
            idempotent: vec!["GET".into()],
            retry_budget: Percent::new(20).unwrap(),
            floor: Percent::new(50).unwrap(),
        };
        self.create(Kind::Route, service, Object::Route(route));
    }

    fn create_account(&self, name: &str, rate: Rate, burst: Burst, key: &CallerKey) {
        self.create(Kind::Account, name, Object::Account(Account { rate, burst }));
        let object = Key { account: name.parse().unwrap(), digest: key.digest() };
        self.create(Kind::Key, key.id().as_str(), Object::Key(object));
    }

    async fn send(&self, method: Method, path: &str, key: Option<&CallerKey>) -> Answer {
        send(self.callers[0], method, path, key).await
    }

    /// Runs one session and compares it with its golden file.
    async fn check(&self, name: &str, method: Method, path: &str, key: Option<&CallerKey>) {
        self.session().take();
        let answer = self.send(method.clone(), path, key).await;
        let carried = if key.is_some() { "a key" } else { "no key" };
        let mut lines = vec![format!("caller -> node-1: {method} {path} with {carried}")];
        lines.extend(self.lines());
        lines.push(format!("node-1 -> caller: {} {}", answer.status, answer.text));
        compare(name, &lines);
    }

    /// Takes the lines so far without the moves of partitions, which happen at any time.
    fn lines(&self) -> Vec<String> {
        let is_move = |line: &String| line.contains("HandoverReply") || line.contains("partition/");
        self.session().take().into_iter().filter(|line| !is_move(line)).collect()
    }

    fn session(&self) -> &Session {
        &self.store.session
    }
}

struct Answer {
    status: u16,
    text: String,
}

/// Sends one request. The request id, which differs in each run, is left out of the answer.
async fn send(entry: SocketAddr, method: Method, path: &str, key: Option<&CallerKey>) -> Answer {
    let stream = tokio::net::TcpStream::connect(entry).await.unwrap();
    let (mut sender, conn) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(conn);
    let mut req = Request::builder().method(method).uri(path).header("host", "shop.example");
    if let Some(key) = key {
        req = req.header("authorization", format!("Bearer {}", key.reveal()));
    }
    let answer = sender.send_request(req.body(Full::<Bytes>::default()).unwrap()).await.unwrap();
    let status = answer.status().as_u16();
    let id = answer.headers()["x-request-id"].to_str().unwrap().to_owned();
    let body = answer.into_body().collect().await.unwrap().to_bytes();
    let text = String::from_utf8(body.to_vec()).unwrap().replace(&id, "<id>");
    Answer { status, text }
}

fn compare(name: &str, lines: &[String]) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("tests/golden/{name}.txt"));
    expect_file![path].assert_eq(&format!("{}\n", lines.join("\n")));
}

async fn wait_for(fleet: &Fleet, path: &str, key: &CallerKey, status: u16) {
    let deadline = tokio::time::Instant::now() + SETTLE;
    loop {
        let answer = fleet.send(Method::GET, path, Some(key)).await;
        if answer.status == status {
            return;
        }
        assert!(
            tokio::time::Instant::now() < deadline,
            "{path}: {} {}",
            answer.status,
            answer.text
        );
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn sessions() {
    let mut fleet = Fleet::start().await;
    let garden = CallerKey::from_random([1; 8], [1; 20]);
    let spent = CallerKey::from_random([2; 8], [2; 20]);
    let unknown = CallerKey::from_random([3; 8], [3; 20]);
    fleet.create_route("orders");
    fleet.create_route("refunds");
    fleet.create_account("garden", Rate::per_second(10_000), Burst(10_000), &garden);
    fleet.create_account("spent", Rate::per_second(0), Burst(1), &spent);
    let near = fleet.start_upstream("orders-near", "orders", 1).await;
    let far = fleet.start_upstream("orders-far", "orders", 2).await;
    let refunds = fleet.start_upstream("refunds-1", "refunds", 2).await;
    wait_for(&fleet, "/orders/0", &garden, 200).await;
    wait_for(&fleet, "/refunds/0", &garden, 200).await;
    // Both endpoints of the route must be known, or the first choice is not the near one.
    near.set_behaviour(Behaviour { shed: true, ..Behaviour::default() });
    wait_for(&fleet, "/orders/0", &garden, 200).await;
    near.set_behaviour(Behaviour::default());
    tokio::time::sleep(Duration::from_secs(3)).await;

    fleet.check("served", Method::GET, "/orders/1", Some(&garden)).await;
    fleet.check("refused-key", Method::GET, "/orders/1", Some(&unknown)).await;
    fleet.check("refused-no-key", Method::GET, "/orders/1", None).await;
    fleet.check("refused-rate", Method::GET, "/orders/1", Some(&spent)).await;

    near.set_behaviour(Behaviour { shed: true, ..Behaviour::default() });
    fleet.check("retried", Method::POST, "/orders/1", Some(&garden)).await;
    near.set_behaviour(Behaviour::default());

    refunds.set_behaviour(Behaviour { drop_answers: true, ..Behaviour::default() });
    fleet.check("unknown", Method::POST, "/refunds/1", Some(&garden)).await;
    refunds.set_behaviour(Behaviour::default());
    assert!(far.counts().runs > 0);

    leave(&fleet, &near).await;
    stop(&mut fleet).await;
    for node in fleet.nodes.drain(..) {
        node.stop().await;
    }
}

/// An upstream announces that it leaves: its node tells the others, and no call goes there.
async fn leave(fleet: &Fleet, near: &UpstreamStandin) {
    fleet.session().take();
    near.set_behaviour(Behaviour { state: EndpointState::Leaving, ..Behaviour::default() });
    tokio::time::sleep(Duration::from_secs(2)).await;
    let mut lines = vec!["orders-near announces: leaving".to_owned()];
    lines.extend(sorted(fleet.lines()));
    let garden = CallerKey::from_random([1; 8], [1; 20]);
    let answer = fleet.send(Method::GET, "/orders/1", Some(&garden)).await;
    lines.push("caller -> node-1: GET /orders/1 with a key".to_owned());
    lines.extend(fleet.lines());
    lines.push(format!("node-1 -> caller: {} {}", answer.status, answer.text));
    compare("leave", &lines);
}

/// A node stops gracefully: it tells the others, hands its partitions over and removes its record.
async fn stop(fleet: &mut Fleet) {
    fleet.session().take();
    fleet.nodes.remove(1).stop().await;
    let is_claim = |line: &String| line.starts_with("platform: write partition/");
    let lines = fleet.session().take().into_iter().filter(|line| !is_claim(line)).collect();
    let mut lines = sorted(lines);
    // The number of partitions that each node owns is not part of the session.
    lines.dedup();
    compare("stop", &lines);
}

/// Sorts lines whose order differs from run to run, because they go to several nodes at once.
fn sorted(mut lines: Vec<String>) -> Vec<String> {
    lines.sort();
    lines
}
