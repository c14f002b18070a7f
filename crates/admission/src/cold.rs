//! Rate limit of calls to cold endpoints.
//!
//! An endpoint that has just started, or that has become cold again, takes longer for each call and
//! crashes at a rate well above the one that its service tolerates. Its slots don't protect it: short
//! calls on 11 slots come to several times that rate. This module addresses a failure domain whose
//! endpoints all come back cold at the same moment, while the callers of the whole service are waiting.
//!
//! A limit applies to an endpoint only if the configuration has a [`ServicePolicy`] for its service and
//! the endpoint is cold according to its latest announcement. All calls to an endpoint pass its guard,
//! so the limit of one guard is the limit of the fleet.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use model::{EndpointName, LoadReport, Rate, ServicePolicy, Slots, Time};

/// Time after the end of the cold phase over which the slots on offer rise to all slots. With fewer
/// steps, all entries would send their calls to the endpoint at the same moment.
const RAMP: Duration = Duration::from_secs(2);

/// Service time assumed for the concurrency that a rate allows until calls have taken longer. Calls in
/// current deployments take 50 to 300 ms, and twice as long at a cold endpoint.
const ASSUMED_SERVICE_TIME: Duration = Duration::from_millis(200);

/// Time for which an endpoint that is no longer announced is remembered. An endpoint that refuses a
/// connection is removed and comes back with its next announcement, within seconds.
const RETENTION: Duration = Duration::from_secs(60);

/// Parts of a second in which starts are counted. An endpoint must get at most 1.5 times its rate and 8
/// calls in a second. With two parts, calls that are under way for up to half a second longer than others,
/// or the calls of an earlier process of the node, add at most half of the rate to those of a second.
const WINDOWS_PER_SECOND: u64 = 2;

/// Limit of an endpoint while it is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdLimit {
    /// When the endpoint is warm.
    pub until: Time,
    /// Calls per second that may start until then.
    pub per_second: Rate,
}

/// What an announcement tells about how long its endpoint remains cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdNotice {
    /// Position among the announcements that this node has accepted. Announcements may be processed by
    /// several threads, and an earlier one must not replace a later one.
    pub order: u64,
    /// Unix time at which the endpoint started, in milliseconds.
    pub started_ms: Option<u64>,
    /// How long the endpoint remains cold; `None` if the announcement doesn't tell.
    pub cold_left: Option<Duration>,
}

/// Effect of an announcement or a configuration on the limit of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdChange {
    /// The endpoint is as cold or as warm as before.
    Unchanged,
    /// The endpoint is cold, and was not before.
    BecameCold(ColdLimit),
    /// The endpoint is no longer cold.
    BecameWarm,
}

/// Calls that were held up by the limits of cold endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ColdCounts {
    /// Calls that were refused although a slot was free.
    pub refused: u64,
    /// Calls that were queued although a slot was free.
    pub queued: u64,
}

/// What is known of the temperature of an endpoint since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// No announcement has told anything. The endpoint is cold for the time in the policy.
    Unknown,
    /// It was warm when it was first announced.
    Warm,
    /// It is or was cold until then.
    ColdUntil(Time),
}

/// Number of starts and the time in which there may be so many.
#[derive(Debug, Clone, Copy)]
struct Window {
    starts: usize,
    length: Duration,
}

impl Window {
    /// The shortest window of at least 1/[`WINDOWS_PER_SECOND`] of a second that holds a whole number of
    /// calls at this rate.
    fn of(rate: Rate) -> Window {
        let milli = rate.milli_per_second().max(1);
        let starts = milli.div_ceil(1000 * WINDOWS_PER_SECOND);
        Window {
            starts: starts as usize,
            length: Duration::from_micros((starts * 1_000_000_000).div_ceil(milli)),
        }
    }
}

#[derive(Debug)]
struct ColdEndpoint {
    order: u64,
    started_ms: Option<u64>,
    /// When this start of the endpoint was announced first, and the position of that announcement.
    first_seen: Time,
    first_order: u64,
    last_seen: Time,
    phase: Phase,
    policy: Option<ServicePolicy>,
    /// Times of the latest starts, at most as many as the window holds. Starts at a warm endpoint are
    /// included, since it may become cold within the same second.
    starts: VecDeque<Time>,
    /// Whether the last [`ColdChange`] said that the endpoint is cold.
    is_reported_cold: bool,
}

impl ColdEndpoint {
    fn new(notice: ColdNotice, now: Time) -> ColdEndpoint {
        ColdEndpoint {
            order: notice.order,
            started_ms: notice.started_ms,
            first_seen: now,
            first_order: notice.order,
            last_seen: now,
            phase: Phase::Unknown,
            policy: None,
            starts: VecDeque::new(),
            is_reported_cold: false,
        }
    }

    /// When the cold phase ends or has ended; `None` if the endpoint has not been cold.
    fn cold_until(&self) -> Option<Time> {
        match (self.phase, self.policy) {
            (Phase::ColdUntil(until), _) => Some(until),
            (Phase::Unknown, Some(policy)) if policy.cold_for_ms > 0 => {
                Some(self.first_seen + policy.cold_for())
            }
            (Phase::Unknown | Phase::Warm, _) => None,
        }
    }

    /// The limit that applies now.
    fn limit(&self, now: Time) -> Option<ColdLimit> {
        let per_second = self.policy?.cold_per_second;
        let until = self.cold_until().filter(|until| *until > now)?;
        Some(ColdLimit { until, per_second })
    }

    fn apply(&mut self, notice: ColdNotice, now: Time) {
        let ColdNotice { order, started_ms, cold_left } = notice;
        if order < self.order {
            return;
        }
        let is_new_start = started_ms != self.started_ms || order == self.first_order;
        if is_new_start {
            (self.first_seen, self.first_order, self.phase) = (now, order, Phase::Unknown);
        }
        (self.order, self.started_ms, self.last_seen) = (order, started_ms, now);
        self.phase = match (cold_left, self.cold_until()) {
            (None, _) => self.phase,
            (Some(Duration::ZERO), Some(until)) if !is_new_start => {
                Phase::ColdUntil(until.min(now))
            }
            (Some(Duration::ZERO), _) => Phase::Warm,
            (Some(left), _) => Phase::ColdUntil(now + left),
        };
    }

    fn set_policy(&mut self, policy: Option<ServicePolicy>) {
        if policy.is_none() {
            self.starts.clear();
        }
        self.policy = policy;
    }

    fn change(&mut self, now: Time) -> ColdChange {
        let limit = self.limit(now);
        let was_cold = std::mem::replace(&mut self.is_reported_cold, limit.is_some());
        match (was_cold, limit) {
            (false, Some(limit)) => ColdChange::BecameCold(limit),
            (true, None) => ColdChange::BecameWarm,
            (false, None) | (true, Some(_)) => ColdChange::Unchanged,
        }
    }

    fn record_start(&mut self, now: Time) {
        let Some(policy) = self.policy else { return };
        let window = Window::of(policy.cold_per_second);
        self.starts.push_back(now);
        while self.starts.len() > window.starts {
            self.starts.pop_front();
        }
    }

    /// When a call may start that `ahead` others start before, or `now` if it may at once.
    fn start_time(&self, ahead: u32, now: Time) -> Time {
        let Some(limit) = self.limit(now) else { return now };
        let window = Window::of(limit.per_second);
        let (rounds, ahead) = (ahead / window.starts as u32, ahead as usize % window.starts);
        // The call is the first one that may follow the start with this index after a whole window.
        let first = match (self.starts.len() + ahead).checked_sub(window.starts) {
            Some(index) => self.starts.get(index).map_or(now, |at| *at + window.length),
            None => now,
        };
        (first.max(now) + window.length * rounds).min(limit.until)
    }

    /// Number of calls that may start now.
    fn available_starts(&self, window: Window, now: Time) -> u32 {
        let recent = self.starts.iter().filter(|at| **at + window.length > now).count();
        window.starts.saturating_sub(recent) as u32
    }

    fn slots_on_offer(&self, load: &LoadReport, now: Time) -> Slots {
        let (Some(policy), Some(until)) = (self.policy, self.cold_until()) else {
            return load.slots;
        };
        let since_cold = now.since(until);
        if since_cold >= RAMP {
            return load.slots;
        }
        let rate = policy.cold_per_second;
        let service = load.mean_service.max(ASSUMED_SERVICE_TIME);
        let calls = rate.milli_per_second() as f64 / 1000.0 * service.as_secs_f64();
        let by_rate = (calls.ceil() as u32).clamp(1, load.slots.0.max(1));
        if now < until {
            let startable = load.running + self.available_starts(Window::of(rate), now);
            return Slots(by_rate.min(startable.max(1)));
        }
        let regained = (load.slots.0.saturating_sub(by_rate)) as f64 * since_cold.as_secs_f64();
        Slots(by_rate + (regained / RAMP.as_secs_f64()) as u32)
    }
}

/// The cold endpoints of a guard, and those that may become cold.
#[derive(Debug, Default)]
pub(crate) struct ColdEndpoints {
    endpoints: HashMap<EndpointName, ColdEndpoint>,
    counts: ColdCounts,
}

impl ColdEndpoints {
    /// Applies an announcement, and the policy of the service of the endpoint.
    pub(crate) fn announce(
        &mut self,
        endpoint: &EndpointName,
        notice: ColdNotice,
        policy: Option<ServicePolicy>,
        now: Time,
    ) -> ColdChange {
        let entry = self.endpoints.entry(endpoint.clone());
        let known = entry.or_insert_with(|| ColdEndpoint::new(notice, now));
        // The policy goes first: whether an endpoint was cold before depends on it.
        known.set_policy(policy);
        known.apply(notice, now);
        known.change(now)
    }

    /// Applies a changed policy to an endpoint that has been announced.
    pub(crate) fn set_policy(
        &mut self,
        endpoint: &EndpointName,
        policy: Option<ServicePolicy>,
        now: Time,
    ) -> ColdChange {
        let Some(known) = self.endpoints.get_mut(endpoint) else { return ColdChange::Unchanged };
        known.set_policy(policy);
        known.change(now)
    }

    /// Whether the service of the endpoint has a policy, so that queued calls may wait for another reason
    /// than a slot.
    pub(crate) fn has_policy(&self, endpoint: &EndpointName) -> bool {
        self.endpoints.get(endpoint).is_some_and(|known| known.policy.is_some())
    }

    /// When a call may start that `ahead` others start before, as far as the limit decides.
    pub(crate) fn start_time(&self, endpoint: &EndpointName, ahead: u32, now: Time) -> Time {
        self.endpoints.get(endpoint).map_or(now, |known| known.start_time(ahead, now))
    }

    /// Whether a call may start now, as far as the limit decides.
    pub(crate) fn may_start(&self, endpoint: &EndpointName, now: Time) -> bool {
        self.start_time(endpoint, 0, now) <= now
    }

    pub(crate) fn record_start(&mut self, endpoint: &EndpointName, now: Time) {
        if let Some(known) = self.endpoints.get_mut(endpoint) {
            known.record_start(now);
        }
    }

    pub(crate) fn record_refused(&mut self) {
        self.counts.refused += 1;
    }

    pub(crate) fn record_queued(&mut self) {
        self.counts.queued += 1;
    }

    /// Returns the counts since the last call of this function.
    pub(crate) fn take_counts(&mut self) -> ColdCounts {
        std::mem::take(&mut self.counts)
    }

    /// The limit of an endpoint that applies now.
    pub(crate) fn limit(&self, endpoint: &EndpointName, now: Time) -> Option<ColdLimit> {
        self.endpoints.get(endpoint).and_then(|known| known.limit(now))
    }

    /// Number of endpoints that have a limit now.
    pub(crate) fn limited(&self, now: Time) -> usize {
        self.endpoints.values().filter(|known| known.limit(now).is_some()).count()
    }

    /// Slots to report to the entries: those that the rate allows while the endpoint is cold, rising to
    /// all slots within [`RAMP`] afterwards.
    pub(crate) fn slots_on_offer(
        &self,
        endpoint: &EndpointName,
        load: &LoadReport,
        now: Time,
    ) -> Slots {
        self.endpoints.get(endpoint).map_or(load.slots, |known| known.slots_on_offer(load, now))
    }

    /// Forgets endpoints that are no longer announced.
    pub(crate) fn prune(&mut self, is_announced: impl Fn(&EndpointName) -> bool, now: Time) {
        self.endpoints
            .retain(|name, known| is_announced(name) || now.since(known.last_seen) < RETENTION);
    }
}
