//! Slots of an endpoint that its guard does not offer in full, because the endpoint is cold.
//!
//! An entry that counted all announced slots would prefer a cold endpoint, which has few calls running,
//! and be refused there. A report is all that an entry knows, and it gets the next one only by a call to
//! the endpoint. The slots that were not on offer therefore return as the report becomes older, so that an
//! endpoint can't stay without calls because of a report of its cold phase.

use std::time::Duration;

use model::Slots;

use crate::balancer::KnownLoad;

/// Age of a report at which all announced slots count again. It is the time over which a guard offers them
/// again after the cold phase.
const RETURN_TIME: Duration = Duration::from_secs(2);

/// Returns the slots of an endpoint to use in a choice, at most those announced.
///
/// ```
/// use model::{LoadReport, Slots};
/// use routing::{KnownLoad, usable_slots};
/// use std::time::Duration;
///
/// let mean_service = Duration::from_millis(200);
/// let report = LoadReport { slots: Slots(3), running: 1, queued: 0, mean_service };
/// let known = |age| KnownLoad { report, age: Duration::from_secs(age), sent_since: 0 };
/// assert_eq!(usable_slots(Slots(11), Some(known(0))), Slots(3));
/// assert_eq!(usable_slots(Slots(11), Some(known(1))), Slots(7));
/// assert_eq!(usable_slots(Slots(11), Some(known(2))), Slots(11));
/// assert_eq!(usable_slots(Slots(11), None), Slots(11));
/// ```
pub fn usable_slots(announced: Slots, known: Option<KnownLoad>) -> Slots {
    // A guard reports no slots for an endpoint that was removed during a call.
    let reported = known.filter(|known| known.report.slots.0 > 0);
    let Some(KnownLoad { report, age, .. }) = reported else { return announced };
    let offered = report.slots.0;
    let Some(withheld) = announced.0.checked_sub(offered) else { return announced };
    let returned = age.as_secs_f64() / RETURN_TIME.as_secs_f64();
    Slots(offered + (f64::from(withheld) * returned.min(1.0)) as u32)
}
