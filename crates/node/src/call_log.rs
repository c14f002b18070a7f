//! The decision log entry that the guard writes for each call.

use std::sync::Arc;
use std::time::Duration;

use config::Revisions;
use model::{AttemptId, EndpointName, RequestId, RouteName, Time};
use peer::CallReply;
use wire::Call;

use crate::logging;
use crate::retry_limits::RetryPart;
use crate::shared::{Node, read};

/// A call at the guard. Its log line is written on drop, so that a call whose entry node
/// disconnects is logged too.
pub(crate) struct CallLog {
    node: Arc<Node>,
    arrived: Time,
    request: RequestId,
    attempt: AttemptId,
    endpoint: EndpointName,
    route: RouteName,
    is_idempotent: bool,
    accepts_suspect: bool,
    is_retry: bool,
    /// Number of endpoints by which the guard has divided the spare retries of the service.
    retry_parts: Option<usize>,
    /// Time left until the route's latency goal, if it has one; zero if that has passed.
    time_to_goal: Option<Duration>,
    /// Longest time that the call may wait for a slot.
    max_wait: Duration,
    /// Time left in which the call may start, by the entry node's deadline.
    time_to_start: Duration,
    /// Configuration revisions with which the entry node routed the call.
    entry_revisions: Revisions,
    /// When the call got a slot, if it did.
    started: Option<Time>,
    /// How the call ended, as logged.
    outcome: Box<str>,
}

impl CallLog {
    pub(crate) fn start(node: &Arc<Node>, call: &Call) -> CallLog {
        let arrived = node.now();
        CallLog {
            node: Arc::clone(node),
            arrived,
            request: call.request.clone(),
            attempt: call.attempt,
            endpoint: call.endpoint.clone(),
            route: call.route.clone(),
            is_idempotent: call.idempotent,
            accepts_suspect: call.accepts_suspect,
            is_retry: call.is_retry,
            retry_parts: None,
            time_to_goal: call.goal_by.map(|goal_by| goal_by.since(arrived)),
            max_wait: call.queue_until.since(arrived),
            time_to_start: call.start_by.since(arrived),
            entry_revisions: call.revisions,
            started: None,
            outcome: "the entry went away".into(),
        }
    }

    /// Records the part of the spare retries that the call may use.
    pub(crate) fn record_retry_part(&mut self, part: RetryPart) {
        self.retry_parts = part.endpoints;
    }

    /// Records that the call has got a slot.
    pub(crate) fn record_start(&mut self) {
        self.started = Some(self.node.now());
    }

    /// Records the outcome and writes the log line.
    pub(crate) fn finish(mut self, reply: &CallReply) {
        self.outcome = match reply {
            CallReply::Answer { status, .. } => format!("answered {status}").into(),
            CallReply::Refused { code, .. } => format!("refused {code}").into(),
            CallReply::Failed(code) => format!("unknown {code}").into(),
        };
    }

    fn to_json(&self) -> serde_json::Value {
        let now = self.node.now();
        let load = self.node.guard.load(&self.endpoint).map(|load| load.report);
        let suspect = self.node.guard.suspect_since(&self.endpoint);
        let waited = self.started.unwrap_or(now).since(self.arrived);
        serde_json::json!({
            "decision": "call",
            "request_id": self.request.as_str(),
            "attempt": self.attempt.to_string(),
            "endpoint": self.endpoint.as_str(),
            "route": self.route.as_str(),
            "idempotent": self.is_idempotent,
            "insists": self.accepts_suspect,
            "retry": self.is_retry,
            "retry_parts": self.retry_parts,
            "goal_ms": self.time_to_goal.map(|goal| goal.as_millis() as u64),
            "may_wait_ms": self.max_wait.as_millis() as u64,
            "left_ms": self.time_to_start.as_millis() as u64,
            "config": read(&self.node.config).revisions().to_string(),
            "entry_config": self.entry_revisions.to_string(),
            "running": load.map(|load| load.running),
            "queued": load.map(|load| load.queued),
            "suspect_ms": suspect.map(|since| now.since(since).as_millis() as u64),
            "outcome": &*self.outcome,
            "waited_ms": waited.as_millis() as u64,
            "took_ms": now.since(self.arrived).as_millis() as u64,
        })
    }
}

impl Drop for CallLog {
    fn drop(&mut self) {
        if log::log_enabled!(target: logging::DECISION_TARGET, log::Level::Info) {
            log::info!(target: logging::DECISION_TARGET, "{}", self.to_json());
        }
    }
}
