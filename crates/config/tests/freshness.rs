//! When a configuration counts as the newest one.

use std::time::Duration;

use config::Freshness;
use model::{Revision, Time};

fn at(millis: u64) -> Time {
    Time::from_micros(millis * 1000)
}

/// Guards against an age that a late or older confirmation makes wrong.
#[test]
fn the_latest_confirmation_of_the_newest_revision_counts() {
    let mut freshness = Freshness::default();
    assert_eq!(freshness.age(Revision(3), at(50)), None);
    freshness.confirm(Revision(3), at(100));
    freshness.confirm(Revision(3), at(80));
    assert_eq!(freshness.age(Revision(3), at(150)), Some(Duration::from_millis(50)));
    freshness.confirm(Revision(2), at(140));
    assert_eq!(freshness.age(Revision(3), at(150)), Some(Duration::from_millis(50)));
}

/// Guards against a node that trusts its configuration although it has heard of a newer one.
#[test]
fn a_revision_is_not_fresh_once_a_newer_one_is_known() {
    let mut freshness = Freshness::default();
    freshness.confirm(Revision(3), at(100));
    freshness.confirm(Revision(4), at(90));
    assert_eq!(freshness.age(Revision(3), at(150)), None);
    assert_eq!(freshness.age(Revision(4), at(150)), Some(Duration::from_millis(60)));
}
