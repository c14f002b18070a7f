//! Stand-in of the platform's metadata store, after the users' pages: objects with revisions,
//! conditional writes, lists and watches. It can be down, and come back from an older copy.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, read_message};
use crate::json::{field, string};
use crate::record::Record;

/// Objects on one page of a list.
const PAGE: usize = 500;

#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    shared: Arc<Shared>,
    record: Record,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Clone)]
struct Stored {
    rev: u64,
    created: u64,
    spec: String,
}

type Key = (String, String);

struct Change {
    rev: u64,
    kind: String,
    event: String,
}

/// The state before a write, for the older copies.
struct Before {
    at: Instant,
    rev: u64,
    key: Key,
    stored: Option<Stored>,
}

struct State {
    rev: u64,
    era: u64,
    is_down: bool,
    objects: BTreeMap<Key, Stored>,
    history: Vec<Change>,
    before: Vec<Before>,
}

struct Answer {
    status: u16,
    body: String,
}

impl Answer {
    fn new(status: u16, body: impl Into<String>) -> Answer {
        Answer { status, body: body.into() }
    }
}

impl Store {
    /// Starts the store in its first era, with this configuration.
    pub fn start(config: &str, record: &Record) -> Store {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let state = State {
            rev: 1,
            era: 1,
            is_down: false,
            objects: BTreeMap::new(),
            history: Vec::new(),
            before: Vec::new(),
        };
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: Condvar::new() });
        let addr = listener.local_addr().unwrap();
        let store = Store { addr, shared, record: record.clone() };
        store.write_config(config);
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || {
                    let _ = store.serve(stream);
                });
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap()
    }

    /// Writes the configuration as the operator does.
    pub fn write_config(&self, spec: &str) {
        let mut state = self.lock();
        let key = ("config".to_owned(), "main".to_owned());
        state.put(key, spec.to_owned());
        self.shared.changed.notify_all();
    }

    /// Whether every call is refused with 503.
    pub fn set_down(&self, is_down: bool) {
        self.lock().is_down = is_down;
        self.shared.changed.notify_all();
        self.record.line(if is_down { "the store is down" } else { "the store is back" });
    }

    /// Comes back in the next era with a copy of the objects that is `age` old.
    pub fn restore(&self, age: Duration) {
        let backup_at = Instant::now() - age;
        let mut state = self.lock();
        while state.before.last().is_some_and(|before| before.at > backup_at) {
            let Some(Before { rev, key, stored, .. }) = state.before.pop() else { break };
            state.rev = rev;
            match stored {
                Some(stored) => state.objects.insert(key, stored),
                None => state.objects.remove(&key),
            };
        }
        let rev = state.rev;
        state.history.retain(|change| change.rev <= rev);
        state.era += 1;
        state.is_down = false;
        let era = state.era;
        drop(state);
        self.shared.changed.notify_all();
        self.record.line(format!(
            "the store is back in era {era} from a copy {:.1} s old, at revision {rev}",
            age.as_secs_f64()
        ));
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = read_message(&mut reader)? {
            let Answer { status, body } = self.answer(&request);
            let era = self.lock().era;
            let text = format!(
                "HTTP/1.1 {status} X\r\nStore-Era: {era}\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            stream.write_all(text.as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message) -> Answer {
        if self.lock().is_down {
            return Answer::new(503, "{}");
        }
        let (method, target) = request.method_and_target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let param = |name: &str| {
            let params = query.split('&').filter_map(|param| param.split_once('='));
            params.clone().find(|(known, _)| *known == name).map(|(_, value)| value.to_owned())
        };
        let number = |name: &str| param(name).and_then(|text| text.parse::<u64>().ok());
        let Some(path) = path.strip_prefix("/api/objects/") else {
            return Answer::new(404, "{}");
        };
        let body = request.text();
        let body_rev =
            || field(&body, "meta").and_then(|meta| field(meta, "rev")?.parse::<u64>().ok());
        let spec = || field(&body, "spec").unwrap_or("null").to_owned();
        match (method, path.split_once('/')) {
            ("GET", None) => match number("watch") {
                Some(since) => self.watch(path, since, number("waitMs").unwrap_or(0)),
                None => self.lock().list(path, param("after").as_deref()),
            },
            ("GET", Some((kind, name))) => {
                let state = self.lock();
                let key = (kind.to_owned(), name.to_owned());
                match state.objects.get(&key) {
                    Some(stored) => Answer::new(200, document(&key, stored)),
                    None => Answer::new(404, "{}"),
                }
            }
            ("POST", None) => {
                let name = field(&body, "meta").and_then(|meta| string(field(meta, "name")?));
                let Some(name) = name else { return Answer::new(400, "{}") };
                self.write((path.to_owned(), name.to_owned()), WriteCall::Create(spec()))
            }
            ("PUT", Some((kind, name))) => {
                let rev = body_rev().or(number("rev"));
                self.write((kind.to_owned(), name.to_owned()), WriteCall::Replace(spec(), rev))
            }
            ("DELETE", Some((kind, name))) => {
                let key = (kind.to_owned(), name.to_owned());
                self.write(key, WriteCall::Delete(number("rev")))
            }
            _ => Answer::new(404, "{}"),
        }
    }

    fn write(&self, key: Key, write: WriteCall) -> Answer {
        let mut state = self.lock();
        let known = state.objects.get(&key).cloned();
        let conflicts = |rev: Option<u64>, known: &Stored| rev.is_some_and(|rev| rev != known.rev);
        let answer = match (write, known) {
            (WriteCall::Create(_), Some(known)) => Answer::new(409, document(&key, &known)),
            (WriteCall::Create(spec), None) => state.put(key, spec),
            (WriteCall::Replace(..) | WriteCall::Delete(_), None) => Answer::new(404, "{}"),
            (WriteCall::Replace(_, rev) | WriteCall::Delete(rev), Some(known))
                if conflicts(rev, &known) =>
            {
                Answer::new(409, document(&key, &known))
            }
            (WriteCall::Replace(spec, _), Some(known)) if known.spec == spec => {
                Answer::new(200, document(&key, &known))
            }
            (WriteCall::Replace(spec, _), Some(_)) => state.put(key, spec),
            (WriteCall::Delete(_), Some(known)) => {
                state.remember(&key);
                state.rev += 1;
                state.objects.remove(&key);
                let deleted = Stored { rev: state.rev, ..known };
                state.add_event(&key, &deleted, true);
                Answer::new(200, document(&key, &deleted))
            }
        };
        drop(state);
        self.shared.changed.notify_all();
        answer
    }

    fn watch(&self, kind: &str, since: u64, wait_ms: u64) -> Answer {
        let deadline = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.lock();
        let era = state.era;
        loop {
            if state.is_down || state.era != era {
                return Answer::new(503, "{}");
            }
            if since > state.rev {
                return Answer::new(410, "{}");
            }
            let events: Vec<&str> = state
                .history
                .iter()
                .filter(|change| change.kind == kind && change.rev > since)
                .map(|change| change.event.as_str())
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, rev) = (events.join(","), state.rev);
                return Answer::new(200, format!(r#"{{"events":[{events}],"currentRev":{rev}}}"#));
            }
            state = self.shared.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

enum WriteCall {
    Create(String),
    Replace(String, Option<u64>),
    Delete(Option<u64>),
}

impl State {
    fn list(&self, kind: &str, after: Option<&str>) -> Answer {
        let all = self.objects.iter().filter(|((known, name), _)| {
            known == kind && after.is_none_or(|after| name.as_str() > after)
        });
        let all: Vec<String> = all.map(|(key, stored)| document(key, stored)).collect();
        let has_more = all.len() > PAGE;
        let items = all[..all.len().min(PAGE)].join(",");
        let rev = self.rev;
        let body = format!(r#"{{"items":[{items}],"hasMore":{has_more},"currentRev":{rev}}}"#);
        Answer::new(200, body)
    }

    fn put(&mut self, key: Key, spec: String) -> Answer {
        self.remember(&key);
        self.rev += 1;
        let created = self.objects.get(&key).map_or(self.rev, |known| known.created);
        let stored = Stored { rev: self.rev, created, spec };
        self.add_event(&key, &stored, false);
        let answer = Answer::new(200, document(&key, &stored));
        self.objects.insert(key, stored);
        answer
    }

    fn remember(&mut self, key: &Key) {
        let stored = self.objects.get(key).cloned();
        let (at, rev, key) = (Instant::now(), self.rev, key.clone());
        self.before.push(Before { at, rev, key, stored });
    }

    fn add_event(&mut self, key: &Key, stored: &Stored, deleted: bool) {
        let event = format!(r#"{{"object":{},"deleted":{deleted}}}"#, document(key, stored));
        self.history.push(Change { rev: stored.rev, kind: key.0.clone(), event });
    }
}

fn document((_, name): &Key, stored: &Stored) -> String {
    let Stored { rev, created, spec } = stored;
    format!(
        r#"{{"meta":{{"name":"{name}","rev":{rev},"created":{created},"finalizers":[],"deleting":false}},"spec":{spec},"status":null}}"#
    )
}
