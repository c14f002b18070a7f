//! Stand-in of an upstream.
//!
//! It runs calls in a limited number of slots, can be made slow, failing in part, lying about its
//! health or leaving, and remembers how often each request id ran and which headers it saw.
//!
//! Paths: `/control` (POST a [`Behaviour`]), `/counts`, `/health`, `/bytes/N` (N bytes of known
//! length), `/chunked/N` (N bytes of unknown length), `/cut/N` (announces N bytes and closes after
//! half of them), `/echo` (the body of the request), `/name/TEXT` (the text); every other path answers `ok`.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Channel, Full};
use hyper::body::Incoming;
use hyper::http::{HeaderMap, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use model::{Endpoint, EndpointState};
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::sleep;

/// Time between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// Requests whose headers are remembered.
const MAX_REMEMBERED: usize = 4096;

/// Size of the parts of a large answer, in bytes.
const PART_BYTES: usize = 16 * 1024;

/// How the upstream behaves.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Time that a call runs, in milliseconds.
    pub service_ms: u64,
    /// Time between the parts of a streamed answer, in milliseconds.
    pub part_ms: u64,
    /// Fails one call in this many; 0 fails none.
    pub fail_one_in: u64,
    /// Fails only paths that start with this prefix.
    pub fail_prefix: String,
    /// Refuses every call as not run.
    pub shed: bool,
    /// Closes the connection instead of answering, after the call ran.
    pub drop_answers: bool,
    /// Answers that its health is bad.
    pub unhealthy: bool,
    /// State that it announces.
    pub state: EndpointState,
    /// Stops announcing itself.
    pub silent: bool,
}

impl Default for Behaviour {
    fn default() -> Behaviour {
        Behaviour {
            service_ms: 0,
            part_ms: 0,
            fail_one_in: 0,
            fail_prefix: String::new(),
            shed: false,
            drop_answers: false,
            unhealthy: false,
            state: EndpointState::Ready,
            silent: false,
        }
    }
}

/// What the upstream has seen.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Calls that ran.
    pub runs: u64,
    /// Calls that found no free slot.
    pub over_slots: u64,
    /// How often each request id ran.
    pub runs_by_request: HashMap<String, u64>,
    /// All headers and targets seen, as text.
    pub seen: Vec<String>,
}

/// A call that reached the upstream, whether or not it ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// When its head had been read.
    pub at: Instant,
    /// Its target.
    pub target: Box<str>,
}

/// A running stand-in.
pub struct UpstreamStandin {
    /// Where it listens.
    pub addr: SocketAddr,
    state: Arc<State>,
    tasks: Vec<AbortHandle>,
}

struct State {
    behaviour: Mutex<Behaviour>,
    counts: Mutex<Counts>,
    arrivals: Mutex<Vec<Arrival>>,
    slots: Semaphore,
}

impl UpstreamStandin {
    /// Starts to listen, and to announce the endpoint to a node if `announce_to` is given. The
    /// address of the endpoint is replaced by the one that is listened on.
    pub async fn start(
        listen: SocketAddr,
        mut endpoint: Endpoint,
        announce_to: Option<SocketAddr>,
        behaviour: Behaviour,
    ) -> std::io::Result<UpstreamStandin> {
        let listener = TcpListener::bind(listen).await?;
        let addr = listener.local_addr()?;
        endpoint.addr = addr;
        let state = Arc::new(State {
            behaviour: Mutex::new(behaviour),
            counts: Mutex::default(),
            arrivals: Mutex::default(),
            slots: Semaphore::new(endpoint.slots.0 as usize),
        });
        let mut tasks = vec![tokio::spawn(serve(listener, Arc::clone(&state))).abort_handle()];
        if let Some(node) = announce_to {
            let announcing = tokio::spawn(announce(node, endpoint, Arc::clone(&state)));
            tasks.push(announcing.abort_handle());
        }
        Ok(UpstreamStandin { addr, state, tasks })
    }

    /// Ends it as the kill of its process would: the listener and all connections are closed, and
    /// announcements stop. The counts can still be read.
    pub fn kill(&self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }

    /// Changes the behaviour.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *lock(&self.state.behaviour) = behaviour;
    }

    /// Whether it says that it leaves.
    pub fn is_leaving(&self) -> bool {
        lock(&self.state.behaviour).state == EndpointState::Leaving
    }

    /// Calls that ran so far.
    pub fn runs(&self) -> u64 {
        lock(&self.state.counts).runs
    }

    /// Calls that have reached it so far, those that it refused included.
    pub fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.state.arrivals).clone()
    }

    /// What it has seen so far.
    pub fn counts(&self) -> Counts {
        lock(&self.state.counts).clone()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn serve(listener: TcpListener, state: Arc<State>) {
    // Dropping the set ends all connections.
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        while connections.try_join_next().is_some() {}
        let _ = stream.set_nodelay(true);
        let state = Arc::clone(&state);
        let service = service_fn(move |req| answer(req, Arc::clone(&state)));
        let conn = http1::Builder::new()
            .timer(TokioTimer::new())
            .serve_connection(TokioIo::new(stream), service);
        connections.spawn(conn);
    }
}

/// The connection is closed without an answer.
#[derive(Debug)]
struct Dropped;

impl std::fmt::Display for Dropped {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer is dropped on purpose")
    }
}

impl std::error::Error for Dropped {}

type Body = BoxBody<Bytes, Dropped>;

async fn answer(req: Request<Incoming>, state: Arc<State>) -> Result<Response<Body>, Dropped> {
    let path = req.uri().path().to_owned();
    match (req.method(), path.as_str()) {
        (&Method::POST, "/control") => return Ok(control(req, &state).await),
        (_, "/counts") => {
            let counts = lock(&state.counts).clone();
            return Ok(plain(200, serde_json::to_vec(&counts).unwrap_or_default()));
        }
        (_, "/health") => {
            let unhealthy = lock(&state.behaviour).unhealthy;
            return Ok(plain(if unhealthy { 503 } else { 200 }, "health"));
        }
        _ => {}
    }
    run(req, &path, &state).await
}

async fn control(req: Request<Incoming>, state: &State) -> Response<Body> {
    let Ok(body) = req.into_body().collect().await else { return plain(400, "unreadable body") };
    match serde_json::from_slice(&body.to_bytes()) {
        Ok(behaviour) => {
            *lock(&state.behaviour) = behaviour;
            plain(200, "changed")
        }
        Err(err) => plain(400, err.to_string()),
    }
}

async fn run(req: Request<Incoming>, path: &str, state: &State) -> Result<Response<Body>, Dropped> {
    let behaviour = lock(&state.behaviour).clone();
    let arrival = Arrival { at: Instant::now(), target: req.uri().to_string().into() };
    lock(&state.arrivals).push(arrival);
    let Ok(_slot) = state.slots.try_acquire() else {
        lock(&state.counts).over_slots += 1;
        return Ok(shed(req.headers()));
    };
    if behaviour.shed {
        return Ok(shed(req.headers()));
    }
    let target = req.uri().to_string();
    let number = record(&target, req.headers(), state);
    let Ok(body) = req.into_body().collect().await else { return Err(Dropped) };
    // The timers of the runtime have a resolution of 1 ms, so a sleep of 0 ms would take up to that.
    if behaviour.service_ms > 0 {
        sleep(Duration::from_millis(behaviour.service_ms)).await;
    }
    if behaviour.drop_answers {
        return Err(Dropped);
    }
    let failing = behaviour.fail_one_in > 0 && number.is_multiple_of(behaviour.fail_one_in);
    if failing && path.starts_with(&behaviour.fail_prefix) {
        return Ok(plain(500, "failing on purpose"));
    }
    Ok(content(path, body.to_bytes(), Duration::from_millis(behaviour.part_ms)))
}

/// Remembers a call and returns its number.
fn record(target: &str, headers: &HeaderMap, state: &State) -> u64 {
    let mut counts = lock(&state.counts);
    counts.runs += 1;
    let id = headers.get("x-request-id").and_then(|id| id.to_str().ok());
    if let Some(id) = id.filter(|_| counts.runs_by_request.len() < MAX_REMEMBERED) {
        *counts.runs_by_request.entry(id.to_owned()).or_default() += 1;
    }
    if counts.seen.len() < MAX_REMEMBERED {
        counts.seen.push(format!("{target} {headers:?}"));
    }
    counts.runs
}

fn content(path: &str, body: Bytes, pause: Duration) -> Response<Body> {
    // Routes have prefixes of their own in front of these paths.
    let size = |name| path.rsplit_once(name).and_then(|(_, size): (_, &str)| size.parse().ok());
    if path == "/echo" {
        return plain(200, body);
    }
    if let Some((_, name)) = path.rsplit_once("/name/") {
        return plain(200, name.to_owned());
    }
    if let Some(size) = size("/bytes/") {
        return plain(200, vec![b'x'; size]);
    }
    if let Some(size) = size("/chunked/") {
        return Response::new(parts(size, size, pause));
    }
    if let Some(size) = size("/cut/") {
        let mut answer = Response::new(parts(size / 2, size, pause));
        answer.headers_mut().insert("content-length", HeaderValue::from(size));
        return answer;
    }
    plain(200, "ok")
}

/// A streamed body that sends `sent` bytes with pauses between its parts, and breaks off if that is less
/// than `announced`.
fn parts(sent: usize, announced: usize, pause: Duration) -> Body {
    let (mut tx, body) = Channel::<Bytes, Dropped>::new(2);
    tokio::spawn(async move {
        let mut left = sent;
        while left > 0 {
            let part = left.min(PART_BYTES);
            if tx.send_data(Bytes::from(vec![b'x'; part])).await.is_err() {
                return;
            }
            left -= part;
            if !pause.is_zero() {
                sleep(pause).await;
            }
        }
        if sent < announced {
            tx.abort(Dropped);
        }
    });
    body.boxed()
}

fn shed(headers: &HeaderMap) -> Response<Body> {
    let mut answer = plain(503, "no free slot");
    if let Some(id) = headers.get("x-request-id") {
        answer.headers_mut().insert("x-request-id", id.clone());
    }
    answer.headers_mut().insert("x-not-run", HeaderValue::from_static("1"));
    answer
}

fn plain(status: u16, text: impl Into<Bytes>) -> Response<Body> {
    let mut answer = Response::new(Full::new(text.into()).map_err(|never| match never {}).boxed());
    *answer.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    answer
}

async fn announce(node: SocketAddr, mut endpoint: Endpoint, state: Arc<State>) {
    loop {
        let behaviour = lock(&state.behaviour).clone();
        endpoint.state = behaviour.state;
        if !behaviour.silent {
            // An announcement that fails is repeated with the next one.
            let _ = announce_once(node, &endpoint).await;
        }
        sleep(ANNOUNCE_INTERVAL).await;
    }
}

async fn announce_once(node: SocketAddr, endpoint: &Endpoint) -> Result<(), Box<str>> {
    let text = |err: &dyn std::fmt::Display| -> Box<str> { err.to_string().into() };
    let stream = TcpStream::connect(node).await.map_err(|err| text(&err))?;
    let (mut sender, conn) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|err| text(&err))?;
    tokio::spawn(conn);
    let document = serde_json::to_vec(endpoint).map_err(|err| text(&err))?;
    let req = Request::post("/v1/announce")
        .header("host", node.to_string())
        .body(Full::new(Bytes::from(document)))
        .map_err(|err| text(&err))?;
    sender.send_request(req).await.map(drop).map_err(|err| text(&err))
}
