//! Stand-in of the platform's store, after its published protocol: objects by kind and name over
//! HTTP with versions, conditional updates, watches, a bounded history, rate limits and switchable
//! faults. Holds everything in memory. [`PlatformStandin::restore`] lets it come back from a backup.
//!
//! | call | answer |
//! |---|---|
//! | `GET /api/objects/{kind}` | `{"items","hasMore","currentRev"}`, a page; `?after={name}` gives the next |
//! | `GET /api/objects/{kind}?watch={rev}&waitMs={ms}` | `{"events","currentRev"}`; 410 if the history is gone |
//! | `GET /api/objects/{kind}/{name}` | the object; 404 if there is none |
//! | `POST /api/objects/{kind}` | the new object, named in its `meta`; 409 if it exists |
//! | `PUT /api/objects/{kind}/{name}` | the object; 409 with the current one if `meta.rev` does not match |
//! | `DELETE /api/objects/{kind}/{name}?rev={rev}` | the deleted object; 409 as above |
//! | `POST /faults` | sets any of the fields of [`Faults`] |
//! | `GET /counts` | number of calls by kind |

mod state;

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
use percent_encoding::percent_decode_str;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::Notify;
use tokio::task::spawn_blocking;

use self::state::{ObjectId, State};

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
    /// Number of changes that are kept for watches; one since before the oldest needs a list.
    pub history: usize,
    /// Objects on one page of a list.
    pub page: usize,
}

impl Default for PlatformConfig {
    fn default() -> PlatformConfig {
        PlatformConfig {
            writes_per_second: 400,
            reads_per_second: 2000,
            history: 10_000,
            page: 500,
        }
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
    /// Every write is refused with 503.
    pub refuse_writes: bool,
}

/// Number of calls since the start, including refused ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Pages of lists.
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

    /// Makes all answers tell the era of the store, which begins with this one. Writes from now on can
    /// be lost in a restore.
    pub fn tell_era(&self, era: u64) {
        self.shared.lock().era = Some(era);
    }

    /// Is away for a moment, and comes back in the next era with a copy of the objects that is as old as
    /// given by `age`. Revisions since then are given again.
    pub fn restore(&self, age: Duration, away: Duration) {
        let backup_at = Instant::now().checked_sub(age);
        let faults = self.shared.lock().faults;
        self.set_faults(Faults { down: true, ..faults });
        thread::sleep(away);
        let mut state = self.shared.lock();
        if let Some(backup_at) = backup_at {
            state.restore(backup_at);
        }
        state.faults = faults;
        self.shared.changed.notify_all();
    }

    /// The calls so far.
    pub fn counts(&self) -> Counts {
        self.shared.lock().counts
    }

    /// The watches so far of the objects of one kind.
    pub fn watches_of(&self, kind: &str) -> u64 {
        self.shared.lock().watches.get(kind).copied().unwrap_or_default()
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

    /// Decoded value of a parameter of the query.
    fn param(&self, name: &str) -> Option<String> {
        let params = self.head.uri.query()?.split('&');
        let mut params = params.filter_map(|param| param.split_once('='));
        let (_, value) = params.find(|(known, _)| *known == name)?;
        Some(percent_decode_str(value).decode_utf8_lossy().into_owned())
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

fn null() -> Box<RawValue> {
    RawValue::from_string("null".to_owned()).expect("null is valid JSON")
}

#[derive(Serialize)]
struct WatchPage {
    #[serde(rename = "currentRev")]
    revision: u64,
    events: Vec<state::Event>,
}

#[derive(Deserialize)]
struct WriteBody {
    #[serde(default)]
    meta: WriteMeta,
    /// Kept as text, so that entries of other writers can hold anything that is JSON.
    #[serde(default = "null")]
    spec: Box<RawValue>,
}

#[derive(Deserialize, Default)]
struct WriteMeta {
    #[serde(default)]
    name: Box<str>,
    #[serde(default)]
    rev: Option<u64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FaultsBody {
    down: Option<bool>,
    slow_ms: Option<u64>,
    lose_answers: Option<u32>,
    refuse_writes: Option<bool>,
}

enum Call {
    List { kind: Box<str>, after: Option<Box<str>> },
    Watch { kind: Box<str>, since: u64, wait: Duration },
    Read(ObjectId),
    Create(Box<str>),
    Replace(ObjectId),
    Delete(ObjectId, Option<u64>),
}

impl Shared {
    fn new(cfg: PlatformConfig) -> Shared {
        let state = State::new(cfg.reads_per_second, cfg.writes_per_second);
        let (changed, stopping) = (Condvar::new(), AtomicBool::new(false));
        Shared { cfg, state: Mutex::new(state), changed, stopping, stop: Notify::new() }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Serves a call, and tells the era. A call that a restore interrupts has no definite answer.
    fn serve(&self, req: &WholeRequest) -> Answer {
        let era = self.lock().era;
        let mut answer = self.serve_in_era(req);
        if self.lock().era != era {
            return text(504, "answer lost");
        }
        if let Some(era) = era {
            answer.headers_mut().insert("store-era", era.into());
        }
        answer
    }

    fn serve_in_era(&self, req: &WholeRequest) -> Answer {
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
            Call::List { kind, after } => self.lock().list(&kind, after.as_deref(), self.cfg.page),
            Call::Watch { kind, since, wait } => self.watch(&kind, since, wait),
            Call::Read(id) => self.lock().read(&id),
            call @ (Call::Create(_) | Call::Replace(_) | Call::Delete(..)) => self.write(req, call),
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
        faults.refuse_writes = change.refuse_writes.unwrap_or(faults.refuse_writes);
        let answer = json_answer(200, faults);
        self.changed.notify_all();
        answer
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> Answer {
        let deadline = Instant::now() + wait.min(MAX_WAIT);
        let mut state = self.lock();
        loop {
            if state.faults.down || self.stopping.load(Ordering::Relaxed) {
                return state.refuse(503, "unavailable", "");
            }
            // A revision ahead of the store's comes from before a restart of the stand-in.
            if since < state.forgotten || since > state.revision {
                return state.refuse(410, "history is gone", "");
            }
            let left = deadline.saturating_duration_since(Instant::now());
            let events = state.events(kind, since);
            if !events.is_empty() || left.is_zero() {
                let body = WatchPage { events, revision: state.revision };
                return json_answer(200, &body);
            }
            let woken = self.changed.wait_timeout(state, left);
            state = woken.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn write(&self, req: &WholeRequest, call: Call) -> Answer {
        let Some(bytes) = &req.body else {
            return self.lock().refuse(413, "invalid", "the body is too large");
        };
        let body = match (&call, serde_json::from_slice::<WriteBody>(bytes)) {
            (Call::Delete(..), _) => WriteBody { meta: WriteMeta::default(), spec: null() },
            (_, Ok(body)) => body,
            (_, Err(err)) => return self.lock().refuse(400, "invalid", &err.to_string()),
        };
        let mut state = self.lock();
        if state.faults.refuse_writes {
            return state.refuse(503, "unavailable", "");
        }
        let answer = match call {
            Call::Create(kind) => state.create((kind, body.meta.name), body.spec),
            Call::Replace(id) => state.replace(id, body.meta.rev, body.spec),
            Call::Delete(id, rev) => state.delete(id, rev),
            _ => return state.refuse(404, "unknown call", ""),
        };
        while state.history.len() > self.cfg.history {
            state.forgotten = state.history.pop_front().map_or(0, |change| change.revision);
        }
        self.changed.notify_all();
        if answer.status().is_success() && state.faults.lose_answers > 0 {
            state.faults.lose_answers -= 1;
            return text(504, "answer lost");
        }
        answer
    }
}

fn parse_call(req: &WholeRequest) -> Option<Call> {
    let segments: Vec<&str> = req.path().trim_start_matches('/').split('/').collect();
    let id = |kind: &str, name: &str| -> ObjectId { (kind.into(), name.into()) };
    match (req.method(), &segments[..]) {
        ("GET", ["api", "objects", kind]) => match req.param("watch") {
            Some(since) => Some(Call::Watch {
                kind: (*kind).into(),
                since: since.parse().ok()?,
                wait: Duration::from_millis(
                    req.param("waitMs").as_deref().unwrap_or("0").parse().ok()?,
                ),
            }),
            None => {
                Some(Call::List { kind: (*kind).into(), after: req.param("after").map(Into::into) })
            }
        },
        ("GET", ["api", "objects", kind, name]) => Some(Call::Read(id(kind, name))),
        ("POST", ["api", "objects", kind]) => Some(Call::Create((*kind).into())),
        ("PUT", ["api", "objects", kind, name]) => Some(Call::Replace(id(kind, name))),
        ("DELETE", ["api", "objects", kind, name]) => {
            let rev = req.param("rev").map(|rev| rev.parse()).transpose().ok()?;
            Some(Call::Delete(id(kind, name), rev))
        }
        _ => None,
    }
}
