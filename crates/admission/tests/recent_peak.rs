//! The largest recent number of endpoints of a service.

mod common;

use admission::{RETRY_WINDOW, RecentPeak};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use common::ms;

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a size that is forgotten while retries that were granted by it still count, and against
    /// one that is remembered for longer.
    #[test]
    fn a_size_counts_until_the_window_after_its_end(
        changes in prop::collection::vec((0..12usize, 0..6_000u64), 1..60),
    ) {
        let mut peak = RecentPeak::default();
        let mut now = 0;
        // Each size with the time at which another one was seen.
        let mut sizes: Vec<(usize, u64)> = Vec::new();
        for (size, pause) in changes {
            now += pause;
            if let Some((_, until)) = sizes.last_mut() {
                *until = now;
            }
            sizes.push((size, now));
            let counts = |until: u64| ms(until) + RETRY_WINDOW > ms(now);
            let expected = sizes.iter().filter(|(_, until)| counts(*until)).map(|(size, _)| *size).max();
            prop_assert_eq!(Some(peak.observe(size, ms(now))), expected);
        }
    }
}
