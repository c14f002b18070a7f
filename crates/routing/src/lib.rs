//! Endpoint choice and retries.
//!
//! * [`Balancer`] chooses the endpoint with the least expected wait.
//! * [`CallAttempts`] decides what follows when an attempt has ended, with [`FreeRetries`] for those
//!   that cost no upstream anything.

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
    AttemptEnd, Body, CallAttempts, CallKind, Evidence, FenceResult, Idempotence, Next, PATIENCE,
    WhenBusy, WhenSuspect, refusal_evidence,
};
