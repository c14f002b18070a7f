//! The attempts of one request: choice of an endpoint, sending, and what follows when one ends.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use config::RouteEntry;
use membership::{Directory, EndpointEntry};
use model::{
    AccountName, AttemptId, EndpointName, FailureDomain, Incarnation, KeyId, NodeName, RequestId,
    ResultCode, RouteName, Selector, ServiceName, Time,
};
use payload::Payload;
use peer::{CallAnswer, CallError, CallReply, Target};
use routing::{
    AttemptEnd, Balancer, Body, CallAttempts, CallKind, Candidate, Candidates, Choice, Evidence,
    FenceResult, Idempotence, Next, PATIENCE, Stage, WhenBusy, refusal_evidence,
};
use tokio::time::{Instant, timeout, timeout_at};
use wire::{BodyPart, Call, EndpointLoad, Head, MAX_CHUNK_BYTES};

use crate::entry::Trace;
use crate::guard;
use crate::health::Weights;
use crate::loads::{InFlight, KnownLoads, PathEnd};
use crate::peers::{self, Peer};
use crate::records::AttemptRecord;
use crate::shared::{Node, lock, read};

/// Longest wait for the answer to a fence.
const FENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after a deadline in which the guard's refusal of a call that is still queued may arrive.
const REFUSAL_GRACE: Duration = Duration::from_millis(20);

/// Weight below which an endpoint takes only idempotent calls: the trickle of its probation.
const PROBATION_WEIGHT: u8 = 10;

/// A request on its way through one or several attempts.
pub(crate) struct Run<'a> {
    pub(crate) node: &'a Arc<Node>,
    pub(crate) balancer: &'a Balancer,
    pub(crate) route: &'a RouteEntry,
    pub(crate) name: RouteName,
    pub(crate) idempotence: Idempotence,
    pub(crate) deadline: Time,
    pub(crate) account: Option<(AccountName, KeyId)>,
    pub(crate) over_rate: bool,
    pub(crate) revision: model::Revision,
    pub(crate) request: RequestId,
    pub(crate) head: Head,
    pub(crate) body: Payload,
    pub(crate) replay: Option<Bytes>,
    pub(crate) tried: Vec<EndpointName>,
    /// Endpoints that had no free slot; they are tried again only when no other is left.
    pub(crate) busy: Vec<EndpointName>,
    pub(crate) trace: &'a mut Trace,
}

/// The endpoints of a service. Each is looked up only when the balancer draws it, so that the cost
/// of a choice does not grow with the number of endpoints.
struct ServiceCandidates<'a> {
    now: Time,
    entries: &'a [EndpointEntry],
    directory: &'a Directory,
    selector: &'a Selector,
    service: &'a ServiceName,
    route: &'a RouteName,
    own_domain: &'a FailureDomain,
    members: &'a HashMap<NodeName, Arc<Peer>>,
    weights: Weights<'a>,
    loads: KnownLoads<'a>,
}

impl Candidates for ServiceCandidates<'_> {
    fn count(&self) -> usize {
        self.entries.len()
    }

    fn candidate(&self, index: usize) -> Candidate<'_> {
        let entry = &self.entries[index];
        let is_usable = self.directory.is_usable(entry, self.selector, self.now);
        let weight = match is_usable {
            true => self.weights.weight(self.service, self.route, &entry.name, self.now).value(),
            false => 0,
        };
        let (load, path_penalty) = self.loads.at(&entry.name, self.now);
        let member = self.members.get(&*entry.node);
        Candidate {
            endpoint: &entry.name,
            node: &entry.node,
            domain: member.map_or(self.own_domain, |peer| &peer.domain),
            slots: entry.slots,
            weight,
            stage: match weight {
                1..=PROBATION_WEIGHT => Stage::Probation,
                _ => Stage::Regular,
            },
            path_penalty,
            load,
        }
    }
}

/// One attempt that was made.
struct Made {
    attempt: AttemptId,
    start_by: Time,
    place: Place,
    result: Result<CallAnswer, AttemptEnd>,
}

/// Whether a choice queries the load of the endpoints that would come next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Query {
    Nothing,
    NextBest,
}

/// Where an attempt was sent.
enum Place {
    Local,
    Remote(Arc<Peer>, Incarnation),
}

impl Run<'_> {
    /// Makes attempts until one is answered or none is left to make.
    pub(crate) async fn attempts(&mut self) -> Result<CallAnswer, ResultCode> {
        let share = self.route.policy().retry_budget;
        let entries = self.node.peers.count() + 1;
        self.node.budgets.count_call(self.route.name(), share, entries, self.node.now());
        let kind = CallKind { idempotence: self.idempotence, deadline: self.deadline };
        let mut attempts = CallAttempts::new(kind);
        loop {
            let Some((choice, entry, patience)) = self.choose(&attempts) else {
                // Where endpoints refused before, their reason says more than that none is left.
                let code = match self.trace.record.attempts.is_empty() {
                    true => ResultCode::NoUpstream,
                    false => ResultCode::QueueFull,
                };
                return Err(final_code(attempts.give_up(code)));
            };
            let started = self.node.now();
            let in_flight = InFlight::start(self.node, &entry.name, started);
            let mut made = self.attempt(&entry, patience, started).await;
            if let (Some(_), Err(AttemptEnd::Refused { code: ResultCode::QueueFull, .. })) =
                (patience, &made.result)
            {
                made.result = Err(AttemptEnd::Busy);
            }
            let now = self.node.now();
            let end = match &made.result {
                Ok(answer) => {
                    self.record(&choice, &entry, format!("answered {}", answer.status));
                    let end = match answer.status {
                        500.. => PathEnd::Failed,
                        _ => {
                            self.node.budgets.count_answer(self.route.name(), now);
                            PathEnd::Answered(now.since(started))
                        }
                    };
                    in_flight.ended(end);
                    return made.result.map_err(|_| ResultCode::LinkLost);
                }
                Err(end) => *end,
            };
            self.record(&choice, &entry, describe(end));
            in_flight.ended(path_end(end));
            match end {
                AttemptEnd::Busy => self.busy.push(entry.name.clone()),
                _ => self.tried.push(entry.name.clone()),
            }
            let mut next = self.next(&mut attempts, end);
            if next == Next::FenceThenDecide {
                let result = self.fence(&made).await;
                self.record(&choice, &entry, format!("fenced: {result:?}"));
                next = self.next(&mut attempts, AttemptEnd::Fenced { result });
            }
            match next {
                Next::RetryElsewhere => {
                    self.node.metrics.retries.inc();
                }
                next => return Err(final_code(next)),
            }
        }
    }

    fn replayable(&self) -> Body {
        match &self.replay {
            Some(_) => Body::Replayable,
            None => Body::Consumed,
        }
    }

    fn next(&self, attempts: &mut CallAttempts, end: AttemptEnd) -> Next {
        let body = self.replayable();
        let now = self.node.now();
        let share = self.route.policy().retry_budget;
        let entries = self.node.peers.count() + 1;
        let decide = |budget: &mut _| attempts.next(end, body, budget, now);
        self.node.budgets.with(self.route.name(), share, entries, decide)
    }

    /// Chooses an endpoint and how long the attempt may wait there.
    fn choose(&self, attempts: &CallAttempts) -> Option<(Choice, EndpointEntry, Option<Duration>)> {
        let patience = match attempts.when_busy(self.replayable()) {
            WhenBusy::GoElsewhere => Some(PATIENCE),
            WhenBusy::Wait => None,
        };
        let avoided = [&self.tried[..], &self.busy].concat();
        // A call that waits where it is sent needs no other endpoint.
        let query = match patience {
            Some(_) if !self.busy.is_empty() => Query::NextBest,
            _ => Query::Nothing,
        };
        if let Some((choice, entry)) = self.choose_among(&avoided, query) {
            return Some((choice, entry, patience));
        }
        let (choice, entry) = self.choose_among(&self.tried, Query::Nothing)?;
        Some((choice, entry, None))
    }

    fn choose_among(
        &self,
        avoided: &[EndpointName],
        query: Query,
    ) -> Option<(Choice, EndpointEntry)> {
        let node = self.node;
        let policy = self.route.policy();
        // The locks are taken in the order in which the loop that follows the members takes them.
        let members = node.peers.members();
        let directory = read(&node.directory);
        let candidates = ServiceCandidates {
            now: node.now(),
            entries: directory.all(&policy.service),
            directory: &directory,
            selector: &policy.selector,
            service: &policy.service,
            route: &self.name,
            own_domain: &node.info().domain,
            members: &members,
            weights: node.health.look_up(),
            loads: node.loads.look_up(),
        };
        let mut random = lock(&node.random);
        let choice = self.balancer.choose(&candidates, avoided, self.idempotence, &mut *random)?;
        let entry = candidates.entries[choice.index].clone();
        if query == Query::NextBest {
            let queried = self.balancer.queried(
                &candidates,
                &choice,
                avoided,
                self.idempotence,
                &mut *random,
            );
            self.query(&candidates, &queried);
        }
        Some((choice, entry))
    }

    /// Queries the load of candidates by a heartbeat, as far as the budget allows.
    fn query(&self, candidates: &ServiceCandidates<'_>, indexes: &[usize]) {
        let granted = self.node.loads.take_queries(indexes.len(), candidates.now);
        for &index in &indexes[..granted] {
            if let Some(peer) = candidates.members.get(&*candidates.entries[index].node) {
                tokio::spawn(peers::ping(Arc::clone(self.node), Arc::clone(peer)));
            }
        }
    }

    async fn attempt(
        &mut self,
        entry: &EndpointEntry,
        patience: Option<Duration>,
        now: Time,
    ) -> Made {
        let node = self.node;
        let attempt = node.next_attempt();
        if *entry.node == node.info().node {
            let call = self.call(attempt, entry, self.deadline, patience);
            let body = self.take_body();
            let reply = timeout_at(self.give_up_at(Duration::ZERO), guard::serve(node, call, body));
            let result = match reply.await {
                Ok(reply) => {
                    // As for another node's endpoint. Without it the balancer would know no load of
                    // the own endpoints, and the path penalty no usual service time.
                    node.loads.update(load_of(&reply), node.now(), Duration::ZERO);
                    from_reply(reply)
                }
                Err(_) => Err(AttemptEnd::Unknown { code: ResultCode::DeadlineAfterStart }),
            };
            return Made { attempt, start_by: self.deadline, place: Place::Local, result };
        }
        self.attempt_remote(attempt, entry, patience, now).await
    }

    async fn attempt_remote(
        &mut self,
        attempt: AttemptId,
        entry: &EndpointEntry,
        patience: Option<Duration>,
        now: Time,
    ) -> Made {
        let not_sent = |code, place| Made {
            attempt,
            start_by: now,
            place,
            result: Err(AttemptEnd::Refused { code, evidence: Evidence::NotRun }),
        };
        let node = self.node;
        let peer = node.peers.find(entry.node.as_str());
        let Some((peer, target)) = peer.and_then(|peer| peer.target().map(|t| (peer, t))) else {
            return not_sent(ResultCode::LinkUnavailable, Place::Local);
        };
        let start_by = match peer.clock().start_by(self.deadline, now) {
            Ok(start_by) if start_by.guard == target.incarnation => start_by.at,
            Ok(_) => return not_sent(ResultCode::LinkUnavailable, Place::Local),
            Err(code) => return not_sent(code, Place::Local),
        };
        let call = self.call(attempt, entry, start_by, patience);
        let body = self.take_body();
        let result = self.send(target, call, body, peer.round_trip()).await;
        Made { attempt, start_by, place: Place::Remote(peer, target.incarnation), result }
    }

    async fn send(
        &self,
        target: Target,
        call: Call,
        body: Payload,
        round_trip: Duration,
    ) -> Result<CallAnswer, AttemptEnd> {
        let node = self.node;
        match timeout_at(self.give_up_at(round_trip), node.call_pool.call(target, call, body)).await
        {
            Ok(Ok(answer)) => {
                node.loads.update([&answer.load], node.now(), round_trip);
                Ok(answer)
            }
            Ok(Err(CallError::NotSent(_))) => Err(AttemptEnd::Refused {
                code: ResultCode::LinkUnavailable,
                evidence: Evidence::NotRun,
            }),
            Ok(Err(CallError::Refused { code, load })) => {
                node.loads.update(&load, node.now(), round_trip);
                let evidence = refusal_evidence(code, target.incarnation, target.incarnation);
                Err(AttemptEnd::Refused { code, evidence })
            }
            Ok(Err(CallError::Unknown(code))) => Err(AttemptEnd::Unknown { code }),
            Err(_) => Err(AttemptEnd::Unknown { code: ResultCode::DeadlineAfterStart }),
        }
    }

    /// Time at which the entry stops to wait. The guard refuses what is still queued at the deadline;
    /// its refusal, which proves that the call did not run, needs a moment to arrive.
    fn give_up_at(&self, round_trip: Duration) -> Instant {
        self.node.clock.instant(self.deadline + REFUSAL_GRACE + round_trip)
    }

    async fn fence(&self, made: &Made) -> FenceResult {
        self.node.metrics.fences.inc();
        match &made.place {
            Place::Local => {
                let now = self.node.now();
                match self.node.guard.fence(made.attempt, made.start_by, now) {
                    wire::FenceStatus::NotRun => FenceResult::NotRun,
                    _ => FenceResult::MayHaveRun,
                }
            }
            Place::Remote(peer, incarnation) => {
                let fenced = peer.fence(made.attempt, made.start_by, *incarnation);
                timeout(FENCE_TIMEOUT, fenced).await.unwrap_or(FenceResult::NoAnswer)
            }
        }
    }

    fn call(
        &self,
        attempt: AttemptId,
        entry: &EndpointEntry,
        start_by: Time,
        patience: Option<Duration>,
    ) -> Call {
        let body = match &self.replay {
            Some(bytes) if bytes.len() <= MAX_CHUNK_BYTES => {
                BodyPart { bytes: bytes.to_vec(), last: true }
            }
            _ => BodyPart { bytes: Vec::new(), last: false },
        };
        Call {
            attempt,
            request: self.request.clone(),
            endpoint: entry.name.clone(),
            route: self.name.clone(),
            account: self.account.clone(),
            start_by,
            patience,
            over_rate: self.over_rate,
            revision: self.revision,
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

    fn record(&mut self, choice: &Choice, entry: &EndpointEntry, end: String) {
        self.trace.record.attempts.push(AttemptRecord {
            at: self.node.now().since(self.trace.started),
            endpoint: entry.name.clone(),
            node: entry.node.as_str().into(),
            reason: format!("{:?}, cost {:?}", choice.reason, choice.cost).into(),
            considered: choice.considered,
            end: end.into(),
        });
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
        CallReply::Answer { status, headers, body, load } => {
            Ok(CallAnswer { status, headers, body, load })
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
        AttemptEnd::Unknown { .. }
        | AttemptEnd::Refused {
            code: ResultCode::ConnectFailed | ResultCode::LinkUnavailable,
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
