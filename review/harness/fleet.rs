//! Nodes, the store, endpoints and clients of a small deployment.

use std::collections::HashMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// Interval of heartbeats, as in the sites.
pub const BEAT: Duration = Duration::from_millis(1500);

/// Processes that were started and have not been waited for.
static CHILDREN: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Kills all processes that this one has started.
pub fn kill_all() {
    for pid in CHILDREN.lock().unwrap().drain(..) {
        signal(pid, SIGKILL);
    }
}

pub fn signal(pid: i32, number: i32) {
    // SAFETY: the call takes no pointers.
    unsafe { kill(pid, number) };
}

/// The record of a run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = File::create(path).expect("the record can be written");
        Record { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.start.elapsed().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Root of the repository.
fn root() -> PathBuf {
    std::env::current_dir().expect("the current folder is known")
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

pub fn wait_until(within: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + within;
    while !condition() {
        if Instant::now() >= deadline {
            return false;
        }
        thread::sleep(Duration::from_millis(20));
    }
    true
}

/// A small deterministic generator.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// True with this probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64 <= probability
    }
}

/// A deployment: the store and one node for each machine.
pub struct Fleet {
    pub nodes: Vec<Node>,
    pub store: SocketAddr,
    dir: PathBuf,
    octets: [u8; 2],
}

/// A machine with its node.
pub struct Node {
    pub name: String,
    pub ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Node {
    pub fn outbound(&self) -> SocketAddr {
        SocketAddr::from((self.ip, 8548))
    }

    pub fn control(&self) -> SocketAddr {
        SocketAddr::from((self.ip, 8540))
    }

    pub fn ready(&self) -> SocketAddr {
        SocketAddr::from((self.ip, 8546))
    }

    pub fn app(&self) -> SocketAddr {
        SocketAddr::from((self.ip, 8547))
    }

    pub fn is_ready(&self) -> bool {
        let req =
            format!("GET /api/readyz HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n", self.ip);
        http::call(self.ready(), req.as_bytes(), Duration::from_secs(1)).status() == 200
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn signal(&self, number: i32) {
        if let Some(child) = &self.child {
            signal(child.id() as i32, number);
        }
    }

    /// Starts the process as the deploy file says.
    pub fn start(&mut self) -> io::Result<()> {
        let deploy = fs::read_to_string(root().join("deploy/system.toml"))?;
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = "));
        let run = run.ok_or_else(|| io::Error::other("the deploy file has no command"))?;
        let mut words = run.trim().trim_matches('"').split(' ');
        let program = root().join(words.next().unwrap_or_default());
        let log = OpenOptions::new().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(program);
        command.args(words).env_clear().current_dir(root()).stdin(Stdio::null());
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        command.env("ZINNIACROSS_SETTINGS", &self.settings);
        let child = command.stdout(log.try_clone()?).stderr(log).spawn()?;
        CHILDREN.lock().unwrap().push(child.id() as i32);
        self.child = Some(child);
        Ok(())
    }

    /// Waits for the process to end, and tells whether it did.
    pub fn wait(&mut self, within: Duration) -> bool {
        let Some(child) = &mut self.child else { return true };
        let ended = wait_until(within, || matches!(child.try_wait(), Ok(Some(_))));
        if ended {
            let pid = child.id() as i32;
            CHILDREN.lock().unwrap().retain(|known| *known != pid);
            self.child = None;
        }
        ended
    }

    /// SIGTERM, SIGKILL after the grace time, and a start after a short delay.
    pub fn restart(&mut self, grace: Duration, pause: Duration) {
        self.signal(SIGTERM);
        if !self.wait(grace) {
            self.signal(SIGKILL);
            self.wait(Duration::from_secs(5));
        }
        thread::sleep(pause);
        self.start().expect("a node starts again");
    }
}

impl Fleet {
    /// Starts the store and a node for each of the given services, with the failure domains of `zones`
    /// in turn.
    pub fn start(record: &Record, services: &[&str], config: &str) -> Result<Fleet, String> {
        let octets = free_octets().ok_or("no free loopback addresses")?;
        let dir = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix_ms()));
        fs::create_dir_all(&dir).map_err(|err| err.to_string())?;
        let ip = |last: u8| Ipv4Addr::new(127, octets[0], octets[1], last);
        let store = SocketAddr::from((ip(200), 8545));
        let mut fleet = Fleet { nodes: Vec::new(), store, dir, octets };
        fleet.start_store().map_err(|err| format!("the store does not start: {err}"))?;
        if !wait_until(Duration::from_secs(10), || TcpStream::connect(store).is_ok()) {
            return Err("the store does not listen".to_owned());
        }
        fleet.create("config", "main", config)?;
        for (index, service) in services.iter().enumerate() {
            fleet.add_node(index, service).map_err(|err| err.to_string())?;
        }
        let ready = wait_until(Duration::from_secs(20), || fleet.nodes.iter().all(Node::is_ready));
        record.line(&format!("{} nodes, ready: {ready}", fleet.nodes.len()));
        if ready { Ok(fleet) } else { Err("the nodes are not ready".to_owned()) }
    }

    fn start_store(&self) -> io::Result<()> {
        let log = File::create(self.dir.join("store.log"))?;
        let child = Command::new(root().join("target/release/standin-platform"))
            .args(["--listen", &self.store.to_string()])
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        CHILDREN.lock().unwrap().push(child.id() as i32);
        Ok(())
    }

    fn add_node(&mut self, index: usize, service: &str) -> io::Result<()> {
        let ip = Ipv4Addr::new(127, self.octets[0], self.octets[1], 10 + index as u8);
        let zone = ["mid-a", "mid-b", "mid-c", "mid-d"][index % 4];
        let name = format!("sidecar-{zone}-{}", index / 4 + 1);
        let listen = |port: u16| format!("{ip}:{port}");
        let fields: HashMap<&str, String> = HashMap::from([
            ("node", name.clone()),
            ("zone", zone.to_owned()),
            ("service", service.to_owned()),
            ("ip", ip.to_string()),
            ("bounds.graceS", "6".to_owned()),
            ("bounds.retrySlack", "64".to_owned()),
            ("listen.outbound", listen(8548)),
            ("listen.inbound", listen(8543)),
            ("listen.control", listen(8540)),
            ("listen.ready", listen(8546)),
            ("portRange.0", "7000".to_owned()),
            ("portRange.1", "7015".to_owned()),
            ("platform.addr", self.store.to_string()),
        ]);
        let template = fs::read_to_string(root().join("deploy/node.ini"))?;
        let settings = self.dir.join(format!("{name}.ini"));
        fs::write(&settings, fill_in(&template, &fields))?;
        let log = self.dir.join(format!("{name}.log"));
        let mut node = Node { name, ip, settings, log, child: None };
        node.start()?;
        self.nodes.push(node);
        Ok(())
    }

    /// Creates an object in the store.
    pub fn create(&self, kind: &str, name: &str, spec: &str) -> Result<(), String> {
        let body = format!(r#"{{"meta":{{"name":"{name}"}},"spec":{spec}}}"#);
        let req = format!(
            "POST /api/objects/{kind} HTTP/1.1\r\nHost: store\r\nConnection: close\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let outcome = http::call(self.store, req.as_bytes(), Duration::from_secs(3));
        match outcome.status() {
            200..300 => Ok(()),
            _ => Err(format!("the store does not take {kind}/{name}: {}", outcome.text())),
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        kill_all();
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// Fills in the template of the settings: values, and sections that are shown if there is a value.
fn fill_in(template: &str, fields: &HashMap<&str, String>) -> String {
    let mut text = template.to_owned();
    for (name, value) in fields {
        let (open, close) = (format!("{{{{#{name}}}}}"), format!("{{{{/{name}}}}}"));
        if let (Some(start), Some(end)) = (text.find(&open), text.find(&close)) {
            let inner = text[start + open.len()..end].replace("{{.}}", value);
            text.replace_range(start..end + close.len(), &inner);
        }
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}

/// The middle of loopback addresses that nothing listens on.
fn free_octets() -> Option<[u8; 2]> {
    let start = std::process::id();
    (0..1000u32).map(|step| start.wrapping_add(step * 7919)).find_map(|number| {
        let octets = [16 + (number % 200) as u8, (number / 200 % 250) as u8];
        let is_free = |last: u8, port: u16| {
            TcpListener::bind((Ipv4Addr::new(127, octets[0], octets[1], last), port)).is_ok()
        };
        let ports = [7000, 7015, 8540, 8543, 8545, 8546, 8547, 8548];
        let free = (10..18).chain([200]).all(|last| ports.iter().all(|port| is_free(last, *port)));
        free.then_some(octets)
    })
}

/// What an endpoint does with the request of this id on a connection, which may keep an answer to send
/// once more. It returns whether the connection stays open.
pub type Behaviour = dyn Fn(&str, &mut TcpStream, &mut Option<Vec<u8>>) -> bool + Send + Sync;

/// A stand-in of an endpoint beside a node.
#[derive(Clone)]
pub struct Endpoint {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    pub control: SocketAddr,
    pub slots: u32,
    pub born: u64,
    seq: Arc<AtomicU64>,
    beats: Arc<AtomicBool>,
}

impl Endpoint {
    /// Listens at the address of the machine's endpoint, and sends heartbeats.
    pub fn start(
        node: &Node,
        id: &str,
        service: &str,
        slots: u32,
        behaviour: Arc<Behaviour>,
    ) -> Endpoint {
        let listener = TcpListener::bind(node.app()).expect("the endpoint listens");
        let endpoint = Endpoint {
            id: id.to_owned(),
            service: service.to_owned(),
            addr: node.app(),
            control: node.control(),
            slots,
            born: unix_ms(),
            seq: Arc::default(),
            beats: Arc::new(AtomicBool::new(true)),
        };
        let own = endpoint.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (own, behaviour) = (own.clone(), Arc::clone(&behaviour));
                thread::spawn(move || own.serve(stream, &*behaviour));
            }
        });
        let own = endpoint.clone();
        thread::spawn(move || {
            while own.beats.load(Ordering::Relaxed) {
                own.beat("ready");
                thread::sleep(BEAT);
            }
        });
        endpoint
    }

    fn serve(&self, mut stream: TcpStream, behaviour: &Behaviour) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().expect("a socket can be shared"));
        let mut late = None;
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            if http::read_body(&head, &mut reader, false).is_err() {
                return;
            }
            let id = head.get("request-id").unwrap_or_default().to_owned();
            let expected = head.get("expect-instance").unwrap_or(&self.id);
            if expected != self.id {
                let answer = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nInstance-Id: {}\r\n\
                     Content-Length: 0\r\n\r\n",
                    self.id
                );
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            if !behaviour(&id, &mut stream, &mut late) {
                return;
            }
        }
    }

    /// The text of the next heartbeat.
    pub fn next_beat(&self, state: &str) -> Vec<u8> {
        let seq = self.seq.fetch_add(1, Ordering::Relaxed) + 1;
        let body = format!(
            r#"{{"service":"{}","addr":"{}","zone":"mid-a","version":"v1","slots":{},"state":"{state}","coldLeftS":0,"seq":{seq},"born":{}}}"#,
            self.service, self.addr, self.slots, self.born
        );
        self.message("PUT", &body)
    }

    /// The text of the message with which the endpoint leaves.
    pub fn leaving(&self) -> Vec<u8> {
        let seq = self.seq.fetch_add(1, Ordering::Relaxed) + 1;
        self.message("DELETE", &format!(r#"{{"seq":{seq},"born":{}}}"#, self.born))
    }

    fn message(&self, method: &str, body: &str) -> Vec<u8> {
        format!(
            "{method} /api/endpoints/{} HTTP/1.1\r\nHost: control\r\nConnection: close\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        )
        .into_bytes()
    }

    /// Sends a message to the node, and tells whether it was acknowledged.
    pub fn send(&self, message: &[u8]) -> bool {
        let outcome = http::call(self.control, message, Duration::from_secs(1));
        (200..300).contains(&outcome.status())
    }

    fn beat(&self, state: &str) {
        let message = self.next_beat(state);
        self.send(&message);
    }

    /// Ends the heartbeats.
    pub fn stop_beats(&self) {
        self.beats.store(false, Ordering::Relaxed);
    }
}

/// The text of a complete answer of an endpoint.
pub fn answer(status: &str, id: &str, extra: &str, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status}\r\nRequest-Id: {id}\r\n{extra}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// The text of a client's request.
pub fn request(
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    key: &str,
    body: &str,
) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: {deadline_ms}\r\nApi-Key: {key}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}
