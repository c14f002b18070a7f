//! HTTP/1.1 server for callers: accepts connections and passes their requests to the handler.

use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::http::request::Parts;
use hyper::http::{HeaderMap, Method, Request, Response, header};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use log::warn;
use model::{CallerLimits, HeaderNames, RequestId, ResultCode};
use payload::{BodyLimits, Payload};
use rand::RngExt;
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::{sleep, timeout};

use crate::early::EarlyRequests;
use crate::framing::{
    AheadHead, CheckedStream, HeadLimits, ReadAheadState, RejectedHead, SharedStream,
};
use crate::head::MAX_HEADERS;
use crate::idle::{ConnectionActivity, Eviction, IdleConnections};
use crate::sanitize::{PresentedKey, sanitize};
use crate::{error_answer, error_body};

/// Smallest buffer that hyper accepts; it panics below this value. [`CheckedStream`] enforces lower
/// limits on the size of heads.
const HYPER_MIN_BUFFER_BYTES: usize = 8192;

/// Timeout for an evicted idle connection to close and free its permit for a new connection.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(100);

/// Timeout for writing the response to a rejected connection, and again for draining what the
/// caller still sends.
const REJECTION_TIMEOUT: Duration = Duration::from_millis(200);

/// Time after the shutdown signal during which the server still accepts connections and serves
/// requests on idle ones. Closing an idle connection at once would lose a request that the caller
/// is just sending.
const SHUTDOWN_GRACE: Duration = Duration::from_secs(1);

/// Delay after a failed accept. Without it, the loop would occupy a whole core while the process is
/// out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Configuration of the server for callers.
#[derive(Debug, Clone)]
pub struct CallerConfig {
    /// Maximum number of concurrent connections.
    pub max_connections: usize,
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Timeout for receiving a complete head, which also limits how long a connection may be idle.
    pub idle_timeout: Duration,
    /// Timeout from the first byte of a head to its last, in addition to `idle_timeout`. `None` sets
    /// no limit of its own.
    pub head_timeout: Option<Duration>,
    /// Limits on request bodies. The stall timeout also holds for callers that do not read.
    pub body: BodyLimits,
    /// Names of the headers that callers use.
    pub names: HeaderNames,
}

impl CallerConfig {
    /// Returns this configuration with the bounds that `limits` contains instead of its own.
    fn bounded_by(&self, limits: CallerLimits) -> CallerConfig {
        let max_bytes = limits.max_body_bytes.unwrap_or(self.body.max_bytes);
        CallerConfig {
            max_head_bytes: limits.max_head_bytes.map_or(self.max_head_bytes, |n| n as usize),
            idle_timeout: limits.idle_timeout().unwrap_or(self.idle_timeout),
            head_timeout: limits.head_timeout().or(self.head_timeout),
            body: BodyLimits { max_bytes, ..self.body },
            ..self.clone()
        }
    }
}

/// A request whose head no longer contains the API key.
#[derive(Debug)]
pub struct CallerRequest {
    /// Identifier of the request, sent by the caller or generated.
    pub id: RequestId,
    /// Requested host, in lower case and without the port.
    pub host: Box<str>,
    /// Timeout that the caller sent in the deadline header, if any.
    pub waits: Option<Duration>,
    /// HTTP method.
    pub method: Method,
    /// Request target: path and query.
    pub target: Box<str>,
    /// Headers that are forwarded.
    pub headers: HeaderMap,
    /// API key that was removed from the head.
    pub key: PresentedKey,
    /// Length of the body in bytes, if the head declares it.
    pub body_length: Option<u64>,
    /// Request body.
    pub body: Payload,
}

/// A future that resolves to the response. It is dropped when the caller disconnects.
pub type PendingAnswer = Pin<Box<dyn Future<Output = Response<Payload>> + Send>>;

/// Handles the requests of callers.
pub trait CallerHandler: Send + Sync {
    /// Handles one request.
    fn handle(&self, req: CallerRequest) -> PendingAnswer;
    /// Whether a request that was sent behind another one may be handled before the response to that
    /// one is complete. If the connection ends first, the request is cancelled, and the caller sends
    /// it again even if it has run.
    fn may_start_early(&self, _method: &Method, _host: &str, _target: &str) -> bool {
        false
    }
    /// Bounds on what callers may send, instead of those in [`CallerConfig`]. A connection keeps the
    /// bounds on its heads and its idle time, a request that on its body.
    fn limits(&self) -> CallerLimits {
        CallerLimits::default()
    }
    /// Called when the server rejects a request before it reaches [`CallerHandler::handle`].
    fn refused(&self, id: &RequestId, code: ResultCode);
}

/// Shutdown signal. Once it is `true`, responses carry `connection: close`; after a grace period,
/// idle connections and the listener are closed.
pub type Shutdown = watch::Receiver<bool>;

/// Accepts connections until the shutdown signal, then waits for the open connections to end.
pub async fn serve(
    listener: TcpListener,
    config: CallerConfig,
    handler: Arc<dyn CallerHandler>,
    shutdown: Shutdown,
) {
    let max_connections = config.max_connections;
    let permits = Arc::new(Semaphore::new(max_connections));
    let idle = Arc::new(IdleConnections::default());
    let mut stopping = shutdown.clone();
    let context =
        ConnectionContext { permits: Arc::clone(&permits), idle, config, handler, shutdown };
    let grace_over = async move {
        let _ = stopping.wait_for(|stop| *stop).await;
        sleep(SHUTDOWN_GRACE).await;
    };
    tokio::pin!(grace_over);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut grace_over => break,
        };
        match accepted {
            Ok((stream, _)) => context.handle_connection(stream),
            Err(err) => {
                warn!("failed to accept a caller connection: {err}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    if let Err(err) = drain_accept_queue(listener, &context) {
        warn!("failed to drain the accept queue during shutdown: {err}");
    }
    let all_permits = u32::try_from(max_connections).unwrap_or(u32::MAX);
    let _ = permits.acquire_many(all_permits).await;
}

/// Closes the listener after accepting the connections in its queue, which the kernel would
/// otherwise reset.
fn drain_accept_queue(listener: TcpListener, context: &ConnectionContext) -> std::io::Result<()> {
    // The tokio listener only returns connections for which its reactor has seen an event.
    let listener = listener.into_std()?;
    let mut queued = Vec::new();
    while let Ok((stream, _)) = listener.accept() {
        queued.push(stream);
    }
    drop(listener);
    for stream in queued {
        stream.set_nonblocking(true)?;
        context.handle_connection(TcpStream::from_std(stream)?);
    }
    Ok(())
}

/// State shared by all connections.
#[derive(Clone)]
struct ConnectionContext {
    permits: Arc<Semaphore>,
    idle: Arc<IdleConnections>,
    config: CallerConfig,
    handler: Arc<dyn CallerHandler>,
    shutdown: Shutdown,
}

impl ConnectionContext {
    /// Serves a new connection. At the connection limit, evicts an idle connection, or rejects the
    /// new one if none can be evicted.
    fn handle_connection(&self, stream: TcpStream) {
        if let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() {
            tokio::spawn(serve_connection(stream, self.clone(), permit));
            return;
        }
        if self.idle.evict_oldest() != Eviction::Started {
            tokio::spawn(reject_connection(stream));
            return;
        }
        let context = self.clone();
        tokio::spawn(async move {
            let permits = Arc::clone(&context.permits);
            match timeout(EVICTION_TIMEOUT, permits.acquire_owned()).await {
                Ok(Ok(permit)) => serve_connection(stream, context, permit).await,
                _ => reject_connection(stream).await,
            }
        });
    }
}

async fn serve_connection(
    stream: TcpStream,
    context: ConnectionContext,
    _permit: OwnedSemaphorePermit,
) {
    let ConnectionContext { idle, config, handler, mut shutdown, .. } = context;
    let config = config.bounded_by(handler.limits());
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(config.body.stall_timeout));
    let rejected_head = Arc::new(RejectedHead::default());
    let early = Arc::<EarlyRequests>::default();
    let head = HeadLimits { max_bytes: config.max_head_bytes, timeout: config.head_timeout };
    let stream = CheckedStream::new(stream, head, Arc::clone(&rejected_head), Arc::clone(&early));
    let stream = SharedStream::new(stream);
    let idle_timeout = config.idle_timeout + config.head_timeout.unwrap_or_default();
    let max_buf_size = config.max_head_bytes.max(HYPER_MIN_BUFFER_BYTES);
    let requests = Arc::new(ConnectionRequests {
        names: config.names,
        config,
        handler,
        early: Arc::clone(&early),
        stopping: shutdown.clone(),
    });
    let activity = ConnectionActivity::new(idle);
    let evicted = activity.eviction_signal();
    let service_requests = Arc::clone(&requests);
    let service = service_fn(move |req| {
        let activity_guard = activity.begin_request();
        let requests = Arc::clone(&service_requests);
        let number = requests.early.start_next();
        let guards = Box::new((activity_guard, requests.early.finish_guard()));
        let rejection = rejected_head.code_for(number);
        async move {
            let response = requests.respond(req, number, rejection).await;
            Ok::<_, Infallible>(response.map(|body| body.hold(guards)))
        }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(max_buf_size)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream.clone()), service);
    tokio::pin!(conn);
    let closing = wait_until_closing(&mut shutdown, &evicted, &early);
    tokio::pin!(closing);
    let served = std::future::poll_fn(|cx| {
        if let Poll::Ready(result) = conn.as_mut().poll(cx) {
            return Poll::Ready(ConnectionState::Ended(result));
        }
        if requests.poll_read_ahead(&stream, cx) == ReadAheadState::Closed {
            return Poll::Ready(ConnectionState::Ended(Ok(())));
        }
        closing.as_mut().poll(cx).map(|()| ConnectionState::Closing)
    });
    if let ConnectionState::Ended(result) = served.await {
        return reset_if_cut(&stream, result);
    }
    conn.as_mut().graceful_shutdown();
    reset_if_cut(&stream, conn.await);
}

/// Waits until a connection may close after its request in progress: some time after the server is told
/// to stop, or when the connection is evicted.
async fn wait_until_closing(shutdown: &mut Shutdown, evicted: &Notify, early: &EarlyRequests) {
    let grace = tokio::select! {
        _ = shutdown.wait_for(|stop| *stop) => SHUTDOWN_GRACE,
        () = evicted.notified() => Duration::ZERO,
    };
    sleep(grace).await;
    // Requests that were started early are answered first.
    early.wait_until_empty().await;
}

/// Resets the connection instead of closing it if a response was cut. To callers whose protocol version
/// has no chunks, the end of the connection is the end of a response without a length.
fn reset_if_cut(stream: &SharedStream, result: Result<(), hyper::Error>) {
    if result.is_err_and(|err| err.is_user())
        && let Err(err) = stream.lock().reset_on_close()
    {
        warn!("failed to reset the connection of a cut response: {err}");
    }
}

/// Why a connection is no longer served as before.
enum ConnectionState {
    /// The caller or the server has closed it.
    Ended(Result<(), hyper::Error>),
    /// It closes after the request in progress.
    Closing,
}

/// The requests of one connection, and how they are handled.
struct ConnectionRequests {
    config: CallerConfig,
    names: HeaderNames,
    handler: Arc<dyn CallerHandler>,
    early: Arc<EarlyRequests>,
    stopping: Shutdown,
}

impl ConnectionRequests {
    /// Responds to the request with this number on its connection.
    async fn respond(
        &self,
        req: Request<Incoming>,
        number: u64,
        rejection: Option<ResultCode>,
    ) -> Response<Payload> {
        let early = match self.early.take(number) {
            Some(task) => task.response().await,
            None => None,
        };
        let mut response = match early {
            Some(response) => response,
            None => {
                let (head, body) = req.into_parts();
                let body_length = body.size_hint().exact();
                let limits = self.config.bounded_by(self.handler.limits()).body;
                let exceeds_limit = body_length.is_some_and(|bytes| bytes > limits.max_bytes);
                let rejection = rejection.or(exceeds_limit.then_some(ResultCode::BodyTooLarge));
                match rejection {
                    None => {
                        let body = Payload::receive(body, limits);
                        respond(&*self.handler, &self.names, head, body_length, body).await
                    }
                    Some(code) => {
                        let id = request_id_or_generate(&head.headers, &self.names);
                        refuse(&*self.handler, &self.names, &id, code)
                    }
                }
            }
        };
        // A response that closes the connection discards the requests behind it, so it has to be the
        // last one of those that have been started.
        if *self.stopping.borrow() && self.early.is_empty() {
            set_connection_close(&mut response);
        }
        response
    }

    /// Reads the requests that were sent behind the one in progress, and starts those that may be
    /// started early.
    fn poll_read_ahead(&self, stream: &SharedStream, cx: &mut Context<'_>) -> ReadAheadState {
        if !self.early.is_in_progress() {
            return ReadAheadState::Open;
        }
        let (state, heads) = {
            let mut stream = stream.lock();
            (stream.poll_read_ahead(cx), stream.take_ahead())
        };
        for AheadHead { number, parts } in heads {
            self.start_early(number, parts);
        }
        state
    }

    fn start_early(&self, number: u64, head: Parts) {
        let target = head.uri.path_and_query().map_or("/", |target| target.as_str());
        if *self.stopping.borrow()
            || !self.early.may_start(number)
            || !self.handler.may_start_early(&head.method, &request_host(&head), target)
        {
            return;
        }
        let (handler, names) = (Arc::clone(&self.handler), self.names);
        let task = tokio::spawn(async move {
            respond(&*handler, &names, head, Some(0), Payload::empty()).await
        });
        self.early.insert(number, task);
    }
}

async fn respond(
    handler: &dyn CallerHandler,
    names: &HeaderNames,
    head: Parts,
    body_length: Option<u64>,
    body: Payload,
) -> Response<Payload> {
    let id = request_id_or_generate(&head.headers, names);
    match build_request(&id, head, body_length, body, names) {
        Ok(req) => with_request_id(handler.handle(req).await, &id, names),
        Err(code) => refuse(handler, names, &id, code),
    }
}

/// Rejects a request before it reaches the handler.
fn refuse(
    handler: &dyn CallerHandler,
    names: &HeaderNames,
    id: &RequestId,
    code: ResultCode,
) -> Response<Payload> {
    handler.refused(id, code);
    let mut response = error_answer(code.into(), id);
    // The body was not read, so the connection can't be reused for another request.
    set_connection_close(&mut response);
    with_request_id(response, id, names)
}

fn with_request_id(
    mut response: Response<Payload>,
    id: &RequestId,
    names: &HeaderNames,
) -> Response<Payload> {
    if let Ok(value) = header::HeaderValue::from_str(id.as_str()) {
        response.headers_mut().insert(names.request_id, value);
    }
    response
}

/// Announces that the server closes the connection after this response.
fn set_connection_close(response: &mut Response<Payload>) {
    let close = header::HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
}

/// Validates a head and builds the request that is passed to the handler.
fn build_request(
    id: &RequestId,
    head: Parts,
    body_length: Option<u64>,
    body: Payload,
    names: &HeaderNames,
) -> Result<CallerRequest, ResultCode> {
    let host = request_host(&head);
    let timeout_header = head.headers.get(names.deadline_ms).filter(|_| names.trusts_caller);
    let timeout_ms = timeout_header.and_then(|value| value.to_str().ok()?.trim().parse().ok());
    let sanitized = sanitize(&head.method, &head.uri, head.headers, names)?;
    Ok(CallerRequest {
        id: id.clone(),
        host,
        waits: timeout_ms.map(Duration::from_millis),
        method: head.method,
        target: sanitized.target,
        headers: sanitized.headers,
        key: sanitized.key,
        body_length,
        body,
    })
}

/// Responds with [`ResultCode::TooManyConnections`] and closes the connection.
async fn reject_connection(mut stream: TcpStream) {
    let body = error_body(ResultCode::TooManyConnections, &generate_request_id());
    let response = format!(
        "HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\n\
         content-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    );
    let write = async {
        stream.write_all(response.as_bytes()).await?;
        stream.shutdown().await
    };
    if !matches!(timeout(REJECTION_TIMEOUT, write).await, Ok(Ok(()))) {
        return;
    }
    // Closing a socket with unread bytes resets the connection, and the caller may lose the
    // response.
    let _ = timeout(REJECTION_TIMEOUT, tokio::io::copy(&mut stream, &mut tokio::io::sink())).await;
}

/// Returns the requested host in lower case, without user information and port.
pub(crate) fn request_host(head: &Parts) -> Box<str> {
    let authority = head.uri.authority().map(|authority| authority.as_str());
    let host_header = || head.headers.get(header::HOST).and_then(|value| value.to_str().ok());
    let host = authority.or_else(host_header).unwrap_or_default();
    let host = host.rsplit_once('@').map_or(host, |(_, host)| host);
    let port_start =
        host.rfind(':').filter(|at| host[at + 1..].bytes().all(|b| b.is_ascii_digit()));
    host[..port_start.unwrap_or(host.len())].to_ascii_lowercase().into()
}

fn request_id_or_generate(headers: &HeaderMap, names: &HeaderNames) -> RequestId {
    let sent_id = headers.get(names.request_id).filter(|_| names.trusts_caller);
    let sent_id = sent_id.and_then(|value| value.to_str().ok()?.parse().ok());
    sent_id.unwrap_or_else(generate_request_id)
}

fn generate_request_id() -> RequestId {
    let random: u128 = rand::rng().random();
    format!("{random:032x}").parse().expect("hexadecimal digits are valid in an id")
}
