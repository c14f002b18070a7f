//! The output of commands and of a node.

use std::io::{BufRead, BufReader, PipeReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command};
use std::time::Duration;

use standins::process::{NodeOptions, NodeProcess, TempDir, free_addrs, wait_until};

/// Guards against an error message when the reader of the output ends first, as `head` does.
#[test]
fn a_reader_that_has_seen_enough_is_no_error() {
    let (reader, writer) = std::io::pipe().unwrap();
    drop(reader);
    let ran = Command::new(env!("CARGO_BIN_EXE_zinniacross"))
        .args(["check-settings", "no-such-file.ini"])
        .stdout(writer)
        .output()
        .unwrap();
    assert_eq!(String::from_utf8_lossy(&ran.stderr), "");
    assert_eq!(ran.status.code(), Some(1));
}

/// Requests that write more lines than the pipe and the queue to it hold.
const MANY: u32 = 8_000;

/// A node whose standard output is a pipe. Without a configuration it refuses each request with a line
/// in the log.
struct PipedNode {
    process: Child,
    caller: SocketAddr,
    metrics: SocketAddr,
    log: PipeReader,
    _dir: TempDir,
}

impl PipedNode {
    fn start() -> PipedNode {
        let [metrics] = free_addrs().unwrap();
        let dir = TempDir::new("output").unwrap();
        let options = NodeOptions {
            name: "node-0".into(),
            domain: "mid-a".into(),
            platform: "http://127.0.0.1:9".into(),
            advertise: None,
            peer: None,
            seeds: Vec::new(),
            extra: format!("[status]\nmetrics = {metrics}\n"),
        };
        let binary = Path::new(env!("CARGO_BIN_EXE_zinniacross"));
        // This process writes the settings; it ends here, and another one uses them.
        let caller = NodeProcess::start(binary, dir.path(), &options).unwrap().caller;
        let (log, writer) = std::io::pipe().unwrap();
        let file = dir.path().join("node-0.ini");
        let process = Command::new(binary).arg("node").arg(file).stdout(writer).spawn().unwrap();
        let mut node = PipedNode { process, caller, metrics, log, _dir: dir };
        let answered = wait_until(Duration::from_secs(20), || TcpStream::connect(caller).is_ok());
        if !answered {
            node.end();
            panic!("the node does not start");
        }
        node
    }

    fn end(&mut self) {
        self.process.kill().unwrap();
        self.process.wait().unwrap();
    }
}

/// Guards against requests that wait for the reader of the log, against a log without bound, and
/// against lines that are left out without a trace.
#[test]
fn a_reader_that_does_not_read_holds_up_no_request() {
    let mut node = PipedNode::start();
    let sent = send_many(node.caller, "/", MANY);
    let dropped = || {
        let text = get(node.metrics, "/metrics");
        let name = "zinniacross_log_lines_dropped_total ";
        let value = text.lines().find_map(|line| line.strip_prefix(name));
        value.map_or(0, |value| value.parse().unwrap())
    };
    let is_counted = wait_until(Duration::from_secs(20), || dropped() > 0);
    node.end();
    assert_eq!(sent, MANY);
    assert!(is_counted, "lines were left out and not counted");
}

/// Guards against long lines that reach the reader in pieces: a reader that parses what is there, or a
/// second writer to the same file, then meets half a line. All lines here fit into one write to a pipe.
#[test]
fn lines_are_written_as_a_whole() {
    let mut node = PipedNode::start();
    let sent = send_many(node.caller, &format!("/{}", "a".repeat(2000)), 200);
    let mut block = vec![0; 1 << 20];
    let (mut lines, mut cut) = (0, 0);
    while lines < 200 {
        let length = node.log.read(&mut block).unwrap();
        let text = &block[..length];
        lines += text.split(|byte| *byte == b'\n').filter(|line| line.len() > 2000).count();
        cut += usize::from(!text.ends_with(b"\n"));
    }
    node.end();
    assert_eq!((sent, cut), (200, 0));
}

/// Sends requests on one connection. Gives the number of answers.
fn send_many(to: SocketAddr, path: &str, count: u32) -> u32 {
    let mut stream = TcpStream::connect(to).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut answers = 0;
    while answers < count {
        let request = format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n");
        stream.write_all(request.as_bytes()).unwrap();
        let mut length = 0;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or_default() == 0 {
                return answers;
            }
            if let Some(text) = line.to_lowercase().strip_prefix("content-length: ") {
                length = text.trim().parse().unwrap();
            }
            if line == "\r\n" {
                break;
            }
        }
        reader.read_exact(&mut vec![0; length]).unwrap();
        answers += 1;
    }
    answers
}

fn get(from: SocketAddr, path: &str) -> String {
    let answer = ureq::get(&format!("http://{from}{path}")).call();
    answer.unwrap().body_mut().read_to_string().unwrap()
}
