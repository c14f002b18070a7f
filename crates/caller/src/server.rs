//! Accepts callers.

use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::http::{HeaderMap, Method, Request, Response, header};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use log::warn;
use model::{RequestId, ResultCode};
use payload::{BodyLimits, Payload};
use rand::RngExt;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::timeout;

use crate::framing::{CheckedStream, MAX_HEADERS, Refusal};
use crate::idle::{Closing, ConnectionUse, IdleConnections};
use crate::sanitize::{PresentedKey, sanitize};
use crate::{REQUEST_ID_HEADER, error_answer, error_document};

/// Smallest buffer that the HTTP library takes, in bytes. Smaller limits on heads are enforced by
/// [`CheckedStream`].
const MIN_BUFFER_BYTES: usize = 8192;

/// Longest wait of a new caller for an idle connection to close in its favour.
const REPLACE_TIMEOUT: Duration = Duration::from_millis(100);

/// Time allowed to write the refusal of a connection, and then again for the caller to read it.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(200);

/// Limits on callers.
#[derive(Debug, Clone)]
pub struct CallerConfig {
    /// Connections accepted at the same time.
    pub max_connections: usize,
    /// Largest head, in bytes.
    pub max_head_bytes: usize,
    /// Longest wait for a head, also on an idle connection.
    pub idle_timeout: Duration,
    /// Limits on bodies.
    pub body: BodyLimits,
}

/// A request without key in its head.
#[derive(Debug)]
pub struct CallerRequest {
    /// Identifier made for the request.
    pub id: RequestId,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: Box<str>,
    /// Headers.
    pub headers: HeaderMap,
    /// The key that came with it.
    pub key: PresentedKey,
    /// Announced length of the body, in bytes.
    pub body_length: Option<u64>,
    /// Body.
    pub body: Payload,
}

/// An answer that is still being worked on. It is dropped when the caller goes away.
pub type PendingAnswer = Pin<Box<dyn Future<Output = Response<Payload>> + Send>>;

/// Serves requests.
pub trait CallerHandler: Send + Sync {
    /// Serves one request.
    fn handle(&self, req: CallerRequest) -> PendingAnswer;
    /// A request was refused before it reached the handler.
    fn refused(&self, id: &RequestId, code: ResultCode);
}

/// Tells the server to stop: answers get `connection: close` and idle connections are closed.
pub type Shutdown = watch::Receiver<bool>;

/// Accepts callers until told to stop, then waits for the open connections to end.
pub async fn serve(
    listener: TcpListener,
    cfg: CallerConfig,
    handler: Arc<dyn CallerHandler>,
    mut shutdown: Shutdown,
) {
    let permits = Arc::new(Semaphore::new(cfg.max_connections));
    let idle = Arc::new(IdleConnections::default());
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = shutdown.wait_for(|stop| *stop) => break,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(err) => {
                warn!("accepting a caller failed: {err}");
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let permit = Arc::clone(&permits).try_acquire_owned();
        let replaces = permit.is_err() && idle.close_longest() == Closing::Started;
        if permit.is_err() && !replaces {
            tokio::spawn(refuse_connection(stream));
            continue;
        }
        let (permits, cfg, idle) = (Arc::clone(&permits), cfg.clone(), Arc::clone(&idle));
        let (handler, shutdown) = (Arc::clone(&handler), shutdown.clone());
        tokio::spawn(async move {
            let permit = match permit {
                Ok(permit) => Some(permit),
                Err(_) => {
                    let released = timeout(REPLACE_TIMEOUT, permits.acquire_owned()).await;
                    released.ok().and_then(Result::ok)
                }
            };
            match permit {
                Some(permit) => connection(stream, cfg, handler, shutdown, idle, permit).await,
                None => refuse_connection(stream).await,
            }
        });
    }
    drop(listener);
    let all = u32::try_from(cfg.max_connections).unwrap_or(u32::MAX);
    let _ = permits.acquire_many(all).await;
}

async fn connection(
    stream: TcpStream,
    cfg: CallerConfig,
    handler: Arc<dyn CallerHandler>,
    mut shutdown: Shutdown,
    idle: Arc<IdleConnections>,
    _permit: OwnedSemaphorePermit,
) {
    let _ = stream.set_nodelay(true);
    let limits = cfg.body;
    let refusal = Arc::new(Refusal::default());
    let stream = CheckedStream::new(stream, cfg.max_head_bytes, Arc::clone(&refusal));
    let requests = AtomicU64::new(0);
    let connection_use = ConnectionUse::new(idle);
    let close = connection_use.close();
    let service = service_fn(move |req| {
        let request_use = Box::new(connection_use.begin_request());
        let handler = Arc::clone(&handler);
        let refused = refusal.of(requests.fetch_add(1, Ordering::Relaxed) + 1);
        async move {
            let answer = answer(req, refused, limits, &*handler).await;
            Ok::<_, Infallible>(answer.map(|body| body.hold(request_use)))
        }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(cfg.idle_timeout)
        .max_buf_size(cfg.max_head_bytes.max(MIN_BUFFER_BYTES))
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(conn);
    let stopping = tokio::select! {
        _ = conn.as_mut() => return,
        stopping = shutdown.wait_for(|stop| *stop) => stopping.is_ok(),
        () = close.notified() => true,
    };
    if stopping {
        conn.as_mut().graceful_shutdown();
    }
    let _ = conn.await;
}

async fn answer(
    req: Request<Incoming>,
    refused: Option<ResultCode>,
    limits: BodyLimits,
    handler: &dyn CallerHandler,
) -> Response<Payload> {
    let id = random_request_id();
    let (head, body) = req.into_parts();
    let received = refused.map_or_else(|| receive(&id, head, body, limits), Err);
    let mut answer = match received {
        Ok(req) => handler.handle(req).await,
        Err(code) => {
            handler.refused(&id, code);
            let mut answer = error_answer(code, &id);
            // The body was not read, so the connection can't carry another request.
            let close = header::HeaderValue::from_static("close");
            answer.headers_mut().insert(header::CONNECTION, close);
            answer
        }
    };
    if let Ok(value) = header::HeaderValue::from_str(id.as_str()) {
        answer.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    answer
}

fn receive(
    id: &RequestId,
    head: hyper::http::request::Parts,
    body: Incoming,
    limits: BodyLimits,
) -> Result<CallerRequest, ResultCode> {
    let body_length = body.size_hint().exact();
    if body_length.is_some_and(|bytes| bytes > limits.max_bytes) {
        return Err(ResultCode::BodyTooLarge);
    }
    let clean = sanitize(&head.method, &head.uri, head.headers)?;
    Ok(CallerRequest {
        id: id.clone(),
        method: head.method,
        target: clean.target,
        headers: clean.headers,
        key: clean.key,
        body_length,
        body: Payload::receive(body, limits),
    })
}

async fn refuse_connection(mut stream: TcpStream) {
    let document = error_document(ResultCode::TooManyConnections, &random_request_id());
    let text = format!(
        "HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\n\
         content-length: {}\r\nconnection: close\r\n\r\n{document}",
        document.len()
    );
    let write = async {
        stream.write_all(text.as_bytes()).await?;
        stream.shutdown().await
    };
    if !matches!(timeout(REFUSAL_TIMEOUT, write).await, Ok(Ok(()))) {
        return;
    }
    // Closing with unread bytes resets the connection, and the caller may lose the answer.
    let _ = timeout(REFUSAL_TIMEOUT, tokio::io::copy(&mut stream, &mut tokio::io::sink())).await;
}

fn random_request_id() -> RequestId {
    let random: u128 = rand::rng().random();
    format!("{random:032x}").parse().expect("hexadecimal digits are valid in an id")
}
