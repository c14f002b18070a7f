//! The accepting side of control links and call links.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use config::Revisions;
use log::warn;
use model::{AttemptId, ResultCode};
use payload::{Payload, PayloadSender};
use tokio::net::{TcpListener, TcpStream};
use wire::{AnswerHead, BodyPart, Call, EndpointLoad, Frame, Header, MAX_CHUNK_BYTES, Purpose};

use crate::PeerInfo;
use crate::handshake::{Identity, accept};
use crate::link::{Link, LinkError};

/// Delay after a failed accept. Without it, this loop would use a whole core while the process is
/// out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time between pongs that are sent without a ping, while a link is not read because the upstream takes
/// no more of a request body. The entry sends a ping after 400 ms of silence and waits 300 ms.
const UNREAD_PONG_INTERVAL: Duration = Duration::from_millis(200);

/// Outcome of an attempt, as reported by the node of its endpoint.
#[derive(Debug)]
pub enum CallReply {
    /// The attempt did not run.
    Refused {
        /// Reason.
        code: ResultCode,
        /// Load of the endpoint, if it runs on this node.
        load: Option<EndpointLoad>,
        /// Configuration revisions that this node has.
        revisions: Revisions,
    },
    /// The outcome is unknown.
    Failed(ResultCode),
    /// The upstream answered.
    Answer {
        /// HTTP status.
        status: u16,
        /// Headers.
        headers: Vec<Header>,
        /// Body.
        body: Payload,
        /// Load of the endpoint.
        load: EndpointLoad,
        /// Configuration revisions that this node has.
        revisions: Revisions,
        /// Time that the upstream took to answer.
        took: Duration,
    },
}

/// Future of the reply to a call. Dropping it cancels the attempt.
pub type PendingReply = Pin<Box<dyn Future<Output = CallReply> + Send>>;

/// Handles requests and calls from other nodes.
pub trait PeerHandler: Send + Sync {
    /// Replies to a request on a control link.
    fn control(&self, peer: &PeerInfo, frame: Frame) -> Frame;
    /// Runs an attempt.
    fn call(&self, peer: &PeerInfo, call: Call, body: Payload) -> PendingReply;
}

/// Accepts links until the future is dropped.
pub async fn serve(listener: TcpListener, identity: Identity, handler: Arc<dyn PeerHandler>) {
    loop {
        let (stream, addr) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(err) => {
                warn!("accepting a link failed: {err}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        tokio::spawn(serve_link(stream, addr, identity.clone(), Arc::clone(&handler)));
    }
}

async fn serve_link(
    stream: TcpStream,
    addr: SocketAddr,
    identity: Identity,
    handler: Arc<dyn PeerHandler>,
) {
    let Ok(mut link) = Link::accept(stream).await else { return };
    let (peer, purpose) = match accept(&mut link, &identity).await {
        Ok(accepted) => accepted,
        Err(err) => {
            warn!("link from {addr} refused: {err}");
            return;
        }
    };
    let err = match purpose {
        Purpose::Control => serve_control(link, &peer, &*handler).await,
        Purpose::Call => serve_calls(link, &peer, &*handler).await,
    };
    if let LinkError::Invalid(_) | LinkError::Unexpected = err {
        warn!("link from {} closed: {err}", peer.node);
    }
}

async fn serve_control(mut link: Link, peer: &PeerInfo, handler: &dyn PeerHandler) -> LinkError {
    loop {
        let reply = match link.recv().await {
            Ok(frame) => handler.control(peer, frame),
            Err(err) => return err,
        };
        if let Err(err) = link.send(&reply).await {
            return err;
        }
    }
}

async fn serve_calls(mut link: Link, peer: &PeerInfo, handler: &dyn PeerHandler) -> LinkError {
    loop {
        let call = match link.recv().await {
            Ok(Frame::Call(call)) => *call,
            Ok(_) => return LinkError::Unexpected,
            Err(err) => return err,
        };
        if let Err(err) = link.end_body() {
            return err;
        }
        match serve_call(&mut link, peer, handler, call).await {
            Ok(LinkState::Reusable) => {}
            Ok(LinkState::MustClose) => return LinkError::Closed,
            Err(err) => return err,
        }
    }
}

/// Whether a link can carry another call.
enum LinkState {
    Reusable,
    MustClose,
}

async fn serve_call(
    link: &mut Link,
    peer: &PeerInfo,
    handler: &dyn PeerHandler,
    mut call: Call,
) -> Result<LinkState, LinkError> {
    let attempt = call.attempt;
    let first: Bytes = std::mem::take(&mut call.body.bytes).into();
    let mut body = RequestBody::Complete;
    let payload = if call.body.last {
        Payload::Full(first)
    } else {
        let (tx, rest) = Payload::channel();
        body = RequestBody::Open(tx);
        Payload::Chained(first, Box::new(rest))
    };
    let mut reply = handler.call(peer, call, payload);
    let reply = loop {
        tokio::select! {
            reply = &mut reply => break reply,
            // The body is forwarded while the upstream works. An error drops `reply`, which
            // cancels the attempt.
            step = body.advance(link) => step?,
        }
    };
    send_reply(link, attempt, reply, &mut body).await?;
    Ok(match body {
        RequestBody::Complete => LinkState::Reusable,
        _ => LinkState::MustClose,
    })
}

/// State of a request body that is forwarded from a link to the upstream.
enum RequestBody {
    /// More frames are expected.
    Open(PayloadSender),
    /// A chunk waits until the upstream can take it.
    Pending(PayloadSender, BodyPart),
    /// The upstream takes no more data; the remaining frames are read and discarded.
    Discarding,
    /// Every frame was read.
    Complete,
}

impl RequestBody {
    /// Reads one frame from the link or passes one chunk to the upstream. If the body is complete,
    /// waits for the link to fail: a frame before the reply is sent is an error. Cancel safe.
    async fn advance(&mut self, link: &mut Link) -> Result<(), LinkError> {
        if let RequestBody::Pending(tx, _) = self {
            // Pings of the entry wait behind the frames of the body, which are not read now.
            let ready = loop {
                tokio::select! {
                    ready = tx.ready() => break ready,
                    () = tokio::time::sleep(UNREAD_PONG_INTERVAL) => link.pong().await?,
                }
            };
            let RequestBody::Pending(tx, chunk) = std::mem::replace(self, RequestBody::Complete)
            else {
                unreachable!("the state was matched above");
            };
            // The channel has capacity and no other sender, so neither of the sends below waits.
            match (ready, chunk.last) {
                (Ok(()), true) => tx.send_last(chunk.bytes.into()).await,
                (Ok(()), false) => {
                    let sent = tx.send(chunk.bytes.into()).await;
                    *self = sent.map_or(RequestBody::Discarding, |()| RequestBody::Open(tx));
                }
                (Err(_), true) => {}
                (Err(_), false) => *self = RequestBody::Discarding,
            }
            return Ok(());
        }
        let frame = link.recv().await?;
        let (RequestBody::Open(_) | RequestBody::Discarding, Frame::CallBody(chunk)) =
            (&*self, frame)
        else {
            return Err(LinkError::Unexpected);
        };
        match std::mem::replace(self, RequestBody::Complete) {
            RequestBody::Open(tx) => *self = RequestBody::Pending(tx, chunk),
            _ if !chunk.last => *self = RequestBody::Discarding,
            _ => {}
        }
        Ok(())
    }
}

async fn send_reply(
    link: &mut Link,
    attempt: AttemptId,
    reply: CallReply,
    request_body: &mut RequestBody,
) -> Result<(), LinkError> {
    let (mut body, mut head) = match reply {
        CallReply::Refused { code, load, revisions } => {
            return link.send(&Frame::Refused { attempt, code, load, revisions }).await;
        }
        CallReply::Failed(code) => return link.send(&Frame::Failed { attempt, code }).await,
        CallReply::Answer { status, headers, body, load, revisions, took } => {
            let empty = BodyPart { bytes: Vec::new(), last: false };
            (body, AnswerHead { attempt, status, headers, body: empty, load, revisions, took })
        }
    };
    let first = match &mut body {
        Payload::Full(bytes) if bytes.len() <= MAX_CHUNK_BYTES => {
            BodyPart { bytes: std::mem::take(bytes).to_vec(), last: true }
        }
        _ => BodyPart { bytes: Vec::new(), last: false },
    };
    let last = first.last;
    head.body = first;
    link.send(&Frame::Answer(Box::new(head))).await?;
    if last {
        return Ok(());
    }
    link.begin_body()?;
    send_answer_body(link, attempt, body, request_body).await
}

async fn send_answer_body(
    link: &mut Link,
    attempt: AttemptId,
    mut body: Payload,
    request_body: &mut RequestBody,
) -> Result<(), LinkError> {
    loop {
        let next = tokio::select! {
            next = body.next() => next,
            step = request_body.advance(link) => {
                step?;
                continue;
            }
        };
        match next {
            None => {
                let part = BodyPart { bytes: Vec::new(), last: true };
                return link.send(&Frame::AnswerBody { attempt, part }).await;
            }
            Some(Ok(bytes)) => {
                for bytes in bytes.chunks(MAX_CHUNK_BYTES) {
                    let part = BodyPart { bytes: bytes.to_vec(), last: false };
                    link.send(&Frame::AnswerBody { attempt, part }).await?;
                }
            }
            Some(Err(_)) => {
                let code = ResultCode::UpstreamLost;
                return link.send(&Frame::Failed { attempt, code }).await;
            }
        }
    }
}
