//! Estimate of the free capacity of endpoints from reports that are out of date.
//!
//! Addresses uneven load with many nodes: if all of them send their calls to the endpoint that looked
//! least loaded in its last report, endpoints are overloaded in turn while others are idle. A report
//! says less the older it is. The estimate therefore moves from what was reported towards the mean
//! utilization of the failure domain, and the choice is at random in proportion to the expected free
//! capacity. `docs/design/even-load.md` has the alternatives and the figures.

use std::fmt;
use std::time::Duration;

use model::{FailureDomain, LoadReport, Percent};

use crate::balancer::{
    Assessment, AverageLoad, Candidate, FRESH_REPORT_AGE, KnownLoad, LoadPolicy, OnBusy, Reason,
    Sample, Selection,
};
use crate::random::RandomSource;

/// Mean service time assumed if no candidate has reported one.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(50);

/// Utilization assumed if no candidate has reported its load.
const DEFAULT_UTILIZATION: f64 = 0.5;

/// Cost of an attempt that a busy endpoint refuses, about a round trip.
const TRIAL_SECONDS: f64 = 0.003;

/// Lower limit of the probability of a free slot, so that costs stay finite.
const MIN_FREE_PROBABILITY: f64 = 0.001;

/// Factor to the median service time of the candidates above which the time that a call takes longer
/// counts as cost. Differences below it come with the mix of requests, and the choice in proportion
/// to the free capacity covers them.
const NORMAL_SLOWNESS: f64 = 2.0;

/// Lower limit of a service time in relation to the median of the candidates. An endpoint that has
/// served few calls reports the initial value of its average, which may be far too short.
const MIN_SERVICE_RATIO: f64 = 0.5;

/// Upper limit of a service time. A longer one in a report is a mistake.
const MAX_SERVICE_SECONDS: f64 = 3600.0;

/// Time in which fewer slots in a report than in the directory are given up as out of date. An
/// endpoint offers fewer for some seconds after its start, and an entry that sends it no calls would
/// never learn that it offers more.
const SLOTS_RECOVERY_SECONDS: f64 = 3.0;

/// Variance of the load of an endpoint besides what the age of the report explains: calls that arrive
/// within a round trip.
const MIN_VARIANCE: f64 = 0.1;

/// Number of endpoints that the mean utilization of a service counts for in that of a failure domain.
const SERVICE_MEAN_WEIGHT: f64 = 2.0;

/// Number of refusals by busy endpoints after which a call waits in a queue.
const REFUSALS_BEFORE_QUEUE: f64 = 5.0;

/// Lower limit of a weight in the random selection, in calls per second, so that a candidate with the
/// lowest cost can always be drawn.
const MIN_WEIGHT: f64 = 1e-6;

/// How to select among the candidates by their estimates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Spread {
    /// The candidate with the lowest cost.
    Least,
    /// One of the candidates with nearly the lowest cost, in proportion to its expected free capacity.
    FreeCapacity,
    /// The one with the lowest cost of so many candidates that are drawn like that.
    PowerOf(usize),
}

/// Expected load of an endpoint at the time of a choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadEstimate {
    /// Probability that a slot is free.
    pub free: Percent,
    /// Age of the report that the estimate is made from, if there is one.
    pub age: Option<Duration>,
}

impl LoadEstimate {
    /// Whether a free slot is more likely than none.
    pub fn expects_free_slot(self) -> bool {
        self.free.value() >= 50
    }
}

impl fmt::Display for LoadEstimate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.age {
            Some(age) => {
                write!(f, "free {}% by a report {} ms old", self.free.value(), age.as_millis())
            }
            None => write!(f, "free {}% without a report", self.free.value()),
        }
    }
}

/// Selects a candidate by its expected free capacity at the time of the choice.
///
/// ```
/// use routing::{AgedLoad, Balancer, BalancerParams, Spread};
/// use std::sync::Arc;
///
/// let domain = "mid-a".parse().unwrap();
/// let policy = Arc::new(AgedLoad::new(Spread::FreeCapacity));
/// let balancer = Balancer::with_policy(domain, BalancerParams::default(), policy);
/// ```
#[derive(Debug, Clone, Copy)]
pub struct AgedLoad {
    spread: Spread,
}

impl AgedLoad {
    /// Creates the policy.
    pub fn new(spread: Spread) -> AgedLoad {
        AgedLoad { spread }
    }
}

impl Default for AgedLoad {
    fn default() -> AgedLoad {
        AgedLoad::new(Spread::FreeCapacity)
    }
}

/// What is expected of one candidate.
#[derive(Debug, Clone, Copy)]
struct Expected {
    free_slots: f64,
    free_probability: f64,
    service: f64,
    slots: f64,
    /// Expected wait for a slot in seconds.
    wait: f64,
    /// Cost in seconds by which candidates are ranked.
    rank: f64,
}

/// Sums of the last reports of a failure domain.
#[derive(Debug)]
struct DomainLoad<'a> {
    domain: &'a FailureDomain,
    load: f64,
    slots: f64,
}

/// What the reports say of the service as a whole.
#[derive(Debug)]
struct ServiceLoad<'a> {
    utilization: f64,
    domains: Vec<DomainLoad<'a>>,
    median_service: f64,
    /// Cost in seconds of an attempt that a busy endpoint refuses.
    trial: f64,
    /// Share of the arrivals that this node doesn't know of.
    unknown_share: f64,
    average: AverageLoad,
}

impl<'a> ServiceLoad<'a> {
    fn of(sample: &Sample<'a>) -> ServiceLoad<'a> {
        let mut domains: Vec<DomainLoad<'_>> = Vec::new();
        let mut services = Vec::with_capacity(sample.candidates.len());
        for (_, candidate) in sample.candidates.iter().chain(sample.excluded) {
            let Some(KnownLoad { report, .. }) = candidate.load else { continue };
            let position = domains.iter().position(|sum| sum.domain == candidate.domain);
            let position = position.unwrap_or_else(|| {
                domains.push(DomainLoad { domain: candidate.domain, load: 0.0, slots: 0.0 });
                domains.len() - 1
            });
            domains[position].load += reported_load(&report);
            domains[position].slots += f64::from(report.slots.0);
            services.push(report.mean_service);
        }
        let load: f64 = domains.iter().map(|sum| sum.load).sum();
        let slots: f64 = domains.iter().map(|sum| sum.slots).sum();
        services.sort_unstable();
        let median = services.get(services.len() / 2).copied().unwrap_or(DEFAULT_SERVICE_TIME);
        let median_service = median.as_secs_f64().clamp(1e-6, MAX_SERVICE_SECONDS);
        let announced = sample.candidates.iter().map(|(_, candidate)| f64::from(candidate.slots.0));
        let mean_slots = announced.sum::<f64>() / sample.candidates.len().max(1) as f64;
        let competitors = sample.competitors as f64;
        ServiceLoad {
            utilization: if slots > 0.0 { load / slots } else { DEFAULT_UTILIZATION },
            domains,
            median_service,
            trial: TRIAL_SECONDS + median_service / mean_slots.max(1.0) / REFUSALS_BEFORE_QUEUE,
            unknown_share: competitors / (competitors + 1.0),
            average: AverageLoad::of(sample.candidates.iter().map(|(_, candidate)| candidate)),
        }
    }

    /// Mean utilization of the failure domain of a candidate. The demand differs between failure
    /// domains. The mean of the service counts as much as [`SERVICE_MEAN_WEIGHT`] endpoints.
    fn usual_utilization(&self, candidate: &Candidate<'_>) -> f64 {
        let own = self.domains.iter().find(|sum| sum.domain == candidate.domain);
        let (load, slots) = own.map_or((0.0, 0.0), |sum| (sum.load, sum.slots));
        let weight = SERVICE_MEAN_WEIGHT * f64::from(candidate.slots.0.max(1));
        (load + self.utilization * weight) / (slots + weight)
    }

    fn expected(&self, candidate: &Candidate<'_>, sample: &Sample<'_>) -> Expected {
        let slots = offered_slots(candidate);
        let usual = self.usual_utilization(candidate) * slots;
        let service = candidate.load.map_or(self.median_service, |load| {
            let reported = load.report.mean_service.as_secs_f64().min(MAX_SERVICE_SECONDS);
            reported.max(self.median_service * MIN_SERVICE_RATIO)
        });
        let (mean, variance, kept) = match candidate.load {
            None => (usual, usual, 0.0),
            Some(KnownLoad { report, age, sent_since }) => {
                let reported = reported_load(&report);
                // A full endpoint finishes as many calls as it has slots in a service time.
                let time_constant = service * (reported / slots).max(1.0);
                let kept = (-age.as_secs_f64() / time_constant).exp();
                let arrived = usual * (1.0 - kept) * self.unknown_share;
                let variance = reported * kept * (1.0 - kept) + arrived;
                (reported * kept + arrived + f64::from(sent_since), variance, kept)
            }
        };
        let load = Logistic::new(mean, variance + MIN_VARIANCE);
        let free_probability = load.below(slots - 0.5).max(MIN_FREE_PROBABILITY);
        let wait = load.excess(slots - 1.0) * service / slots;
        let penalty = sample.penalty(candidate).as_secs_f64();
        let slowness = (service - NORMAL_SLOWNESS * self.median_service).max(0.0);
        let turn = match sample.on_busy {
            OnBusy::Refuse => (self.trial / free_probability).min(self.trial + wait),
            OnBusy::Queue => {
                // Queues differ more than the numbers of running calls do, and the call stays in the
                // one that it finds.
                let usual_wait = self.average.wait(slots).as_secs_f64().max(wait);
                wait * kept + usual_wait * (1.0 - kept)
            }
        };
        Expected {
            free_slots: load.shortfall(slots),
            free_probability,
            service,
            slots,
            wait,
            rank: turn + penalty + slowness,
        }
    }
}

impl ServiceLoad<'_> {
    /// What a choice says of a candidate.
    fn assessment(
        &self,
        expected: &Expected,
        candidate: &Candidate<'_>,
        sample: &Sample<'_>,
    ) -> Assessment {
        // The entry takes a high cost for a sign of overload and then queues sooner. Its limit was
        // chosen for costs that are at least the average wait unless the report is fresh.
        let is_fresh = candidate.load.is_some_and(|load| load.age <= FRESH_REPORT_AGE);
        let expected_wait = Duration::from_secs_f64(expected.wait);
        let wait = match is_fresh {
            true => expected_wait,
            false => expected_wait.max(self.average.wait(expected.slots)),
        };
        let free = Percent::new((expected.free_probability * 100.0) as u8).unwrap_or_default();
        Assessment {
            cost: wait + sample.penalty(candidate),
            estimate: Some(LoadEstimate { free, age: candidate.load.map(|load| load.age) }),
        }
    }
}

fn reported_load(report: &LoadReport) -> f64 {
    f64::from(report.running) + f64::from(report.queued)
}

/// Number of slots that an endpoint is expected to offer now, at least 1.
fn offered_slots(candidate: &Candidate<'_>) -> f64 {
    let announced = f64::from(candidate.slots.0);
    let offered = candidate.load.map_or(announced, |load| {
        let missing = (announced - f64::from(load.report.slots.0)).max(0.0);
        announced - missing * (-load.age.as_secs_f64() / SLOTS_RECOVERY_SECONDS).exp()
    });
    offered.max(1.0)
}

/// Logistic distribution, close to a normal one and with simple integrals.
struct Logistic {
    mean: f64,
    scale: f64,
}

impl Logistic {
    fn new(mean: f64, variance: f64) -> Logistic {
        Logistic { mean, scale: (3.0 * variance).sqrt() / std::f64::consts::PI }
    }

    /// Probability of a value below `limit`.
    fn below(&self, limit: f64) -> f64 {
        1.0 / (1.0 + ((self.mean - limit) / self.scale).exp())
    }

    /// Mean amount by which a value exceeds `limit`, counting lower ones as 0.
    fn excess(&self, limit: f64) -> f64 {
        let distance = (self.mean - limit) / self.scale;
        self.scale * (distance.max(0.0) + (-distance.abs()).exp().ln_1p())
    }

    /// Mean amount by which a value is below `limit`, counting higher ones as 0.
    fn shortfall(&self, limit: f64) -> f64 {
        Logistic { mean: -self.mean, scale: self.scale }.excess(-limit)
    }
}

/// Returns a number from 0 to 1, excluding 1.
fn unit(random: &mut dyn RandomSource) -> f64 {
    (random.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// Draws a position in proportion to the weights, which are not negative.
fn draw(weights: &[f64], random: &mut dyn RandomSource) -> usize {
    let mut left = unit(random) * weights.iter().sum::<f64>();
    let position = weights.iter().position(|weight| {
        left -= weight;
        left < 0.0
    });
    // Rounding may leave a small rest.
    position.or(weights.iter().rposition(|weight| *weight > 0.0)).unwrap_or(0)
}

impl LoadPolicy for AgedLoad {
    fn assess(&self, sample: &Sample<'_>) -> Vec<Assessment> {
        let service = ServiceLoad::of(sample);
        let candidates = sample.candidates.iter().map(|(_, candidate)| candidate);
        let assess = |candidate| {
            let expected = service.expected(candidate, sample);
            service.assessment(&expected, candidate, sample)
        };
        candidates.map(assess).collect()
    }

    fn select(&self, sample: &Sample<'_>, random: &mut dyn RandomSource) -> Option<Selection> {
        let service = ServiceLoad::of(sample);
        let expected: Vec<Expected> = sample
            .candidates
            .iter()
            .map(|(_, candidate)| service.expected(candidate, sample))
            .collect();
        let (positions, selected_by_weight) = select_by_weight(sample, random);
        let by_rank = |a: &&usize, b: &&usize| expected[**a].rank.total_cmp(&expected[**b].rank);
        let least = *positions.iter().min_by(by_rank)?;
        let near = |position: &usize| {
            expected[*position].rank
                <= expected[least].rank + sample.domain_penalty.as_secs_f64() / 2.0
        };
        let free_capacity = |position: &usize| match near(position) {
            true => (expected[*position].free_slots / expected[*position].service).max(MIN_WEIGHT),
            false => 0.0,
        };
        let weights: Vec<f64> = positions.iter().map(free_capacity).collect();
        let position = match self.spread {
            Spread::Least => least,
            Spread::FreeCapacity => positions[draw(&weights, random)],
            Spread::PowerOf(count) => {
                let drawn: Vec<usize> =
                    (0..count.max(1)).map(|_| positions[draw(&weights, random)]).collect();
                *drawn.iter().min_by(by_rank)?
            }
        };
        let (index, candidate) = &sample.candidates[position];
        let reason = match selected_by_weight {
            ByWeight::Passed if sample.candidates.len() == 1 => Reason::OnlyCandidate,
            ByWeight::Passed => Reason::FreeCapacity,
            ByWeight::NonePassed => Reason::ReducedWeight,
        };
        let Assessment { cost, estimate } =
            service.assessment(&expected[position], candidate, sample);
        Some(Selection { index: *index, reason, cost, estimate })
    }
}

/// Whether candidates have passed the random selection by weight.
enum ByWeight {
    Passed,
    NonePassed,
}

/// Returns the positions of the candidates that pass a random selection by their traffic weight, or of
/// those with the highest weight if none passes.
fn select_by_weight(sample: &Sample<'_>, random: &mut dyn RandomSource) -> (Vec<usize>, ByWeight) {
    let weight = |position: &usize| sample.candidates[*position].1.weight;
    let all = 0..sample.candidates.len();
    let passed: Vec<usize> = all
        .clone()
        .filter(|at| weight(at) >= 100 || random.below(100) < usize::from(weight(at)))
        .collect();
    if !passed.is_empty() {
        return (passed, ByWeight::Passed);
    }
    let highest = all.clone().map(|at| weight(&at)).max();
    (all.filter(|at| Some(weight(at)) == highest).collect(), ByWeight::NonePassed)
}
