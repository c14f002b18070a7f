//! The dialing side of control links.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, sleep_until};
use wire::{Frame, Purpose, Welcome};

use crate::handshake::{Identity, dial};
use crate::link::{Link, LinkError};

/// Longest wait for a reply. A link that is cut in one direction shows no error by itself.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// First pause before another attempt to connect.
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// Longest pause before another attempt to connect.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Requests that wait for a link; more are refused at once.
const QUEUE_LENGTH: usize = 256;

type ReplySender = oneshot::Sender<Result<Frame, LinkError>>;

/// Told when a control link comes up or goes down.
pub trait ControlEvents: Send + Sync {
    /// The link is up; requests may be sent.
    fn link_up(&self, welcome: &Welcome);
    /// The link is down.
    fn link_down(&self, err: &LinkError);
}

/// Sends requests to one node over a link that reconnects by itself. Dropping the client closes the
/// link.
pub struct ControlClient {
    tx: mpsc::Sender<(Frame, ReplySender)>,
}

impl ControlClient {
    /// Starts to connect.
    pub fn start(
        addr: SocketAddr,
        identity: Identity,
        events: Arc<dyn ControlEvents>,
    ) -> ControlClient {
        let (tx, rx) = mpsc::channel(QUEUE_LENGTH);
        tokio::spawn(run(addr, identity, events, rx));
        ControlClient { tx }
    }

    /// Sends a request and waits for its reply.
    pub async fn request(&self, frame: Frame) -> Result<Frame, LinkError> {
        let (reply_tx, reply_rx) = oneshot::channel();
        self.tx.try_send((frame, reply_tx)).map_err(|_| LinkError::Closed)?;
        reply_rx.await.map_err(|_| LinkError::Closed)?
    }
}

async fn run(
    addr: SocketAddr,
    identity: Identity,
    events: Arc<dyn ControlEvents>,
    mut rx: mpsc::Receiver<(Frame, ReplySender)>,
) {
    let mut backoff = MIN_BACKOFF;
    while !rx.is_closed() {
        let err = match dial(addr, &identity, Purpose::Control).await {
            Err(err) => err,
            Ok((link, welcome)) => {
                backoff = MIN_BACKOFF;
                events.link_up(&welcome);
                match exchange(link, &mut rx).await {
                    Some(err) => err,
                    None => return,
                }
            }
        };
        events.link_down(&err);
        // Requests made while the link was up are of no use on the next one.
        while let Ok((_, reply_tx)) = rx.try_recv() {
            let _ = reply_tx.send(Err(err.clone()));
        }
        sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Sends requests and hands replies back in order, until the link fails or the client is dropped.
async fn exchange(
    mut link: Link,
    rx: &mut mpsc::Receiver<(Frame, ReplySender)>,
) -> Option<LinkError> {
    let mut waiting: VecDeque<(Instant, ReplySender)> = VecDeque::new();
    let err = loop {
        let deadline = waiting.front().map(|(deadline, _)| *deadline);
        tokio::select! {
            request = rx.recv() => {
                let (frame, reply_tx) = request?;
                waiting.push_back((Instant::now() + REPLY_TIMEOUT, reply_tx));
                if let Err(err) = link.send(&frame).await {
                    break err;
                }
            }
            reply = link.recv() => match (reply, waiting.pop_front()) {
                (Ok(frame), Some((_, reply_tx))) => {
                    let _ = reply_tx.send(Ok(frame));
                }
                (Ok(_), None) => break LinkError::Unexpected,
                (Err(err), reply) => {
                    waiting.extend(reply);
                    break err;
                }
            },
            () = sleep_until(deadline.unwrap_or_else(Instant::now)), if deadline.is_some() => {
                break LinkError::TimedOut;
            }
        }
    };
    for (_, reply_tx) in waiting {
        let _ = reply_tx.send(Err(err.clone()));
    }
    Some(err)
}

/// Makes a link for one exchange: sends a request, hands each reply to `next`, and sends what that
/// returns until it returns `None`.
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
