//! How long calls wait for tokens.
//!
//! A call waits for the answers of the owners, and then for the refill of their buckets. While an
//! account makes several times the calls of its rate, the second wait is futile for most calls: they
//! are refused at its end. With [`WaitPolicy::WhileUseful`], a vain wait suspends the waits for
//! refill of the account at the entry node. The state is in memory, per account and process.

use std::time::Duration;

use model::Time;

/// Time after a vain wait, or after the last probe, until one call may wait for refill again. One
/// second bounds the delay of detecting that tokens are available, at one long wait a second.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time without a probe after which waits are allowed again: the account has made few calls since, so
/// that nothing is known about its present rate.
const FORGET_AFTER: Duration = Duration::from_secs(5);

/// Rule for how long a call waits for a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum WaitPolicy {
    /// Each call may wait until the end of its wait.
    #[default]
    UntilDeadline,
    /// After a call has waited without getting a token, calls wait for the answers of the owners only, and are
    /// refused once no owner has a token.
    WhileUseful,
}

/// Whether calls of an account wait for the refill of buckets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefillWaits {
    /// Each call may wait until the end of its wait.
    Allowed,
    /// Only one call a second may.
    Suspended,
}

/// State of the waits for refill of one account.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) enum WaitState {
    #[default]
    Allowed,
    Suspended {
        /// Time from which a call may probe.
        next_probe_at: Time,
        /// Arrival of the last call that probed, which identifies it.
        probe: Option<Time>,
    },
}

impl WaitState {
    pub(crate) fn refill_waits(&self) -> RefillWaits {
        match self {
            WaitState::Allowed => RefillWaits::Allowed,
            WaitState::Suspended { .. } => RefillWaits::Suspended,
        }
    }

    /// Whether a call that arrived at `since` may wait for refill until `wait_until`, now that no owner has
    /// a token for it. It becomes the probe if one is due, and is the only one until its wait ends.
    pub(crate) fn may_wait(&mut self, now: Time, since: Time, wait_until: Time) -> bool {
        let WaitState::Suspended { next_probe_at, probe } = self else { return true };
        if now >= *next_probe_at + FORGET_AFTER {
            *self = WaitState::Allowed;
            return true;
        }
        if now >= *next_probe_at {
            (*next_probe_at, *probe) = ((now + PROBE_INTERVAL).max(wait_until), Some(since));
        }
        *probe == Some(since)
    }

    /// Records that the call that arrived at `since` got a token.
    pub(crate) fn record_token(&mut self, since: Time) {
        if self.is_probe(since) {
            *self = WaitState::Allowed;
        }
    }

    /// Records that the call that arrived at `since` has waited for refill and got no token. A call
    /// that was not allowed to wait shows nothing.
    pub(crate) fn record_futile_wait(&mut self, now: Time, since: Time) {
        if matches!(self, WaitState::Allowed) || self.is_probe(since) {
            *self = WaitState::Suspended { next_probe_at: now + PROBE_INTERVAL, probe: None };
        }
    }

    fn is_probe(&self, since: Time) -> bool {
        matches!(self, WaitState::Suspended { probe: Some(probe), .. } if *probe == since)
    }
}
