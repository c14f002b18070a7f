//! The attempts of one request: sending, and what follows when one ends.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use config::{Revisions, RouteEntry};
use membership::EndpointEntry;
use model::{
    AccountName, AttemptId, EndpointName, Incarnation, KeyId, Percent, RequestId, ResultCode,
    RouteName, ServiceName, Time,
};
use payload::Payload;
use peer::{CallAnswer, CallError, CallReply, Handed, OnSilence};
use routing::{
    AttemptEnd, Balancer, Body, CallAttempts, CallKind, Evidence, FenceResult, Idempotence, Next,
    refusal_evidence,
};
use tokio::time::{Instant, timeout, timeout_at};
use wire::{BodyPart, Call, EndpointLoad, Head, MAX_CHUNK_BYTES};

use crate::choice::Chosen;
use crate::entry::Trace;
use crate::guard;
use crate::loads::{InFlight, PathEnd};
use crate::peers::{Peer, note_revisions};
use crate::records::AttemptRecord;
use crate::shared::{Node, lock};

/// Longest wait for the answer to a fence.
const FENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after a deadline in which the guard's refusal of a call that is still queued may arrive.
const REFUSAL_GRACE: Duration = Duration::from_millis(20);

/// A request on its way through one or several attempts.
pub(crate) struct Run<'a> {
    pub(crate) node: &'a Arc<Node>,
    pub(crate) balancer: &'a Balancer,
    pub(crate) route: &'a RouteEntry,
    /// The service that was drawn for the request.
    pub(crate) service: ServiceName,
    pub(crate) name: RouteName,
    pub(crate) idempotence: Idempotence,
    pub(crate) deadline: Time,
    /// Latest end of a wait for a slot.
    pub(crate) queue_until: Time,
    pub(crate) goal_by: Option<Time>,
    pub(crate) account: Option<(AccountName, KeyId)>,
    pub(crate) over_rate: bool,
    /// Chance that an upstream of this node which runs a retry has made the request.
    pub(crate) of_retry: Percent,
    pub(crate) priority: u8,
    pub(crate) revisions: Revisions,
    pub(crate) request: RequestId,
    pub(crate) head: Head,
    pub(crate) body: Payload,
    pub(crate) replay: Option<Bytes>,
    pub(crate) tried: Vec<EndpointName>,
    /// Endpoints that had no free slot; they are tried again only when no other is left.
    pub(crate) busy: Vec<EndpointName>,
    /// Endpoints that refused the call as suspect.
    pub(crate) suspects: Vec<EndpointName>,
    pub(crate) trace: &'a mut Trace,
}

/// One attempt that was made.
struct Made {
    attempt: AttemptId,
    start_by: Time,
    place: Place,
    result: Result<CallAnswer, AttemptEnd>,
}

/// Where an attempt was sent.
enum Place {
    Local,
    Remote(Arc<Peer>, Incarnation),
}

impl Run<'_> {
    /// Makes attempts until one is answered or none is left to make.
    pub(crate) async fn attempts(&mut self) -> Result<CallAnswer, ResultCode> {
        let kind = CallKind {
            idempotence: self.idempotence,
            deadline: self.deadline,
            attempts: self.route.policy().attempts,
        };
        let mut attempts = CallAttempts::new(kind);
        // A server error, which is the answer if no other endpoint gives a better one.
        let mut server_error = None;
        loop {
            let Some(chosen) = self.choose(&attempts) else {
                if let Some(answer) = server_error {
                    return Ok(answer);
                }
                // Where endpoints refused before, their reason says more than that none is left.
                let code = match self.trace.record.attempts.is_empty() {
                    true => ResultCode::NoUpstream,
                    false => ResultCode::QueueFull,
                };
                return Err(final_code(attempts.give_up(code)));
            };
            let started = self.node.now();
            let Chosen { entry, patience, .. } = &chosen;
            // Stays so if the caller goes away first.
            self.record(&chosen, "no answer yet".into());
            let in_flight = InFlight::start(self.node, &entry.name, started);
            let is_retry = attempts.ended() > 0;
            let made = self.attempt(&chosen, is_retry).await;
            let now = self.node.now();
            let end = match made.result {
                Ok(answer) => {
                    self.note_attempt_end(format!("answered {}", answer.status));
                    let overhead = now.since(started).saturating_sub(answer.took);
                    in_flight.ended(PathEnd::Answered(overhead));
                    if answer.status < 500 {
                        self.node.free_retries.count_answer(&self.service, now);
                        return Ok(answer);
                    }
                    match self.next(&mut attempts, AttemptEnd::ServerError) {
                        Next::RetryElsewhere => {
                            self.node.metrics.retries.inc();
                            self.tried.push(entry.name.clone());
                            server_error = Some(answer);
                            continue;
                        }
                        _ => return Ok(answer),
                    }
                }
                Err(end) => busy_end(end, *patience),
            };
            self.note_attempt_end(describe(end));
            in_flight.ended(path_end(end));
            self.note_end(entry, end, now);
            let mut next = self.next(&mut attempts, end);
            if next == Next::FenceThenDecide {
                let result = self.fence(&made.place, made.attempt, made.start_by).await;
                self.record(&chosen, format!("fenced: {result:?}").into());
                next = self.next(&mut attempts, AttemptEnd::Fenced { result });
            }
            match next {
                Next::RetryElsewhere => {
                    self.node.metrics.retries.inc();
                }
                next => return server_error.ok_or(final_code(next)),
            }
        }
    }

    /// Notes which endpoints the next attempt avoids.
    fn note_end(&mut self, entry: &EndpointEntry, end: AttemptEnd, now: Time) {
        match end {
            AttemptEnd::Refused { code: ResultCode::EndpointSuspect, .. } => {
                self.suspects.push(entry.name.clone());
                self.node.loads.suspect(&entry.name, now);
            }
            AttemptEnd::Refused {
                code: ResultCode::EndpointUnknown | ResultCode::EndpointLeaving,
                evidence: Evidence::NotRun,
            } => {
                self.tried.push(entry.name.clone());
                self.node.loads.absent(&entry.name, now);
            }
            AttemptEnd::Busy => self.busy.push(entry.name.clone()),
            _ => self.tried.push(entry.name.clone()),
        }
    }

    pub(crate) fn replayable(&self) -> Body {
        match &self.replay {
            Some(_) => Body::Replayable,
            None => Body::Consumed,
        }
    }

    fn next(&self, attempts: &mut CallAttempts, end: AttemptEnd) -> Next {
        let body = self.replayable();
        let now = self.node.now();
        self.node.free_retries.with(&self.service, |free| attempts.next(end, body, free, now))
    }

    async fn attempt(&mut self, chosen: &Chosen, is_retry: bool) -> Made {
        let attempt = self.node.next_attempt();
        let call = self.call(attempt, chosen, is_retry);
        match self.node.peers.find(chosen.entry.node.as_str()) {
            Some(peer) => self.attempt_remote(call, peer).await,
            None => self.attempt_local(call).await,
        }
    }

    async fn attempt_local(&mut self, call: Call) -> Made {
        let (node, attempt) = (self.node, call.attempt);
        let body = self.take_body();
        let reply = timeout_at(self.give_up_at(), guard::serve(node, call, body)).await;
        let result = match reply {
            Ok(reply) => {
                // As for another node's endpoint; the balancer would know no load of the own ones.
                node.loads.update(load_of(&reply), node.now());
                from_reply(reply)
            }
            Err(_) => Err(AttemptEnd::Unknown { code: ResultCode::DeadlineAfterStart }),
        };
        Made { attempt, start_by: self.deadline, place: Place::Local, result }
    }

    async fn attempt_remote(&mut self, call: Call, peer: Arc<Peer>) -> Made {
        let (node, attempt) = (self.node, call.attempt);
        let body = self.take_body();
        let idempotence = self.idempotence;
        let (doubted, asker) = (Arc::clone(&peer), Arc::clone(node));
        let on_silence = move |handed| on_silence(asker, doubted, idempotence, handed);
        let sent = node.call_pool.call(peer.addr, call, self.deadline, body, on_silence);
        let ended = timeout_at(self.give_up_at(), sent).await;
        let now = node.now();
        let mut handed = None;
        let result = match ended {
            Ok(Ok(answer)) => {
                peer.reached();
                node.loads.update([&answer.load], now);
                note_revisions(node, &peer.name, answer.revisions);
                Ok(answer)
            }
            Ok(Err(CallError::NotSent(err))) => {
                peer.not_reached(now, &err);
                let code = ResultCode::LinkUnavailable;
                Err(AttemptEnd::Refused { code, evidence: Evidence::NotRun })
            }
            Ok(Err(CallError::Refused { code, load, revisions })) => {
                if code != ResultCode::AttemptFenced {
                    peer.reached();
                }
                node.loads.update(&load, now);
                note_revisions(node, &peer.name, revisions);
                let same = Incarnation::default();
                Err(AttemptEnd::Refused { code, evidence: refusal_evidence(code, same, same) })
            }
            Ok(Err(CallError::Unknown { code, handed: sent })) => {
                handed = Some(sent);
                Err(AttemptEnd::Unknown { code })
            }
            Err(_) => Err(AttemptEnd::Unknown { code: ResultCode::DeadlineAfterStart }),
        };
        let (to, start_by) =
            handed.map_or((Incarnation::default(), self.deadline), |h| (h.to, h.start_by));
        Made { attempt, start_by, place: Place::Remote(peer, to), result }
    }

    /// Time at which the entry stops to wait. The guard refuses what is still queued at the deadline;
    /// its refusal, which proves that the call did not run, needs a moment to arrive.
    fn give_up_at(&self) -> Instant {
        self.node.clock.instant(self.deadline + REFUSAL_GRACE)
    }

    async fn fence(&self, place: &Place, attempt: AttemptId, start_by: Time) -> FenceResult {
        self.node.metrics.fences.inc();
        match place {
            Place::Local => {
                let now = self.node.now();
                match self.node.guard.fence(attempt, start_by, now) {
                    wire::FenceStatus::NotRun => FenceResult::NotRun,
                    _ => FenceResult::MayHaveRun,
                }
            }
            Place::Remote(peer, to) => {
                let fenced = peer.fence(Handed { attempt, to: *to, start_by });
                timeout(FENCE_TIMEOUT, fenced).await.unwrap_or(FenceResult::NoAnswer)
            }
        }
    }

    fn call(&self, attempt: AttemptId, chosen: &Chosen, is_retry: bool) -> Call {
        let body = match &self.replay {
            Some(bytes) if bytes.len() <= MAX_CHUNK_BYTES => {
                BodyPart { bytes: bytes.to_vec(), last: true }
            }
            _ => BodyPart { bytes: Vec::new(), last: false },
        };
        Call {
            attempt,
            request: self.request.clone(),
            endpoint: chosen.entry.name.clone(),
            route: self.name.clone(),
            account: self.account.clone(),
            start_by: self.deadline,
            queue_until: self.queue_until,
            goal_by: self.goal_by,
            patience: chosen.patience,
            over_rate: self.over_rate,
            idempotent: self.idempotence == Idempotence::Idempotent,
            insists: chosen.insists,
            retry: is_retry,
            of_retry: self.of_retry,
            priority: self.priority,
            caller_service: lock(&self.node.service).clone(),
            revisions: self.revisions,
            head: self.head.clone(),
            body,
        }
    }

    /// The part of the body that does not travel in the first frame.
    fn take_body(&mut self) -> Payload {
        match &self.replay {
            Some(bytes) => Payload::Full(bytes.clone()),
            None => std::mem::replace(&mut self.body, Payload::empty()),
        }
    }

    fn note_attempt_end(&mut self, end: String) {
        let at = self.node.now().since(self.trace.started);
        if let Some(attempt) = self.trace.record.attempts.last_mut() {
            attempt.at = at;
            attempt.end = end.into();
        }
    }

    fn record(&mut self, chosen: &Chosen, end: Box<str>) {
        let Chosen { choice, entry, insists, .. } = chosen;
        let insists = if *insists { ", insists" } else { "" };
        self.trace.record.attempts.push(AttemptRecord {
            at: self.node.now().since(self.trace.started),
            endpoint: entry.name.clone(),
            node: entry.node.as_str().into(),
            reason: format!("{:?}, cost {:?}{insists}", choice.reason, choice.cost).into(),
            considered: choice.considered,
            end,
        });
    }
}

/// An impatient attempt that a guard without a free slot refuses has met a busy endpoint.
fn busy_end(end: AttemptEnd, patience: Option<Duration>) -> AttemptEnd {
    match (patience, end) {
        (Some(_), AttemptEnd::Refused { code: ResultCode::QueueFull, .. }) => AttemptEnd::Busy,
        (_, end) => end,
    }
}

/// Decides about a call whose link is silent. A call that may be repeated is given up, so that there
/// is time for another endpoint. For another one the node is asked on another link.
async fn on_silence(
    node: Arc<Node>,
    peer: Arc<Peer>,
    idempotence: Idempotence,
    handed: Handed,
) -> OnSilence {
    peer.not_reached(node.now(), &"a link went silent during a call");
    if idempotence == Idempotence::Idempotent {
        return OnSilence::GiveUp;
    }
    node.metrics.fences.inc();
    match timeout(FENCE_TIMEOUT, peer.fence(handed)).await {
        Ok(FenceResult::NotRun) => OnSilence::NotRun,
        _ => OnSilence::KeepWaiting,
    }
}

fn load_of(reply: &CallReply) -> Option<&EndpointLoad> {
    match reply {
        CallReply::Answer { load, .. } => Some(load),
        CallReply::Refused { load, .. } => load.as_ref(),
        CallReply::Failed(_) => None,
    }
}

fn from_reply(reply: CallReply) -> Result<CallAnswer, AttemptEnd> {
    match reply {
        CallReply::Answer { status, headers, body, load, revisions, took } => {
            Ok(CallAnswer { status, headers, body, load, revisions, took })
        }
        CallReply::Refused { code, .. } => {
            let same = Incarnation::default();
            Err(AttemptEnd::Refused { code, evidence: refusal_evidence(code, same, same) })
        }
        CallReply::Failed(code) => Err(AttemptEnd::Unknown { code }),
    }
}

fn path_end(end: AttemptEnd) -> PathEnd {
    match end {
        // What the upstream did is judged by its guard.
        AttemptEnd::Unknown { code: ResultCode::LinkLost }
        | AttemptEnd::Refused {
            code:
                ResultCode::ConnectFailed | ResultCode::LinkUnavailable | ResultCode::EndpointUnknown,
            ..
        } => PathEnd::Failed,
        _ => PathEnd::Neutral,
    }
}

fn describe(end: AttemptEnd) -> String {
    match end {
        AttemptEnd::Refused { code, evidence } => format!("refused {code} ({evidence:?})"),
        AttemptEnd::Unknown { code } => format!("unknown {code}"),
        other => format!("{other:?}"),
    }
}

fn final_code(next: Next) -> ResultCode {
    match next {
        Next::RefuseToCaller(code) | Next::UnknownToCaller(code) => code,
        Next::Answer | Next::RetryElsewhere | Next::FenceThenDecide => ResultCode::LinkLost,
    }
}
