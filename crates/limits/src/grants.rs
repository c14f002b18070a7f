//! Grants held by an entry node, and its view of the owners that issue them.

use std::time::Duration;

use model::Time;

use crate::message::TokensLeft;
use crate::share::ShareIndex;

/// Initial backoff after a failed request to an owner. Doubles with each consecutive failure, up to
/// [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(250);

/// Maximum backoff after failed requests to an owner.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// A grant that the entry node may spend.
#[derive(Debug, Clone)]
pub(crate) struct Allowance {
    pub(crate) share: ShareIndex,
    pub(crate) sequence: u64,
    pub(crate) expires: Time,
    pub(crate) granted: u32,
    pub(crate) spent: u32,
    /// Number of spent tokens that have been reported to the owner.
    pub(crate) reported: u32,
    pub(crate) rest: TokensLeft,
}

impl Allowance {
    /// Number of tokens that may still be spent.
    pub(crate) fn unspent(&self) -> u32 {
        match self.rest {
            TokensLeft::Kept => self.granted - self.spent,
            TokensLeft::Returned => 0,
        }
    }
}

/// A request for tokens that has not been answered.
#[derive(Debug, Clone)]
pub(crate) struct Pending {
    pub(crate) share: ShareIndex,
    pub(crate) sequence: u64,
    pub(crate) sent: Time,
    pub(crate) wanted: u32,
    /// Whether the request has exceeded the answer timeout. An answer is accepted as long as the
    /// request is pending.
    pub(crate) overdue: Overdue,
}

/// Whether a request has exceeded the answer timeout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Overdue {
    No,
    Yes,
}

/// State of the owner of a share, as seen by the entry node.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct OwnerState {
    /// The owner is expected to have no token before this time.
    pub(crate) no_tokens_until: Time,
    /// The owner is considered unresponsive until this time and receives no requests.
    pub(crate) unresponsive_until: Time,
    /// Time of the last request for tokens.
    pub(crate) last_request: Time,
    /// Time of the last answer with fewer tokens than requested, or of the last failed request.
    pub(crate) last_shortage: Option<Time>,
    /// Number of consecutive requests that timed out or were rejected as sent to the wrong owner.
    pub(crate) consecutive_failures: u8,
}

impl OwnerState {
    /// Earliest time of the next request.
    pub(crate) fn next_request_at(&self) -> Time {
        self.no_tokens_until.max(self.unresponsive_until)
    }

    /// Whether the owner is responsive and its last answer said that it has no more tokens.
    pub(crate) fn is_empty(&self) -> bool {
        self.consecutive_failures == 0 && self.no_tokens_until > Time::ZERO
    }

    /// Whether the owner may have a token for a call that arrived at `since`: it can be asked now, or
    /// is being asked, and has not fallen short since the call arrived.
    pub(crate) fn may_serve(&self, since: Time, now: Time, is_asked: bool) -> bool {
        let fell_short = self.last_shortage.is_some_and(|at| at > since);
        !fell_short && (is_asked || self.next_request_at() <= now)
    }

    /// Records a failed request and starts the backoff.
    pub(crate) fn mark_unresponsive(&mut self, now: Time) {
        self.last_shortage = Some(now);
        let factor = 1 << self.consecutive_failures.min(4);
        let backoff = MIN_BACKOFF.saturating_mul(factor).min(MAX_BACKOFF);
        self.unresponsive_until = self.unresponsive_until.max(now + backoff);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
    }
}
