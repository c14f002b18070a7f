//! The dialing side of call links.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use config::Revisions;
use model::{AttemptId, Incarnation, ResultCode, Time};
use payload::{BodyCut, Payload, PayloadSender};
use tokio::time::{Instant, sleep_until, timeout};
use wire::{BodyPart, Call, EndpointLoad, Frame, Header, MAX_CHUNK_BYTES, Purpose};

use crate::handshake::{Identity, dial};
use crate::link::{Incoming, Link, LinkError};

/// Idle links kept for each node.
const MAX_IDLE_LINKS: usize = 8;

/// Silence of a link after which the other process is asked whether it is there. Most calls are
/// answered sooner, so that few of them need the question.
const SILENCE: Duration = Duration::from_millis(400);

/// Time for the reply to that question. It is far above a round trip of 3 ms, as a node with a fifth
/// of a core may be busy.
const PONG_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which a kept link is tested before it takes a call. A call that is handed to a frozen
/// process or a cut link is lost if it may not run again; the test costs a round trip.
const TEST_AFTER: Duration = Duration::from_millis(250);

/// Time for the reply to the test. Long enough for a node with a fifth of a core that is busy, and short
/// enough to leave time for another endpoint.
const TEST_TIMEOUT: Duration = Duration::from_millis(150);

/// An attempt that was sent to another process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// The process that has it.
    pub process: Incarnation,
    /// Its latest start, in the time of that process.
    pub start_by: Time,
}

/// What to do about a link that is silent while a call is on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceAction {
    /// The outcome counts as unknown, since the call may be made again elsewhere.
    GiveUp,
    /// The other process said on another link that it will not run the call.
    NotRun,
    /// The call may be running; its answer may still arrive.
    KeepWaiting,
}

/// An answer whose head has arrived.
#[derive(Debug)]
pub struct CallAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<Header>,
    /// Body; a cut is reported as an error, never as an early end.
    pub body: Payload,
    /// Load of the endpoint.
    pub load: EndpointLoad,
    /// Revisions that the guard knows.
    pub revisions: Revisions,
    /// Time that the upstream took.
    pub took: Duration,
}

/// A call ended without an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallError {
    /// Nothing was sent, so the attempt did not run.
    NotSent(LinkError),
    /// The receiving node refused the attempt, so it did not run.
    Refused {
        /// Why.
        code: ResultCode,
        /// Load of the endpoint, if known.
        load: Option<EndpointLoad>,
        /// Revisions that the guard knows.
        revisions: Revisions,
    },
    /// The outcome is unknown.
    Unknown {
        /// What happened.
        code: ResultCode,
        /// The attempt, to fence it.
        sent: SentAttempt,
    },
}

/// A link with what is known of the other process.
struct DialedLink {
    link: Link,
    to: Incarnation,
    /// Time of the other process when the link was made, and the own time when that was received.
    /// The time passed since then, added to the first, is never ahead of the other process.
    clock: (Time, Time),
    /// When something was last received.
    heard_at: Instant,
}

impl DialedLink {
    /// A time in the clock of the other process; that of the handshake if it is earlier.
    fn to_their_time(&self, own: Time) -> Time {
        let (theirs, received) = self.clock;
        theirs + own.since(received)
    }

    /// Asks the other process for a sign of life, unless there was one lately.
    async fn test(&mut self) -> Result<(), LinkError> {
        if self.heard_at.elapsed() < TEST_AFTER {
            return Ok(());
        }
        self.link.ping().await?;
        let pong = timeout(TEST_TIMEOUT, self.link.recv_any()).await;
        match pong.map_err(|_| LinkError::TimedOut)?? {
            Incoming::Pong => {
                self.heard_at = Instant::now();
                Ok(())
            }
            Incoming::Frame(_) => Err(LinkError::Unexpected),
        }
    }
}

/// Call links to all nodes.
#[derive(Clone)]
pub struct CallPool {
    identity: Identity,
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<DialedLink>>>>,
}

impl CallPool {
    /// Makes an empty pool.
    pub fn new(identity: Identity) -> CallPool {
        CallPool { identity, idle: Arc::default() }
    }

    /// Runs one attempt at the node that listens at `addr`. The latest start in `call` is replaced by
    /// `deadline` in the time of that node. When the link goes silent, `on_silence` decides; it is
    /// asked at most once. Dropping the future closes the link, which cancels the attempt at the
    /// receiver.
    pub async fn call<F: Future<Output = SilenceAction>>(
        &self,
        addr: SocketAddr,
        mut call: Call,
        deadline: Time,
        mut body: Payload,
        on_silence: impl FnOnce(SentAttempt) -> F,
    ) -> Result<CallAnswer, CallError> {
        let mut dialed = self.link(addr).await.map_err(CallError::NotSent)?;
        call.start_by = dialed.to_their_time(deadline);
        call.queue_until = dialed.to_their_time(call.queue_until);
        call.goal_by = call.goal_by.map(|goal_by| dialed.to_their_time(goal_by));
        let sent =
            SentAttempt { attempt: call.attempt, process: dialed.to, start_by: call.start_by };
        let mut body_done = call.body.last;
        // Once the frame is handed to the connection, an error no longer proves that the receiver
        // did not get it.
        let lost = || CallError::Unknown { code: ResultCode::LinkLost, sent };
        dialed.link.send(&Frame::Call(Box::new(call))).await.map_err(|_| lost())?;
        let mut watch = SilenceWatch::new(on_silence);
        loop {
            tokio::select! {
                chunk = body.next(), if !body_done => {
                    body_done = send_body(&mut dialed.link, chunk, sent).await?;
                }
                incoming = dialed.link.recv_any() => {
                    watch.heard();
                    let Incoming::Frame(frame) = incoming.map_err(|_| lost())? else { continue };
                    match first_reply(*frame, sent)? {
                        Reply::Answer(answer, last) => {
                            return Ok(self.stream_answer(addr, dialed, sent, answer, last, body_done));
                        }
                        Reply::Ended(err) => {
                            if body_done {
                                self.release(addr, dialed);
                            }
                            return Err(err);
                        }
                    }
                }
                event = watch.next(sent) => match event {
                    SilenceEvent::Ask => dialed.link.ping().await.map_err(|_| lost())?,
                    SilenceEvent::Decided(SilenceAction::KeepWaiting) => {}
                    SilenceEvent::Decided(SilenceAction::GiveUp) => return Err(lost()),
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

    /// Closes the idle links to addresses that are not to be kept.
    pub fn retain(&self, mut keep: impl FnMut(&SocketAddr) -> bool) {
        self.lock().retain(|addr, _| keep(addr));
    }

    async fn link(&self, addr: SocketAddr) -> Result<DialedLink, LinkError> {
        while let Some(mut dialed) = self.take_idle(addr) {
            if !dialed.link.is_usable() {
                continue;
            }
            if let Err(err) = dialed.test().await {
                // The other kept links lead to the same process. The next call makes a new one.
                self.lock().remove(&addr);
                return Err(err);
            }
            return Ok(dialed);
        }
        let (link, welcome) = dial(addr, &self.identity, Purpose::Call).await?;
        let clock = (welcome.clock, self.identity.clock.now());
        Ok(DialedLink { link, to: welcome.incarnation, clock, heard_at: Instant::now() })
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<DialedLink> {
        self.lock().get_mut(&addr).and_then(Vec::pop)
    }

    fn release(&self, addr: SocketAddr, mut dialed: DialedLink) {
        dialed.heard_at = Instant::now();
        let mut idle = self.lock();
        let links = idle.entry(addr).or_default();
        if links.len() < MAX_IDLE_LINKS {
            links.push(dialed);
        }
    }

    fn stream_answer(
        &self,
        addr: SocketAddr,
        dialed: DialedLink,
        sent: SentAttempt,
        mut answer: CallAnswer,
        last: bool,
        body_done: bool,
    ) -> CallAnswer {
        if last {
            if body_done {
                self.release(addr, dialed);
            }
            return answer;
        }
        let (tx, rest) = Payload::channel();
        let Payload::Full(first) = std::mem::replace(&mut answer.body, Payload::empty()) else {
            unreachable!("the first part of an answer is in memory");
        };
        answer.body = Payload::Chained(first, Box::new(rest));
        let pool = self.clone();
        tokio::spawn(async move {
            let mut dialed = dialed;
            match receive_body(&mut dialed.link, sent.attempt, &tx).await {
                BodyEnd::Whole => {
                    if body_done {
                        pool.release(addr, dialed);
                    }
                    tx.finish().await;
                }
                BodyEnd::Cut => tx.cut(BodyCut::SenderLost).await,
                BodyEnd::NotWanted => {}
            }
        });
        answer
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Vec<DialedLink>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Watches a link for silence while a call is on it.
struct SilenceWatch<C, F> {
    state: SilenceState<C, F>,
}

enum SilenceState<C, F> {
    /// Something was heard lately.
    Quiet { ask_at: Instant, decide: C },
    /// A ping was sent.
    Asked { until: Instant, decide: C },
    /// The decision is being made.
    Deciding(std::pin::Pin<Box<F>>),
    /// It was made.
    Decided,
}

enum SilenceEvent {
    Ask,
    Decided(SilenceAction),
}

impl<C: FnOnce(SentAttempt) -> F, F: Future<Output = SilenceAction>> SilenceWatch<C, F> {
    fn new(decide: C) -> Self {
        SilenceWatch { state: SilenceState::Quiet { ask_at: Instant::now() + SILENCE, decide } }
    }

    /// Something has arrived on the link.
    fn heard(&mut self) {
        self.state = match std::mem::replace(&mut self.state, SilenceState::Decided) {
            SilenceState::Quiet { decide, .. } | SilenceState::Asked { decide, .. } => {
                SilenceState::Quiet { ask_at: Instant::now() + SILENCE, decide }
            }
            state => state,
        };
    }

    /// Waits for the next step. Dropping the future loses nothing.
    async fn next(&mut self, sent: SentAttempt) -> SilenceEvent {
        loop {
            match &mut self.state {
                SilenceState::Quiet { ask_at, .. } => {
                    sleep_until(*ask_at).await;
                    let until = Instant::now() + PONG_TIMEOUT;
                    let state = std::mem::replace(&mut self.state, SilenceState::Decided);
                    if let SilenceState::Quiet { decide, .. } = state {
                        self.state = SilenceState::Asked { until, decide };
                    }
                    return SilenceEvent::Ask;
                }
                SilenceState::Asked { until, .. } => {
                    sleep_until(*until).await;
                    let state = std::mem::replace(&mut self.state, SilenceState::Decided);
                    if let SilenceState::Asked { decide, .. } = state {
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
        // A frame of another attempt means that the two ends disagree on the state of the link;
        // the link is dropped with the error.
        _ => Err(CallError::Unknown { code: ResultCode::LinkLost, sent }),
    }
}

/// Sends the next part of the request's body and tells whether it was the last.
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
        // The link is closed on the way out, so that the receiver does not take the body for whole.
        Some(Err(_)) => Err(CallError::Unknown { code: ResultCode::UpstreamLost, sent }),
    }
}

/// How the body of an answer ended.
enum BodyEnd {
    Whole,
    Cut,
    NotWanted,
}

async fn receive_body(link: &mut Link, attempt: AttemptId, tx: &PayloadSender) -> BodyEnd {
    loop {
        let frame = tokio::select! {
            frame = link.recv() => frame,
            () = tx.closed() => return BodyEnd::NotWanted,
        };
        let chunk = match frame {
            Ok(Frame::AnswerBody { attempt: answered, part: chunk }) if answered == attempt => {
                chunk
            }
            _ => return BodyEnd::Cut,
        };
        if tx.send(chunk.bytes.into()).await.is_err() {
            return BodyEnd::NotWanted;
        }
        if chunk.last {
            return BodyEnd::Whole;
        }
    }
}
