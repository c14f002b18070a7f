//! Bodies in transit between callers, nodes and upstreams.
//!
//! A [`Payload`] is either complete in memory or a stream of chunks. A stream is whole only if its
//! sender ends it with [`PayloadSender::finish`]; a sender that is dropped before leaves a
//! [`BodyCut`], which the HTTP library turns into a closed connection. So a receiver never takes a
//! truncated body for a whole one, whichever task fails first.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::sync::mpsc;

/// Chunks that wait between two tasks. Small, so that a slow receiver slows its sender down instead
/// of filling memory.
const CHANNEL_CHUNKS: usize = 4;

/// A body ended before it was complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyCut {
    /// The sender went away.
    SenderLost,
    /// No bytes arrived for the allowed time.
    Stalled,
    /// The body is larger than allowed.
    TooLarge,
    /// The deadline of the call passed.
    DeadlinePassed,
}

impl fmt::Display for BodyCut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BodyCut::SenderLost => "the sender of the body went away",
            BodyCut::Stalled => "the body made no progress",
            BodyCut::TooLarge => "the body is larger than allowed",
            BodyCut::DeadlinePassed => "the deadline passed before the body was complete",
        })
    }
}

impl std::error::Error for BodyCut {}

/// What a sender puts into the channel.
#[derive(Debug)]
enum Item {
    Chunk(Bytes),
    Last(Bytes),
    Cut(BodyCut),
}

/// The receiver of a body does not want the rest of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReceiverGone;

/// The sending end of a streamed payload.
#[derive(Debug)]
pub struct PayloadSender {
    tx: mpsc::Sender<Item>,
}

impl PayloadSender {
    /// Sends a chunk, waiting for room.
    pub async fn send(&self, chunk: Bytes) -> Result<(), ReceiverGone> {
        if chunk.is_empty() {
            return Ok(());
        }
        self.tx.send(Item::Chunk(chunk)).await.map_err(|_| ReceiverGone)
    }

    /// Waits until a chunk can be sent without waiting.
    pub async fn ready(&self) -> Result<(), ReceiverGone> {
        self.tx.reserve().await.map(drop).map_err(|_| ReceiverGone)
    }

    /// Marks the body as whole.
    pub async fn finish(self) {
        self.send_last(Bytes::new()).await;
    }

    /// Sends a chunk and marks the body as whole, in one step.
    pub async fn send_last(self, chunk: Bytes) {
        let _ = self.tx.send(Item::Last(chunk)).await;
    }

    /// Ends the body with a reason why it is not whole.
    pub async fn cut(self, cut: BodyCut) {
        let _ = self.tx.send(Item::Cut(cut)).await;
    }

    /// Waits until the receiver is gone.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }
}

/// The receiving end of a streamed payload.
#[derive(Debug)]
pub struct PayloadReceiver {
    rx: mpsc::Receiver<Item>,
}

/// Limits on a body that is being received.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimits {
    /// Longest pause between two chunks.
    pub stall_timeout: Duration,
    /// Largest body, in bytes.
    pub max_bytes: u64,
}

/// Something that lasts as long as a body is in transit, for example a slot of an upstream.
pub type Hold = Box<dyn std::any::Any + Send + Sync>;

/// A body, complete or streamed.
pub enum Payload {
    /// The rest of the body is in memory.
    Full(Bytes),
    /// Chunks arrive from a sender.
    Stream(PayloadReceiver),
    /// Chunks that were read ahead, followed by the rest.
    Chained(Bytes, Box<Payload>),
    /// A body that drops something when it ends.
    Held(Box<Payload>, Hold),
}

impl fmt::Debug for Payload {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Payload::Full(bytes) => write!(f, "Payload({} bytes)", bytes.len()),
            _ => f.write_str("Payload(stream)"),
        }
    }
}

/// What reading ahead found.
#[derive(Debug)]
pub enum ReadAhead {
    /// The whole body.
    Whole(Bytes),
    /// The body is longer; the payload still yields it from the start.
    Longer(Payload),
    /// The body failed.
    Cut(BodyCut),
}

impl Payload {
    /// An empty body.
    pub fn empty() -> Payload {
        Payload::Full(Bytes::new())
    }

    /// A streamed body and its sender.
    pub fn channel() -> (PayloadSender, Payload) {
        let (tx, rx) = mpsc::channel(CHANNEL_CHUNKS);
        (PayloadSender { tx }, Payload::Stream(PayloadReceiver { rx }))
    }

    /// Receives a body from the HTTP library under limits. The task that does so ends when the
    /// payload is dropped.
    pub fn receive(incoming: Incoming, limits: BodyLimits) -> Payload {
        if incoming.is_end_stream() {
            return Payload::empty();
        }
        let (tx, payload) = Payload::channel();
        tokio::spawn(forward(incoming, limits, tx));
        payload
    }

    /// Keeps `hold` until the body has ended or is dropped. A body in memory drops it at once.
    pub fn hold(self, hold: Hold) -> Payload {
        match self {
            Payload::Full(_) => self,
            rest => Payload::Held(Box::new(rest), hold),
        }
    }

    /// The next chunk, or `None` at the end of the body.
    pub async fn next(&mut self) -> Option<Result<Bytes, BodyCut>> {
        std::future::poll_fn(|cx| self.poll_next(cx)).await
    }

    /// Reads up to `max_bytes` so that a short body can be sent again on a retry.
    pub async fn read_ahead(mut self, max_bytes: usize) -> ReadAhead {
        let mut buf = Vec::new();
        loop {
            match self.next().await {
                None => return ReadAhead::Whole(buf.into()),
                Some(Err(cut)) => return ReadAhead::Cut(cut),
                Some(Ok(chunk)) => buf.extend_from_slice(&chunk),
            }
            if buf.len() > max_bytes {
                return ReadAhead::Longer(Payload::Chained(buf.into(), Box::new(self)));
            }
        }
    }

    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyCut>>> {
        match self {
            Payload::Full(bytes) if bytes.is_empty() => Poll::Ready(None),
            Payload::Full(bytes) => Poll::Ready(Some(Ok(std::mem::take(bytes)))),
            Payload::Held(rest, _) => {
                let next = rest.poll_next(cx);
                if matches!(next, Poll::Ready(None | Some(Err(_)))) {
                    *self = Payload::empty();
                }
                next
            }
            Payload::Stream(receiver) => {
                let Poll::Ready(item) = receiver.rx.poll_recv(cx) else { return Poll::Pending };
                match item {
                    Some(Item::Last(chunk)) => *self = Payload::Full(chunk),
                    Some(Item::Chunk(chunk)) => return Poll::Ready(Some(Ok(chunk))),
                    Some(Item::Cut(cut)) => return Poll::Ready(Some(Err(cut))),
                    None => return Poll::Ready(Some(Err(BodyCut::SenderLost))),
                }
                self.poll_next(cx)
            }
            Payload::Chained(first, rest) => {
                let first = std::mem::take(first);
                let rest = std::mem::replace(&mut **rest, Payload::empty());
                *self = rest;
                if first.is_empty() { self.poll_next(cx) } else { Poll::Ready(Some(Ok(first))) }
            }
        }
    }
}

impl Body for Payload {
    type Data = Bytes;
    type Error = BodyCut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyCut>>> {
        self.poll_next(cx).map(|next| next.map(|chunk| chunk.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Payload::Full(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Payload::Full(bytes) => SizeHint::with_exact(bytes.len() as u64),
            _ => SizeHint::default(),
        }
    }
}

async fn forward(mut incoming: Incoming, limits: BodyLimits, tx: PayloadSender) {
    let mut received = 0;
    loop {
        let next = tokio::select! {
            next = tokio::time::timeout(limits.stall_timeout, incoming.frame()) => next,
            // The receiver is gone; dropping `incoming` tells the HTTP library to close.
            () = tx.closed() => return,
        };
        let cut = match next {
            Err(_) => BodyCut::Stalled,
            Ok(None) => return tx.finish().await,
            Ok(Some(Err(_))) => BodyCut::SenderLost,
            Ok(Some(Ok(frame))) => {
                // Trailers are dropped: they could carry a key past the checks made on the head.
                let Ok(chunk) = frame.into_data() else { continue };
                received += chunk.len() as u64;
                if received <= limits.max_bytes {
                    if tx.send(chunk).await.is_err() {
                        return;
                    }
                    continue;
                }
                BodyCut::TooLarge
            }
        };
        return tx.cut(cut).await;
    }
}
