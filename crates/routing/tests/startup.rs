//! Tests of the decision about requests that arrive while a node starts.

use std::time::Duration;

use model::Time;
use routing::{StartupStep, startup_step};

fn ms(time: u64) -> Time {
    Time::from_micros(time * 1000)
}

/// Guards against requests that a starting node refuses although it could serve them soon, that wait
/// while the platform is away, or that wait longer than their callers.
#[test]
fn requests_wait_for_the_start_only() {
    let check = |is_loaded, arrived, waits: Option<u64>, now, expected| {
        let waits = waits.map(Duration::from_millis);
        assert_eq!(startup_step(is_loaded, ms(arrived), waits, ms(now)), expected);
    };
    check(false, 10, None, 10, StartupStep::WaitUntil(ms(1000)));
    check(false, 10, Some(4000), 10, StartupStep::WaitUntil(ms(1000)));
    check(false, 10, Some(400), 10, StartupStep::WaitUntil(ms(210)));
    check(false, 10, Some(400), 210, StartupStep::Handle);
    check(false, 10, Some(0), 10, StartupStep::Handle);
    check(true, 10, None, 10, StartupStep::Handle);
    check(false, 1000, None, 1000, StartupStep::Handle);
    check(false, 60_000, None, 60_000, StartupStep::Handle);
}
