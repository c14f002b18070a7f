//! Local rate limit of an entry node that reaches no owner of an account.

use std::collections::HashMap;
use std::time::Duration;

use model::{Account, AccountName, Time};

/// Number of nanotokens in a token. A rate in millitokens per second times a duration in
/// microseconds is a whole number of nanotokens.
const NANOTOKENS_PER_TOKEN: u64 = 1_000_000_000;

/// Burst of a bucket, in tokens. All entry nodes may be unable to reach the owners at once, so the
/// burst is 1, the minimum that admits a call.
const LOCAL_BURST: u64 = 1;

/// Time without calls after which a bucket is dropped.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Token buckets that divide the rate of an account evenly among all entry nodes.
///
/// If no entry node can reach the owners, together they admit the rate of the account plus one call
/// per node. If only some can't reach them, they add their parts of the rate to what the owners
/// grant.
///
/// ```
/// use limits::FallbackBuckets;
/// use model::{Account, Burst, Rate, Time};
///
/// let account = Account { rate: Rate::per_second(10), burst: Burst(20), priority: None };
/// let name = "acme".parse().unwrap();
/// let mut buckets = FallbackBuckets::default();
/// assert!(buckets.take(Time::ZERO, &name, &account, 5));
/// assert!(!buckets.take(Time::from_micros(400_000), &name, &account, 5));
/// assert!(buckets.take(Time::from_micros(500_000), &name, &account, 5));
/// ```
#[derive(Debug, Default)]
pub struct FallbackBuckets {
    buckets: HashMap<AccountName, Bucket>,
}

#[derive(Debug, Clone)]
struct Bucket {
    level_nano: u64,
    /// Time of the last refill, which is also that of the last call.
    refilled_at: Time,
}

impl FallbackBuckets {
    /// Takes a token of an account whose rate is divided among `entries` nodes. Returns whether
    /// there was one.
    pub fn take(
        &mut self,
        now: Time,
        name: &AccountName,
        account: &Account,
        entries: usize,
    ) -> bool {
        let full = LOCAL_BURST * NANOTOKENS_PER_TOKEN;
        let bucket = self
            .buckets
            .entry(name.clone())
            .or_insert(Bucket { level_nano: full, refilled_at: now });
        let rate = account.rate.milli_per_second() / entries.max(1) as u64;
        let elapsed = now.since(bucket.refilled_at).as_micros() as u64;
        let level = bucket.level_nano.saturating_add(rate.saturating_mul(elapsed));
        bucket.level_nano = level.min(full);
        bucket.refilled_at = bucket.refilled_at.max(now);
        let left = bucket.level_nano.checked_sub(NANOTOKENS_PER_TOKEN);
        bucket.level_nano = left.unwrap_or(bucket.level_nano);
        left.is_some()
    }

    /// Returns whether [`FallbackBuckets::take`] would find a token, without taking it.
    pub fn has_token(
        &self,
        now: Time,
        name: &AccountName,
        account: &Account,
        entries: usize,
    ) -> bool {
        let bucket = self.buckets.get(name).cloned();
        let buckets = bucket.map(|bucket| (name.clone(), bucket)).into_iter().collect();
        FallbackBuckets { buckets }.take(now, name, account, entries)
    }

    /// Drops idle buckets.
    pub fn remove_stale(&mut self, now: Time) {
        self.buckets.retain(|_, bucket| now.since(bucket.refilled_at) < IDLE_TIMEOUT);
    }
}
