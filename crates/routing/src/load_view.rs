//! Load of an endpoint as seen by an entry node.

use model::{LoadReport, Time};

use crate::balancer::KnownLoad;

/// The last load report of an endpoint, and the in-flight calls of this node that the report may
/// not include.
///
/// ```
/// use model::{LoadReport, Slots, Time};
/// use routing::LoadView;
/// use std::time::Duration;
///
/// let mut view = LoadView::default();
/// let mean_service = Duration::from_millis(50);
/// let report = LoadReport { slots: Slots(3), running: 1, queued: 0, mean_service };
/// view.record_report(report, Time::from_micros(10_000));
/// view.record_sent(Time::from_micros(12_000));
/// let load = view.current(Time::from_micros(15_000)).unwrap();
/// assert_eq!((load.sent_since, load.age), (1, Duration::from_millis(5)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct LoadView {
    /// The last report and the time at which it was received.
    last: Option<(LoadReport, Time)>,
    /// Send times of the calls in flight.
    in_flight: Vec<Time>,
}

impl LoadView {
    /// Records a report received with an answer or a refusal.
    pub fn record_report(&mut self, report: LoadReport, received_at: Time) {
        self.last = Some((report, received_at));
    }

    /// Records that a call was sent.
    pub fn record_sent(&mut self, at: Time) {
        self.in_flight.push(at);
    }

    /// Records the end of the call that was sent at `sent_at`.
    pub fn record_end(&mut self, sent_at: Time) {
        if let Some(index) = self.in_flight.iter().position(|at| *at == sent_at) {
            self.in_flight.swap_remove(index);
        }
    }

    /// Returns the load for load balancing, or `None` before the first report.
    pub fn current(&self, now: Time) -> Option<KnownLoad> {
        let (report, received_at) = self.last?;
        let is_unreported = |sent_at: &&Time| **sent_at > received_at;
        let sent_since = self.in_flight.iter().filter(is_unreported).count() as u32;
        Some(KnownLoad { report, age: now.since(received_at), sent_since })
    }
}
