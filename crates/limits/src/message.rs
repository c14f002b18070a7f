//! Messages between entry nodes and owners.

use std::time::Duration;

use model::{AccountName, Incarnation, PartitionId, Tokens};

use crate::share::ShareIndex;

/// Time after which an entry node stops using an allowance, measured from sending the request on
/// the entry node's clock.
pub const ALLOWANCE_LIFETIME: Duration = Duration::from_secs(1);

/// Time for which an owner counts a grant as outstanding, measured from the grant on the owner's
/// clock.
///
/// 1.1 s plus 10%: longer than [`ALLOWANCE_LIFETIME`] even if the owner's clock runs 10% faster
/// than the entry node's.
pub const GRANT_LIFETIME: Duration = Duration::from_millis(1210);

/// Whether the entry node keeps the unspent tokens of a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TokensLeft {
    /// The entry node may still spend them.
    Kept,
    /// The entry node has returned them, and the owner may grant them again.
    Returned,
}

/// Report of an entry node on the tokens that it has spent of one grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SpentReport {
    /// Sequence number of the request that the grant answered.
    pub sequence: u64,
    /// Total tokens spent since the grant. Cumulative, so that duplicate reports are not counted
    /// twice.
    pub spent: Tokens,
    /// Whether the unspent tokens are kept or returned.
    pub rest: TokensLeft,
}

/// Request of an entry node for tokens of one share. It also carries the reports that are due.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TokenRequest {
    /// The client account.
    pub account: AccountName,
    /// The share.
    pub share: ShareIndex,
    /// The share's partition.
    pub partition: PartitionId,
    /// Incarnation of the entry node.
    pub entry: Incarnation,
    /// Sequence number of the request, unique within the incarnation.
    pub sequence: u64,
    /// Number of tokens requested. 0 if the request only carries reports and needs no answer.
    pub wanted: Tokens,
    /// Reports on earlier grants of this share.
    pub spent: Vec<SpentReport>,
}

/// Result of a request for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenResult {
    /// The owner has decided.
    Decided {
        /// Number of tokens granted, at most the number requested.
        granted: Tokens,
        /// Time until the share is expected to have another token.
        next_in: Duration,
    },
    /// The node may not grant tokens of this share now.
    NotOwner,
}

/// Answer to a request for tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TokenAnswer {
    /// The client account.
    pub account: AccountName,
    /// Sequence number of the request.
    pub sequence: u64,
    /// The result.
    pub result: TokenResult,
}
