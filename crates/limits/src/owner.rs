//! Token buckets at the owner of a partition.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use model::{Account, AccountName, Incarnation, PartitionId, Time, Tokens};

use crate::message::{
    GRANT_LIFETIME, SpentReport, TokenAnswer, TokenRequest, TokenResult, TokensLeft,
};
use crate::share::{Share, ShareIndex, base_partition, share_at};

/// Maximum number of buckets of an owner. When it is reached, accounts without a bucket receive no
/// tokens until another bucket is dropped.
pub const MAX_BUCKETS: usize = 330_000;

/// Number of nanotokens in a token. A rate in millitokens per second times a duration in
/// microseconds is a whole number of nanotokens, so refill has no rounding error.
const NANOTOKENS_PER_TOKEN: u64 = 1_000_000_000;

/// Token buckets of the shares for which this node receives requests.
///
/// A node answers every request, even if it is not the owner of the share in its own view. Buckets
/// start empty when the node starts, joins the owners or takes over their partition, and refill
/// from then on. What the previous owner has granted is therefore not granted again; only what both
/// grant at the rate of the share, while entry nodes disagree on the owner, is added.
#[derive(Debug)]
pub struct Owner {
    /// Time at which all buckets were empty: the start of the process, or the last [`Owner::join`].
    started: Time,
    /// Time at which this node took over a partition, for those that had another owner since the start.
    taken_over: HashMap<PartitionId, Time>,
    /// An account has at most one share in a partition.
    partitions: HashMap<PartitionId, HashMap<AccountName, Bucket>>,
    bucket_count: usize,
    next_sweep: u16,
}

impl Owner {
    /// Creates an owner whose buckets are empty at `started`.
    pub fn new(started: Time) -> Owner {
        Owner {
            started,
            taken_over: HashMap::new(),
            partitions: HashMap::new(),
            bucket_count: 0,
            next_sweep: 0,
        }
    }

    /// Handles a request. `account` is the current configuration of the account. Returns `None` if
    /// the request needs no answer.
    ///
    /// ```
    /// use limits::{Owner, TokenRequest, TokenResult, shares};
    /// use model::{Account, Burst, Incarnation, Rate, Time, Tokens};
    ///
    /// let account = Account { rate: Rate::per_second(60), burst: Burst(60), priority: None };
    /// let name: model::AccountName = "acme".parse().unwrap();
    /// let share = shares(&name, &account).next().unwrap();
    /// let mut owner = Owner::new(Time::ZERO);
    /// let request = TokenRequest {
    ///     account: name,
    ///     share: share.index,
    ///     partition: share.partition,
    ///     entry: Incarnation(7),
    ///     sequence: 1,
    ///     wanted: Tokens(3),
    ///     spent: Vec::new(),
    /// };
    /// // The bucket starts empty and refills with a sixth of 60 tokens per second.
    /// let now = Time::from_micros(200_000);
    /// let answer = owner.request(now, &account, &request).unwrap();
    /// let TokenResult::Decided { granted, .. } = answer.result else { panic!() };
    /// assert_eq!(granted, Tokens(2));
    /// ```
    pub fn request(
        &mut self,
        now: Time,
        account: &Account,
        req: &TokenRequest,
    ) -> Option<TokenAnswer> {
        let result = self.decide(now, account, req);
        if req.wanted.0 == 0 {
            return None;
        }
        Some(TokenAnswer { account: req.account.clone(), sequence: req.sequence, result })
    }

    /// Empties the buckets of a partition that had another owner until `at`.
    ///
    /// ```
    /// use limits::Owner;
    /// use model::{PartitionId, Time};
    ///
    /// let mut owner = Owner::new(Time::ZERO);
    /// assert!(!owner.has_buckets(PartitionId(7)));
    /// owner.take_over(PartitionId(7), Time::from_micros(5_000_000));
    /// ```
    pub fn take_over(&mut self, partition: PartitionId, at: Time) {
        self.taken_over.insert(partition, at);
        let buckets = self.partitions.get_mut(&partition);
        buckets.into_iter().flat_map(HashMap::values_mut).for_each(|bucket| bucket.empty(at));
    }

    /// Empties all buckets when the other nodes begin to count this node among the owners. Until `at`
    /// another node granted the tokens of its partitions.
    ///
    /// ```
    /// use limits::Owner;
    /// use model::Time;
    ///
    /// let mut owner = Owner::new(Time::ZERO);
    /// owner.join(Time::from_micros(5_000_000));
    /// ```
    pub fn join(&mut self, at: Time) {
        self.started = at;
        self.taken_over.clear();
        let buckets = self.partitions.values_mut().flat_map(HashMap::values_mut);
        buckets.for_each(|bucket| bucket.empty(at));
    }

    /// Whether this node has granted tokens of a partition lately.
    pub fn has_buckets(&self, partition: PartitionId) -> bool {
        self.partitions.get(&partition).is_some_and(|buckets| !buckets.is_empty())
    }

    /// Drops the full, unused buckets of one partition. Successive calls cycle through all
    /// partitions.
    pub fn remove_stale(&mut self, now: Time) {
        let partition = PartitionId(self.next_sweep);
        self.next_sweep = (self.next_sweep + 1) % crate::PARTITION_COUNT;
        let Some(buckets) = self.partitions.get_mut(&partition) else { return };
        let count_before = buckets.len();
        buckets.retain(|_, bucket| {
            bucket.advance(now);
            !bucket.is_droppable()
        });
        self.bucket_count -= count_before - buckets.len();
    }

    /// Number of buckets in memory.
    pub fn bucket_count(&self) -> usize {
        self.bucket_count
    }

    fn decide(&mut self, now: Time, account: &Account, req: &TokenRequest) -> TokenResult {
        let buckets = self.partitions.entry(req.partition).or_default();
        if let Some(bucket) = buckets.get_mut(&req.account) {
            if bucket.share != req.share {
                return TokenResult::NotOwner;
            }
            bucket.advance(now);
            bucket.apply_reports(req.entry, &req.spent);
            return bucket.grant(now, account, req);
        }
        if req.wanted.0 == 0 {
            return TokenResult::NotOwner;
        }
        // Verify the requested partition against the hash: a bucket in the wrong partition would be
        // a second bucket for the same share.
        let base = base_partition(&req.account);
        let share = share_at(base, account, req.share);
        let Some(share) = share.filter(|share| share.partition == req.partition) else {
            return TokenResult::NotOwner;
        };
        if self.bucket_count >= MAX_BUCKETS {
            return TokenResult::Decided { granted: Tokens(0), next_in: GRANT_LIFETIME };
        }
        self.bucket_count += 1;
        let held_since = self.taken_over.get(&req.partition).copied().unwrap_or(self.started);
        let bucket = buckets.entry(req.account.clone());
        let bucket = bucket.or_insert_with(|| Bucket::new(now, base, &share, held_since));
        bucket.grant(now, account, req)
    }
}

/// Token bucket of one share.
#[derive(Debug)]
struct Bucket {
    share: ShareIndex,
    /// The partition of the account's first share, cached to avoid hashing on each request.
    base: PartitionId,
    rate_milli: u64,
    burst_nano: u64,
    level_nano: u64,
    /// Granted tokens that are neither reported as spent, returned nor expired.
    outstanding: u64,
    /// Time up to which refill has been applied.
    refilled_at: Time,
    grants: HashMap<(Incarnation, u64), Grant>,
    /// Expiry times of grants, in ascending order.
    expiry: VecDeque<(Time, Incarnation, u64)>,
}

/// Tokens granted to an entry node. Kept until expiry even if no token is outstanding, so that a
/// duplicate request is recognized.
#[derive(Debug)]
struct Grant {
    granted: u32,
    /// Tokens that were reported as spent or returned.
    resolved: u32,
}

impl Bucket {
    fn new(now: Time, base: PartitionId, share: &Share, held_since: Time) -> Bucket {
        let mut bucket = Bucket {
            share: share.index,
            base,
            rate_milli: 0,
            burst_nano: 0,
            level_nano: 0,
            outstanding: 0,
            refilled_at: held_since,
            grants: HashMap::new(),
            expiry: VecDeque::new(),
        };
        bucket.configure(share);
        bucket.refill(now);
        bucket
    }

    fn configure(&mut self, share: &Share) {
        self.rate_milli = share.rate.milli_per_second();
        self.burst_nano = u64::from(share.burst.0) * NANOTOKENS_PER_TOKEN;
        self.level_nano = self.level_nano.min(self.max_level());
    }

    fn empty(&mut self, at: Time) {
        self.level_nano = 0;
        self.refilled_at = self.refilled_at.max(at);
    }

    /// Maximum level, given the outstanding tokens.
    fn max_level(&self) -> u64 {
        self.burst_nano.saturating_sub(self.outstanding.saturating_mul(NANOTOKENS_PER_TOKEN))
    }

    /// Applies refill and grant expiry up to `now`.
    fn advance(&mut self, now: Time) {
        while let Some(&(expires, entry, sequence)) = self.expiry.front() {
            if expires > now {
                break;
            }
            self.expiry.pop_front();
            // Expiring tokens limit the refill up to their expiry, but not after it.
            self.refill(expires);
            if let Some(grant) = self.grants.remove(&(entry, sequence)) {
                self.outstanding -= u64::from(grant.granted - grant.resolved);
            }
        }
        self.refill(now);
    }

    fn refill(&mut self, now: Time) {
        let elapsed = now.since(self.refilled_at).as_micros() as u64;
        let added = self.rate_milli.saturating_mul(elapsed);
        self.level_nano = self.level_nano.saturating_add(added).min(self.max_level());
        self.refilled_at = self.refilled_at.max(now);
    }

    fn apply_reports(&mut self, entry: Incarnation, reports: &[SpentReport]) {
        for report in reports {
            let Some(grant) = self.grants.get_mut(&(entry, report.sequence)) else { continue };
            let spent = report.spent.0.min(grant.granted);
            // Reports carry cumulative totals, so a reordered or duplicate report has no effect.
            let newly_spent = spent.saturating_sub(grant.resolved);
            grant.resolved += newly_spent;
            self.outstanding -= u64::from(newly_spent);
            if report.rest == TokensLeft::Returned {
                let returned = grant.granted - grant.resolved;
                grant.resolved = grant.granted;
                self.outstanding -= u64::from(returned);
                let level = self.level_nano + u64::from(returned) * NANOTOKENS_PER_TOKEN;
                self.level_nano = level.min(self.max_level());
            }
        }
    }

    fn grant(&mut self, now: Time, account: &Account, req: &TokenRequest) -> TokenResult {
        let Some(share) = share_at(self.base, account, self.share) else {
            return TokenResult::NotOwner;
        };
        self.configure(&share);
        if let Some(grant) = self.grants.get(&(req.entry, req.sequence)) {
            // The entry node uses only one answer per sequence number, so repeating the grant is
            // safe.
            let granted = Tokens(grant.granted);
            return TokenResult::Decided { granted, next_in: self.next_in() };
        }
        let available = u32::try_from(self.level_nano / NANOTOKENS_PER_TOKEN).unwrap_or(u32::MAX);
        let granted = available.min(req.wanted.0);
        if granted > 0 {
            self.level_nano -= u64::from(granted) * NANOTOKENS_PER_TOKEN;
            self.outstanding += u64::from(granted);
            self.grants.insert((req.entry, req.sequence), Grant { granted, resolved: 0 });
            self.expiry.push_back((now + GRANT_LIFETIME, req.entry, req.sequence));
        }
        TokenResult::Decided { granted: Tokens(granted), next_in: self.next_in() }
    }

    /// Time until the bucket holds a whole token.
    fn next_in(&self) -> Duration {
        if self.level_nano >= NANOTOKENS_PER_TOKEN {
            return Duration::ZERO;
        }
        let missing = NANOTOKENS_PER_TOKEN - self.level_nano;
        let micros = missing.checked_div(self.rate_milli).map_or(u64::MAX / 2, |micros| micros + 1);
        Duration::from_micros(micros)
    }

    /// Whether the bucket can be dropped because a new one would have the same level: a bucket that
    /// has been full once since the start is full when it is created again.
    fn is_droppable(&self) -> bool {
        self.expiry.is_empty() && self.level_nano >= self.burst_nano
    }
}
