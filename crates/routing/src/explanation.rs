//! Explains which endpoint a call would be sent to, without a call.
//!
//! Addresses the question of an operator why requests go where they go. The explanation is made from a
//! copy of what the entry knows, by the functions that the entry itself uses. A choice that involves
//! random numbers is repeated on the copy with a generator of its own, and the result is how often each
//! endpoint was chosen. `docs/design/explain.md` has the alternatives.

use std::time::Duration;

use model::{EndpointName, ResultCode, Time};

use crate::balancer::{Assessment, Balancer, Candidate, Candidates, Choice, OnBusy, Reason};
use crate::known_endpoint::{Avoidance, EndpointStatus, Exclusion, KnownEndpoint};
use crate::random::{RandomSource, SplitMix64};
use crate::retry::{BodyState, CallAttempts, Idempotence, RetryParams};
use crate::selection::{
    EndpointChooser, Selected, SelectionRules, SelectionStep, no_endpoint_code, select_endpoint,
};

/// Largest number of times that a choice is repeated. In 19 of 20 cases, the share of an endpoint is then within
/// about 3 percentage points of the probability of its choice.
pub const TRIALS: u32 = 1000;

/// Endpoints that the trials of one explanation look at, at most, for each step of the selection. In a large
/// service a choice may look at all of its endpoints, and the explanation must not hold up calls.
const MAX_ENDPOINTS_IN_TRIALS: usize = 200_000;

/// Fewest trials. The share of an endpoint is then within about 10 percentage points.
const MIN_TRIALS: usize = 100;

/// Seed of the generator of the trials. It is fixed, so that equal states give equal explanations.
const SEED: u64 = 0x9e0f_3a51;

/// The endpoints of a service, as an entry knows them at one point in time.
#[derive(Debug, Clone)]
pub struct ServiceSnapshot<'a> {
    /// All endpoints of the service.
    pub endpoints: Vec<KnownEndpoint<'a>>,
    /// Number of other nodes that choose among them.
    pub competitors: usize,
    /// Time at which it was taken.
    pub at: Time,
}

/// Properties of a call before its first attempt.
#[derive(Debug, Clone, Copy)]
pub struct CallProperties {
    /// What determines its retries.
    pub retry: RetryParams,
    /// Whether its body can be sent again.
    pub body: BodyState,
}

/// Where the first attempt of a call would go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChoiceExplanation {
    /// Explanations of all endpoints, in the order of the snapshot.
    pub candidates: Vec<CandidateExplanation>,
    /// Result of the choice.
    pub outcome: ChoiceOutcome,
    /// Number of times that the choice was repeated: [`TRIALS`], or fewer in a large service.
    pub trials: u32,
    /// Whether no endpoint that can be chosen has a free slot, by the last reports and the calls sent since.
    /// An endpoint without a report counts as free.
    pub is_full: bool,
}

/// Why an endpoint would be chosen or not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CandidateExplanation {
    /// Why it can't be chosen, if so.
    pub exclusion: Option<Exclusion>,
    /// Cost and estimated load, if it can be chosen. It is compared with all others that can be chosen,
    /// which may be more than one choice compares.
    pub assessment: Option<Assessment>,
    /// Number of trials in which it was chosen, see [`ChoiceExplanation::trials`].
    pub chosen: u32,
}

/// Result of a choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChoiceOutcome {
    /// An attempt would be made.
    Chosen {
        /// Index of the endpoint that is chosen most often.
        first: usize,
        /// Why it is chosen.
        reason: Reason,
        /// The step in which it is chosen.
        step: SelectionStep,
        /// Whether the choice depends on random numbers.
        is_random: bool,
    },
    /// No endpoint can be chosen, and the call would be refused with this code.
    Refused(ResultCode),
}

impl Candidates for (&ServiceSnapshot<'_>, Avoidance, OnBusy) {
    fn count(&self) -> usize {
        self.0.endpoints.len()
    }

    fn candidate(&self, index: usize) -> Candidate<'_> {
        self.0.endpoints[index].candidate(self.1)
    }

    fn competitors(&self) -> usize {
        self.0.competitors
    }

    fn on_busy(&self) -> OnBusy {
        self.2
    }
}

/// A generator that counts the numbers drawn from it.
struct CountingRandom {
    inner: SplitMix64,
    draws: u64,
}

impl RandomSource for CountingRandom {
    fn next_u64(&mut self) -> u64 {
        self.draws += 1;
        self.inner.next_u64()
    }
}

/// Chooses among the endpoints of a snapshot.
struct SnapshotChooser<'a> {
    balancer: &'a Balancer,
    snapshot: &'a ServiceSnapshot<'a>,
    idempotence: Idempotence,
    time_left: Duration,
    random: CountingRandom,
}

impl EndpointChooser for SnapshotChooser<'_> {
    /// What the attempt asks for if the chosen endpoint is busy.
    type Target = OnBusy;

    fn choose(
        &mut self,
        excluded: &[EndpointName],
        avoidance: Avoidance,
        on_busy: OnBusy,
    ) -> Option<(Choice, OnBusy)> {
        let candidates = (self.snapshot, avoidance, on_busy);
        let random = &mut self.random;
        let choice = self.balancer.choose(&candidates, excluded, self.idempotence, random)?;
        Some((choice, on_busy))
    }

    /// No endpoint has refused the call yet.
    fn is_below_floor(&self) -> bool {
        false
    }

    fn time_left(&self) -> Duration {
        self.time_left
    }
}

/// Explains the choice for the first attempt of a call.
pub fn explain_choice(
    balancer: &Balancer,
    snapshot: &ServiceSnapshot<'_>,
    call: &CallProperties,
) -> ChoiceExplanation {
    let idempotence = call.retry.idempotence;
    let attempts = CallAttempts::new(call.retry);
    let rules = SelectionRules {
        busy_policy: attempts.busy_policy(call.body),
        suspect_policy: attempts.suspect_policy(),
        tried: &[],
        busy: &[],
        suspects: &[],
    };
    let time_left = call.retry.deadline.since(snapshot.at);
    let random = CountingRandom { inner: SplitMix64::new(SEED), draws: 0 };
    let mut chooser = SnapshotChooser { balancer, snapshot, idempotence, time_left, random };
    let mut chosen = vec![0; snapshot.endpoints.len()];
    let mut first: Option<Selected<OnBusy>> = None;
    let trials = MAX_ENDPOINTS_IN_TRIALS / snapshot.endpoints.len().max(1);
    let trials = trials.clamp(MIN_TRIALS, TRIALS as usize) as u32;
    for _ in 0..trials {
        // Without an endpoint in one trial there is none in any: the choice scans all of them.
        let Some(selected) = select_endpoint(&mut chooser, &rules) else { break };
        let index = selected.choice.index;
        chosen[index] += 1;
        let most = first.as_ref().map_or(0, |first| chosen[first.choice.index]);
        if first.as_ref().is_none_or(|first| first.choice.index != index) && chosen[index] > most {
            first = Some(selected);
        }
    }
    let avoidance = match first.as_ref().map(|first| first.step) {
        Some(SelectionStep::Trusted | SelectionStep::Queue) => Avoidance::Enabled,
        Some(SelectionStep::LastResort) | None => Avoidance::Disabled,
        Some(SelectionStep::Withdrawn) => Avoidance::DisabledAndWithdrawn,
    };
    let on_busy = first.as_ref().map_or(OnBusy::Queue, |first| first.target);
    let assessments = balancer.assess(&(snapshot, avoidance, on_busy), idempotence);
    let candidates: Vec<CandidateExplanation> = snapshot
        .endpoints
        .iter()
        .zip(assessments)
        .zip(chosen)
        .map(|((known, assessment), chosen)| CandidateExplanation {
            exclusion: known.exclusion(avoidance, idempotence),
            assessment,
            chosen,
        })
        .collect();
    let outcome = match first {
        Some(Selected { choice, step, .. }) => {
            let is_used = |candidate: &&CandidateExplanation| candidate.chosen > 0;
            let is_eligible = |candidate: &&CandidateExplanation| candidate.exclusion.is_none();
            // Ties of costs that are not the lowest draw numbers without an effect.
            let may_vary =
                candidates.iter().filter(is_used).count() > 1 || choice.reason != Reason::LeastCost;
            let is_random = may_vary
                && chooser.random.draws > 0
                && candidates.iter().filter(is_eligible).count() > 1;
            ChoiceOutcome::Chosen { first: choice.index, reason: choice.reason, step, is_random }
        }
        None => ChoiceOutcome::Refused(no_endpoint_code(is_evacuated(snapshot), false)),
    };
    let known = snapshot.endpoints.iter().zip(&candidates);
    let mut usable = known.filter(|(_, candidate)| candidate.exclusion.is_none()).peekable();
    let is_full = usable.peek().is_some() && usable.all(|(known, _)| is_busy(&known.status));
    ChoiceExplanation { candidates, outcome, trials, is_full }
}

fn is_busy(status: &EndpointStatus) -> bool {
    status
        .load
        .is_some_and(|load| load.report.running.saturating_add(load.sent_since) >= status.slots().0)
}

/// Whether all endpoints of a service are in evacuated failure domains.
fn is_evacuated(snapshot: &ServiceSnapshot<'_>) -> bool {
    let mut endpoints = snapshot.endpoints.iter();
    !snapshot.endpoints.is_empty() && endpoints.all(|known| known.status.is_evacuated)
}
