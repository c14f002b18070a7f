//! A node with the interface of the users' platform, with a store that holds a configuration, and an
//! endpoint whose answers a test chooses.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use standins::platform::{PlatformConfig, PlatformStandin};
use standins::process::{NodeOptions, NodeProcess, Signal, TempDir, free_addrs, wait_until};

pub const LOCAL: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Time for what a node does by itself, on a machine that also builds.
pub const SOON: Duration = Duration::from_secs(20);

const CONFIG: &str = r#"{"routes":[
    {"name":"view","host":"shop.example","pathPrefix":"/view/","kind":"safe","timeoutS":1500,
     "attempts":2,"service":"orders"},
    {"name":"buy","host":"shop.example","pathPrefix":"/buy/","kind":"unsafe","timeoutS":1500,
     "attempts":2,"service":"orders"},
    {"name":"open","host":"shop.example","pathPrefix":"/open/","kind":"safe","timeoutS":1500,
     "service":"orders","noAuth":true},
    {"name":"empty","host":"shop.example","pathPrefix":"/empty/","kind":"safe","timeoutS":1500,
     "service":"nobody","noAuth":true},
    {"name":"stock","host":"shop.example","pathPrefix":"/stock/","kind":"unsafe","timeoutS":1500,
     "attempts":2,"service":"stock","noAuth":true}],
  "tenants":[{"name":"big","apiKeys":["key-of-big"],"ratePerS":0},
             {"name":"small","apiKeys":["key-of-small"],"ratePerS":0.2,"burst":1}]}"#;

/// What the endpoint does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Answer,
    /// The answer carries the id of another request.
    OtherId,
    /// Refuses without running the request, and says so.
    NotExecuted,
    /// Closes the connection.
    Reset,
    /// Sends this start of an answer and closes the connection.
    BreakOff(&'static str),
    /// Sends this text as the answer and keeps the connection open.
    Send(&'static str),
    /// Makes a request of its own, `POST /stock/1` without a key, through the node at this address. Its
    /// answer is a success whose body is the answer that it got.
    CallThrough(SocketAddr),
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
pub enum Refusal {
    /// 503 with the id of the refused request.
    WithId,
    /// 503 without an id.
    WithoutId,
    /// 421 without an id.
    OtherInstance,
}

/// An endpoint that keeps the heads of the requests that it got.
#[derive(Clone)]
pub struct Endpoint {
    pub addr: SocketAddr,
    pub mode: Arc<Mutex<Mode>>,
    pub heads: Arc<Mutex<Vec<String>>>,
    /// Ids of the requests that it ran.
    pub runs: Arc<Mutex<Vec<String>>>,
    /// Place of each request, in the order of `heads`.
    places: Arc<Mutex<Vec<Place>>>,
}

/// Where an endpoint got a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Number of the connection.
    pub connection: usize,
    /// Number of the request on its connection, from 0.
    pub position: usize,
}

impl Endpoint {
    pub fn start() -> Endpoint {
        let listener = TcpListener::bind(LOCAL).unwrap();
        let addr = listener.local_addr().unwrap();
        let mode = Arc::new(Mutex::new(Mode::Answer));
        let [heads, runs] = [(); 2].map(|()| Arc::<Mutex<Vec<String>>>::default());
        let places = Arc::<Mutex<Vec<Place>>>::default();
        let endpoint = Endpoint { addr, mode, heads, runs, places };
        let shared = endpoint.clone();
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let endpoint = shared.clone();
                thread::spawn(move || serve(stream, connection, &endpoint));
            }
        });
        endpoint
    }

    pub fn set(&self, mode: Mode) {
        *self.mode.lock().unwrap() = mode;
        self.heads.lock().unwrap().clear();
        self.places.lock().unwrap().clear();
    }

    /// Places of the requests since the mode was set.
    pub fn places(&self) -> Vec<Place> {
        self.places.lock().unwrap().clone()
    }

    pub fn heads(&self) -> Vec<String> {
        self.heads.lock().unwrap().clone()
    }
}

fn serve(stream: TcpStream, connection: usize, endpoint: &Endpoint) {
    let Endpoint { mode, heads, runs, places, .. } = endpoint;
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut stream = stream;
    let mut previous = String::new();
    let mut position = 0;
    while let Some(head) = read_head(&mut reader) {
        let length = header(&head, "content-length").map_or(0, |text| text.parse().unwrap());
        reader.read_exact(&mut vec![0; length]).unwrap();
        let id = header(&head, "request-id").unwrap_or_default();
        heads.lock().unwrap().push(head);
        places.lock().unwrap().push(Place { connection, position });
        position += 1;

        let mode = *mode.lock().unwrap();
        let success = format!(
            "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-stamp: stamp-1\r\n\
             content-length: {}\r\n\r\n{id}done",
            id.len() + 4
        );
        let answer = match mode {
            Mode::Answer => success,
            Mode::Send(text) => text.replace("{id}", &id),
            Mode::CallThrough(node) => {
                let (head, body) = send(node, "POST", "/stock/1", "");
                let received = head + &body;
                format!(
                    "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-stamp: stamp-1\r\n\
                     content-length: {}\r\n\r\n{received}",
                    received.len()
                )
            }
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
            Mode::BreakOff(start) => {
                let _ = stream.write_all(start.replace("{id}", &id).as_bytes());
                return;
            }
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

pub fn header(head: &str, name: &str) -> Option<String> {
    let value = |line: &str| Some(line.strip_prefix(name)?.strip_prefix(": ")?.trim().to_owned());
    head.lines().find_map(value)
}

/// Sends one request on a connection of its own. Gives the head and the body of the answer.
pub fn send(to: SocketAddr, method: &str, path: &str, headers: &str) -> (String, String) {
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

/// Sends a heartbeat of an endpoint to a node. Returns the status.
pub fn send_heartbeat(node: SocketAddr, endpoint: &str, body: String) -> u16 {
    answer_status(ureq::put(format!("http://{node}/api/endpoints/{endpoint}")).send(body))
}

/// Sends the notice that an endpoint is gone to its node. Returns the status.
pub fn send_removal(node: SocketAddr, endpoint: &str, body: String) -> u16 {
    let url = format!("http://{node}/api/endpoints/{endpoint}");
    let req = ureq::http::Request::delete(&url).body(body).unwrap();
    let agent: ureq::Agent =
        ureq::Agent::config_builder().allow_non_standard_methods(true).build().into();
    answer_status(agent.run(req))
}

fn answer_status(answer: Result<ureq::http::Response<ureq::Body>, ureq::Error>) -> u16 {
    match answer {
        Ok(answer) => answer.status().as_u16(),
        Err(ureq::Error::StatusCode(status)) => status,
        Err(err) => panic!("{err}"),
    }
}

pub fn status(head: &str) -> u16 {
    head.split(' ').nth(1).unwrap().parse().unwrap()
}

pub struct Site {
    pub endpoint: Endpoint,
    pub node: NodeProcess,
    pub ready: SocketAddr,
    pub metrics: SocketAddr,
    pub dir: TempDir,
    pub options: NodeOptions,
    pub platform: PlatformStandin,
}

impl Site {
    pub fn start() -> Site {
        Site::start_in(None)
    }

    /// The same with a store that is in this era, if it tells one.
    pub fn start_in(era: Option<u64>) -> Site {
        let platform = PlatformStandin::start(LOCAL, PlatformConfig::default()).unwrap();
        era.iter().for_each(|era| platform.tell_era(*era));
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

    pub fn heartbeat(&self, state: &str, seq: u32) -> u16 {
        self.heartbeat_of_start(state, seq, 7)
    }

    /// Sends a heartbeat of the start of the endpoint at the Unix time `born`, in milliseconds.
    pub fn heartbeat_of_start(&self, state: &str, seq: u32, born: u64) -> u16 {
        let addr = self.endpoint.addr;
        let body = format!(
            r#"{{"service":"orders","addr":"{addr}","slots":3,"state":"{state}","seq":{seq},"born":{born}}}"#
        );
        self.announce("i-1", body)
    }

    /// Sends a heartbeat of the endpoint with this name.
    pub fn announce(&self, name: &str, body: String) -> u16 {
        send_heartbeat(self.node.announce, name, body)
    }

    /// Sends the notice that the endpoint is gone. Returns the status.
    pub fn deregister(&self, seq: u32) -> u16 {
        send_removal(self.node.announce, "i-1", format!(r#"{{"seq":{seq},"born":7}}"#))
    }

    /// Sends a notice that the endpoint leaves, or that it is gone.
    pub fn give_notice(&self, notice: &str, seq: u32) -> u16 {
        match notice {
            "gone" => self.deregister(seq),
            state => self.heartbeat(state, seq),
        }
    }

    pub fn stop_node(&mut self, signal: Signal) {
        self.node.process.signal(signal).unwrap();
        self.node.process.wait(SOON).expect("the process ends");
    }

    /// Starts the node and waits until it listens.
    pub fn start_node(&mut self) {
        let binary = Path::new(env!("CARGO_BIN_EXE_zinniacross"));
        self.node = NodeProcess::start(binary, self.dir.path(), &self.options).unwrap();
        assert!(wait_until(SOON, || TcpStream::connect(self.ready).is_ok()));
    }

    /// Ends the node with a signal and starts it again, and waits until it is ready.
    pub fn restart(&mut self, signal: Signal) {
        self.stop_node(signal);
        self.start_node();
        assert!(wait_until(SOON, || {
            status(&send(self.ready, "GET", "/api/readyz", "").0) == 200
        }));
    }

    /// The record of the node in the store.
    pub fn stored_record(&self) -> String {
        let url = format!("{}/api/objects/zinniacross/node.node-0", self.platform.url());
        match ureq::get(&url).call() {
            Ok(mut answer) => answer.body_mut().read_to_string().unwrap(),
            Err(_) => String::new(),
        }
    }

    /// Writes the configuration with one more field.
    pub fn put_config(&self, field: &str) {
        let url = format!("{}/api/objects/config/main", self.platform.url());
        let stored = ureq::get(&url).call().unwrap().body_mut().read_to_string().unwrap();
        let stored: serde_json::Value = serde_json::from_str(&stored).unwrap();
        let rev = &stored["meta"]["rev"];
        let spec = CONFIG.replacen('{', &format!("{{{field},"), 1);
        let body = format!(r#"{{"meta":{{"name":"main","rev":{rev}}},"spec":{spec}}}"#);
        ureq::put(&url).header("content-type", "application/json").send(body).unwrap();
    }

    /// Creates an object in the store, as another writer does.
    pub fn create_object(&self, kind: &str, name: &str, spec: &str) {
        let body = format!(r#"{{"meta":{{"name":"{name}"}},"spec":{spec}}}"#);
        let url = format!("{}/api/objects/{kind}", self.platform.url());
        ureq::post(&url).header("content-type", "application/json").send(body).unwrap();
    }

    /// Sends heartbeats while `condition` is checked, so that the endpoint does not lapse.
    pub fn wait_until(&self, what: &str, mut condition: impl FnMut() -> bool) {
        let mut seq = 100;
        let holds = wait_until(SOON, || {
            seq += 1;
            self.heartbeat("ready", seq);
            condition()
        });
        assert!(holds, "{what}");
    }

    /// Resident memory of the node, in kilobytes.
    pub fn resident_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.node.process.id());
        let text = std::fs::read_to_string(path).unwrap();
        let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    /// Revision of the stored objects that the node knows.
    pub fn objects_revision(&self) -> u64 {
        let metrics = send(self.metrics, "GET", "/metrics", "").1;
        let value = |line: &str| line.strip_prefix("zinniacross_objects_revision ")?.parse().ok();
        metrics.lines().find_map(value).unwrap()
    }

    pub fn call(&self, method: &str, path: &str, headers: &str) -> (String, String) {
        send(self.node.caller, method, path, headers)
    }

    /// Sends a request, and returns the connection on which its answer arrives.
    pub fn start_call(&self, headers: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.node.caller).unwrap();
        stream.set_read_timeout(Some(SOON)).unwrap();
        let req = format!("POST /buy/1 HTTP/1.1\r\nhost: shop.example\r\n{headers}\r\n");
        stream.write_all(req.as_bytes()).unwrap();
        stream
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.node.log).unwrap()
    }
}
