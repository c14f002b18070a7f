//! The entry role: serves callers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use caller::{CallerHandler, CallerRequest, PendingAnswer, PresentedKey, Refusal, error_answer};
use config::RouteEntry;
use hyper::http::{HeaderName, HeaderValue, Response, StatusCode};
use model::{
    Access, Account, AccountName, KeyId, Outcome, Percent, RequestId, ResultCode, RouteName,
    ServiceName, Time,
};
use payload::{BodyCut, Payload, ReadAhead};
use peer::CallAnswer;
use routing::{Balancer, BalancerParams, Idempotence, RandomSource};
use tokio::time::timeout_at;
use wire::{Head, Header};

use crate::attempts::Run;
use crate::limiter::Overdrawn;
use crate::logging;
use crate::metrics::EndLabel;
use crate::records::{End, RequestRecord};
use crate::shared::{Node, lock, read};

/// Bodies up to this size, in bytes, are kept so that they can be sent again.
const REPLAY_BYTES: usize = 64 * 1024;

/// Part of a call's time that it may wait for a rate limit token.
const TOKEN_WAIT_SHARE: u32 = 10;

/// Part of a call's time, in percent, that it may wait for a slot. What is left afterwards is about the
/// work of a call, and lets the caller of a refused one turn elsewhere. The users' platform charges a
/// refusal after three quarters of the time like a lost request.
const QUEUE_PERCENT: u32 = 50;

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
        Trace::new(&self.node, id.clone(), "", "", "").finish(End::Coded(code));
    }
}

/// What is recorded of a request while it is served. One that is dropped before the end belongs to a
/// caller that went away.
pub(crate) struct Trace {
    node: Arc<Node>,
    pub(crate) record: RequestRecord,
    pub(crate) started: Time,
}

impl Trace {
    fn new(node: &Arc<Node>, id: RequestId, method: &str, host: &str, target: &str) -> Trace {
        let path = target.split('?').next().unwrap_or_default();
        let record = RequestRecord {
            id,
            method: method.into(),
            host: host.into(),
            path: path.into(),
            route: None,
            account: None,
            revisions: read(&node.config).revisions(),
            attempts: Vec::new(),
            end: End::CallerGone,
            took: Duration::ZERO,
        };
        Trace { node: Arc::clone(node), record, started: node.now() }
    }

    /// Ends the record; it is written when the trace is dropped.
    fn finish(mut self, end: End) {
        self.record.end = end;
    }
}

impl Drop for Trace {
    fn drop(&mut self) {
        let node = &self.node;
        self.record.took = node.now().since(self.started);
        let end = self.record.end.label();
        node.metrics.requests.get_or_create(&EndLabel { end }).inc();
        node.metrics.seconds.observe(self.record.took.as_secs_f64());
        if log::log_enabled!(target: logging::DECISIONS, log::Level::Info) {
            log::info!(target: logging::DECISIONS, "{}", self.record.to_json());
        }
        node.records.add(self.record.clone());
    }
}

async fn serve(node: Arc<Node>, balancer: Balancer, req: CallerRequest) -> Response<Payload> {
    let id = req.id.clone();
    let mut trace = Trace::new(&node, id.clone(), req.method.as_str(), &req.host, &req.target);
    match route_and_run(&node, &balancer, req, &mut trace).await {
        Ok(answer) => {
            trace.finish(End::Answered(answer.status));
            to_response(answer)
        }
        Err(refusal) => {
            trace.finish(End::Coded(refusal.code));
            error_answer(refusal, &id)
        }
    }
}

async fn route_and_run(
    node: &Arc<Node>,
    balancer: &Balancer,
    mut req: CallerRequest,
    trace: &mut Trace,
) -> Result<CallAnswer, Refusal> {
    if !node.is_synced() {
        return Err(ResultCode::NotSynced.into());
    }
    let (route, revisions) = {
        let config = read(&node.config);
        let route = config.route(&req.host, &req.target).cloned();
        (route.ok_or(ResultCode::NoRoute)?, config.revisions())
    };
    let name: RouteName = route.name().parse().map_err(|_| ResultCode::NoRoute)?;
    trace.record.route = Some(name.clone());
    let timeout = req.waits.map_or(route.policy().timeout(), |w| w.min(route.policy().timeout()));
    let deadline = trace.started + timeout;
    let identity = match route.policy().access {
        Access::Open => None,
        Access::Keyed => Some(authenticate(node, &req.key)?),
    };
    if let Some((account, _, limits)) = &identity {
        trace.record.account = Some(account.clone());
        let wait_until = trace.started + timeout / TOKEN_WAIT_SHARE;
        let taken = node.limiter.take(node, account, limits, wait_until).await;
        taken.map_err(|Overdrawn { code, retry_after }| Refusal { code, retry_after })?;
    }
    let (body, replay) =
        read_ahead(std::mem::replace(&mut req.body, Payload::empty()), node, deadline).await?;
    let idempotence = match route.policy().is_idempotent(req.method.as_str()) {
        true => Idempotence::Idempotent,
        false => Idempotence::NonIdempotent,
    };
    let priority = match &identity {
        Some((.., account)) => account.priority.unwrap_or(route.policy().priority),
        // Most calls without a key are made by upstreams that hold a slot while they wait.
        None => 0,
    };
    let head = forwarded_head(&req, replay.as_ref());
    let service = choose_service(node, &route);
    let mut run = Run {
        node,
        balancer,
        route: &route,
        service,
        name,
        idempotence,
        deadline,
        queue_until: trace.started + timeout * QUEUE_PERCENT / 100,
        goal_by: route.policy().goal().map(|goal| trace.started + goal),
        // Most requests without a key are made by upstreams, and callers that have one make no others.
        of_retry: match identity {
            None => node.guard.retry_share(),
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
        trace,
    };
    let ended = run.attempts().await;
    let is_failure = ended.as_ref().map_or(true, |answer| answer.status >= 500);
    // On open routes most calls come from the upstreams beside this node.
    if is_failure && route.policy().access == Access::Open {
        lock(&node.dependencies).note(node.now());
    }
    ended.map_err(|code| superseded_code(node, &route, &req.key, code).into())
}

/// The code for a request that was not run. If a configuration that came into force in the meantime
/// does not allow the request, that is the reason to tell.
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
        Ok(name) => read(&node.config).route_named(&name).cloned(),
        Err(_) => None,
    };
    match current {
        None => ResultCode::NoRoute,
        Some(route) if route.policy().access == Access::Open => code,
        Some(_) => authenticate(node, key).err().unwrap_or(code),
    }
}

/// Draws the service of a request by the weights of its route. The draw is made once: what does not
/// fit into its part is refused, so that the parts keep their weights.
fn choose_service(node: &Node, route: &RouteEntry) -> ServiceName {
    let policy = route.policy();
    let total: u64 = policy.split.iter().map(|share| u64::from(share.weight)).sum();
    if total == 0 {
        return policy.service.clone();
    }
    let mut drawn = lock(&node.random).below(total as usize) as u64;
    for share in &policy.split {
        match drawn.checked_sub(u64::from(share.weight)) {
            Some(rest) => drawn = rest,
            None => return share.service.clone(),
        }
    }
    policy.service.clone()
}

/// Finds the account of a key.
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

fn forwarded_head(req: &CallerRequest, replay: Option<&Bytes>) -> Head {
    let mut kept: Vec<Header> = req
        .headers
        .iter()
        .map(|(name, value)| Header {
            name: name.as_str().into(),
            value: value.as_bytes().to_vec(),
        })
        .collect();
    // A body in memory is framed by the HTTP library; a streamed one keeps its announced length.
    if let (None, Some(length)) = (replay, req.body_length) {
        let value = length.to_string().into_bytes();
        kept.push(Header { name: "content-length".into(), value });
    }
    Head { method: req.method.as_str().into(), target: req.target.clone(), headers: kept }
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
