//! Attempts and other values that the tests of this crate share. Not every test file uses all of them.
#![allow(dead_code)]

use admission::{Attempt, AttemptKind, Check, RateStatus, RetryLimit, WaitLimit};
use model::{AttemptId, EndpointName, Incarnation, Percent, Rate, Time};

/// A first attempt of a request that no retry has caused.
pub const FIRST: AttemptKind = AttemptKind::First { retry_origin_percent: Percent::ZERO };

pub fn ms(now: u64) -> Time {
    Time::from_micros(now * 1000)
}

pub fn id(sequence: u64) -> AttemptId {
    AttemptId { entry: Incarnation(1), sequence }
}

pub fn allow(_: &Attempt) -> Check {
    Check::Allowed
}

/// A first attempt on an open route that waits until its start-by deadline and allows no retries.
pub fn attempt_at(endpoint: EndpointName, id: AttemptId, start_by: Time) -> Attempt {
    Attempt {
        id,
        endpoint,
        service: "orders".parse().unwrap(),
        route: "orders".parse().unwrap(),
        account: None,
        rate: Rate::per_second(10),
        rate_status: RateStatus::WithinRate,
        start_by,
        queue_until: start_by,
        goal_by: None,
        wait_limit: WaitLimit::UntilDeadline,
        priority: 0,
        kind: FIRST,
        retry_limit: RetryLimit { share: Percent::default(), spare_milli: 0 },
        is_idempotent: false,
        accepts_suspect: false,
    }
}
