//! Admission control for the endpoints of a node: attempt ledger, slots and fair queue.
//!
//! A [`Guard`] decides whether each attempt sent to an endpoint of the node starts, waits for a slot
//! or is refused. It does no I/O and reads no clock: the caller passes in events with the current time
//! and carries out the returned [`AttemptDecision`]s.
//!
//! ```
//! use admission::{
//!     AttemptKind, Attempt, Check, Decision, Guard, GuardLimits, WaitLimit, RetryLimit, RateStatus,
//! };
//! use model::{AttemptId, EndpointState, Incarnation, Percent, Rate, Slots, Time};
//! use std::time::Duration;
//!
//! let mut guard = Guard::new(GuardLimits::default());
//! let allow = |_: &Attempt| Check::Allowed;
//! let now = Time::ZERO;
//! let endpoint = "orders-1".parse().unwrap();
//! guard.update_endpoint(&endpoint, Slots(1), EndpointState::Ready, now, &allow);
//! let id = AttemptId { entry: Incarnation(1), sequence: 1 };
//! let route = "orders".parse().unwrap();
//! let start_by = now + Duration::from_secs(1);
//! let wait_limit = WaitLimit::UntilDeadline;
//! let rate = Rate::per_second(10);
//! let rate_status = RateStatus::WithinRate;
//! let attempt = Attempt {
//!     id,
//!     endpoint,
//!     service: "orders".parse().unwrap(),
//!     route,
//!     account: None,
//!     rate,
//!     rate_status,
//!     start_by,
//!     queue_until: start_by,
//!     goal_by: None,
//!     wait_limit,
//!     priority: 0,
//!     kind: AttemptKind::First { retry_origin_percent: Percent::ZERO },
//!     retry_limit: RetryLimit { share: Percent::default(), spare_milli: 0 },
//!     is_idempotent: true,
//!     accepts_suspect: false,
//! };
//! let decisions = guard.submit(attempt, now, &allow);
//! assert_eq!(decisions[0].decision, Decision::Start);
//! ```

mod account;
mod attempt;
mod cold;
mod forecast;
mod guard;
mod ledger;
mod limits;
mod queue;
mod recent_peak;
mod reserve;
mod retries;
mod route;

pub use attempt::{
    Attempt, AttemptDecision, CancelOutcome, Check, Checks, Decision, DrainState, RateStatus,
    StopState, WaitLimit,
};
pub use cold::{ColdChange, ColdCounts, ColdLimit, ColdNotice};
pub use guard::Guard;
pub use ledger::{FenceAnswer, MAX_START_BY_DISTANCE, RETENTION_AFTER_START_BY};
pub use limits::{GuardLimits, OverloadControl};
pub use recent_peak::RecentPeak;
pub use retries::{AttemptKind, InitialRetries, RETRY_WINDOW, RetryLimit};
