//! Property tests of the quorum lease and of ownership in a fake fleet.

mod fleet;

use std::cell::RefCell;

use fleet::{Fleet, Seen, cfg, ops};
use proptest::test_runner::TestRunner;

/// Runs many schedules and returns what happened in them.
fn check(cases: u32, seed: u64, disorder: u32) -> Seen {
    let total = RefCell::new(Seen::default());
    let result = TestRunner::new(cfg(cases, seed)).run(&(2usize..6, ops(disorder)), |(n, ops)| {
        let mut fleet = Fleet::new(n);
        for op in &ops {
            fleet.run(op)?;
        }
        let mut total = total.borrow_mut();
        total.leases += fleet.seen.leases;
        total.resynced += fleet.seen.resynced;
        total.member_changes += fleet.seen.member_changes;
        total.starts += fleet.seen.starts;
        total.handovers += fleet.seen.handovers;
        total.grants_in_outage_after_handover += fleet.seen.grants_in_outage_after_handover;
        Ok(())
    });
    if let Err(err) = result {
        panic!("{err}");
    }
    total.into_inner()
}

/// Guards against a node that serves keyed calls or grants with a configuration that was replaced
/// more than a lease ago, and against two nodes that may grant for one partition, or a new owner
/// that starts before the allowances of the old one have expired.
#[test]
fn promises_hold_in_ordinary_operation() {
    let seen = check(600, 21, 1);
    println!("{seen:?}");
    assert!(seen.leases > 10_000 && seen.resynced > 50 && seen.member_changes > 50, "{seen:?}");
    assert!(seen.starts > 200 && seen.handovers > 50, "{seen:?}");
    assert!(seen.grants_in_outage_after_handover > 20, "{seen:?}");
}

/// The same with messages that mostly arrive late, twice, in another order or never, and with
/// frequent restarts and outages.
#[test]
fn promises_hold_in_disorder() {
    let seen = check(1500, 22, 5);
    println!("{seen:?}");
    assert!(seen.leases > 10_000 && seen.resynced > 20, "{seen:?}");
    assert!(seen.starts > 20 && seen.handovers > 5, "{seen:?}");
}
