//! Load balancing: choice of an endpoint for an attempt.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use model::{EndpointName, FailureDomain, LoadReport, NodeName, Slots};

use crate::aged_load::LoadEstimate;
use crate::known_endpoint::Exclusion;
use crate::random::RandomSource;
use crate::retry::Idempotence;

/// Mean service time assumed if no candidate has reported one.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(50);

/// Maximum age of a load report that is used without correction. Few calls start or end within this
/// time.
pub(crate) const FRESH_REPORT_AGE: Duration = Duration::from_millis(5);

/// Which calls may be sent to an endpoint. An endpoint whose node may be unreachable receives only
/// idempotent calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Stage {
    /// The endpoint receives all calls.
    Regular,
    /// The endpoint receives idempotent calls only.
    Probation,
}

/// Last known load of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownLoad {
    /// The last load report.
    pub report: LoadReport,
    /// Time since the report was received.
    pub age: Duration,
    /// In-flight calls that this node has sent since the report.
    pub sent_since: u32,
}

/// An endpoint that may be chosen for a call.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Name of the endpoint.
    pub endpoint: &'a EndpointName,
    /// The node that the endpoint is attached to.
    pub node: &'a NodeName,
    /// The failure domain of the node.
    pub domain: &'a FailureDomain,
    /// Number of concurrent calls that the endpoint has announced.
    pub slots: Slots,
    /// Traffic weight in percent, from 0 to 100.
    pub weight: u8,
    /// Which calls may be sent to the endpoint.
    pub stage: Stage,
    /// Cost added for recent failures of the network path to the endpoint.
    pub path_penalty: Duration,
    /// Last known load, if any was reported.
    pub load: Option<KnownLoad>,
}

impl Candidate<'_> {
    /// Returns why the endpoint can't be chosen for a call, or `None` if it can.
    pub fn exclusion(&self, idempotence: Idempotence) -> Option<Exclusion> {
        if self.weight == 0 {
            return Some(Exclusion::NoWeight);
        }
        if self.slots.0 == 0 {
            return Some(Exclusion::NoSlots);
        }
        let is_usable = self.stage == Stage::Regular || idempotence == Idempotence::Idempotent;
        (!is_usable).then_some(Exclusion::OnProbation)
    }
}

/// What an attempt asks of an endpoint without a free slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum OnBusy {
    /// To refuse it, so that the call goes on to another endpoint.
    #[default]
    Refuse,
    /// To queue it.
    Queue,
}

/// The endpoints that may be chosen for a call. Candidates are built on demand, so that a choice
/// among thousands of endpoints builds only a few.
pub trait Candidates {
    /// Number of candidates.
    fn count(&self) -> usize;

    /// The candidate at an index below [`Candidates::count`].
    fn candidate(&self, index: usize) -> Candidate<'_>;

    /// Number of other nodes that choose among the same endpoints.
    fn competitors(&self) -> usize {
        0
    }

    /// What the attempt asks for if the chosen endpoint is busy.
    fn on_busy(&self) -> OnBusy {
        OnBusy::default()
    }
}

impl Candidates for [Candidate<'_>] {
    fn count(&self) -> usize {
        self.len()
    }

    fn candidate(&self, index: usize) -> Candidate<'_> {
        self[index]
    }
}

impl Candidates for Vec<Candidate<'_>> {
    fn count(&self) -> usize {
        self.len()
    }

    fn candidate(&self, index: usize) -> Candidate<'_> {
        self[index]
    }
}

/// Why an endpoint was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reason {
    /// It had the lowest cost.
    LeastCost,
    /// It was chosen at random among several with the lowest cost.
    TieBroken,
    /// It was the only eligible endpoint in the sample.
    OnlyCandidate,
    /// All endpoints in the sample have a reduced weight, and none passed the random selection by
    /// weight.
    ReducedWeight,
    /// It was chosen at random in proportion to its expected free capacity.
    FreeCapacity,
}

/// A chosen endpoint, with the details written to the decision log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// Index of the candidate.
    pub index: usize,
    /// Name of the endpoint.
    pub endpoint: EndpointName,
    /// Why it was chosen.
    pub reason: Reason,
    /// Expected wait plus penalties.
    pub cost: Duration,
    /// Number of eligible candidates that were compared.
    pub considered: usize,
    /// Expected load of the endpoint, if the policy makes an estimate of it.
    pub estimate: Option<LoadEstimate>,
}

/// Candidates with their indexes.
type Indexed<'a> = Vec<(usize, Candidate<'a>)>;

/// The eligible candidates that a [`LoadPolicy`] chooses from.
#[derive(Debug)]
pub struct Sample<'a> {
    /// Indexes of the candidates and the candidates.
    pub candidates: &'a [(usize, Candidate<'a>)],
    /// Sampled endpoints that are not eligible, such as those that have refused the call. Their
    /// reports tell of the load of the service.
    pub excluded: &'a [(usize, Candidate<'a>)],
    /// The failure domain of this node.
    pub domain: &'a FailureDomain,
    /// Cost added for an endpoint in another failure domain.
    pub domain_penalty: Duration,
    /// Number of other nodes that choose among the same endpoints.
    pub competitors: usize,
    /// What the attempt asks for if the chosen endpoint is busy.
    pub on_busy: OnBusy,
}

impl Sample<'_> {
    /// Cost of a call to a candidate besides the wait there.
    pub fn penalty(&self, candidate: &Candidate<'_>) -> Duration {
        let domain_penalty = match candidate.domain == self.domain {
            true => Duration::ZERO,
            false => self.domain_penalty,
        };
        domain_penalty + candidate.path_penalty
    }
}

/// A candidate selected from a sample.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Selection {
    /// Index of the candidate.
    pub index: usize,
    /// Why it was selected.
    pub reason: Reason,
    /// Expected wait plus penalties.
    pub cost: Duration,
    /// Expected load of the endpoint, if the policy makes an estimate of it.
    pub estimate: Option<LoadEstimate>,
}

/// What is expected of a candidate in a choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Assessment {
    /// Expected wait plus penalties.
    pub cost: Duration,
    /// Expected load of the endpoint, if the policy makes an estimate of it.
    pub estimate: Option<LoadEstimate>,
}

/// Selects an endpoint by what is known of the load of the candidates.
pub trait LoadPolicy: fmt::Debug + Send + Sync {
    /// Assesses the candidates of a sample, in their order, as [`LoadPolicy::select`] does.
    fn assess(&self, sample: &Sample<'_>) -> Vec<Assessment>;

    /// Selects one of the candidates. Returns `None` if there is none.
    fn select(&self, sample: &Sample<'_>, random: &mut dyn RandomSource) -> Option<Selection>;
}

/// Parameters of a [`Balancer`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BalancerParams {
    /// Cost added for an endpoint in another failure domain: a round trip of about 3 ms and the
    /// price of traffic between domains. With 12 ms, a call with a service time of 60 ms
    /// leaves its failure domain if the expected wait there exceeds that elsewhere by more than a
    /// fifth of its service time.
    pub domain_penalty: Duration,
    /// Maximum number of candidates that are compared for one choice.
    pub sample_size: usize,
}

impl Default for BalancerParams {
    fn default() -> BalancerParams {
        BalancerParams { domain_penalty: Duration::from_millis(12), sample_size: 24 }
    }
}

/// Chooses the endpoint of an attempt by the expected wait plus penalties.
///
/// ```
/// use model::{LoadReport, Slots};
/// use routing::{Balancer, BalancerParams, Candidate, Idempotence, SplitMix64, Stage};
/// use std::time::Duration;
///
/// let (near, far) = ("mid-a".parse().unwrap(), "mid-b".parse().unwrap());
/// let names = ["orders-1".parse().unwrap(), "orders-2".parse().unwrap()];
/// let node = "node-1".parse().unwrap();
/// let candidate = |endpoint, domain| Candidate {
///     endpoint,
///     node: &node,
///     domain,
///     slots: Slots(3),
///     weight: 100,
///     stage: Stage::Regular,
///     path_penalty: Duration::ZERO,
///     load: None,
/// };
/// let candidates = vec![candidate(&names[0], &far), candidate(&names[1], &near)];
/// let balancer = Balancer::new(near.clone(), BalancerParams::default());
/// let mut random = SplitMix64::new(1);
/// let method = Idempotence::Idempotent;
/// let choice = balancer.choose(&candidates, &[], method, &mut random).unwrap();
/// assert_eq!(choice.endpoint, names[1]);
/// ```
#[derive(Debug, Clone)]
pub struct Balancer {
    domain: FailureDomain,
    params: BalancerParams,
    policy: Arc<dyn LoadPolicy>,
}

impl Balancer {
    /// Creates a balancer for a node in `domain` that uses [`LatestLoad`].
    pub fn new(domain: FailureDomain, params: BalancerParams) -> Balancer {
        Balancer::with_policy(domain, params, Arc::new(LatestLoad))
    }

    /// Creates a balancer for a node in `domain` that uses `policy`.
    pub fn with_policy(
        domain: FailureDomain,
        params: BalancerParams,
        policy: Arc<dyn LoadPolicy>,
    ) -> Balancer {
        Balancer { domain, params, policy }
    }

    /// Chooses an eligible candidate that is not in `tried`. Returns `None` if there is none.
    pub fn choose(
        &self,
        candidates: &dyn Candidates,
        tried: &[EndpointName],
        idempotence: Idempotence,
        random: &mut dyn RandomSource,
    ) -> Option<Choice> {
        let is_eligible = |candidate: &Candidate<'_>| {
            candidate.exclusion(idempotence).is_none() && !tried.contains(candidate.endpoint)
        };
        let (sampled, excluded) = self.sample(candidates, &is_eligible, random);
        let sample = self.compared(candidates, &sampled, &excluded);
        let Selection { index, reason, cost, estimate } = self.policy.select(&sample, random)?;
        let endpoint = candidates.candidate(index).endpoint.clone();
        Some(Choice { index, endpoint, reason, cost, considered: sampled.len(), estimate })
    }

    /// Assesses all candidates as if one choice compared all of them. `None` stands for those that can't
    /// be chosen.
    pub fn assess(
        &self,
        candidates: &dyn Candidates,
        idempotence: Idempotence,
    ) -> Vec<Option<Assessment>> {
        let all = (0..candidates.count()).map(|index| (index, candidates.candidate(index)));
        let (eligible, excluded): (Indexed<'_>, Indexed<'_>) =
            all.partition(|(_, candidate)| candidate.exclusion(idempotence).is_none());
        let assessed = self.policy.assess(&self.compared(candidates, &eligible, &excluded));
        let mut assessments = vec![None; candidates.count()];
        for ((index, _), assessment) in eligible.iter().zip(assessed) {
            assessments[*index] = Some(assessment);
        }
        assessments
    }

    fn compared<'a>(
        &'a self,
        candidates: &dyn Candidates,
        eligible: &'a [(usize, Candidate<'a>)],
        excluded: &'a [(usize, Candidate<'a>)],
    ) -> Sample<'a> {
        Sample {
            candidates: eligible,
            excluded,
            domain: &self.domain,
            domain_penalty: self.params.domain_penalty,
            competitors: candidates.competitors(),
            on_busy: candidates.on_busy(),
        }
    }

    /// Returns eligible candidates and their indexes: all of them if the number of candidates is
    /// within the sample size, otherwise those in a random sample. If the sample contains none,
    /// scans all candidates from a random position and returns the first eligible one. Also returns
    /// the candidates of the sample that are not eligible.
    fn sample<'a>(
        &self,
        candidates: &'a dyn Candidates,
        is_eligible: &dyn Fn(&Candidate<'_>) -> bool,
        random: &mut dyn RandomSource,
    ) -> (Indexed<'a>, Indexed<'a>) {
        let count = candidates.count();
        let at = |index: usize| (index, candidates.candidate(index));
        let eligible = |(_, candidate): &(usize, Candidate<'a>)| is_eligible(candidate);
        if count <= self.params.sample_size {
            return (0..count).map(at).partition(eligible);
        }
        let mut indexes: Vec<usize> =
            (0..self.params.sample_size).map(|_| random.below(count)).collect();
        indexes.sort_unstable();
        indexes.dedup();
        let (sampled, excluded): (Indexed<'_>, Indexed<'_>) =
            indexes.into_iter().map(at).partition(eligible);
        if !sampled.is_empty() {
            return (sampled, excluded);
        }
        let first = random.below(count);
        let found = (0..count).map(|offset| at((first + offset) % count)).find(eligible);
        (found.into_iter().collect(), excluded)
    }
}

/// Selects the candidate with the lowest expected wait plus penalties, by the last report of each.
/// The calls in a report are assumed to end without others taking their place.
#[derive(Debug, Clone, Copy, Default)]
pub struct LatestLoad;

impl LoadPolicy for LatestLoad {
    fn assess(&self, sample: &Sample<'_>) -> Vec<Assessment> {
        let candidates = sample.candidates.iter().map(|(_, candidate)| candidate);
        let average = AverageLoad::of(candidates.clone());
        let cost = |candidate| expected_wait(candidate, &average) + sample.penalty(candidate);
        candidates.map(|candidate| Assessment { cost: cost(candidate), estimate: None }).collect()
    }

    fn select(&self, sample: &Sample<'_>, random: &mut dyn RandomSource) -> Option<Selection> {
        let assessments = self.assess(sample);
        let mut selected = Minimum::default();
        let mut skipped = Minimum::default();
        for (position, (_, candidate)) in sample.candidates.iter().enumerate() {
            let cost = assessments[position].cost;
            if candidate.weight >= 100 || random.below(100) < usize::from(candidate.weight) {
                selected.update(position, cost, random);
            } else {
                // One percent of weight counts as much as 1 s of cost, so the rank is by descending
                // weight first for costs below 1 s.
                let rank = Duration::from_secs(u64::from(100 - candidate.weight)) + cost;
                skipped.update(position, rank, random);
            }
        }
        let (winner, reason) = match (selected.index, skipped.index) {
            (Some(position), _) if sample.candidates.len() == 1 => {
                (position, Reason::OnlyCandidate)
            }
            (Some(position), _) if selected.ties > 1 => (position, Reason::TieBroken),
            (Some(position), _) => (position, Reason::LeastCost),
            (None, Some(position)) => (position, Reason::ReducedWeight),
            (None, None) => return None,
        };
        let Assessment { cost, estimate } = assessments[winner];
        Some(Selection { index: sample.candidates[winner].0, reason, cost, estimate })
    }
}

/// Estimates how long a call would wait for a slot.
///
/// The calls in a report end within a few service times, so their number decays exponentially with
/// the age of the report. A report older than [`FRESH_REPORT_AGE`] can only raise the estimate
/// above the average of the candidates, never lower it: by then other nodes have sent calls to an
/// endpoint that had a free slot.
fn expected_wait(candidate: &Candidate<'_>, average: &AverageLoad) -> Duration {
    let slots = f64::from(candidate.slots.0);
    let average_wait = average.wait(slots);
    let Some(KnownLoad { report, age, sent_since }) = candidate.load else {
        return average_wait;
    };
    let service = report.mean_service;
    let age_in_service_times = age.as_secs_f64() / service.as_secs_f64().max(1e-6);
    let reported =
        f64::from(report.running.saturating_add(report.queued)) * (-age_in_service_times).exp();
    let load = reported + f64::from(sent_since);
    let wait = service.mul_f64((load + 1.0 - slots).max(0.0) / slots);
    if age <= FRESH_REPORT_AGE { wait } else { average_wait.max(wait) }
}

/// Utilization and service time averaged over the sampled candidates. The figures of a single
/// endpoint vary randomly, and all nodes would send their calls to the endpoint with the lowest
/// one.
#[derive(Debug)]
pub(crate) struct AverageLoad {
    /// Fraction of the slots that were in use according to the last reports.
    utilization: f64,
    mean_service: Duration,
}

impl AverageLoad {
    pub(crate) fn of<'a>(candidates: impl Iterator<Item = &'a Candidate<'a>>) -> AverageLoad {
        let (mut running, mut slots, mut reports) = (0u32, 0u32, 0u32);
        let mut service = Duration::ZERO;
        for KnownLoad { report, .. } in candidates.filter_map(|candidate| candidate.load) {
            running = running.saturating_add(report.running);
            slots = slots.saturating_add(report.slots.0);
            service += report.mean_service;
            reports += 1;
        }
        let utilization = f64::from(running) / f64::from(slots.max(1));
        let mean_service = service.checked_div(reports).unwrap_or(DEFAULT_SERVICE_TIME);
        AverageLoad { utilization, mean_service }
    }

    /// Mean wait at an endpoint with this many slots, by Sakasegawa's approximation for M/M/c
    /// queues. The utilization is capped, as the wait grows without bound near 1.
    pub(crate) fn wait(&self, slots: f64) -> Duration {
        let utilization = self.utilization.clamp(0.0, 0.95);
        let exponent = (2.0 * (slots + 1.0)).sqrt() - 1.0;
        let wait_in_service_times = utilization.powf(exponent) / (slots * (1.0 - utilization));
        self.mean_service.mul_f64(wait_in_service_times)
    }
}

/// The lowest cost seen so far. Each of several equal candidates is equally likely to be kept
/// (reservoir sampling).
#[derive(Debug, Default)]
struct Minimum {
    index: Option<usize>,
    cost: Duration,
    ties: usize,
}

impl Minimum {
    fn update(&mut self, index: usize, cost: Duration, random: &mut dyn RandomSource) {
        if self.index.is_none() || cost < self.cost {
            *self = Minimum { index: Some(index), cost, ties: 1 };
        } else if cost == self.cost {
            self.ties += 1;
            if random.below(self.ties) == 0 {
                self.index = Some(index);
            }
        }
    }
}
