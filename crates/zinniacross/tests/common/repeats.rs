//! Counts the repeated arrivals at a service as the users do.

use std::collections::HashSet;
use std::time::{Duration, Instant};

/// Window in which repeats are counted.
pub const WINDOW: Duration = Duration::from_secs(10);

/// Repeats that are allowed in a [`WINDOW`].
#[derive(Debug, Clone, Copy)]
pub struct RepeatLimit {
    /// Percentage of the requests for the service.
    pub percent: usize,
    /// Repeats beyond that percentage.
    pub spare: usize,
}

/// The window with the most repeats beyond the limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorstWindow {
    pub repeats: usize,
    pub allowed: usize,
}

impl WorstWindow {
    pub fn is_within_limit(self) -> bool {
        self.repeats <= self.allowed
    }
}

/// Returns the worst window of a service. `requests` are the times at which callers sent requests for
/// it, `arrivals` those at which one of them, with its id, reached any of its endpoints. Requests are those
/// of the window, the one before it or the one half a window earlier, whichever has most.
pub fn worst_window(
    requests: &[Instant],
    arrivals: &[(Instant, &str)],
    limit: RepeatLimit,
) -> WorstWindow {
    let mut arrivals = arrivals.to_vec();
    arrivals.sort();
    let mut known = HashSet::new();
    let repeated = arrivals.iter().filter(|(_, id)| !known.insert(*id));
    let repeats: Vec<Instant> = repeated.map(|(at, _)| *at).collect();
    let mut requests = requests.to_vec();
    requests.sort();
    let windows = repeats.iter().enumerate().map(|(first, from)| {
        let repeats = repeats[first..].iter().take_while(|at| **at < *from + WINDOW).count();
        let starts = [Some(*from), from.checked_sub(WINDOW / 2), from.checked_sub(WINDOW)];
        let most = starts.into_iter().flatten().map(|from| count_from(&requests, from)).max();
        let allowed = most.unwrap_or(0) * limit.percent / 100 + limit.spare;
        WorstWindow { repeats, allowed }
    });
    let excess = |window: &WorstWindow| window.repeats as i64 - window.allowed as i64;
    windows.max_by_key(excess).unwrap_or_default()
}

/// Number of sorted times in the window that begins at `from`.
fn count_from(times: &[Instant], from: Instant) -> usize {
    times.partition_point(|at| *at < from + WINDOW) - times.partition_point(|at| *at < from)
}
