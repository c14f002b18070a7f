//! Limit on the retries of a service, over all of its endpoints and entry nodes.

mod common;

use std::collections::BTreeSet;

use admission::{Attempt, AttemptKind, Decision, Guard, GuardLimits, InitialRetries, RetryLimit};
use model::{EndpointName, EndpointState, Percent, ResultCode, Slots, Time};
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestCaseError};

use common::{FIRST, allow, attempt_at, id, ms};

/// Tested limit of the retries in 10 s, in addition to a fifth of the requests.
const ALLOWED_SPARE_RETRIES: u64 = 64;

/// Configured retry share in percent and spare retries in thousandths; lower than the tested limits of
/// 20% and 64 retries.
const SHARE_PERCENT: u8 = 14;
const SPARE_MILLI: u32 = 48_000;

fn endpoint() -> EndpointName {
    "orders-1".parse().unwrap()
}

/// One guard per endpoint. Every endpoint has enough slots to start each call immediately.
struct Service {
    guards: Vec<Guard>,
    sequence: u64,
}

impl Service {
    fn with_endpoints(endpoints: usize) -> Service {
        let mut service = Service { guards: Vec::new(), sequence: 0 };
        (0..endpoints).for_each(|_| service.add_endpoint(0));
        service
    }

    fn add_endpoint(&mut self, now: u64) {
        let mut guard = Guard::new(GuardLimits::default());
        let slots = Slots(100_000);
        guard.update_endpoint(&endpoint(), slots, EndpointState::Ready, ms(now), &allow);
        self.guards.push(guard);
    }

    /// Replaces all guards by those of new processes, which know when the ones before them started.
    fn restart(&mut self, endpoints: usize, previous: Option<u64>, now: u64) {
        self.guards.clear();
        (0..endpoints).for_each(|_| self.add_endpoint(now));
        let initial = InitialRetries::after(previous, Some(now), ms(now));
        for guard in &mut self.guards {
            guard.set_initial_retries(initial);
        }
    }

    /// Replaces a guard by that of a new process after one that started at `previous`.
    fn restart_one(&mut self, guard: usize, previous: u64, now: u64) {
        self.add_endpoint(now);
        let initial = InitialRetries::after(Some(previous), Some(now), ms(now));
        self.guards.last_mut().unwrap().set_initial_retries(initial);
        self.guards.swap_remove(guard);
    }

    /// Removes the endpoint of each guard and announces it again.
    fn remove_and_return(&mut self, now: u64) {
        for guard in &mut self.guards {
            guard.remove_endpoint(&endpoint(), ms(now), &allow);
            let slots = Slots(100_000);
            guard.update_endpoint(&endpoint(), slots, EndpointState::Ready, ms(now), &allow);
        }
    }

    /// Number of retries that the endpoints take now.
    fn retries_at(&mut self, now: u64) -> usize {
        (0..self.guards.len())
            .map(|guard| (0..1000).take_while(|_| self.retry(guard, now)).count())
            .sum()
    }

    fn call(&mut self, guard: usize, kind: AttemptKind, now: u64) -> Decision {
        self.sequence += 1;
        let id = id(self.sequence);
        let endpoints = self.guards.len() as u32;
        let attempt = Attempt {
            queue_until: ms(now + 500),
            kind,
            retry_limit: RetryLimit {
                share: Percent::new(SHARE_PERCENT).unwrap(),
                spare_milli: SPARE_MILLI / endpoints,
            },
            is_idempotent: true,
            ..attempt_at(endpoint(), id, ms(now + 1000))
        };
        let guard = &mut self.guards[guard];
        let decision = guard.submit(attempt, ms(now), &allow)[0].decision;
        guard.finish(id, ms(now), &allow);
        decision
    }

    fn retry(&mut self, guard: usize, now: u64) -> bool {
        match self.call(guard, AttemptKind::Retry, now) {
            Decision::Start => true,
            decision => {
                assert_eq!(decision, Decision::Refuse(ResultCode::RetriesExhausted));
                false
            }
        }
    }
}

/// Calls of a service must be retried even if each of many entry nodes sends only a few. With a limit
/// per entry node, each of 38 nodes could make only 2/38 retries per second.
#[test]
fn the_retry_limit_is_independent_of_the_entry_node() {
    let mut service = Service::with_endpoints(8);
    // 3 calls a second at each endpoint for 10 s.
    for call in 0..240 {
        assert_eq!(service.call(call % 8, FIRST, call as u64 * 1000 / 24), Decision::Start);
    }
    let granted = (0..800).filter(|call| service.retry(call % 8, 10_000)).count();
    // 14% of 240 plus 48, rounded down at each endpoint.
    assert!((72..=81).contains(&granted), "{granted} retries");
}

/// Retries must be possible in the seconds after all nodes restart, when nothing is known yet about the
/// health of the endpoints.
#[test]
fn a_new_guard_accepts_half_of_its_spare_retries_immediately() {
    let mut service = Service::with_endpoints(8);
    let granted = (0..80).filter(|call| service.retry(call % 8, 0)).count();
    assert_eq!(granted, 24);
    let granted = (0..80).filter(|call| service.retry(call % 8, 10_000)).count();
    assert_eq!(granted, 24, "48 spare retries in 10 s");
}

/// Requests that result from retries at another service must count as retries here.
#[test]
fn requests_caused_by_retries_count_as_retries() {
    let mut service = Service::with_endpoints(1);
    // Each request was sent by an upstream that ran a retry in one of two slots.
    let retry_origin_percent = Percent::new(50).unwrap();
    for call in 0..100 {
        assert_eq!(
            service.call(0, AttemptKind::First { retry_origin_percent }, call * 100),
            Decision::Start
        );
    }
    let granted = (0..100).filter(|_| service.retry(0, 10_000)).count();
    // 48 plus 14% of the other 50, minus 50.
    assert!((4..=5).contains(&granted), "{granted} retries");
}

/// Guards against spare retries that each process of a guard grants anew within 10 s.
#[test]
fn guards_that_start_again_twice_stay_within_the_limit() {
    const ENDPOINTS: usize = 8;
    // As many as the smallest service of the users' first site that is called directly.
    const CALLS_PER_SECOND: u64 = 19;
    let mut service = Service::with_endpoints(ENDPOINTS);
    let mut granted = Vec::new();
    let mut started = 0;
    for second in 0..30_u64 {
        if second == 15 || second == 19 {
            service.restart(ENDPOINTS, Some(started), second * 1000);
            started = second * 1000;
        }
        for call in 0..CALLS_PER_SECOND {
            service.call(call as usize % ENDPOINTS, FIRST, second * 1000 + call * 50);
        }
        granted.push(service.retries_at(second * 1000 + 999) as u64);
    }
    let bound = CALLS_PER_SECOND * 10 / 5 + ALLOWED_SPARE_RETRIES;
    let most = granted.windows(10).map(|window| window.iter().sum::<u64>()).max().unwrap();
    assert!(most <= bound, "{most} retries in 10 s, bound {bound}");
}

/// Guards against a guard without retries although its predecessor started long ago or at an implausible
/// time, and against one that grants them although the predecessor has just started.
#[test]
fn initial_retries_depend_on_the_start_of_the_previous_process() {
    let now = 60_000;
    // Unknown, long ago, just long enough ago, later than this start, and at the same time.
    let long_ago = [None, Some(7), Some(50_000), Some(60_001), Some(u64::MAX), Some(60_000)];
    // 1.2 at each endpoint, rounded down.
    let cases = long_ago.map(|previous| (previous, 8)).into_iter();
    for (previous, expected) in cases.chain([(Some(50_001), 0), (Some(59_999), 0)]) {
        let mut service = Service::with_endpoints(0);
        service.restart(8, previous, now);
        assert_eq!(service.retries_at(now), expected, "previous start {previous:?}");
        assert_eq!(service.retries_at(now + 10_000), 48 - expected, "{previous:?}");
    }
}

/// Guards against spare retries that stay granted when the start of the previous process becomes known late,
/// and against a limit that forgets the retries that were taken before.
#[test]
fn a_previous_start_that_becomes_known_late_withholds_the_retries_that_are_left() {
    let mut service = Service::with_endpoints(8);
    let granted = (0..8).filter(|call| service.retry(call % 4, 0)).count();
    assert_eq!(granted, 8);
    let initial = InitialRetries::after(Some(5_000), Some(10_000), ms(0));
    for guard in &mut service.guards {
        assert!(guard.set_initial_retries(initial));
        assert!(!guard.set_initial_retries(initial), "withheld once");
    }
    // Four endpoints have taken two of their six spare retries, and the others may take one before 10 s.
    for (now, expected) in [(1_000, 0), (4_900, 0), (5_000, 4), (9_900, 0), (10_000, 36)] {
        assert_eq!(service.retries_at(now), expected, "after {now} ms");
    }
    // Endpoints that are added later get their retries at once.
    service.add_endpoint(20_000);
    assert_eq!((0..10).filter(|_| service.retry(8, 20_000)).count(), 2);
}

/// Plays calls, starts of guards as (second, guard), and returns of all endpoints, and checks each 10 s.
fn check_starts(
    rates: &[u64],
    starts: &BTreeSet<(usize, usize)>,
    returns: &BTreeSet<usize>,
    endpoints: usize,
    outage: usize,
) -> Result<(), TestCaseError> {
    let mut service = Service::with_endpoints(endpoints);
    let mut started = vec![0; endpoints];
    let mut granted = Vec::new();
    for (second, calls) in rates.iter().enumerate() {
        let start = second as u64 * 1000;
        for (_, guard) in starts.range((second, 0)..(second + 1, 0)) {
            let guard = guard % endpoints;
            service.restart_one(guard, started[guard], start);
            started[guard] = start;
        }
        if returns.contains(&second) {
            service.remove_and_return(start);
        }
        for call in 0..*calls {
            service.call(call as usize % endpoints, FIRST, start + call * 1000 / calls);
        }
        let is_outage = second >= outage;
        granted.push(if is_outage { service.retries_at(start + 999) as u64 } else { 0 });
    }
    let sum = |all: &[u64], from: usize| all.iter().skip(from).take(10).sum::<u64>();
    for from in 0..40_usize {
        let window_starts = [from, from.saturating_sub(5), from.saturating_sub(10)];
        let requests =
            window_starts.into_iter().map(|from| sum(rates, from)).max().unwrap_or_default();
        let (retries, bound) = (sum(&granted, from), requests / 5 + ALLOWED_SPARE_RETRIES);
        prop_assert!(retries <= bound, "{retries} retries from second {from}, bound {bound}");
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(23),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// In any 10 s a service must not accept more retries than its users allow: a fifth of the requests
    /// plus 64. This must hold for any request rates, during an outage in which retries are requested all
    /// the time, and while endpoints are added. The bound uses the largest request count of three 10 s
    /// windows: that window and those starting 5 s and 10 s earlier.
    #[test]
    fn retries_stay_within_the_limit_of_the_users(
        calls in prop::collection::vec(prop_oneof![Just(0..1u64), Just(0..20), Just(0..200)], 30..50)
            .prop_flat_map(|rates| rates),
        endpoints in 1..=40usize,
        added_at in prop::collection::vec(0..50usize, 0..3),
        outage_from in 0..20usize,
        random in prop::collection::vec(any::<usize>(), 64),
    ) {
        let mut service = Service::with_endpoints(endpoints);
        let mut granted = Vec::new();
        for (second, calls) in calls.iter().enumerate() {
            let start = second as u64 * 1000;
            for _ in added_at.iter().filter(|at| **at == second && endpoints > 4) {
                service.add_endpoint(start);
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
            let window_starts = [from, from.saturating_sub(5), from.saturating_sub(10)];
            let requests = window_starts.into_iter().map(|from| sum(&calls, from)).max().unwrap_or_default();
            let (retries, bound) = (sum(&granted, from), requests / 5 + ALLOWED_SPARE_RETRIES);
            prop_assert!(retries <= bound, "{retries} retries from second {from}, bound {bound}");
        }
    }

    /// Guards against retries that add up over starts of some or all guards in series, and over endpoints that
    /// return meanwhile. The bound is that of the users, as above.
    #[test]
    fn retries_of_guards_that_start_again_stay_within_the_limit_of_the_users(
        rates in prop::collection::vec(prop_oneof![Just(0..1u64), Just(0..20), Just(0..200)], 50)
            .prop_flat_map(|rates| rates),
        starts in prop::collection::btree_set((10..45usize, 0..12usize), 0..24),
        returns in prop::collection::btree_set(10..45usize, 0..6),
        endpoints in 1..=12usize,
        outage in 0..45usize,
    ) {
        check_starts(&rates, &starts, &returns, endpoints, outage)?;
    }

    /// The same with up to 400 calls a second, so that two bursts in 10 s may lie apart.
    #[test]
    fn retries_beside_large_bursts_stay_within_the_limit_of_the_users(
        rates in prop::collection::vec(prop_oneof![Just(0..1u64), Just(0..20), Just(0..400)], 50)
            .prop_flat_map(|rates| rates),
        starts in prop::collection::btree_set((10..45usize, 0..12usize), 0..24),
        returns in prop::collection::btree_set(10..45usize, 0..6),
        endpoints in 1..=12usize,
        outage in 0..45usize,
    ) {
        check_starts(&rates, &starts, &returns, endpoints, outage)?;
    }

    /// Guards against spare retries that add up over starts of the guards, beyond those that users allow.
    #[test]
    fn spare_retries_do_not_add_up_over_starts(
        starts in prop::collection::btree_set(1..45u64, 1..12),
        outage_from in 0..45u64,
        endpoints in 1..=12usize,
    ) {
        let mut service = Service::with_endpoints(endpoints);
        let (mut started, mut granted) = (0, Vec::new());
        for second in 0..60_u64 {
            if starts.contains(&second) {
                service.restart(endpoints, Some(started), second * 1000);
                started = second * 1000;
            }
            let is_outage = second >= outage_from;
            granted.push(if is_outage { service.retries_at(second * 1000 + 999) } else { 0 });
        }
        let bound = ALLOWED_SPARE_RETRIES as usize;
        let most = granted.windows(10).map(|window| window.iter().sum::<usize>()).max();
        prop_assert!(most <= Some(bound), "{most:?} retries in 10 s, bound {bound}");
    }
}

/// Guards against spare retries that an endpoint gets anew each time it is removed and comes back, as one does
/// that refuses connections at times.
#[test]
fn endpoints_that_return_get_no_new_retries() {
    let mut service = Service::with_endpoints(8);
    let mut granted = Vec::new();
    for second in 10..40_u64 {
        granted.push(service.retries_at(second * 1000));
        service.remove_and_return(second * 1000 + 500);
        granted.push(service.retries_at(second * 1000 + 500));
    }
    let most = granted.windows(20).map(|window| window.iter().sum::<usize>()).max().unwrap();
    assert!(most <= ALLOWED_SPARE_RETRIES as usize, "{most} retries in 10 s");
}

/// Guards against retries that the processes before and after a start of all guards grant together.
#[test]
fn one_start_of_all_guards_stays_within_the_limit() {
    const ENDPOINTS: usize = 8;
    const CALLS_PER_SECOND: u64 = 200;
    for outage_from in 10..30 {
        let mut service = Service::with_endpoints(ENDPOINTS);
        let mut granted = Vec::new();
        for second in 0..50_u64 {
            let start = second * 1000;
            if second == 20 {
                service.restart(ENDPOINTS, Some(0), start);
            }
            for call in 0..CALLS_PER_SECOND {
                service.call(
                    call as usize % ENDPOINTS,
                    FIRST,
                    start + call * 1000 / CALLS_PER_SECOND,
                );
            }
            let is_outage = second >= outage_from;
            granted.push(if is_outage { service.retries_at(start + 999) } else { 0 });
        }
        let bound = CALLS_PER_SECOND * 10 / 5 + ALLOWED_SPARE_RETRIES;
        let most = granted.windows(10).map(|window| window.iter().sum::<usize>()).max().unwrap();
        assert!(most as u64 <= bound, "outage from {outage_from} s: {most} retries, bound {bound}");
    }
}

/// Guards against first attempts that allow retries although they are refused in the queue: each of them
/// goes to another endpoint, so a call would allow retries at each endpoint that it waits at.
#[test]
fn attempts_that_are_refused_in_the_queue_allow_no_retries() {
    let mut guard = Guard::new(GuardLimits::default());
    guard.update_endpoint(&endpoint(), Slots(1), EndpointState::Ready, Time::ZERO, &allow);
    let mut sequence = 0;
    let mut attempt = |kind, now: u64| {
        sequence += 1;
        Attempt {
            queue_until: ms(now + 90),
            kind,
            retry_limit: RetryLimit { share: Percent::new(14).unwrap(), spare_milli: 0 },
            is_idempotent: true,
            ..attempt_at(endpoint(), id(sequence), ms(now + 1000))
        }
    };
    let running = attempt(FIRST, 0);
    assert_eq!(guard.submit(running.clone(), ms(0), &allow)[0].decision, Decision::Start);
    for now in (0..5000).step_by(100) {
        let queued = guard.submit(attempt(FIRST, now), ms(now), &allow);
        assert_eq!(queued[0].decision, Decision::Queued);
        let refused = guard.tick(ms(now + 90), &allow);
        assert_eq!(refused[0].decision, Decision::Refuse(ResultCode::DeadlineBeforeStart));
    }
    guard.finish(running.id, ms(5000), &allow);
    let retry = guard.submit(attempt(AttemptKind::Retry, 5000), ms(5000), &allow);
    assert_eq!(retry[0].decision, Decision::Refuse(ResultCode::RetriesExhausted));
}

/// Guards against requests that repeated runs make at another service and that pass the limit there: while
/// all endpoints of that service refuse most of their work, each repeated run makes its requests again.
#[test]
fn requests_of_repeated_runs_are_refused_once_the_retries_are_used_up() {
    let mut service = Service::with_endpoints(1);
    let of_retry = AttemptKind::First { retry_origin_percent: Percent::new(100).unwrap() };
    let started = (0..200).filter(|_| service.call(0, of_retry, 10_000) == Decision::Start).count();
    assert_eq!(started, 48);
    let refused = Decision::Refuse(ResultCode::RetriesExhausted);
    assert_eq!(service.call(0, of_retry, 10_000), refused);
    assert_eq!(service.call(0, FIRST, 10_000), Decision::Start);
}

/// Guards against requests of upstreams that are charged to the wrong attempt: if those of first attempts
/// counted as caused by the retry that runs beside them, they would be refused during an outage.
#[test]
fn requests_of_upstreams_are_traced_to_their_attempt_by_its_deadline() {
    let mut guard = Guard::new(GuardLimits::default());
    guard.update_endpoint(&endpoint(), Slots(8), EndpointState::Ready, Time::ZERO, &allow);
    let kinds = [(AttemptKind::Retry, 2000), (FIRST, 3000), (FIRST, 3500)];
    for (sequence, (kind, start_by)) in kinds.into_iter().enumerate() {
        let attempt = Attempt {
            kind,
            retry_limit: RetryLimit { share: Percent::ZERO, spare_milli: SPARE_MILLI },
            ..attempt_at(endpoint(), id(sequence as u64), ms(start_by))
        };
        assert_eq!(guard.submit(attempt, Time::ZERO, &allow)[0].decision, Decision::Start);
    }
    let origin = |deadline| guard.retry_origin(deadline).value();
    assert_eq!(origin(Some(ms(1985))), 100);
    assert_eq!(origin(Some(ms(2990))), 0);
    assert_eq!(origin(Some(ms(3505))), 0);
    // No attempt has such a deadline, or none is known.
    assert_eq!(origin(Some(ms(9000))), 33);
    assert_eq!(origin(None), 33);
}

/// Guards against a queue full of requests that follow from retries and that one retry which is left has
/// admitted, because they count only when they start.
#[test]
fn queued_requests_of_repeated_runs_count_at_once() {
    let mut guard = Guard::new(GuardLimits::default());
    guard.update_endpoint(&endpoint(), Slots(1), EndpointState::Ready, Time::ZERO, &allow);
    let submit = |guard: &mut Guard, sequence, kind| {
        let attempt = Attempt {
            kind,
            retry_limit: RetryLimit { share: Percent::ZERO, spare_milli: 2_000 },
            ..attempt_at(endpoint(), id(sequence), ms(1000))
        };
        guard.submit(attempt, Time::ZERO, &allow)[0].decision
    };
    assert_eq!(submit(&mut guard, 0, FIRST), Decision::Start);
    let of_retry = AttemptKind::First { retry_origin_percent: Percent::new(100).unwrap() };
    // One of the two spare retries is granted at once.
    assert_eq!(submit(&mut guard, 1, of_retry), Decision::Queued);
    let refused = Decision::Refuse(ResultCode::RetriesExhausted);
    assert_eq!(submit(&mut guard, 2, of_retry), refused);
}
