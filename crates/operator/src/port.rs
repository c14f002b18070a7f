//! The operator port of a node.
//!
//! | request | response |
//! |---|---|
//! | `GET /health` | 200 while the process runs |
//! | `GET /ready` | 200 if the node accepts requests, else 503 with the result code |
//! | `GET /metrics` | metrics in the OpenMetrics text format |
//! | `GET /state` | [`FleetState`](crate::FleetState) |
//! | `GET /requests/{id}` | [`RequestRecord`](crate::RequestRecord); 404 with 3009 if unknown |
//! | `POST /where` | [`RouteExplanation`](crate::RouteExplanation); 400 with a code from 3012 to 3018 if the query can't be answered, 503 with 1012 without a configuration |
//! | `POST /push` | `{"revision"}` after applying the objects; 409 if the node refuses them |
//! | `POST /drain` | 202; the node starts a graceful shutdown |
//!
//! All requests except `/health` and `/ready` need `Authorization: Bearer <credential>`.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use model::{RequestId, ResultCode};
use prometheus_client::registry::Registry;
use rouille::{Request, Response, Server};
use serde_json::json;
use sha2::{Digest, Sha256};

use crate::explanation::{QueryDocument, QueryError, RouteQuery};
use crate::view::{NodeView, Push, PushDocument};

/// Limit of the request body, which only a push and a query have.
const MAX_BODY_BYTES: u64 = 8 << 20;

/// Limit of concurrent requests. `rouille` uses a thread per request and has no read timeout, so
/// without a limit, slow senders could occupy any number of threads.
const MAX_CONCURRENT_REQUESTS: usize = 64;

/// Interval of checks of the stop flag. Each check wakes the thread, which costs CPU time on an idle
/// node.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Limit of the time that [`OperatorPort::stop`] waits for the thread of the port.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// A running operator port. Dropping it stops the port.
pub struct OperatorPort {
    addr: SocketAddr,
    stopping: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl OperatorPort {
    /// Binds `listen` and serves `view` and the metrics of `registry` on dedicated threads.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound or the thread can't be started.
    pub fn start(
        listen: SocketAddr,
        credential: &str,
        view: Arc<dyn NodeView>,
        registry: Arc<Registry>,
    ) -> eyre::Result<OperatorPort> {
        let handler = RequestHandler {
            credential_digest: Sha256::digest(credential.as_bytes()).into(),
            view,
            registry,
            running: AtomicUsize::new(0),
        };
        let server = Server::new(listen, move |req| handler.handle(req))
            .map_err(|err| eyre::eyre!("can't bind the operator port to {listen}: {err}"))?;
        let addr = server.server_addr();
        let stopping = Arc::new(AtomicBool::new(false));
        let stop = Arc::clone(&stopping);
        let thread = thread::Builder::new().name("operator-port".into()).spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                server.poll_timeout(STOP_POLL_INTERVAL);
            }
        })?;
        Ok(OperatorPort { addr, stopping, thread: Some(thread) })
    }

    /// Returns the address on which the port listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops listening, and waits a limited time for the thread of the port to end.
    pub fn stop(&mut self) {
        self.stopping.store(true, Ordering::Relaxed);
        let Some(thread) = self.thread.take() else { return };
        let deadline = Instant::now() + STOP_TIMEOUT;
        while !thread.is_finished() && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(1));
        }
    }
}

impl Drop for OperatorPort {
    /// Tells the thread of the port to end, without a wait: a process that exits has no time for it.
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Relaxed);
    }
}

struct RequestHandler {
    /// SHA-256 digest of the operator credential.
    credential_digest: [u8; 32],
    view: Arc<dyn NodeView>,
    registry: Arc<Registry>,
    /// Number of requests that are being served.
    running: AtomicUsize,
}

/// Decrements the number of running requests on drop, so that a panic of the handler is covered.
struct RunningGuard<'a>(&'a AtomicUsize);

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl RequestHandler {
    fn handle(&self, req: &Request) -> Response {
        let running = self.running.fetch_add(1, Ordering::Relaxed);
        let _guard = RunningGuard(&self.running);
        if running >= MAX_CONCURRENT_REQUESTS {
            return error_response(503, ResultCode::TooManyConnections);
        }
        match (req.method(), req.raw_url()) {
            ("GET", "/health") => return Response::json(&json!({"health": "running"})),
            ("GET", "/ready") => return self.ready(),
            _ => {}
        }
        if !self.is_authorized(req) {
            log::warn!(
                "operator request from {} refused: missing or wrong credential",
                req.remote_addr()
            );
            return error_response(401, ResultCode::CredentialRejected);
        }
        match (req.method(), req.raw_url()) {
            ("GET", "/metrics") => self.metrics(),
            ("GET", "/state") => Response::json(&self.view.state()),
            ("POST", "/where") => self.explain_route(req),
            ("POST", "/push") => self.push(req),
            ("POST", "/drain") => {
                log::info!("operator at {} requested a drain of this node", req.remote_addr());
                self.view.drain();
                Response::json(&json!({"drain": "started"})).with_status_code(202)
            }
            ("GET", url) => match url.strip_prefix("/requests/") {
                Some(id) => self.request(id),
                None => not_found(),
            },
            _ => not_found(),
        }
    }

    /// Checks the credential by a constant-time comparison of SHA-256 digests, so that the response
    /// time does not leak any part of it.
    fn is_authorized(&self, req: &Request) -> bool {
        let Some(given) = req.header("Authorization").and_then(|h| h.strip_prefix("Bearer "))
        else {
            return false;
        };
        let given: [u8; 32] = Sha256::digest(given.as_bytes()).into();
        let pairs = given.iter().zip(&self.credential_digest);
        std::hint::black_box(pairs.fold(0, |diff, (a, b)| diff | (a ^ b))) == 0
    }

    fn ready(&self) -> Response {
        match self.view.ready() {
            Ok(()) => Response::json(&json!({"ready": true})),
            Err(code) => error_response(503, code),
        }
    }

    fn metrics(&self) -> Response {
        let mut text = String::new();
        match prometheus_client::encoding::text::encode(&mut text, &self.registry) {
            Ok(()) => Response::from_data(
                "application/openmetrics-text; version=1.0.0; charset=utf-8",
                text,
            ),
            Err(err) => {
                log::error!("can't encode the metrics: {err}");
                Response::text("metrics can't be encoded").with_status_code(500)
            }
        }
    }

    fn request(&self, id: &str) -> Response {
        let record = id.parse::<RequestId>().ok().and_then(|id| self.view.request(&id));
        match record {
            Some(record) => Response::json(&record),
            None => error_response(404, ResultCode::RequestNotRecorded),
        }
    }

    fn explain_route(&self, req: &Request) -> Response {
        let Some(body) = read_body(req) else {
            return error_response(413, ResultCode::BodyTooLarge);
        };
        let invalid = |err| QueryError::new(ResultCode::CommandInvalid, err);
        let explained = serde_json::from_slice::<QueryDocument>(&body)
            .map_err(invalid)
            .and_then(RouteQuery::try_from)
            .and_then(|query| self.view.explain_route(&query));
        match explained {
            Ok(explanation) => Response::json(&explanation),
            Err(QueryError { code, detail }) => {
                let status = if code == ResultCode::NotSynced { 503 } else { 400 };
                detailed_response(status, code, &detail)
            }
        }
    }

    fn push(&self, req: &Request) -> Response {
        let Some(body) = read_body(req) else {
            return error_response(413, ResultCode::BodyTooLarge);
        };
        let doc = match serde_json::from_slice::<PushDocument>(&body) {
            Ok(doc) => doc,
            Err(err) => return invalid_object(&err.to_string()),
        };
        let push = match Push::try_from(doc) {
            Ok(push) => push,
            Err(err) => return invalid_object(&err.to_string()),
        };
        let (revision, count) = (push.revision, push.objects.len());
        match self.view.push(push) {
            Ok(applied) => {
                log::info!("applied a push of {count} objects up to revision {revision}");
                Response::json(&json!({"revision": applied}))
            }
            Err(code) => error_response(409, code),
        }
    }
}

fn read_body(req: &Request) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    req.data()?.take(MAX_BODY_BYTES + 1).read_to_end(&mut body).ok()?;
    (body.len() as u64 <= MAX_BODY_BYTES).then_some(body)
}

fn error_response(status: u16, code: ResultCode) -> Response {
    Response::json(&json!({"code": code.number(), "text": code.text()})).with_status_code(status)
}

fn invalid_object(detail: &str) -> Response {
    detailed_response(400, ResultCode::ObjectInvalid, detail)
}

fn detailed_response(status: u16, code: ResultCode, detail: &str) -> Response {
    let body = json!({"code": code.number(), "text": code.text(), "detail": detail});
    Response::json(&body).with_status_code(status)
}

fn not_found() -> Response {
    Response::json(&json!({"text": "No such call."})).with_status_code(404)
}
