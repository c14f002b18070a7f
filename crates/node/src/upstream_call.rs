//! Sends a call to an upstream of this instance and classifies the result.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use health::CallResult;
use hyper::StatusCode;
use hyper::http::{HeaderMap, HeaderName, HeaderValue, Request, header};
use log::{info, warn};
use model::{ResultCode, Time};
use payload::Payload;
use peer::CallReply;
use tokio::time::timeout_at;
use upstream::{AnswerIdentity, Reuse, UpstreamAnswer, UpstreamError};
use wire::{Call, Header};

use crate::guard::{ActiveAttempt, refused};
use crate::shared::{Node, lock, read};

/// Sends a call that holds a slot to its upstream and returns the reply for the entry node.
pub(crate) async fn run(
    node: &Arc<Node>,
    call: Call,
    addr: SocketAddr,
    body: Payload,
    active: ActiveAttempt,
) -> CallReply {
    let started = node.now();
    let Some(req) = upstream_request(node, &call, addr, body, call.start_by.since(started)) else {
        return refused(node, &call, ResultCode::MalformedRequest);
    };
    let reuse = node.guard.connection_reuse(&call.endpoint, started);
    let sent = node.upstreams.send(addr, req, reuse);
    let mut watch = OverdueWatch::start(node, &call, started);
    let result = watch.wait(sent).await;
    let is_overdue = watch.state == WatchState::Overdue;
    drop(watch);
    let running = RunningCall { call: &call, addr, started, is_overdue };
    match classify(node, &running, result) {
        Outcome::Answer(answer) => answer_reply(node, &call, answer, active, started),
        Outcome::Refused(code) => refused(node, &call, code),
        Outcome::Failed(code) => CallReply::Failed(code),
    }
}

/// Outcome of a call, by whether it may have run.
enum Outcome {
    Answer(UpstreamAnswer),
    /// The call was not run.
    Refused(ResultCode),
    /// The call may have run.
    Failed(ResultCode),
}

/// Reports a call to the health of its endpoint when it becomes overdue.
struct OverdueWatch<'a> {
    node: &'a Node,
    call: &'a Call,
    started: Time,
    overdue_at: Time,
    state: WatchState,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum WatchState {
    Running,
    Overdue,
    Ended,
}

impl<'a> OverdueWatch<'a> {
    fn start(node: &'a Node, call: &'a Call, started: Time) -> OverdueWatch<'a> {
        let overdue_at = started + node.guard.overdue_after(node, call);
        OverdueWatch { node, call, started, overdue_at, state: WatchState::Running }
    }

    /// Waits for the response to the call. Returns `None` if the deadline of the call passes first.
    async fn wait<T>(&mut self, sent: impl Future<Output = T>) -> Option<T> {
        tokio::pin!(sent);
        let clock = &self.node.clock;
        let deadline = clock.to_instant(self.call.start_by);
        let overdue_at = clock.to_instant(self.overdue_at).min(deadline);
        let mut result = timeout_at(overdue_at, sent.as_mut()).await.ok();
        if result.is_none() && overdue_at < deadline {
            self.report_overdue();
            result = timeout_at(deadline, sent).await.ok();
        }
        if self.state == WatchState::Running {
            self.state = WatchState::Ended;
        }
        result
    }

    fn report_overdue(&mut self) {
        self.state = WatchState::Overdue;
        self.node.guard.record_result(self.node, self.call, self.started, CallResult::Overdue);
    }
}

impl Drop for OverdueWatch<'_> {
    fn drop(&mut self) {
        // The entry has cancelled the call, perhaps because a second attempt was quicker. How long
        // this one has taken until now would otherwise stay unknown.
        if self.state == WatchState::Running && self.node.now() >= self.overdue_at {
            self.report_overdue();
        }
    }
}

/// A call that was sent to its upstream.
struct RunningCall<'a> {
    call: &'a Call,
    addr: SocketAddr,
    started: Time,
    /// Whether the call has been reported as overdue.
    is_overdue: bool,
}

/// Classifies the result of a call. `result` is `None` if the deadline passed first.
fn classify(
    node: &Arc<Node>,
    running: &RunningCall<'_>,
    result: Option<Result<UpstreamAnswer, UpstreamError>>,
) -> Outcome {
    let RunningCall { call, addr, started, .. } = *running;
    let record = |result| node.guard.record_result(node, call, started, result);
    match result {
        Some(Ok(answer)) => classify_answer(node, running, answer),
        Some(Err(UpstreamError::ConnectRefused)) => {
            record(CallResult::Broken);
            crate::announce::remove_refusing(node, &call.endpoint, addr);
            Outcome::Refused(ResultCode::ConnectFailed)
        }
        Some(Err(UpstreamError::ConnectFailed)) => {
            record(CallResult::Broken);
            Outcome::Refused(ResultCode::ConnectFailed)
        }
        Some(Err(UpstreamError::Lost)) => {
            record(CallResult::Broken);
            Outcome::Failed(ResultCode::UpstreamLost)
        }
        None => {
            // A call that had little time left says nothing about the health of the upstream.
            if node.now().since(started) >= HANG_THRESHOLD {
                record(CallResult::Broken);
            }
            Outcome::Failed(ResultCode::DeadlineAfterStart)
        }
    }
}

/// Time without a response after which an upstream counts as hanging. Calls in current deployments
/// take 50 to 300 ms.
const HANG_THRESHOLD: Duration = Duration::from_millis(900);

/// Checks that a response belongs to the request, was produced by the upstream itself and is valid.
///
/// Nothing in a response is evidence before its identity is known: it may be a second copy of the
/// response to an earlier request on the connection, while the upstream runs this one.
fn classify_answer(node: &Arc<Node>, running: &RunningCall<'_>, answer: UpstreamAnswer) -> Outcome {
    let RunningCall { call, addr, started, is_overdue } = *running;
    let names = node.headers();
    let record = |result| node.guard.record_result(node, call, started, result);
    let invalid = |reason: &str| {
        let (endpoint, id) = (&call.endpoint, &call.request);
        warn!("endpoint {endpoint} sent an invalid response to request {id} ({reason})");
        Outcome::Failed(ResultCode::AnswerInvalid)
    };
    if answer.identity == AnswerIdentity::Foreign {
        node.guard.suspend_reuse(&call.endpoint, node.now());
        record(CallResult::Broken);
        return invalid("the request id differs");
    }
    // An upstream that sends such a status is faulty, so a statement that it did not run the request
    // is no evidence either.
    if !answer.has_final_status() {
        record(CallResult::Broken);
        return invalid("the status code is not a final one");
    }
    if let Some(refusal) = Refusal::of(&answer, names.not_run) {
        if refusal == Refusal::NotRun {
            record(CallResult::Shed);
        }
        if answer.identity.is_certain() {
            if refusal == Refusal::OtherEndpoint {
                crate::announce::remove_replaced(node, &call.endpoint, addr);
            }
            return Outcome::Refused(refusal.code());
        }
        // The next refusals come on new connections, where they need no id to be believed.
        node.guard.suspend_reuse(&call.endpoint, node.now());
        return invalid("a refusal without a request id on a reused connection");
    }
    let invalid = |reason: &str| {
        record(CallResult::Broken);
        invalid(reason)
    };
    if names.trusts_caller && answer.identity != AnswerIdentity::Confirmed {
        node.guard.suspend_reuse(&call.endpoint, node.now());
        return invalid("the request id is missing");
    }
    if let Some(stamp) = names.stamp {
        if !answer.headers.contains_key(stamp) {
            return invalid("the response stamp header is missing");
        }
        if answer.headers.contains_key(header::CONTENT_ENCODING) {
            return invalid("the body has a content encoding");
        }
    }
    record(match answer.status {
        500.. if lock(&node.dependency_failures).take_failure_since(started) => {
            let (endpoint, id) = (&call.endpoint, &call.request);
            info!("endpoint {endpoint} failed request {id} because a call of its own failed");
            CallResult::DependencyFailed
        }
        500.. => CallResult::ServerError,
        _ if is_overdue => CallResult::SuccessAfterOverdue(node.now().since(started)),
        _ => CallResult::Success(node.now().since(started)),
    });
    Outcome::Answer(answer)
}

/// A statement of the upstream that it did not run the request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Refusal {
    /// Another endpoint is now listening at the address.
    OtherEndpoint,
    /// The endpoint declined the request, for example because it is full.
    NotRun,
}

impl Refusal {
    fn of(answer: &UpstreamAnswer, not_run_header: &str) -> Option<Refusal> {
        if answer.status == StatusCode::MISDIRECTED_REQUEST.as_u16() {
            return Some(Refusal::OtherEndpoint);
        }
        answer.headers.contains_key(not_run_header).then_some(Refusal::NotRun)
    }

    fn code(self) -> ResultCode {
        match self {
            Refusal::OtherEndpoint => ResultCode::EndpointReplaced,
            Refusal::NotRun => ResultCode::UpstreamShed,
        }
    }
}

/// Turns the response of the upstream into the reply for the entry node.
fn answer_reply(
    node: &Node,
    call: &Call,
    answer: UpstreamAnswer,
    active: ActiveAttempt,
    started: Time,
) -> CallReply {
    let took = node.now().since(started);
    let UpstreamAnswer { status, headers, body, .. } = answer;
    // The slot stays in use until the whole response has been read from the upstream. A body without
    // end, or one that its caller does not read, must not hold it longer than any other call.
    let body = body.relay_until(node.clock.to_instant(call.start_by), Box::new(active));
    let load = node.guard.load(&call.endpoint).or_else(|| removed_endpoint_load(call));
    let Some(load) = load else {
        warn!("endpoint {} was removed before its response was forwarded", call.endpoint);
        return CallReply::Failed(ResultCode::UpstreamLost);
    };
    let headers = answer_headers(&headers);
    let revisions = read(&node.config).revisions();
    CallReply::Answer { status, headers, body, load, revisions, took }
}

/// Load reported for an endpoint that was removed during this call.
fn removed_endpoint_load(call: &Call) -> Option<wire::EndpointLoad> {
    let report = model::LoadReport {
        slots: model::Slots(0),
        running: 0,
        queued: 0,
        mean_service: Duration::ZERO,
    };
    Some(wire::EndpointLoad { endpoint: call.endpoint.clone(), report })
}

/// Builds the request to the upstream. Returns `None` if the method, the target or a header is
/// invalid.
fn upstream_request(
    node: &Node,
    call: &Call,
    addr: SocketAddr,
    body: Payload,
    time_left: Duration,
) -> Option<Request<Payload>> {
    let mut req = Request::builder().method(&*call.head.method).uri(&*call.head.target);
    let headers = req.headers_mut()?;
    for header in &call.head.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(&header.value).ok()?);
    }
    let mut set = |name: &'static str, value: &str| {
        headers.insert(name, HeaderValue::from_str(value).ok()?);
        Some(())
    };
    let names = node.headers();
    set(names.request_id, call.request.as_str())?;
    set(names.deadline_ms, &time_left.as_millis().to_string())?;
    if let (Some(name), Some((account, _))) = (names.account, &call.account) {
        set(name, account.as_str())?;
    }
    if let (Some(name), Some(service)) = (names.caller_service, &call.caller_service) {
        set(name, service.as_str())?;
    }
    if let Some(name) = names.expected_endpoint {
        set(name, call.endpoint.as_str())?;
    }
    if !headers.contains_key(header::HOST) {
        headers.insert(header::HOST, HeaderValue::from_str(&addr.to_string()).ok()?);
    }
    req.body(body).ok()
}

/// Headers of a response without the hop-by-hop ones.
fn answer_headers(headers: &HeaderMap) -> Vec<Header> {
    let end_to_end =
        headers.iter().filter(|(name, _)| !caller::HOP_HEADERS.contains(&name.as_str()));
    end_to_end
        .map(|(name, value)| Header {
            name: name.as_str().into(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

/// Time for which connections to an endpoint are not reused after a response to another request.
const REUSE_SUSPENSION: Duration = Duration::from_secs(5);

impl crate::guard::LocalGuard {
    /// Stops connection reuse for an endpoint that sent a response to another request.
    fn suspend_reuse(&self, endpoint: &model::EndpointName, now: Time) {
        lock(&self.reuse_suspended_until).insert(endpoint.clone(), now + REUSE_SUSPENSION);
    }

    /// Whether calls to an endpoint may reuse connections.
    fn connection_reuse(&self, endpoint: &model::EndpointName, now: Time) -> Reuse {
        let mut suspended = lock(&self.reuse_suspended_until);
        match suspended.get(endpoint) {
            Some(until) if now < *until => Reuse::Never,
            Some(_) => {
                suspended.remove(endpoint);
                Reuse::Allowed
            }
            None => Reuse::Allowed,
        }
    }
}
