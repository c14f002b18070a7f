//! The line of the decision log that a guard writes about each call.

use std::sync::Arc;
use std::time::Duration;

use config::Revisions;
use model::{AttemptId, EndpointName, RequestId, RouteName, Time};
use peer::CallReply;
use wire::Call;

use crate::logging;
use crate::shared::{Node, read};

/// A call at the guard. Its line is written when it is dropped, so that calls whose entry goes away
/// have one too.
pub(crate) struct CallLog {
    node: Arc<Node>,
    arrived: Time,
    request: RequestId,
    attempt: AttemptId,
    endpoint: EndpointName,
    route: RouteName,
    is_idempotent: bool,
    insists: bool,
    is_retry: bool,
    /// Time to the goal of the route, if it has one; nothing if that has passed.
    goal: Option<Duration>,
    /// Time that the call may wait for a slot.
    may_wait: Duration,
    /// Time that the entry left for the call to start in.
    left: Duration,
    /// Revisions by which the entry decided.
    entry_revisions: Revisions,
    end: Box<str>,
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
            insists: call.insists,
            is_retry: call.retry,
            goal: call.goal_by.map(|goal_by| goal_by.since(arrived)),
            may_wait: call.queue_until.since(arrived),
            left: call.start_by.since(arrived),
            entry_revisions: call.revisions,
            end: "the entry went away".into(),
        }
    }

    /// Notes how the call has ended.
    pub(crate) fn ended(mut self, reply: &CallReply) {
        self.end = match reply {
            CallReply::Answer { status, .. } => format!("answered {status}").into(),
            CallReply::Refused { code, .. } => format!("refused {code}").into(),
            CallReply::Failed(code) => format!("unknown {code}").into(),
        };
    }

    fn to_json(&self) -> serde_json::Value {
        let now = self.node.now();
        let load = self.node.guard.load(&self.endpoint).map(|load| load.report);
        let suspect = self.node.guard.suspect_since(&self.endpoint);
        serde_json::json!({
            "decision": "call",
            "request_id": self.request.as_str(),
            "attempt": self.attempt.to_string(),
            "endpoint": self.endpoint.as_str(),
            "route": self.route.as_str(),
            "idempotent": self.is_idempotent,
            "insists": self.insists,
            "retry": self.is_retry,
            "goal_ms": self.goal.map(|goal| goal.as_millis() as u64),
            "may_wait_ms": self.may_wait.as_millis() as u64,
            "left_ms": self.left.as_millis() as u64,
            "config": read(&self.node.config).revisions().to_string(),
            "entry_config": self.entry_revisions.to_string(),
            "running": load.map(|load| load.running),
            "queued": load.map(|load| load.queued),
            "suspect_ms": suspect.map(|since| now.since(since).as_millis() as u64),
            "outcome": &*self.end,
            "took_ms": now.since(self.arrived).as_millis() as u64,
        })
    }
}

impl Drop for CallLog {
    fn drop(&mut self) {
        if log::log_enabled!(target: logging::DECISIONS, log::Level::Info) {
            log::info!(target: logging::DECISIONS, "{}", self.to_json());
        }
    }
}
