//! State that an arbiter passes to its successor when it stops gracefully.

use std::time::Duration;

use model::{EndpointName, RouteName, Time};

use crate::arbiter::EJECTION_LEASE;
use crate::phase::{
    Cell, LONGEST_BACKOFF, MAX_LEVEL, Phase, ProbeState, SLOW_START, SLOW_START_STEP, WARM_UP,
};

/// Everything that an arbiter tells its successor when it stops gracefully.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Handover {
    /// Time until the arbiter could have made its first ejection. Ejections of an earlier arbiter,
    /// which has not handed over, may be in force until then.
    pub wait: Duration,
    /// Endpoints that are not healthy, have been ejected lately or have just become ready.
    pub endpoints: Vec<HandedEndpoint>,
}

/// State of an endpoint on a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HandedEndpoint {
    /// The route.
    pub route: RouteName,
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Its stage.
    pub stage: Stage,
    /// How long any entry may still hold an ejection.
    pub held: Duration,
    /// Level of the backoff.
    pub level: u8,
    /// Share of bad calls at the last finding, in thousandths.
    pub severity: u16,
    /// Time since the endpoint became ready, while it is too short to judge it by latency.
    pub ready_for: Option<Duration>,
}

/// Stage of an endpoint on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It takes all calls.
    Healthy,
    /// It takes no calls.
    Ejected {
        /// Time until the next probe.
        probe_in: Duration,
    },
    /// It takes few calls, since the floor forbids to eject it.
    Kept {
        /// Time until its probation.
        probation_in: Duration,
    },
    /// It takes few calls, which decide about its return.
    Probation,
    /// It takes more calls with each step.
    SlowStart {
        /// The step.
        step: u8,
    },
}

impl HandedEndpoint {
    /// The state to hand over, or `None` if it is that of an endpoint without a history.
    pub(crate) fn of(
        route: &RouteName,
        endpoint: EndpointName,
        cell: &Cell,
        now: Time,
    ) -> Option<HandedEndpoint> {
        let stage = match cell.phase {
            Phase::Healthy { .. } => Stage::Healthy,
            Phase::Ejected { probe_at, .. } => Stage::Ejected { probe_in: probe_at.since(now) },
            Phase::Kept { probation_at } => Stage::Kept { probation_in: probation_at.since(now) },
            Phase::Probation { .. } => Stage::Probation,
            Phase::SlowStart { step, .. } => Stage::SlowStart { step: step as u8 },
        };
        let held = cell.held_until.since(now);
        let ready_for = cell.ready_since.map(|since| now.since(since)).filter(|age| *age < WARM_UP);
        let has_history = stage != Stage::Healthy || !held.is_zero() || cell.level > 0;
        (has_history || ready_for.is_some()).then(|| HandedEndpoint {
            route: route.clone(),
            endpoint,
            stage,
            held,
            level: cell.level,
            severity: cell.severity,
            ready_for,
        })
    }

    /// Continues from this state. The time on the way is not known, so every span is counted from
    /// the receipt: leases end later than they would have, never earlier.
    pub(crate) fn continue_in(&self, cell: &mut Cell, now: Time) {
        cell.held_until = cell.held_until.max(now + self.held.min(EJECTION_LEASE));
        cell.level = self.level.min(MAX_LEVEL);
        cell.severity = self.severity;
        cell.reason = "handed over by the previous arbiter".into();
        cell.ready_since = self.ready_for.map(|age| now - age);
        cell.phase = match self.stage {
            Stage::Healthy => Phase::Healthy { since: now },
            Stage::Ejected { probe_in } => {
                let probe_at = now + probe_in.min(LONGEST_BACKOFF);
                Phase::Ejected { probe_at, probed: ProbeState::None }
            }
            Stage::Kept { probation_in } => {
                Phase::Kept { probation_at: now + probation_in.min(LONGEST_BACKOFF) }
            }
            Stage::Probation => Phase::Probation { since: now },
            Stage::SlowStart { step } => {
                let step = usize::from(step).min(SLOW_START.len() - 1);
                Phase::SlowStart { since: now - SLOW_START_STEP * step as u32, step }
            }
        };
    }
}
