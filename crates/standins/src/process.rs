//! Starts the product's nodes as real processes, for tests and the demo.

use std::collections::VecDeque;
use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::net::TcpSocket;

/// Credential of the operator ports.
pub const CREDENTIAL: &str = "operator-credential-for-tests";

/// Time between two looks at a condition.
const POLL: Duration = Duration::from_millis(20);

/// A process that is ended when it is dropped.
pub struct Process {
    child: Child,
}

/// Signals that tests send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// Asks for a graceful stop.
    Terminate,
    /// Pauses the process.
    Pause,
    /// Resumes a paused process.
    Resume,
    /// Ends the process at once.
    Kill,
    /// Asks for a reload of the settings.
    Hangup,
}

impl Signal {
    fn name(self) -> &'static str {
        match self {
            Signal::Terminate => "TERM",
            Signal::Pause => "STOP",
            Signal::Resume => "CONT",
            Signal::Kill => "KILL",
            Signal::Hangup => "HUP",
        }
    }
}

impl Process {
    /// Starts a program with its output in a file.
    pub fn start(program: &Path, args: &[&str], log: &Path) -> io::Result<Process> {
        let log = File::create(log)?;
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Process { child })
    }

    /// Sends a signal to this process only.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", signal.name(), &pid]).status()?;
        if status.success() { Ok(()) } else { Err(io::Error::other(format!("kill: {status}"))) }
    }

    /// Waits for the process to end, and tells whether it did so with success.
    pub fn wait(&mut self, within: Duration) -> Option<bool> {
        let deadline = Instant::now() + within;
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status.success());
            }
            if Instant::now() >= deadline {
                return None;
            }
            std::thread::sleep(POLL);
        }
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// What a test may choose of a node.
#[derive(Debug, Clone)]
pub struct NodeOptions {
    /// Name of the node.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// URL of the platform; further lines of its section may follow.
    pub platform: String,
    /// Address under which other nodes reach it, if not its own; for example that of a proxy which
    /// cuts links.
    pub advertise: Option<SocketAddr>,
    /// Address on which it takes other nodes, if it has to be known beforehand.
    pub peer: Option<SocketAddr>,
    /// Peers to ask for the configuration while the platform is away.
    pub seeds: Vec<SocketAddr>,
    /// Further lines of the settings file; each starts with its section.
    pub extra: String,
}

/// Name of the metric that counts the other nodes that a node knows.
const MEMBERS_METRIC: &str = "zinniacross_members ";

/// A node as a process.
pub struct NodeProcess {
    /// The process.
    pub process: Process,
    /// Where callers reach it.
    pub caller: SocketAddr,
    /// Where other nodes reach it.
    pub peer: SocketAddr,
    /// Where upstreams announce themselves.
    pub announce: SocketAddr,
    /// Where operators reach it.
    pub operator: SocketAddr,
    /// Its log.
    pub log: PathBuf,
}

impl NodeProcess {
    /// Writes the settings of a node and starts it.
    pub fn start(binary: &Path, dir: &Path, options: &NodeOptions) -> io::Result<NodeProcess> {
        let [caller, peer, announce, operator] = free_addrs()?;
        let peer = options.peer.unwrap_or(peer);
        let advertise = options.advertise.unwrap_or(peer);
        let NodeOptions { name, domain, platform, seeds, extra, .. } = options;
        let seeds: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
        let seeds = match seeds.is_empty() {
            true => String::new(),
            false => format!("seeds = {}\n", seeds.join(",")),
        };
        let settings = format!(
            "[node]\nname = {name}\ndomain = {domain}\n\
             [caller]\nlisten = {caller}\n\
             [peer]\nlisten = {peer}\nadvertise = {advertise}\n\
             [upstream]\nlisten = {announce}\n\
             [operator]\nlisten = {operator}\ncredential = {CREDENTIAL}\n\
             [platform]\nurl = {platform}\n\
             [fleet]\nsecret = fleet-secret-for-tests\n{seeds}{extra}"
        );
        let file = dir.join(format!("{name}.ini"));
        fs::write(&file, settings)?;
        let log = dir.join(format!("{name}.log"));
        let file = file.to_str().ok_or_else(|| io::Error::other("the path is not UTF-8"))?;
        let process = Process::start(binary, &["node", file], &log)?;
        Ok(NodeProcess { process, caller, peer, announce, operator, log })
    }

    /// Starts the node again after its process has ended, with the same settings and at the same
    /// addresses. The log so far is kept beside the new one.
    pub fn start_again(&mut self, binary: &Path) -> io::Result<()> {
        let ended = format!("{}.log", self.process.id());
        fs::rename(&self.log, self.log.with_extension(ended))?;
        let file = self.log.with_extension("ini");
        let file = file.to_str().ok_or_else(|| io::Error::other("the path is not UTF-8"))?;
        self.process = Process::start(binary, &["node", file], &self.log)?;
        Ok(())
    }

    /// Tells whether the node says that it is ready.
    pub fn is_ready(&self) -> bool {
        ureq::get(&format!("http://{}/ready", self.operator)).call().is_ok()
    }

    /// Number of other nodes that the node knows, by its metrics.
    pub fn members(&self) -> Option<u32> {
        let req = ureq::get(&format!("http://{}/metrics", self.operator));
        let answer = req.header("authorization", format!("Bearer {CREDENTIAL}")).call();
        let text = answer.ok()?.body_mut().read_to_string().ok()?;
        let line = text.lines().find_map(|line| line.strip_prefix(MEMBERS_METRIC))?;
        line.trim().parse().ok()
    }

    /// Waits until the node is ready.
    pub fn wait_ready(&self, within: Duration) -> io::Result<()> {
        match wait_until(within, || self.is_ready()) {
            true => Ok(()),
            false => Err(io::Error::other(format!("not ready within {within:?}"))),
        }
    }
}

/// Waits until a condition holds, and tells whether it did in time.
pub fn wait_until(within: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + within;
    loop {
        if condition() {
            return true;
        }
        if Instant::now() >= deadline {
            return false;
        }
        std::thread::sleep(POLL);
    }
}

/// Ports for tests. They lie below those that the kernel gives to outgoing connections, which could
/// take a port between the draw and the moment at which a process listens on it.
const TEST_PORTS: Range<u32> = 10_000..32_000;

/// Number of addresses that stay reserved, those that were drawn last. Processes that use earlier ones listen
/// by then.
const MAX_RESERVED: usize = 400;

/// Free loopback addresses. Each is given out once in the life of this process, and where the search
/// starts differs between processes. The addresses that were drawn last stay reserved.
pub fn free_addrs<const N: usize>() -> io::Result<[SocketAddr; N]> {
    static DRAWN: AtomicU32 = AtomicU32::new(0);
    static RESERVED: Mutex<VecDeque<TcpSocket>> = Mutex::new(VecDeque::new());
    let start = model::stable_hash(&[&std::process::id().to_le_bytes()]) as u32;
    let (addrs, sockets): (Vec<SocketAddr>, Vec<TcpSocket>) = (0..TEST_PORTS.len())
        .map(|_| start.wrapping_add(DRAWN.fetch_add(1, Ordering::Relaxed)))
        .map(|drawn| (TEST_PORTS.start + drawn % TEST_PORTS.len() as u32) as u16)
        .map(|port| SocketAddr::from((Ipv4Addr::LOCALHOST, port)))
        .filter_map(|addr| Some((addr, reserve(addr).ok()?)))
        .take(N)
        .unzip();
    let mut reserved = RESERVED.lock().unwrap_or_else(PoisonError::into_inner);
    reserved.extend(sockets);
    let excess = reserved.len().saturating_sub(MAX_RESERVED);
    reserved.drain(..excess);
    addrs.try_into().map_err(|_| io::Error::other("too few free ports for tests"))
}

/// Reserves an address that is not in use. A listener with `SO_REUSEADDR`, as those of the nodes and of the
/// standard library are, can take it, and no other process can reserve it. The socket does not listen: a
/// process that another thread starts holds a copy of it until its exec, and a copy of a listener would keep
/// the address in use for some milliseconds.
fn reserve(addr: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(addr)?;
    socket.set_reuseaddr(true)?;
    Ok(socket)
}

/// A directory that is removed when it is dropped.
pub struct TempDir {
    path: PathBuf,
}

impl TempDir {
    /// Makes an empty directory.
    pub fn new(name: &str) -> io::Result<TempDir> {
        let unique: u64 = rand::random();
        let path = std::env::temp_dir().join(format!("zinniacross-{name}-{unique:016x}"));
        fs::create_dir_all(&path)?;
        Ok(TempDir { path })
    }

    /// Its path.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.path);
    }
}
