//! Tests of the load balancer.

use std::time::Duration;

use model::{EndpointName, FailureDomain, LoadReport, NodeName, Slots};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use routing::{
    Balancer, BalancerParams, Candidate, Candidates, Idempotence, KnownLoad, Reason, SplitMix64,
    Stage,
};

/// Test description of an endpoint.
#[derive(Debug, Clone)]
struct Spec {
    name: EndpointName,
    domain: FailureDomain,
    running: u32,
    weight: u8,
    stage: Stage,
}

struct Fleet {
    node: NodeName,
    specs: Vec<Spec>,
}

impl Candidates for Fleet {
    fn count(&self) -> usize {
        self.specs.len()
    }

    fn candidate(&self, index: usize) -> Candidate<'_> {
        let spec = &self.specs[index];
        let slots = Slots(3);
        let mean_service = Duration::from_millis(50);
        let report = LoadReport { slots, running: spec.running, queued: 0, mean_service };
        Candidate {
            endpoint: &spec.name,
            node: &self.node,
            domain: &spec.domain,
            slots,
            weight: spec.weight,
            stage: spec.stage,
            path_penalty: Duration::ZERO,
            load: Some(KnownLoad { report, age: Duration::ZERO, sent_since: 0 }),
        }
    }
}

fn domain(number: u32) -> FailureDomain {
    format!("mid-{number}").parse().unwrap()
}

fn spec(number: usize, in_domain: u32, running: u32, weight: u8) -> Spec {
    let name = format!("orders-{number}").parse().unwrap();
    Spec { name, domain: domain(in_domain), running, weight, stage: Stage::Regular }
}

fn fleet(specs: Vec<Spec>) -> Fleet {
    Fleet { node: "node-1".parse().unwrap(), specs }
}

fn balancer() -> Balancer {
    Balancer::new(domain(0), BalancerParams::default())
}

/// Returns how often each endpoint is chosen.
fn counts(fleet: &Fleet, idempotence: Idempotence, rounds: usize) -> Vec<usize> {
    let mut random = SplitMix64::new(3);
    let mut counts = vec![0; fleet.specs.len()];
    for _ in 0..rounds {
        let choice = balancer().choose(fleet, &[], idempotence, &mut random).unwrap();
        counts[choice.index] += 1;
    }
    counts
}

/// Guards against calls that cross failure domains although the local domain has a free slot, and
/// against calls that queue locally although another domain has one.
#[test]
fn local_domain_is_preferred_until_it_is_full() {
    let near_free = fleet(vec![spec(0, 0, 2, 100), spec(1, 1, 0, 100)]);
    assert_eq!(counts(&near_free, Idempotence::Idempotent, 100), [100, 0]);
    let near_full = fleet(vec![spec(0, 0, 3, 100), spec(1, 1, 0, 100)]);
    assert_eq!(counts(&near_full, Idempotence::Idempotent, 100), [0, 100]);
}

/// Guards against all nodes choosing the same one of several equal endpoints.
#[test]
fn ties_are_broken_uniformly() {
    let equal = fleet((0..4).map(|number| spec(number, 0, 0, 100)).collect());
    let counts = counts(&equal, Idempotence::Idempotent, 4000);
    assert!(counts.iter().all(|count| (850..1150).contains(count)), "{counts:?}");
}

/// Guards against a recovering endpoint that receives full traffic immediately, or none.
#[test]
fn reduced_weight_receives_proportional_traffic() {
    let mut specs: Vec<Spec> = (0..4).map(|number| spec(number, 0, 0, 100)).collect();
    specs[0].weight = 10;
    let shares = counts(&fleet(specs.clone()), Idempotence::Idempotent, 20_000);
    assert!((300..800).contains(&shares[0]), "{shares:?}");
    specs[0].stage = Stage::Probation;
    assert_eq!(counts(&fleet(specs), Idempotence::NonIdempotent, 1000)[0], 0);
}

/// Guards against refusing calls although an endpoint with a low weight could accept them.
#[test]
fn only_eligible_endpoint_is_used_regardless_of_weight() {
    let last = fleet(vec![spec(0, 0, 0, 0), spec(1, 0, 0, 1)]);
    assert_eq!(counts(&last, Idempotence::Idempotent, 100), [0, 100]);
    let far_end: Vec<Spec> =
        (0..1000).map(|number| spec(number, 0, 0, if number == 777 { 1 } else { 0 })).collect();
    assert_eq!(counts(&fleet(far_end), Idempotence::Idempotent, 20)[777], 20);
}

/// Guards against a cost per decision that grows with the number of endpoints.
#[test]
fn comparisons_are_limited_to_the_sample_size() {
    let many = fleet((0..1000).map(|number| spec(number, 0, 0, 100)).collect());
    let mut random = SplitMix64::new(3);
    let choice = balancer().choose(&many, &[], Idempotence::Idempotent, &mut random).unwrap();
    assert!(choice.considered <= BalancerParams::default().sample_size);
    assert_eq!(choice.reason, Reason::TieBroken);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against choosing an endpoint that has been tried, is ejected or is on probation.
    #[test]
    fn only_eligible_endpoints_are_chosen(
        states in prop::collection::vec((0..3u32, 0..6u32, 0..=100u8, any::<bool>()), 0..60),
        tried in prop::collection::vec(0..60usize, 0..3),
        seed in any::<u64>(),
    ) {
        let specs = states.iter().enumerate().map(|(number, &(domain, running, weight, regular))| {
            let stage = if regular { Stage::Regular } else { Stage::Probation };
            let weight = if weight < 30 { 0 } else { weight };
            Spec { stage, ..spec(number, domain, running, weight) }
        });
        let fleet = fleet(specs.collect());
        let tried: Vec<EndpointName> =
            tried.iter().filter_map(|&index| Some(fleet.specs.get(index)?.name.clone())).collect();
        let eligible = |spec: &Spec| {
            spec.weight > 0 && spec.stage == Stage::Regular && !tried.contains(&spec.name)
        };
        let method = Idempotence::NonIdempotent;
        let choice = balancer().choose(&fleet, &tried, method, &mut SplitMix64::new(seed));
        prop_assert_eq!(choice.is_some(), fleet.specs.iter().any(eligible));
        if let Some(choice) = choice {
            prop_assert!(eligible(&fleet.specs[choice.index]));
        }
    }
}

/// Load report of an endpoint: number of running calls, and age in milliseconds.
type Report = (u32, u64);

/// Chooses 200 times among endpoints of a remote failure domain and returns the chosen indexes.
fn chosen_by_reports(reports: &[Report]) -> Vec<usize> {
    let node = "node-1".parse().unwrap();
    let domain = "mid-b".parse().unwrap();
    let names: Vec<EndpointName> =
        (0..reports.len()).map(|number| format!("orders-{number}").parse().unwrap()).collect();
    let (slots, mean_service) = (Slots(3), Duration::from_millis(50));
    let candidates: Vec<Candidate<'_>> = reports
        .iter()
        .zip(&names)
        .map(|(&(running, age), endpoint)| {
            let report = LoadReport { slots, running, queued: 0, mean_service };
            let age = Duration::from_millis(age);
            Candidate {
                endpoint,
                node: &node,
                domain: &domain,
                slots,
                weight: 100,
                stage: Stage::Regular,
                path_penalty: Duration::ZERO,
                load: Some(KnownLoad { report, age, sent_since: 0 }),
            }
        })
        .collect();
    let balancer = Balancer::new("mid-a".parse().unwrap(), BalancerParams::default());
    let mut random = SplitMix64::new(3);
    let method = Idempotence::NonIdempotent;
    let mut choose = || balancer.choose(&candidates, &[], method, &mut random).unwrap().index;
    (0..200).map(|_| choose()).collect()
}

/// Guards against ignoring a fresh report of a free slot in favour of the average load.
#[test]
fn fresh_report_of_free_slot_is_preferred() {
    let reports = [(3, 900), (3, 900), (1, 4), (3, 900)];
    assert!(chosen_by_reports(&reports).iter().all(|index| *index == 2));
}

/// Guards against all nodes sending calls to an endpoint because an outdated report shows a free
/// slot.
#[test]
fn outdated_report_of_free_slot_is_not_preferred() {
    let reports = [(3, 900), (3, 900), (1, 300), (3, 900)];
    assert!(chosen_by_reports(&reports).iter().any(|index| *index != 2));
}
