//! Measures detection and ejection against fake upstreams in virtual time.
//!
//! Each service has 3 slots per endpoint, 40% of them busy with calls of 50 ms on average and
//! log-normal noise (sigma 0.4), one call in a thousand failing, a deadline of 1 s, two routes
//! with 70% and 30% of the calls, a floor of 60% and three entries at 1.5 ms. Detection runs
//! simulate every call. The healthy week draws the calls of each report at once.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use eyre::Result;
use health::{
    Action, Arbiter, Availability, CallResult, Ejections, HealthReport, LatencyCounts, ProbeResult,
    QuorumLease, Recorder, ReportEntry, RouteEndpoint, RouteView, TAKEOVER_WAIT,
};
use model::{EndpointName, Epoch, Incarnation, Percent, RouteName, Slots, Time};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const SLOTS: usize = 3;
const BUSY: f64 = 0.4;
const MEAN_CALL: f64 = 0.05;
const SIGMA: f64 = 0.4;
const USUAL_FAILURES: f64 = 0.001;
const DEADLINE: f64 = 1.0;
const ROUTE_SHARE: [f64; 2] = [0.7, 0.3];
const ENTRIES: usize = 3;
const ONE_WAY: f64 = 0.0015;
const TICK: f64 = 0.25;
const REPORT: f64 = 0.5;

/// Most queued calls at a guard.
const QUEUE: usize = 4 * SLOTS;

/// Detection runs of each scenario and mechanism in a deployment.
const RUNS: usize = 200;

/// Time after the start of a fault in which it must be detected to be counted at all.
const WATCHED: f64 = 30.0;

/// Days of the healthy week, each simulated on its own.
const DAYS: usize = 7;

/// Consecutive failures after which the baseline ejects, and for how long.
const CONSECUTIVE: u32 = 5;
const BASELINE_EJECTION: f64 = 30.0;

struct Deployment {
    name: &'static str,
    services: [usize; 4],
}

const DEPLOYMENTS: [Deployment; 2] = [
    Deployment { name: "Brindlecote", services: [8, 14, 8, 8] },
    Deployment { name: "Ledgerpine", services: [9, 12, 6, 6] },
];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mechanism {
    RoundRobin,
    Consecutive,
    Arbiter,
}

impl Mechanism {
    const ALL: [Mechanism; 3] = [Mechanism::RoundRobin, Mechanism::Consecutive, Mechanism::Arbiter];

    fn name(self) -> &'static str {
        match self {
            Mechanism::RoundRobin => "round-robin",
            Mechanism::Consecutive => "5 failures in a row",
            Mechanism::Arbiter => "arbiter",
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    TenTimesSlower,
    FailsOneInThree,
    FailsOneRoute,
    AnswersProbes,
    Flaps,
    CutOneWay,
}

impl Fault {
    const ALL: [Fault; 6] = [
        Fault::TenTimesSlower,
        Fault::FailsOneInThree,
        Fault::FailsOneRoute,
        Fault::AnswersProbes,
        Fault::Flaps,
        Fault::CutOneWay,
    ];

    fn name(self) -> &'static str {
        match self {
            Fault::TenTimesSlower => "10 times slower",
            Fault::FailsOneInThree => "fails one call in three",
            Fault::FailsOneRoute => "fails the smaller route",
            Fault::AnswersProbes => "answers probes, fails calls",
            Fault::Flaps => "flaps with period 5 s",
            Fault::CutOneWay => "answers are lost",
        }
    }

    fn affects(self, route: usize) -> bool {
        self != Fault::FailsOneRoute || route == 1
    }
}

/// Prints the table of measures.
pub fn run() -> Result<()> {
    println!("health: detection from the first bad answer to the ejection at all entries");
    println!(
        "{:<28} {:<12} {:<20} {:>9} {:>9} {:>8} {:>9}  target 2 s / 5 s",
        "scenario", "deployment", "mechanism", "median", "99th", "missed", "bad calls"
    );
    let mut jobs = Vec::new();
    for fault in Fault::ALL {
        for deployment in &DEPLOYMENTS {
            jobs.extend(Mechanism::ALL.map(|mechanism| (fault, deployment, mechanism)));
        }
    }
    let rows = in_parallel(jobs.len(), |at| {
        let (fault, deployment, mechanism) = jobs[at];
        detection_row(fault, deployment, mechanism)
    });
    for row in rows {
        println!("{row}");
    }
    println!("health: false ejections in a healthy week");
    println!("{:<12} {:<20} {:>16}  target 0", "deployment", "mechanism", "false ejections");
    let days: Vec<(usize, usize, usize)> = (0..DEPLOYMENTS.len())
        .flat_map(|d| (0..4).flat_map(move |s| (0..DAYS).map(move |day| (d, s, day))))
        .collect();
    let counts = in_parallel(days.len(), |at| {
        let (d, s, day) = days[at];
        HealthyDay::new(DEPLOYMENTS[d].services[s], seed(&[9, d, s, day])).run()
    });
    for (d, deployment) in DEPLOYMENTS.iter().enumerate() {
        let of = |pick: fn(&Falses) -> u64| -> u64 {
            days.iter().zip(&counts).filter(|(day, _)| day.0 == d).map(|(_, c)| pick(c)).sum()
        };
        let rows = [
            (Mechanism::RoundRobin, 0),
            (Mechanism::Consecutive, of(|falses| falses.consecutive)),
            (Mechanism::Arbiter, of(|falses| falses.arbiter)),
        ];
        for (mechanism, count) in rows {
            let met = if count == 0 { "met" } else { "missed" };
            println!("{:<12} {:<20} {count:>16}  {met}", deployment.name, mechanism.name());
        }
    }
    Ok(())
}

/// Runs `count` jobs on half of the processors and returns their results in order.
fn in_parallel<T: Send>(count: usize, job: impl Fn(usize) -> T + Sync) -> Vec<T> {
    let threads = thread::available_parallelism().map_or(1, |n| n.get().div_ceil(2));
    let next = AtomicUsize::new(0);
    let results = Mutex::new(Vec::with_capacity(count));
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let at = next.fetch_add(1, Ordering::Relaxed);
                    if at >= count {
                        return;
                    }
                    let result = job(at);
                    results.lock().expect("no job panics").push((at, result));
                }
            });
        }
    });
    let mut results = results.into_inner().expect("no job panics");
    results.sort_by_key(|(at, _)| *at);
    results.into_iter().map(|(_, result)| result).collect()
}

fn detection_row(fault: Fault, deployment: &Deployment, mechanism: Mechanism) -> String {
    let mut times = Vec::new();
    let (mut bad, mut all) = (0, 0);
    for run in 0..RUNS {
        let size = deployment.services[run % 4];
        let sim = Sim::new(size, fault, mechanism, seed(&[fault as usize, size, run]));
        let outcome = sim.run();
        times.extend(outcome.detections);
        bad += outcome.bad_calls;
        all += outcome.calls;
    }
    times.sort_by(f64::total_cmp);
    let missed = times.iter().filter(|time| time.is_infinite()).count();
    let (median, last) = (quantile(&times, 0.5), quantile(&times, 0.99));
    let met = if median <= 2.0 && last <= 5.0 { "met" } else { "missed" };
    format!(
        "{:<28} {:<12} {:<20} {:>9} {:>9} {:>8} {:>8.2}%  {met}",
        fault.name(),
        deployment.name,
        mechanism.name(),
        seconds(median),
        seconds(last),
        format!("{missed}/{}", times.len()),
        100.0 * bad as f64 / all as f64
    )
}

fn quantile(sorted: &[f64], share: f64) -> f64 {
    let at = (sorted.len() as f64 * share).ceil() as usize;
    sorted.get(at.max(1) - 1).copied().unwrap_or(f64::INFINITY)
}

fn seconds(time: f64) -> String {
    if time.is_finite() { format!("{time:.2} s") } else { "never".into() }
}

fn seed(parts: &[usize]) -> u64 {
    parts.iter().fold(17, |seed, &part| (seed ^ part as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

fn time(seconds: f64) -> Time {
    Time::from_micros((seconds * 1e6) as u64)
}

fn duration(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.max(0.0))
}

fn normal(rng: &mut SmallRng) -> f64 {
    let (u, v): (f64, f64) = (rng.random(), rng.random());
    (-2.0 * (1.0 - u).ln()).sqrt() * (std::f64::consts::TAU * v).cos()
}

/// Duration of a call in seconds; the mean is [`MEAN_CALL`].
fn call_time(rng: &mut SmallRng) -> f64 {
    MEAN_CALL * (SIGMA * normal(rng) - SIGMA * SIGMA / 2.0).exp()
}

fn names(size: usize) -> ([RouteName; 2], Vec<EndpointName>) {
    let name = |i| format!("endpoint-{i}").parse().expect("the name is valid");
    let route = |i| format!("route-{i}").parse().expect("the name is valid");
    ([route(0), route(1)], (0..size).map(name).collect())
}

fn view(route: &RouteName, endpoints: &[EndpointName], states: &[Availability]) -> RouteView {
    let endpoint = |(name, &availability): (&EndpointName, &Availability)| RouteEndpoint {
        name: name.clone(),
        slots: Slots(SLOTS as u32),
        availability,
    };
    RouteView {
        route: route.clone(),
        floor: Percent::new(60).expect("60 is a share"),
        endpoints: endpoints.iter().zip(states).map(endpoint).collect(),
    }
}

#[derive(Debug, Clone, Copy)]
struct Call {
    route: usize,
    deadline: f64,
    tries: usize,
}

#[derive(Debug, Clone)]
enum Event {
    Arrive,
    /// A call reaches the guard of an endpoint.
    Reach {
        endpoint: usize,
        call: Call,
    },
    Finish {
        endpoint: usize,
        call: Call,
        started: f64,
        result: CallResult,
        faulty: bool,
    },
    Report {
        endpoint: usize,
    },
    ReportArrives {
        report: HealthReport,
    },
    Tick,
    Heartbeat {
        entry: usize,
    },
    ListArrives {
        entry: usize,
        list: health::EjectionList,
        sent: f64,
    },
    ProbeDone {
        route: usize,
        endpoint: usize,
    },
}

/// An event with its time; the sequence keeps equal times in order.
struct Due(f64, u64, Event);

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}

struct Guard {
    running: usize,
    queue: VecDeque<Call>,
    recorder: Recorder,
}

struct Entry {
    ejections: Ejections,
    cursor: usize,
    /// When the newest heartbeat that the arbiter has received was sent.
    heartbeat: Option<f64>,
}

struct Outcome {
    /// Detection time of each affected route.
    detections: Vec<f64>,
    bad_calls: u64,
    calls: u64,
}

/// One service with one faulty endpoint, simulated call by call.
struct Sim {
    fault: Fault,
    mechanism: Mechanism,
    sick: usize,
    fault_start: f64,
    now: f64,
    sequence: u64,
    events: BinaryHeap<Reverse<Due>>,
    rng: SmallRng,
    routes: [RouteName; 2],
    endpoints: Vec<EndpointName>,
    views: Vec<RouteView>,
    guards: Vec<Guard>,
    entries: Vec<Entry>,
    arbiter: Arbiter,
    consecutive: Vec<[u32; 2]>,
    baseline_until: Vec<[f64; 2]>,
    first_bad: [Option<f64>; 2],
    ejected: [Option<f64>; 2],
    bad_calls: u64,
    calls: u64,
}

impl Sim {
    fn new(size: usize, fault: Fault, mechanism: Mechanism, seed: u64) -> Sim {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (routes, endpoints) = names(size);
        let states = vec![Availability::Available; size];
        let views: Vec<RouteView> =
            routes.iter().map(|route| view(route, &endpoints, &states)).collect();
        let mut arbiter = Arbiter::new(Epoch(1), Time::ZERO);
        for view in &views {
            arbiter.update_route(view.clone(), Time::ZERO);
        }
        let guard = |i| Guard {
            running: 0,
            queue: VecDeque::new(),
            recorder: Recorder::new(Incarnation(i as u64), Time::ZERO),
        };
        let entry = |cursor| Entry { ejections: Ejections::new(), cursor, heartbeat: None };
        let mut sim = Sim {
            fault,
            mechanism,
            sick: rng.random_range(0..size),
            fault_start: TAKEOVER_WAIT.as_secs_f64() + 4.0 + rng.random::<f64>(),
            now: 0.0,
            sequence: 0,
            events: BinaryHeap::new(),
            rng,
            routes,
            endpoints,
            views,
            guards: (0..size).map(guard).collect(),
            entries: (0..ENTRIES).map(entry).collect(),
            arbiter,
            consecutive: vec![[0; 2]; size],
            baseline_until: vec![[0.0; 2]; size],
            first_bad: [None; 2],
            ejected: [None; 2],
            bad_calls: 0,
            calls: 0,
        };
        sim.push(0.0, Event::Arrive);
        sim.push(0.0, Event::Tick);
        for endpoint in 0..size {
            let phase = sim.rng.random::<f64>() * REPORT;
            sim.push(REPORT + phase, Event::Report { endpoint });
        }
        for entry in 0..ENTRIES {
            let phase = sim.rng.random();
            sim.push(phase, Event::Heartbeat { entry });
        }
        sim
    }

    fn run(mut self) -> Outcome {
        let end = self.fault_start + WATCHED;
        while let Some(Reverse(Due(at, _, event))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        let affected = [0, 1].into_iter().filter(|&route| self.fault.affects(route));
        let detection = |route: usize| match (self.first_bad[route], self.ejected[route]) {
            (Some(bad), Some(ejected)) => (ejected - bad).max(0.0),
            _ => f64::INFINITY,
        };
        Outcome {
            detections: affected.map(detection).collect(),
            bad_calls: self.bad_calls,
            calls: self.calls,
        }
    }

    fn push(&mut self, at: f64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse(Due(at, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Reach { endpoint, call } => self.reach(endpoint, call),
            Event::Finish { endpoint, call, started, result, faulty } => {
                self.finish(endpoint, call, started, result, faulty);
            }
            Event::Report { endpoint } => {
                let now = time(self.now);
                if let Some(report) = self.guards[endpoint].recorder.report(now) {
                    self.push(self.now + ONE_WAY, Event::ReportArrives { report });
                }
                self.push(self.now + REPORT, Event::Report { endpoint });
            }
            Event::ReportArrives { report } => self.arbiter.report(&report, time(self.now)),
            Event::Tick => self.tick(),
            Event::Heartbeat { entry } => {
                // The heartbeat and its answer take a one-way latency each.
                let sent = self.now;
                self.entries[entry].heartbeat = Some(sent);
                let list = self.arbiter.list(time(self.now + ONE_WAY));
                self.push(self.now + 2.0 * ONE_WAY, Event::ListArrives { entry, list, sent });
                self.push(self.now + 1.0, Event::Heartbeat { entry });
            }
            Event::ListArrives { entry, list, sent } => self.apply_list(entry, &list, sent),
            Event::ProbeDone { route, endpoint } => {
                // The faulty upstreams of all scenarios answer probes.
                let (route, endpoint) = (&self.routes[route], &self.endpoints[endpoint]);
                let now = time(self.now);
                self.arbiter.probe_result(route, endpoint, ProbeResult::Good, now);
            }
        }
    }

    fn arrive(&mut self) {
        let rate = BUSY * (SLOTS * self.endpoints.len()) as f64 / MEAN_CALL;
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.push(self.now + gap, Event::Arrive);
        let route = usize::from(self.rng.random::<f64>() >= ROUTE_SHARE[0]);
        let call = Call { route, deadline: self.now + DEADLINE, tries: 0 };
        if self.now > self.fault_start {
            self.calls += 1;
        }
        self.route_call(call);
    }

    fn route_call(&mut self, call: Call) {
        let entry = self.rng.random_range(0..ENTRIES);
        let endpoint = self.pick(entry, call.route);
        self.push(self.now + ONE_WAY, Event::Reach { endpoint, call });
    }

    /// Round-robin over the endpoints; one with a lower weight is skipped in proportion.
    fn pick(&mut self, entry: usize, route: usize) -> usize {
        let size = self.endpoints.len();
        for _ in 0..4 * size {
            let at = self.entries[entry].cursor % size;
            self.entries[entry].cursor += 1;
            let weight = match self.mechanism {
                Mechanism::RoundRobin => 100,
                Mechanism::Consecutive if self.baseline_until[at][route] > self.now => 0,
                Mechanism::Consecutive => 100,
                Mechanism::Arbiter => {
                    let ejections = &self.entries[entry].ejections;
                    let now = time(self.now);
                    ejections.weight(&self.routes[route], &self.endpoints[at], now).value()
                }
            };
            if weight == 100 || self.rng.random_range(0..100) < weight {
                return at;
            }
        }
        self.entries[entry].cursor % size
    }

    fn reach(&mut self, endpoint: usize, mut call: Call) {
        if self.guards[endpoint].running < SLOTS {
            self.start(endpoint, call);
        } else if self.guards[endpoint].queue.len() < QUEUE {
            self.guards[endpoint].queue.push_back(call);
        } else if call.tries < 2 {
            call.tries += 1;
            self.route_call(call);
        } else {
            self.count_bad();
        }
    }

    fn start(&mut self, endpoint: usize, call: Call) {
        self.guards[endpoint].running += 1;
        let started = self.now;
        let mut took = call_time(&mut self.rng);
        let mut result = CallResult::Success;
        if self.rng.random::<f64>() < USUAL_FAILURES {
            result = CallResult::ServerError;
        }
        let faulty = endpoint == self.sick
            && self.now >= self.fault_start
            && self.fault.affects(call.route)
            && self.apply_fault(&mut took, &mut result);
        if self.now + took > call.deadline {
            took = call.deadline - self.now;
            result = CallResult::Deadline;
        }
        let finish = Event::Finish { endpoint, call, started, result, faulty };
        self.push(self.now + took, finish);
    }

    /// Changes a call as the fault does; tells whether it did.
    fn apply_fault(&mut self, took: &mut f64, result: &mut CallResult) -> bool {
        match self.fault {
            Fault::TenTimesSlower => *took *= 10.0,
            Fault::FailsOneInThree if self.rng.random_range(0..3) > 0 => return false,
            Fault::Flaps if (self.now - self.fault_start) % 5.0 >= 2.5 => return false,
            Fault::FailsOneInThree | Fault::FailsOneRoute | Fault::AnswersProbes | Fault::Flaps => {
                *result = CallResult::ServerError
            }
            Fault::CutOneWay => *took = f64::INFINITY,
        }
        true
    }

    fn finish(
        &mut self,
        endpoint: usize,
        call: Call,
        started: f64,
        result: CallResult,
        faulty: bool,
    ) {
        let (route, latency) = (call.route, duration(self.now - started));
        let guard = &mut self.guards[endpoint];
        guard.running -= 1;
        guard.recorder.record(&self.routes[route], &self.endpoints[endpoint], result, latency);
        if faulty && self.first_bad[route].is_none() {
            self.first_bad[route] = Some(self.now);
        }
        if result == CallResult::Success {
            self.consecutive[endpoint][route] = 0;
        } else {
            self.count_bad();
            self.count_consecutive(endpoint, route);
        }
        while let Some(next) = self.guards[endpoint].queue.pop_front() {
            // A call past its deadline is refused as not run.
            if next.deadline > self.now {
                self.start(endpoint, next);
                break;
            }
            self.count_bad();
        }
    }

    fn count_bad(&mut self) {
        if self.now > self.fault_start {
            self.bad_calls += 1;
        }
    }

    fn count_consecutive(&mut self, endpoint: usize, route: usize) {
        self.consecutive[endpoint][route] += 1;
        if self.mechanism == Mechanism::Consecutive
            && self.consecutive[endpoint][route] >= CONSECUTIVE
        {
            self.consecutive[endpoint][route] = 0;
            self.baseline_until[endpoint][route] = self.now + BASELINE_EJECTION;
            self.count_ejection(endpoint, route);
        }
    }

    fn count_ejection(&mut self, endpoint: usize, route: usize) {
        if endpoint == self.sick && self.first_bad[route].is_some() {
            self.ejected[route].get_or_insert(self.now);
        }
    }

    fn tick(&mut self) {
        let now = time(self.now);
        let decisions = self.arbiter.tick(QuorumLease::Valid, now);
        let changed = decisions.iter().any(|d| matches!(d.action, Action::Eject { .. }));
        for decision in decisions.iter().filter(|d| d.action == Action::Probe) {
            let route = usize::from(decision.route == self.routes[1]);
            let at = self.endpoints.iter().position(|name| *name == decision.endpoint);
            let endpoint = at.expect("decisions name known endpoints");
            let done = self.now + 2.0 * ONE_WAY + 0.025;
            self.push(done, Event::ProbeDone { route, endpoint });
        }
        if changed {
            // The list goes out at once and answers the newest heartbeat of each entry.
            for entry in 0..ENTRIES {
                let Some(sent) = self.entries[entry].heartbeat else { continue };
                let list = self.arbiter.list(now);
                self.push(self.now + ONE_WAY, Event::ListArrives { entry, list, sent });
            }
        }
        self.push(self.now + TICK, Event::Tick);
    }

    fn apply_list(&mut self, entry: usize, list: &health::EjectionList, sent: f64) {
        let now = time(self.now);
        let ejections = &mut self.entries[entry].ejections;
        ejections.apply(list, Some(time(sent)), now);
        for view in &self.views {
            ejections.review(view, now);
        }
        if self.mechanism != Mechanism::Arbiter {
            return;
        }
        for route in 0..2 {
            let name = &self.endpoints[self.sick];
            let out =
                |entry: &Entry| entry.ejections.weight(&self.routes[route], name, now).value() == 0;
            if self.entries.iter().all(out) {
                self.count_ejection(self.sick, route);
            }
        }
    }
}

/// False ejections.
struct Falses {
    consecutive: u64,
    arbiter: u64,
}

/// What an endpoint goes through on an ordinary day, by slice of 500 ms.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Life {
    Serving,
    /// Gracefully restarting since this slice: leaving, gone, then starting.
    Restarting {
        since: usize,
    },
    /// Ready since this slice, with slow calls at first.
    Cold {
        since: usize,
    },
}

/// One service during a day without faults.
///
/// The load follows the time of day between a fifth and the full rate. Every endpoint restarts 16
/// times a day (2 s leaving, 3 s gone, 5 s starting) and is up to 5 times slower for 10 s after
/// that, pauses for 250 ms every 10 minutes, and six times a day all endpoints are 10 times slower
/// for a minute with one call in ten failing, starting within a second of each other.
struct HealthyDay {
    rng: SmallRng,
    routes: [RouteName; 2],
    endpoints: Vec<EndpointName>,
    arbiter: Arbiter,
    lives: Vec<Life>,
    /// Latency buckets of usual calls, indexed by a random number.
    usual: Vec<u8>,
    consecutive: Vec<[u32; 2]>,
    /// The next slice of each endpoint still has a part of a pause.
    pauses: Vec<f64>,
    slow_from: Option<usize>,
    falses: Falses,
}

const SLICES_PER_DAY: usize = 2 * 86_400;
const BUCKET_TABLE: usize = 4096;

impl HealthyDay {
    fn new(size: usize, seed: u64) -> HealthyDay {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (routes, endpoints) = names(size);
        let usual = (0..BUCKET_TABLE).map(|_| bucket(call_time(&mut rng))).collect();
        let mut day = HealthyDay {
            rng,
            routes,
            endpoints,
            arbiter: Arbiter::new(Epoch(1), Time::ZERO),
            lives: vec![Life::Serving; size],
            usual,
            consecutive: vec![[0; 2]; size],
            pauses: vec![0.0; size],
            slow_from: None,
            falses: Falses { consecutive: 0, arbiter: 0 },
        };
        day.update_routes(Time::ZERO);
        day
    }

    fn run(mut self) -> Falses {
        for slice in 1..=SLICES_PER_DAY {
            let now = time(slice as f64 * REPORT);
            self.advance_lives(slice, now);
            for endpoint in 0..self.endpoints.len() {
                if let Some(report) = self.report(slice, endpoint) {
                    self.arbiter.report(&report, now);
                }
            }
            for decision in self.arbiter.tick(QuorumLease::Valid, now) {
                match decision.action {
                    Action::Eject { .. } | Action::KeepBecauseOfFloor => self.falses.arbiter += 1,
                    Action::Probe => {
                        let (route, endpoint) = (&decision.route, &decision.endpoint);
                        self.arbiter.probe_result(route, endpoint, ProbeResult::Good, now);
                    }
                    _ => {}
                }
            }
        }
        self.falses
    }

    fn update_routes(&mut self, now: Time) {
        let state = |life: &Life| match life {
            Life::Restarting { .. } => Availability::Starting,
            _ => Availability::Available,
        };
        let states: Vec<Availability> = self.lives.iter().map(state).collect();
        for route in &self.routes {
            self.arbiter.update_route(view(route, &self.endpoints, &states), now);
        }
    }

    fn advance_lives(&mut self, slice: usize, now: Time) {
        let mut changed = false;
        for life in &mut self.lives {
            let next = match *life {
                Life::Serving if chance(&mut self.rng, 16) => Life::Restarting { since: slice },
                Life::Restarting { since } if slice >= since + 20 => Life::Cold { since: slice },
                Life::Cold { since } if slice >= since + 20 => Life::Serving,
                same => same,
            };
            changed |= next != *life;
            *life = next;
        }
        if changed {
            self.update_routes(now);
        }
        match self.slow_from {
            None if chance(&mut self.rng, 6) => self.slow_from = Some(slice),
            Some(since) if slice > since + 120 => self.slow_from = None,
            _ => {}
        }
    }

    fn report(&mut self, slice: usize, endpoint: usize) -> Option<HealthReport> {
        let cold = match self.lives[endpoint] {
            Life::Restarting { .. } => return None,
            Life::Cold { since } => 5.0 - 4.0 * (slice - since) as f64 / 20.0,
            Life::Serving => 1.0,
        };
        // Endpoints with an odd index join a shared slowdown one slice later, and the calls of
        // the others are a mix in the first slice.
        let slow = self.slow_from.map_or(0, |since| slice + 1 - since);
        let slow_share = match (slow, endpoint % 2) {
            (0, _) | (1, 1) => 0.0,
            (1, _) => 0.5,
            _ => 1.0,
        };
        if self.pauses[endpoint] == 0.0 && chance(&mut self.rng, 144) {
            self.pauses[endpoint] = 0.6;
        }
        let paused = self.pauses[endpoint];
        // Every other pause reaches into the next slice with half of its calls.
        self.pauses[endpoint] = if paused == 0.6 && self.rng.random() { 0.3 } else { 0.0 };
        let hour = std::f64::consts::TAU * slice as f64 / SLICES_PER_DAY as f64;
        let load = 0.6 - 0.4 * hour.cos();
        let calls = REPORT * BUSY * SLOTS as f64 / MEAN_CALL * load;
        let mut entries = Vec::with_capacity(2);
        for (route, share) in ROUTE_SHARE.into_iter().enumerate() {
            let count = poisson(&mut self.rng, calls * share);
            let mut buckets = [0_u32; 32];
            let mut failures = 0;
            for _ in 0..count {
                let is_slow = slow_share > 0.0 && self.rng.random::<f64>() < slow_share;
                let failing = if is_slow { 0.1 } else { USUAL_FAILURES };
                if self.rng.random::<f64>() < failing {
                    failures += 1;
                    self.count_consecutive(endpoint, route);
                    continue;
                }
                self.consecutive[endpoint][route] = 0;
                let at = self.bucket_of_call(is_slow, cold, paused);
                buckets[usize::from(at)] += 1;
            }
            if count == 0 {
                continue;
            }
            let pairs = buckets.iter().enumerate().filter(|(_, count)| **count > 0);
            entries.push(ReportEntry {
                route: self.routes[route].clone(),
                endpoint: self.endpoints[endpoint].clone(),
                failures,
                successes: LatencyCounts::from_pairs(pairs.map(|(at, &count)| (at as u8, count))),
            });
        }
        let guard = Incarnation(endpoint as u64);
        Some(HealthReport { guard, sequence: slice as u64, entries })
    }

    fn bucket_of_call(&mut self, is_slow: bool, cold: f64, paused: f64) -> u8 {
        let usual = self.usual[self.rng.random_range(0..BUCKET_TABLE)];
        if !is_slow && cold == 1.0 && paused == 0.0 {
            return usual;
        }
        let mut took = call_time(&mut self.rng) * cold;
        if is_slow {
            took *= 10.0;
        }
        if self.rng.random::<f64>() < paused {
            took += 0.25 * self.rng.random::<f64>();
        }
        bucket(took)
    }

    fn count_consecutive(&mut self, endpoint: usize, route: usize) {
        let count = &mut self.consecutive[endpoint][route];
        *count += 1;
        if *count >= CONSECUTIVE {
            *count = 0;
            self.falses.consecutive += 1;
        }
    }
}

/// Whether an event that happens `per_day` times a day happens in this slice.
fn chance(rng: &mut SmallRng, per_day: usize) -> bool {
    rng.random_range(0..SLICES_PER_DAY) < per_day
}

fn bucket(seconds: f64) -> u8 {
    let mut counts = LatencyCounts::default();
    counts.add(duration(seconds));
    counts.pairs()[0].0
}

/// A Poisson variate by Knuth's method, which suits the small means here.
fn poisson(rng: &mut SmallRng, mean: f64) -> u32 {
    let limit = (-mean).exp();
    let mut product: f64 = rng.random();
    let mut count = 0;
    while product > limit {
        product *= rng.random::<f64>();
        count += 1;
    }
    count
}
