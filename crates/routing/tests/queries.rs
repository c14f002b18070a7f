//! Queries for the load of endpoints, and what a fresh reply changes in the choice.

use std::time::Duration;

use model::{EndpointName, FailureDomain, LoadReport, NodeName, Slots, Time};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use routing::{
    Balancer, BalancerParams, Candidate, Choice, Idempotence, KnownLoad, QueryBudget, SplitMix64,
    Stage,
};

const OWN: &str = "mid-a";

/// An endpoint: failure domain, running calls and age of the report in milliseconds.
type Spec = (&'static str, u32, u64);

struct Names {
    node: NodeName,
    endpoints: Vec<EndpointName>,
    domains: Vec<FailureDomain>,
}

impl Names {
    fn of(specs: &[Spec]) -> Names {
        let name = |number| format!("orders-{number}").parse().unwrap();
        Names {
            node: "node-1".parse().unwrap(),
            endpoints: (0..specs.len()).map(name).collect(),
            domains: specs.iter().map(|(domain, ..)| domain.parse().unwrap()).collect(),
        }
    }

    fn candidates(&self, specs: &[Spec]) -> Vec<Candidate<'_>> {
        let slots = Slots(3);
        let mean_service = Duration::from_millis(50);
        let candidate = |(index, &(_, running, age)): (usize, &Spec)| {
            let report = LoadReport { slots, running, queued: 0, mean_service };
            Candidate {
                endpoint: &self.endpoints[index],
                node: &self.node,
                domain: &self.domains[index],
                slots,
                weight: 100,
                stage: Stage::Regular,
                path_penalty: Duration::ZERO,
                load: Some(KnownLoad { report, age: Duration::from_millis(age), sent_since: 0 }),
            }
        };
        specs.iter().enumerate().map(candidate).collect()
    }
}

/// Chooses many times and returns the indexes that were chosen and, for each, those queried.
fn chosen(specs: &[Spec], avoided: &[usize]) -> Vec<(usize, Vec<usize>)> {
    let names = Names::of(specs);
    let candidates = names.candidates(specs);
    let avoided: Vec<_> = avoided.iter().map(|&index| names.endpoints[index].clone()).collect();
    let balancer = Balancer::new(OWN.parse().unwrap(), BalancerParams::default());
    let mut random = SplitMix64::new(3);
    let method = Idempotence::NonIdempotent;
    let mut round = || {
        let choice: Choice = balancer.choose(&candidates, &avoided, method, &mut random).unwrap();
        let queried = balancer.queried(&candidates, &choice, &avoided, method, &mut random);
        (choice.index, queried)
    };
    (0..200).map(|_| round()).collect()
}

/// Guards against a reply to a query that tells a free endpoint from an unknown one no better than
/// the mean use does.
#[test]
fn a_fresh_report_of_a_free_slot_is_preferred() {
    let specs = [("mid-b", 3, 900), ("mid-b", 3, 900), ("mid-c", 1, 4), ("mid-c", 3, 900)];
    assert!(chosen(&specs, &[]).iter().all(|(index, _)| *index == 2));
}

/// Guards against all entries sending to the endpoint whose heartbeat reported a free slot.
#[test]
fn an_older_report_of_a_free_slot_is_not_preferred() {
    let specs = [("mid-b", 3, 900), ("mid-b", 3, 900), ("mid-c", 1, 300), ("mid-c", 3, 900)];
    assert!(chosen(&specs, &[]).iter().any(|(index, _)| *index != 2));
}

/// Guards against queries where a refusal costs less than the query.
#[test]
fn a_choice_in_the_own_domain_queries_nothing() {
    let specs = [(OWN, 0, 900), (OWN, 0, 900), ("mid-b", 0, 900)];
    assert!(chosen(&specs, &[0]).iter().all(|(index, queried)| *index == 1 && queried.is_empty()));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against queries to the chosen or to a refused endpoint, and to one endpoint twice.
    #[test]
    fn only_other_endpoints_are_queried(
        loads in prop::collection::vec((0..4u32, 0..1000u64), 2..10),
        refused in 0..10usize,
    ) {
        let spec = |&(running, age): &(u32, u64)| ("mid-b", running, age);
        let specs: Vec<Spec> = loads.iter().map(spec).collect();
        let refused = refused % specs.len();
        for (index, mut queried) in chosen(&specs, &[refused]) {
            prop_assert_eq!(queried.len(), (specs.len() - 2).min(3));
            prop_assert!(!queried.contains(&index) && !queried.contains(&refused));
            queried.sort_unstable();
            queried.dedup();
            prop_assert_eq!(queried.len(), (specs.len() - 2).min(3));
        }
    }

    /// Guards against control traffic that grows with the use of the slots.
    #[test]
    fn no_second_sees_more_queries_than_burst_and_rate(
        steps in prop::collection::vec((0..200_000u64, 0..6u32), 1..200),
    ) {
        let mut budget = QueryBudget::default();
        let (mut now, mut taken) = (0, 0);
        for (pause, wanted) in steps {
            now += pause;
            let granted = budget.take(wanted, Time::from_micros(now));
            prop_assert!(granted <= wanted);
            taken += u64::from(granted);
            prop_assert!(taken <= 20 + now * 20 / 1_000_000);
        }
    }
}
