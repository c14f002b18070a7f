//! Property tests of the rate limit under faults: in any window of length t, at most burst + rate *
//! t tokens of one owner are taken.

mod common;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use common::{Faults, Fleet, account};

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 120,
        rng_seed: RngSeed::Fixed(15),
        failure_persistence: None,
        max_shrink_iters: 0,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against exceeding the rate limit under lost, duplicate and late messages, clock drift
    /// and pauses.
    #[test]
    fn tokens_taken_stay_within_burst_and_rate(
        seed in any::<u64>(),
        entries in 1_u64..6,
        rate in 20_u32..400,
        burst in 1_u32..80,
        change in prop::option::weighted(0.3, (20_u32..400, 1_u32..80)),
    ) {
        let (rate_after, burst_after) = change.unwrap_or((rate, burst));
        let accounts = [account(rate, burst), account(rate_after, burst_after)];
        let taken = Fleet::new(seed, entries, accounts).run(12, Faults::All);
        prop_assert!(taken.is_some(), "more than burst + rate * t tokens were taken in a window");
    }

    /// Guards against a limiter that satisfies the bound by granting almost nothing.
    #[test]
    fn lossy_links_leave_half_of_the_rate(seed in any::<u64>()) {
        let accounts = [account(60, 60), account(60, 60)];
        let taken = Fleet::new(seed, 3, accounts).run(12, Faults::Links).unwrap();
        prop_assert!(taken >= 60 * 12 / 2, "{taken} tokens taken");
    }
}
