//! A sound endpoint after the users' pages, and its heartbeats.

use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{Message, call, read_message};
use crate::record::Record;

/// Time within which a heartbeat has to be acknowledged.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);

const BEAT: Duration = Duration::from_millis(1500);

/// A request that the endpoint began to work on.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: f64,
    pub id: String,
    pub tenant: String,
    pub caller_service: String,
}

#[derive(Clone)]
pub struct Endpoint {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub addr: SocketAddr,
    control: SocketAddr,
    born: u64,
    shared: Arc<Shared>,
    record: Record,
}

struct Shared {
    runs: Mutex<Vec<Run>>,
    seq: Mutex<u64>,
    beats: Mutex<bool>,
    work: Mutex<Duration>,
    running: Mutex<i64>,
}

/// A heartbeat as it was sent; it may arrive later.
pub struct Beat {
    pub body: String,
    pub seq: u64,
}

impl Endpoint {
    /// Starts to serve on a free loopback address.
    pub fn start(
        name: &str,
        service: &str,
        zone: &str,
        control: SocketAddr,
        work: Duration,
        record: &Record,
    ) -> Endpoint {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let shared = Shared {
            runs: Mutex::default(),
            seq: Mutex::new(0),
            beats: Mutex::new(false),
            work: Mutex::new(work),
            running: Mutex::new(0),
        };
        let endpoint = Endpoint {
            name: name.into(),
            service: service.into(),
            zone: zone.into(),
            addr: listener.local_addr().unwrap(),
            control,
            born: unix_ms(),
            shared: Arc::new(shared),
            record: record.clone(),
        };
        let serving = endpoint.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let endpoint = serving.clone();
                thread::spawn(move || {
                    let _ = endpoint.serve(stream);
                });
            }
        });
        endpoint
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = read_message(&mut reader)? {
            let answer = self.answer(&request);
            stream.write_all(answer.as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message) -> String {
        let id = request.header("request-id").unwrap_or_default().to_owned();
        let expected = request.header("expect-instance").unwrap_or(&self.name);
        if expected != self.name {
            self.record.line(format!("{} answers 421 to {id}, meant for {expected}", self.name));
            return format!(
                "HTTP/1.1 421 Misdirected\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n\
                 Content-Length: 0\r\n\r\n"
            );
        }
        let (method, target) = request.method_and_target();
        let header = |name: &str| request.header(name).unwrap_or("-").to_owned();
        let run = Run {
            at: self.record.now(),
            id: id.clone(),
            tenant: header("tenant"),
            caller_service: header("caller-service"),
        };
        let Run { tenant, caller_service, .. } = &run;
        self.record.line(format!(
            "{} runs {id} {method} {target} tenant {tenant} caller-service {caller_service}",
            self.name
        ));
        self.shared.runs.lock().unwrap().push(run);
        let running = self.change_running(1);
        thread::sleep(*self.shared.work.lock().unwrap());
        self.change_running(-1);
        let body = format!("{id} by {}", self.name);
        format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: {}.{id}\r\n\
             Server-Load: {running},0,3\r\nContent-Length: {}\r\n\r\n{body}",
            self.name,
            body.len()
        )
    }

    fn change_running(&self, change: i64) -> i64 {
        let mut running = self.shared.running.lock().unwrap();
        *running += change;
        *running
    }

    /// Requests that the endpoint began to work on so far.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.runs.lock().unwrap().clone()
    }

    /// Makes the next heartbeat without sending it.
    pub fn make_beat(&self, state: &str) -> Beat {
        let mut seq = self.shared.seq.lock().unwrap();
        *seq += 1;
        let (service, addr, zone, born) = (&self.service, self.addr, &self.zone, self.born);
        let body = format!(
            r#"{{"service":"{service}","addr":"{addr}","zone":"{zone}","version":"v1","slots":3,"state":"{state}","coldLeftS":0,"seq":{seq},"born":{born}}}"#
        );
        Beat { body, seq: *seq }
    }

    /// Delivers a heartbeat. Returns whether it was acknowledged.
    pub fn deliver(&self, beat: &Beat) -> bool {
        let path = format!("/api/endpoints/{}", self.name);
        let json = [("Content-Type", "application/json")];
        let answer = call(self.control, "PUT", &path, &json, &beat.body, ACK_TIMEOUT);
        answer.is_ok_and(|answer| answer.status() < 300 && answer.body.len() <= 4096)
    }

    /// Sends `DELETE`. Returns whether it was acknowledged.
    pub fn deregister(&self) -> bool {
        let path = format!("/api/endpoints/{}", self.name);
        let answer = call(self.control, "DELETE", &path, &[], "", ACK_TIMEOUT);
        answer.is_ok_and(|answer| answer.status() < 300)
    }

    /// Sends a heartbeat with the state `ready` about every `beatS` from now on.
    pub fn begin_beats(&self) {
        *self.shared.beats.lock().unwrap() = true;
        let endpoint = self.clone();
        thread::spawn(move || {
            while *endpoint.shared.beats.lock().unwrap() {
                let beat = endpoint.make_beat("ready");
                if !endpoint.deliver(&beat) {
                    let (name, seq) = (&endpoint.name, beat.seq);
                    endpoint.record.line(format!("{name}: beat {seq} is not acknowledged"));
                    thread::sleep(Duration::from_millis(300));
                    continue;
                }
                thread::sleep(BEAT);
            }
        });
    }

    pub fn end_beats(&self) {
        *self.shared.beats.lock().unwrap() = false;
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}
