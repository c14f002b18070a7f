//! Entry role: authenticates, rate-limits and routes the requests of callers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use caller::{CallerHandler, CallerRequest, PendingAnswer, PresentedKey, Refusal, error_answer};
use config::{Configuration, KeyEntry, RouteEntry};
use hyper::http::{HeaderName, HeaderValue, Method, Response, StatusCode};
use model::{
    Access, Account, AccountName, CallerLimits, KeyId, Outcome, Percent, RequestId, ResultCode,
    RouteName, ServiceName, Time,
};
use payload::{BodyCut, Payload, ReadAhead};
use peer::CallAnswer;
use routing::{
    AgedLoad, Balancer, BalancerParams, Idempotence, LatestLoad, LoadPolicy, RandomSource,
    StartupStep, startup_step,
};
use settings::LoadEstimate;
use tokio::time::timeout_at;
use wire::{Head, Header};

use crate::attempts::{MAX_HEDGES, RequestExecution};
use crate::latencies::RouteLatencies;
use crate::limiter::TokenDenied;
use crate::logging;
use crate::metrics::RequestEndLabel;
use crate::records::{RequestEnd, RequestRecord};
use crate::shared::{Node, lock, read};
use crate::stop;

/// Maximum size of a request body that is buffered in memory so that a retry can send it again.
const MAX_REPLAY_BODY_BYTES: usize = 64 * 1024;

/// Fraction of the request timeout, as a divisor, that a request may wait for a rate limit token.
const TOKEN_WAIT_DIVISOR: u32 = 10;

/// Percentage of the request timeout that a call may wait for a slot. The rest roughly covers the
/// execution of a call and leaves the caller of a refused request time to go elsewhere: the users'
/// platform charges a refusal after three quarters of the timeout like a lost request.
const MAX_QUEUE_WAIT_PERCENT: u32 = 50;

/// Handles the requests of callers.
#[derive(Clone)]
pub(crate) struct Entry {
    pub(crate) node: Arc<Node>,
    balancer: Balancer,
    latencies: Arc<RouteLatencies>,
}

impl Entry {
    pub(crate) fn new(node: Arc<Node>) -> Entry {
        let balancer = balancer(&node);
        Entry { node, balancer, latencies: Arc::default() }
    }
}

/// Creates a balancer as the settings of the node ask for.
pub(crate) fn balancer(node: &Node) -> Balancer {
    let policy: Arc<dyn LoadPolicy> = match node.settings.routing.load_estimate {
        LoadEstimate::Latest => Arc::new(LatestLoad),
        LoadEstimate::Aged => Arc::new(AgedLoad::default()),
    };
    Balancer::with_policy(node.info().domain.clone(), BalancerParams::default(), policy)
}

impl CallerHandler for Entry {
    fn handle(&self, req: CallerRequest) -> PendingAnswer {
        let entry = self.clone();
        Box::pin(async move { handle_request(entry, req).await })
    }

    fn may_start_early(&self, method: &Method, host: &str, target: &str) -> bool {
        let config = read(&self.node.config);
        config
            .route(host, target)
            .is_some_and(|route| route.policy().is_idempotent(method.as_str()))
    }

    fn limits(&self) -> CallerLimits {
        read(&self.node.config).caller_limits()
    }

    fn refused(&self, id: &RequestId, code: ResultCode) {
        RequestTrace::new(&self.node, id.clone(), "", "", "").finish(RequestEnd::Coded(code));
    }
}

/// Collects the record of a request in progress and publishes it to the metrics, the decision log and
/// the recent requests on drop. If it is dropped before [`RequestTrace::finish`], the caller has
/// disconnected.
pub(crate) struct RequestTrace {
    node: Arc<Node>,
    pub(crate) record: RequestRecord,
    pub(crate) started: Time,
}

impl RequestTrace {
    fn new(
        node: &Arc<Node>,
        id: RequestId,
        method: &str,
        host: &str,
        target: &str,
    ) -> RequestTrace {
        let path = target.split('?').next().unwrap_or_default();
        let (revisions, started) = (read(&node.config).revisions(), node.now());
        let record = RequestRecord {
            id,
            method: method.into(),
            host: host.into(),
            path: path.into(),
            route: None,
            account: None,
            revisions,
            config_age: node.platform.config_age(revisions.imported),
            attempts: Vec::new(),
            end: RequestEnd::CallerGone,
            duration: Duration::ZERO,
        };
        RequestTrace { node: Arc::clone(node), record, started }
    }

    /// Sets how the request ended; dropping the trace publishes the record.
    fn finish(mut self, end: RequestEnd) {
        self.record.end = end;
    }
}

impl Drop for RequestTrace {
    fn drop(&mut self) {
        let node = &self.node;
        self.record.duration = node.now().since(self.started);
        let end = self.record.end.label();
        node.metrics.requests.get_or_create(&RequestEndLabel { end }).inc();
        node.metrics.request_seconds.observe(self.record.duration.as_secs_f64());
        if log::log_enabled!(target: logging::DECISION_TARGET, log::Level::Info) {
            log::info!(target: logging::DECISION_TARGET, "{}", self.record.to_json());
        }
        node.recent_requests.add(self.record.clone());
    }
}

async fn handle_request(entry: Entry, req: CallerRequest) -> Response<Payload> {
    let node = &entry.node;
    let id = req.id.clone();
    let mut trace =
        RequestTrace::new(node, id.clone(), req.method.as_str(), &req.host, &req.target);
    match process_request(&entry, req, &mut trace).await {
        Ok(answer) => {
            trace.finish(RequestEnd::Answered(answer.status));
            to_response(answer)
        }
        Err(refusal) => {
            trace.finish(RequestEnd::Coded(refusal.code));
            error_answer(refusal, &id)
        }
    }
}

async fn process_request(
    Entry { node, balancer, latencies }: &Entry,
    mut req: CallerRequest,
    trace: &mut RequestTrace,
) -> Result<CallAnswer, Refusal> {
    wait_for_startup(node, trace.started, req.waits).await;
    if !node.is_synced() {
        return Err(ResultCode::NotSynced.into());
    }
    let (route, revisions) = {
        let config = read(&node.config);
        let route = config.route(&req.host, &req.target).cloned();
        (route.ok_or(ResultCode::NoRoute)?, config.revisions())
    };
    let route_name: RouteName = route.name().parse().map_err(|_| ResultCode::NoRoute)?;
    trace.record.route = Some(route_name.clone());
    let timeout = req.waits.map_or(route.policy().timeout(), |w| w.min(route.policy().timeout()));
    let deadline = deadline(node, trace.started + timeout);
    let identity = match route.policy().access {
        Access::Open => None,
        Access::Keyed => Some(authenticate(node, &req.key)?),
    };
    if let Some((account, _, limits)) = &identity {
        trace.record.account = Some(account.clone());
        let wait_until = token_wait_until(trace.started, timeout);
        let acquired = node.limiter.acquire(node, account, limits, wait_until).await;
        acquired.map_err(|TokenDenied { code, retry_after }| Refusal { code, retry_after })?;
    }
    let (body, replay) =
        buffer_body(std::mem::replace(&mut req.body, Payload::empty()), node, deadline).await?;
    let idempotence = idempotence(&route, &req.method);
    let priority = priority(&route, identity.as_ref().map(|(.., account)| account));
    let head = forwarded_head(&req, replay.as_ref());
    let service = choose_service(node, &route);
    let mut execution = RequestExecution {
        node,
        balancer,
        latencies,
        route: &route,
        service,
        route_name,
        idempotence,
        deadline,
        queue_until: trace.started + timeout * MAX_QUEUE_WAIT_PERCENT / 100,
        goal_by: route.policy().goal().map(|goal| trace.started + goal),
        // Most requests without a key come from upstreams. A caller that has a key sends it with
        // every request.
        retry_origin_percent: match identity {
            None => node.guard.retry_origin(req.waits.map(|waits| trace.started + waits)),
            Some(_) => Percent::ZERO,
        },
        over_rate: identity
            .as_ref()
            .is_some_and(|(account, ..)| node.limiter.is_over_rate(account, node.now())),
        account: identity.map(|(account, key, _)| (account, key)),
        priority,
        revisions,
        request: req.id,
        head,
        body,
        replay,
        tried: Vec::new(),
        busy: Vec::new(),
        suspects: Vec::new(),
        evacuated: Vec::new(),
        hedges_left: MAX_HEDGES,
        trace,
    };
    let result = execution.run_attempts().await;
    let is_failure = result.as_ref().map_or(true, |answer| answer.status >= 500);
    // Most calls on open routes come from the upstreams on the same instance as this node. Their
    // failures explain server errors of these upstreams.
    if is_failure && route.policy().access == Access::Open {
        lock(&node.dependency_failures).record(node.now());
    }
    result.map_err(|code| superseded_code(node, &route, &req.key, code).into())
}

/// Deadline of a request. A guard refuses a call that can't end before the node exits, so it can still go
/// elsewhere.
pub(crate) fn deadline(node: &Node, deadline: Time) -> Time {
    stop::last_answers_by(node).map_or(deadline, |latest| deadline.min(latest))
}

/// Time until which a request waits for a token.
pub(crate) fn token_wait_until(arrived: Time, timeout: Duration) -> Time {
    arrived + timeout / TOKEN_WAIT_DIVISOR
}

pub(crate) fn idempotence(route: &RouteEntry, method: &Method) -> Idempotence {
    match route.policy().is_idempotent(method.as_str()) {
        true => Idempotence::Idempotent,
        false => Idempotence::NonIdempotent,
    }
}

/// Priority of a request with a key of this account, or without a key.
pub(crate) fn priority(route: &RouteEntry, account: Option<&Account>) -> u8 {
    match account {
        Some(account) => account.priority.unwrap_or(route.policy().priority),
        // Most requests without a key are nested calls of upstreams, which hold a slot while they
        // wait for the response, so they get the highest priority.
        None => 0,
    }
}

/// Lets a request wait while the node starts and is likely to have its configuration soon.
async fn wait_for_startup(node: &Node, arrived: Time, caller_waits: Option<Duration>) {
    match startup_step(node.is_loaded(), arrived, caller_waits, node.now()) {
        StartupStep::Handle => {}
        StartupStep::WaitUntil(latest) => {
            node.platform.wait_until_loaded(node.clock.to_instant(latest)).await;
        }
    }
}

/// If the request was not run and the current configuration no longer allows it, returns that reason;
/// otherwise returns `code`.
fn superseded_code(
    node: &Node,
    route: &RouteEntry,
    key: &PresentedKey,
    code: ResultCode,
) -> ResultCode {
    if code.outcome() != Outcome::NotRun {
        return code;
    }
    let current = match route.name().parse() {
        Ok(name) => read(&node.config).route_by_name(&name).cloned(),
        Err(_) => None,
    };
    match current {
        None => ResultCode::NoRoute,
        Some(route) if route.policy().access == Access::Open => code,
        Some(_) => authenticate(node, key).err().unwrap_or(code),
    }
}

/// Selects the service of a request at random, by the weights of the route's split. The service is
/// selected once per request and not changed when it has no capacity, because moving the excess to
/// another service would distort the weights.
fn choose_service(node: &Node, route: &RouteEntry) -> ServiceName {
    let policy = route.policy();
    match policy.total_weight() {
        0 => policy.service.clone(),
        total => policy.service_at(lock(&node.rng).below(total as usize) as u64).clone(),
    }
}

/// Verifies a key and returns its account.
fn authenticate(
    node: &Node,
    key: &PresentedKey,
) -> Result<(AccountName, KeyId, Account), ResultCode> {
    let key = match key {
        PresentedKey::Absent => return Err(ResultCode::KeyMissing),
        PresentedKey::Malformed => return Err(ResultCode::KeyRejected),
        PresentedKey::One(key) => key,
    };
    let config = read(&node.config);
    let entry = config.key(key.id().as_str()).ok_or(ResultCode::KeyRejected)?;
    if !entry.value().matches(key) {
        return Err(ResultCode::KeyRejected);
    }
    let (name, account) = account_of_key(&config, entry)?;
    Ok((name, key.id().clone(), account))
}

/// Returns the client account of a key.
pub(crate) fn account_of_key(
    config: &Configuration,
    key: &KeyEntry,
) -> Result<(AccountName, Account), ResultCode> {
    let account = config.account(key.account()).ok_or(ResultCode::KeyRejected)?;
    let name = key.account().parse().map_err(|_| ResultCode::KeyRejected)?;
    Ok((name, account.value().clone()))
}

/// Buffers a body of up to [`MAX_REPLAY_BODY_BYTES`] so that a retry can send it again; a longer one
/// is streamed. No attempt has been made yet, so a body that can't be read is refused as not run.
async fn buffer_body(
    body: Payload,
    node: &Node,
    deadline: Time,
) -> Result<(Payload, Option<Bytes>), ResultCode> {
    let read =
        timeout_at(node.clock.to_instant(deadline), body.read_ahead(MAX_REPLAY_BODY_BYTES)).await;
    match read {
        Err(_) | Ok(ReadAhead::Cut(BodyCut::Stalled)) => Err(ResultCode::BodyTimeout),
        Ok(ReadAhead::Whole(bytes)) => Ok((Payload::empty(), Some(bytes))),
        Ok(ReadAhead::Longer(rest)) => Ok((rest, None)),
        Ok(ReadAhead::Cut(BodyCut::TooLarge)) => Err(ResultCode::BodyTooLarge),
        Ok(ReadAhead::Cut(_)) => Err(ResultCode::MalformedRequest),
    }
}

/// Builds the request head that is sent to the endpoint.
fn forwarded_head(req: &CallerRequest, replay: Option<&Bytes>) -> Head {
    let mut headers: Vec<Header> = req
        .headers
        .iter()
        .map(|(name, value)| Header {
            name: name.as_str().into(),
            value: value.as_bytes().to_vec(),
        })
        .collect();
    // The HTTP library frames a buffered body; a streamed body keeps the length that the caller
    // declared.
    if let (None, Some(length)) = (replay, req.body_length) {
        let value = length.to_string().into_bytes();
        headers.push(Header { name: "content-length".into(), value });
    }
    Head { method: req.method.as_str().into(), target: req.target.clone(), headers }
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
