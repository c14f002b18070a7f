//! The guard role: runs attempts at the endpoints of this instance.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use admission::{
    Attempt, Cancelled, Check, Checks, Decision, Drain, FenceAnswer, Guard, GuardLimits, Patience,
    Standing, StopState, Verdict,
};
use config::Replica;
use health::CallResult;
use hyper::http::{HeaderMap, HeaderName, HeaderValue, Request};
use log::warn;
use model::{
    Access, AccountName, AttemptId, Endpoint, EndpointName, KeyId, Rate, ResultCode, Revision, Time,
};
use payload::Payload;
use peer::CallReply;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout_at};
use upstream::{UpstreamAnswer, UpstreamError};
use wire::{Call, EndpointLoad, FenceStatus, Header};

use crate::shared::{Node, lock, read};

/// Longest pause between two looks at the queues.
const MAX_TICK: Duration = Duration::from_millis(250);

/// Shortest pause between two looks at the queues.
const MIN_TICK: Duration = Duration::from_millis(2);

/// Rate by which all calls on open routes together are served, against those of the accounts.
const OPEN_RATE: Rate = Rate::per_second(100);

/// Header by which an upstream says that it refused a call without running it.
const NOT_RUN_HEADER: &str = "x-not-run";

/// Header that tells an upstream how many milliseconds are left.
const DEADLINE_HEADER: &str = "x-deadline-ms";

/// The guard core with what belongs to each attempt in it.
pub(crate) struct LocalGuard {
    state: Mutex<State>,
    marks: Mutex<(Revision, Vec<EndpointName>)>,
}

struct State {
    core: Guard,
    waiting: HashMap<AttemptId, oneshot::Sender<Decision>>,
    credentials: HashMap<AttemptId, Credentials>,
}

/// What an attempt shows for the checks of the guard.
struct Credentials {
    account: Option<(AccountName, KeyId)>,
    revision: Revision,
}

impl LocalGuard {
    pub(crate) fn new() -> LocalGuard {
        let state = State {
            core: Guard::new(GuardLimits::default()),
            waiting: HashMap::new(),
            credentials: HashMap::new(),
        };
        LocalGuard { state: Mutex::new(state), marks: Mutex::default() }
    }

    /// Tells which endpoints were marked when the marks were last applied, or `None` if they have
    /// not changed since.
    pub(crate) fn marked(&self, revision: Revision) -> Option<Vec<EndpointName>> {
        let mut marks = lock(&self.marks);
        if marks.0 >= revision {
            return None;
        }
        marks.0 = revision;
        Some(std::mem::take(&mut marks.1))
    }

    /// Applies the drain marks of the operators.
    pub(crate) fn set_marks(
        &self,
        node: &Node,
        drained: &[(EndpointName, Drain)],
        current: Vec<EndpointName>,
    ) {
        lock(&self.marks).1 = current;
        for (endpoint, drain) in drained {
            self.change(node, |core, now, checks| core.set_drain(endpoint, *drain, now, checks));
        }
    }

    pub(crate) fn announce(&self, node: &Node, endpoint: &Endpoint) {
        let Endpoint { name, slots, state, .. } = endpoint;
        self.change(node, |core, now, checks| core.announce(name, *slots, *state, now, checks));
    }

    pub(crate) fn gone(&self, node: &Node, endpoint: &EndpointName) {
        self.change(node, |core, now, checks| core.gone(endpoint, now, checks));
    }

    pub(crate) fn stop(&self) {
        lock(&self.state).core.stop();
    }

    pub(crate) fn is_empty(&self) -> bool {
        lock(&self.state).core.stop_state() == StopState::Empty
    }

    pub(crate) fn fence(&self, attempt: AttemptId, start_by: Time, now: Time) -> FenceStatus {
        let mut state = lock(&self.state);
        let (answer, verdict) = state.core.fence(attempt, start_by, now);
        state.dispatch(verdict);
        match answer {
            FenceAnswer::NotRun => FenceStatus::NotRun,
            FenceAnswer::Running => FenceStatus::Running,
            FenceAnswer::Ran => FenceStatus::Ran,
            FenceAnswer::Unknown => FenceStatus::Unknown,
        }
    }

    /// Load of all endpoints, for heartbeats.
    pub(crate) fn loads(&self, endpoints: &[Endpoint]) -> Vec<EndpointLoad> {
        let state = lock(&self.state);
        endpoints.iter().filter_map(|endpoint| state.load(&endpoint.name)).collect()
    }

    fn load(&self, endpoint: &EndpointName) -> Option<EndpointLoad> {
        lock(&self.state).load(endpoint)
    }

    fn change(
        &self,
        node: &Node,
        event: impl FnOnce(&mut Guard, Time, &dyn Checks) -> Vec<Verdict>,
    ) {
        let mut state = lock(&self.state);
        let State { core, credentials, .. } = &mut *state;
        let checks = GuardChecks { node, credentials };
        let verdicts = event(core, node.now(), &checks);
        state.dispatch(verdicts);
    }

    fn wakeup(&self) -> Option<Time> {
        lock(&self.state).core.wakeup()
    }
}

impl State {
    fn load(&self, endpoint: &EndpointName) -> Option<EndpointLoad> {
        let report = self.core.load(endpoint)?;
        Some(EndpointLoad { endpoint: endpoint.clone(), report })
    }

    /// Tells the waiting attempts what was decided about them.
    fn dispatch(&mut self, verdicts: impl IntoIterator<Item = Verdict>) {
        for Verdict { attempt, decision } in verdicts {
            if let Some(tx) = self.waiting.remove(&attempt) {
                let _ = tx.send(decision);
            }
        }
    }
}

/// The checks that need the configuration or the lease.
struct GuardChecks<'a> {
    node: &'a Node,
    credentials: &'a HashMap<AttemptId, Credentials>,
}

impl Checks for GuardChecks<'_> {
    fn check(&self, attempt: &Attempt) -> Check {
        let Some(shown) = self.credentials.get(&attempt.id) else {
            return Check::Refused(ResultCode::KeyMissing);
        };
        match self.refusal(attempt, shown) {
            None => Check::Allowed,
            Some(code) => Check::Refused(code),
        }
    }
}

impl GuardChecks<'_> {
    fn refusal(&self, attempt: &Attempt, shown: &Credentials) -> Option<ResultCode> {
        let config = read(&self.node.config);
        // The entry has decided by a newer configuration; its key or route may be unknown here for
        // that reason alone, so that another endpoint should be tried.
        let behind = (shown.revision > config.revision()).then_some(ResultCode::NotSynced);
        let Some(route) = config.route_named(attempt.route.as_str()) else {
            return behind.or(Some(ResultCode::NoRoute));
        };
        if route.policy().access == Access::Open {
            return None;
        }
        if let Err(code) = require_lease(self.node) {
            return Some(code);
        }
        let Some((account, key)) = &shown.account else {
            return Some(ResultCode::KeyMissing);
        };
        let entry = config.key(key.as_str());
        let is_valid = entry.is_some_and(|entry| entry.account() == account.as_str())
            && config.account(account.as_str()).is_some();
        if is_valid { None } else { behind.or(Some(ResultCode::KeyRejected)) }
    }
}

/// Checks that the configuration of this node is confirmed, so that a key may be accepted.
pub(crate) fn require_lease(node: &Node) -> Result<(), ResultCode> {
    let now = node.now();
    let lease = lock(&node.lease);
    if !lease.is_synced() {
        return Err(ResultCode::NotSynced);
    }
    if lease.is_valid(now) { Ok(()) } else { Err(ResultCode::NoQuorum) }
}

/// Runs one attempt.
pub(crate) async fn serve(node: &Arc<Node>, call: Call, body: Payload) -> CallReply {
    let Some(addr) = endpoint_addr(node, &call.endpoint) else {
        return CallReply::Refused { code: ResultCode::EndpointUnknown, load: None };
    };
    let refused = |code| CallReply::Refused { code, load: node.guard.load(&call.endpoint) };
    let active = match arrive(node, &call) {
        Arrived::Refused(code) => return refused(code),
        Arrived::Started(active) => active,
        Arrived::Queued(active, rx) => match rx.await {
            Ok(Decision::Start) => active,
            Ok(Decision::Refuse(code)) => return refused(code),
            Ok(Decision::Queued) | Err(_) => return refused(ResultCode::Stopping),
        },
    };
    run(node, call, addr, body, active).await
}

fn endpoint_addr(node: &Node, endpoint: &EndpointName) -> Option<std::net::SocketAddr> {
    lock(&node.announcements).endpoint(endpoint).map(|endpoint| endpoint.addr)
}

enum Arrived {
    Started(Active),
    Queued(Active, oneshot::Receiver<Decision>),
    Refused(ResultCode),
}

fn arrive(node: &Arc<Node>, call: &Call) -> Arrived {
    let id = call.attempt;
    let attempt = Attempt {
        id,
        endpoint: call.endpoint.clone(),
        route: call.route.clone(),
        account: call.account.as_ref().map(|(account, _)| account.clone()),
        rate: account_rate(node, call),
        standing: if call.over_rate { Standing::OverRate } else { Standing::WithinRate },
        start_by: call.start_by,
        patience: call.patience.map_or(Patience::UntilStartBy, Patience::AtMost),
    };
    let mut state = lock(&node.guard.state);
    // A repeated frame must not disturb the attempt that it repeats.
    let is_first = !state.credentials.contains_key(&id);
    if is_first {
        let shown = Credentials { account: call.account.clone(), revision: call.revision };
        state.credentials.insert(id, shown);
    }
    let State { core, credentials, .. } = &mut *state;
    let checks = GuardChecks { node, credentials };
    let mut verdicts = core.arrive(attempt, node.now(), &checks).into_iter();
    let decision = verdicts.next().map(|verdict| verdict.decision);
    state.dispatch(verdicts);
    let active = || Active { node: Arc::clone(node), id };
    match decision {
        Some(Decision::Start) => Arrived::Started(active()),
        Some(Decision::Queued) => {
            let (tx, rx) = oneshot::channel();
            state.waiting.insert(id, tx);
            Arrived::Queued(active(), rx)
        }
        refusal => {
            if is_first {
                state.credentials.remove(&id);
            }
            match refusal {
                Some(Decision::Refuse(code)) => Arrived::Refused(code),
                _ => Arrived::Refused(ResultCode::EndpointUnknown),
            }
        }
    }
}

/// The rate of the account that pays for a call; slots are shared in proportion to it.
fn account_rate(node: &Node, call: &Call) -> Rate {
    let Some((account, _)) = &call.account else { return OPEN_RATE };
    let config = read(&node.config);
    config.account(account.as_str()).map_or(OPEN_RATE, |account| account.value().rate)
}

/// An attempt in the queue or in a slot. Dropping it frees its place.
struct Active {
    node: Arc<Node>,
    id: AttemptId,
}

impl Drop for Active {
    fn drop(&mut self) {
        let now = self.node.now();
        let mut state = lock(&self.node.guard.state);
        state.waiting.remove(&self.id);
        let State { core, credentials, .. } = &mut *state;
        let verdicts = match core.cancel(self.id, now) {
            Cancelled::Running => {
                let checks = GuardChecks { node: &self.node, credentials };
                core.finish(self.id, now, &checks)
            }
            Cancelled::Dequeued | Cancelled::NotActive => Vec::new(),
        };
        state.credentials.remove(&self.id);
        state.dispatch(verdicts);
    }
}

async fn run(
    node: &Arc<Node>,
    call: Call,
    addr: std::net::SocketAddr,
    body: Payload,
    active: Active,
) -> CallReply {
    let started = node.now();
    let deadline = node.clock.instant(call.start_by);
    let refused = |code| CallReply::Refused { code, load: node.guard.load(&call.endpoint) };
    let record = |result| {
        node.health.record(node, &call.route, &call.endpoint, result, node.now().since(started));
    };
    let Some(req) = upstream_request(&call, addr, body, call.start_by.since(started)) else {
        return refused(ResultCode::MalformedRequest);
    };
    let answer = match timeout_at(deadline, node.upstreams.send(addr, req)).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(UpstreamError::ConnectRefused)) => {
            record(CallResult::ConnectFailure);
            crate::announce::withdraw(node, &call.endpoint, addr);
            return refused(ResultCode::ConnectFailed);
        }
        Ok(Err(UpstreamError::ConnectFailed)) => {
            record(CallResult::ConnectFailure);
            return refused(ResultCode::ConnectFailed);
        }
        Ok(Err(UpstreamError::Lost)) => {
            record(CallResult::ConnectionLost);
            return CallReply::Failed(ResultCode::UpstreamLost);
        }
        Err(_) => {
            record(CallResult::Deadline);
            return CallReply::Failed(ResultCode::DeadlineAfterStart);
        }
    };
    if answer.status == 503 && answer.headers.contains_key(NOT_RUN_HEADER) {
        return refused(ResultCode::UpstreamShed);
    }
    record(if answer.status < 500 { CallResult::Success } else { CallResult::ServerError });
    answered(node, &call.endpoint, answer, active)
}

fn answered(
    node: &Node,
    endpoint: &EndpointName,
    answer: UpstreamAnswer,
    active: Active,
) -> CallReply {
    let UpstreamAnswer { status, headers, body } = answer;
    if !(200..=599).contains(&status) {
        return CallReply::Failed(ResultCode::AnswerInvalid);
    }
    // The slot is in use until the whole answer has been read from the upstream.
    let body = body.hold(Box::new(active));
    let Some(load) = node.guard.load(endpoint) else {
        warn!("endpoint {endpoint} went away before its answer was passed on");
        return CallReply::Failed(ResultCode::UpstreamLost);
    };
    CallReply::Answer { status, headers: answer_headers(&headers), body, load }
}

fn upstream_request(
    call: &Call,
    addr: std::net::SocketAddr,
    body: Payload,
    left: Duration,
) -> Option<Request<Payload>> {
    let mut req = Request::builder().method(&*call.head.method).uri(&*call.head.target);
    let headers = req.headers_mut()?;
    for header in &call.head.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(&header.value).ok()?);
    }
    if !headers.contains_key("host") {
        headers.insert("host", HeaderValue::from_str(&addr.to_string()).ok()?);
    }
    let id = HeaderValue::from_str(call.request.as_str()).ok()?;
    headers.insert(caller::REQUEST_ID_HEADER, id);
    headers.insert(DEADLINE_HEADER, HeaderValue::from(left.as_millis() as u64));
    req.body(body).ok()
}

fn answer_headers(headers: &HeaderMap) -> Vec<Header> {
    let kept = headers.iter().filter(|(name, _)| !caller::HOP_HEADERS.contains(&name.as_str()));
    kept.map(|(name, value)| Header {
        name: name.as_str().into(),
        value: value.as_bytes().to_vec(),
    })
    .collect()
}

/// Refuses queued attempts in time and notices endpoints whose announcements have stopped.
pub(crate) async fn tick(node: Arc<Node>) {
    loop {
        let now = node.now();
        let pause = node.guard.wakeup().map_or(MAX_TICK, |at| at.since(now));
        sleep(pause.clamp(MIN_TICK, MAX_TICK)).await;
        node.guard.change(&node, |core, now, checks| core.tick(now, checks));
        crate::announce::expire(&node);
    }
}

/// The drain marks in a configuration.
pub(crate) fn drains(config: &Replica, removed: &[EndpointName]) -> Vec<(EndpointName, Drain)> {
    let marked = config.marks().map(|(name, mark)| {
        let drain = if mark.value().drained { Drain::Drained } else { Drain::InUse };
        (name.clone(), drain)
    });
    marked.chain(removed.iter().map(|name| (name.clone(), Drain::InUse))).collect()
}
