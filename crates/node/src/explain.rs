//! Tells an operator where this node would route a request now, and why.
//!
//! The request is not sent. The answer follows the steps of [`crate::entry`] with the same functions, on
//! copies of what they change: no token is taken or requested, no load is updated, no random number of the
//! node is drawn, and nothing is added to the records of requests.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use caller::{DescribedRequest, InvalidPart};
use config::RouteEntry;
use membership::EndpointEntry;
use model::{
    Access, Account, AccountName, FailureDomain, KeyId, ResultCode, Revision, ServiceName, Time,
};
use operator::{
    ExplainedAccount, ExplainedCandidate, ExplainedChoice, ExplainedCold, ExplainedExclusion,
    ExplainedLoad, ExplainedRefusal, ExplainedRoute, ExplainedService, QueryCaller, QueryError,
    RouteExplanation, RouteQuery, TokenOutlook,
};
use routing::{
    BodyState, CallProperties, CandidateExplanation, ChoiceExplanation, ChoiceOutcome,
    EndpointStatus, KnownEndpoint, RetryParams, SelectionStep, ServiceSnapshot, TRIALS,
    explain_choice,
};

use crate::choice::{ServiceView, withdrawn_endpoints};
use crate::entry;
use crate::limiter::TokenPreview;
use crate::shared::{Node, Phase, read};

/// Highest probability that is told of a random choice. All trials may have had the same result.
const MAX_RANDOM_PROBABILITY: f64 = 1.0 - 1.0 / TRIALS as f64;

/// Explains where this node would route a request.
pub(crate) fn explain_route(
    node: &Arc<Node>,
    query: &RouteQuery,
) -> Result<RouteExplanation, QueryError> {
    if !node.is_synced() {
        return Err(QueryError::new(ResultCode::NotSynced, &node.info().node));
    }
    let RouteQuery { method, host, path, .. } = query;
    let request =
        DescribedRequest::new(method, host, path, node.headers()).map_err(invalid_request)?;
    let now = node.now();
    let (route, is_match) = find_route(node, query, &request)?;
    let caller = find_caller(node, &query.caller)?;
    let mut refusals = Vec::new();
    if node.phase() != Phase::Serving {
        refusals.push(refusal(ResultCode::Stopping, Certainty::Possible));
    }
    let mut explanation = empty_explanation(node, &request);
    explanation.account = explain_account(node, route.as_deref(), &caller, now, &mut refusals);
    match &route {
        None => refusals.insert(0, refusal(ResultCode::NoRoute, Certainty::Certain)),
        Some(route) => {
            let account = match route.policy().access {
                Access::Open => None,
                Access::Keyed => caller.account.as_ref().map(|(.., account)| account),
            };
            explanation.route = explained_route(route, is_match, &request, account);
            explanation.services = explain_services(node, route, &request, now, &mut refusals);
        }
    }
    explanation.refusals = refusals;
    Ok(explanation)
}

fn empty_explanation(node: &Node, request: &DescribedRequest) -> RouteExplanation {
    let revisions = read(&node.config).revisions();
    RouteExplanation {
        node: node.info().node.clone(),
        domain: node.info().domain.clone(),
        revision: revisions.objects,
        imported_revision: Revision(revisions.imported.version().unwrap_or(revisions.imported.0)),
        method: request.method.as_str().into(),
        host: request.host.clone(),
        path: request.target.split('?').next().unwrap_or_default().into(),
        route: None,
        account: None,
        services: Vec::new(),
        refusals: Vec::new(),
    }
}

fn invalid_request(part: InvalidPart) -> QueryError {
    let code = match part {
        InvalidPart::Method => ResultCode::MethodInvalid,
        InvalidPart::Host => ResultCode::HostInvalid,
        InvalidPart::Path | InvalidPart::RefusedPath(_) => ResultCode::PathInvalid,
    };
    QueryError::new(code, part)
}

/// Returns the route that the query names or that matches, and whether it matches.
fn find_route(
    node: &Node,
    query: &RouteQuery,
    request: &DescribedRequest,
) -> Result<(Option<Arc<RouteEntry>>, bool), QueryError> {
    let config = read(&node.config);
    let matching = config.route(&request.host, &request.target);
    let Some(name) = &query.route else { return Ok((matching.cloned(), matching.is_some())) };
    let named = config.route_by_name(name);
    let named = named.ok_or_else(|| QueryError::new(ResultCode::RouteUnknown, name))?;
    let is_match = matching.is_some_and(|matching| Arc::ptr_eq(matching, named));
    Ok((Some(Arc::clone(named)), is_match))
}

/// What the configuration says of the caller of a described request.
struct KnownCaller {
    key_id: Option<KeyId>,
    account: Option<(AccountName, Account)>,
    /// Code for a keyed route, if it would be refused.
    rejected: Option<ResultCode>,
}

fn find_caller(node: &Node, caller: &QueryCaller) -> Result<KnownCaller, QueryError> {
    let config = read(&node.config);
    match caller {
        QueryCaller::Keyless => {
            let rejected = Some(ResultCode::KeyMissing);
            Ok(KnownCaller { key_id: None, account: None, rejected })
        }
        QueryCaller::Account(name) => {
            let account = config.account(name.as_str());
            let account =
                account.ok_or_else(|| QueryError::new(ResultCode::AccountUnknown, name))?;
            let account = Some((name.clone(), account.value().clone()));
            Ok(KnownCaller { key_id: None, account, rejected: None })
        }
        QueryCaller::Key(id) => {
            let key = config.key(id.as_str());
            let key = key.ok_or_else(|| QueryError::new(ResultCode::KeyIdUnknown, id))?;
            let found = entry::account_of_key(&config, key);
            let (rejected, key_id) = (found.as_ref().err().copied(), Some(id.clone()));
            Ok(KnownCaller { key_id, account: found.ok(), rejected })
        }
    }
}

/// Explains the check of the key and of the rate, and adds what they refuse.
fn explain_account(
    node: &Node,
    route: Option<&RouteEntry>,
    caller: &KnownCaller,
    now: Time,
    refusals: &mut Vec<ExplainedRefusal>,
) -> Option<ExplainedAccount> {
    let is_keyed = route.is_some_and(|route| route.policy().access == Access::Keyed);
    refusals
        .extend(caller.rejected.filter(|_| is_keyed).map(|code| refusal(code, Certainty::Certain)));
    let (name, account) = caller.account.as_ref()?;
    let preview = route.filter(|_| is_keyed).map(|route| {
        let wait_until = entry::token_wait_until(now, route.policy().timeout());
        node.limiter.preview(node, name, account, wait_until)
    });
    let token = match preview {
        None => TokenOutlook::NotNeeded,
        Some(TokenPreview::Unlimited) => TokenOutlook::Unlimited,
        Some(TokenPreview::Held) => TokenOutlook::Held,
        Some(TokenPreview::Fallback) => TokenOutlook::OwnPart,
        Some(TokenPreview::Asked) => {
            let codes = [ResultCode::RateExceeded, ResultCode::LimiterUnavailable];
            refusals.extend(codes.map(|code| refusal(code, Certainty::Possible)));
            TokenOutlook::Asked
        }
        Some(TokenPreview::Refused(code)) => {
            refusals.push(refusal(code, Certainty::Certain));
            TokenOutlook::Refused
        }
    };
    Some(ExplainedAccount {
        name: name.clone(),
        key_id: caller.key_id.clone(),
        rate: account.rate,
        burst: account.burst,
        tokens_held: node.limiter.held(name, now),
        over_rate: node.limiter.is_over_rate(name, now),
        token,
    })
}

fn explained_route(
    route: &RouteEntry,
    matches: bool,
    request: &DescribedRequest,
    account: Option<&Account>,
) -> Option<ExplainedRoute> {
    let policy = route.policy();
    Some(ExplainedRoute {
        name: route.name().parse().ok()?,
        host: route.host().map(Into::into),
        prefix: route.prefix().into(),
        matches,
        access: policy.access,
        selector: policy.selector.to_string().into(),
        idempotent: policy.is_idempotent(request.method.as_str()),
        timeout_ms: policy.timeout_ms,
        goal_ms: policy.goal_ms,
        // Without an account it is not known whether one has a priority of its own.
        priority: match (route.policy().access, account) {
            (Access::Keyed, None) => route.policy().priority,
            _ => entry::priority(route, account),
        },
    })
}

/// Explains the choice in each service that the route may select.
fn explain_services(
    node: &Arc<Node>,
    route: &RouteEntry,
    request: &DescribedRequest,
    now: Time,
    refusals: &mut Vec<ExplainedRefusal>,
) -> Vec<ExplainedService> {
    let mut shares = service_shares(route);
    shares.sort_by_key(|(_, weight)| Reverse(*weight));
    let total: u64 = shares.iter().map(|(_, weight)| weight).sum();
    let has_several = shares.len() > 1;
    let mut services = Vec::new();
    for (name, weight) in shares {
        let (service, explanation) = explain_service(node, route, name, request, now);
        refusals.extend(service_refusals(&explanation, has_several).into_iter().map(|refusal| {
            let name = has_several.then(|| service.name.clone());
            ExplainedRefusal { service: name, ..refusal }
        }));
        services
            .push(ExplainedService { probability: weight as f64 / total.max(1) as f64, ..service });
    }
    services
}

/// What would refuse a request to a service. It is certain only if the route has no other service.
fn service_refusals(explanation: &ChoiceExplanation, has_several: bool) -> Vec<ExplainedRefusal> {
    match explanation.outcome {
        ChoiceOutcome::Refused(code) if has_several => vec![refusal(code, Certainty::Possible)],
        ChoiceOutcome::Refused(code) => vec![refusal(code, Certainty::Certain)],
        ChoiceOutcome::Chosen { step, .. } => {
            let is_last_resort =
                matches!(step, SelectionStep::LastResort | SelectionStep::Withdrawn);
            let possible = [
                (is_last_resort, ResultCode::EndpointSuspect),
                (explanation.is_full, ResultCode::QueueFull),
                (explanation.is_full, ResultCode::DeadlineBeforeStart),
            ];
            let possible = possible.into_iter().filter(|(applies, _)| *applies);
            possible.map(|(_, code)| refusal(code, Certainty::Possible)).collect()
        }
    }
}

/// Services of a route with their weights.
fn service_shares(route: &RouteEntry) -> Vec<(ServiceName, u64)> {
    let policy = route.policy();
    match policy.total_weight() {
        0 => vec![(policy.service.clone(), 1)],
        _ => {
            let shares = policy.split.iter().filter(|share| share.weight > 0);
            shares.map(|share| (share.service.clone(), u64::from(share.weight))).collect()
        }
    }
}

/// Explains the choice of an endpoint of a service.
fn explain_service(
    node: &Arc<Node>,
    route: &RouteEntry,
    name: ServiceName,
    request: &DescribedRequest,
    now: Time,
) -> (ExplainedService, ChoiceExplanation) {
    let idempotence = entry::idempotence(route, &request.method);
    let state = ServiceState::collect(node, route, &name, idempotence, now);
    let snapshot = state.snapshot();
    let deadline = entry::deadline(node, now + route.policy().timeout());
    let max_attempts = route.policy().attempts;
    let call = CallProperties {
        retry: RetryParams { idempotence, deadline, max_attempts },
        body: BodyState::Replayable,
    };
    let explanation = explain_choice(&entry::balancer(node), &snapshot, &call);
    let choice = explained_choice(&snapshot, &explanation);
    let is_random = choice.as_ref().is_some_and(|choice| choice.random);
    let known = snapshot.endpoints.iter().zip(&explanation.candidates);
    let mut candidates: Vec<ExplainedCandidate> = known
        .map(|(known, candidate)| {
            let probability = f64::from(candidate.chosen) / f64::from(explanation.trials);
            explained_candidate(node, known, candidate, (probability, is_random), now)
        })
        .collect();
    candidates.sort_by(|a, b| {
        let is_excluded = |candidate: &ExplainedCandidate| candidate.excluded.is_some();
        b.probability
            .total_cmp(&a.probability)
            .then_with(|| is_excluded(a).cmp(&is_excluded(b)))
            .then_with(|| a.endpoint.cmp(&b.endpoint))
    });
    (ExplainedService { name, probability: 1.0, choice, candidates }, explanation)
}

fn explained_choice(
    snapshot: &ServiceSnapshot<'_>,
    explanation: &ChoiceExplanation,
) -> Option<ExplainedChoice> {
    let ChoiceOutcome::Chosen { first, reason, step, is_random } = explanation.outcome else {
        return None;
    };
    Some(ExplainedChoice {
        endpoint: snapshot.endpoints[first].endpoint.clone(),
        random: is_random,
        reason: format!("{reason:?}").into(),
        last_resort: matches!(step, SelectionStep::LastResort | SelectionStep::Withdrawn),
    })
}

fn explained_candidate(
    node: &Node,
    known: &KnownEndpoint<'_>,
    candidate: &CandidateExplanation,
    (probability, is_random): (f64, bool),
    now: Time,
) -> ExplainedCandidate {
    let CandidateExplanation { exclusion, assessment, .. } = *candidate;
    let status = &known.status;
    let is_own = *known.node == node.info().node;
    let cold_left = match is_own {
        true => node.guard.cold_limit(known.endpoint, now).map(|limit| limit.until.since(now)),
        false => None,
    };
    let withheld_slots = status.announced_slots.0.saturating_sub(status.slots().0);
    ExplainedCandidate {
        endpoint: known.endpoint.clone(),
        node: known.node.clone(),
        domain: known.domain.clone(),
        probability: match is_random {
            true => probability.min(MAX_RANDOM_PROBABILITY),
            false => probability,
        },
        cost_us: assessment.map(|assessment| assessment.cost.as_micros() as u64),
        free_percent: assessment
            .and_then(|assessment| assessment.estimate)
            .map(|estimate| estimate.free.value()),
        slots: status.slots(),
        load: status.load.map(|load| ExplainedLoad {
            running: load.report.running,
            queued: load.report.queued,
            sent_since: load.sent_since,
            age_ms: millis(load.age),
        }),
        suspect: status.is_suspect,
        suspect_at_guard: is_own.then(|| node.guard.suspect_since(known.endpoint).is_some()),
        evacuated: status.is_evacuated,
        cold: (withheld_slots > 0 || cold_left.is_some())
            .then(|| ExplainedCold { withheld_slots, left_ms: cold_left.map(millis) }),
        excluded: exclusion.map(|exclusion| ExplainedExclusion {
            reason: exclusion.to_string().into(),
            code: exclusion.code().map(ResultCode::number),
        }),
    }
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

/// Whether a refusal depends on what this node doesn't know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Certainty {
    Certain,
    Possible,
}

fn refusal(code: ResultCode, certainty: Certainty) -> ExplainedRefusal {
    ExplainedRefusal {
        code: code.number(),
        text: code.text().into(),
        service: None,
        certain: certainty == Certainty::Certain,
    }
}

/// A copy of what this node knows of the endpoints of a service, so that no lock is held while the choice
/// is explained.
struct ServiceState {
    endpoints: Vec<(EndpointEntry, FailureDomain, EndpointStatus)>,
    competitors: usize,
    at: Time,
}

impl ServiceState {
    fn collect(
        node: &Node,
        route: &RouteEntry,
        service: &ServiceName,
        idempotence: routing::Idempotence,
        now: Time,
    ) -> ServiceState {
        let has_cold_limit = read(&node.config).service_policy(service).is_some();
        let evacuated = node.evacuations.domains();
        let withdrawn = withdrawn_endpoints(node);
        // The lock order is the same as in `Peers::set_members`.
        let members = node.peers.members();
        let directory = read(&node.directory);
        let view = ServiceView {
            now,
            entries: directory.endpoints_of(service),
            selector: &route.policy().selector,
            own_domain: &node.info().domain,
            members: &members,
            loads: node.loads.lock_all(),
            idempotence,
            evacuated,
            withdrawn: &withdrawn,
            has_cold_limit,
        };
        let endpoints = view.entries.iter().enumerate().map(|(index, entry)| {
            let known = view.endpoint(index);
            (entry.clone(), known.domain.clone(), known.status)
        });
        ServiceState { endpoints: endpoints.collect(), competitors: members.len(), at: now }
    }

    fn snapshot(&self) -> ServiceSnapshot<'_> {
        let endpoints = self.endpoints.iter().map(|(entry, domain, status)| KnownEndpoint {
            endpoint: &entry.name,
            node: &entry.node,
            domain,
            status: *status,
        });
        ServiceSnapshot {
            endpoints: endpoints.collect(),
            competitors: self.competitors,
            at: self.at,
        }
    }
}
