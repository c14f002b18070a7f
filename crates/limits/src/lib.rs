//! Distributed rate limiting with leased tokens.
//!
//! The rate and burst of a client account are divided into [`shares`]. The owner of a share's
//! partition maintains a token bucket for the share ([`Owner`]) and grants tokens to entry nodes.
//! An entry node spends one token per call ([`Allowances`]).
//!
//! The owner maintains `level + outstanding <= burst` for each share. Granted tokens stay
//! outstanding, which blocks refill, until the entry node reports them as spent, returns them, or
//! the grant expires. The entry node stops using a grant before the owner considers it expired, so
//! the tokens that one owner grants and that are spent in any window of length `t` are at most
//! `burst + rate * t`. While a share moves from one owner to another, both may grant tokens, which
//! adds at most the burst of the share. An entry node that reaches no owner uses its part of the
//! rate ([`FallbackBuckets`]).

mod account;
mod demand;
mod entry;
mod grants;
mod local;
mod message;
mod owner;
mod share;
mod wait;

pub use entry::{Allowances, AnswerOutcome, Arrival, MAX_ACCOUNTS, TokenDecision};
pub use local::FallbackBuckets;
pub use message::{
    ALLOWANCE_LIFETIME, GRANT_LIFETIME, SpentReport, TokenAnswer, TokenRequest, TokenResult,
    TokensLeft,
};
pub use owner::{MAX_BUCKETS, Owner};
pub use share::{MAX_SHARES, PARTITION_COUNT, Share, ShareIndex, shares};
pub use wait::{RefillWaits, WaitPolicy};
