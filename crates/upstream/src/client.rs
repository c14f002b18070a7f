//! HTTP/1.1 client with a connection pool for calls to upstreams.

use std::collections::HashMap;
use std::fmt;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hyper::body::Body;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::http::{HeaderMap, HeaderValue, Request};
use hyper_util::rt::TokioIo;
use payload::{BodyLimits, Payload, ReadAhead};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// Timeout for connecting. Upstreams run on the same instance, where connecting takes about 1 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of pooled idle connections per upstream.
const MAX_IDLE_CONNECTIONS_PER_UPSTREAM: usize = 32;

/// Maximum idle time after which a connection is reused. Upstreams close idle connections, and it
/// is unknown whether a request that is sent while the upstream closes the connection has run.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);

/// Margin by which a connection expires before the keep-alive timeout of the upstream, to allow for
/// the transmission of a request.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);

/// Maximum size, in bytes, of a response that is received completely before it is passed on. If
/// such a response is truncated, the call can still be retried at another upstream.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 64 * 1024;

/// Size of the read buffer of a connection, in bytes. A longer head is an error, and a response that is
/// streamed occupies no more than this, however fast the upstream sends.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Error for a call that ended without a complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamError {
    /// Nothing listens at the address, so the call did not run. Other calls would fail in the same
    /// way.
    ConnectRefused,
    /// Connecting failed for another reason, so the call did not run.
    ConnectFailed,
    /// The connection was lost after the request was sent, or the response was invalid or
    /// truncated. The outcome of the call is unknown.
    Lost,
}

impl fmt::Display for UpstreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            UpstreamError::ConnectRefused => "the upstream refused the connection",
            UpstreamError::ConnectFailed => "connecting to the upstream failed",
            UpstreamError::Lost => "the connection to the upstream was lost",
        })
    }
}

impl std::error::Error for UpstreamError {}

/// Whether a request may be sent on a connection that was used before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// Pooled connections may be reused.
    Allowed,
    /// A new connection is required, because the upstream has recently sent bytes that belong to no
    /// request.
    Never,
}

/// Which request a response belongs to, as far as its request id and its connection show.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerIdentity {
    /// The response has the id of the request.
    Confirmed,
    /// The response has no id, but its connection has carried no other request.
    Implied,
    /// The response has no id, and its connection has carried other requests. It may be a late second
    /// copy of an earlier response.
    Unknown,
    /// The response has the id of another request.
    Foreign,
}

impl AnswerIdentity {
    /// Identifies a response to a request with the id `sent`.
    fn of(
        headers: &HeaderMap,
        id_header: &str,
        sent: Option<&HeaderValue>,
        reused: bool,
    ) -> AnswerIdentity {
        let mut ids = headers.get_all(id_header).iter().peekable();
        if ids.peek().is_some() {
            return match ids.all(|id| Some(id) == sent) {
                true => AnswerIdentity::Confirmed,
                false => AnswerIdentity::Foreign,
            };
        }
        if reused { AnswerIdentity::Unknown } else { AnswerIdentity::Implied }
    }

    /// Whether the response can't belong to another request.
    ///
    /// ```
    /// use upstream::AnswerIdentity;
    ///
    /// assert!(AnswerIdentity::Implied.is_certain());
    /// assert!(!AnswerIdentity::Unknown.is_certain());
    /// ```
    pub fn is_certain(self) -> bool {
        matches!(self, AnswerIdentity::Confirmed | AnswerIdentity::Implied)
    }
}

/// The response of an upstream.
#[derive(Debug)]
pub struct UpstreamAnswer {
    /// Which request the response belongs to.
    pub identity: AnswerIdentity,
    /// HTTP status code.
    pub status: u16,
    /// Response headers.
    pub headers: HeaderMap,
    /// Response body. It is empty if the response belongs to another request or its status is not final.
    pub body: Payload,
}

impl UpstreamAnswer {
    /// Whether the status is that of a final response. Only such a response is evidence of the outcome of
    /// a request.
    pub fn has_final_status(&self) -> bool {
        is_final(self.status)
    }
}

/// Whether HTTP defines responses with this status as final. hyper handles interim responses and
/// rejects statuses below 100, but returns 101 and everything from 600 to 999.
fn is_final(status: u16) -> bool {
    (200..=599).contains(&status)
}

/// HTTP client with a pool of idle connections to upstreams.
#[derive(Clone)]
pub struct UpstreamClient {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>>,
    limits: BodyLimits,
    /// Header with the id of the request, which upstreams repeat in the response.
    id_header: &'static str,
}

/// A pooled connection without a request in progress.
struct IdleConnection {
    sender: SendRequest<Payload>,
    /// Time until which the connection may be reused.
    reusable_until: Instant,
}

impl UpstreamClient {
    /// Creates a client. `limits` apply to the bodies of responses. `id_header` has the id of a request
    /// and identifies the response to it.
    pub fn new(limits: BodyLimits, id_header: &'static str) -> UpstreamClient {
        UpstreamClient { idle: Arc::default(), limits, id_header }
    }

    /// Sends a request. Dropping the future closes the connection, which cancels the call.
    pub async fn send(
        &self,
        addr: SocketAddr,
        mut req: Request<Payload>,
        reuse: Reuse,
    ) -> Result<UpstreamAnswer, UpstreamError> {
        if reuse == Reuse::Never {
            self.close_idle(addr);
        }
        let id = req.headers().get(self.id_header).cloned();
        loop {
            let (mut sender, reused) = match self.take_idle(addr) {
                Some(sender) => (sender, true),
                None => (connect(addr).await?, false),
            };
            match sender.try_send_request(req).await {
                Ok(response) => {
                    let identity =
                        AnswerIdentity::of(response.headers(), self.id_header, id.as_ref(), reused);
                    return self.receive_response(addr, sender, response, identity).await;
                }
                // hyper returns the request only if no byte of it was written. The upstream has
                // closed this idle connection, so it is safe to send the request on another one.
                Err(mut err) => match err.take_message() {
                    Some(returned) if reused => req = returned,
                    Some(_) => return Err(UpstreamError::ConnectFailed),
                    None => return Err(UpstreamError::Lost),
                },
            }
        }
    }

    async fn receive_response(
        &self,
        addr: SocketAddr,
        sender: SendRequest<Payload>,
        response: hyper::Response<hyper::body::Incoming>,
        identity: AnswerIdentity,
    ) -> Result<UpstreamAnswer, UpstreamError> {
        let (head, body) = response.into_parts();
        let status = head.status.as_u16();
        if identity == AnswerIdentity::Foreign || !is_final(status) {
            // The connection is closed, since the response to the request may be the next one on it.
            let (headers, body) = (head.headers, Payload::empty());
            return Ok(UpstreamAnswer { identity, status, headers, body });
        }
        let exceeds_buffer = body.size_hint().lower() > MAX_BUFFERED_RESPONSE_BYTES as u64;
        let body = Payload::receive(body, self.limits);
        let body = match exceeds_buffer {
            true => body,
            false => match body.read_ahead(MAX_BUFFERED_RESPONSE_BYTES).await {
                ReadAhead::Whole(bytes) => Payload::Full(bytes),
                ReadAhead::Longer(rest) => rest,
                ReadAhead::Cut(_) => return Err(UpstreamError::Lost),
            },
        };
        self.release_once_ready(addr, sender, reuse_time(&head.headers));
        Ok(UpstreamAnswer { identity, status, headers: head.headers, body })
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).remove(&addr);
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<SendRequest<Payload>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&addr)?;
        let now = Instant::now();
        while let Some(IdleConnection { sender, reusable_until }) = connections.pop() {
            if sender.is_ready() && now < reusable_until {
                return Some(sender);
            }
        }
        None
    }

    /// Returns the connection to the pool once the body of the response has been read.
    fn release_once_ready(
        &self,
        addr: SocketAddr,
        mut sender: SendRequest<Payload>,
        reuse_time: Duration,
    ) {
        if sender.is_ready() {
            return self.release(addr, sender, reuse_time);
        }
        let client = self.clone();
        tokio::spawn(async move {
            if sender.ready().await.is_ok() {
                client.release(addr, sender, reuse_time);
            }
        });
    }

    fn release(&self, addr: SocketAddr, sender: SendRequest<Payload>, reuse_time: Duration) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(addr).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS_PER_UPSTREAM {
            connections
                .push(IdleConnection { sender, reusable_until: Instant::now() + reuse_time });
        }
    }
}

/// Returns the time for which a connection may be reused after this response.
fn reuse_time(headers: &HeaderMap) -> Duration {
    let advertised = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let advertised = advertised.and_then(|value| {
        let params = value.split(',').filter_map(|param| param.trim().strip_prefix("timeout="));
        params.filter_map(|seconds| seconds.parse().ok()).next()
    });
    let advertised =
        advertised.map(|seconds| Duration::from_secs(seconds).saturating_sub(KEEP_ALIVE_MARGIN));
    advertised.unwrap_or(MAX_IDLE_TIME).min(MAX_IDLE_TIME)
}

async fn connect(addr: SocketAddr) -> Result<SendRequest<Payload>, UpstreamError> {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
    let stream = match connected {
        Ok(Ok(stream)) => stream,
        Ok(Err(err)) if err.kind() == ErrorKind::ConnectionRefused => {
            return Err(UpstreamError::ConnectRefused);
        }
        Ok(Err(_)) | Err(_) => return Err(UpstreamError::ConnectFailed),
    };
    let _ = stream.set_nodelay(true);
    let mut builder = http1::Builder::new();
    builder.max_buf_size(READ_BUFFER_BYTES);
    let handshake = builder.handshake(TokioIo::new(stream)).await;
    let (sender, conn) = handshake.map_err(|_| UpstreamError::ConnectFailed)?;
    tokio::spawn(conn);
    Ok(sender)
}
