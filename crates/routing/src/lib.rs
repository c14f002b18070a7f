//! Load balancing and retry policy.
//!
//! * [`Balancer`] chooses the endpoint with the lowest expected wait.
//! * [`CallAttempts`] decides whether a call is retried after an attempt has ended.
//! * [`FreeRetries`] limits the retries after attempts that put no load on an upstream.

mod balancer;
mod free_retries;
mod load_view;
mod random;
mod retry;

pub use balancer::{
    Balancer, BalancerParams, Candidate, Candidates, Choice, KnownLoad, Reason, Stage,
};
pub use free_retries::{FreeRetries, Grant};
pub use load_view::LoadView;
pub use random::{RandomSource, SplitMix64};
pub use retry::{
    AttemptEnd, BodyState, BusyPolicy, CallAttempts, Evidence, FenceResult, Idempotence,
    MAX_EXPECTED_WAIT, NextAction, RetryParams, SuspectPolicy, refusal_evidence,
};
