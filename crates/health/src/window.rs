//! Sliding window of the calls of one endpoint on one route.

use std::time::Duration;

use model::Time;

use crate::recorder::{BUCKETS, REPORT_INTERVAL, ReportEntry};

/// Slices of the window; 8 slices of 500 ms are 4 s.
pub(crate) const SLICES: usize = 8;

/// Counters are capped, so that a single nonsensical report cannot outweigh all peers.
const MAX_COUNT: u32 = u16::MAX as u32;

#[derive(Debug, Clone, Copy, Default)]
struct Slice {
    failures: u16,
    successes: [u16; BUCKETS],
}

/// Counts over the most recent part of a window.
#[derive(Debug, Clone)]
pub(crate) struct Totals {
    pub failures: u64,
    pub successes: u64,
    buckets: [u32; BUCKETS],
}

impl Totals {
    pub fn calls(&self) -> u64 {
        self.failures + self.successes
    }

    pub fn failure_share(&self) -> f64 {
        self.failures as f64 / self.calls().max(1) as f64
    }

    /// Bucket of the median latency.
    pub fn median_bucket(&self) -> usize {
        let mut seen = 0;
        for (bucket, &count) in self.buckets.iter().enumerate() {
            seen += u64::from(count);
            if seen * 2 >= self.successes.max(1) {
                return bucket;
            }
        }
        BUCKETS - 1
    }

    /// Successful calls in `bucket` and above.
    pub fn at_least(&self, bucket: usize) -> u64 {
        self.buckets.iter().skip(bucket).map(|&count| u64::from(count)).sum()
    }
}

/// Slices with slow calls.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SlowSlices {
    /// Slices in which at least half of the calls were slow.
    pub most: usize,
    /// Newest slices in a row, not counting empty ones, in which all calls were slow.
    pub newest_all: usize,
}

#[derive(Debug, Clone, Default)]
pub(crate) struct Window {
    slices: [Slice; SLICES],
    /// Number of the newest slice since the start of the time scale.
    newest: u64,
}

impl Window {
    pub fn add(&mut self, entry: &ReportEntry, now: Time) {
        self.advance(now);
        let slice = &mut self.slices[(self.newest % SLICES as u64) as usize];
        slice.failures = sum(slice.failures, entry.failures);
        for &(bucket, count) in entry.successes.pairs() {
            let at = usize::from(bucket).min(BUCKETS - 1);
            slice.successes[at] = sum(slice.successes[at], count);
        }
    }

    pub fn clear(&mut self) {
        self.slices = Default::default();
    }

    /// Drops the slices that have left the window.
    pub fn advance(&mut self, now: Time) {
        let number = slice_number(now);
        let passed = number.saturating_sub(self.newest);
        if passed == 0 {
            return;
        }
        for step in 1..=passed.min(SLICES as u64) {
            let at = ((self.newest + step) % SLICES as u64) as usize;
            self.slices[at] = Slice::default();
        }
        self.newest = number;
    }

    /// Counts over the newest `count` slices.
    pub fn totals(&self, count: usize) -> Totals {
        let mut totals = Totals { failures: 0, successes: 0, buckets: [0; BUCKETS] };
        for slice in self.recent(count) {
            totals.failures += u64::from(slice.failures);
            for (total, &count) in totals.buckets.iter_mut().zip(&slice.successes) {
                *total += u32::from(count);
            }
        }
        totals.successes = totals.buckets.iter().map(|&count| u64::from(count)).sum();
        totals
    }

    /// Slices that hold a failed call.
    pub fn slices_with_failures(&self) -> usize {
        self.slices.iter().filter(|slice| slice.failures > 0).count()
    }

    /// Counts the slices with successful calls in `bucket` or above.
    pub fn slow_slices(&self, bucket: usize) -> SlowSlices {
        let mut slices = SlowSlices { most: 0, newest_all: 0 };
        let mut only_slow = true;
        for slice in self.recent(SLICES) {
            let sum = |counts: &[u16]| counts.iter().map(|&count| u64::from(count)).sum::<u64>();
            let all = sum(&slice.successes);
            if all == 0 {
                continue;
            }
            let slow = sum(&slice.successes[bucket.min(BUCKETS)..]);
            only_slow &= slow == all;
            slices.most += usize::from(slow * 2 >= all);
            slices.newest_all += usize::from(only_slow);
        }
        slices
    }

    fn recent(&self, count: usize) -> impl Iterator<Item = &Slice> {
        let newest = self.newest + SLICES as u64;
        (0..count as u64).map(move |back| &self.slices[((newest - back) % SLICES as u64) as usize])
    }
}

fn slice_number(now: Time) -> u64 {
    now.since(Time::ZERO).as_micros() as u64 / interval(REPORT_INTERVAL)
}

fn interval(duration: Duration) -> u64 {
    duration.as_micros() as u64
}

fn sum(count: u16, more: u32) -> u16 {
    u32::from(count).saturating_add(more).min(MAX_COUNT) as u16
}
