//! Calls to upstreams over reused HTTP/1.1 connections.

use std::collections::HashMap;
use std::fmt;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::http::{HeaderMap, Request};
use hyper_util::rt::TokioIo;
use payload::{BodyLimits, Payload};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time allowed to connect. Upstreams are on the same instance, where connecting takes about 1 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle connections kept for each upstream.
const MAX_IDLE_CONNECTIONS: usize = 32;

/// Answers up to this size, in bytes, are received as a whole before they are passed on.
const MAX_INLINE_BYTES: u64 = 16 * 1024;

/// A call ended without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamError {
    /// Nothing listens at the address, so the call did not run and neither would any other.
    ConnectRefused,
    /// No connection could be made for another reason, so the call did not run.
    ConnectFailed,
    /// The connection was lost after the request was sent, so the outcome is unknown.
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

/// An answer whose head has arrived.
#[derive(Debug)]
pub struct UpstreamAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Payload,
}

/// Connections to upstreams.
#[derive(Clone)]
pub struct UpstreamClient {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<SendRequest<Payload>>>>>,
    limits: BodyLimits,
}

impl UpstreamClient {
    /// Makes a client; `limits` apply to the bodies of answers.
    pub fn new(limits: BodyLimits) -> UpstreamClient {
        UpstreamClient { idle: Arc::default(), limits }
    }

    /// Sends a request. Dropping the future closes the connection, which cancels the call.
    pub async fn send(
        &self,
        addr: SocketAddr,
        mut req: Request<Payload>,
    ) -> Result<UpstreamAnswer, UpstreamError> {
        loop {
            let (mut sender, reused) = match self.take_idle(addr) {
                Some(sender) => (sender, true),
                None => (connect(addr).await?, false),
            };
            match sender.try_send_request(req).await {
                Ok(answer) => return self.receive(addr, sender, answer).await,
                // The library returns the request only if no byte of it was written, so another
                // connection may be tried; the upstream had closed this idle one.
                Err(mut err) => match err.take_message() {
                    Some(returned) if reused => req = returned,
                    Some(_) => return Err(UpstreamError::ConnectFailed),
                    None => return Err(UpstreamError::Lost),
                },
            }
        }
    }

    async fn receive(
        &self,
        addr: SocketAddr,
        sender: SendRequest<Payload>,
        answer: hyper::Response<hyper::body::Incoming>,
    ) -> Result<UpstreamAnswer, UpstreamError> {
        let (head, body) = answer.into_parts();
        let small = body.size_hint().exact().is_some_and(|bytes| bytes <= MAX_INLINE_BYTES);
        let body = if small {
            let collected = timeout(self.limits.stall_timeout, body.collect()).await;
            let collected = collected.map_err(|_| UpstreamError::Lost)?;
            Payload::Full(collected.map_err(|_| UpstreamError::Lost)?.to_bytes())
        } else {
            Payload::receive(body, self.limits)
        };
        self.release_when_ready(addr, sender);
        Ok(UpstreamAnswer { status: head.status.as_u16(), headers: head.headers, body })
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<SendRequest<Payload>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&addr)?;
        while let Some(sender) = connections.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    /// Keeps the connection once the body of the answer has been read.
    fn release_when_ready(&self, addr: SocketAddr, mut sender: SendRequest<Payload>) {
        if sender.is_ready() {
            return self.release(addr, sender);
        }
        let client = self.clone();
        tokio::spawn(async move {
            if sender.ready().await.is_ok() {
                client.release(addr, sender);
            }
        });
    }

    fn release(&self, addr: SocketAddr, sender: SendRequest<Payload>) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(addr).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(sender);
        }
    }
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
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, conn) = handshake.map_err(|_| UpstreamError::ConnectFailed)?;
    tokio::spawn(conn);
    Ok(sender)
}
