//! The entry role: serves callers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use caller::{CallerHandler, CallerRequest, PendingAnswer, PresentedKey, error_answer};
use config::RouteEntry;
use hyper::http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header};
use membership::{Directory, EndpointEntry};
use model::{
    Access, Account, AccountName, AttemptId, EndpointName, FailureDomain, Incarnation, KeyId,
    NodeName, RequestId, ResultCode, RouteName, Selector, ServiceName, Time,
};
use payload::{BodyCut, Payload, ReadAhead};
use peer::{CallAnswer, CallError, CallReply, Target};
use routing::{
    AttemptEnd, Balancer, BalancerParams, Body, CallAttempts, CallKind, Candidate, Candidates,
    Choice, Evidence, FenceResult, Idempotence, Next, PATIENCE, Stage, WhenBusy, refusal_evidence,
};
use tokio::time::{timeout, timeout_at};
use wire::{BodyPart, Call, Head, Header, MAX_CHUNK_BYTES};

use crate::health::Weights;
use crate::loads::{KnownLoads, PathEnd};
use crate::metrics::EndLabel;
use crate::peers::Peer;
use crate::records::{AttemptRecord, End, RequestRecord};
use crate::shared::{Node, Phase, lock, read};
use crate::{guard, logging};

/// Bodies up to this size, in bytes, are kept so that they can be sent again.
const REPLAY_BYTES: usize = 64 * 1024;

/// Part of a call's time that it may wait for a rate limit token.
const TOKEN_WAIT_SHARE: u32 = 10;

/// Longest wait for the answer to a fence.
const FENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Weight below which an endpoint takes only idempotent calls: the trickle of its probation.
const PROBATION_WEIGHT: u8 = 10;

/// Serves callers.
pub(crate) struct Entry {
    pub(crate) node: Arc<Node>,
    balancer: Balancer,
}

impl Entry {
    pub(crate) fn new(node: Arc<Node>) -> Entry {
        let balancer = Balancer::new(node.info().domain.clone(), BalancerParams::default());
        Entry { node, balancer }
    }
}

impl CallerHandler for Entry {
    fn handle(&self, req: CallerRequest) -> PendingAnswer {
        let (node, balancer) = (Arc::clone(&self.node), self.balancer.clone());
        Box::pin(async move { serve(node, balancer, req).await })
    }

    fn refused(&self, id: &RequestId, code: ResultCode) {
        let trace = Trace::new(id.clone(), "", "", self.node.now());
        trace.finish(&self.node, End::Coded(code));
    }
}

/// What is recorded of a request while it is served.
struct Trace {
    record: RequestRecord,
    started: Time,
}

impl Trace {
    fn new(id: RequestId, method: &str, target: &str, started: Time) -> Trace {
        let path = target.split('?').next().unwrap_or_default();
        let record = RequestRecord {
            id,
            method: method.into(),
            path: path.into(),
            route: None,
            account: None,
            attempts: Vec::new(),
            end: End::Coded(ResultCode::MalformedRequest),
            took: Duration::ZERO,
        };
        Trace { record, started }
    }

    fn finish(mut self, node: &Node, end: End) {
        self.record.end = end;
        self.record.took = node.now().since(self.started);
        let label = match end {
            End::Answered(_) => "answered".to_owned(),
            End::Coded(code) => code.number().to_string(),
        };
        node.metrics.requests.get_or_create(&EndLabel { end: label }).inc();
        node.metrics.seconds.observe(self.record.took.as_secs_f64());
        if log::log_enabled!(target: logging::DECISIONS, log::Level::Info) {
            log::info!(target: logging::DECISIONS, "{}", self.record.to_json());
        }
        node.records.add(self.record);
    }
}

async fn serve(node: Arc<Node>, balancer: Balancer, req: CallerRequest) -> Response<Payload> {
    let started = node.now();
    let id = req.id.clone();
    let mut trace = Trace::new(id.clone(), req.method.as_str(), &req.target, started);
    let mut answer = match route_and_run(&node, &balancer, req, &mut trace).await {
        Ok(answer) => {
            trace.finish(&node, End::Answered(answer.status));
            to_response(answer)
        }
        Err(code) => {
            trace.finish(&node, End::Coded(code));
            error_answer(code, &id)
        }
    };
    if node.phase() != Phase::Serving {
        answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

async fn route_and_run(
    node: &Arc<Node>,
    balancer: &Balancer,
    req: CallerRequest,
    trace: &mut Trace,
) -> Result<CallAnswer, ResultCode> {
    let path = req.target.split('?').next().unwrap_or_default();
    let (route, revision) = {
        let config = read(&node.config);
        let Some(route) = config.route(path).cloned() else {
            let is_known = config.revision() > model::Revision::ZERO;
            return Err(if is_known { ResultCode::NoRoute } else { ResultCode::NotSynced });
        };
        (route, config.revision())
    };
    let name: RouteName = route.name().parse().map_err(|_| ResultCode::NoRoute)?;
    trace.record.route = Some(name.clone());
    let deadline = trace.started + route.policy().timeout();
    let identity = match route.policy().access {
        Access::Open => None,
        Access::Keyed => Some(authenticate(node, &req.key)?),
    };
    if let Some((account, _, limits)) = &identity {
        trace.record.account = Some(account.clone());
        let wait_until = trace.started + route.policy().timeout() / TOKEN_WAIT_SHARE;
        node.limiter.take(node, account, limits, wait_until).await?;
    }
    let (body, replay) = read_ahead(req.body, node, deadline).await?;
    let idempotence = match route.policy().is_idempotent(req.method.as_str()) {
        true => Idempotence::Idempotent,
        false => Idempotence::NonIdempotent,
    };
    let mut run = Run {
        node,
        balancer,
        route: &route,
        name,
        idempotence,
        deadline,
        over_rate: identity
            .as_ref()
            .is_some_and(|(account, ..)| node.limiter.is_over_rate(account, node.now())),
        account: identity.map(|(account, key, _)| (account, key)),
        revision,
        request: req.id,
        head: forwarded_head(
            &req.method,
            &req.target,
            &req.headers,
            replay.as_ref(),
            req.body_length,
        ),
        body,
        replay,
        tried: Vec::new(),
        busy: Vec::new(),
        trace,
    };
    run.attempts().await
}

/// Finds the account of a key. The lease makes sure that a withdrawn key is not accepted.
fn authenticate(
    node: &Node,
    key: &PresentedKey,
) -> Result<(AccountName, KeyId, Account), ResultCode> {
    let key = match key {
        PresentedKey::Absent => return Err(ResultCode::KeyMissing),
        PresentedKey::Malformed => return Err(ResultCode::KeyRejected),
        PresentedKey::One(key) => key,
    };
    guard::require_lease(node)?;
    let config = read(&node.config);
    let entry = config.key(key.id().as_str()).ok_or(ResultCode::KeyRejected)?;
    if !entry.value().matches(key) {
        return Err(ResultCode::KeyRejected);
    }
    let account = config.account(entry.account()).ok_or(ResultCode::KeyRejected)?;
    let name = entry.account().parse().map_err(|_| ResultCode::KeyRejected)?;
    Ok((name, key.id().clone(), account.value().clone()))
}

/// Reads a short body completely, so that it can be sent again. Nothing has run yet, so a body that
/// fails here is refused.
async fn read_ahead(
    body: Payload,
    node: &Node,
    deadline: Time,
) -> Result<(Payload, Option<Bytes>), ResultCode> {
    let read = timeout_at(node.clock.instant(deadline), body.read_ahead(REPLAY_BYTES)).await;
    match read {
        Err(_) | Ok(ReadAhead::Cut(BodyCut::Stalled)) => Err(ResultCode::BodyTimeout),
        Ok(ReadAhead::Whole(bytes)) => Ok((Payload::empty(), Some(bytes))),
        Ok(ReadAhead::Longer(rest)) => Ok((rest, None)),
        Ok(ReadAhead::Cut(BodyCut::TooLarge)) => Err(ResultCode::BodyTooLarge),
        Ok(ReadAhead::Cut(_)) => Err(ResultCode::MalformedRequest),
    }
}

fn forwarded_head(
    method: &hyper::Method,
    target: &str,
    headers: &HeaderMap,
    replay: Option<&Bytes>,
    body_length: Option<u64>,
) -> Head {
    let mut kept: Vec<Header> = headers
        .iter()
        .map(|(name, value)| Header {
            name: name.as_str().into(),
            value: value.as_bytes().to_vec(),
        })
        .collect();
    // A body in memory is framed by the HTTP library; a streamed one keeps its announced length.
    if let (None, Some(length)) = (replay, body_length) {
        let value = length.to_string().into_bytes();
        kept.push(Header { name: "content-length".into(), value });
    }
    Head { method: method.as_str().into(), target: target.into(), headers: kept }
}

/// A request on its way through one or several attempts.
struct Run<'a> {
    node: &'a Arc<Node>,
    balancer: &'a Balancer,
    route: &'a RouteEntry,
    name: RouteName,
    idempotence: Idempotence,
    deadline: Time,
    account: Option<(AccountName, KeyId)>,
    over_rate: bool,
    revision: model::Revision,
    request: RequestId,
    head: Head,
    body: Payload,
    replay: Option<Bytes>,
    tried: Vec<EndpointName>,
    /// Endpoints that had no free slot; they are tried again only when no other is left.
    busy: Vec<EndpointName>,
    trace: &'a mut Trace,
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

/// Where an attempt was sent.
enum Place {
    Local,
    Remote(Arc<Peer>, Incarnation),
}

impl Run<'_> {
    async fn attempts(&mut self) -> Result<CallAnswer, ResultCode> {
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
                        _ => PathEnd::Answered(now.since(started)),
                    };
                    self.node.loads.ended(&entry.name, started, end, now);
                    return made.result.map_err(|_| ResultCode::LinkLost);
                }
                Err(end) => *end,
            };
            self.record(&choice, &entry, describe(end));
            self.node.loads.ended(&entry.name, started, path_end(end), now);
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
        let decide = |budget: &mut _| attempts.next(end, body, budget, now);
        self.node.budgets.with(self.route.name(), share, self.node.peers.count() + 1, decide)
    }

    /// Chooses an endpoint and how long the attempt may wait there.
    fn choose(&self, attempts: &CallAttempts) -> Option<(Choice, EndpointEntry, Option<Duration>)> {
        let patience = match attempts.when_busy(self.replayable()) {
            WhenBusy::GoElsewhere => Some(PATIENCE),
            WhenBusy::Wait => None,
        };
        let avoided = [&self.tried[..], &self.busy].concat();
        if let Some((choice, entry)) = self.choose_among(&avoided) {
            return Some((choice, entry, patience));
        }
        let (choice, entry) = self.choose_among(&self.tried)?;
        Some((choice, entry, None))
    }

    fn choose_among(&self, avoided: &[EndpointName]) -> Option<(Choice, EndpointEntry)> {
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
        Some((choice, entry))
    }

    async fn attempt(
        &mut self,
        entry: &EndpointEntry,
        patience: Option<Duration>,
        now: Time,
    ) -> Made {
        let node = self.node;
        let attempt = node.next_attempt();
        node.loads.sent(&entry.name, now);
        if *entry.node == node.info().node {
            let call = self.call(attempt, entry, self.deadline, patience);
            let body = self.take_body();
            let reply =
                timeout_at(node.clock.instant(self.deadline), guard::serve(node, call, body));
            let result = match reply.await {
                Ok(reply) => from_reply(reply),
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
        let deadline = node.clock.instant(self.deadline);
        match timeout_at(deadline, node.call_pool.call(target, call, body)).await {
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

fn to_response(answer: CallAnswer) -> Response<Payload> {
    let mut response = Response::new(answer.body);
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    for header in answer.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    response
}
