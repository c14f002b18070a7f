//! P1: ejections never take the healthy capacity below the floor.

mod common;

use std::cell::Cell;
use std::collections::BTreeSet;
use std::time::Duration;

use common::{endpoint, route, view};
use health::{
    Action, Arbiter, Availability, EjectionList, Ejections, Handover, HealthReport, LatencyCounts,
    ProbeResult, QuorumLease, ReportEntry, RouteView,
};
use model::{EndpointName, Epoch, Incarnation, Time};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

const ENDPOINTS: usize = 8;
const ROUTES: usize = 2;
const ENTRIES: usize = 3;
const STEP: Duration = Duration::from_millis(250);

/// Quorum lease: an old arbiter may act this long after its successor starts.
const LEASE: Duration = Duration::from_secs(3);

#[derive(Debug, Clone)]
enum Op {
    /// An endpoint becomes sick on a route, or well again.
    Sicken {
        endpoint: usize,
        route: usize,
        sick: Sickness,
    },
    /// Everything sick.
    SickenMany {
        mask: u8,
    },
    /// The true state of an endpoint changes; entries see it at once.
    State {
        endpoint: usize,
        state: Availability,
    },
    /// A failure domain of three endpoints is lost.
    LoseDomain {
        first: usize,
    },
    /// All endpoints are available again.
    Recover,
    /// The newest arbiter sees the current state.
    Observe,
    Floor {
        route: usize,
        floor: u8,
    },
    /// An entry asks an arbiter; the answer may be late, and a copy later still.
    Ask {
        entry: usize,
        arbiter: usize,
        steps: u64,
        copy_steps: u64,
    },
    /// A list that answers no request.
    Push {
        entry: usize,
        arbiter: usize,
        steps: u64,
    },
    /// The owner is lost or slow; a successor starts and adopts what an entry holds.
    Takeover {
        reporter: usize,
        handed_over: bool,
    },
    Nonsense {
        seed: u32,
    },
    Steps {
        count: u64,
    },
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Sickness {
    Well,
    Failing,
    HalfFailing,
    Slow,
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let sickness = prop_oneof![
        Just(Sickness::Well),
        Just(Sickness::Failing),
        Just(Sickness::HalfFailing),
        Just(Sickness::Slow)
    ];
    let state = prop_oneof![
        3 => Just(Availability::Available),
        1 => Just(Availability::Starting),
        1 => Just(Availability::Leaving),
        1 => Just(Availability::Drained),
        1 => Just(Availability::Unreachable)
    ];
    let op = prop_oneof![
        4 => (0..ENDPOINTS, 0..ROUTES, sickness)
            .prop_map(|(endpoint, route, sick)| Op::Sicken { endpoint, route, sick }),
        1 => any::<u8>().prop_map(|mask| Op::SickenMany { mask }),
        2 => (0..ENDPOINTS, state).prop_map(|(endpoint, state)| Op::State { endpoint, state }),
        1 => (0..ENDPOINTS - 2).prop_map(|first| Op::LoseDomain { first }),
        1 => Just(Op::Recover),
        4 => Just(Op::Observe),
        1 => (0..ROUTES, 30_u8..100).prop_map(|(route, floor)| Op::Floor { route, floor }),
        12 => (0..ENTRIES, 0_usize..3, 0_u64..4, 0_u64..40).prop_map(
            |(entry, arbiter, steps, copy_steps)| Op::Ask { entry, arbiter, steps, copy_steps }
        ),
        2 => (0..ENTRIES, 0_usize..3, 0_u64..40)
            .prop_map(|(entry, arbiter, steps)| Op::Push { entry, arbiter, steps }),
        1 => (0..ENTRIES, any::<bool>())
            .prop_map(|(reporter, handed_over)| Op::Takeover { reporter, handed_over }),
        1 => any::<u32>().prop_map(|seed| Op::Nonsense { seed }),
        8 => (1_u64..8).prop_map(|count| Op::Steps { count }),
    ];
    proptest::collection::vec(op, 40..140)
}

struct Owner {
    arbiter: Arbiter,
    epoch: u64,
    views: Vec<RouteView>,
    lease_end: Time,
}

struct Entry {
    ejections: Ejections,
    /// The clock of the entry runs at this many percent of the true speed, from an own start.
    speed: u64,
    start: u64,
}

impl Entry {
    fn clock(&self, now: Time) -> Time {
        Time::from_micros(self.start + now.as_micros() / 100 * self.speed)
    }
}

struct Mail {
    due: Time,
    entry: usize,
    list: EjectionList,
    request_sent: Option<Time>,
}

struct World {
    now: Time,
    floors: [u8; ROUTES],
    states: [Availability; ENDPOINTS],
    sick: [[Sickness; ENDPOINTS]; ROUTES],
    owners: Vec<Owner>,
    entries: Vec<Entry>,
    mail: Vec<Mail>,
    sequence: u64,
    /// Checks that found an ejection in force.
    in_force: u64,
}

impl World {
    fn new() -> World {
        let entry = |(speed, start)| Entry { ejections: Ejections::new(), speed, start };
        let mut world = World {
            now: Time::ZERO,
            floors: [60, 40],
            states: [Availability::Available; ENDPOINTS],
            sick: [[Sickness::Well; ENDPOINTS]; ROUTES],
            owners: Vec::new(),
            entries: [(100, 7), (95, 900_000_000), (105, 0)].map(entry).into(),
            mail: Vec::new(),
            sequence: 0,
            in_force: 0,
        };
        world.owners.push(Owner {
            arbiter: Arbiter::new(Epoch(1), Time::ZERO),
            epoch: 1,
            views: world.views(),
            lease_end: Time::NEVER,
        });
        world.observe();
        world
    }

    fn views(&self) -> Vec<RouteView> {
        (0..ROUTES).map(|r| view(r, self.floors[r], &self.states)).collect()
    }

    fn observe(&mut self) {
        let views = self.views();
        let owner = self.owners.last_mut().unwrap();
        for view in &views {
            owner.arbiter.update_route(view.clone(), self.now);
        }
        owner.views = views;
    }

    fn review(&mut self) {
        for view in self.views() {
            for entry in &mut self.entries {
                let now = entry.clock(self.now);
                entry.ejections.review(&view, now);
            }
        }
    }

    fn apply(&mut self, op: &Op) -> Result<(), TestCaseError> {
        match op {
            Op::Sicken { endpoint, route, sick } => self.sick[*route][*endpoint] = *sick,
            Op::SickenMany { mask } => {
                for i in (0..ENDPOINTS).filter(|i| mask >> i & 1 == 1) {
                    self.sick[0][i] = Sickness::Failing;
                }
            }
            Op::State { endpoint, state } => self.states[*endpoint] = *state,
            Op::LoseDomain { first } => {
                self.states[*first..first + 3].fill(Availability::Unreachable);
            }
            Op::Recover => self.states = [Availability::Available; ENDPOINTS],
            Op::Observe => self.observe(),
            Op::Floor { route, floor } => self.floors[*route] = *floor,
            Op::Ask { entry, arbiter, steps, copy_steps } => {
                // The request is under way for a step before the arbiter writes the list.
                let sent = self.entries[*entry].clock(self.now);
                self.step()?;
                self.send(*entry, *arbiter, Some(sent), &[*steps, *copy_steps]);
            }
            Op::Push { entry, arbiter, steps } => self.send(*entry, *arbiter, None, &[*steps]),
            Op::Takeover { reporter, handed_over } => self.take_over(*reporter, *handed_over),
            Op::Nonsense { seed } => self.nonsense(*seed),
            Op::Steps { count } => {
                for _ in 0..*count {
                    self.step()?;
                }
            }
        }
        self.review();
        self.check()
    }

    fn send(&mut self, entry: usize, arbiter: usize, sent: Option<Time>, delays: &[u64]) {
        let at = self.owners.len().saturating_sub(1 + arbiter);
        let owner = &mut self.owners[at];
        if self.now >= owner.lease_end {
            return;
        }
        let list = owner.arbiter.list(self.now);
        for &steps in delays {
            let due = self.now + STEP * steps as u32;
            self.mail.push(Mail { due, entry, list: list.clone(), request_sent: sent });
        }
    }

    fn take_over(&mut self, reporter: usize, handed_over: bool) {
        let epoch = self.owners.last().unwrap().epoch + 1;
        let arbiter = if handed_over {
            let old = self.owners.pop().unwrap();
            let handover: Handover = old.arbiter.hand_over(self.now);
            // An older owner may have a lease still, for which the handover carries the wait.
            Arbiter::resume(Epoch(epoch), &handover, self.views(), self.now)
        } else {
            let old = self.owners.last_mut().unwrap();
            old.lease_end = self.now + LEASE;
            Arbiter::new(Epoch(epoch), self.now)
        };
        let (views, lease_end) = (self.views(), Time::NEVER);
        self.owners.push(Owner { arbiter, epoch, views, lease_end });
        self.observe();
        let entry = &self.entries[reporter];
        let owner = self.owners.last_mut().unwrap();
        for held in entry.ejections.held(entry.clock(self.now)) {
            owner.arbiter.adopt(&held, self.now);
        }
    }

    fn nonsense(&mut self, seed: u32) {
        let entries = (0..20_u32).map(|i| {
            let x = seed.wrapping_mul(2_654_435_761).wrapping_add(i.wrapping_mul(40_503)) >> 3;
            ReportEntry {
                route: route(x as usize % 3),
                endpoint: endpoint(x as usize / 3 % 10),
                failures: if x % 5 == 0 { u32::MAX } else { x % 100 },
                successes: LatencyCounts::from_pairs([(x as u8, x % 4000), (255, u32::MAX)]),
            }
        });
        let sequence = u64::from(seed);
        let report = HealthReport {
            guard: Incarnation(u64::from(seed % 3)),
            sequence,
            entries: entries.collect(),
        };
        for owner in &mut self.owners {
            owner.arbiter.report(&report, self.now);
        }
    }

    /// Moves the time by one step with everything that is due.
    fn step(&mut self) -> Result<(), TestCaseError> {
        self.now = self.now + STEP;
        self.sequence += 1;
        if self.sequence.is_multiple_of(2) {
            let report = self.true_report();
            for owner in &mut self.owners {
                owner.arbiter.report(&report, self.now);
            }
        }
        self.tick()?;
        let mut due: Vec<Mail> = Vec::new();
        let now = self.now;
        self.mail.retain_mut(|mail| {
            let arrived = mail.due <= now;
            if arrived {
                let list = std::mem::replace(
                    &mut mail.list,
                    EjectionList { epoch: Epoch(0), sequence: 0, entries: Vec::new() },
                );
                due.push(Mail { list, ..*mail });
            }
            !arrived
        });
        for mail in due {
            let entry = &mut self.entries[mail.entry];
            let now = entry.clock(self.now);
            entry.ejections.apply(&mail.list, mail.request_sent, now);
        }
        self.review();
        self.check()
    }

    fn true_report(&self) -> HealthReport {
        let mut entries = Vec::new();
        for r in 0..ROUTES {
            for i in 0..ENDPOINTS {
                let (failures, good, bucket) = match self.sick[r][i] {
                    Sickness::Well => (0, 10, 11),
                    Sickness::Failing => (10, 0, 11),
                    Sickness::HalfFailing => (5, 5, 11),
                    Sickness::Slow => (0, 6, 18),
                };
                let successes = LatencyCounts::from_pairs([(bucket, good)]);
                entries.push(ReportEntry {
                    route: route(r),
                    endpoint: endpoint(i),
                    failures,
                    successes,
                });
            }
        }
        HealthReport { guard: Incarnation(99), sequence: self.sequence, entries }
    }

    fn tick(&mut self) -> Result<(), TestCaseError> {
        for owner in &mut self.owners {
            let valid = self.now < owner.lease_end;
            let lease = if valid { QuorumLease::Valid } else { QuorumLease::Lapsed };
            let decisions = owner.arbiter.tick(lease, self.now);
            for decision in &decisions {
                if decision.action == Action::Probe {
                    let (route, endpoint) = (&decision.route, &decision.endpoint);
                    owner.arbiter.probe_result(route, endpoint, ProbeResult::Good, self.now);
                }
                if !matches!(decision.action, Action::Eject { .. }) {
                    continue;
                }
                // An ejection must fit the floor in the arbiter's own view as well.
                let list = owner.arbiter.list(self.now);
                let view = owner.views.iter().find(|v| v.route == decision.route).unwrap();
                let held = |name: &EndpointName| {
                    list.entries
                        .iter()
                        .any(|e| e.route == view.route && e.endpoint == *name && !e.held.is_zero())
                };
                let left = view.available_slots(|name| !held(name));
                prop_assert!(left >= u64::from(view.floor_slots().0), "{decision}: {left} left");
            }
        }
        Ok(())
    }

    fn check(&mut self) -> Result<(), TestCaseError> {
        for view in self.views() {
            let mut ejected = BTreeSet::new();
            for entry in &self.entries {
                let now = entry.clock(self.now);
                let names = view.endpoints.iter().map(|e| &e.name);
                ejected
                    .extend(names.filter(|name| {
                        entry.ejections.weight(&view.route, name, now).value() == 0
                    }));
            }
            if view.available_slots(|name| ejected.contains(name)) == 0 {
                continue;
            }
            self.in_force += 1;
            let left = view.available_slots(|name| !ejected.contains(name));
            let floor = u64::from(view.floor_slots().0);
            prop_assert!(left >= floor, "{} at {}: {left} < {floor}", view.route, self.now);
        }
        Ok(())
    }
}

/// Guards against every way in which ejections held by different entries, granted by different
/// arbiters or overtaken by a loss of capacity could add up to more than the floor allows.
#[test]
fn ejections_never_take_capacity_below_the_floor() {
    let config = Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(0x5eed_0001),
        failure_persistence: None,
        ..Config::default()
    };
    let in_force = Cell::new(0);
    let result = TestRunner::new(config).run(&ops(), |ops| {
        let mut world = World::new();
        for _ in 0..34 {
            world.step()?;
        }
        for op in &ops {
            world.apply(op)?;
        }
        in_force.set(in_force.get() + world.in_force);
        Ok(())
    });
    if let Err(err) = result {
        panic!("{err}");
    }
    assert!(in_force.get() > 5_000, "only {} checks saw an ejection", in_force.get());
}
