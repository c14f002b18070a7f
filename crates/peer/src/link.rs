//! A WebSocket connection that carries frames.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{FutureExt, SinkExt, StreamExt};
use model::{NodeName, ResultCode};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::{WebSocketStream, accept_async_with_config, client_async_with_config};
use wire::{DecodeError, Frame, MAX_FRAME_BYTES};

use crate::FrameTap;

/// Time allowed for the TCP and WebSocket handshakes. Both together take about three round trips of
/// at most 3 ms. After a lost SYN it is better to use another endpoint than to wait for its
/// retransmission.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time that single frames may stay unacknowledged before the kernel closes the connection. Both ends
/// read them at once.
const FRAME_SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// The same while a streamed body is sent. The kernel also counts the time in which the receiver takes
/// nothing because the next hop, a caller or an upstream, reads slowly. A host that is lost during a
/// body is noticed only after this time.
const BODY_SEND_TIMEOUT: Duration = Duration::from_secs(60);

/// Error of a link.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LinkError {
    /// The connection could not be established.
    Connect(Box<str>),
    /// The connection was closed or lost.
    Closed,
    /// The peer did not answer in time.
    TimedOut,
    /// The peer sent bytes that are not a valid frame.
    Invalid(DecodeError),
    /// The peer rejected the link or a frame.
    Rejected(ResultCode),
    /// The peer sent a frame that the protocol does not allow at this point.
    Unexpected,
    /// The peer did not prove that it knows the fleet secret.
    Unauthenticated,
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LinkError::Connect(reason) => write!(f, "connecting failed: {reason}"),
            LinkError::Closed => f.write_str("the connection was closed"),
            LinkError::TimedOut => f.write_str("the peer did not answer in time"),
            LinkError::Invalid(err) => err.fmt(f),
            LinkError::Rejected(code) => write!(f, "the peer refused: {code}"),
            LinkError::Unexpected => ResultCode::FrameUnexpected.fmt(f),
            LinkError::Unauthenticated => ResultCode::PeerUnauthenticated.fmt(f),
        }
    }
}

impl std::error::Error for LinkError {}

/// What was received on a link.
pub(crate) enum Received {
    Frame(Box<Frame>),
    Pong,
}

/// A connection that carries frames.
pub struct Link {
    ws: WebSocketStream<TcpStream>,
    observer: Option<(NodeName, Arc<dyn FrameTap>)>,
    is_sending_body: bool,
}

impl Link {
    /// Connects to a node. The fleet handshake must follow.
    pub(crate) async fn connect(addr: SocketAddr) -> Result<Link, LinkError> {
        timeout(CONNECT_TIMEOUT, connect(addr)).await.map_err(|_| LinkError::TimedOut)?
    }

    /// Accepts the WebSocket handshake on a connection from another node.
    pub(crate) async fn accept(stream: TcpStream) -> Result<Link, LinkError> {
        configure(&stream).map_err(|err| LinkError::Connect(err.to_string().into()))?;
        let accepted = timeout(CONNECT_TIMEOUT, accept_async_with_config(stream, Some(config())));
        let ws = accepted.await.map_err(|_| LinkError::TimedOut)?;
        let ws = ws.map_err(|err| LinkError::Connect(err.to_string().into()))?;
        Ok(Link { ws, observer: None, is_sending_body: false })
    }

    /// Passes all further frames to `tap`, if set.
    pub(crate) fn observe(&mut self, peer: &NodeName, tap: Option<Arc<dyn FrameTap>>) {
        self.observer = tap.map(|tap| (peer.clone(), tap));
    }

    /// Sends a frame.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), LinkError> {
        if let Some((peer, tap)) = &self.observer {
            tap.sent(peer, frame);
        }
        let message = Message::Binary(wire::encode(frame).into());
        self.ws.send(message).await.map_err(|_| LinkError::Closed)
    }

    /// Allows the receiver longer pauses, since the body of a message is streamed next.
    pub(crate) fn begin_body(&mut self) -> Result<(), LinkError> {
        self.is_sending_body = true;
        self.set_send_timeout(BODY_SEND_TIMEOUT)
    }

    /// Ends what [`Link::begin_body`] began. Only for a link whose receiver has confirmed the whole
    /// body, by an answer or by its next call: until then the kernel may still hold a part of it.
    pub(crate) fn end_body(&mut self) -> Result<(), LinkError> {
        if !std::mem::take(&mut self.is_sending_body) {
            return Ok(());
        }
        self.set_send_timeout(FRAME_SEND_TIMEOUT)
    }

    fn set_send_timeout(&self, timeout: Duration) -> Result<(), LinkError> {
        let socket = socket2::SockRef::from(self.ws.get_ref());
        socket.set_tcp_user_timeout(Some(timeout)).map_err(|_| LinkError::Closed)
    }

    /// Sends a ping; the other process replies with a [`Received::Pong`].
    pub(crate) async fn ping(&mut self) -> Result<(), LinkError> {
        self.ws.send(Message::Ping(Bytes::new())).await.map_err(|_| LinkError::Closed)
    }

    /// Sends a pong that replies to no ping, to show that this process is alive.
    pub(crate) async fn pong(&mut self) -> Result<(), LinkError> {
        self.ws.send(Message::Pong(Bytes::new())).await.map_err(|_| LinkError::Closed)
    }

    /// Receives the next frame. Cancel safe.
    pub async fn recv(&mut self) -> Result<Frame, LinkError> {
        loop {
            if let Received::Frame(frame) = self.recv_frame_or_pong().await? {
                return Ok(*frame);
            }
        }
    }

    /// Receives the next frame or the reply to a ping. Cancel safe.
    pub(crate) async fn recv_frame_or_pong(&mut self) -> Result<Received, LinkError> {
        loop {
            let message = match self.ws.next().await {
                None | Some(Err(_)) => return Err(LinkError::Closed),
                Some(Ok(message)) => message,
            };
            match message {
                Message::Binary(bytes) => {
                    let frame = wire::decode(&bytes).map_err(LinkError::Invalid)?;
                    if let Some((peer, tap)) = &self.observer {
                        tap.received(peer, &frame);
                    }
                    return Ok(Received::Frame(Box::new(frame)));
                }
                Message::Pong(_) => return Ok(Received::Pong),
                Message::Close(_) => return Err(LinkError::Closed),
                Message::Text(_) => return Err(LinkError::Unexpected),
                // The WebSocket library answers pings itself.
                Message::Ping(_) | Message::Frame(_) => {}
            }
        }
    }

    /// Returns whether an idle link can be reused. Anything that can be read from an idle link,
    /// including the end of the connection, makes it unusable.
    pub(crate) fn is_usable(&mut self) -> bool {
        self.ws.next().now_or_never().is_none()
    }
}

async fn connect(addr: SocketAddr) -> Result<Link, LinkError> {
    let failed = |err: &dyn fmt::Display| LinkError::Connect(err.to_string().into());
    let stream = TcpStream::connect(addr).await.map_err(|err| failed(&err))?;
    configure(&stream).map_err(|err| failed(&err))?;
    let url = format!("ws://{addr}/peer");
    let (ws, _) =
        client_async_with_config(url, stream, Some(config())).await.map_err(|err| failed(&err))?;
    Ok(Link { ws, observer: None, is_sending_body: false })
}

fn configure(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(FRAME_SEND_TIMEOUT))
}

/// Size of the read buffer of a link, in bytes. With the default of the library, 128 KB per link,
/// the buffers would take most of the memory of a node that has links to all others.
const READ_BUFFER_BYTES: usize = 8 * 1024;

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .write_buffer_size(0)
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}
