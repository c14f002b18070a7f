//! A route with fake upstreams, one entry and an arbiter in virtual time.

use std::time::Duration;

use health::{
    Action, Arbiter, Availability, CallResult, Decision, Ejections, ProbeResult, QuorumLease,
    Recorder, RouteView, TAKEOVER_WAIT,
};
use model::{EndpointName, Epoch, Incarnation, Time};

use crate::common::{endpoint, route, view};

pub const STEP: Duration = Duration::from_millis(500);

/// How an endpoint treats the calls of one route at a time since the start of the fault.
#[derive(Clone, Copy, PartialEq)]
pub enum Mode {
    Good,
    Failing,
    Slow,
}

pub struct Fleet {
    pub now: Time,
    pub start: Time,
    pub arbiter: Arbiter,
    pub entry: Ejections,
    pub views: Vec<RouteView>,
    pub log: Vec<(f64, Decision)>,
    pub probe: ProbeResult,
    pub lowest_in_use: u64,
    recorder: Recorder,
    credit: Vec<f64>,
}

impl Fleet {
    /// A fleet past the wait of its new arbiter.
    pub fn new(endpoints: usize, routes: usize, floor: u8) -> Fleet {
        let start = Time::ZERO + TAKEOVER_WAIT;
        let mut fleet = Fleet {
            now: Time::ZERO,
            start,
            arbiter: Arbiter::new(Epoch(1), Time::ZERO),
            entry: Ejections::new(),
            views: Vec::new(),
            log: Vec::new(),
            probe: ProbeResult::Good,
            lowest_in_use: u64::MAX,
            recorder: Recorder::new(Incarnation(1), Time::ZERO),
            credit: vec![0.0; endpoints * routes],
        };
        for r in 0..routes {
            fleet.set_view(view(r, floor, &vec![Availability::Available; endpoints]));
        }
        fleet.run(TAKEOVER_WAIT, |_, _, _| Mode::Good);
        fleet
    }

    pub fn set_view(&mut self, view: RouteView) {
        self.arbiter.update_route(view.clone(), self.now);
        self.entry.review(&view, self.now);
        self.views.retain(|v| v.route != view.route);
        self.views.push(view);
    }

    /// Runs for `time`; `mode` gets the endpoint, the route and the seconds since the start.
    pub fn run(&mut self, time: Duration, mode: impl Fn(usize, usize, f64) -> Mode) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            let t = self.seconds();
            for (r, view) in self.views.iter().enumerate() {
                for (i, target) in view.endpoints.iter().enumerate() {
                    let weight = self.entry.weight(&view.route, &target.name, self.now);
                    let credit = &mut self.credit[i * self.views.len() + r];
                    *credit += 10.0 * f64::from(weight.value()) / 100.0;
                    while *credit >= 1.0 && target.availability == Availability::Available {
                        *credit -= 1.0;
                        let (result, millis) = match mode(i, r, t) {
                            Mode::Good => (CallResult::Success, 50),
                            Mode::Failing => (CallResult::ServerError, 5),
                            Mode::Slow => (CallResult::Success, 500),
                        };
                        let latency = Duration::from_millis(millis);
                        self.recorder.record(&view.route, &target.name, result, latency);
                    }
                }
            }
            if let Some(report) = self.recorder.report(self.now) {
                self.arbiter.report(&report, self.now);
            }
            self.tick();
        }
    }

    fn tick(&mut self) {
        let t = self.seconds();
        for decision in self.arbiter.tick(QuorumLease::Valid, self.now) {
            let mut next = None;
            if decision.action == Action::Probe {
                let Decision { route, endpoint, .. } = &decision;
                next = self.arbiter.probe_result(route, endpoint, self.probe, self.now);
            }
            self.log.push((t, decision));
            self.log.extend(next.map(|decision| (t, decision)));
        }
        let list = self.arbiter.list(self.now);
        self.entry.apply(&list, Some(self.now), self.now);
        for view in &self.views {
            self.entry.review(view, self.now);
            let weight = |name: &EndpointName| self.entry.weight(&view.route, name, self.now);
            let in_use = view.available_slots(|name| weight(name).value() > 0);
            self.lowest_in_use = self.lowest_in_use.min(in_use);
        }
    }

    fn seconds(&self) -> f64 {
        self.now.since(self.start).as_secs_f64()
    }

    /// Times at which an endpoint was ejected from a route.
    pub fn ejections(&self, i: usize, r: usize) -> Vec<f64> {
        let found = self.log.iter().filter(|(_, d)| {
            d.endpoint == endpoint(i)
                && d.route == route(r)
                && matches!(d.action, Action::Eject { .. })
        });
        found.map(|(t, _)| *t).collect()
    }

    /// Endpoints that were ever ejected from any route.
    pub fn ejected(&self) -> Vec<usize> {
        let count = self.views[0].endpoints.len();
        let routes = self.views.len();
        (0..count).filter(|&i| (0..routes).any(|r| !self.ejections(i, r).is_empty())).collect()
    }

    /// The decisions other than renewals, one a line, for comparison with expected text.
    pub fn text(&self) -> String {
        let shown = self.log.iter().filter(|(_, d)| !matches!(d.action, Action::Renew { .. }));
        shown.map(|(t, d)| format!("{t:.1} {d}\n")).collect()
    }
}
