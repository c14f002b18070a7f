//! A node with the interface of the users' platform, as its processes meet it: a configuration in the
//! store, heartbeats of an endpoint, and callers with the platform's headers.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use standins::platform::{Faults, PlatformConfig, PlatformStandin};
use standins::process::{NodeOptions, NodeProcess, Signal, TempDir, free_addrs, wait_until};

const LOCAL: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Time for what a node does by itself, on a machine that also builds.
const SOON: Duration = Duration::from_secs(20);

const CONFIG: &str = r#"{"routes":[
    {"name":"view","host":"shop.example","pathPrefix":"/view/","kind":"safe","timeoutS":1500,
     "attempts":2,"service":"orders"},
    {"name":"buy","host":"shop.example","pathPrefix":"/buy/","kind":"unsafe","timeoutS":1500,
     "attempts":2,"service":"orders"},
    {"name":"open","host":"shop.example","pathPrefix":"/open/","kind":"safe","timeoutS":1500,
     "service":"orders","noAuth":true},
    {"name":"empty","host":"shop.example","pathPrefix":"/empty/","kind":"safe","timeoutS":1500,
     "service":"nobody","noAuth":true}],
  "tenants":[{"name":"big","apiKeys":["key-of-big"],"ratePerS":0},
             {"name":"small","apiKeys":["key-of-small"],"ratePerS":0.2,"burst":1}]}"#;

/// What the endpoint does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    Answer,
    /// The answer carries the id of another request.
    OtherId,
    /// Refuses without running the request, and says so.
    NotExecuted,
    /// Closes the connection.
    Reset,
    /// Sends this start of an answer, then the other text until the connection is closed.
    Endless(&'static str, &'static str),
    /// Sends the answer of the previous request on the connection once more before the right one.
    LateCopy,
    /// Refuses the first request on a connection. Before the answers to later ones, which it runs, it
    /// sends the previous answer on the connection once more.
    LateRefusal(Refusal),
}

/// A refusal of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Refusal {
    /// 503 with the id of the refused request.
    WithId,
    /// 503 without an id.
    WithoutId,
    /// 421 without an id.
    OtherInstance,
}

/// An endpoint that keeps the heads of the requests that it got.
struct Endpoint {
    addr: SocketAddr,
    mode: Arc<Mutex<Mode>>,
    heads: Arc<Mutex<Vec<String>>>,
    /// Ids of the requests that it ran.
    runs: Arc<Mutex<Vec<String>>>,
}

impl Endpoint {
    fn start() -> Endpoint {
        let listener = TcpListener::bind(LOCAL).unwrap();
        let addr = listener.local_addr().unwrap();
        let mode = Arc::new(Mutex::new(Mode::Answer));
        let [heads, runs] = [(); 2].map(|()| Arc::<Mutex<Vec<String>>>::default());
        let shared = (Arc::clone(&mode), Arc::clone(&heads), Arc::clone(&runs));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (mode, heads, runs) = shared.clone();
                thread::spawn(move || serve(stream, &mode, &heads, &runs));
            }
        });
        Endpoint { addr, mode, heads, runs }
    }

    fn set(&self, mode: Mode) {
        *self.mode.lock().unwrap() = mode;
        self.heads.lock().unwrap().clear();
    }

    fn heads(&self) -> Vec<String> {
        self.heads.lock().unwrap().clone()
    }
}

fn serve(
    stream: TcpStream,
    mode: &Mutex<Mode>,
    heads: &Mutex<Vec<String>>,
    runs: &Mutex<Vec<String>>,
) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut stream = stream;
    let mut previous = String::new();
    while let Some(head) = read_head(&mut reader) {
        let length = header(&head, "content-length").map_or(0, |text| text.parse().unwrap());
        reader.read_exact(&mut vec![0; length]).unwrap();
        let id = header(&head, "request-id").unwrap_or_default();
        heads.lock().unwrap().push(head);

        let mode = *mode.lock().unwrap();
        let success = format!(
            "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-stamp: stamp-1\r\n\
             content-length: {}\r\n\r\n{id}done",
            id.len() + 4
        );
        let answer = match mode {
            Mode::Answer => success,
            Mode::LateCopy => std::mem::replace(&mut previous, success.clone()) + &success,
            Mode::Endless(start, repeated) => {
                let start = start.replace("{id}", &id);
                let block = repeated.repeat((4096 / repeated.len()).max(1));
                let _ = stream.write_all(start.as_bytes());
                while stream.write_all(block.as_bytes()).is_ok() {}
                return;
            }
            Mode::OtherId => {
                "HTTP/1.1 200 OK\r\nrequest-id: another\r\ncontent-length: 6\r\n\r\nsecret"
                    .to_owned()
            }
            Mode::NotExecuted => format!(
                "HTTP/1.1 503 X\r\nrequest-id: {id}\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n"
            ),
            Mode::LateRefusal(refusal) if previous.is_empty() => {
                previous = match refusal {
                    Refusal::WithId => format!(
                        "HTTP/1.1 503 X\r\nrequest-id: {id}\r\nnot-executed: 1\r\n\
                         content-length: 0\r\n\r\n"
                    ),
                    Refusal::WithoutId => {
                        "HTTP/1.1 503 X\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n".to_owned()
                    }
                    Refusal::OtherInstance => {
                        "HTTP/1.1 421 X\r\ninstance-id: i-2\r\ncontent-length: 0\r\n\r\n".to_owned()
                    }
                };
                previous.clone()
            }
            Mode::LateRefusal(_) => {
                runs.lock().unwrap().push(id.clone());
                std::mem::replace(&mut previous, success.clone()) + &success
            }
            Mode::Reset => return,
        };
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// The head of a message in lower case.
fn read_head(reader: &mut impl BufRead) -> Option<String> {
    let mut head = String::new();
    loop {
        let mut line = String::new();
        match reader.read_line(&mut line) {
            Ok(0) | Err(_) => return None,
            Ok(_) if line == "\r\n" => return Some(head),
            Ok(_) => head.push_str(&line.to_lowercase()),
        }
    }
}

fn header(head: &str, name: &str) -> Option<String> {
    let value = |line: &str| Some(line.strip_prefix(name)?.strip_prefix(": ")?.trim().to_owned());
    head.lines().find_map(value)
}

/// Sends one request on a connection of its own. Gives the head and the body of the answer.
fn send(to: SocketAddr, method: &str, path: &str, headers: &str) -> (String, String) {
    let mut stream = TcpStream::connect(to).unwrap();
    stream.set_read_timeout(Some(SOON)).unwrap();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: shop.example\r\nconnection: close\r\n\
         content-length: 0\r\n{headers}\r\n"
    );
    stream.write_all(request.as_bytes()).unwrap();
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader).expect("an answer");
    let mut body = String::new();
    reader.read_to_string(&mut body).unwrap();
    (head, body)
}

fn status(head: &str) -> u16 {
    head.split(' ').nth(1).unwrap().parse().unwrap()
}

struct Site {
    endpoint: Endpoint,
    node: NodeProcess,
    ready: SocketAddr,
    metrics: SocketAddr,
    dir: TempDir,
    options: NodeOptions,
    platform: PlatformStandin,
}

impl Site {
    fn start() -> Site {
        let platform = PlatformStandin::start(LOCAL, PlatformConfig::default()).unwrap();
        let spec: serde_json::Value = serde_json::from_str(CONFIG).unwrap();
        let body = serde_json::json!({"meta": {"name": "main"}, "spec": spec}).to_string();
        let url = format!("{}/api/objects/config", platform.url());
        ureq::post(&url).header("content-type", "application/json").send(body).unwrap();
        let [ready, metrics] = free_addrs().unwrap();
        let dir = TempDir::new("platform").unwrap();
        let options = NodeOptions {
            name: "node-0".into(),
            domain: "mid-a".into(),
            // The template of the settings ends with this section's URL.
            platform: format!("{}\ninterface = platform", platform.url()),
            advertise: None,
            peer: None,
            seeds: Vec::new(),
            extra: format!("[status]\nready = {ready}\nmetrics = {metrics}\n"),
        };
        let binary = Path::new(env!("CARGO_BIN_EXE_zinniacross"));
        let node = NodeProcess::start(binary, dir.path(), &options).unwrap();
        let endpoint = Endpoint::start();
        let site = Site { endpoint, node, ready, metrics, dir, options, platform };
        assert!(wait_until(SOON, || TcpStream::connect(site.ready).is_ok()));
        assert!(wait_until(SOON, || {
            status(&send(site.ready, "GET", "/api/readyz", "").0) == 200
        }));
        assert_eq!(site.heartbeat("ready", 1), 200);
        assert!(wait_until(SOON, || status(&site.call("GET", "/open/1", "").0) == 200));
        site
    }

    fn heartbeat(&self, state: &str, seq: u32) -> u16 {
        self.heartbeat_of_start(state, seq, 7)
    }

    /// Sends a heartbeat of the start of the endpoint at the Unix time `born`, in milliseconds.
    fn heartbeat_of_start(&self, state: &str, seq: u32, born: u64) -> u16 {
        let addr = self.endpoint.addr;
        let body = format!(
            r#"{{"service":"orders","addr":"{addr}","slots":3,"state":"{state}","seq":{seq},"born":{born}}}"#
        );
        let url = format!("http://{}/api/endpoints/i-1", self.node.announce);
        match ureq::put(&url).send(body) {
            Ok(answer) => answer.status().as_u16(),
            Err(ureq::Error::StatusCode(status)) => status,
            Err(err) => panic!("{err}"),
        }
    }

    /// Sends the notice that the endpoint is gone. Returns the status.
    fn deregister(&self, seq: u32) -> u16 {
        let url = format!("http://{}/api/endpoints/i-1", self.node.announce);
        let body = format!(r#"{{"seq":{seq},"born":7}}"#);
        let req = ureq::http::Request::delete(&url).body(body).unwrap();
        let agent: ureq::Agent =
            ureq::Agent::config_builder().allow_non_standard_methods(true).build().into();
        match agent.run(req) {
            Ok(answer) => answer.status().as_u16(),
            Err(ureq::Error::StatusCode(status)) => status,
            Err(err) => panic!("{err}"),
        }
    }

    /// Sends a notice that the endpoint leaves, or that it is gone.
    fn give_notice(&self, notice: &str, seq: u32) -> u16 {
        match notice {
            "gone" => self.deregister(seq),
            state => self.heartbeat(state, seq),
        }
    }

    fn stop_node(&mut self, signal: Signal) {
        self.node.process.signal(signal).unwrap();
        self.node.process.wait(SOON).expect("the process ends");
    }

    /// Starts the node and waits until it listens.
    fn start_node(&mut self) {
        let binary = Path::new(env!("CARGO_BIN_EXE_zinniacross"));
        self.node = NodeProcess::start(binary, self.dir.path(), &self.options).unwrap();
        assert!(wait_until(SOON, || TcpStream::connect(self.ready).is_ok()));
    }

    /// Ends the node with a signal and starts it again, and waits until it is ready.
    fn restart(&mut self, signal: Signal) {
        self.stop_node(signal);
        self.start_node();
        assert!(wait_until(SOON, || {
            status(&send(self.ready, "GET", "/api/readyz", "").0) == 200
        }));
    }

    /// The record of the node in the store.
    fn stored_record(&self) -> String {
        let url = format!("{}/api/objects/zinniacross/node.node-0", self.platform.url());
        match ureq::get(&url).call() {
            Ok(mut answer) => answer.body_mut().read_to_string().unwrap(),
            Err(_) => String::new(),
        }
    }

    /// Writes the configuration with one more field.
    fn put_config(&self, field: &str) {
        let url = format!("{}/api/objects/config/main", self.platform.url());
        let stored = ureq::get(&url).call().unwrap().body_mut().read_to_string().unwrap();
        let stored: serde_json::Value = serde_json::from_str(&stored).unwrap();
        let rev = &stored["meta"]["rev"];
        let spec = CONFIG.replacen('{', &format!("{{{field},"), 1);
        let body = format!(r#"{{"meta":{{"name":"main","rev":{rev}}},"spec":{spec}}}"#);
        ureq::put(&url).header("content-type", "application/json").send(body).unwrap();
    }

    /// Creates an object in the store, as another writer does.
    fn create_object(&self, kind: &str, name: &str, spec: &str) {
        let body = format!(r#"{{"meta":{{"name":"{name}"}},"spec":{spec}}}"#);
        let url = format!("{}/api/objects/{kind}", self.platform.url());
        ureq::post(&url).header("content-type", "application/json").send(body).unwrap();
    }

    /// Sends heartbeats while `condition` is checked, so that the endpoint does not lapse.
    fn wait_until(&self, what: &str, mut condition: impl FnMut() -> bool) {
        let mut seq = 100;
        let holds = wait_until(SOON, || {
            seq += 1;
            self.heartbeat("ready", seq);
            condition()
        });
        assert!(holds, "{what}");
    }

    /// Resident memory of the node, in kilobytes.
    fn resident_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.node.process.id());
        let text = std::fs::read_to_string(path).unwrap();
        let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    /// Revision of the stored objects that the node knows.
    fn objects_revision(&self) -> u64 {
        let metrics = send(self.metrics, "GET", "/metrics", "").1;
        let value = |line: &str| line.strip_prefix("zinniacross_objects_revision ")?.parse().ok();
        metrics.lines().find_map(value).unwrap()
    }

    fn call(&self, method: &str, path: &str, headers: &str) -> (String, String) {
        send(self.node.caller, method, path, headers)
    }

    /// Sends a request, and returns the connection on which its answer arrives.
    fn start_call(&self, headers: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.node.caller).unwrap();
        stream.set_read_timeout(Some(SOON)).unwrap();
        let req = format!("POST /buy/1 HTTP/1.1\r\nhost: shop.example\r\n{headers}\r\n");
        stream.write_all(req.as_bytes()).unwrap();
        stream
    }

    fn log(&self) -> String {
        std::fs::read_to_string(&self.node.log).unwrap()
    }
}

/// Guards against headers that get lost, are passed on to the wrong side, or are believed where only
/// the node may set them.
#[test]
fn headers_are_translated_in_both_directions() {
    let site = Site::start();
    site.endpoint.set(Mode::Answer);
    let (head, body) = site.call(
        "POST",
        "/buy/1",
        "Request-Id: r-17\r\nDeadline-Ms: 900\r\nApi-Key: key-of-big\r\nTenant: small\r\n\
         Expect-Instance: i-9\r\n",
    );
    assert_eq!((status(&head), body.as_str()), (200, "r-17done"));
    assert_eq!(header(&head, "request-id").as_deref(), Some("r-17"));
    assert_eq!(header(&head, "response-stamp").as_deref(), Some("stamp-1"));
    let heads = site.endpoint.heads();
    assert_eq!(heads.len(), 1);
    let sent = |name| header(&heads[0], name);
    assert_eq!(sent("request-id").as_deref(), Some("r-17"));
    assert_eq!(sent("expect-instance").as_deref(), Some("i-1"));
    assert_eq!(sent("tenant").as_deref(), Some("big"));
    assert_eq!(sent("api-key"), None);
    assert!(!heads[0].contains("key-of-big"));
    let left: u32 = sent("deadline-ms").unwrap().parse().unwrap();
    assert!((1..=900).contains(&left), "{left} ms left");
    assert_eq!(sent("host").as_deref(), Some("shop.example"));
}

/// Guards against a refusal that looks like another one, or that reaches the endpoint.
#[test]
fn requests_that_the_configuration_does_not_allow_are_refused() {
    let site = Site::start();
    site.endpoint.set(Mode::Answer);
    let answered = |path: &str, headers: &str| status(&site.call("GET", path, headers).0);
    assert_eq!(answered("/view/1", ""), 401);
    assert_eq!(answered("/view/1", "Api-Key: unknown\r\n"), 401);
    assert_eq!(answered("/other/1", "Api-Key: key-of-big\r\n"), 404);
    assert_eq!(answered("/empty/1", ""), 503);
    assert_eq!(site.endpoint.heads().len(), 0);
    // The bucket of an account is empty when its node starts, and fills up in 5 s here. The endpoint
    // has to go on with its heartbeats for so long.
    let sequence = std::cell::Cell::new(1);
    let small = || {
        sequence.set(sequence.get() + 1);
        assert_eq!(site.heartbeat("ready", sequence.get()), 200);
        answered("/view/1", "Api-Key: key-of-small\r\n")
    };
    assert!(wait_until(SOON, || small() == 200));
    assert_eq!(small(), 429);
    assert_eq!(site.endpoint.heads().len(), 1);
}

/// Guards against a promise that a request has not run where it may have, against none where the
/// endpoint has given one, and against an answer that belongs to another request.
#[test]
fn failures_of_the_endpoint_are_told_as_they_are() {
    let site = Site::start();
    let buy = || site.call("POST", "/buy/1", "Api-Key: key-of-big\r\n");
    site.endpoint.set(Mode::NotExecuted);
    let (head, _) = buy();
    assert_eq!(status(&head), 503);
    let retry_after: f64 = header(&head, "retry-after").unwrap().parse().unwrap();
    assert!(retry_after < 1.0, "the endpoint may have room again at once: {retry_after} s");
    site.endpoint.set(Mode::OtherId);
    let (head, body) = buy();
    assert_eq!(status(&head), 502);
    assert!(!body.contains("secret"), "{body}");
    site.endpoint.set(Mode::Answer);
    assert!(wait_until(SOON, || status(&buy().0) == 200));
    site.endpoint.set(Mode::Reset);
    assert_eq!(status(&buy().0), 502);
    assert_eq!(site.endpoint.heads().len(), 1, "it must not run twice");
}

/// Guards against requests to an endpoint that has said that it leaves, and against a late heartbeat
/// that brings it back.
#[test]
fn a_draining_endpoint_gets_no_more_requests() {
    let site = Site::start();
    assert_eq!(site.heartbeat("draining", 3), 200);
    site.endpoint.set(Mode::Answer);
    let open = || status(&site.call("GET", "/open/1", "").0);
    assert_eq!(open(), 503);
    site.heartbeat("ready", 2);
    assert_eq!(open(), 503);
    assert_eq!(site.endpoint.heads().len(), 0);
    assert_eq!(site.heartbeat("ready", 4), 200);
    assert!(wait_until(SOON, || open() == 200));
    assert_ne!(site.heartbeat("asleep", 5), 200);
    assert_eq!(open(), 200);
}

/// Guards against a node that can't be observed, and against settings that need a restart.
#[test]
fn metrics_log_and_reload() {
    let mut site = Site::start();
    let (head, text) = send(site.metrics, "GET", "/metrics", "");
    assert_eq!(status(&head), 200);
    assert!(text.contains("zinniacross_members"), "{text}");
    assert!(text.contains("_bucket{"), "no histogram in {text}");
    site.call("GET", "/open/1", "Request-Id: find-me\r\n");
    // One line of the entry and one of the guard lead from the id to what was decided.
    for decision in ["request", "call"] {
        let is_it = |line: &str| {
            line.contains(r#""request_id":"find-me""#)
                && line.contains(&format!(r#""decision":"{decision}""#))
        };
        assert!(wait_until(SOON, || site.log().lines().any(is_it)), "no line of a {decision}");
    }
    let file = site.dir.path().join("node-0.ini");
    let settings = std::fs::read_to_string(&file).unwrap();
    std::fs::write(&file, format!("{settings}[log]\nlevel = debug\n")).unwrap();
    site.node.process.signal(Signal::Hangup).unwrap();
    assert!(wait_until(SOON, || site.log().contains("settings reloaded")));
    std::fs::write(&file, "[node]\nname = ?\n").unwrap();
    site.node.process.signal(Signal::Hangup).unwrap();
    assert!(wait_until(SOON, || site.log().contains("the settings are kept")));
    assert_eq!(status(&site.call("GET", "/open/1", "").0), 200);
    // The file of a running node may end in a line that is still being written.
    site.node.process.signal(Signal::Terminate).unwrap();
    site.node.process.wait(SOON).expect("the node ends");
    let log = site.log();
    assert!(log.ends_with('\n'), "the last line is cut: {log}");
    for line in log.lines() {
        serde_json::from_str::<serde_json::Value>(line)
            .unwrap_or_else(|err| panic!("{err}: {line}"));
    }
}

/// Guards against requests that a starting node refuses although it has its configuration some tenths of
/// a second later, and against requests that wait while the store is away.
#[test]
fn requests_wait_for_the_start_of_the_node_but_not_for_the_store() {
    let mut site = Site::start();
    site.stop_node(Signal::Kill);
    site.platform.set_faults(Faults { slow_ms: 250, ..Faults::default() });
    let started = Instant::now();
    site.start_node();
    site.heartbeat("ready", 2);
    let code = status(&site.call("GET", "/open/1", "").0);
    // On a busy machine the store may answer after the time for which requests wait.
    assert!(code == 200 || started.elapsed() > Duration::from_secs(1), "{code}");
    site.stop_node(Signal::Kill);
    site.platform.set_faults(Faults { down: true, ..Faults::default() });
    let started = Instant::now();
    site.start_node();
    assert_eq!(status(&site.call("GET", "/open/1", "").0), 503);
    assert!(started.elapsed() < Duration::from_secs(3), "{:?}", started.elapsed());
    let later = Instant::now();
    assert_eq!(status(&site.call("GET", "/open/1", "").0), 503);
    assert!(later.elapsed() < Duration::from_millis(800), "{:?}", later.elapsed());
}

/// Guards against bounds of the configuration on what callers may send that the node does not follow:
/// requests that they allow would be refused, and requests that they forbid would reach endpoints.
#[test]
fn limits_of_the_configuration_are_followed() {
    let site = Site::start();
    let code_of = |bytes: usize| {
        let long = format!("x-long: {}\r\n", "a".repeat(bytes));
        status(&site.call("GET", "/open/1", &long).0)
    };
    assert_eq!(code_of(8_000), 200);
    assert_eq!(code_of(40_000), 431);
    site.put_config(r#""limits":{"maxHeaderBytes":65536}"#);
    site.wait_until("a larger head is allowed", || code_of(40_000) == 200);
    assert!(site.endpoint.heads().iter().any(|head| head.len() > 40_000), "it was cut");
    site.put_config(r#""limits":{"maxHeaderBytes":4096}"#);
    site.wait_until("a smaller bound is in force", || code_of(8_000) == 431);
    // Without limits those of the settings are in force again.
    site.put_config(r#""later":{}"#);
    site.wait_until("the bound is gone", || code_of(8_000) == 200);
}

/// Guards against an entry of another writer that ends the node, or that keeps it from following the
/// other entries: a change after the odd ones has to take effect.
#[test]
fn odd_entries_in_the_store_are_skipped() {
    let site = Site::start();
    site.endpoint.set(Mode::Answer);
    let deep = "[".repeat(20_000) + &"]".repeat(20_000);
    let record = |addr: &str, slots: &str| {
        format!(
            r#"{{"write_id":"w","document":{{"domain":"a","peer_addr":"{addr}","operator_addr":
                "10.0.0.1:1","incarnation":1,"endpoints":[{{"name":"e","service":"orders","addr":
                "10.0.0.1:80","slots":{slots},"state":"ready"}}]}}}}"#
        )
    };
    let odd = [
        deep.clone(),
        "1e999".to_owned(),
        format!("{:?}", "x".repeat(900_000)),
        format!(r#"{{"write_id":"w","document":{deep}}}"#),
        record("10.0.0.1:70000", "3"),
        record("10.0.0.1:80", "1e30"),
        record("10.0.0.1:80", "-1"),
        record("10.0.0.1:80", "4294967296"),
    ];
    for (index, spec) in odd.iter().enumerate() {
        site.create_object("zinniacross", &format!("node.odd-{index}"), spec);
    }
    site.create_object("zinniacross", "no-known-kind", "{}");
    // A mark that drains the endpoint is the change that has to be noticed.
    let mark = r#"{"write_id":"w","document":{"drained":true}}"#;
    site.create_object("zinniacross", "endpoint-mark.i-1", mark);
    let open = || status(&site.call("GET", "/open/1", "").0);
    site.wait_until("the mark takes effect", || open() == 503);
    let skipped = || site.log().lines().filter(|line| line.contains("skipping")).count();
    site.wait_until("the odd entries are logged", || skipped() > odd.len());
    let metrics = || send(site.metrics, "GET", "/metrics", "").1;
    site.wait_until("the odd entries are counted", || {
        metrics().lines().any(|line| {
            let count = line.strip_prefix("zinniacross_entries_skipped ");
            count.is_some_and(|count| count.parse::<usize>().unwrap() > odd.len())
        })
    });
    assert_eq!(status(&send(site.ready, "GET", "/api/readyz", "").0), 200);
}

/// Starts of answers whose bodies have no end, with the text that follows again and again.
fn endless_bodies() -> [(&'static str, &'static str); 3] {
    const CHUNKED: &str = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-stamp: s\r\n\
                           transfer-encoding: chunked\r\n\r\n";
    const UNTIL_CLOSE: &str = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-stamp: s\r\n\r\n";
    const HUGE: &str = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-stamp: s\r\n\
                        content-length: 1000000000000\r\n\r\n";
    [(CHUNKED, "1000\r\n"), (UNTIL_CLOSE, "x"), (HUGE, "x")].map(|(start, repeated)| {
        let repeated = match repeated {
            "x" => "x",
            size => Box::leak(format!("{size}{}\r\n", "x".repeat(0x1000)).into_boxed_str()),
        };
        (start, repeated)
    })
}

/// Guards against a node that waits for, or keeps, bytes that never become an answer, and against a
/// caller that takes them for a complete success or is told that the request has not run.
#[test]
fn answers_without_end_are_given_up() {
    let site = Site::start();
    let key = "Api-Key: key-of-big\r\nDeadline-Ms: 600\r\n";
    let kinds = [
        ("", "\u{1}\u{2}"),
        ("HTTP/1.1 200 OK\r\n", "x"),
        ("HTTP/1.1 200 OK\r\n", "x: y\r\n"),
        ("", "HTTP/1.1 100 Continue\r\n\r\n"),
    ];
    let before = site.resident_kb();
    for (start, repeated) in kinds {
        for round in 0..5 {
            site.endpoint.set(Mode::Endless(start, repeated));
            let started = std::time::Instant::now();
            let (head, body) = site.call("POST", "/buy/1", key);
            assert!(matches!(status(&head), 502 | 504), "{start:?} {repeated:?}: {head}");
            assert!(body.contains("\"code\":2"), "{body}");
            let elapsed = started.elapsed();
            assert!(elapsed < Duration::from_secs(2), "{start:?} {repeated:?}: {elapsed:?}");
            site.endpoint.set(Mode::Answer);
            site.wait_until(&format!("round {round}: the node serves again"), || {
                status(&site.call("POST", "/buy/1", "Api-Key: key-of-big\r\n").0) == 200
            });
        }
    }
    // The rest of an answer whose body has no end is passed on until the caller leaves, which ends it.
    for (start, repeated) in endless_bodies() {
        site.endpoint.set(Mode::Endless(start, repeated));
        let mut stream = site.start_call(key);
        let mut received = vec![0; 16 << 10];
        stream.read_exact(&mut received).unwrap();
        drop(stream);
        site.endpoint.set(Mode::Answer);
        site.wait_until("the node serves again", || {
            status(&site.call("POST", "/buy/1", "Api-Key: key-of-big\r\n").0) == 200
        });
    }
    let grown = site.resident_kb().saturating_sub(before);
    assert!(grown < 32 * 1024, "{grown} KB more after answers without end");
}

/// Guards against an answer that is passed on past the timeout of its route because its body has no end:
/// the caller gets no final answer, and the endpoint's slot stays in use.
#[test]
fn bodies_without_end_end_at_the_timeout_of_the_route() {
    let site = Site::start();
    for (start, repeated) in endless_bodies() {
        site.endpoint.set(Mode::Endless(start, repeated));
        let started = Instant::now();
        let mut stream = site.start_call("Api-Key: key-of-big\r\nDeadline-Ms: 6000\r\n");
        let mut received = Vec::new();
        let end = stream.read_to_end(&mut received);
        let elapsed = started.elapsed();
        // The route has a timeout of 1.5 s, and a request has its final answer 0.5 s later.
        assert!(elapsed > Duration::from_millis(1400), "{start}: {elapsed:?}");
        assert!(elapsed < Duration::from_secs(2), "{start}: {elapsed:?}");
        assert!(received.starts_with(b"HTTP/1.1 200"), "{start}");
        assert!(!received.ends_with(b"\r\n0\r\n\r\n"), "{start}: a cut body looks complete");
        let has_length = received.windows(15).any(|text| text == b"content-length:");
        let is_chunked = received.windows(18).any(|text| text == b"transfer-encoding:");
        assert!(end.is_err() || has_length || is_chunked, "{start}: a cut body looks complete");
        site.endpoint.set(Mode::Answer);
        site.wait_until("the node serves again", || {
            status(&site.call("POST", "/buy/1", "Api-Key: key-of-big\r\n").0) == 200
        });
    }
}

/// Guards against callers that do not read their answers and keep the endpoint's slots in use past the
/// timeout of the route.
#[test]
fn unread_answers_free_their_slots_at_the_timeout_of_the_route() {
    let site = Site::start();
    for (start, repeated) in endless_bodies() {
        site.endpoint.set(Mode::Endless(start, repeated));
        let key = "Api-Key: key-of-big\r\nDeadline-Ms: 6000\r\n";
        let unread: Vec<TcpStream> = (0..3).map(|_| site.start_call(key)).collect();
        assert!(wait_until(SOON, || site.endpoint.heads().len() == 3), "{start}");
        site.endpoint.set(Mode::Answer);
        assert_eq!(site.heartbeat("ready", 50), 200);
        thread::sleep(Duration::from_millis(2000));
        let (head, _) = site.call("POST", "/buy/1", "Api-Key: key-of-big\r\nDeadline-Ms: 500\r\n");
        assert_eq!(status(&head), 200, "{start}: the slots are still in use");
        drop(unread);
    }
}

/// Guards against a second copy of an answer that arrives when the next request has been sent on the
/// connection, and is taken for the answer to that one.
#[test]
fn a_late_second_copy_of_an_answer_reaches_nobody() {
    let site = Site::start();
    site.endpoint.set(Mode::LateCopy);
    for number in 0..40 {
        let id = format!("r-{number}");
        let headers = format!("Request-Id: {id}\r\nApi-Key: key-of-big\r\n");
        let (head, body) = site.call("POST", "/buy/1", &headers);
        match status(&head) {
            200 => assert_eq!(body, format!("{id}done")),
            status => {
                assert!(matches!(status, 502 | 503), "{head}");
                assert!(!body.contains("done"), "{body}");
            }
        }
        assert_eq!(site.heartbeat("ready", 200 + number), 200);
    }
    assert!(site.log().contains("the request id differs"));
}

/// Guards against a late second copy of a refusal that is taken for the refusal of the next request on
/// the connection: its caller would be told that the request has not run, or it would run twice.
#[test]
fn a_late_second_copy_of_a_refusal_refuses_no_other_request() {
    for refusal in [Refusal::WithId, Refusal::WithoutId, Refusal::OtherInstance] {
        let site = Site::start();
        site.endpoint.set(Mode::LateRefusal(refusal));
        let mut statuses = Vec::new();
        for number in 0..8 {
            let id = format!("r-{number}");
            let headers = format!("Request-Id: {id}\r\nApi-Key: key-of-big\r\n");
            let status = status(&site.call("POST", "/buy/1", &headers).0);
            let runs = site.endpoint.runs.lock().unwrap().iter().filter(|run| **run == id).count();
            assert!(runs <= 1, "{refusal:?}: {id} ran {runs} times");
            if matches!(status, 408 | 421 | 429 | 503) {
                assert_eq!(runs, 0, "{refusal:?}: {id} got {status} and ran");
            }
            statuses.push(status);
            assert_eq!(site.heartbeat("ready", 200 + number), 200);
        }
        // Refusals on new connections can't be copies, so they are still passed on as such.
        assert!(statuses.contains(&502) && statuses.contains(&503), "{refusal:?}: {statuses:?}");
    }
}

/// Guards against an endpoint that is in use again after a restart of its node, because a message that
/// it sent before it left arrives late: the new process has seen neither the notice nor the other
/// messages. A later start of the endpoint is another one.
#[test]
fn an_endpoint_that_left_is_not_in_use_again_after_a_restart() {
    let cases = [("gone", Signal::Kill), ("draining", Signal::Kill)]
        .into_iter()
        .chain([("gone", Signal::Terminate), ("draining", Signal::Terminate)]);
    for (notice, signal) in cases {
        let mut site = Site::start();
        site.endpoint.set(Mode::Answer);
        assert_eq!(site.give_notice(notice, 8), 200);
        assert!(wait_until(SOON, || site.stored_record().contains("departed")), "{notice}");
        // A node removes its record only if it knows the latest revision of it.
        let stored: serde_json::Value = serde_json::from_str(&site.stored_record()).unwrap();
        let revision = stored["meta"]["rev"].as_u64().unwrap();
        assert!(wait_until(SOON, || site.objects_revision() >= revision), "{notice}");
        site.restart(signal);
        let open = |site: &Site| status(&site.call("GET", "/open/1", "").0);
        for late in [3, 7] {
            site.heartbeat("ready", late);
            for _ in 0..5 {
                assert_eq!(open(&site), 503, "{notice}, {signal:?}, message {late}");
            }
        }
        assert_eq!(site.endpoint.heads().len(), 0, "{notice}");
        assert_eq!(site.heartbeat_of_start("ready", 1, 9000), 200);
        assert!(wait_until(SOON, || open(&site) == 200), "{notice}: the endpoint starts again");
    }
}

/// Guards against an acknowledgement of a notice that a kill of the node right after it undoes: the
/// departure was not stored yet, and a message from before the notice brought the endpoint back.
#[test]
fn an_acknowledged_departure_outlasts_a_kill() {
    for notice in ["gone", "draining"] {
        let mut site = Site::start();
        site.endpoint.set(Mode::Answer);
        let faults = Faults { slow_ms: 200, ..Faults::default() };
        site.platform.set_faults(faults);
        assert_eq!(site.give_notice(notice, 8), 200);
        site.restart(Signal::Kill);
        site.heartbeat("ready", 3);
        for _ in 0..5 {
            assert_eq!(status(&site.call("GET", "/open/1", "").0), 503, "{notice}");
        }
        assert_eq!(site.endpoint.heads().len(), 0, "{notice}");
    }
}

/// Guards against a departure that is acknowledged but stored nowhere, because the store is away. The
/// endpoint gets no requests all the same, and a later notice is acknowledged soon after the store is
/// back.
#[test]
fn departures_are_acknowledged_once_they_are_stored() {
    for notice in ["gone", "draining"] {
        let site = Site::start();
        site.platform.set_faults(Faults { down: true, ..Faults::default() });
        site.endpoint.set(Mode::Answer);
        let started = Instant::now();
        assert_eq!(site.give_notice(notice, 8), 503, "{notice}");
        assert!(started.elapsed() < Duration::from_secs(1), "endpoints wait no longer");
        assert_eq!(status(&site.call("GET", "/open/1", "").0), 503, "{notice}");
        assert_eq!(site.endpoint.heads().len(), 0, "{notice}");
        site.platform.set_faults(Faults::default());
        let mut seq = 8;
        let acknowledged = wait_until(SOON, || {
            seq += 1;
            site.give_notice(notice, seq) == 200
        });
        assert!(acknowledged, "{notice}");
        assert!(site.stored_record().contains("departed"), "{notice}");
    }
}

/// Guards against a late message that a new process takes for one of an endpoint that is still there,
/// because it can't read the departures that the process before it has stored.
#[test]
fn endpoints_wait_until_departures_are_known() {
    let mut site = Site::start();
    assert_eq!(site.give_notice("gone", 8), 200);
    site.stop_node(Signal::Kill);
    site.platform.set_faults(Faults { down: true, ..Faults::default() });
    site.start_node();
    let started = Instant::now();
    assert_eq!(site.heartbeat("ready", 3), 503);
    assert!(started.elapsed() < Duration::from_secs(1), "endpoints wait no longer");
    site.platform.set_faults(Faults::default());
    // A message of a later start is accepted once the store is back.
    assert!(wait_until(SOON, || site.heartbeat_of_start("ready", 1, 9000) == 200));
    assert!(wait_until(SOON, || status(&site.call("GET", "/open/1", "").0) == 200));
}

/// Restarts the node, and lets the last write of the process before take effect after the new one has
/// read the stored objects. That write says that the endpoint is gone. Returns the record, or `None` if
/// the new process has written its own before.
fn late_write(site: &mut Site) -> Option<serde_json::Value> {
    assert!(wait_until(SOON, || {
        site.heartbeat("ready", 1);
        site.stored_record().contains("i-1")
    }));
    let mut late: serde_json::Value = serde_json::from_str(&site.stored_record()).unwrap();
    site.stop_node(Signal::Kill);
    site.start_node();
    assert!(wait_until(SOON, || site.log().contains("from list")));
    let document = &mut late["spec"]["document"];
    document["endpoints"] = serde_json::json!([]);
    document["departed"] = serde_json::json!([{"name": "i-1", "started_ms": 7}]);
    let url = format!("{}/api/objects/zinniacross/node.node-0", site.platform.url());
    match ureq::put(&url).header("content-type", "application/json").send(late.to_string()) {
        Ok(_) => Some(late),
        Err(ureq::Error::StatusCode(409)) => None,
        Err(err) => panic!("{err}"),
    }
}

/// Guards against a node record that is written over that of an earlier process, whose last write took
/// effect late, before its departures have been read.
#[test]
fn departures_of_a_late_write_are_kept() {
    let mut site = Site::start();
    // On a busy machine the new process may have replaced the record before the late write arrives, whose
    // condition then fails.
    let tries = 10;
    let late = (0..tries).find_map(|_| late_write(&mut site)).expect("a late write is accepted");
    site.endpoint.set(Mode::Answer);
    assert_eq!(site.heartbeat("ready", 3), 200);
    let is_kept = || {
        let record = site.stored_record();
        !record.contains(&late["spec"]["document"]["incarnation"].to_string())
            && record.contains("departed")
    };
    assert!(wait_until(SOON, is_kept), "{}", site.stored_record());
    assert_eq!(status(&site.call("GET", "/open/1", "").0), 503);
}
