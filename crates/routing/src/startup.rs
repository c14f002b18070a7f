//! Decides about requests that arrive while a node starts.

use std::time::Duration;

use model::Time;

/// Time after the start of the process until which requests wait. 400 nodes that start at the same moment
/// have received everything after 0.7 s. Later a node has no configuration because the platform is away,
/// and requests are refused at once.
const STARTUP_TIME: Duration = Duration::from_secs(1);

/// Longest wait, as a divisor of the time that the caller waits for its response, if it has said so.
const WAIT_DIVISOR: u32 = 2;

/// What a request does while the node starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartupStep {
    /// The request is handled now, or refused if there is no configuration.
    Handle,
    /// The request waits for the configuration and the list of nodes, until this time at the latest.
    WaitUntil(Time),
}

/// Decides about a request that arrived at `arrived`, at a node that has or has not yet received its
/// configuration and the list of nodes. Times are counted from the start of the process.
///
/// ```
/// use model::Time;
/// use routing::{StartupStep, startup_step};
///
/// let arrived = Time::from_micros(200_000);
/// let end = Time::from_micros(1_000_000);
/// assert_eq!(startup_step(false, arrived, None, arrived), StartupStep::WaitUntil(end));
/// assert_eq!(startup_step(true, arrived, None, arrived), StartupStep::Handle);
/// ```
pub fn startup_step(
    is_loaded: bool,
    arrived: Time,
    caller_waits: Option<Duration>,
    now: Time,
) -> StartupStep {
    let end_of_startup = Time::ZERO + STARTUP_TIME;
    let latest = match caller_waits {
        Some(waits) => end_of_startup.min(arrived + waits / WAIT_DIVISOR),
        None => end_of_startup,
    };
    match is_loaded || now >= latest {
        true => StartupStep::Handle,
        false => StartupStep::WaitUntil(latest),
    }
}
