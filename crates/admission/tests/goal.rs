//! Latency goals of calls under overload.

use std::time::Duration;

use admission::{
    Attempt, AttemptDecision, AttemptKind, Check, Decision, Guard, GuardLimits, RateStatus,
    RetryLimit, WaitLimit,
};
use model::{AttemptId, EndpointState, Incarnation, Percent, Rate, ResultCode, Slots, Time};

fn ms(now: u64) -> Time {
    Time::from_micros(now * 1000)
}

fn allow(_: &Attempt) -> Check {
    Check::Allowed
}

fn id(sequence: u64) -> AttemptId {
    AttemptId { entry: Incarnation(1), sequence }
}

/// A call whose answer is due at `goal` milliseconds.
fn attempt(sequence: u64, account: &str, priority: u8, goal: u64) -> Attempt {
    Attempt {
        id: id(sequence),
        endpoint: "orders-1".parse().unwrap(),
        route: "orders".parse().unwrap(),
        account: Some(account.parse().unwrap()),
        rate: Rate::per_second(10),
        rate_status: RateStatus::WithinRate,
        start_by: ms(10_000),
        queue_until: ms(6500),
        goal_by: Some(ms(goal)),
        wait_limit: WaitLimit::UntilDeadline,
        priority,
        is_idempotent: false,
        accepts_suspect: false,
        kind: AttemptKind::First { retry_origin_percent: Percent::ZERO },
        retry_limit: RetryLimit { share: Percent::default(), spare_milli: 0 },
    }
}

/// Queues these calls behind call 1, which occupies the only slot until `until`, and returns the order in
/// which they start.
fn start_order(queued: Vec<Attempt>, until: u64) -> Vec<u64> {
    let limits = GuardLimits { queue_per_slot: 4, ..GuardLimits::default() };
    let mut guard = Guard::new(limits);
    let endpoint = "orders-1".parse().unwrap();
    guard.update_endpoint(&endpoint, Slots(1), EndpointState::Ready, Time::ZERO, &allow);
    guard.submit(attempt(1, "acme", 0, 1000), Time::ZERO, &allow);
    for (at, attempt) in queued.iter().enumerate() {
        guard.submit(attempt.clone(), ms(at as u64), &allow);
    }
    let mut running = 1;
    let mut order = Vec::new();
    let mut now = until;
    loop {
        let decisions = guard.finish(id(running), ms(now), &allow);
        let started = decisions.iter().find(|d| d.decision == Decision::Start);
        let Some(AttemptDecision { attempt, .. }) = started else { return order };
        running = attempt.sequence;
        order.push(running);
        now += 10;
    }
}

/// Under overload, calls that have already missed their goal must not start first, since then every call
/// would be answered too late.
#[test]
fn calls_that_can_meet_their_goal_start_first() {
    let queued = |goal| {
        vec![
            attempt(2, "acme", 0, goal),
            attempt(3, "acme", 0, 2000),
            attempt(4, "best", 0, goal),
            attempt(5, "best", 0, 2000),
        ]
    };
    assert_eq!(start_order(queued(1000), 300), [4, 5, 2, 3]);
    assert_eq!(start_order(queued(200), 300), [5, 3, 4, 2]);
}

/// The priority set by operators must take precedence over the goal.
#[test]
fn priority_takes_precedence_over_the_goal() {
    let queued = vec![attempt(2, "acme", 1, 2000), attempt(3, "acme", 0, 200)];
    assert_eq!(start_order(queued, 300), [3, 2]);
}

/// A full queue of calls that have missed their goal must not keep others out.
#[test]
fn a_call_that_can_meet_its_goal_displaces_one_that_cannot() {
    let limits = GuardLimits { queue_per_slot: 1, ..GuardLimits::default() };
    let mut guard = Guard::new(limits);
    let endpoint = "orders-1".parse().unwrap();
    guard.update_endpoint(&endpoint, Slots(1), EndpointState::Ready, Time::ZERO, &allow);
    guard.submit(attempt(1, "acme", 0, 1000), Time::ZERO, &allow);
    guard.submit(attempt(2, "acme", 0, 200), Time::ZERO, &allow);
    let now = Time::ZERO + Duration::from_millis(300);
    let decisions = guard.submit(attempt(3, "acme", 0, 1000), now, &allow);
    let decisions: Vec<_> =
        decisions.iter().map(|decision| (decision.attempt.sequence, decision.decision)).collect();
    let refused = Decision::Refuse(ResultCode::QueueFull);
    assert_eq!(decisions, [(3, Decision::Queued), (2, refused)]);
}

/// Callers must not learn only at their deadline that no slot has become free.
#[test]
fn a_queued_call_is_refused_when_its_queue_deadline_passes() {
    let mut guard = Guard::new(GuardLimits::default());
    let endpoint = "orders-1".parse().unwrap();
    guard.update_endpoint(&endpoint, Slots(1), EndpointState::Ready, Time::ZERO, &allow);
    guard.submit(attempt(1, "acme", 0, 1000), Time::ZERO, &allow);
    guard.submit(attempt(2, "acme", 0, 1000), Time::ZERO, &allow);
    assert_eq!(guard.next_queue_deadline(), Some(ms(6500)));
    assert_eq!(guard.tick(ms(6499), &allow), []);
    let decision = Decision::Refuse(ResultCode::DeadlineBeforeStart);
    assert_eq!(guard.tick(ms(6500), &allow), [AttemptDecision { attempt: id(2), decision }]);
    // The queue deadline has passed already.
    let decisions = guard.submit(attempt(3, "acme", 0, 1000), ms(6501), &allow);
    let decision = Decision::Refuse(ResultCode::QueueFull);
    assert_eq!(decisions, [AttemptDecision { attempt: id(3), decision }]);
}
