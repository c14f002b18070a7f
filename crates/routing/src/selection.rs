//! Order of preference in which a call selects an endpoint.

use std::time::Duration;

use model::{EndpointName, ResultCode};

use crate::balancer::{Choice, OnBusy};
use crate::known_endpoint::Avoidance;
use crate::retry::{BusyPolicy, MAX_EXPECTED_WAIT, SuspectPolicy};

/// Fraction of the time left, as a divisor, below which an expected wait at a trusted endpoint counts as
/// short. A call accepts a short wait even if the trusted endpoints are below the floor of the route.
/// Most routes have a latency goal of half of their timeout.
const SHORT_WAIT_DIVISOR: u32 = 4;

/// Fraction of the time left, as a divisor, above which even the shortest expected wait indicates an
/// overload. Under overload, four out of five calls with a longer expected wait find no free slot.
const OVERLOAD_WAIT_DIVISOR: u32 = 10;

/// Number of refusals by busy endpoints after which a call waits in a queue under overload. Each further
/// one wastes a round trip, mostly to another failure domain.
const MAX_BUSY_REFUSALS_IN_OVERLOAD: usize = 2;

/// The endpoints of a service, as a call sees them.
pub trait EndpointChooser {
    /// What is kept of a chosen endpoint.
    type Target;

    /// Chooses an endpoint that is not in `excluded`.
    fn choose(
        &mut self,
        excluded: &[EndpointName],
        avoidance: Avoidance,
        on_busy: OnBusy,
    ) -> Option<(Choice, Self::Target)>;

    /// Whether the share of endpoints that have not refused this call as suspect is below the floor of
    /// the route.
    fn is_below_floor(&self) -> bool;

    /// Time until the deadline of the call.
    fn time_left(&self) -> Duration;
}

/// What the earlier attempts of a call mean for the next one.
#[derive(Debug, Clone, Copy)]
pub struct SelectionRules<'a> {
    /// What the attempt asks for if the endpoint is busy.
    pub busy_policy: BusyPolicy,
    /// What the attempt asks for if the endpoint is suspect.
    pub suspect_policy: SuspectPolicy,
    /// Endpoints that are excluded from further attempts.
    pub tried: &'a [EndpointName],
    /// Endpoints that had no free slot.
    pub busy: &'a [EndpointName],
    /// Endpoints that refused the call because they are suspect.
    pub suspects: &'a [EndpointName],
}

/// The step in which an endpoint was selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SelectionStep {
    /// A trusted endpoint that is not known to be busy.
    Trusted,
    /// A trusted endpoint that may be busy, where the call waits in the queue.
    Queue,
    /// Any endpoint that is left, also a suspect or unreachable one.
    LastResort,
    /// An endpoint of this node, which leaves the fleet and still accepts calls.
    Withdrawn,
}

/// An endpoint selected for an attempt.
#[derive(Debug, Clone)]
pub struct Selected<T> {
    /// The choice of the balancer.
    pub choice: Choice,
    /// The chosen endpoint.
    pub target: T,
    /// The step in which it was selected.
    pub step: SelectionStep,
    /// Expected wait for a slot above which the guard refuses the attempt. `None` accepts any wait.
    pub max_expected_wait: Option<Duration>,
    /// Whether the guard runs the attempt even if the endpoint is suspect.
    pub accepts_suspect: bool,
}

/// Selects an endpoint in this order of preference:
///
/// 1. a trusted endpoint that is not known to be busy;
/// 2. a busy trusted endpoint, where the call waits in the queue;
/// 3. a suspect endpoint, if no other is left, or if the trusted endpoints are below the floor of
///    the route and the wait there is long;
/// 4. while this node leaves the fleet, its own endpoint.
///
/// A suspect endpoint has free slots because its calls fail, so calls must not go there merely
/// to find capacity.
pub fn select_endpoint<C: EndpointChooser>(
    chooser: &mut C,
    rules: &SelectionRules<'_>,
) -> Option<Selected<C::Target>> {
    let &SelectionRules { busy_policy, suspect_policy, tried, busy, suspects } = rules;
    let (on_busy, max_expected_wait) = match busy_policy {
        BusyPolicy::Refuse => (OnBusy::Refuse, Some(MAX_EXPECTED_WAIT)),
        BusyPolicy::Queue => (OnBusy::Queue, None),
    };
    let refused = [tried, suspects].concat();
    let refused_or_busy = [&refused[..], busy].concat();
    let selected = |(choice, target), step, max_expected_wait, accepts_suspect| {
        Some(Selected { choice, target, step, max_expected_wait, accepts_suspect })
    };
    if suspect_policy == SuspectPolicy::Refuse
        && let Some(found) = chooser.choose(&refused_or_busy, Avoidance::Enabled, on_busy)
        && (busy.len() < MAX_BUSY_REFUSALS_IN_OVERLOAD || !is_overload(chooser, found.0.cost))
    {
        return selected(found, SelectionStep::Trusted, max_expected_wait, false);
    }
    if let Some(found) = chooser.choose(&refused, Avoidance::Enabled, OnBusy::Queue)
        && (!chooser.is_below_floor() || is_short_wait(chooser, found.0.cost))
    {
        return selected(found, SelectionStep::Queue, None, false);
    }
    let last_steps = [
        (Avoidance::Disabled, SelectionStep::LastResort),
        (Avoidance::DisabledAndWithdrawn, SelectionStep::Withdrawn),
    ];
    let (found, step) = last_steps.into_iter().find_map(|(avoidance, step)| {
        Some((chooser.choose(tried, avoidance, OnBusy::Queue)?, step))
    })?;
    selected(found, step, None, !suspects.is_empty())
}

/// Returns whether all endpoints are likely to be busy, given the shortest expected wait.
fn is_overload<C: EndpointChooser>(chooser: &C, wait: Duration) -> bool {
    wait > chooser.time_left() / OVERLOAD_WAIT_DIVISOR
}

/// Returns whether an expected wait is short relative to the time left.
fn is_short_wait<C: EndpointChooser>(chooser: &C, wait: Duration) -> bool {
    wait < chooser.time_left() / SHORT_WAIT_DIVISOR
}

/// Code for a request that no endpoint is left for. Once endpoints have refused it, that is a better
/// reason than a missing upstream.
pub fn no_endpoint_code(is_evacuated: bool, has_attempts: bool) -> ResultCode {
    match has_attempts {
        _ if is_evacuated => ResultCode::DomainEvacuated,
        false => ResultCode::NoUpstream,
        true => ResultCode::QueueFull,
    }
}
