//! Stand-in of the platform: an object API over HTTP with versions, conditional updates, watches,
//! rate limits and switchable faults. Holds everything in memory.
//!
//! | call | answer |
//! |---|---|
//! | `GET /v1/objects` | `{"revision","objects":[...]}`, live objects only |
//! | `GET /v1/watch?since=R&wait_ms=W` | the same with tombstones, objects written after R; 410 if R is too old |
//! | `GET /v1/objects/{kind}/{name}` | `{"revision","object"}`; 404 if unknown |
//! | `PUT`, `DELETE /v1/objects/{kind}/{name}` | `{"revision"}`; 412 on conflict |
//! | `POST /faults` | sets any of the fields of [`Faults`] |
//! | `GET /counts` | number of calls by kind |
//!
//! An object is `{"kind","name","revision","write_id","spec"}`; the spec of a tombstone is null. A
//! write has `If-Match: R` or `If-None-Match: *` and the body `{"write_id","spec"}`. A refusal is
//! `{"revision","error","current","detail"}`. `revision` is always the global revision.

use std::collections::{BTreeMap, VecDeque};
use std::io::Read;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use rouille::{Request, Response, Server};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// Longest accepted body.
const MAX_BODY_BYTES: u64 = 1 << 20;

/// Longest wait of a watch.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Time between two looks at the stop flag; also the gap in the traffic that a stop needs.
const POLL: Duration = Duration::from_millis(5);

/// Longest time that a stop waits for the server's thread.
const STOP_WAIT: Duration = Duration::from_secs(2);

/// Rates and sizes of the stand-in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlatformConfig {
    /// Writes per second.
    pub writes_per_second: u32,
    /// Lists, reads and started watches per second.
    pub reads_per_second: u32,
    /// Number of tombstones that are kept; a watch since before a dropped one needs a full list.
    pub tombstones: usize,
}

impl Default for PlatformConfig {
    fn default() -> PlatformConfig {
        PlatformConfig { writes_per_second: 400, reads_per_second: 2000, tombstones: 10_000 }
    }
}

/// Faults that can be switched on. `POST /faults` takes them as JSON and changes only the given
/// fields.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Faults {
    /// Every call is refused with 503, and waiting watches end.
    pub down: bool,
    /// Delay before each call, in milliseconds.
    pub slow_ms: u64,
    /// Number of following writes whose answer is replaced by a 504 after they took effect.
    pub lose_answers: u32,
}

/// Number of calls since the start, including refused ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Full lists.
    pub lists: u64,
    /// Watches; a waiting watch counts once.
    pub watches: u64,
    /// Reads of one object.
    pub reads: u64,
    /// Writes and deletions.
    pub writes: u64,
    /// Calls that were refused because of the rate.
    pub throttled: u64,
}

/// A running stand-in. Dropping it stops it.
pub struct PlatformStandin {
    addr: SocketAddr,
    shared: Arc<Shared>,
    thread: Option<thread::JoinHandle<()>>,
}

impl PlatformStandin {
    /// Starts the stand-in on `listen`, for example `127.0.0.1:0`.
    pub fn start(listen: SocketAddr, cfg: PlatformConfig) -> Result<PlatformStandin, String> {
        let shared = Arc::new(Shared::new(cfg));
        let handler = Arc::clone(&shared);
        let server = Server::new(listen, move |req| handler.serve(req))
            .map_err(|err| format!("can't listen on {listen}: {err}"))?;
        let addr = server.server_addr();
        let stopper = Arc::clone(&shared);
        let thread = thread::spawn(move || {
            while !stopper.stopping.load(Ordering::Relaxed) {
                server.poll_timeout(POLL);
            }
        });
        Ok(PlatformStandin { addr, shared, thread: Some(thread) })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Its URL, without a path.
    pub fn url(&self) -> String {
        format!("http://{}", self.addr)
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.lock().faults = faults;
        self.shared.changed.notify_all();
    }

    /// The calls so far.
    pub fn counts(&self) -> Counts {
        self.shared.lock().counts
    }

    /// Waits until the server ends, which it does only after a fatal error.
    pub fn wait(mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }

    /// Stops listening and ends waiting watches.
    pub fn stop(&mut self) {
        self.shared.stopping.store(true, Ordering::Relaxed);
        self.shared.changed.notify_all();
        let Some(thread) = self.thread.take() else { return };
        let deadline = Instant::now() + STOP_WAIT;
        while !thread.is_finished() && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(1));
        }
    }
}

impl Drop for PlatformStandin {
    fn drop(&mut self) {
        self.stop();
    }
}

struct Shared {
    cfg: PlatformConfig,
    state: Mutex<State>,
    changed: Condvar,
    stopping: AtomicBool,
}

struct State {
    revision: u64,
    objects: BTreeMap<ObjectId, Stored>,
    /// Key and revision of each deletion, oldest first.
    tombstones: VecDeque<(ObjectId, u64)>,
    /// Highest revision of a dropped tombstone.
    dropped: u64,
    faults: Faults,
    counts: Counts,
    read_tokens: Bucket,
    write_tokens: Bucket,
}

type ObjectId = (Box<str>, Box<str>);

struct Stored {
    revision: u64,
    write_id: Box<str>,
    spec: Option<Value>,
}

struct Bucket {
    per_second: f64,
    level: f64,
    filled: Instant,
}

impl Bucket {
    fn new(per_second: u32) -> Bucket {
        let per_second = f64::from(per_second);
        Bucket { per_second, level: per_second, filled: Instant::now() }
    }

    fn take(&mut self) -> bool {
        let now = Instant::now();
        let refill = now.duration_since(self.filled).as_secs_f64() * self.per_second;
        self.level = (self.level + refill).min(self.per_second);
        self.filled = now;
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }
}

#[derive(Deserialize)]
struct WriteBody {
    write_id: Box<str>,
    spec: Option<Value>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FaultsBody {
    down: Option<bool>,
    slow_ms: Option<u64>,
    lose_answers: Option<u32>,
}

enum Call {
    List,
    Watch { since: u64, wait: Duration },
    Read(ObjectId),
    Write(ObjectId),
}

enum Condition {
    Absent,
    At(u64),
}

impl Shared {
    fn new(cfg: PlatformConfig) -> Shared {
        let state = State {
            revision: 0,
            objects: BTreeMap::new(),
            tombstones: VecDeque::new(),
            dropped: 0,
            faults: Faults::default(),
            counts: Counts::default(),
            read_tokens: Bucket::new(cfg.reads_per_second),
            write_tokens: Bucket::new(cfg.writes_per_second),
        };
        let (changed, stopping) = (Condvar::new(), AtomicBool::new(false));
        Shared { cfg, state: Mutex::new(state), changed, stopping }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, req: &Request) -> Response {
        match (req.method(), req.raw_url()) {
            ("POST", "/faults") => return self.switch_faults(req),
            ("GET", "/counts") => return Response::json(&self.lock().counts),
            _ => {}
        }
        let Some(call) = parse_call(req) else {
            return self.lock().refuse(404, "unknown call", "");
        };
        let slow_ms = self.lock().faults.slow_ms;
        if slow_ms > 0 {
            thread::sleep(Duration::from_millis(slow_ms));
        }
        if let Some(refusal) = self.lock().admit(&call) {
            return refusal;
        }
        match call {
            Call::List => self.lock().list(),
            Call::Watch { since, wait } => self.watch(since, wait),
            Call::Read(id) => self.lock().read(&id),
            Call::Write(id) => self.write(req, id),
        }
    }

    fn switch_faults(&self, req: &Request) -> Response {
        let Some(body) = read_body(req) else {
            return self.lock().refuse(413, "invalid", "the body is too large");
        };
        let change: FaultsBody = match serde_json::from_slice(&body) {
            Ok(change) => change,
            Err(err) => return self.lock().refuse(400, "invalid", &err.to_string()),
        };
        let mut state = self.lock();
        let faults = &mut state.faults;
        faults.down = change.down.unwrap_or(faults.down);
        faults.slow_ms = change.slow_ms.unwrap_or(faults.slow_ms);
        faults.lose_answers = change.lose_answers.unwrap_or(faults.lose_answers);
        let answer = Response::json(faults);
        self.changed.notify_all();
        answer
    }

    fn watch(&self, since: u64, wait: Duration) -> Response {
        let deadline = Instant::now() + wait.min(MAX_WAIT);
        let mut state = self.lock();
        loop {
            if state.faults.down || self.stopping.load(Ordering::Relaxed) {
                return state.refuse(503, "unavailable", "");
            }
            // A revision ahead of the global one comes from before a restart of the stand-in.
            if since < state.dropped || since > state.revision {
                return state.refuse(410, "list needed", "");
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if state.revision > since || left.is_zero() {
                return state.changes(since);
            }
            let woken = self.changed.wait_timeout(state, left);
            state = woken.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn write(&self, req: &Request, id: ObjectId) -> Response {
        let Some(body) = read_body(req) else {
            return self.lock().refuse(413, "invalid", "the body is too large");
        };
        let parsed: Result<WriteBody, _> = serde_json::from_slice(&body);
        let (body, condition) = match (parsed, parse_condition(req)) {
            (Ok(body), Some(condition)) => (body, condition),
            (Err(err), _) => return self.lock().refuse(400, "invalid", &err.to_string()),
            (_, None) => return self.lock().refuse(400, "invalid", "no precondition"),
        };
        if body.spec.is_some() != (req.method() == "PUT") {
            return self.lock().refuse(400, "invalid", "a PUT needs a spec, a DELETE has none");
        }
        let mut state = self.lock();
        let answer = state.write(id, condition, body, self.cfg.tombstones);
        self.changed.notify_all();
        if answer.status_code == 200 && state.faults.lose_answers > 0 {
            state.faults.lose_answers -= 1;
            return Response::text("answer lost").with_status_code(504);
        }
        answer
    }
}

impl State {
    fn admit(&mut self, call: &Call) -> Option<Response> {
        let (count, tokens) = match call {
            Call::List => (&mut self.counts.lists, &mut self.read_tokens),
            Call::Watch { .. } => (&mut self.counts.watches, &mut self.read_tokens),
            Call::Read(_) => (&mut self.counts.reads, &mut self.read_tokens),
            Call::Write(_) => (&mut self.counts.writes, &mut self.write_tokens),
        };
        *count += 1;
        if self.faults.down {
            return Some(self.refuse(503, "unavailable", ""));
        }
        if !tokens.take() {
            self.counts.throttled += 1;
            return Some(self.refuse(429, "throttled", ""));
        }
        None
    }

    fn refuse(&self, status: u16, error: &str, detail: &str) -> Response {
        let body = json!({"revision": self.revision, "error": error, "detail": detail});
        Response::json(&body).with_status_code(status)
    }

    fn list(&self) -> Response {
        let live = self.objects.iter().filter(|(_, stored)| stored.spec.is_some());
        let objects: Vec<Value> = live.map(|(id, stored)| document(id, stored)).collect();
        Response::json(&json!({"revision": self.revision, "objects": objects}))
    }

    fn changes(&self, since: u64) -> Response {
        let mut changed: Vec<_> =
            self.objects.iter().filter(|(_, stored)| stored.revision > since).collect();
        changed.sort_by_key(|(_, stored)| stored.revision);
        let objects: Vec<Value> =
            changed.into_iter().map(|(id, stored)| document(id, stored)).collect();
        Response::json(&json!({"revision": self.revision, "objects": objects}))
    }

    fn read(&self, id: &ObjectId) -> Response {
        let Some(stored) = self.objects.get(id) else {
            return self.refuse(404, "unknown object", "");
        };
        Response::json(&json!({"revision": self.revision, "object": document(id, stored)}))
    }

    fn write(
        &mut self,
        id: ObjectId,
        condition: Condition,
        body: WriteBody,
        max_tombstones: usize,
    ) -> Response {
        let live = self.objects.get(&id).filter(|stored| stored.spec.is_some());
        let current = live.map(|stored| stored.revision);
        let holds = match condition {
            Condition::Absent => current.is_none(),
            Condition::At(revision) => current == Some(revision),
        };
        if !holds {
            let body = json!({"revision": self.revision, "error": "conflict", "current": current});
            return Response::json(&body).with_status_code(412);
        }
        self.revision += 1;
        let revision = self.revision;
        if body.spec.is_none() {
            self.tombstones.push_back((id.clone(), revision));
        }
        self.objects.insert(id, Stored { revision, write_id: body.write_id, spec: body.spec });
        while self.tombstones.len() > max_tombstones {
            self.drop_oldest_tombstone();
        }
        Response::json(&json!({"revision": revision}))
    }

    fn drop_oldest_tombstone(&mut self) {
        let Some((id, revision)) = self.tombstones.pop_front() else { return };
        // The object may have been created again since.
        if self.objects.get(&id).is_some_and(|stored| stored.revision == revision) {
            self.objects.remove(&id);
            self.dropped = revision;
        }
    }
}

fn document(id: &ObjectId, stored: &Stored) -> Value {
    json!({
        "kind": id.0,
        "name": id.1,
        "revision": stored.revision,
        "write_id": stored.write_id,
        "spec": stored.spec,
    })
}

fn parse_call(req: &Request) -> Option<Call> {
    let url = req.url();
    let segments: Vec<&str> = url.trim_start_matches('/').split('/').collect();
    match (req.method(), &segments[..]) {
        ("GET", ["v1", "objects"]) => Some(Call::List),
        ("GET", ["v1", "watch"]) => {
            let since = req.get_param("since")?.parse().ok()?;
            let wait_ms = req.get_param("wait_ms")?.parse().ok()?;
            Some(Call::Watch { since, wait: Duration::from_millis(wait_ms) })
        }
        ("GET", ["v1", "objects", kind, name]) => {
            Some(Call::Read(((*kind).into(), (*name).into())))
        }
        ("PUT" | "DELETE", ["v1", "objects", kind, name]) => {
            Some(Call::Write(((*kind).into(), (*name).into())))
        }
        _ => None,
    }
}

fn parse_condition(req: &Request) -> Option<Condition> {
    match (req.header("If-Match"), req.header("If-None-Match")) {
        (Some(revision), None) => revision.parse().ok().map(Condition::At),
        (None, Some("*")) => Some(Condition::Absent),
        _ => None,
    }
}

fn read_body(req: &Request) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    req.data()?.take(MAX_BODY_BYTES + 1).read_to_end(&mut body).ok()?;
    (body.len() as u64 <= MAX_BODY_BYTES).then_some(body)
}
