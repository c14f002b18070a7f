//! HTTP/1.1 over plain sockets, as far as the stand-ins need it.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The head of a message. Header names are in lower case.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            if head.start.is_empty() {
                continue;
            }
            return Ok(Some(head));
        }
        if head.start.is_empty() {
            head.start = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads the body that the head announces. Responses without a length end with the connection.
pub fn read_body(head: &Head, reader: &mut impl BufRead, is_response: bool) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.get("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let start = body.len();
            body.resize(start + size, 0);
            reader.read_exact(&mut body[start..])?;
            reader.read_line(&mut line)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
    match head.get("content-length").and_then(|value| value.parse::<usize>().ok()) {
        Some(length) => {
            body.resize(length, 0);
            reader.read_exact(&mut body)?;
        }
        None if is_response => _ = reader.read_to_end(&mut body)?,
        None => {}
    }
    Ok(body)
}

/// What a client got.
#[derive(Debug, Clone)]
pub enum Outcome {
    /// A complete answer.
    Answer(Head, Vec<u8>),
    /// The connection ended, or an answer broke off.
    Closed(String),
    /// The client stopped waiting.
    GaveUp,
}

impl Outcome {
    pub fn status(&self) -> u16 {
        match self {
            Outcome::Answer(head, _) => head.status(),
            _ => 0,
        }
    }

    pub fn text(&self) -> String {
        match self {
            Outcome::Answer(head, body) => {
                let text = String::from_utf8_lossy(&body[..body.len().min(80)]).into_owned();
                format!("{} {text:?}", head.status())
            }
            Outcome::Closed(reason) => format!("closed ({reason})"),
            Outcome::GaveUp => "gave up".to_owned(),
        }
    }
}

/// Sends one request on a connection of its own and waits for the whole answer.
pub fn call(to: SocketAddr, request: &[u8], wait: Duration) -> Outcome {
    let deadline = Instant::now() + wait;
    match try_call(to, request, deadline) {
        Ok((head, body)) => Outcome::Answer(head, body),
        Err(_) if Instant::now() >= deadline => Outcome::GaveUp,
        Err(err) => Outcome::Closed(err.to_string()),
    }
}

fn try_call(to: SocketAddr, request: &[u8], deadline: Instant) -> io::Result<(Head, Vec<u8>)> {
    let left = || deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    let mut stream = TcpStream::connect_timeout(&to, left().min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.write_all(request)?;
    let mut reader = BufReader::new(UntilDeadline { stream, deadline });
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = read_body(&head, &mut reader, true)?;
    Ok((head, body))
}

/// Fails reads after a deadline, however many bytes arrive.
struct UntilDeadline {
    stream: TcpStream,
    deadline: Instant,
}

impl Read for UntilDeadline {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        self.stream.read(buf)
    }
}
