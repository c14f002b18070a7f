//! Stages of an endpoint on a route, from healthy through ejection and back.

use std::time::Duration;

use model::Time;

use crate::list::Weight;
use crate::outliers::FindingKind;
use crate::window::Window;

/// An endpoint that became ready this recently is not judged by latency.
pub(crate) const WARM_UP: Duration = Duration::from_secs(15);

/// The backoff before the first probe, doubled with each level.
const FIRST_BACKOFF: Duration = Duration::from_secs(5);
pub(crate) const LONGEST_BACKOFF: Duration = Duration::from_secs(60);
pub(crate) const MAX_LEVEL: u8 = 4;

pub(crate) const PROBATION_WEIGHT: Weight = Weight::new(5);

/// Weights of slow start, each for [`SLOW_START_STEP`].
pub(crate) const SLOW_START: [Weight; 4] =
    [Weight::new(15), Weight::new(30), Weight::new(50), Weight::new(75)];
pub(crate) const SLOW_START_STEP: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    Healthy { since: Time },
    Ejected { probe_at: Time, probed: ProbeState },
    Kept { probation_at: Time },
    Probation { since: Time },
    SlowStart { since: Time, step: usize },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProbeState {
    None,
    Asked,
}

#[derive(Debug, Clone)]
pub(crate) struct Cell {
    pub(crate) window: Window,
    pub(crate) phase: Phase,
    pub(crate) level: u8,
    /// Whether the endpoint is among those of the route.
    pub(crate) listed: bool,
    /// Share of bad calls at the last finding, in thousandths.
    pub(crate) severity: u16,
    /// Any entry may hold an ejection until then.
    pub(crate) held_until: Time,
    /// When and how the endpoint was last found to be bad.
    pub(crate) found: Option<(Time, FindingKind)>,
    /// Successful calls since probation began.
    pub(crate) probation_calls: u64,
    /// When the endpoint became ready, if this arbiter saw it happen.
    pub(crate) ready_since: Option<Time>,
    pub(crate) reason: Box<str>,
}

impl Cell {
    pub(crate) fn new(now: Time) -> Cell {
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
    pub(crate) fn is_warm(&self, now: Time) -> bool {
        self.ready_since.is_none_or(|since| now.since(since) >= WARM_UP)
    }

    /// Forgets the calls from before the backoff, which say nothing about the recovery.
    pub(crate) fn start_probation(&mut self, now: Time) {
        self.window.clear();
        self.probation_calls = 0;
        self.phase = Phase::Probation { since: now };
    }

    pub(crate) fn is_ejected(&self) -> bool {
        matches!(self.phase, Phase::Ejected { .. })
    }

    /// Whether new ejections must not rely on the endpoint.
    pub(crate) fn is_out(&self, now: Time) -> bool {
        self.is_ejected() || self.held_until > now || matches!(self.phase, Phase::Probation { .. })
    }

    pub(crate) fn weight(&self) -> Weight {
        match self.phase {
            Phase::Healthy { .. } => Weight::FULL,
            Phase::Ejected { .. } => Weight::EJECTED,
            Phase::Kept { .. } => Weight::LOWEST,
            Phase::Probation { .. } => PROBATION_WEIGHT,
            Phase::SlowStart { step, .. } => SLOW_START[step.min(SLOW_START.len() - 1)],
        }
    }
}

pub(crate) fn backoff(level: u8) -> Duration {
    (FIRST_BACKOFF * 2_u32.pow(u32::from(level.min(MAX_LEVEL)))).min(LONGEST_BACKOFF)
}
