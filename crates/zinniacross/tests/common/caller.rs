//! A caller over one keep-alive connection, which tells exactly how a call ended.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use model::CallerKey;

const TIMEOUT: Duration = Duration::from_secs(40);

/// A call that got no complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Lost {
    /// No connection could be made.
    Refused,
    /// The connection ended before the head of an answer.
    NoAnswer(String),
    /// The connection ended inside the answer.
    Cut { status: u16, received: usize },
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(found, _)| found == name).map(|(_, value)| value.as_str())
    }

    pub fn id(&self) -> &str {
        self.header("x-request-id").unwrap_or_default()
    }

    /// The result code of an answer that the fleet itself made, or 0.
    pub fn code(&self) -> u16 {
        let document: Option<serde_json::Value> = serde_json::from_slice(&self.body).ok();
        document.and_then(|d| d["code"].as_u64()).map_or(0, |code| code as u16)
    }
}

pub struct Caller {
    entry: SocketAddr,
    conn: Option<BufReader<TcpStream>>,
    /// Connections made so far.
    pub connects: u32,
}

impl Caller {
    pub fn new(entry: SocketAddr) -> Caller {
        Caller { entry, conn: None, connects: 0 }
    }

    pub fn get(&mut self, path: &str, key: Option<&CallerKey>) -> Result<Answer, Lost> {
        self.call("GET", path, key, b"")
    }

    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        key: Option<&CallerKey>,
        body: &[u8],
    ) -> Result<Answer, Lost> {
        let key = key.map(|key| format!("x-api-key: {}\r\n", key.reveal())).unwrap_or_default();
        self.send(method, path, &key, body)
    }

    /// Sends a request with further header lines, each of which ends with CRLF.
    pub fn send(
        &mut self,
        method: &str,
        target: &str,
        headers: &str,
        body: &[u8],
    ) -> Result<Answer, Lost> {
        self.send_in_parts(method, target, headers, (body, b""), Duration::ZERO)
    }

    /// Sends a request with a pause between two parts of its body.
    pub fn send_in_parts(
        &mut self,
        method: &str,
        target: &str,
        headers: &str,
        (first, second): (&[u8], &[u8]),
        pause: Duration,
    ) -> Result<Answer, Lost> {
        let head = format!(
            "{method} {target} HTTP/1.1\r\nhost: fleet\r\n{headers}content-length: {}\r\n\r\n",
            first.len() + second.len()
        );
        let mut conn = match self.conn.take() {
            Some(conn) => conn,
            None => {
                let stream = TcpStream::connect(self.entry).map_err(|_| Lost::Refused)?;
                stream.set_nodelay(true).unwrap();
                stream.set_read_timeout(Some(TIMEOUT)).unwrap();
                self.connects += 1;
                BufReader::new(stream)
            }
        };
        // A refusal may arrive while the body is still being written.
        let stream = conn.get_mut();
        let _ = stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(first));
        std::thread::sleep(pause);
        let _ = stream.write_all(second);
        let answer = receive(&mut conn, method)?;
        if answer.header("connection") != Some("close") {
            self.conn = Some(conn);
        }
        Ok(answer)
    }
}

fn receive(conn: &mut BufReader<TcpStream>, method: &str) -> Result<Answer, Lost> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        match conn.read_line(&mut line) {
            Ok(0) => return Err(Lost::NoAnswer("closed".to_owned())),
            Err(err) => return Err(Lost::NoAnswer(err.to_string())),
            Ok(_) => {}
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        lines.push(line);
    }
    let status = lines[0].split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap();
    let headers: Vec<(String, String)> = lines[1..]
        .iter()
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let mut answer = Answer { status, headers, body: Vec::new() };
    if method == "HEAD" || status == 204 || status == 304 {
        return Ok(answer);
    }
    let complete = match answer.header("content-length").map(|length| length.parse().unwrap()) {
        Some(length) => read_exactly(conn, &mut answer.body, length),
        None => read_chunks(conn, &mut answer.body),
    };
    match complete {
        Some(()) => Ok(answer),
        None => Err(Lost::Cut { status, received: answer.body.len() }),
    }
}

fn read_exactly(conn: &mut BufReader<TcpStream>, body: &mut Vec<u8>, length: usize) -> Option<()> {
    let before = body.len();
    let read = conn.take(length as u64).read_to_end(body);
    (read.is_ok() && body.len() - before == length).then_some(())
}

fn read_chunks(conn: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let mut line = String::new();
        conn.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let length = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
        read_exactly(conn, body, length)?;
        line.clear();
        conn.read_line(&mut line).ok().filter(|read| *read > 0)?;
        if length == 0 {
            return Some(());
        }
    }
}

/// One finished call of a loop of calls.
#[derive(Debug, Clone)]
pub struct Done {
    pub entry: usize,
    pub target: String,
    pub started: Instant,
    pub ended: Instant,
    pub result: Result<Answer, Lost>,
}

impl Done {
    pub fn is_served(&self) -> bool {
        matches!(&self.result, Ok(answer) if answer.status == 200)
    }

    pub fn code(&self) -> u16 {
        self.result.as_ref().map_or(0, Answer::code)
    }
}

/// What a loop of calls sends.
#[derive(Clone)]
pub struct Plan {
    pub method: &'static str,
    /// A number is added, which is unique within the loop.
    pub path: String,
    pub key: Option<CallerKey>,
    /// Pause after each call.
    pub pause: Duration,
    pub connections: Connections,
}

/// How a loop of calls uses connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Connections {
    /// One for all calls, and another one if the entry closes it.
    Kept,
    /// One for all calls. The loop ends when the entry says that it closes the connection, as that
    /// of a caller with several entries does.
    KeptUntilTold,
    /// A new one for each call.
    PerCall,
}

/// Calls over one keep-alive connection until `stop`, or until the entry refuses connections.
pub fn call_until(entry: usize, mut caller: Caller, plan: &Plan, stop: &AtomicBool) -> Vec<Done> {
    let mut done = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let target = format!("{}{}", plan.path, done.len());
        let started = Instant::now();
        let result = caller.call(plan.method, &target, plan.key.as_ref(), b"");
        let is_told = matches!(&result, Ok(a) if a.header("connection") == Some("close"));
        let is_over = matches!(result, Err(Lost::Refused))
            || is_told && plan.connections == Connections::KeptUntilTold;
        done.push(Done { entry, target, started, ended: Instant::now(), result });
        if is_over {
            break;
        }
        if plan.connections == Connections::PerCall {
            caller.conn = None;
        }
        std::thread::sleep(plan.pause);
    }
    done
}
