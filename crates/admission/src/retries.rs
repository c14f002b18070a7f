//! Limit on the retries that a guard accepts for each service.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use model::{Percent, ServiceName, Time};

/// Sliding window of the retry limit. Equals the 10 s over which the platform counts retries.
pub const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// Percentage of its spare retries that the guard of a node grants at once if no earlier process of the node
/// is known. Some are needed at once, because nothing is known about the health of the endpoints. But the
/// node may replace another one, which has granted its whole part right before.
const FIRST_SPARE_PERCENT: u64 = 50;

/// Percentages of its spare retries, and of those that calls allow, that the guard of a node grants in the
/// first [`RETRY_WINDOW`] after an earlier process of the node. That one may have granted its whole part right
/// before, 75% of the spare retries and 70% of the budget of the route. Together they stay below 100%.
const SUCCESSOR_SPARE_PERCENT: u64 = 20;
const SUCCESSOR_EARNED_PERCENT: u64 = 40;

/// Which retries a guard grants in the first [`RETRY_WINDOW`] of its process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum InitialRetries {
    /// Half of the spare ones: no earlier process of the node is known.
    #[default]
    First,
    /// Fewer of all kinds, as an earlier process of the node may have granted its own right before.
    Successor {
        /// Time from which spare retries are granted. Those that were taken before the previous process have
        /// left the window then.
        spare_from: Time,
    },
}

impl InitialRetries {
    /// Decides for a process that started at `started`, or `started_ms` as Unix time in milliseconds, after
    /// a process of the same node that started at `previous_ms`. A previous start that is unknown, not
    /// before this one, or at least [`RETRY_WINDOW`] before it counts as long ago.
    ///
    /// ```
    /// use admission::InitialRetries;
    /// use model::Time;
    /// use std::time::Duration;
    ///
    /// let after = |previous| InitialRetries::after(previous, Some(19_000), Time::ZERO);
    /// let spare_from = Time::ZERO + Duration::from_secs(6);
    /// assert_eq!(after(Some(15_000)), InitialRetries::Successor { spare_from });
    /// assert_eq!(after(Some(9_000)), InitialRetries::Successor { spare_from: Time::ZERO });
    /// assert_eq!(after(None), InitialRetries::Successor { spare_from: Time::ZERO });
    /// ```
    pub fn after(
        previous_ms: Option<u64>,
        started_ms: Option<u64>,
        started: Time,
    ) -> InitialRetries {
        let between = started_ms.zip(previous_ms).and_then(|(own, previous)| {
            own.checked_sub(previous).filter(|ms| *ms > 0).map(Duration::from_millis)
        });
        let left = between.map_or(Duration::ZERO, |between| RETRY_WINDOW.saturating_sub(between));
        InitialRetries::Successor { spare_from: started + left }
    }
}

/// Length of the buckets in which calls and retries are counted.
const BUCKET_LENGTH: Duration = Duration::from_millis(250);

/// Units that make up one retry, so that fractions of retries are counted in integers.
const RETRY_UNITS: u64 = 100_000;

/// Limit on the retries of a service at one guard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryLimit {
    /// Retries allowed as a share of the calls of the route.
    pub share: Percent,
    /// Thousandths of a retry per 10 s allowed on top of the share: the guard's part of the spare
    /// retries of the service.
    pub spare_milli: u32,
}

/// Percentage of the retries of a service that calls below the highest priority may use while the rest is
/// reserved. Calls that upstreams make themselves have the highest priority: if one of them fails, the
/// work of the call that it belongs to is lost as well.
const UNRESERVED_RETRIES_PERCENT: u64 = 60;

/// Which part of the retries of a service a call may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RetryPart {
    /// All of them.
    Whole,
    /// Those that are not reserved for calls of the highest priority.
    Unreserved,
}

/// How an attempt counts towards the retry limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptKind {
    /// No earlier attempt of the request has reached an endpoint.
    First {
        /// Probability that an upstream sent the request while it was processing a retry. Such a
        /// request would not exist without that retry, so it counts as a retry too.
        retry_origin_percent: Percent,
    },
    /// An earlier attempt of the request has reached an endpoint, or may have.
    Retry,
}

/// Probability above which a first attempt that may result from a retry is refused like one when the retries are
/// used up. At a lower one, a request that no retry has caused would be refused more often than not.
const RETRY_ORIGIN_LIMITED_PERCENT: u8 = 50;

impl AttemptKind {
    /// Probability that the attempt would not exist without a retry, in percent.
    pub(crate) fn retry_percent(self) -> u8 {
        match self {
            AttemptKind::First { retry_origin_percent } => retry_origin_percent.value(),
            AttemptKind::Retry => 100,
        }
    }

    /// Whether the attempt is refused once the retries of the service are used up.
    pub(crate) fn is_limited(self) -> bool {
        self.retry_percent() > RETRY_ORIGIN_LIMITED_PERCENT
    }
}

/// Counts of one [`BUCKET_LENGTH`], in units of which [`RETRY_UNITS`] make up one retry.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    index: u64,
    /// Retries allowed by the calls in this bucket.
    earned_units: u64,
    /// Retries counted in this bucket.
    used_units: u64,
}

/// Calls and retries of each service that the endpoints of a guard have belonged to in the last 10 s. Every
/// call to an endpoint passes its guard, so the limits of the guards add up to a limit for the service,
/// however many entry nodes there are. The counts outlast the endpoints: one that returns, or that replaces
/// another on its instance, gets no new retries.
#[derive(Debug, Default)]
pub(crate) struct RetryWindows {
    services: HashMap<ServiceName, RetryWindow>,
    /// First time that the guard was told.
    started_at: Option<Time>,
    initial: InitialRetries,
    /// When the last retry was started or queued.
    last_taken_at: Option<Time>,
}

impl RetryWindows {
    /// Records the start of the guard, if it is not known yet.
    pub(crate) fn begin(&mut self, now: Time) {
        self.started_at.get_or_insert(now);
    }

    /// Applies which retries are granted at first. Those that have been taken still count. Returns whether
    /// this withholds spare retries for longer than before.
    pub(crate) fn set_initial(&mut self, initial: InitialRetries) -> bool {
        let InitialRetries::Successor { spare_from } = initial else { return false };
        let known = self.spare_from();
        self.initial = InitialRetries::Successor { spare_from: spare_from.max(known) };
        spare_from > known
    }

    /// Returns whether no spare retries are granted yet.
    pub(crate) fn withholds_spare(&self, now: Time) -> bool {
        now < self.spare_from()
    }

    fn spare_from(&self) -> Time {
        match self.initial {
            InitialRetries::First => Time::ZERO,
            InitialRetries::Successor { spare_from } => spare_from,
        }
    }

    /// Returns whether a retry has been started or queued in the last [`RETRY_WINDOW`].
    pub(crate) fn has_taken_lately(&self, now: Time) -> bool {
        self.last_taken_at.is_some_and(|at| now < at + RETRY_WINDOW)
    }

    /// Percentages of the spare retries, and of those that calls allow, that are granted now.
    fn granted_percents(&self, now: Time) -> [u64; 2] {
        let is_initial = self.started_at.is_none_or(|started| now < started + RETRY_WINDOW);
        match self.initial {
            _ if !is_initial => [100, 100],
            InitialRetries::First => [FIRST_SPARE_PERCENT, 100],
            InitialRetries::Successor { spare_from } if now < spare_from => {
                [0, SUCCESSOR_EARNED_PERCENT]
            }
            InitialRetries::Successor { .. } => [SUCCESSOR_SPARE_PERCENT, SUCCESSOR_EARNED_PERCENT],
        }
    }

    /// Returns whether another retry of a service stays within the limit.
    pub(crate) fn allows_retry(
        &mut self,
        service: &ServiceName,
        retry_limit: RetryLimit,
        part: RetryPart,
        now: Time,
    ) -> bool {
        let [spare_percent, earned_percent] = self.granted_percents(now);
        let part_percent = match part {
            RetryPart::Whole => 100,
            RetryPart::Unreserved => UNRESERVED_RETRIES_PERCENT,
        };
        let (earned_units, used_units) = self.window(service).totals(now);
        let spare_units = u64::from(retry_limit.spare_milli) * (RETRY_UNITS / 1000);
        let granted = (spare_units * spare_percent + earned_units * earned_percent) / 100;
        used_units + RETRY_UNITS <= granted * part_percent / 100
    }

    /// Counts a first attempt that the guard has started, or a retry that it has started or queued.
    pub(crate) fn record(
        &mut self,
        service: &ServiceName,
        kind: AttemptKind,
        retry_limit: RetryLimit,
        now: Time,
    ) {
        if kind.is_limited() {
            self.last_taken_at = Some(now);
        }
        self.window(service).record(kind, retry_limit, now);
    }

    /// Removes the windows of services without calls in the last [`RETRY_WINDOW`].
    pub(crate) fn prune(&mut self, now: Time) {
        self.services.retain(|_, window| !window.is_empty(now));
    }

    fn window(&mut self, service: &ServiceName) -> &mut RetryWindow {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), RetryWindow::default());
        }
        self.services.get_mut(service).expect("the window was just added")
    }
}

/// Calls and retries of one service in the last [`RETRY_WINDOW`].
#[derive(Debug, Default)]
struct RetryWindow {
    buckets: VecDeque<Bucket>,
}

impl RetryWindow {
    /// Units that the calls in the window allow, and those that are used up.
    fn totals(&mut self, now: Time) -> (u64, u64) {
        self.remove_expired(now);
        let earned = self.buckets.iter().map(|bucket| bucket.earned_units).sum();
        (earned, self.buckets.iter().map(|bucket| bucket.used_units).sum())
    }

    fn record(&mut self, kind: AttemptKind, retry_limit: RetryLimit, now: Time) {
        let bucket = self.current_bucket(now);
        match kind {
            AttemptKind::First { retry_origin_percent } => {
                let retry_origin_percent = u64::from(retry_origin_percent.value());
                bucket.used_units += retry_origin_percent * (RETRY_UNITS / 100);
                bucket.earned_units += (100 - retry_origin_percent)
                    * u64::from(retry_limit.share.value())
                    * RETRY_UNITS
                    / 10_000;
            }
            AttemptKind::Retry => bucket.used_units += RETRY_UNITS,
        }
    }

    fn is_empty(&mut self, now: Time) -> bool {
        self.remove_expired(now);
        self.buckets.is_empty()
    }

    /// Removes buckets that have left the window.
    fn remove_expired(&mut self, now: Time) {
        let index = bucket_index(now);
        let buckets_per_window = (RETRY_WINDOW.as_micros() / BUCKET_LENGTH.as_micros()) as u64;
        // Keeps one bucket more than fits in the window, since the oldest one overlaps its start.
        while self.buckets.front().is_some_and(|first| first.index + buckets_per_window < index) {
            self.buckets.pop_front();
        }
    }

    fn current_bucket(&mut self, now: Time) -> &mut Bucket {
        self.remove_expired(now);
        let index = bucket_index(now);
        if self.buckets.back().is_none_or(|last| last.index < index) {
            self.buckets.push_back(Bucket { index, earned_units: 0, used_units: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}

fn bucket_index(now: Time) -> u64 {
    now.as_micros() / BUCKET_LENGTH.as_micros() as u64
}
