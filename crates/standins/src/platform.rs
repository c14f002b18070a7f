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
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::Notify;
use tokio::task::spawn_blocking;

/// Longest accepted body.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Longest wait of a watch.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Calls that are served at the same time. Each has a thread, a waiting watch too; a further call
/// waits until one of them ends.
const MAX_CALLS: usize = 2048;

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
        let cannot_listen = |err| format!("can't listen on {listen}: {err}");
        let (runtime, listener) = open(listen).map_err(cannot_listen)?;
        let addr = listener.local_addr().map_err(cannot_listen)?;
        let shared = Arc::new(Shared::new(cfg));
        let served = Arc::clone(&shared);
        let thread = thread::spawn(move || {
            runtime.block_on(async {
                tokio::select! {
                    () = accept(listener, &served) => {}
                    () = served.stop.notified() => {}
                }
            });
            // Delayed calls would hold up the stop.
            runtime.shutdown_background();
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
        self.shared.stop.notify_one();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for PlatformStandin {
    fn drop(&mut self) {
        self.stop();
    }
}

fn open(listen: SocketAddr) -> io::Result<(Runtime, TcpListener)> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(1)
        .max_blocking_threads(MAX_CALLS)
        .enable_all()
        .build()?;
    let listener = std::net::TcpListener::bind(listen)?;
    listener.set_nonblocking(true)?;
    let listener = {
        let _context = runtime.enter();
        TcpListener::from_std(listener)?
    };
    Ok((runtime, listener))
}

/// Serves every connection at once. `rouille` may leave a new connection without a thread until
/// another connection is closed, and the HTTP client of a node keeps its connections open.
async fn accept(listener: TcpListener, shared: &Arc<Shared>) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let shared = Arc::clone(shared);
        let service = service_fn(move |req| answer(req, Arc::clone(&shared)));
        let conn = http1::Builder::new()
            .timer(TokioTimer::new())
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(conn);
    }
}

type Answer = Response<Full<Bytes>>;

async fn answer(req: Request<Incoming>, shared: Arc<Shared>) -> Result<Answer, Infallible> {
    let (head, body) = req.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
    let req = WholeRequest { head, body: body.ok().map(|body| body.to_bytes()) };
    let served = spawn_blocking(move || shared.serve(&req)).await;
    Ok(served.unwrap_or_else(|err| text(500, err.to_string())))
}

/// A request after its body has been read.
struct WholeRequest {
    head: Parts,
    /// `None` if it is too large or was cut.
    body: Option<Bytes>,
}

impl WholeRequest {
    fn method(&self) -> &str {
        self.head.method.as_str()
    }

    fn path(&self) -> &str {
        self.head.uri.path()
    }

    fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }

    fn param(&self, name: &str) -> Option<&str> {
        let params = self.head.uri.query()?.split('&');
        params.filter_map(|param| param.split_once('=')).find(|(n, _)| *n == name).map(|(_, v)| v)
    }
}

fn json_answer(status: u16, body: &impl Serialize) -> Answer {
    let mut answer = text(status, serde_json::to_vec(body).unwrap_or_default());
    let json = hyper::http::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(hyper::http::header::CONTENT_TYPE, json);
    answer
}

fn text(status: u16, body: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(Full::new(body.into()));
    *answer.status_mut() = StatusCode::from_u16(status).expect("the status is valid");
    answer
}

struct Shared {
    cfg: PlatformConfig,
    state: Mutex<State>,
    changed: Condvar,
    stopping: AtomicBool,
    /// Ends the accept loop.
    stop: Notify,
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
        Shared { cfg, state: Mutex::new(state), changed, stopping, stop: Notify::new() }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, req: &WholeRequest) -> Answer {
        match (req.method(), req.path()) {
            ("POST", "/faults") => return self.switch_faults(req),
            ("GET", "/counts") => return json_answer(200, &self.lock().counts),
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

    fn switch_faults(&self, req: &WholeRequest) -> Answer {
        let Some(body) = &req.body else {
            return self.lock().refuse(413, "invalid", "the body is too large");
        };
        let change: FaultsBody = match serde_json::from_slice(body) {
            Ok(change) => change,
            Err(err) => return self.lock().refuse(400, "invalid", &err.to_string()),
        };
        let mut state = self.lock();
        let faults = &mut state.faults;
        faults.down = change.down.unwrap_or(faults.down);
        faults.slow_ms = change.slow_ms.unwrap_or(faults.slow_ms);
        faults.lose_answers = change.lose_answers.unwrap_or(faults.lose_answers);
        let answer = json_answer(200, faults);
        self.changed.notify_all();
        answer
    }

    fn watch(&self, since: u64, wait: Duration) -> Answer {
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

    fn write(&self, req: &WholeRequest, id: ObjectId) -> Answer {
        let Some(body) = &req.body else {
            return self.lock().refuse(413, "invalid", "the body is too large");
        };
        let parsed: Result<WriteBody, _> = serde_json::from_slice(body);
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
        if answer.status() == StatusCode::OK && state.faults.lose_answers > 0 {
            state.faults.lose_answers -= 1;
            return text(504, "answer lost");
        }
        answer
    }
}

impl State {
    fn admit(&mut self, call: &Call) -> Option<Answer> {
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

    fn refuse(&self, status: u16, error: &str, detail: &str) -> Answer {
        let body = json!({"revision": self.revision, "error": error, "detail": detail});
        json_answer(status, &body)
    }

    fn list(&self) -> Answer {
        let live = self.objects.iter().filter(|(_, stored)| stored.spec.is_some());
        let objects: Vec<Value> = live.map(|(id, stored)| document(id, stored)).collect();
        json_answer(200, &json!({"revision": self.revision, "objects": objects}))
    }

    fn changes(&self, since: u64) -> Answer {
        let mut changed: Vec<_> =
            self.objects.iter().filter(|(_, stored)| stored.revision > since).collect();
        changed.sort_by_key(|(_, stored)| stored.revision);
        let objects: Vec<Value> =
            changed.into_iter().map(|(id, stored)| document(id, stored)).collect();
        json_answer(200, &json!({"revision": self.revision, "objects": objects}))
    }

    fn read(&self, id: &ObjectId) -> Answer {
        let Some(stored) = self.objects.get(id) else {
            return self.refuse(404, "unknown object", "");
        };
        json_answer(200, &json!({"revision": self.revision, "object": document(id, stored)}))
    }

    fn write(
        &mut self,
        id: ObjectId,
        condition: Condition,
        body: WriteBody,
        max_tombstones: usize,
    ) -> Answer {
        let live = self.objects.get(&id).filter(|stored| stored.spec.is_some());
        let current = live.map(|stored| stored.revision);
        let holds = match condition {
            Condition::Absent => current.is_none(),
            Condition::At(revision) => current == Some(revision),
        };
        if !holds {
            let body = json!({"revision": self.revision, "error": "conflict", "current": current});
            return json_answer(412, &body);
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
        json_answer(200, &json!({"revision": revision}))
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

fn parse_call(req: &WholeRequest) -> Option<Call> {
    let segments: Vec<&str> = req.path().trim_start_matches('/').split('/').collect();
    match (req.method(), &segments[..]) {
        ("GET", ["v1", "objects"]) => Some(Call::List),
        ("GET", ["v1", "watch"]) => {
            let since = req.param("since")?.parse().ok()?;
            let wait_ms = req.param("wait_ms")?.parse().ok()?;
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

fn parse_condition(req: &WholeRequest) -> Option<Condition> {
    match (req.header("If-Match"), req.header("If-None-Match")) {
        (Some(revision), None) => revision.parse().ok().map(Condition::At),
        (None, Some("*")) => Some(Condition::Absent),
        _ => None,
    }
}
