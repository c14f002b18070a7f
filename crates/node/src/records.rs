//! Records of recent requests, from which one request can be explained.

use std::collections::{HashMap, VecDeque};
use std::sync::Mutex;
use std::time::Duration;

use config::Revisions;
use model::{AccountName, EndpointName, RequestId, ResultCode, RouteName};
use serde::Serialize;

use crate::shared::lock;

/// Requests that are remembered, about 2 MB. Older ones are in the log.
const MAX_RECORDS: usize = 2048;

/// One attempt of a request.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct AttemptRecord {
    /// Time from the arrival of the request to the end of the attempt, or to its start while it has not
    /// ended.
    #[serde(rename = "at_ms", serialize_with = "millis")]
    pub(crate) at: Duration,
    pub(crate) endpoint: EndpointName,
    pub(crate) node: Box<str>,
    pub(crate) reason: Box<str>,
    pub(crate) considered: usize,
    pub(crate) end: Box<str>,
}

fn millis<S: serde::Serializer>(at: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u128(at.as_millis())
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// An answer of the upstream, with its status.
    Answered(u16),
    /// An answer of the fleet.
    Coded(ResultCode),
    /// The caller went away before there was an answer.
    CallerGone,
}

impl End {
    /// The label of the metric: `answered`, `caller_gone` or the number of the result code.
    pub(crate) fn label(self) -> String {
        match self {
            End::Answered(_) => "answered".to_owned(),
            End::Coded(code) => code.number().to_string(),
            End::CallerGone => "caller_gone".to_owned(),
        }
    }
}

/// One request.
#[derive(Debug, Clone)]
pub(crate) struct RequestRecord {
    pub(crate) id: RequestId,
    pub(crate) method: Box<str>,
    pub(crate) host: Box<str>,
    pub(crate) path: Box<str>,
    pub(crate) route: Option<RouteName>,
    pub(crate) account: Option<AccountName>,
    /// Revisions by which the request was decided.
    pub(crate) revisions: Revisions,
    pub(crate) attempts: Vec<AttemptRecord>,
    pub(crate) end: End,
    pub(crate) took: Duration,
}

impl RequestRecord {
    /// The record as a JSON document, for the decision log and for operators.
    pub(crate) fn to_json(&self) -> serde_json::Value {
        let (status, code, outcome) = match self.end {
            End::Answered(status) => (status, 0, "answered".to_owned()),
            End::Coded(code) => (code.status(), code.number(), code.outcome().to_string()),
            End::CallerGone => (0, 0, "caller gone".to_owned()),
        };
        serde_json::json!({
            "decision": "request",
            "request_id": self.id.as_str(),
            "method": &*self.method,
            "host": &*self.host,
            "path": &*self.path,
            "route": self.route.as_ref().map(RouteName::as_str),
            "account": self.account.as_ref().map(AccountName::as_str),
            "config": self.revisions.to_string(),
            "attempts": &self.attempts,
            "status": status,
            "code": code,
            "outcome": outcome,
            "reason": match self.end {
                End::Answered(_) => "the upstream answered",
                End::Coded(code) => code.text(),
                End::CallerGone => "the caller went away",
            },
            "took_ms": self.took.as_secs_f64() * 1000.0,
        })
    }
}

/// The most recent requests.
pub(crate) struct Records {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    order: VecDeque<RequestId>,
    by_id: HashMap<RequestId, RequestRecord>,
}

impl Records {
    pub(crate) fn new() -> Records {
        Records { state: Mutex::default() }
    }

    pub(crate) fn add(&self, record: RequestRecord) {
        let mut state = lock(&self.state);
        if state.order.len() == MAX_RECORDS
            && let Some(oldest) = state.order.pop_front()
        {
            state.by_id.remove(&oldest);
        }
        state.order.push_back(record.id.clone());
        state.by_id.insert(record.id.clone(), record);
    }

    pub(crate) fn find(&self, id: &RequestId) -> Option<RequestRecord> {
        lock(&self.state).by_id.get(id).cloned()
    }
}
