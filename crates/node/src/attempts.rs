//! Attempts of a request: sends each one, handles its result, and retries or fences.

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
use peer::{CallAnswer, CallError, CallReply, SentAttempt, SilenceAction};
use routing::{
    AttemptEnd, Balancer, BodyState, CallAttempts, Evidence, FenceResult, Idempotence, NextAction,
    RetryParams, refusal_evidence,
};
use tokio::time::{Instant, timeout, timeout_at};
use wire::{BodyPart, Call, EndpointLoad, Head, MAX_CHUNK_BYTES};

use crate::choice::SelectedEndpoint;
use crate::entry::RequestTrace;
use crate::guard;
use crate::loads::{InFlightCall, PathOutcome};
use crate::peers::{Peer, catch_up_if_behind};
use crate::records::AttemptRecord;
use crate::shared::{Node, lock};

/// Timeout for the response to a fence.
const FENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Extra wait after the deadline. The guard refuses a call that is still queued at the deadline, and
/// the refusal, which proves that the call did not run, needs some time to arrive.
const REFUSAL_GRACE: Duration = Duration::from_millis(20);

/// The execution of one request, with one or several attempts.
pub(crate) struct RequestExecution<'a> {
    pub(crate) node: &'a Arc<Node>,
    pub(crate) balancer: &'a Balancer,
    pub(crate) route: &'a RouteEntry,
    /// The service selected for the request.
    pub(crate) service: ServiceName,
    pub(crate) route_name: RouteName,
    pub(crate) idempotence: Idempotence,
    pub(crate) deadline: Time,
    /// Time at which the call stops waiting for a slot.
    pub(crate) queue_until: Time,
    /// Time by which a response should arrive to meet the latency goal of the route.
    pub(crate) goal_by: Option<Time>,
    pub(crate) account: Option<(AccountName, KeyId)>,
    /// Whether this entry has recently refused calls of the account for exceeding its rate.
    pub(crate) over_rate: bool,
    /// Probability that the request was made by an upstream of this node while it ran a retry.
    pub(crate) retry_origin_percent: Percent,
    pub(crate) priority: u8,
    pub(crate) revisions: Revisions,
    pub(crate) request: RequestId,
    pub(crate) head: Head,
    /// The body, if it is streamed.
    pub(crate) body: Payload,
    /// The body, if it is buffered and can be sent again.
    pub(crate) replay: Option<Bytes>,
    /// Endpoints that are excluded from further attempts.
    pub(crate) tried: Vec<EndpointName>,
    /// Endpoints that had no free slot. They are tried again only if no other endpoint is left.
    pub(crate) busy: Vec<EndpointName>,
    /// Endpoints whose guard refused the call because the endpoint is suspect.
    pub(crate) suspects: Vec<EndpointName>,
    pub(crate) trace: &'a mut RequestTrace,
}

/// An attempt that has ended.
struct FinishedAttempt {
    attempt: AttemptId,
    start_by: Time,
    target: AttemptTarget,
    result: Result<CallAnswer, AttemptEnd>,
}

/// The guard that an attempt was sent to.
enum AttemptTarget {
    /// The guard of this node.
    Local,
    /// The guard of another node, and the process there that received the attempt.
    Remote(Arc<Peer>, Incarnation),
}

impl RequestExecution<'_> {
    /// Makes attempts until one returns a response that ends the request, or no further attempt is
    /// possible.
    pub(crate) async fn run_attempts(&mut self) -> Result<CallAnswer, ResultCode> {
        let params = RetryParams {
            idempotence: self.idempotence,
            deadline: self.deadline,
            max_attempts: self.route.policy().attempts,
        };
        let mut attempts = CallAttempts::new(params);
        // The last server error. It is returned to the caller unless another endpoint succeeds.
        let mut server_error = None;
        loop {
            let Some(selected) = self.select_endpoint(&attempts) else {
                if let Some(answer) = server_error {
                    return Ok(answer);
                }
                // Once endpoints have refused the request, that is a better reason than a missing
                // upstream.
                let code = match self.trace.record.attempts.is_empty() {
                    true => ResultCode::NoUpstream,
                    false => ResultCode::QueueFull,
                };
                return Err(final_code(attempts.final_action(code)));
            };
            let started = self.node.now();
            let SelectedEndpoint { entry, max_expected_wait, .. } = &selected;
            // Remains the recorded end if the caller disconnects first.
            self.record_attempt(&selected, "no answer yet".into());
            let in_flight = InFlightCall::start(self.node, &entry.name, started);
            let is_retry = attempts.reached_endpoint() > 0;
            let finished = self.attempt(&selected, is_retry).await;
            let now = self.node.now();
            let end = match finished.result {
                Ok(answer) => {
                    self.record_attempt_end(format!("answered {}", answer.status));
                    let overhead = now.since(started).saturating_sub(answer.took);
                    in_flight.finish(PathOutcome::Answered(overhead));
                    if answer.status < 500 {
                        self.node.unsent_retry_limiters.record_answer(&self.service, now);
                        return Ok(answer);
                    }
                    match self.next_action(&mut attempts, AttemptEnd::ServerError) {
                        NextAction::Retry => {
                            self.node.metrics.retries.inc();
                            self.tried.push(entry.name.clone());
                            server_error = Some(answer);
                            continue;
                        }
                        _ => return Ok(answer),
                    }
                }
                Err(end) => classify_busy(end, *max_expected_wait),
            };
            self.record_attempt_end(describe_end(end));
            in_flight.finish(path_outcome(end));
            self.exclude_endpoint(entry, end, now);
            let mut action = self.next_action(&mut attempts, end);
            if action == NextAction::Fence {
                let result = self.fence(&finished).await;
                self.record_attempt(&selected, format!("fenced: {result:?}").into());
                action = self.next_action(&mut attempts, AttemptEnd::Fenced { result });
            }
            match action {
                NextAction::Retry => {
                    self.node.metrics.retries.inc();
                }
                action => return server_error.ok_or(final_code(action)),
            }
        }
    }

    /// Adds the endpoint of a failed attempt to the list that fits its end, so that the next attempt
    /// goes elsewhere.
    fn exclude_endpoint(&mut self, entry: &EndpointEntry, end: AttemptEnd, now: Time) {
        match end {
            AttemptEnd::Refused { code: ResultCode::EndpointSuspect, .. } => {
                self.suspects.push(entry.name.clone());
                self.node.loads.record_suspect(&entry.name, now);
            }
            AttemptEnd::Refused {
                code: ResultCode::EndpointUnknown | ResultCode::EndpointLeaving,
                evidence: Evidence::NotRun,
            } => {
                self.tried.push(entry.name.clone());
                self.node.loads.record_absent(&entry.name, now);
            }
            AttemptEnd::Busy => self.busy.push(entry.name.clone()),
            _ => self.tried.push(entry.name.clone()),
        }
    }

    pub(crate) fn body_state(&self) -> BodyState {
        match &self.replay {
            Some(_) => BodyState::Replayable,
            None => BodyState::Consumed,
        }
    }

    fn next_action(&self, attempts: &mut CallAttempts, end: AttemptEnd) -> NextAction {
        let body = self.body_state();
        let now = self.node.now();
        let limiters = &self.node.unsent_retry_limiters;
        limiters
            .with_service(&self.service, |limiter| attempts.on_attempt_end(end, body, limiter, now))
    }

    async fn attempt(&mut self, selected: &SelectedEndpoint, is_retry: bool) -> FinishedAttempt {
        let attempt = self.node.next_attempt_id();
        let call = self.build_call(attempt, selected, is_retry);
        match self.node.peers.find(selected.entry.node.as_str()) {
            Some(peer) => self.attempt_remote(call, peer).await,
            None => self.attempt_local(call).await,
        }
    }

    async fn attempt_local(&mut self, call: Call) -> FinishedAttempt {
        let (node, attempt) = (self.node, call.attempt);
        let body = self.take_unsent_body();
        let reply = timeout_at(self.response_deadline(), guard::serve(node, call, body)).await;
        let result = match reply {
            Ok(reply) => {
                // The balancer needs the load of local endpoints as well as that of remote ones.
                node.loads.update(reported_load(&reply), node.now());
                reply_to_result(reply)
            }
            Err(_) => Err(AttemptEnd::Unknown { code: ResultCode::DeadlineAfterStart }),
        };
        let target = AttemptTarget::Local;
        FinishedAttempt { attempt, start_by: self.deadline, target, result }
    }

    async fn attempt_remote(&mut self, call: Call, peer: Arc<Peer>) -> FinishedAttempt {
        let (node, attempt) = (self.node, call.attempt);
        let body = self.take_unsent_body();
        let idempotence = self.idempotence;
        let (silent_peer, entry_node) = (Arc::clone(&peer), Arc::clone(node));
        let on_silence = move |sent| handle_silent_link(entry_node, silent_peer, idempotence, sent);
        let sent = node.call_pool.call(peer.addr, call, self.deadline, body, on_silence);
        let outcome = timeout_at(self.response_deadline(), sent).await;
        let now = node.now();
        let mut sent_attempt = None;
        let result = match outcome {
            Ok(Ok(answer)) => {
                peer.record_success();
                node.loads.update([&answer.load], now);
                catch_up_if_behind(node, &peer.name, answer.revisions);
                Ok(answer)
            }
            Ok(Err(CallError::NotSent(err))) => {
                peer.record_failure(now, &err);
                let code = ResultCode::LinkUnavailable;
                Err(AttemptEnd::Refused { code, evidence: Evidence::NotRun })
            }
            Ok(Err(CallError::Refused { code, load, revisions })) => {
                if code != ResultCode::AttemptFenced {
                    peer.record_success();
                }
                node.loads.update(&load, now);
                catch_up_if_behind(node, &peer.name, revisions);
                let same = Incarnation::default();
                Err(AttemptEnd::Refused { code, evidence: refusal_evidence(code, same, same) })
            }
            Ok(Err(CallError::Unknown { code, sent })) => {
                sent_attempt = Some(sent);
                Err(AttemptEnd::Unknown { code })
            }
            Err(_) => Err(AttemptEnd::Unknown { code: ResultCode::DeadlineAfterStart }),
        };
        let (process, start_by) = sent_attempt
            .map_or((Incarnation::default(), self.deadline), |sent| (sent.process, sent.start_by));
        FinishedAttempt { attempt, start_by, target: AttemptTarget::Remote(peer, process), result }
    }

    /// Time at which the entry stops waiting for a response.
    fn response_deadline(&self) -> Instant {
        self.node.clock.to_instant(self.deadline + REFUSAL_GRACE)
    }

    /// Asks the guard that received an attempt to prevent it from starting, and whether it has run.
    async fn fence(&self, finished: &FinishedAttempt) -> FenceResult {
        let FinishedAttempt { attempt, start_by, ref target, .. } = *finished;
        self.node.metrics.fences.inc();
        match target {
            AttemptTarget::Local => {
                let now = self.node.now();
                match self.node.guard.fence(attempt, start_by, now) {
                    wire::FenceStatus::NotRun => FenceResult::NotRun,
                    _ => FenceResult::MayHaveRun,
                }
            }
            AttemptTarget::Remote(peer, process) => {
                let fenced = peer.fence(SentAttempt { attempt, process: *process, start_by });
                timeout(FENCE_TIMEOUT, fenced).await.unwrap_or(FenceResult::NoAnswer)
            }
        }
    }

    fn build_call(&self, attempt: AttemptId, selected: &SelectedEndpoint, is_retry: bool) -> Call {
        let body = match &self.replay {
            Some(bytes) if bytes.len() <= MAX_CHUNK_BYTES => {
                BodyPart { bytes: bytes.to_vec(), last: true }
            }
            _ => BodyPart { bytes: Vec::new(), last: false },
        };
        Call {
            attempt,
            request: self.request.clone(),
            endpoint: selected.entry.name.clone(),
            route: self.route_name.clone(),
            account: self.account.clone(),
            start_by: self.deadline,
            queue_until: self.queue_until,
            goal_by: self.goal_by,
            max_expected_wait: selected.max_expected_wait,
            over_rate: self.over_rate,
            idempotent: self.idempotence == Idempotence::Idempotent,
            accepts_suspect: selected.accepts_suspect,
            is_retry,
            retry_origin_percent: self.retry_origin_percent,
            priority: self.priority,
            caller_service: lock(&self.node.local_service).clone(),
            revisions: self.revisions,
            head: self.head.clone(),
            body,
        }
    }

    /// The body for the frames after the first one.
    fn take_unsent_body(&mut self) -> Payload {
        match &self.replay {
            Some(bytes) => Payload::Full(bytes.clone()),
            None => std::mem::replace(&mut self.body, Payload::empty()),
        }
    }

    fn record_attempt_end(&mut self, end: String) {
        let at = self.node.now().since(self.trace.started);
        if let Some(attempt) = self.trace.record.attempts.last_mut() {
            attempt.at = at;
            attempt.end = end.into();
        }
    }

    fn record_attempt(&mut self, selected: &SelectedEndpoint, end: Box<str>) {
        let SelectedEndpoint { choice, entry, accepts_suspect, .. } = selected;
        let insists = if *accepts_suspect { ", insists" } else { "" };
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

/// Converts a full queue into [`AttemptEnd::Busy`] if the attempt limited its expected wait.
fn classify_busy(end: AttemptEnd, max_expected_wait: Option<Duration>) -> AttemptEnd {
    match (max_expected_wait, end) {
        (Some(_), AttemptEnd::Refused { code: ResultCode::QueueFull, .. }) => AttemptEnd::Busy,
        (_, end) => end,
    }
}

/// Decides what to do with a call whose link has gone silent. An idempotent call is abandoned, which
/// leaves time to try another endpoint. A non-idempotent call is fenced over another link first.
async fn handle_silent_link(
    node: Arc<Node>,
    peer: Arc<Peer>,
    idempotence: Idempotence,
    sent: SentAttempt,
) -> SilenceAction {
    peer.record_failure(node.now(), &"a link went silent during a call");
    if idempotence == Idempotence::Idempotent {
        return SilenceAction::GiveUp;
    }
    node.metrics.fences.inc();
    match timeout(FENCE_TIMEOUT, peer.fence(sent)).await {
        Ok(FenceResult::NotRun) => SilenceAction::NotRun,
        _ => SilenceAction::KeepWaiting,
    }
}

fn reported_load(reply: &CallReply) -> Option<&EndpointLoad> {
    match reply {
        CallReply::Answer { load, .. } => Some(load),
        CallReply::Refused { load, .. } => load.as_ref(),
        CallReply::Failed(_) => None,
    }
}

fn reply_to_result(reply: CallReply) -> Result<CallAnswer, AttemptEnd> {
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

/// Classifies the end of an attempt by what it says about the path to the endpoint.
fn path_outcome(end: AttemptEnd) -> PathOutcome {
    match end {
        // Only failures of the path count here; the guard tracks the health of its upstreams.
        AttemptEnd::Unknown { code: ResultCode::LinkLost }
        | AttemptEnd::Refused {
            code:
                ResultCode::ConnectFailed | ResultCode::LinkUnavailable | ResultCode::EndpointUnknown,
            ..
        } => PathOutcome::Failed,
        _ => PathOutcome::Neutral,
    }
}

fn describe_end(end: AttemptEnd) -> String {
    match end {
        AttemptEnd::Refused { code, evidence } => format!("refused {code} ({evidence:?})"),
        AttemptEnd::Unknown { code } => format!("unknown {code}"),
        other => format!("{other:?}"),
    }
}

fn final_code(action: NextAction) -> ResultCode {
    match action {
        NextAction::Refuse(code) | NextAction::ReportUnknown(code) => code,
        NextAction::Answer | NextAction::Retry | NextAction::Fence => ResultCode::LinkLost,
    }
}
