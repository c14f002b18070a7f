//! Decides which endpoints are ejected from which routes.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use model::{EndpointName, Epoch, Incarnation, RouteName, Time};

use crate::handover::{HandedEndpoint, Handover};
use crate::list::{EjectionList, ListEntry, Weight};
use crate::outliers::Support;
use crate::phase::{Cell, MAX_LEVEL, PROBATION_WEIGHT, Phase, ProbeState, backoff};
use crate::recorder::HealthReport;
use crate::route::Route;
use crate::view::{Availability, RouteEndpoint, RouteView};

/// Length of the lease of an ejection.
pub const EJECTION_LEASE: Duration = Duration::from_secs(5);

/// Time from the start of a new arbiter to its first ejection: the quorum lease of the old arbiter
/// and the leases of the last ejections that it could grant.
pub const TAKEOVER_WAIT: Duration = Duration::from_secs(8);

/// Time for which a finding supports findings about the same endpoint on other routes. It ends
/// before the endpoint can be back in slow start.
const SUPPORT: Duration = Duration::from_secs(5);

/// Validity of the weight of an endpoint that is not ejected.
const WEIGHT_LEASE: Duration = EJECTION_LEASE;

/// Whether the node of the arbiter holds a valid quorum lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuorumLease {
    /// The lease is valid; ejections may be granted and renewed.
    Valid,
    /// The lease has run out; nothing is granted.
    Lapsed,
}

/// An ejection that an entry holds.
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
    /// good. Nothing can be granted behind its back, so there is no wait beyond what is left of the
    /// predecessor's own.
    ///
    /// An ejection of a route that is not among `routes` can't be counted against its floor, so the
    /// arbiter then waits like one without a handover.
    pub fn resume(epoch: Epoch, handover: &Handover, routes: Vec<RouteView>, now: Time) -> Arbiter {
        let mut arbiter = Arbiter::new(epoch, now);
        for view in routes {
            arbiter.update_route(view, now);
        }
        let mut wait = handover.wait;
        for handed in &handover.endpoints {
            match arbiter.cell_or_insert(&handed.route, &handed.endpoint, now) {
                Some(cell) => handed.continue_in(cell, now),
                None if handed.held.is_zero() => {}
                None => wait = TAKEOVER_WAIT,
            }
        }
        arbiter.first_ejection = now + wait.min(TAKEOVER_WAIT);
        arbiter
    }

    /// Stops the arbiter and returns its state for the successor.
    pub fn hand_over(self, now: Time) -> Handover {
        let mut endpoints = Vec::new();
        for (name, route) in self.routes {
            for (endpoint, cell) in route.cells {
                endpoints.extend(HandedEndpoint::of(&name, endpoint, &cell, now));
            }
        }
        Handover { wait: self.first_ejection.since(now), endpoints }
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
        let Some(cell) = self.cell_or_insert(&held.route, &held.endpoint, now) else { return };
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

    fn cell_or_insert(
        &mut self,
        route: &RouteName,
        endpoint: &EndpointName,
        now: Time,
    ) -> Option<&mut Cell> {
        let route = self.routes.get_mut(route)?;
        let unlisted = || Cell { listed: false, ..Cell::new(now) };
        Some(route.cells.entry(endpoint.clone()).or_insert_with(unlisted))
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
