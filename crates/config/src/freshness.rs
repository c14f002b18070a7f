//! How long ago the configuration of a node was known to be the newest one.

use std::time::Duration;

use model::{Revision, Time};

/// The newest revision of the imported configuration that a node knows to exist, and when the
/// platform last had nothing newer.
///
/// ```
/// use config::Freshness;
/// use model::{Revision, Time};
/// use std::time::Duration;
///
/// let at = |millis: u64| Time::from_micros(millis * 1000);
/// let mut freshness = Freshness::default();
/// freshness.confirm(Revision(5), at(100));
/// assert_eq!(freshness.age(Revision(5), at(350)), Some(Duration::from_millis(250)));
/// assert_eq!(freshness.age(Revision(4), at(350)), None);
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct Freshness {
    newest: Revision,
    confirmed_at: Option<Time>,
}

impl Freshness {
    /// Records that `revision` was the newest one at the time `at`. A lower revision than one that
    /// is known to exist changes nothing.
    pub fn confirm(&mut self, revision: Revision, at: Time) {
        if revision < self.newest {
            return;
        }
        let earlier = self.confirmed_at.filter(|_| revision == self.newest);
        self.newest = revision;
        self.confirmed_at = Some(earlier.map_or(at, |earlier| earlier.max(at)));
    }

    /// Returns how long ago `own` was known to be the newest revision, or `None` if it never was or
    /// a newer one is known to exist.
    pub fn age(&self, own: Revision, now: Time) -> Option<Duration> {
        let confirmed_at = self.confirmed_at.filter(|_| own >= self.newest)?;
        Some(now.since(confirmed_at))
    }
}
