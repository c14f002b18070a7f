//! The bound on the retries of a service, over all of its endpoints and whatever the entries.

use admission::{
    Arrival, Attempt, Check, Decision, Guard, GuardLimits, Patience, RetryAllowance, Standing,
};
use model::{
    AttemptId, EndpointName, EndpointState, Incarnation, Percent, Rate, ResultCode, Slots, Time,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// The users' bounds: retries in 10 s beside a fifth of the requests.
const SLACK: u64 = 64;

/// What the adapter grants of the fifth, in percent, and what the nodes use of the slack.
const SHARE: u8 = 14;
const SPARE_MILLI: u32 = 48_000;

const FIRST: Arrival = Arrival::First { of_retry: Percent::ZERO };

fn ms(now: u64) -> Time {
    Time::from_micros(now * 1000)
}

fn allow(_: &Attempt) -> Check {
    Check::Allowed
}

fn endpoint() -> EndpointName {
    "orders-1".parse().unwrap()
}

/// Guards in front of one endpoint each, which takes every call at once.
struct Service {
    guards: Vec<Guard>,
    sequence: u64,
}

impl Service {
    fn start(endpoints: usize) -> Service {
        let mut service = Service { guards: Vec::new(), sequence: 0 };
        (0..endpoints).for_each(|_| service.add(0));
        service
    }

    fn add(&mut self, now: u64) {
        let mut guard = Guard::new(GuardLimits::default());
        let slots = Slots(100_000);
        guard.announce(&endpoint(), slots, EndpointState::Ready, ms(now), &allow);
        self.guards.push(guard);
    }

    fn call(&mut self, guard: usize, arrival: Arrival, now: u64) -> Decision {
        self.sequence += 1;
        let id = AttemptId { entry: Incarnation(1), sequence: self.sequence };
        let endpoints = self.guards.len() as u32;
        let attempt = Attempt {
            id,
            endpoint: endpoint(),
            route: "orders".parse().unwrap(),
            account: None,
            rate: Rate::per_second(10),
            standing: Standing::WithinRate,
            start_by: ms(now + 1000),
            queue_until: ms(now + 500),
            goal_by: None,
            patience: Patience::UntilStartBy,
            priority: 0,
            arrival,
            allowance: RetryAllowance {
                share: Percent::new(SHARE).unwrap(),
                spare_milli: SPARE_MILLI / endpoints,
            },
            is_idempotent: true,
            insists: false,
        };
        let guard = &mut self.guards[guard];
        let decision = guard.arrive(attempt, ms(now), &allow)[0].decision;
        guard.finish(id, ms(now), &allow);
        decision
    }

    fn retry(&mut self, guard: usize, now: u64) -> bool {
        match self.call(guard, Arrival::Retry, now) {
            Decision::Start => true,
            decision => {
                assert_eq!(decision, Decision::Refuse(ResultCode::RetriesExhausted));
                false
            }
        }
    }
}

/// Guards against a service with few calls at each of many entries whose calls are never retried: the
/// budget of an entry was a 38th of 2 a second.
#[test]
fn a_service_uses_its_retries_whatever_entry_asks() {
    let mut service = Service::start(8);
    // 3 calls a second at each endpoint for 10 s.
    for call in 0..240 {
        assert_eq!(service.call(call % 8, FIRST, call as u64 * 1000 / 24), Decision::Start);
    }
    let granted = (0..800).filter(|call| service.retry(call % 8, 10_000)).count();
    // 14 percent of 240 and 48, rounded down at each endpoint.
    assert!((72..=81).contains(&granted), "{granted} retries");
}

/// Guards against nodes that retry nothing in the seconds after all of them were started again, when calls
/// meet endpoints of which nothing is known yet.
#[test]
fn a_new_guard_takes_half_of_its_spare_retries_at_once() {
    let mut service = Service::start(8);
    let granted = (0..80).filter(|call| service.retry(call % 8, 0)).count();
    assert_eq!(granted, 24);
    let granted = (0..80).filter(|call| service.retry(call % 8, 10_000)).count();
    assert_eq!(granted, 24, "48 in 10 s");
}

/// Guards against calls that follow from retries at another service and are not counted there.
#[test]
fn calls_that_follow_from_retries_count_as_retries() {
    let mut service = Service::start(1);
    // Each was made by an upstream that ran a retry in one of two slots.
    let of_retry = Percent::new(50).unwrap();
    for call in 0..100 {
        assert_eq!(service.call(0, Arrival::First { of_retry }, call * 100), Decision::Start);
    }
    let granted = (0..100).filter(|_| service.retry(0, 10_000)).count();
    // 48 and 14 percent of the other 50, less 50.
    assert!((4..=5).contains(&granted), "{granted} retries");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(23),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a service that gets more retries than its users allow, a fifth of the requests and
    /// 64 in any 10 s, whatever the calls of each second, once a retry is wanted at every moment, also
    /// while endpoints are added. Requests count in that window, the one before it or half a window before.
    #[test]
    fn a_service_stays_within_the_bound_of_its_users(
        calls in prop::collection::vec(prop_oneof![Just(0..1u64), Just(0..20), Just(0..200)], 30..50)
            .prop_flat_map(|rates| rates),
        endpoints in 1..=40usize,
        added_at in prop::collection::vec(0..50usize, 0..3),
        outage_from in 0..20usize,
        random in prop::collection::vec(any::<usize>(), 64),
    ) {
        let mut service = Service::start(endpoints);
        let mut granted = Vec::new();
        for (second, calls) in calls.iter().enumerate() {
            let start = second as u64 * 1000;
            for _ in added_at.iter().filter(|at| **at == second && endpoints > 4) {
                service.add(start);
            }
            for call in 0..*calls {
                let guard = random[call as usize % random.len()] % service.guards.len();
                service.call(guard, FIRST, start + call * 1000 / calls);
            }
            let mut retries = 0;
            for guard in 0..service.guards.len() {
                while second >= outage_from && service.retry(guard, start + 999) {
                    retries += 1;
                }
            }
            granted.push(retries);
        }
        let sum = |all: &[u64], from: usize| all.iter().skip(from).take(10).sum::<u64>();
        for from in 0..calls.len().saturating_sub(10) {
            let most = [from, from.saturating_sub(5), from.saturating_sub(10)];
            let requests = most.into_iter().map(|from| sum(&calls, from)).max().unwrap_or_default();
            let (retries, bound) = (sum(&granted, from), requests / 5 + SLACK);
            prop_assert!(retries <= bound, "{retries} retries from second {from}, bound {bound}");
        }
    }
}
