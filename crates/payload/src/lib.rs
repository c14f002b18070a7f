//! Message bodies that are streamed between callers, nodes and upstreams.
//!
//! A [`Payload`] is either buffered in memory or a stream of chunks. A stream is complete only if
//! its sender ends it with [`PayloadSender::finish`] or [`PayloadSender::send_last`]. If the sender
//! is dropped before, the receiver gets a [`BodyCut`] error, on which hyper closes the connection.
//! A receiver therefore never mistakes a truncated body for a complete one, whichever task fails
//! first.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

/// Capacity of the channel between sender and receiver, in chunks. It is small, so that a slow
/// receiver causes backpressure instead of filling memory.
const CHANNEL_CAPACITY_CHUNKS: usize = 4;

/// Error for a body that ended before it was complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyCut {
    /// The sender was dropped, or its connection was lost.
    SenderLost,
    /// No bytes arrived within [`BodyLimits::stall_timeout`].
    Stalled,
    /// The body exceeds [`BodyLimits::max_bytes`].
    TooLarge,
    /// The deadline of the call passed.
    DeadlinePassed,
}

impl fmt::Display for BodyCut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BodyCut::SenderLost => "the sender of the body disconnected",
            BodyCut::Stalled => "no bytes of the body arrived before the stall timeout",
            BodyCut::TooLarge => "the body exceeds the maximum size",
            BodyCut::DeadlinePassed => {
                "the deadline of the call expired before the body was complete"
            }
        })
    }
}

impl std::error::Error for BodyCut {}

/// An item in the channel of a streamed payload.
#[derive(Debug)]
enum StreamItem {
    Chunk(Bytes),
    Last(Bytes),
    Aborted(BodyCut),
}

/// Error for sending to a body whose receiver was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReceiverDropped;

/// The sending end of a streamed payload.
#[derive(Debug)]
pub struct PayloadSender {
    tx: mpsc::Sender<StreamItem>,
}

impl PayloadSender {
    /// Sends a chunk. Waits while the channel is full.
    pub async fn send(&self, chunk: Bytes) -> Result<(), ReceiverDropped> {
        if chunk.is_empty() {
            return Ok(());
        }
        self.tx.send(StreamItem::Chunk(chunk)).await.map_err(|_| ReceiverDropped)
    }

    /// Waits until the channel has capacity for a chunk.
    pub async fn ready(&self) -> Result<(), ReceiverDropped> {
        self.tx.reserve().await.map(drop).map_err(|_| ReceiverDropped)
    }

    /// Marks the body as complete.
    pub async fn finish(self) {
        self.send_last(Bytes::new()).await;
    }

    /// Sends the last chunk and marks the body as complete, in one step.
    pub async fn send_last(self, chunk: Bytes) {
        let _ = self.tx.send(StreamItem::Last(chunk)).await;
    }

    /// Ends an incomplete body with an error.
    pub async fn cut(self, cut: BodyCut) {
        let _ = self.tx.send(StreamItem::Aborted(cut)).await;
    }

    /// Waits until the receiver is dropped.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }
}

/// The receiving end of a streamed payload.
#[derive(Debug)]
pub struct PayloadReceiver {
    rx: mpsc::Receiver<StreamItem>,
}

/// Limits that are enforced while a body is received.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimits {
    /// Maximum time between two chunks.
    pub stall_timeout: Duration,
    /// Maximum size of the body, in bytes.
    pub max_bytes: u64,
}

/// A value that is dropped when a body ends, for example the permit for a slot of an upstream.
pub type DropGuard = Box<dyn std::any::Any + Send + Sync>;

/// A message body, buffered or streamed.
pub enum Payload {
    /// The rest of the body, buffered in memory.
    Full(Bytes),
    /// Chunks from a [`PayloadSender`].
    Stream(PayloadReceiver),
    /// Buffered chunks, followed by the rest of the body.
    Chained(Bytes, Box<Payload>),
    /// A body with a value that is dropped when the body ends.
    Guarded(Box<Payload>, DropGuard),
}

impl fmt::Debug for Payload {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Payload::Full(bytes) => write!(f, "Payload({} bytes)", bytes.len()),
            _ => f.write_str("Payload(stream)"),
        }
    }
}

/// Result of [`Payload::read_ahead`].
#[derive(Debug)]
pub enum ReadAhead {
    /// The complete body.
    Whole(Bytes),
    /// The body is longer than the limit. The payload yields it from the start.
    Longer(Payload),
    /// The body ended before it was complete.
    Cut(BodyCut),
}

impl Payload {
    /// Returns an empty body.
    pub fn empty() -> Payload {
        Payload::Full(Bytes::new())
    }

    /// Returns a streamed body and its sender.
    pub fn channel() -> (PayloadSender, Payload) {
        let (tx, rx) = mpsc::channel(CHANNEL_CAPACITY_CHUNKS);
        (PayloadSender { tx }, Payload::Stream(PayloadReceiver { rx }))
    }

    /// Receives a body from hyper in a separate task, which enforces the limits. The task ends when
    /// the payload is dropped.
    pub fn receive(incoming: Incoming, limits: BodyLimits) -> Payload {
        if incoming.is_end_stream() {
            return Payload::empty();
        }
        let (tx, payload) = Payload::channel();
        tokio::spawn(forward_body(incoming, limits, tx));
        payload
    }

    /// Ends a streamed body with [`BodyCut::DeadlinePassed`] if it is not complete at `deadline`, and drops
    /// `guard` when the body has been received, is cut or is dropped. For a buffered body, drops it
    /// immediately. A task of its own forwards the body, so that the deadline holds also while the
    /// receiver does not read.
    pub fn relay_until(self, deadline: Instant, guard: DropGuard) -> Payload {
        match self {
            Payload::Full(_) => self,
            rest => {
                let (tx, payload) = Payload::channel();
                tokio::spawn(relay(rest, deadline, guard, tx));
                payload
            }
        }
    }

    /// Drops `guard` when the body ends or is dropped. For a buffered body, drops it immediately.
    pub fn hold(self, guard: DropGuard) -> Payload {
        match self {
            Payload::Full(_) => self,
            rest => Payload::Guarded(Box::new(rest), guard),
        }
    }

    /// Returns the next chunk, or `None` at the end of the body.
    pub async fn next(&mut self) -> Option<Result<Bytes, BodyCut>> {
        std::future::poll_fn(|cx| self.poll_next(cx)).await
    }

    /// Buffers a body of up to `max_bytes`, so that a retry can send it again.
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
            Payload::Guarded(rest, _) => {
                let next = rest.poll_next(cx);
                if matches!(next, Poll::Ready(None | Some(Err(_)))) {
                    *self = Payload::empty();
                }
                next
            }
            Payload::Stream(receiver) => {
                let Poll::Ready(item) = receiver.rx.poll_recv(cx) else { return Poll::Pending };
                match item {
                    Some(StreamItem::Last(chunk)) => *self = Payload::Full(chunk),
                    Some(StreamItem::Chunk(chunk)) => return Poll::Ready(Some(Ok(chunk))),
                    Some(StreamItem::Aborted(cut)) => return Poll::Ready(Some(Err(cut))),
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

/// Forwards a body until `deadline`. The body and `guard` are dropped before the receiver is told how the
/// body ended, for which it may have to read first.
async fn relay(mut body: Payload, deadline: Instant, guard: DropGuard, tx: PayloadSender) {
    let end = timeout_at(deadline, relay_chunks(&mut body, &tx)).await;
    drop((body, guard));
    match end {
        Ok(RelayEnd::Complete) => tx.finish().await,
        Ok(RelayEnd::Cut(cut)) => tx.cut(cut).await,
        Ok(RelayEnd::ReceiverDropped) => {}
        Err(_) => tx.cut(BodyCut::DeadlinePassed).await,
    }
}

enum RelayEnd {
    Complete,
    Cut(BodyCut),
    ReceiverDropped,
}

async fn relay_chunks(body: &mut Payload, tx: &PayloadSender) -> RelayEnd {
    loop {
        let next = tokio::select! {
            next = body.next() => next,
            () = tx.closed() => return RelayEnd::ReceiverDropped,
        };
        match next {
            None => return RelayEnd::Complete,
            Some(Err(cut)) => return RelayEnd::Cut(cut),
            Some(Ok(chunk)) => {
                if tx.send(chunk).await.is_err() {
                    return RelayEnd::ReceiverDropped;
                }
            }
        }
    }
}

async fn forward_body(mut incoming: Incoming, limits: BodyLimits, tx: PayloadSender) {
    let mut received_bytes = 0;
    loop {
        let next = tokio::select! {
            next = tokio::time::timeout(limits.stall_timeout, incoming.frame()) => next,
            // The receiver was dropped. Dropping `incoming` makes hyper close the connection.
            () = tx.closed() => return,
        };
        let cut = match next {
            Err(_) => BodyCut::Stalled,
            Ok(None) => return tx.finish().await,
            Ok(Some(Err(_))) => BodyCut::SenderLost,
            Ok(Some(Ok(frame))) => {
                // Trailers are dropped, since they could contain an API key and bypass the checks
                // of the head.
                let Ok(chunk) = frame.into_data() else { continue };
                received_bytes += chunk.len() as u64;
                if received_bytes <= limits.max_bytes {
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
