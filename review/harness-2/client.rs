//! Clients that send requests to one node and keep what they got.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::http::{connect, read_message};
use crate::record::Record;

/// A request of a client. The record has how it ended.
#[derive(Debug, Clone)]
pub struct Done {
    pub id: String,
    /// Seconds since the start of the case at which it was sent.
    pub sent: f64,
}

/// What a client sends.
#[derive(Clone)]
pub struct Plan {
    pub entry: SocketAddr,
    pub host: &'static str,
    pub method: &'static str,
    pub path: String,
    pub headers: String,
    pub body: String,
    pub deadline: Duration,
    pub pause: Duration,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A client in a thread of its own, with one connection that it keeps open.
pub struct Client {
    stop: Arc<AtomicBool>,
    done: Arc<Mutex<Vec<Done>>>,
    thread: JoinHandle<()>,
}

impl Client {
    pub fn start(plan: Plan, record: &Record) -> Client {
        let (stop, done) = (Arc::<AtomicBool>::default(), Arc::<Mutex<Vec<Done>>>::default());
        let (stopping, collected, record) = (Arc::clone(&stop), Arc::clone(&done), record.clone());
        let thread = thread::spawn(move || {
            let mut connection = None;
            while !stopping.load(Ordering::Relaxed) {
                let started = Instant::now();
                let ended = send(&plan, &mut connection, &record);
                collected.lock().unwrap().push(ended);
                thread::sleep(plan.pause.saturating_sub(started.elapsed()));
            }
        });
        Client { stop, done, thread }
    }

    pub fn finish(self) -> Vec<Done> {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.thread.join();
        self.done.lock().unwrap().clone()
    }
}

/// Sends a request, on the kept connection if there is one.
pub fn send(plan: &Plan, kept: &mut Option<BufReader<TcpStream>>, record: &Record) -> Done {
    let id = format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed) + (0x5eed << 32));
    let Plan { entry, host, method, path, headers, body, deadline, .. } = plan;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: {}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        deadline.as_millis(),
        body.len()
    );
    let sent = record.now();
    record.line(format!("client sends {id} {method} {path} to {entry}"));
    let mut exchange = || -> std::io::Result<(u16, String)> {
        let mut reader = match kept.take() {
            Some(reader) => reader,
            None => BufReader::new(connect(*entry, Duration::from_secs(1))?),
        };
        reader.get_ref().set_read_timeout(Some(*deadline + Duration::from_millis(500)))?;
        reader.get_mut().write_all(text.as_bytes())?;
        let answer = read_message(&mut reader)?
            .ok_or(std::io::Error::from(std::io::ErrorKind::UnexpectedEof))?;
        if answer.header("connection") != Some("close") {
            *kept = Some(reader);
        }
        Ok((answer.status(), answer.text()))
    };
    let (status, body) = match exchange() {
        Ok(answer) => answer,
        Err(err) => (0, err.to_string()),
    };
    record.line(format!("client gets {status} for {id}: {body}"));
    Done { id, sent }
}
