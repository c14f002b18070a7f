//! Decides which endpoints are ejected from which routes.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use model::{EndpointName, Epoch, Incarnation, RouteName, Time};

use crate::list::{EjectionList, ListEntry, Weight};
use crate::recorder::HealthReport;
use crate::stats::fisher_tail;
use crate::view::{Availability, RouteEndpoint, RouteView};
use crate::window::{SLICES, Totals, Window};

/// Length of the lease of an ejection.
pub const EJECTION_LEASE: Duration = Duration::from_secs(5);

/// Time from the start of a new arbiter to its first ejection: the quorum lease of the old arbiter
/// and the leases of the last ejections that it could grant.
pub const TAKEOVER_WAIT: Duration = Duration::from_secs(8);

/// A lease with less than this left is renewed. Entries fetch a list every second, so at least one
/// renewed list reaches them in time when two are lost.
const RENEW_BELOW: Duration = Duration::from_millis(4500);

/// Validity of the weight of an endpoint that is not ejected.
const WEIGHT_LEASE: Duration = EJECTION_LEASE;

/// Parts of the window, in slices of 500 ms. The short ones find a sudden change that the good
/// calls before it would hide.
const SPANS: [usize; 3] = [2, 4, SLICES];

/// Evidence that a finding needs.
#[derive(Debug, Clone, Copy)]
struct Evidence {
    /// Largest probability of a false alarm in one comparison.
    alpha: f64,
    /// Fewest bad calls.
    bad: u64,
    /// Fewest slices with a failed call, or newest slices with slow calls only.
    slices: usize,
    /// Fewest slices in which most calls were slow, if any call was not.
    slow_slices: usize,
}

/// A service of 14 endpoints with two routes makes 10^8 comparisons a week for each kind of test;
/// most have no bad call at all. An `alpha` of 1e-7 ejects healthy endpoints now and then. A pause of an upstream for a few hundred milliseconds makes many
/// calls slow in two slices, and two pauses within the window do so in four.
const ALONE: Evidence = Evidence { alpha: 1e-8, bad: 3, slices: 3, slow_slices: 5 };

/// For an endpoint that was just found to be bad in the same way on another route. Few of the
/// endpoints get here without a fault, so a false alarm of one comparison in a thousand is rare.
const SUPPORTED: Evidence = Evidence { alpha: 1e-3, bad: 2, slices: 2, slow_slices: 2 };

/// Time for which a finding supports findings about the same endpoint on other routes. It ends
/// before the endpoint can be back in slow start.
const SUPPORT: Duration = Duration::from_secs(5);

/// Fewest calls of the peers that give a reference.
const MIN_PEER_CALLS: u64 = 10;

/// Least difference between the shares of failed calls.
const MIN_FAILURE_EXCESS: f64 = 0.10;

/// Least difference between the shares of slow calls.
const MIN_SLOW_EXCESS: f64 = 0.30;

/// A call is slow from this many buckets above the median of the peers; 4 buckets are a factor
/// of 4.
const SLOW_BUCKETS: usize = 4;

/// An endpoint that became ready this recently is not judged by latency.
const WARM_UP: Duration = Duration::from_secs(15);

/// The backoff before the first probe, doubled with each level.
const FIRST_BACKOFF: Duration = Duration::from_secs(5);
const LONGEST_BACKOFF: Duration = Duration::from_secs(60);
const MAX_LEVEL: u8 = 4;

/// Healthy time after which the level of the backoff falls by one.
const LEVEL_DECAY: Duration = Duration::from_secs(120);

/// An unanswered probe is repeated after this time.
const PROBE_RETRY: Duration = Duration::from_secs(2);

const PROBATION_WEIGHT: Weight = Weight::new(5);
const PROBATION_MIN: Duration = Duration::from_secs(3);

/// Probation ends after this time even without enough calls; slow start is watched as well.
const PROBATION_MAX: Duration = Duration::from_secs(15);

/// Good calls that end probation.
const PROBATION_CALLS: u64 = 5;

/// Weights of slow start, each for [`SLOW_START_STEP`].
const SLOW_START: [Weight; 4] =
    [Weight::new(15), Weight::new(30), Weight::new(50), Weight::new(75)];
const SLOW_START_STEP: Duration = Duration::from_secs(2);

/// Whether the node of the arbiter holds a valid quorum lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuorumLease {
    /// The lease is valid; ejections may be granted and renewed.
    Valid,
    /// The lease has run out; nothing is granted.
    Lapsed,
}

/// An ejection that an entry holds or that an arbiter hands over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldEjection {
    /// The route.
    pub route: RouteName,
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Time until the lease runs out.
    pub remaining: Duration,
    /// Level of the backoff.
    pub level: u8,
}

/// Everything that an arbiter tells its successor when it stops gracefully.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Handover {
    /// Ejections in force.
    pub ejected: Vec<HeldEjection>,
    /// Returned endpoints whose ejection an entry may still hold.
    pub returned: Vec<HeldEjection>,
}

/// What was decided about an endpoint on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// The endpoint gets no calls until then, unless renewed.
    Eject {
        /// End of the lease.
        until: Time,
    },
    /// The reason stands and the lease goes on.
    Renew {
        /// End of the lease.
        until: Time,
    },
    /// The guard is to probe the endpoint, using one slot.
    Probe,
    /// The endpoint gets a trickle of idempotent calls.
    Probation {
        /// Its weight.
        weight: Weight,
    },
    /// The endpoint gets a growing share of the calls.
    SlowStart {
        /// Its weight.
        weight: Weight,
    },
    /// The endpoint is in use again.
    Return,
    /// The endpoint is unhealthy and stays in use with the lowest weight.
    KeepBecauseOfFloor,
}

/// A decision about an endpoint on a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// The route.
    pub route: RouteName,
    /// The endpoint.
    pub endpoint: EndpointName,
    /// What was decided.
    pub action: Action,
    /// Why, in words for an operator.
    pub reason: Box<str>,
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Decision { route, endpoint, action, reason } = self;
        match action {
            Action::Eject { until } => write!(f, "eject {endpoint} from {route} until {until}")?,
            Action::Renew { until } => {
                write!(f, "renew ejection of {endpoint} from {route} until {until}")?;
            }
            Action::Probe => write!(f, "probe {endpoint} for {route}")?,
            Action::Probation { weight } => {
                write!(f, "probation of {endpoint} on {route} at {weight}")?;
            }
            Action::SlowStart { weight } => {
                write!(f, "slow start of {endpoint} on {route} at {weight}")?;
            }
            Action::Return => write!(f, "return {endpoint} to {route}")?,
            Action::KeepBecauseOfFloor => write!(f, "keep {endpoint} on {route}")?,
        }
        write!(f, ": {reason}")
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Healthy { since: Time },
    Ejected { probe_at: Time, probed: ProbeState },
    Kept { probation_at: Time },
    Probation { since: Time },
    SlowStart { since: Time, step: usize },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProbeState {
    None,
    Asked,
}

#[derive(Debug, Clone)]
struct Cell {
    window: Window,
    phase: Phase,
    level: u8,
    /// Whether the endpoint is among those of the route.
    listed: bool,
    /// Share of bad calls at the last finding, in thousandths.
    severity: u16,
    /// Any entry may hold an ejection until then.
    held_until: Time,
    /// When and how the endpoint was last found to be bad.
    found: Option<(Time, FindingKind)>,
    /// Successful calls since probation began.
    probation_calls: u64,
    /// When the endpoint became ready, if this arbiter saw it happen.
    ready_since: Option<Time>,
    reason: Box<str>,
}

impl Cell {
    fn new(now: Time) -> Cell {
        Cell {
            window: Window::default(),
            phase: Phase::Healthy { since: now },
            level: 0,
            listed: true,
            severity: 0,
            held_until: Time::ZERO,
            found: None,
            probation_calls: 0,
            ready_since: None,
            reason: "".into(),
        }
    }

    /// Whether the endpoint has been ready for long enough to be judged by latency.
    fn is_warm(&self, now: Time) -> bool {
        self.ready_since.is_none_or(|since| now.since(since) >= WARM_UP)
    }

    /// Forgets the calls from before the backoff, which say nothing about the recovery.
    fn start_probation(&mut self, now: Time) {
        self.window.clear();
        self.probation_calls = 0;
        self.phase = Phase::Probation { since: now };
    }

    fn is_ejected(&self) -> bool {
        matches!(self.phase, Phase::Ejected { .. })
    }

    /// Whether new ejections must not rely on the endpoint.
    fn is_out(&self, now: Time) -> bool {
        self.is_ejected() || self.held_until > now || matches!(self.phase, Phase::Probation { .. })
    }

    fn weight(&self) -> Weight {
        match self.phase {
            Phase::Healthy { .. } => Weight::FULL,
            Phase::Ejected { .. } => Weight::EJECTED,
            Phase::Kept { .. } => Weight::LOWEST,
            Phase::Probation { .. } => PROBATION_WEIGHT,
            Phase::SlowStart { step, .. } => SLOW_START[step.min(SLOW_START.len() - 1)],
        }
    }
}

#[derive(Debug)]
struct Route {
    view: RouteView,
    cells: BTreeMap<EndpointName, Cell>,
}

/// A finding against an endpoint.
#[derive(Debug, Clone)]
struct Finding {
    kind: FindingKind,
    severity: u16,
    reason: Box<str>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum FindingKind {
    Failures,
    Latency,
}

/// Endpoints that were just found to be bad on some route.
type Support = BTreeSet<(EndpointName, FindingKind)>;

/// Arbitrates the ejections of one service.
///
/// ```
/// use health::{Arbiter, QuorumLease};
/// use model::{Epoch, Time};
///
/// let mut arbiter = Arbiter::new(Epoch(3), Time::ZERO);
/// assert!(arbiter.tick(QuorumLease::Valid, Time::ZERO).is_empty());
/// assert!(arbiter.list(Time::ZERO).entries.is_empty());
/// ```
#[derive(Debug)]
pub struct Arbiter {
    epoch: Epoch,
    sequence: u64,
    first_ejection: Time,
    routes: BTreeMap<RouteName, Route>,
    /// Newest report of each guard, and when it came.
    guards: BTreeMap<Incarnation, (u64, Time)>,
}

impl Arbiter {
    /// Bytes of state for each endpoint of a route, without the names and the tree nodes.
    pub const BYTES_PER_ENDPOINT: usize = size_of::<Cell>() + size_of::<RouteEndpoint>();

    /// Makes the arbiter of a service whose partition this node took over. `now` is the time at
    /// which a majority has confirmed the new epoch.
    pub fn new(epoch: Epoch, now: Time) -> Arbiter {
        Arbiter {
            epoch,
            sequence: 0,
            first_ejection: now + TAKEOVER_WAIT,
            routes: BTreeMap::new(),
            guards: BTreeMap::new(),
        }
    }

    /// Makes the arbiter of a service from the state of its predecessor, which has stopped for
    /// good. Nothing can be granted behind its back, so it ejects without a wait. Leases are
    /// counted from the receipt of the handover, which is later than their true end.
    pub fn resume(epoch: Epoch, handover: &Handover, routes: Vec<RouteView>, now: Time) -> Arbiter {
        let mut arbiter = Arbiter::new(epoch, now);
        arbiter.first_ejection = now;
        for view in routes {
            arbiter.update_route(view, now);
        }
        for held in &handover.ejected {
            arbiter.adopt(held, now);
            if let Some(cell) = arbiter.cell_or_insert(held, now) {
                let probe_at = now + backoff(cell.level.max(1) - 1);
                cell.phase = Phase::Ejected { probe_at, probed: ProbeState::None };
            }
        }
        for held in &handover.returned {
            if let Some(cell) = arbiter.cell_or_insert(held, now) {
                cell.held_until = cell.held_until.max(now + held.remaining);
            }
        }
        arbiter
    }

    /// Stops the arbiter and returns its state for the successor.
    pub fn hand_over(self, now: Time) -> Handover {
        let mut handover = Handover::default();
        for (name, route) in self.routes {
            for (endpoint, cell) in route.cells {
                if cell.held_until <= now {
                    continue;
                }
                let to =
                    if cell.is_ejected() { &mut handover.ejected } else { &mut handover.returned };
                to.push(HeldEjection {
                    route: name.clone(),
                    endpoint,
                    remaining: cell.held_until.since(now),
                    level: cell.level,
                });
            }
        }
        handover
    }

    /// Takes the current endpoints and floor of a route.
    pub fn update_route(&mut self, view: RouteView, now: Time) {
        let Some(route) = self.routes.get_mut(&view.route) else {
            let cells = view.endpoints.iter().map(|e| (e.name.clone(), Cell::new(now))).collect();
            self.routes.insert(view.route.clone(), Route { view, cells });
            return;
        };
        let before: BTreeMap<&EndpointName, Availability> =
            route.view.endpoints.iter().map(|e| (&e.name, e.availability)).collect();
        for cell in route.cells.values_mut() {
            cell.listed = false;
        }
        for endpoint in &view.endpoints {
            let was = before.get(&endpoint.name).copied().unwrap_or(Availability::Unreachable);
            let started = matches!(was, Availability::Starting | Availability::Unreachable);
            let cell = route.cells.entry(endpoint.name.clone()).or_insert_with(|| Cell::new(now));
            cell.listed = true;
            if endpoint.availability == Availability::Available && started {
                cell.ready_since = Some(now);
            }
        }
        route.view = view;
    }

    /// Forgets a deleted route.
    pub fn remove_route(&mut self, route: &RouteName) {
        // Entries may still hold ejections, which count again if the route is restored at once.
        if let Some(route) = self.routes.get_mut(route) {
            route.view.endpoints.clear();
            for cell in route.cells.values_mut() {
                cell.listed = false;
            }
        }
    }

    /// Takes a report of a guard. Reports that are older than the newest one of the same process
    /// are ignored, as are routes and endpoints that this service does not have.
    pub fn report(&mut self, report: &HealthReport, now: Time) {
        let newest = self.guards.entry(report.guard).or_insert((0, now));
        if report.sequence <= newest.0 {
            return;
        }
        *newest = (report.sequence, now);
        for entry in &report.entries {
            let Some(route) = self.routes.get_mut(&entry.route) else { continue };
            let Some(cell) = route.cells.get_mut(&entry.endpoint) else { continue };
            cell.window.add(entry, now);
            let successes = entry.successes.pairs().iter().map(|pair| u64::from(pair.1));
            cell.probation_calls = cell.probation_calls.saturating_add(successes.sum());
        }
    }

    /// Takes an ejection that an entry still holds from the predecessor of this arbiter. It
    /// counts against the floor for its remaining time and keeps the level of its backoff. The
    /// predecessor may have replaced it by another ejection that this arbiter does not know of,
    /// so the lease is not renewed; the endpoint then stays in use with the lowest weight until
    /// the arbiter may eject.
    pub fn adopt(&mut self, held: &HeldEjection, now: Time) {
        let first_ejection = self.first_ejection;
        let Some(cell) = self.cell_or_insert(held, now) else { return };
        let remaining = held.remaining.min(EJECTION_LEASE);
        cell.held_until = cell.held_until.max(now + remaining);
        if !matches!(cell.phase, Phase::Healthy { .. }) || cell.level >= held.level.max(1) {
            return;
        }
        cell.level = held.level.clamp(1, MAX_LEVEL);
        cell.severity = 1000;
        cell.reason = "adopted from the previous arbiter".into();
        let probation_at = first_ejection.max(now) + backoff(cell.level - 1);
        cell.phase = Phase::Kept { probation_at };
    }

    /// Takes the result of a probe that [`Action::Probe`] asked for.
    pub fn probe_result(
        &mut self,
        route: &RouteName,
        endpoint: &EndpointName,
        result: ProbeResult,
        now: Time,
    ) -> Option<Decision> {
        let cell = self.routes.get_mut(route)?.cells.get_mut(endpoint)?;
        let Phase::Ejected { probed: ProbeState::Asked, .. } = cell.phase else { return None };
        if result == ProbeResult::Bad {
            cell.level = (cell.level + 1).min(MAX_LEVEL);
            let probe_at = now + backoff(cell.level - 1);
            cell.phase = Phase::Ejected { probe_at, probed: ProbeState::None };
            return None;
        }
        cell.start_probation(now);
        Some(Decision {
            route: route.clone(),
            endpoint: endpoint.clone(),
            action: Action::Probation { weight: PROBATION_WEIGHT },
            reason: "the probe succeeded; calls must confirm it".into(),
        })
    }

    /// Compares the endpoints and returns what changed. To be called every 250 ms and after each
    /// change of a route.
    pub fn tick(&mut self, lease: QuorumLease, now: Time) -> Vec<Decision> {
        self.guards.retain(|_, newest| now.since(newest.1) < Duration::from_secs(60));
        let mut decisions = Vec::new();
        let mut support = self.support(now);
        // What one pass finds supports findings on the other routes in the next one.
        loop {
            for route in self.routes.values_mut() {
                route.tick(lease, self.first_ejection, &support, now, &mut decisions);
            }
            let found = self.support(now);
            if found.is_subset(&support) {
                break;
            }
            support = found;
        }
        self.routes.retain(|_, route| {
            !route.view.endpoints.is_empty() || route.cells.values().any(|c| c.held_until > now)
        });
        decisions
    }

    /// The list for the entries. It answers a request or heartbeat that was received before.
    pub fn list(&mut self, now: Time) -> EjectionList {
        self.sequence += 1;
        let mut entries = Vec::new();
        for (name, route) in &self.routes {
            for (endpoint, cell) in &route.cells {
                let held = cell.held_until.since(now);
                let lapsed = cell.is_ejected() && held.is_zero();
                let weight = if lapsed { Weight::LOWEST } else { cell.weight() };
                if weight == Weight::FULL && held.is_zero() {
                    continue;
                }
                let remaining = if weight == Weight::EJECTED { held } else { WEIGHT_LEASE };
                entries.push(ListEntry {
                    route: name.clone(),
                    endpoint: endpoint.clone(),
                    weight,
                    remaining,
                    held,
                    level: cell.level,
                });
            }
        }
        EjectionList { epoch: self.epoch, sequence: self.sequence, entries }
    }

    /// Recent findings about each endpoint on any route.
    fn support(&self, now: Time) -> Support {
        let cells = self.routes.values().flat_map(|route| &route.cells);
        let recent = cells.filter_map(|(name, cell)| {
            let (at, kind) = cell.found?;
            (now.since(at) < SUPPORT).then(|| (name.clone(), kind))
        });
        recent.collect()
    }

    fn cell_or_insert(&mut self, held: &HeldEjection, now: Time) -> Option<&mut Cell> {
        let route = self.routes.get_mut(&held.route)?;
        let unlisted = || Cell { listed: false, ..Cell::new(now) };
        Some(route.cells.entry(held.endpoint.clone()).or_insert_with(unlisted))
    }
}

/// Result of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// The upstream answered the probe in time and without an error.
    Good,
    /// The probe failed.
    Bad,
}

impl Route {
    fn tick(
        &mut self,
        lease: QuorumLease,
        first_ejection: Time,
        support: &Support,
        now: Time,
        out: &mut Vec<Decision>,
    ) {
        self.cells.retain(|_, cell| {
            cell.window.advance(now);
            cell.listed || cell.held_until > now
        });
        self.shed(now, out);
        let findings = self.findings(support, now);
        let mut order: Vec<(EndpointName, Finding)> = findings.into_iter().collect();
        order.sort_by(|a, b| b.1.severity.cmp(&a.1.severity).then_with(|| a.0.cmp(&b.0)));
        let may_eject = lease == QuorumLease::Valid && now >= first_ejection;
        for (endpoint, finding) in order {
            self.found(&endpoint, finding, may_eject, now, out);
        }
        if may_eject {
            self.eject_kept(now, out);
        }
        self.advance_phases(lease, now, out);
    }

    /// Returns the least sick endpoints while the slots in use are below the floor.
    fn shed(&mut self, now: Time, out: &mut Vec<Decision>) {
        let floor = u64::from(self.view.floor_slots().0);
        loop {
            let cells = &self.cells;
            let in_use = |name: &EndpointName| !cells.get(name).is_some_and(Cell::is_ejected);
            let left = self.view.available_slots(in_use);
            if left >= floor {
                return;
            }
            let ejected = self.view.endpoints.iter().filter(|e| {
                e.availability == Availability::Available
                    && self.cells.get(&e.name).is_some_and(Cell::is_ejected)
            });
            let least = ejected.min_by_key(|e| self.cells[&e.name].severity);
            let Some(least) = least.map(|e| e.name.clone()) else { return };
            let reason = format!(
                "{left} slots in use are below the floor of {floor}, and this endpoint is the \
                 least sick of those ejected"
            );
            let cell = self.cells.get_mut(&least).expect("the cell was found above");
            cell.phase = Phase::Kept { probation_at: now + backoff(cell.level.max(1) - 1) };
            out.push(self.decision(&least, Action::Return, reason));
        }
    }

    fn found(
        &mut self,
        endpoint: &EndpointName,
        finding: Finding,
        may_eject: bool,
        now: Time,
        out: &mut Vec<Decision>,
    ) {
        let fits = self.fits_floor(endpoint, now);
        let floor = self.view.floor_slots();
        let Some(cell) = self.cells.get_mut(endpoint) else { return };
        let level = cell.level;
        cell.level = (level + 1).min(MAX_LEVEL);
        cell.severity = finding.severity;
        cell.found = Some((now, finding.kind));
        cell.reason = finding.reason;
        let end = now + backoff(level);
        if may_eject && fits {
            cell.phase = Phase::Ejected { probe_at: end, probed: ProbeState::None };
            cell.held_until = now + EJECTION_LEASE;
            let action = Action::Eject { until: cell.held_until };
            let reason = cell.reason.to_string();
            out.push(self.decision(endpoint, action, reason));
            return;
        }
        cell.phase = Phase::Kept { probation_at: end };
        let why = if may_eject {
            format!("ejecting it would leave fewer than {floor} slots")
        } else {
            "this arbiter may not eject yet".to_string()
        };
        let reason = format!("{}; {why}", cell.reason);
        out.push(self.decision(endpoint, Action::KeepBecauseOfFloor, reason));
    }

    /// Ejects endpoints that were kept for lack of capacity, the sickest first.
    fn eject_kept(&mut self, now: Time, out: &mut Vec<Decision>) {
        let kept = |(_, cell): &(&EndpointName, &Cell)| matches!(cell.phase, Phase::Kept { .. });
        let mut order: Vec<(u16, EndpointName)> = self
            .cells
            .iter()
            .filter(kept)
            .map(|(name, cell)| (cell.severity, name.clone()))
            .collect();
        order.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        for (_, endpoint) in order {
            if self.availability(&endpoint) != Availability::Available
                || !self.fits_floor(&endpoint, now)
            {
                continue;
            }
            let cell = self.cells.get_mut(&endpoint).expect("the cell was found above");
            let Phase::Kept { probation_at } = cell.phase else { continue };
            if probation_at <= now {
                continue;
            }
            cell.phase = Phase::Ejected { probe_at: probation_at, probed: ProbeState::None };
            cell.held_until = now + EJECTION_LEASE;
            let action = Action::Eject { until: cell.held_until };
            let reason = format!("{}; the floor allows it now", cell.reason);
            out.push(self.decision(&endpoint, action, reason));
        }
    }

    fn fits_floor(&self, endpoint: &EndpointName, now: Time) -> bool {
        let left = self.view.available_slots(|name| {
            name != endpoint && !self.cells.get(name).is_some_and(|cell| cell.is_out(now))
        });
        left >= u64::from(self.view.floor_slots().0)
    }

    fn advance_phases(&mut self, lease: QuorumLease, now: Time, out: &mut Vec<Decision>) {
        let names: Vec<EndpointName> = self
            .cells
            .iter()
            .filter(|(_, cell)| cell.level > 0 || !matches!(cell.phase, Phase::Healthy { .. }))
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            self.advance_phase(&name, lease, now, out);
        }
    }

    fn advance_phase(
        &mut self,
        name: &EndpointName,
        lease: QuorumLease,
        now: Time,
        out: &mut Vec<Decision>,
    ) {
        let availability = self.availability(name);
        let cell = self.cells.get_mut(name).expect("the caller names a known endpoint");
        let (action, reason) = match cell.phase {
            Phase::Healthy { since } => {
                if now.since(since) >= LEVEL_DECAY {
                    cell.level -= 1;
                    cell.phase = Phase::Healthy { since: now };
                }
                return;
            }
            Phase::Ejected { probe_at, .. } => {
                if lease == QuorumLease::Valid
                    && cell.listed
                    && cell.held_until > now
                    && cell.held_until.since(now) < RENEW_BELOW
                {
                    cell.held_until = now + EJECTION_LEASE;
                    let action = Action::Renew { until: cell.held_until };
                    let reason = cell.reason.to_string();
                    out.push(self.decision(name, action, reason));
                } else if cell.held_until <= now {
                    // Nothing was renewed while the quorum lease had lapsed. The capacity may
                    // have been counted as free since, so a new ejection must pass the floor.
                    cell.phase = Phase::Kept { probation_at: probe_at.max(now) };
                    let reason = "the lease ran out without a quorum".to_string();
                    out.push(self.decision(name, Action::Return, reason));
                    return;
                }
                if probe_at > now || availability != Availability::Available {
                    return;
                }
                let cell = self.cells.get_mut(name).expect("the caller names a known endpoint");
                cell.phase =
                    Phase::Ejected { probe_at: now + PROBE_RETRY, probed: ProbeState::Asked };
                (Action::Probe, "the backoff has passed")
            }
            Phase::Kept { probation_at } if probation_at <= now => {
                cell.start_probation(now);
                (Action::Probation { weight: PROBATION_WEIGHT }, "the backoff has passed")
            }
            Phase::Probation { since } => {
                let time = now.since(since);
                let enough = cell.probation_calls >= PROBATION_CALLS && time >= PROBATION_MIN;
                if !enough && time < PROBATION_MAX {
                    return;
                }
                cell.phase = Phase::SlowStart { since: now, step: 0 };
                let reason = if enough { "its calls succeed" } else { "no call has failed" };
                (Action::SlowStart { weight: SLOW_START[0] }, reason)
            }
            Phase::SlowStart { since, step } => {
                let due = (now.since(since).as_micros() / SLOW_START_STEP.as_micros()) as usize;
                if due <= step {
                    return;
                }
                if due >= SLOW_START.len() {
                    cell.phase = Phase::Healthy { since: now };
                    (Action::Return, "slow start is complete")
                } else {
                    cell.phase = Phase::SlowStart { since, step: due };
                    (Action::SlowStart { weight: SLOW_START[due] }, "its calls succeed")
                }
            }
            Phase::Kept { .. } => return,
        };
        out.push(self.decision(name, action, reason.to_string()));
    }

    fn findings(&self, support: &Support, now: Time) -> BTreeMap<EndpointName, Finding> {
        let mut findings = BTreeMap::new();
        let least = if support.is_empty() { ALONE.bad } else { SUPPORTED.bad };
        if has_suspects(&self.group(SLICES, now), least) {
            for span in SPANS {
                add_outliers(&self.group(span, now), support, &mut findings);
            }
        }
        self.add_relapses(now, &mut findings);
        self.drop_shared_latency(&mut findings);
        findings
    }

    /// Endpoints that take calls, with their counts over `span` slices.
    fn group(&self, span: usize, now: Time) -> Vec<Member<'_>> {
        let mut group = Vec::with_capacity(self.view.endpoints.len());
        for endpoint in &self.view.endpoints {
            let Some(cell) = self.cells.get(&endpoint.name) else { continue };
            let compared = matches!(cell.phase, Phase::Healthy { .. } | Phase::SlowStart { .. });
            if endpoint.availability != Availability::Available || !compared {
                continue;
            }
            let totals = cell.window.totals(span);
            let warm = cell.is_warm(now);
            let median = totals.median_bucket();
            group.push(Member { name: &endpoint.name, cell, totals, median, warm });
        }
        group
    }

    /// Endpoints in probation get too few calls for a comparison; two bad calls that are a
    /// quarter of their calls end it.
    fn add_relapses(&self, now: Time, findings: &mut BTreeMap<EndpointName, Finding>) {
        let probation =
            |cell: &Cell| matches!(cell.phase, Phase::Probation { since } if since <= now);
        if !self.cells.values().any(probation) {
            return;
        }
        let group = self.group(SLICES, now);
        let mut medians: Vec<usize> = Vec::with_capacity(group.len());
        medians.extend(group.iter().filter(|m| m.totals.successes > 0).map(|m| m.median));
        medians.sort_unstable();
        let slow_from = medians.get(medians.len() / 2).map(|median| median + SLOW_BUCKETS);
        let peer_calls: u64 = group.iter().map(|m| m.totals.calls()).sum();
        let peer_failures: u64 = group.iter().map(|m| m.totals.failures).sum();
        let peer_share = peer_failures as f64 / peer_calls.max(1) as f64;
        for (name, cell) in &self.cells {
            if !probation(cell) {
                continue;
            }
            let totals = cell.window.totals(SLICES);
            let slow = slow_from.filter(|_| cell.is_warm(now));
            let slow = slow.map_or(0, |bucket| totals.at_least(bucket));
            let bad = totals.failures + slow;
            let share = bad as f64 / totals.calls().max(1) as f64;
            if bad < 2 || share < 0.25 + peer_share {
                continue;
            }
            let kind =
                if totals.failures > 0 { FindingKind::Failures } else { FindingKind::Latency };
            let reason =
                format!("{bad} of {} calls in probation failed or were slow", totals.calls());
            let severity = thousandths(share);
            findings.insert(name.clone(), Finding { kind, severity, reason: reason.into() });
        }
    }

    /// If more than a third of the endpoints look unhealthy at once, the cause is taken to be
    /// shared and latency causes no ejection.
    fn drop_shared_latency(&self, findings: &mut BTreeMap<EndpointName, Finding>) {
        let available =
            self.view.endpoints.iter().filter(|e| e.availability == Availability::Available);
        let unhealthy = available.clone().filter(|e| {
            let kept = |cell: &Cell| {
                matches!(
                    cell.phase,
                    Phase::Kept { .. } | Phase::Ejected { .. } | Phase::Probation { .. }
                )
            };
            findings.contains_key(&e.name) || self.cells.get(&e.name).is_some_and(kept)
        });
        if unhealthy.count() * 3 > available.count() {
            findings.retain(|_, finding| finding.kind != FindingKind::Latency);
        }
    }

    fn availability(&self, name: &EndpointName) -> Availability {
        let found = self.view.endpoints.iter().find(|e: &&RouteEndpoint| e.name == *name);
        found.map_or(Availability::Unreachable, |e| e.availability)
    }

    fn decision(&self, endpoint: &EndpointName, action: Action, reason: String) -> Decision {
        Decision {
            route: self.view.route.clone(),
            endpoint: endpoint.clone(),
            action,
            reason: reason.into(),
        }
    }
}

struct Member<'a> {
    name: &'a EndpointName,
    cell: &'a Cell,
    totals: Totals,
    median: usize,
    warm: bool,
}

/// Compares each endpoint with the others.
fn add_outliers(
    group: &[Member<'_>],
    support: &Support,
    findings: &mut BTreeMap<EndpointName, Finding>,
) {
    let evidence = |name: &EndpointName, kind| {
        let supported = !support.is_empty() && support.contains(&(name.clone(), kind));
        if supported { SUPPORTED } else { ALONE }
    };
    for at in 0..group.len() {
        let name = group[at].name;
        if findings.contains_key(name) {
            continue;
        }
        let finding = failure_finding(group, at, evidence(name, FindingKind::Failures))
            .or_else(|| latency_finding(group, at, evidence(name, FindingKind::Latency)));
        findings.extend(finding.map(|finding| (name.clone(), finding)));
    }
}

/// Tells whether any endpoint has enough bad calls in the whole window to be compared at all.
/// Most ticks end here. The lowest median is at most the reference of any endpoint.
fn has_suspects(group: &[Member<'_>], least: u64) -> bool {
    let with_calls = group.iter().filter(|member| member.totals.successes > 0);
    let lowest = with_calls.map(|member| member.median).min().unwrap_or(0);
    let slow_from = lowest + SLOW_BUCKETS;
    group
        .iter()
        .any(|member| member.totals.failures >= least || member.totals.at_least(slow_from) >= least)
}

/// Compares the failures of an endpoint with its peers but for the worst third, so that a few sick
/// peers do not hide it. A smaller reference could not tell a rate of one in three on a route with
/// few calls.
fn failure_finding(group: &[Member<'_>], at: usize, needed: Evidence) -> Option<Finding> {
    let own = &group[at].totals;
    if own.failures < needed.bad {
        return None;
    }
    let slices = group[at].cell.window.slices_with_failures();
    let all_failed = own.successes == 0 && slices >= 2;
    if slices < needed.slices && !all_failed {
        return None;
    }
    let mut peers: Vec<&Totals> = others(group, at).map(|m| &m.totals).collect();
    peers.retain(|totals| totals.calls() > 0);
    peers.sort_by(|a, b| a.failure_share().total_cmp(&b.failure_share()));
    peers.truncate(peers.len() - peers.len() / 3);
    let peer_calls: u64 = peers.iter().map(|totals| totals.calls()).sum();
    let peer_failures: u64 = peers.iter().map(|totals| totals.failures).sum();
    if peer_calls < MIN_PEER_CALLS {
        return None;
    }
    let share = own.failure_share();
    let peer_share = peer_failures as f64 / peer_calls as f64;
    if share - peer_share < MIN_FAILURE_EXCESS
        || fisher_tail(own.failures, own.calls(), peer_failures, peer_calls) > needed.alpha
    {
        return None;
    }
    let reason = format!(
        "{} of {} calls failed; {:.1}% of its peers' calls do",
        own.failures,
        own.calls(),
        100.0 * peer_share
    );
    let kind = FindingKind::Failures;
    Some(Finding { kind, severity: thousandths(share), reason: reason.into() })
}

/// Compares the share of slow calls of an endpoint with its peers. A call is slow by the median
/// of the medians of the peers, so a slowdown of all endpoints moves the reference along.
fn latency_finding(group: &[Member<'_>], at: usize, needed: Evidence) -> Option<Finding> {
    let member = &group[at];
    if !member.warm || member.totals.successes < needed.bad {
        return None;
    }
    let mut medians: Vec<usize> = Vec::with_capacity(group.len());
    medians.extend(others(group, at).filter(|m| m.totals.successes > 0).map(|m| m.median));
    if medians.is_empty() {
        return None;
    }
    let middle = medians.len() / 2;
    let reference = *medians.select_nth_unstable(middle).1;
    let slow_from = reference + SLOW_BUCKETS;
    let slow = member.totals.at_least(slow_from);
    if slow < needed.bad {
        return None;
    }
    let slices = member.cell.window.slow_slices(slow_from);
    if slices.most < needed.slow_slices && slices.newest_all < needed.slices {
        return None;
    }
    let peer_calls: u64 = others(group, at).map(|m| m.totals.successes).sum();
    let peer_slow: u64 = others(group, at).map(|m| m.totals.at_least(slow_from)).sum();
    if peer_calls < MIN_PEER_CALLS {
        return None;
    }
    let share = slow as f64 / member.totals.successes as f64;
    let peer_share = peer_slow as f64 / peer_calls as f64;
    if share - peer_share < MIN_SLOW_EXCESS
        || fisher_tail(slow, member.totals.successes, peer_slow, peer_calls) > needed.alpha
    {
        return None;
    }
    let reason = format!(
        "{slow} of {} calls took at least 4 times the median of its peers; {:.1}% of their calls do",
        member.totals.successes,
        100.0 * peer_share
    );
    let kind = FindingKind::Latency;
    Some(Finding { kind, severity: thousandths(share), reason: reason.into() })
}

fn others<'g, 'a>(
    group: &'g [Member<'a>],
    at: usize,
) -> impl Iterator<Item = &'g Member<'a>> + use<'g, 'a> {
    group.iter().enumerate().filter(move |(other, _)| *other != at).map(|(_, member)| member)
}

fn backoff(level: u8) -> Duration {
    (FIRST_BACKOFF * 2_u32.pow(u32::from(level.min(MAX_LEVEL)))).min(LONGEST_BACKOFF)
}

fn thousandths(share: f64) -> u16 {
    (share * 1000.0).round() as u16
}
