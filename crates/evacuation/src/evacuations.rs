//! The state that a node keeps.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use model::{FailureDomain, Revision, Time};

use crate::pace::Pace;

/// By how much a confirmation has to be later than the one that was passed on last to be passed on
/// as well. It bounds the traffic of the confirmations by several readers: with two that each confirm
/// once a second, about every second one is passed on.
const PASS_ON_STEP: Duration = Duration::from_millis(600);

/// Time for which an evacuation stays in effect that a restored store lacks. Operators repeat their
/// writes after a restore. An operator who wants to end the evacuation then finds nothing to delete,
/// so it must not last for ever.
const RETAIN_FOR: Duration = Duration::from_secs(60);

/// Shortest rest of that time that is taken over from a peer. The time on the way is added to it, so nodes
/// that tell each other of the last moments would prolong the evacuation.
const MIN_RETAINED: Duration = Duration::from_secs(1);

/// All evacuated failure domains at one revision of the store.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Snapshot {
    /// Revision of the store at which they were read.
    pub revision: Revision,
    /// The failure domains.
    pub domains: BTreeSet<FailureDomain>,
}

/// What has changed, and so what to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Nothing that others should know.
    None,
    /// The same failure domains were confirmed considerably later than known before; peers should
    /// know.
    Confirmed,
    /// Other failure domains are evacuated than before; peers should know, and queued calls may have
    /// to be refused.
    Domains {
        /// Failure domains whose evacuation has begun.
        begun: Vec<FailureDomain>,
        /// Failure domains whose evacuation has ended.
        ended: Vec<FailureDomain>,
    },
}

/// What a node does about the age of what it knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Ask the platform now.
    AskPlatform,
    /// Rely on what is known until this time.
    TrustUntil(Time),
}

/// The evacuated failure domains that a node knows of: those of the platform, and those among the
/// product's own objects.
///
/// ```
/// use evacuation::{Change, Evacuations, Pace, Snapshot, Step};
/// use model::{FailureDomain, Revision, Time};
/// use std::time::Duration;
///
/// let at = |millis: u64| Time::from_micros(millis * 1000);
/// let domain: FailureDomain = "mid-a".parse().unwrap();
/// let mut evacuations = Evacuations::new(Pace::for_bound(Duration::from_secs(5)));
/// assert_eq!(evacuations.next_step(at(0)), Step::AskPlatform);
///
/// let snapshot = Snapshot { revision: Revision(7), domains: [domain.clone()].into() };
/// let change = evacuations.apply(snapshot, Some(at(100)), at(110));
/// assert!(matches!(change, Change::Domains { .. }));
/// assert!(evacuations.is_evacuated(&domain));
/// assert_eq!(evacuations.next_step(at(110)), Step::TrustUntil(at(2600)));
/// ```
#[derive(Debug)]
pub struct Evacuations {
    pace: Pace,
    snapshot: Option<Snapshot>,
    /// Latest time at which the platform is known to have had nothing newer than `snapshot`.
    confirmed_at: Option<Time>,
    /// Latest confirmation of which peers have been told.
    passed_on_at: Time,
    /// Failure domains that a restored store lacks, with the end of their evacuation.
    retained: BTreeMap<FailureDomain, Time>,
    /// Failure domains among the product's own objects.
    objects: BTreeSet<FailureDomain>,
    /// All of the above.
    domains: Arc<BTreeSet<FailureDomain>>,
}

impl Evacuations {
    /// Creates a state without a snapshot, in which no failure domain is evacuated.
    pub fn new(pace: Pace) -> Evacuations {
        Evacuations {
            pace,
            snapshot: None,
            confirmed_at: None,
            passed_on_at: Time::ZERO,
            retained: BTreeMap::new(),
            objects: BTreeSet::new(),
            domains: Arc::default(),
        }
    }

    /// Applies a snapshot that arrived at `now`, unless a later one is known. `confirmed_at` is a
    /// time at which the platform had nothing newer, if that is known.
    pub fn apply(&mut self, snapshot: Snapshot, confirmed_at: Option<Time>, now: Time) -> Change {
        if self.snapshot.as_ref().is_some_and(|known| snapshot.revision < known.revision) {
            return Change::None;
        }
        // The confirmation of a lower revision counts as well: what is newer than that was written
        // later than the confirmation.
        self.confirmed_at = self.confirmed_at.max(confirmed_at);
        if self.snapshot.as_ref().is_none_or(|known| known.revision < snapshot.revision) {
            self.replace(snapshot, now);
        }
        match self.refresh(now) {
            Change::None => self.confirmation_to_pass_on(),
            change => change,
        }
    }

    /// Replaces the failure domains among the product's own objects.
    pub fn set_objects(&mut self, domains: BTreeSet<FailureDomain>, now: Time) -> Change {
        self.objects = domains;
        self.refresh(now)
    }

    /// Ends the evacuations that a restored store has lacked for too long.
    pub fn tick(&mut self, now: Time) -> Change {
        match self.retained.is_empty() {
            true => Change::None,
            false => self.refresh(now),
        }
    }

    /// Returns whether a failure domain is evacuated.
    pub fn is_evacuated(&self, domain: &FailureDomain) -> bool {
        self.domains.contains(domain)
    }

    /// Returns all evacuated failure domains.
    pub fn domains(&self) -> &Arc<BTreeSet<FailureDomain>> {
        &self.domains
    }

    /// Returns the latest snapshot of the platform, if there is one.
    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// Returns the evacuations that a restored store lacks, with the time that is left of them.
    pub fn retained(&self, now: Time) -> Vec<(FailureDomain, Duration)> {
        let left = self.retained.iter().map(|(domain, until)| (domain.clone(), until.since(now)));
        left.filter(|(_, left)| !left.is_zero()).collect()
    }

    /// Takes over the evacuations that a peer retains, which has the snapshot of `revision`. Returns `None`
    /// if this node has another one: an operator may have repeated and ended an evacuation in between.
    ///
    /// ```
    /// use evacuation::{Evacuations, Pace, Snapshot};
    /// use model::{Revision, Time};
    /// use std::time::Duration;
    ///
    /// let mut evacuations = Evacuations::new(Pace::for_bound(Duration::from_secs(5)));
    /// let revision = Revision::new(2, 7);
    /// let lost = vec![("mid-a".parse().unwrap(), Duration::from_secs(40))];
    /// assert_eq!(evacuations.apply_retained(revision, lost.clone(), Time::ZERO), None);
    /// evacuations.apply(Snapshot { revision, ..Snapshot::default() }, None, Time::ZERO);
    /// assert!(evacuations.apply_retained(revision, lost, Time::ZERO).is_some());
    /// assert!(evacuations.is_evacuated(&"mid-a".parse().unwrap()));
    /// ```
    pub fn apply_retained(
        &mut self,
        revision: Revision,
        lost: Vec<(FailureDomain, Duration)>,
        now: Time,
    ) -> Option<Change> {
        let snapshot = self.snapshot.as_ref().filter(|known| known.revision == revision)?;
        for (domain, left) in lost {
            if left >= MIN_RETAINED && !snapshot.domains.contains(&domain) {
                self.retained.entry(domain).or_insert(now + left.min(RETAIN_FOR));
            }
        }
        Some(self.refresh(now))
    }

    /// Returns how long ago the snapshot was confirmed, if it was.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Returns whether a peer whose snapshot was confirmed `ago` has a considerably later
    /// confirmation.
    pub fn is_older_than(&self, ago: Duration, now: Time) -> bool {
        self.age(now).is_none_or(|age| age >= ago + PASS_ON_STEP)
    }

    /// Decides whether the node asks the platform.
    pub fn next_step(&self, now: Time) -> Step {
        let trusted_until = self.confirmed_at.map(|at| at + self.pace.confirm_within);
        match trusted_until.filter(|until| now < *until) {
            Some(until) => Step::TrustUntil(until),
            None => Step::AskPlatform,
        }
    }

    fn replace(&mut self, snapshot: Snapshot, now: Time) {
        let known = self.snapshot.replace(snapshot.clone()).unwrap_or_default();
        if snapshot.revision.era() > known.revision.era() {
            let lacking = known.domains.into_iter();
            self.retained.extend(lacking.map(|domain| (domain, now + RETAIN_FOR)));
        }
        self.retained.retain(|domain, _| !snapshot.domains.contains(domain));
    }

    /// Updates the union of all sources, and returns how it has changed.
    fn refresh(&mut self, now: Time) -> Change {
        self.retained.retain(|_, until| now < *until);
        let of_platform = self.snapshot.iter().flat_map(|snapshot| &snapshot.domains);
        let all = of_platform.chain(self.retained.keys()).chain(&self.objects);
        let domains: BTreeSet<FailureDomain> = all.cloned().collect();
        if domains == *self.domains {
            return Change::None;
        }
        let begun = domains.difference(&self.domains).cloned().collect();
        let ended = self.domains.difference(&domains).cloned().collect();
        self.domains = Arc::new(domains);
        self.passed_on_at = self.confirmed_at.unwrap_or_default().max(self.passed_on_at);
        Change::Domains { begun, ended }
    }

    fn confirmation_to_pass_on(&mut self) -> Change {
        match self.confirmed_at {
            Some(at) if at >= self.passed_on_at + PASS_ON_STEP => {
                self.passed_on_at = at;
                Change::Confirmed
            }
            _ => Change::None,
        }
    }
}
