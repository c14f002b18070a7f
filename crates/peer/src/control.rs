//! The dialing side of control links.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use model::Incarnation;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};
use wire::{Frame, Purpose};

use crate::handshake::{Identity, dial};
use crate::link::{Link, LinkError};

/// Maximum wait for a reply. A connection that is broken in one direction reports no error by
/// itself.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// Time without requests after which a link is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after a failed dial during which requests fail immediately, so that requests to an
/// unreachable node don't each wait for a connection.
const DIAL_BACKOFF: Duration = Duration::from_millis(200);

/// Maximum number of requests that wait for a link; further ones fail immediately.
const MAX_QUEUED_REQUESTS: usize = 256;

/// A reply and the process that sent it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlReply {
    /// The process at the other end of the link.
    pub from: Incarnation,
    /// The frame.
    pub frame: Frame,
}

type ReplySender = oneshot::Sender<Result<ControlReply, LinkError>>;

/// Sends requests to one node over a link that is dialed on demand. Dropping the client closes the
/// link.
pub struct ControlClient {
    tx: mpsc::Sender<(Frame, ReplySender)>,
}

impl ControlClient {
    /// Starts a client. It connects on the first request.
    pub fn start(addr: SocketAddr, identity: Identity) -> ControlClient {
        let (tx, rx) = mpsc::channel(MAX_QUEUED_REQUESTS);
        tokio::spawn(run(addr, identity, rx));
        ControlClient { tx }
    }

    /// Sends a request and waits for its reply.
    pub async fn request(&self, frame: Frame) -> Result<ControlReply, LinkError> {
        let (reply_tx, reply_rx) = oneshot::channel();
        self.tx.try_send((frame, reply_tx)).map_err(|_| LinkError::Closed)?;
        reply_rx.await.map_err(|_| LinkError::Closed)?
    }
}

async fn run(addr: SocketAddr, identity: Identity, mut rx: mpsc::Receiver<(Frame, ReplySender)>) {
    let mut failed: Option<(Instant, LinkError)> = None;
    while let Some(first) = rx.recv().await {
        if let Some((until, err)) = &failed
            && Instant::now() < *until
        {
            let _ = first.1.send(Err(err.clone()));
            continue;
        }
        failed = None;
        match dial(addr, &identity, Purpose::Control).await {
            Err(err) => {
                let _ = first.1.send(Err(err.clone()));
                failed = Some((Instant::now() + DIAL_BACKOFF, err));
            }
            Ok((link, welcome)) => run_link(link, welcome.incarnation, first, &mut rx).await,
        }
    }
}

/// Sends requests and returns replies in order, until the link fails, is idle for [`IDLE_TIMEOUT`],
/// or the client is dropped.
async fn run_link(
    mut link: Link,
    from: Incarnation,
    first: (Frame, ReplySender),
    rx: &mut mpsc::Receiver<(Frame, ReplySender)>,
) {
    let mut waiting: VecDeque<(Instant, ReplySender)> = VecDeque::new();
    let (frame, reply_tx) = first;
    waiting.push_back((Instant::now() + REPLY_TIMEOUT, reply_tx));
    let mut failure = link.send(&frame).await.err();
    while failure.is_none() {
        let idle = Instant::now() + IDLE_TIMEOUT;
        let deadline = waiting.front().map(|(deadline, _)| *deadline);
        tokio::select! {
            request = rx.recv() => {
                let Some((frame, reply_tx)) = request else { return };
                waiting.push_back((Instant::now() + REPLY_TIMEOUT, reply_tx));
                failure = link.send(&frame).await.err();
            }
            reply = link.recv() => match (reply, waiting.pop_front()) {
                (Ok(frame), Some((_, reply_tx))) => {
                    let _ = reply_tx.send(Ok(ControlReply { from, frame }));
                }
                (Ok(_), None) => failure = Some(LinkError::Unexpected),
                (Err(err), reply) => {
                    waiting.extend(reply);
                    failure = Some(err);
                }
            },
            () = sleep_until(deadline.unwrap_or(idle)) => match deadline {
                Some(_) => failure = Some(LinkError::TimedOut),
                None => return,
            },
        }
    }
    let err = failure.unwrap_or(LinkError::Closed);
    for (_, reply_tx) in waiting {
        let _ = reply_tx.send(Err(err.clone()));
    }
}

/// Dials a link for a sequence of requests: sends `first`, passes each reply to `next`, and sends
/// the request that `next` returns until it returns `None`.
pub async fn request_all(
    addr: SocketAddr,
    identity: &Identity,
    first: Frame,
    mut next: impl FnMut(Frame) -> Option<Frame>,
) -> Result<(), LinkError> {
    let (mut link, _) = dial(addr, identity, Purpose::Control).await?;
    let mut request = Some(first);
    while let Some(frame) = request {
        link.send(&frame).await?;
        let reply = tokio::time::timeout(REPLY_TIMEOUT, link.recv()).await;
        request = next(reply.map_err(|_| LinkError::TimedOut)??);
    }
    Ok(())
}
