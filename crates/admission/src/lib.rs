//! Attempt ledger, slots and fair queue.
//!
//! A [`Guard`] decides for every attempt that reaches the endpoints of a node whether it starts,
//! waits or is refused. It does no I/O and reads no clock: the caller passes events with the time
//! and carries out the returned [`Verdict`]s.

mod attempt;
mod guard;
mod ledger;
mod queue;
mod retries;

pub use attempt::{
    Attempt, Cancelled, Check, Checks, Decision, Drain, Patience, Standing, StopState, Verdict,
};
pub use guard::{Guard, GuardLimits};
pub use ledger::{FenceAnswer, KEEP_AFTER_START_BY, MAX_START_BY};
pub use retries::{Arrival, RetryAllowance};
