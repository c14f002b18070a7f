//! Slots that less urgent calls leave free for more urgent ones.
//!
//! It answers the load in which long calls of low priority, or with a distant latency goal, occupy all
//! slots: an urgent call then waits for the end of one of them, which takes longer than its own work.
//! The order of the queue does not help, as the slots are taken when the urgent call arrives.

use std::collections::BTreeMap;
use std::time::Duration;

use model::{Slots, Time};

/// Time without an urgent call that found no slot after which one slot is released from the reserve. Urgent
/// calls arrive several times a second where they matter, and a reserve that nobody uses costs capacity.
const RELEASE_INTERVAL: Duration = Duration::from_secs(2);

/// Divisor of the slots that limits the reserve for calls of one urgency.
const MAX_RESERVE_DIVISOR: u32 = 4;

/// Divisor of the slots that limits all reserves together, so that the least urgent calls are never locked
/// out.
const MAX_RESERVES_DIVISOR: u32 = 2;

/// How much a call needs the next free slot. Lower values are more urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Urgency {
    pub(crate) priority: u8,
    /// Whether the call reaches its latency goal even if it gets none of the next free slots.
    pub(crate) can_wait: bool,
}

/// The reserve for calls of one urgency.
#[derive(Debug, Clone, Copy, Default)]
struct Reserve {
    slots: u32,
    /// When one slot of the reserve is released.
    release_at: Time,
}

impl Reserve {
    fn release(&mut self, now: Time) {
        while self.slots > 0 && self.release_at <= now {
            self.slots -= 1;
            self.release_at = self.release_at + RELEASE_INTERVAL;
        }
    }
}

/// The slots of an endpoint that are reserved, by the urgency of the calls that they are reserved for.
#[derive(Debug, Default)]
pub(crate) struct SlotReserves {
    by_urgency: BTreeMap<Urgency, Reserve>,
}

impl SlotReserves {
    /// Records that a call got no slot early enough while less urgent calls occupied some.
    pub(crate) fn record_blocked(&mut self, urgency: Urgency, slots: Slots, now: Time) {
        let max = slots.0 / MAX_RESERVE_DIVISOR;
        let reserve = self.by_urgency.entry(urgency).or_default();
        reserve.release(now);
        reserve.slots = (reserve.slots + 1).min(max);
        reserve.release_at = now + RELEASE_INTERVAL;
    }

    /// Number of slots that a call leaves free for more urgent ones. Each urgency has a reserve of its own:
    /// calls of the middle would find none if they shared one with those that are more urgent.
    pub(crate) fn reserved_from(&mut self, urgency: Urgency, slots: Slots, now: Time) -> u32 {
        for reserve in self.by_urgency.values_mut() {
            reserve.release(now);
        }
        self.by_urgency.retain(|_, reserve| reserve.slots > 0);
        let reserved: u32 =
            self.by_urgency.range(..urgency).map(|(_, reserve)| reserve.slots).sum();
        reserved.min(slots.0 / MAX_RESERVES_DIVISOR)
    }
}
