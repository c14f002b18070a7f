//! Decides when a node asks the platform whether its configuration is still the newest one.
//!
//! That nobody reports a newer version proves nothing: those who would may stand still, be cut off or
//! be connected by a link that has fallen silent. A node therefore knows when the platform last had
//! nothing newer, by its own calls or by those of its peers, and asks once that is too long ago.

use std::time::Duration;

use model::{Revision, Time};

/// Age from which a confirmation by the platform is not relied on any more. With the time that a
/// call to the platform takes, it stays below the 2 s in which a configuration has to be in force.
const CONFIRM_WITHIN: Duration = Duration::from_millis(1200);

/// Time in which a revision that a peer has should have arrived from it. After that the platform is
/// asked, since the link to the peer may be silent or cut in one direction.
const CATCH_UP_WITHIN: Duration = Duration::from_millis(300);

/// By how much a confirmation has to be later than the one that was passed on last to be passed on
/// as well. It bounds the traffic of the confirmations by several readers.
const PASS_ON_STEP: Duration = Duration::from_millis(400);

/// What is new to a node in a confirmation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Heard {
    /// Nothing that others should know.
    NothingNew,
    /// The configuration was confirmed considerably later than known before; peers should know.
    LaterConfirmation,
    /// There is a newer revision than known before.
    NewerRevision,
}

/// What a node does about the age of its configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FreshnessStep {
    /// Ask the platform now.
    AskPlatform,
    /// Rely on the configuration until this time, unless a newer one is heard of.
    TrustUntil(Time),
}

/// The newest revision of the imported configuration that a node knows to exist, and when the
/// platform last had nothing newer.
///
/// ```
/// use config::{Freshness, FreshnessStep};
/// use model::{Revision, Time};
///
/// let at = |millis: u64| Time::from_micros(millis * 1000);
/// let own = Revision(5);
/// let mut freshness = Freshness::default();
/// assert_eq!(freshness.next_step(own, at(0)), FreshnessStep::AskPlatform);
/// freshness.confirm(own, at(100), at(110));
/// assert_eq!(freshness.next_step(own, at(110)), FreshnessStep::TrustUntil(at(1300)));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct Freshness {
    newest: Revision,
    /// Time at which the platform had nothing newer than `newest`, if that is known.
    confirmed_at: Option<Time>,
    /// Latest confirmation of which peers have been told.
    passed_on_at: Time,
    /// Time from which the platform is asked if this node has `newest`.
    confirm_by: Time,
    /// Time from which the platform is asked if this node lacks `newest`.
    catch_up_by: Time,
}

impl Freshness {
    /// Records that the platform had nothing newer than `revision` at the time `at`, in an answer to
    /// this node that arrived at `now`.
    pub fn confirm(&mut self, revision: Revision, at: Time, now: Time) -> Heard {
        if revision < self.newest {
            // The answer is older than what a peer has told, or the peer is wrong.
            self.catch_up_by = now + CONFIRM_WITHIN;
            return Heard::NothingNew;
        }
        self.hear_of(revision, Some(at), now)
    }

    /// Records that a peer has `revision`, and when it was known to be the newest one, if the peer
    /// knows that.
    pub fn hear_of(&mut self, revision: Revision, confirmed_at: Option<Time>, now: Time) -> Heard {
        let is_newer = revision > self.newest;
        if is_newer {
            self.newest = revision;
            self.confirmed_at = None;
            self.catch_up_by = now + CATCH_UP_WITHIN;
        }
        if let Some(at) = confirmed_at.filter(|_| revision == self.newest) {
            let at = self.confirmed_at.map_or(at, |earlier| earlier.max(at));
            self.confirmed_at = Some(at);
            self.confirm_by = self.confirm_by.max(at + CONFIRM_WITHIN);
        }
        match self.confirmed_at {
            _ if is_newer => Heard::NewerRevision,
            Some(at) if at >= self.passed_on_at + PASS_ON_STEP => {
                self.passed_on_at = at;
                Heard::LaterConfirmation
            }
            _ => Heard::NothingNew,
        }
    }

    /// Returns whether a peer whose configuration was confirmed `ago` has a considerably later
    /// confirmation than this node, which has the revision `own`.
    pub fn is_older_than(&self, ago: Duration, own: Revision, now: Time) -> bool {
        self.age(own, now).is_none_or(|age| age >= ago + PASS_ON_STEP)
    }

    /// Returns how long ago `own` was known to be the newest revision, or `None` if it never was or
    /// a newer one is known to exist.
    pub fn age(&self, own: Revision, now: Time) -> Option<Duration> {
        let confirmed_at = self.confirmed_at.filter(|_| own >= self.newest)?;
        Some(now.since(confirmed_at))
    }

    /// Decides whether a node that has the revision `own` asks the platform.
    pub fn next_step(&self, own: Revision, now: Time) -> FreshnessStep {
        let ask_by = if own < self.newest { self.catch_up_by } else { self.confirm_by };
        match now < ask_by {
            true => FreshnessStep::TrustUntil(ask_by),
            false => FreshnessStep::AskPlatform,
        }
    }
}
