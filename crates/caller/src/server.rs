//! Accepts callers.

use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
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
use tokio::time::{sleep, timeout};

use crate::sanitize::{PresentedKey, sanitize};
use crate::{REQUEST_ID_HEADER, error_answer, error_document};

/// Most headers of a request.
const MAX_HEADERS: usize = 100;

/// Time allowed to write the refusal of a connection.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(200);

/// Time after the request to stop in which connections are still accepted, and in which an idle
/// connection may still bring a request. A connection that is closed sooner may be closed just as
/// its caller sends a request, which would then be lost.
const STOP_GRACE: Duration = Duration::from_secs(1);

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

/// Tells the server to stop: it closes connections that stay idle, and soon its listener. The handler
/// has to give its answers `connection: close` from then on.
pub type Shutdown = watch::Receiver<bool>;

/// Accepts callers until told to stop, then waits for the open connections to end.
pub async fn serve(
    listener: TcpListener,
    cfg: CallerConfig,
    handler: Arc<dyn CallerHandler>,
    shutdown: Shutdown,
) {
    let permits = Arc::new(Semaphore::new(cfg.max_connections));
    let admit = |stream: TcpStream| match Arc::clone(&permits).try_acquire_owned() {
        Ok(permit) => {
            let (handler, shutdown) = (Arc::clone(&handler), shutdown.clone());
            tokio::spawn(connection(stream, cfg.clone(), handler, shutdown, permit));
        }
        Err(_) => {
            tokio::spawn(refuse_connection(stream));
        }
    };
    let mut stop = shutdown.clone();
    let end = async move {
        let _ = stop.wait_for(|stop| *stop).await;
        sleep(STOP_GRACE).await;
    };
    tokio::pin!(end);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut end => break,
        };
        match accepted {
            Ok((stream, _)) => admit(stream),
            Err(err) => {
                warn!("accepting a caller failed: {err}");
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
    if let Err(err) = accept_rest(listener, admit) {
        warn!("accepting the last callers failed: {err}");
    }
    let all = u32::try_from(cfg.max_connections).unwrap_or(u32::MAX);
    let _ = permits.acquire_many(all).await;
}

/// Takes the connections that the kernel has accepted already, and closes the listener. Those left
/// in its queue would be reset.
fn accept_rest(listener: TcpListener, admit: impl Fn(TcpStream)) -> std::io::Result<()> {
    // The listener of the runtime reports only connections that the runtime has been told of.
    let listener = listener.into_std()?;
    let mut rest = Vec::new();
    while let Ok((stream, _)) = listener.accept() {
        rest.push(stream);
    }
    drop(listener);
    for stream in rest {
        stream.set_nonblocking(true)?;
        admit(TcpStream::from_std(stream)?);
    }
    Ok(())
}

async fn connection(
    stream: TcpStream,
    cfg: CallerConfig,
    handler: Arc<dyn CallerHandler>,
    mut shutdown: Shutdown,
    _permit: OwnedSemaphorePermit,
) {
    let _ = stream.set_nodelay(true);
    let limits = cfg.body;
    let service = service_fn(move |req| {
        let handler = Arc::clone(&handler);
        async move { Ok::<_, Infallible>(answer(req, limits, &*handler).await) }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(cfg.idle_timeout)
        .max_buf_size(cfg.max_head_bytes)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(conn);
    let stopping = tokio::select! {
        _ = conn.as_mut() => return,
        stopping = shutdown.wait_for(|stop| *stop) => stopping.is_ok(),
    };
    if stopping {
        if timeout(STOP_GRACE, conn.as_mut()).await.is_ok() {
            return;
        }
        conn.as_mut().graceful_shutdown();
    }
    let _ = conn.await;
}

async fn answer(
    req: Request<Incoming>,
    limits: BodyLimits,
    handler: &dyn CallerHandler,
) -> Response<Payload> {
    let id = random_request_id();
    let (head, body) = req.into_parts();
    let mut answer = match receive(&id, head, body, limits) {
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
    let _ = timeout(REFUSAL_TIMEOUT, stream.write_all(text.as_bytes())).await;
}

fn random_request_id() -> RequestId {
    let random: u128 = rand::rng().random();
    format!("{random:032x}").parse().expect("hexadecimal digits are valid in an id")
}
