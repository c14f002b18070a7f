//! The dialing side of call links.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use config::Revisions;
use model::{AttemptId, Incarnation, ResultCode, Time};
use payload::{BodyCut, Payload, PayloadSender};
use tokio::time::{Instant, sleep_until, timeout, timeout_at};
use wire::{BodyPart, Call, EndpointLoad, Frame, Header, MAX_CHUNK_BYTES, Purpose};

use crate::handshake::{Identity, dial};
use crate::link::{Link, LinkError, Received};

/// Maximum number of idle links kept for each node.
const MAX_IDLE_LINKS: usize = 8;

/// Time without received data after which a ping is sent during a call. Most calls are answered
/// sooner, so few of them need a ping.
const PING_AFTER: Duration = Duration::from_millis(400);

/// Time allowed for the pong. It is far above a round trip of 3 ms, since a node with a fifth of a
/// core may be busy.
const CALL_PONG_TIMEOUT: Duration = Duration::from_millis(300);

/// Idle time after which a link is checked with a ping before it is reused. A non-idempotent call
/// that is sent to a frozen process or over a broken link is lost; the check costs a round trip.
const IDLE_CHECK_AFTER: Duration = Duration::from_millis(250);

/// Time allowed for the pong of that check. Long enough for a busy node with a fifth of a core, and
/// short enough to leave time for another endpoint.
const IDLE_CHECK_TIMEOUT: Duration = Duration::from_millis(150);

/// Time between two pings while more of an answer is awaited.
const BODY_PING_INTERVAL: Duration = Duration::from_secs(1);

/// Number of these pings without any data or pong after which the rest of an answer is given up. A process
/// that is paused for some seconds goes on with it; a host that is lost without closing its connections
/// would otherwise hold the caller, and a node that stops, for good. Pings are counted instead of time,
/// since a pause of this process is no silence of the other one.
const MAX_UNANSWERED_PINGS: u32 = 10;

/// An attempt that was sent to another process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// The process that it was sent to.
    pub process: Incarnation,
    /// Its deadline for starting, in the time of that process.
    pub start_by: Time,
}

/// What to do if a link receives nothing while a call waits for its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceAction {
    /// Report that the call did not run: the other process confirmed on another link that it will
    /// not run it.
    NotRun,
    /// Keep waiting: the call may be running and its answer may still arrive.
    KeepWaiting,
}

/// An answer whose head has arrived.
#[derive(Debug)]
pub struct CallAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<Header>,
    /// Body. Truncation is reported as an error, never as an early end.
    pub body: Payload,
    /// Load of the endpoint.
    pub load: EndpointLoad,
    /// Configuration revisions that the guard has.
    pub revisions: Revisions,
    /// Time that the upstream took to answer.
    pub took: Duration,
}

/// A call ended without an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallError {
    /// Nothing was sent, so the attempt did not run.
    NotSent(LinkError),
    /// The receiving node refused the attempt, so it did not run.
    Refused {
        /// Reason.
        code: ResultCode,
        /// Load of the endpoint, if known.
        load: Option<EndpointLoad>,
        /// Configuration revisions that the guard has.
        revisions: Revisions,
    },
    /// The outcome is unknown.
    Unknown {
        /// Reason.
        code: ResultCode,
        /// The sent attempt, which the caller can fence.
        sent: SentAttempt,
    },
}

/// A link, with the incarnation and the clock of the other process.
struct DialedLink {
    link: Link,
    process: Incarnation,
    /// Time of the other process at the handshake, and the local time when it was received. The
    /// first plus the local time elapsed since then is never ahead of the clock of the other
    /// process.
    clock: (Time, Time),
    /// When data was last received.
    last_received: Instant,
}

impl DialedLink {
    /// Converts a local time to the clock of the other process. Times before the handshake become
    /// the time of the handshake.
    fn to_peer_time(&self, local: Time) -> Time {
        let (peer_time, received) = self.clock;
        peer_time + local.since(received)
    }

    /// Checks with a ping that the other process responds, unless data was received recently.
    async fn check_alive(&mut self) -> Result<(), LinkError> {
        if self.last_received.elapsed() < IDLE_CHECK_AFTER {
            return Ok(());
        }
        self.link.ping().await?;
        let pong = timeout(IDLE_CHECK_TIMEOUT, self.link.recv_frame_or_pong()).await;
        match pong.map_err(|_| LinkError::TimedOut)?? {
            Received::Pong => {
                self.last_received = Instant::now();
                Ok(())
            }
            Received::Frame(_) => Err(LinkError::Unexpected),
        }
    }
}

/// Pool of call links to all nodes.
#[derive(Clone)]
pub struct CallPool {
    identity: Identity,
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<DialedLink>>>>,
}

impl CallPool {
    /// Creates an empty pool.
    pub fn new(identity: Identity) -> CallPool {
        CallPool { identity, idle: Arc::default() }
    }

    /// Sends an attempt to the node that listens at `addr` and waits for the head of its answer.
    ///
    /// `start_by` in `call` is replaced by `deadline`, converted to the time of that node. If
    /// nothing is received for some time, not even a pong, `on_silence` decides what to do; it is
    /// called at most once. Dropping the future closes the link, which cancels the attempt at the
    /// receiver. The body of the answer is cut if it is not complete at `deadline`.
    pub async fn call<F: Future<Output = SilenceAction>>(
        &self,
        addr: SocketAddr,
        mut call: Call,
        deadline: Time,
        mut body: Payload,
        on_silence: impl FnOnce(SentAttempt) -> F,
    ) -> Result<CallAnswer, CallError> {
        let body_deadline = Instant::now() + deadline.since(self.identity.clock.now());
        let mut dialed = self.link(addr).await.map_err(CallError::NotSent)?;
        call.start_by = dialed.to_peer_time(deadline);
        call.queue_until = dialed.to_peer_time(call.queue_until);
        call.goal_by = call.goal_by.map(|goal_by| dialed.to_peer_time(goal_by));
        let sent =
            SentAttempt { attempt: call.attempt, process: dialed.process, start_by: call.start_by };
        let mut body_sent = call.body.last;
        // Once the frame is passed to the connection, an error doesn't prove that the receiver
        // didn't get it.
        let lost = || CallError::Unknown { code: ResultCode::LinkLost, sent };
        dialed.link.send(&Frame::Call(Box::new(call))).await.map_err(|_| lost())?;
        if !body_sent {
            dialed.link.begin_body().map_err(|_| lost())?;
        }
        let mut monitor = SilenceMonitor::new(on_silence);
        loop {
            tokio::select! {
                chunk = body.next(), if !body_sent => {
                    body_sent = send_body(&mut dialed.link, chunk, sent).await?;
                }
                incoming = dialed.link.recv_frame_or_pong() => {
                    monitor.on_received();
                    let Received::Frame(frame) = incoming.map_err(|_| lost())? else { continue };
                    match first_reply(*frame, sent)? {
                        Reply::Answer(answer, last) => {
                            let stream = AnswerStream { addr, dialed, sent, body_sent };
                            return Ok(match last {
                                true => self.complete_answer(stream, answer),
                                false => self.stream_answer(stream, answer, body_deadline),
                            });
                        }
                        Reply::Ended(err) => {
                            if body_sent {
                                self.release(addr, dialed);
                            }
                            return Err(err);
                        }
                    }
                }
                event = monitor.next(sent) => match event {
                    SilenceEvent::SendPing => dialed.link.ping().await.map_err(|_| lost())?,
                    SilenceEvent::Decided(SilenceAction::KeepWaiting) => {}
                    SilenceEvent::Decided(SilenceAction::NotRun) => {
                        return Err(CallError::Refused {
                            code: ResultCode::AttemptFenced,
                            load: None,
                            revisions: Revisions::default(),
                        });
                    }
                },
            }
        }
    }

    /// Closes the idle links to addresses for which `keep` returns false.
    pub fn retain(&self, mut keep: impl FnMut(&SocketAddr) -> bool) {
        self.lock().retain(|addr, _| keep(addr));
    }

    async fn link(&self, addr: SocketAddr) -> Result<DialedLink, LinkError> {
        while let Some(mut dialed) = self.take_idle(addr) {
            if !dialed.link.is_usable() {
                continue;
            }
            if let Err(err) = dialed.check_alive().await {
                // The other idle links lead to the same process, so they are closed too. The next
                // call dials a new link.
                self.lock().remove(&addr);
                return Err(err);
            }
            return Ok(dialed);
        }
        let (link, welcome) = dial(addr, &self.identity, Purpose::Call).await?;
        let clock = (welcome.clock, self.identity.clock.now());
        Ok(DialedLink { link, process: welcome.incarnation, clock, last_received: Instant::now() })
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<DialedLink> {
        self.lock().get_mut(&addr).and_then(Vec::pop)
    }

    fn release(&self, addr: SocketAddr, mut dialed: DialedLink) {
        if dialed.link.end_body().is_err() {
            return;
        }
        dialed.last_received = Instant::now();
        let mut idle = self.lock();
        let links = idle.entry(addr).or_default();
        if links.len() < MAX_IDLE_LINKS {
            links.push(dialed);
        }
    }

    /// Returns an answer whose body has arrived with its head.
    fn complete_answer(&self, stream: AnswerStream, answer: CallAnswer) -> CallAnswer {
        if stream.body_sent {
            self.release(stream.addr, stream.dialed);
        }
        answer
    }

    /// Returns an answer whose body is received in a task of its own, until `deadline`.
    fn stream_answer(
        &self,
        stream: AnswerStream,
        mut answer: CallAnswer,
        deadline: Instant,
    ) -> CallAnswer {
        let (tx, rest) = Payload::channel();
        let Payload::Full(first) = std::mem::replace(&mut answer.body, Payload::empty()) else {
            unreachable!("the first part of an answer is in memory");
        };
        answer.body = Payload::Chained(first, Box::new(rest));
        let pool = self.clone();
        tokio::spawn(async move {
            let AnswerStream { addr, mut dialed, sent, body_sent } = stream;
            let received = receive_body(&mut dialed.link, sent.attempt, &tx);
            match timeout_at(deadline, received).await.unwrap_or(BodyEnd::DeadlinePassed) {
                BodyEnd::Complete => {
                    if body_sent {
                        pool.release(addr, dialed);
                    }
                    tx.finish().await;
                }
                BodyEnd::Truncated => {
                    drop(dialed);
                    tx.cut(BodyCut::SenderLost).await;
                }
                BodyEnd::DeadlinePassed => {
                    // The receiver may not read, and the endpoint must not wait for it.
                    drop(dialed);
                    tx.cut(BodyCut::DeadlinePassed).await;
                }
                BodyEnd::ReceiverDropped => {}
            }
        });
        answer
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Vec<DialedLink>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Detects that nothing is received on a link during a call.
struct SilenceMonitor<C, F> {
    state: SilenceState<C, F>,
}

enum SilenceState<C, F> {
    /// Data was received recently.
    Active { ping_at: Instant, decide: C },
    /// A ping was sent.
    PingSent { until: Instant, decide: C },
    /// The decision of `on_silence` is pending.
    Deciding(std::pin::Pin<Box<F>>),
    /// `on_silence` has decided.
    Decided,
}

enum SilenceEvent {
    SendPing,
    Decided(SilenceAction),
}

impl<C: FnOnce(SentAttempt) -> F, F: Future<Output = SilenceAction>> SilenceMonitor<C, F> {
    fn new(decide: C) -> Self {
        SilenceMonitor {
            state: SilenceState::Active { ping_at: Instant::now() + PING_AFTER, decide },
        }
    }

    /// Records that data was received on the link.
    fn on_received(&mut self) {
        self.state = match std::mem::replace(&mut self.state, SilenceState::Decided) {
            SilenceState::Active { decide, .. } | SilenceState::PingSent { decide, .. } => {
                SilenceState::Active { ping_at: Instant::now() + PING_AFTER, decide }
            }
            state => state,
        };
    }

    /// Waits for the next event. Cancel safe.
    async fn next(&mut self, sent: SentAttempt) -> SilenceEvent {
        loop {
            match &mut self.state {
                SilenceState::Active { ping_at, .. } => {
                    sleep_until(*ping_at).await;
                    let until = Instant::now() + CALL_PONG_TIMEOUT;
                    let state = std::mem::replace(&mut self.state, SilenceState::Decided);
                    if let SilenceState::Active { decide, .. } = state {
                        self.state = SilenceState::PingSent { until, decide };
                    }
                    return SilenceEvent::SendPing;
                }
                SilenceState::PingSent { until, .. } => {
                    sleep_until(*until).await;
                    let state = std::mem::replace(&mut self.state, SilenceState::Decided);
                    if let SilenceState::PingSent { decide, .. } = state {
                        self.state = SilenceState::Deciding(Box::pin(decide(sent)));
                    }
                }
                SilenceState::Deciding(decision) => {
                    let decided = decision.await;
                    self.state = SilenceState::Decided;
                    return SilenceEvent::Decided(decided);
                }
                SilenceState::Decided => std::future::pending().await,
            }
        }
    }
}

enum Reply {
    Answer(CallAnswer, bool),
    Ended(CallError),
}

fn first_reply(frame: Frame, sent: SentAttempt) -> Result<Reply, CallError> {
    let attempt = sent.attempt;
    match frame {
        Frame::Answer(answer) if answer.attempt == attempt => {
            let last = answer.body.last;
            let body = Payload::Full(answer.body.bytes.into());
            let wire::AnswerHead { status, headers, load, revisions, took, .. } = *answer;
            let answer = CallAnswer { status, headers, body, load, revisions, took };
            Ok(Reply::Answer(answer, last))
        }
        Frame::Refused { attempt: refused, code, load, revisions } if refused == attempt => {
            Ok(Reply::Ended(CallError::Refused { code, load, revisions }))
        }
        Frame::Failed { attempt: failed, code } if failed == attempt => {
            Ok(Reply::Ended(CallError::Unknown { code, sent }))
        }
        // A frame of another attempt means that the two ends disagree on the state of the link, so
        // the caller drops the link.
        _ => Err(CallError::Unknown { code: ResultCode::LinkLost, sent }),
    }
}

/// Sends the next chunk of the request body. Returns whether the body is complete.
async fn send_body(
    link: &mut Link,
    chunk: Option<Result<bytes::Bytes, BodyCut>>,
    sent: SentAttempt,
) -> Result<bool, CallError> {
    let lost = |_| CallError::Unknown { code: ResultCode::LinkLost, sent };
    match chunk {
        None => {
            let last = BodyPart { bytes: Vec::new(), last: true };
            link.send(&Frame::CallBody(last)).await.map_err(lost)?;
            Ok(true)
        }
        Some(Ok(bytes)) => {
            for bytes in bytes.chunks(MAX_CHUNK_BYTES) {
                let part = BodyPart { bytes: bytes.to_vec(), last: false };
                link.send(&Frame::CallBody(part)).await.map_err(lost)?;
            }
            Ok(false)
        }
        // The caller drops the link on this error, so the receiver doesn't take the truncated body
        // for a complete one.
        Some(Err(_)) => Err(CallError::Unknown { code: ResultCode::UpstreamLost, sent }),
    }
}

/// Receives the next frame of an answer. Fails if [`MAX_UNANSWERED_PINGS`] bring no sign of the other
/// process.
async fn recv_body_frame(link: &mut Link) -> Result<Frame, LinkError> {
    let mut unanswered = 0;
    let mut ping_at = Instant::now() + BODY_PING_INTERVAL;
    loop {
        tokio::select! {
            received = link.recv_frame_or_pong() => match received? {
                Received::Frame(frame) => return Ok(*frame),
                Received::Pong => unanswered = 0,
            },
            () = sleep_until(ping_at) => {
                if unanswered == MAX_UNANSWERED_PINGS {
                    return Err(LinkError::TimedOut);
                }
                unanswered += 1;
                ping_at = Instant::now() + BODY_PING_INTERVAL;
                link.ping().await?;
            }
        }
    }
}

/// An answer that is being received, and the link it comes from.
struct AnswerStream {
    addr: SocketAddr,
    dialed: DialedLink,
    sent: SentAttempt,
    /// Whether the whole request body has been sent, so that the link can be used again.
    body_sent: bool,
}

/// How the body of an answer ended.
enum BodyEnd {
    Complete,
    Truncated,
    DeadlinePassed,
    ReceiverDropped,
}

async fn receive_body(link: &mut Link, attempt: AttemptId, tx: &PayloadSender) -> BodyEnd {
    loop {
        let frame = tokio::select! {
            frame = recv_body_frame(link) => frame,
            () = tx.closed() => return BodyEnd::ReceiverDropped,
        };
        let chunk = match frame {
            Ok(Frame::AnswerBody { attempt: answered, part: chunk }) if answered == attempt => {
                chunk
            }
            _ => return BodyEnd::Truncated,
        };
        if tx.send(chunk.bytes.into()).await.is_err() {
            return BodyEnd::ReceiverDropped;
        }
        if chunk.last {
            return BodyEnd::Complete;
        }
    }
}
