//! Decides about the endpoints of one route.

use std::collections::BTreeMap;
use std::time::Duration;

use model::{EndpointName, Time};

use crate::arbiter::{Action, Decision, EJECTION_LEASE, QuorumLease};
use crate::outliers::{
    ALONE, Finding, FindingKind, Member, SLOW_BUCKETS, SUPPORTED, Support, add_outliers,
    has_suspects, thousandths,
};
use crate::phase::{
    Cell, MAX_LEVEL, PROBATION_WEIGHT, Phase, ProbeState, SLOW_START, SLOW_START_STEP, backoff,
};
use crate::view::{Availability, RouteEndpoint, RouteView};
use crate::window::SLICES;

/// A lease with less than this left is renewed. Entries fetch a list each 500 ms, so a renewed list
/// reaches them in time even when several are lost.
const RENEW_BELOW: Duration = Duration::from_millis(4500);

/// Parts of the window, in slices of 500 ms. The short ones find a sudden change that the good
/// calls before it would hide.
const SPANS: [usize; 3] = [2, 4, SLICES];

/// Healthy time after which the level of the backoff falls by one.
const LEVEL_DECAY: Duration = Duration::from_secs(120);

/// An unanswered probe is repeated after this time.
const PROBE_RETRY: Duration = Duration::from_secs(2);

const PROBATION_MIN: Duration = Duration::from_secs(3);

/// Probation ends after this time even without enough calls; slow start is watched as well.
const PROBATION_MAX: Duration = Duration::from_secs(15);

/// Good calls that end probation.
const PROBATION_CALLS: u64 = 5;

/// Whether new ejections are possible now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ejecting {
    /// The quorum lease is valid and the wait of a new arbiter is over.
    Allowed,
    /// Not yet, or not without a quorum.
    Forbidden,
}

/// The endpoints of a route with their stages.
#[derive(Debug)]
pub(crate) struct Route {
    pub(crate) view: RouteView,
    pub(crate) cells: BTreeMap<EndpointName, Cell>,
}

impl Route {
    pub(crate) fn tick(
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
        let ejecting = match lease {
            QuorumLease::Valid if now >= first_ejection => Ejecting::Allowed,
            QuorumLease::Valid | QuorumLease::Lapsed => Ejecting::Forbidden,
        };
        for (endpoint, finding) in order {
            self.found(&endpoint, finding, ejecting, now, out);
        }
        if ejecting == Ejecting::Allowed {
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
        ejecting: Ejecting,
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
        if ejecting == Ejecting::Allowed && fits {
            cell.phase = Phase::Ejected { probe_at: end, probed: ProbeState::None };
            cell.held_until = now + EJECTION_LEASE;
            let action = Action::Eject { until: cell.held_until };
            let reason = cell.reason.to_string();
            out.push(self.decision(endpoint, action, reason));
            return;
        }
        cell.phase = Phase::Kept { probation_at: end };
        let why = match ejecting {
            Ejecting::Allowed => format!("ejecting it would leave fewer than {floor} slots"),
            Ejecting::Forbidden => "this arbiter may not eject now".to_owned(),
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
            group.push(Member { name: &endpoint.name, window: &cell.window, totals, median, warm });
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
