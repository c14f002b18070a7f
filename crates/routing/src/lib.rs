//! Load balancing and retry policy.
//!
//! * [`Balancer`] chooses an endpoint by the load and the cost of the path; [`LatestLoad`] and
//!   [`AgedLoad`] are the two ways to estimate the load.
//! * [`CallAttempts`] decides whether a call is retried after an attempt has ended.
//! * [`HedgePolicy`] decides when an idempotent call gets a second attempt beside a running one.
//! * [`select_endpoint`] is the order of preference of a call, and [`explain_choice`] tells without a
//!   call what would be chosen.
//! * [`UnsentRetryLimiter`] limits the retries after attempts that put no load on an upstream.

mod aged_load;
mod balancer;
mod explanation;
mod hedging;
mod known_endpoint;
mod load_view;
mod random;
mod retry;
mod selection;
mod startup;
mod unsent_retry_limiter;
mod usable_slots;

pub use aged_load::{AgedLoad, LoadEstimate, Spread};
pub use balancer::{
    Assessment, Balancer, BalancerParams, Candidate, Candidates, Choice, KnownLoad, LatestLoad,
    LoadPolicy, OnBusy, Reason, Sample, Selection, Stage,
};
pub use explanation::{
    CallProperties, CandidateExplanation, ChoiceExplanation, ChoiceOutcome, ServiceSnapshot,
    TRIALS, explain_choice,
};
pub use hedging::HedgePolicy;
pub use known_endpoint::{Avoidance, EndpointStatus, Exclusion, KnownEndpoint, Reachability};
pub use load_view::LoadView;
pub use random::{RandomSource, SplitMix64};
pub use retry::{
    AttemptEnd, BodyState, BusyPolicy, CallAttempts, Evidence, FenceResult, Idempotence,
    MAX_EXPECTED_WAIT, NextAction, RetryParams, SuspectPolicy, refusal_evidence,
};
pub use selection::{
    EndpointChooser, Selected, SelectionRules, SelectionStep, no_endpoint_code, select_endpoint,
};
pub use startup::{StartupStep, startup_step};
pub use unsent_retry_limiter::{Grant, UnsentRetryLimiter};
pub use usable_slots::usable_slots;
