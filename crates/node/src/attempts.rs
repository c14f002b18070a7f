//! Attempts of a request: sends each one, handles its result, and retries or fences.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use config::{Revisions, RouteEntry};
use membership::EndpointEntry;
use model::{
    AccountName, AttemptId, EndpointName, FailureDomain, KeyId, Percent, RequestId, ResultCode,
    RouteName, ServiceName, Time,
};
use payload::Payload;
use peer::{CallAnswer, SentAttempt};
use routing::{
    AttemptEnd, Balancer, BodyState, CallAttempts, Evidence, FenceResult, Idempotence, NextAction,
    RetryParams,
};
use tokio::sync::oneshot;
use tokio::time::timeout;
use wire::{BodyPart, Call, Head, MAX_CHUNK_BYTES};

use crate::choice::SelectedEndpoint;
use crate::entry::RequestTrace;
use crate::evacuations;
use crate::latencies::RouteLatencies;
use crate::loads::{InFlightCall, PathOutcome};
use crate::metrics::LoadExpectationLabel;
use crate::records::AttemptRecord;
use crate::sending::{
    AttemptTarget, EndedAttempt, FENCE_TIMEOUT, FinishedAttempt, OnSilence, OutgoingAttempt,
    RaceEvent, RunningAttempt, next_event,
};
use crate::shared::{Node, lock};
use crate::stop;

/// Number of times that a request tries to start a second attempt. Endpoints that are busy refuse
/// it at once, so that an overloaded service gets no more work by it.
pub(crate) const MAX_HEDGES: u32 = 2;

/// Result of one attempt, and what to do next.
enum AttemptStep {
    /// A response that ends the request.
    Answer(CallAnswer),
    /// A server error, which is returned unless another attempt succeeds.
    ServerError(CallAnswer, NextAction),
    Failed(NextAction),
}

/// The execution of one request, with one or several attempts.
pub(crate) struct RequestExecution<'a> {
    pub(crate) node: &'a Arc<Node>,
    pub(crate) balancer: &'a Balancer,
    pub(crate) latencies: &'a RouteLatencies,
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
    /// Failure domains of which an endpoint refused the call because they are evacuated.
    pub(crate) evacuated: Vec<FailureDomain>,
    /// Number of times that a second attempt may still be started beside a running one.
    pub(crate) hedges_left: u32,
    pub(crate) trace: &'a mut RequestTrace,
}

impl<'a> RequestExecution<'a> {
    /// Makes attempts until one returns a response that ends the request, or no further attempt is
    /// possible. An idempotent request may have a second attempt in progress, see
    /// [`RequestExecution::hedge`].
    pub(crate) async fn run_attempts(&mut self) -> Result<CallAnswer, ResultCode> {
        let params = RetryParams {
            idempotence: self.idempotence,
            deadline: self.deadline,
            max_attempts: self.route.policy().attempts,
        };
        let mut attempts = CallAttempts::new(params);
        // The last server error. It is returned to the caller unless another endpoint succeeds.
        let mut server_error = None;
        let mut running: Vec<RunningAttempt<'a>> = Vec::new();
        let mut action = NextAction::Retry;
        let mut exiting = std::pin::pin!(stop::wait_for_last_answers(self.node));
        loop {
            let is_active = running.iter().any(|attempt| !attempt.is_silent());
            if !is_active && action == NextAction::Retry {
                match self.select_endpoint(&attempts) {
                    Some(selected) => {
                        if !self.trace.record.attempts.is_empty() {
                            self.node.metrics.retries.inc();
                        }
                        let is_retry = attempts.has_arrived();
                        running.push(self.start_attempt(selected, is_retry));
                    }
                    None => action = attempts.final_action(self.no_endpoint_code()),
                }
            }
            // A server error is not held back for a silent attempt, which may stay so until the deadline.
            let is_silent = running.iter().all(RunningAttempt::is_silent);
            if running.is_empty() || is_silent && server_error.is_some() {
                return server_error.ok_or(final_code(action));
            }
            let hedge_at = self.hedge_at(&attempts, &running);
            let event = tokio::select! {
                event = next_event(self.node, &mut running, hedge_at) => event,
                () = &mut exiting => return server_error.ok_or(ResultCode::StoppedAfterStart),
            };
            action = match event {
                RaceEvent::HedgeDue => {
                    running.extend(self.hedge(&running));
                    continue;
                }
                RaceEvent::Silent(index) => self.handle_silence(&mut attempts, &mut running[index]),
                RaceEvent::Ended(ended) => {
                    let step = match ended.in_flight {
                        Some(_) => self.handle_end(&mut attempts, *ended).await,
                        None => self.handle_silent_end(*ended, action),
                    };
                    match step {
                        AttemptStep::Answer(answer) => {
                            running.into_iter().for_each(|abandoned| self.abandon(abandoned));
                            return Ok(answer);
                        }
                        AttemptStep::ServerError(answer, action) => {
                            server_error = Some(answer);
                            action
                        }
                        AttemptStep::Failed(action) => action,
                    }
                }
            };
        }
    }

    /// Code for a request that no endpoint is left for.
    fn no_endpoint_code(&self) -> ResultCode {
        routing::no_endpoint_code(self.is_evacuated(), !self.trace.record.attempts.is_empty())
    }

    /// Processes the end of an attempt, and fences it if it may still run and must not.
    async fn handle_end(
        &mut self,
        attempts: &mut CallAttempts,
        ended: EndedAttempt<'a>,
    ) -> AttemptStep {
        let EndedAttempt { record, started, in_flight, selected, finished } = ended;
        let now = self.node.now();
        let end = match finished.result {
            Ok(answer) => {
                self.record_attempt_end(record, format!("answered {}", answer.status));
                self.record_expectation(&selected, "slot");
                let overhead = now.since(started).saturating_sub(answer.took);
                finish(in_flight, PathOutcome::Answered(overhead));
                if answer.status < 500 {
                    self.node.unsent_retry_limiters.record_answer(&self.service, now);
                    self.latencies.observe(&self.route_name, now.since(started));
                    return AttemptStep::Answer(answer);
                }
                self.tried.push(selected.entry.name);
                let action = self.next_action(attempts, AttemptEnd::ServerError);
                return AttemptStep::ServerError(answer, action);
            }
            Err(end) => classify_busy(end, selected.max_expected_wait),
        };
        self.record_attempt_end(record, describe_end(end));
        if end == AttemptEnd::Busy {
            self.record_expectation(&selected, "busy");
        }
        finish(in_flight, path_outcome(end));
        self.exclude_endpoint(&selected.entry, end, now);
        let mut action = self.next_action(attempts, end);
        if action == NextAction::Fence {
            let result = self.fence(&finished).await;
            self.record_attempt(&selected, format!("fenced: {result:?}").into());
            action = self.next_action(attempts, AttemptEnd::Fenced { result });
        }
        AttemptStep::Failed(action)
    }

    /// Processes that the link of an attempt has gone silent: the request is sent elsewhere if it may be,
    /// and the attempt goes on.
    fn handle_silence(
        &mut self,
        attempts: &mut CallAttempts,
        attempt: &mut RunningAttempt<'a>,
    ) -> NextAction {
        self.record_attempt_end(attempt.record, "silent, no answer yet".to_owned());
        finish(attempt.in_flight.take(), PathOutcome::Failed);
        let end = AttemptEnd::Unknown { code: ResultCode::LinkLost };
        self.exclude_endpoint(&attempt.selected.entry, end, self.node.now());
        self.next_action(attempts, end)
    }

    /// Processes the end of an attempt that had gone silent. What follows from its failure has been
    /// decided before, as `action`.
    fn handle_silent_end(&mut self, ended: EndedAttempt<'a>, action: NextAction) -> AttemptStep {
        match ended.finished.result {
            Ok(answer) => {
                self.record_attempt_end(ended.record, format!("answered {} late", answer.status));
                match answer.status < 500 {
                    true => AttemptStep::Answer(answer),
                    false => AttemptStep::ServerError(answer, action),
                }
            }
            Err(end) => {
                self.record_attempt_end(ended.record, format!("silent, {}", describe_end(end)));
                AttemptStep::Failed(action)
            }
        }
    }

    /// Time at which a second attempt starts beside the running one, if the request may have one.
    fn hedge_at(&self, attempts: &CallAttempts, running: &[RunningAttempt<'_>]) -> Option<Time> {
        let mut active = running.iter().filter(|attempt| !attempt.is_silent());
        let (Some(only), None) = (active.next(), active.next()) else { return None };
        let may_hedge = self.hedges_left > 0 && attempts.may_hedge(self.body_state());
        let timeout = self.deadline.since(self.trace.started);
        may_hedge.then(|| only.started + self.latencies.hedge_delay(&self.route_name, timeout))
    }

    /// Starts a second attempt at an endpoint with a free slot. The first one goes on, and the first
    /// success counts: an endpoint that hangs gives no sign until the deadline.
    fn hedge(&mut self, running: &[RunningAttempt<'_>]) -> Option<RunningAttempt<'a>> {
        self.hedges_left -= 1;
        let in_use = running.iter().map(|attempt| attempt.selected.entry.name.clone());
        let selected = self.select_hedge(in_use.collect())?;
        self.node.metrics.hedges.inc();
        Some(self.start_attempt(selected, true))
    }

    /// Drops an attempt, which cancels it, after another one has succeeded. The time that it took so
    /// far counts as a latency, so that the estimate does not follow the quick attempts only.
    fn abandon(&mut self, attempt: RunningAttempt<'_>) {
        // Silence says nothing about the latency of the route.
        if !attempt.is_silent() {
            let elapsed = self.node.now().since(attempt.started);
            self.latencies.observe(&self.route_name, elapsed);
        }
        self.record_attempt_end(attempt.record, "abandoned: another attempt succeeded".to_owned());
    }

    /// Adds the endpoint of a failed attempt to the list that fits its end, so that the next attempt
    /// goes elsewhere.
    fn exclude_endpoint(&mut self, entry: &EndpointEntry, end: AttemptEnd, now: Time) {
        match end {
            AttemptEnd::Refused { code: ResultCode::EndpointSuspect, .. } => {
                self.suspects.push(entry.name.clone());
                self.node.loads.record_suspect(&entry.name, self.idempotence, now);
            }
            AttemptEnd::Refused {
                code:
                    ResultCode::EndpointUnknown
                    | ResultCode::EndpointLeaving
                    | ResultCode::EndpointReplaced,
                evidence: Evidence::NotRun,
            } => {
                self.tried.push(entry.name.clone());
                self.node.loads.record_absent(&entry.name, now);
            }
            AttemptEnd::Refused {
                code: ResultCode::DomainEvacuated,
                evidence: Evidence::NotRun,
            } => self.avoid_evacuated_domain(entry),
            AttemptEnd::Busy => self.busy.push(entry.name.clone()),
            _ => self.tried.push(entry.name.clone()),
        }
    }

    /// Excludes the failure domain of an endpoint that is evacuated, and asks the node of the endpoint
    /// for what it knows.
    fn avoid_evacuated_domain(&mut self, entry: &EndpointEntry) {
        self.tried.push(entry.name.clone());
        self.node.loads.record_absent(&entry.name, self.node.now());
        let Some(peer) = self.node.peers.find(entry.node.as_str()) else {
            return self.evacuated.push(self.node.info().domain.clone());
        };
        self.evacuated.push(peer.domain.clone());
        evacuations::ask_if_unknown(self.node, peer);
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

    /// Starts an attempt at the selected endpoint.
    fn start_attempt(&mut self, selected: SelectedEndpoint, is_retry: bool) -> RunningAttempt<'a> {
        let node = self.node;
        let now = node.now();
        // Remains the recorded end if the caller disconnects first.
        let record = self.record_attempt(&selected, "no answer yet".into());
        let call = self.build_call(node.next_attempt_id(), &selected, is_retry);
        let (report, silence) = oneshot::channel();
        let on_silence = match self.idempotence {
            Idempotence::Idempotent => OnSilence::Report(report),
            Idempotence::NonIdempotent => OnSilence::Fence,
        };
        let outgoing = OutgoingAttempt {
            node: Arc::clone(node),
            call,
            body: self.take_unsent_body(),
            deadline: self.deadline,
            on_silence,
        };
        let peer = node.peers.find(selected.entry.node.as_str());
        RunningAttempt {
            record,
            started: now,
            in_flight: Some(InFlightCall::start(node, &selected.entry.name, now)),
            selected,
            silence: Some(silence),
            outcome: Box::pin(outgoing.send(peer)),
        }
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

    /// Sets the end of the attempt with this index in the record.
    fn record_attempt_end(&mut self, index: usize, end: String) {
        let at = self.node.now().since(self.trace.started);
        if let Some(attempt) = self.trace.record.attempts.get_mut(index) {
            attempt.at = at;
            attempt.end = end.into();
        }
    }

    /// Counts what an attempt that asked not to wait has met, compared with the estimate of the load.
    fn record_expectation(&self, selected: &SelectedEndpoint, met: &'static str) {
        let (Some(_), Some(estimate)) = (selected.max_expected_wait, selected.choice.estimate)
        else {
            return;
        };
        let expected = if estimate.expects_free_slot() { "free" } else { "full" };
        let label = LoadExpectationLabel { expected, met };
        self.node.metrics.load_expectations.get_or_create(&label).inc();
    }

    /// Adds an attempt to the record of the request and returns its index there.
    fn record_attempt(&mut self, selected: &SelectedEndpoint, end: Box<str>) -> usize {
        let SelectedEndpoint { choice, entry, accepts_suspect, .. } = selected;
        let insists = if *accepts_suspect { ", insists" } else { "" };
        let estimate = choice.estimate.map_or_else(String::new, |estimate| format!(", {estimate}"));
        self.trace.record.attempts.push(AttemptRecord {
            at: self.node.now().since(self.trace.started),
            endpoint: entry.name.clone(),
            node: entry.node.as_str().into(),
            reason: format!("{:?}, cost {:?}{estimate}{insists}", choice.reason, choice.cost)
                .into(),
            considered: choice.considered,
            end,
        });
        self.trace.record.attempts.len() - 1
    }
}

/// Converts a full queue into [`AttemptEnd::Busy`] if the attempt limited its expected wait.
fn classify_busy(end: AttemptEnd, max_expected_wait: Option<Duration>) -> AttemptEnd {
    match (max_expected_wait, end) {
        (Some(_), AttemptEnd::Refused { code: ResultCode::QueueFull, .. }) => AttemptEnd::Busy,
        (_, end) => end,
    }
}

fn finish(in_flight: Option<InFlightCall<'_>>, outcome: PathOutcome) {
    if let Some(in_flight) = in_flight {
        in_flight.finish(outcome);
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
