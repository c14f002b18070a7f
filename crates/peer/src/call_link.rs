//! The dialing side of call links.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use model::{AttemptId, Incarnation, ResultCode};
use payload::{BodyCut, Payload, PayloadSender};
use wire::{BodyPart, Call, EndpointLoad, Frame, Header, MAX_CHUNK_BYTES, Purpose};

use crate::handshake::{Identity, dial};
use crate::link::{Link, LinkError};

/// Idle links kept for each node.
const MAX_IDLE_LINKS: usize = 32;

/// The process that a call is meant for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Target {
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its incarnation. A call is not sent to another process at the same address, because its
    /// start-by deadline would have no meaning there.
    pub incarnation: Incarnation,
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
    },
    /// The outcome is unknown.
    Unknown(ResultCode),
}

/// Call links to all nodes.
#[derive(Clone)]
pub struct CallPool {
    identity: Identity,
    idle: Arc<Mutex<HashMap<Target, Vec<Link>>>>,
}

impl CallPool {
    /// Makes an empty pool.
    pub fn new(identity: Identity) -> CallPool {
        CallPool { identity, idle: Arc::default() }
    }

    /// Runs one attempt. Dropping the future closes the link, which cancels the attempt at the
    /// receiver.
    pub async fn call(
        &self,
        target: Target,
        call: Call,
        mut body: Payload,
    ) -> Result<CallAnswer, CallError> {
        let mut link = self.link(target).await.map_err(CallError::NotSent)?;
        let attempt = call.attempt;
        let mut body_done = call.body.last;
        // Once the frame is handed to the connection, an error no longer proves that the receiver
        // did not get it.
        let lost = |_| CallError::Unknown(ResultCode::LinkLost);
        link.send(&Frame::Call(Box::new(call))).await.map_err(lost)?;
        loop {
            tokio::select! {
                chunk = body.next(), if !body_done => {
                    body_done = send_body(&mut link, chunk).await?;
                }
                frame = link.recv() => match first_reply(frame.map_err(lost)?, attempt)? {
                    Reply::Answer(answer, last) => {
                        return Ok(self.stream_answer(target, link, attempt, answer, last, body_done));
                    }
                    Reply::Ended(err) => {
                        if body_done {
                            self.release(target, link);
                        }
                        return Err(err);
                    }
                },
            }
        }
    }

    /// Closes the idle links to processes other than the given ones.
    pub fn retain(&self, mut keep: impl FnMut(&Target) -> bool) {
        self.lock().retain(|target, _| keep(target));
    }

    async fn link(&self, target: Target) -> Result<Link, LinkError> {
        while let Some(mut link) = self.lock().get_mut(&target).and_then(Vec::pop) {
            if link.is_usable() {
                return Ok(link);
            }
        }
        let (link, welcome) = dial(target.addr, &self.identity, Purpose::Call).await?;
        if welcome.incarnation != target.incarnation {
            return Err(LinkError::Connect("another process listens at the address".into()));
        }
        Ok(link)
    }

    fn release(&self, target: Target, link: Link) {
        let mut idle = self.lock();
        let links = idle.entry(target).or_default();
        if links.len() < MAX_IDLE_LINKS {
            links.push(link);
        }
    }

    fn stream_answer(
        &self,
        target: Target,
        link: Link,
        attempt: AttemptId,
        mut answer: CallAnswer,
        last: bool,
        body_done: bool,
    ) -> CallAnswer {
        if last {
            if body_done {
                self.release(target, link);
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
            let mut link = link;
            match receive_body(&mut link, attempt, &tx).await {
                BodyEnd::Whole => {
                    if body_done {
                        pool.release(target, link);
                    }
                    tx.finish().await;
                }
                BodyEnd::Cut => tx.cut(BodyCut::SenderLost).await,
                BodyEnd::NotWanted => {}
            }
        });
        answer
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<Target, Vec<Link>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

enum Reply {
    Answer(CallAnswer, bool),
    Ended(CallError),
}

fn first_reply(frame: Frame, attempt: AttemptId) -> Result<Reply, CallError> {
    match frame {
        Frame::Answer(answer) if answer.attempt == attempt => {
            let last = answer.body.last;
            let body = Payload::Full(answer.body.bytes.into());
            let wire::AnswerHead { status, headers, load, .. } = *answer;
            Ok(Reply::Answer(CallAnswer { status, headers, body, load }, last))
        }
        Frame::Refused { attempt: refused, code, load } if refused == attempt => {
            Ok(Reply::Ended(CallError::Refused { code, load }))
        }
        Frame::Failed { attempt: failed, code } if failed == attempt => {
            Ok(Reply::Ended(CallError::Unknown(code)))
        }
        // A frame of another attempt means that the two ends disagree on the state of the link;
        // the link is dropped with the error.
        _ => Err(CallError::Unknown(ResultCode::LinkLost)),
    }
}

/// Sends the next part of the request's body and tells whether it was the last.
async fn send_body(
    link: &mut Link,
    chunk: Option<Result<bytes::Bytes, BodyCut>>,
) -> Result<bool, CallError> {
    let lost = |_| CallError::Unknown(ResultCode::LinkLost);
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
        Some(Err(_)) => Err(CallError::Unknown(ResultCode::UpstreamLost)),
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
