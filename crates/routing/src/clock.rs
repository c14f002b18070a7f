//! Estimate of the time of a guard.

use std::collections::VecDeque;
use std::time::Duration;

use model::{Incarnation, ResultCode, Time};

/// Oldest sample from which a start-by deadline is computed.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(10);

/// Samples that are kept; heartbeats arrive every second.
const MAX_SAMPLES: usize = 16;

/// Longest distance of a deadline; guards refuse deadlines further ahead as a fault.
const MAX_AHEAD: Duration = Duration::from_secs(600);

/// Largest difference in speed between the clocks of two machines, as a divisor: one part in a
/// thousand, far above the drift of crystal oscillators, plus what time synchronization may slew.
const MAX_SPEED_DIFFERENCE: u64 = 1000;

/// A start-by deadline and the process whose time it is in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartBy {
    /// The guard's process. The call must go over a link to this process only.
    pub guard: Incarnation,
    /// The deadline in the time of that process.
    pub at: Time,
}

#[derive(Debug, Clone, Copy)]
struct Sample {
    guard_time: Time,
    received_at: Time,
}

impl Sample {
    /// Lower bound of the guard's time at `at`. The guard read its clock before the sample
    /// arrived, and its clock has since advanced by at least the time elapsed here less the
    /// largest difference in speed.
    fn guard_time_at(&self, at: Time) -> Time {
        let elapsed = at.since(self.received_at).as_micros() as u64;
        let slowed = elapsed - elapsed.div_ceil(MAX_SPEED_DIFFERENCE);
        self.guard_time + Duration::from_micros(slowed)
    }
}

/// Estimates the time of one guard from the clock values in its Pong and Welcome messages. The
/// estimate is never ahead of the guard's clock.
///
/// Both clocks must keep counting while their machine is suspended, or stop together.
///
/// ```
/// use model::{Incarnation, Time};
/// use routing::GuardClock;
/// use std::time::Duration;
///
/// let mut clock = GuardClock::new();
/// clock.sample(Incarnation(7), Time::from_micros(5_000_000), Time::from_micros(100));
/// let deadline = Time::from_micros(1_000_100);
/// let start_by = clock.start_by(deadline, Time::from_micros(200)).unwrap();
/// assert_eq!(start_by.at, Time::from_micros(5_999_000));
/// ```
#[derive(Debug, Clone, Default)]
pub struct GuardClock {
    guard: Option<Incarnation>,
    samples: VecDeque<Sample>,
}

impl GuardClock {
    /// Makes an estimate without samples.
    pub fn new() -> GuardClock {
        GuardClock::default()
    }

    /// Takes the clock value of a message from the guard and the own time of its receipt. The
    /// samples of another process are dropped, since its clock has another start.
    pub fn sample(&mut self, guard: Incarnation, guard_time: Time, received_at: Time) {
        if self.guard != Some(guard) {
            self.guard = Some(guard);
            self.samples.clear();
        }
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample { guard_time, received_at });
    }

    /// Drops all samples, to be called when the link to the guard is lost.
    pub fn clear(&mut self) {
        self.guard = None;
        self.samples.clear();
    }

    /// The guard's time now, never ahead of it, or `None` without a sample younger than 10 s.
    pub fn now(&self, now: Time) -> Option<Time> {
        self.estimate(now, now)
    }

    /// The start-by deadline of a call whose deadline is at `deadline` in the own time.
    ///
    /// # Errors
    ///
    /// [`ResultCode::DeadlineBeforeStart`] when the deadline has passed,
    /// [`ResultCode::LinkUnavailable`] without a sample younger than 10 s. In both cases nothing
    /// must be sent.
    pub fn start_by(&self, deadline: Time, now: Time) -> Result<StartBy, ResultCode> {
        if deadline <= now {
            return Err(ResultCode::DeadlineBeforeStart);
        }
        let deadline = deadline.min(now + MAX_AHEAD);
        let (Some(guard), Some(at)) = (self.guard, self.estimate(deadline, now)) else {
            return Err(ResultCode::LinkUnavailable);
        };
        Ok(StartBy { guard, at })
    }

    /// Each sample gives a lower bound, so the highest one is the closest.
    fn estimate(&self, at: Time, now: Time) -> Option<Time> {
        let is_fresh = |sample: &&Sample| now.since(sample.received_at) < MAX_SAMPLE_AGE;
        let fresh = self.samples.iter().filter(is_fresh);
        fresh.map(|sample| sample.guard_time_at(at)).max()
    }
}
