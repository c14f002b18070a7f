//! Measures choice of endpoints, the fair queue and retries, in virtual time with fixed seeds.
//!
//! Every instance has one node, which is entry for an even part of the calls and guard of one
//! endpoint. Heartbeats carry the load of each endpoint to every entry once a second.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use admission::{Attempt, Check, Decision, Guard, GuardLimits, Patience, Standing, Verdict};
use eyre::Result;
use model::{
    AccountName, AttemptId, EndpointName, EndpointState, FailureDomain, Incarnation, LoadReport,
    NodeName, Percent, Rate, ResultCode, RouteName, Slots, Time,
};
use routing::{
    AttemptEnd, Balancer, BalancerParams, Body, CallAttempts, CallKind, Candidate, Candidates,
    Evidence, FenceResult, Idempotence, LoadView, Next, PATIENCE, QueryBudget, RandomSource,
    RetryBudget, SplitMix64, Stage, WhenBusy,
};

/// Slots of every endpoint.
const SLOTS: Slots = Slots(3);

/// Mean of the log-normal service times, and sigma of their logarithm.
const MEAN_SERVICE_MS: f64 = 50.0;
const SERVICE_SIGMA: f64 = 0.5;

/// One-way latency between nodes of one failure domain.
const HOP_INSIDE: Duration = Duration::from_micros(100);

/// Calls that arrive earlier are not counted.
const WARM_UP: Duration = Duration::from_secs(5);

/// Length of each run.
const RUN: Duration = Duration::from_secs(25);

const SEEDS: [u64; 3] = [1, 2, 3];

/// Accounts of the fleet.
const ACCOUNTS: usize = 8;

/// Share of the calls of each account in ordinary traffic: a few accounts are large.
const ORDINARY: [f64; ACCOUNTS] = [0.3, 0.25, 0.15, 0.06, 0.06, 0.06, 0.06, 0.06];

struct Deployment {
    name: &'static str,
    domains: usize,
    /// Endpoints of each service.
    services: &'static [usize],
    hop: Duration,
}

const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "Brindlecote",
        domains: 4,
        services: &[8, 14, 8, 8],
        hop: Duration::from_micros(1500),
    },
    Deployment {
        name: "Ledgerpine",
        domains: 3,
        services: &[9, 12, 6, 6],
        hop: Duration::from_millis(1),
    },
];

#[derive(Debug, Clone, Copy, PartialEq)]
enum Policy {
    LeastWait,
    Random,
    RoundRobin,
    PowerOfTwo,
    LeastLoaded,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum QueueOrder {
    Fair,
    FirstCome,
}

/// Prints the tables of measures.
pub fn run() -> Result<()> {
    added_waiting();
    worst_served();
    Ok(())
}

// Added waiting.

fn added_waiting() {
    println!("\ncalls (a): added waiting = queue wait + network between entry and guard, in ms");
    println!("seeds {SEEDS:?}, service times log-normal, mean 50 ms, 3 slots per endpoint");
    let policies = [
        Policy::LeastWait,
        Policy::Random,
        Policy::RoundRobin,
        Policy::PowerOfTwo,
        Policy::LeastLoaded,
    ];
    println!(
        "{:<12} {:>4} {:<12} {:>8} {:>8} {:>8} {:>9}  target",
        "deployment", "use", "mechanism", "p50", "p99", "p99.9", "refused"
    );
    for deployment in &DEPLOYMENTS {
        for percent in [40, 60, 80] {
            let mut least_baseline = f64::MAX;
            let mut rows = Vec::new();
            for policy in policies {
                let (mut waits, mut refused, mut calls) = (Vec::new(), 0, 0);
                let demand = ORDINARY.map(|share| share * f64::from(percent) / 100.0);
                let load = Load { demand, rates: ORDINARY, limits: [None; ACCOUNTS] };
                let timeout = Duration::from_secs(10);
                for call in all_seeds(deployment, policy, QueueOrder::Fair, &load, timeout) {
                    calls += 1;
                    match call.answered_at {
                        Some(at) => waits.push(ms(at.since(call.arrived_at)) - call.service_ms),
                        None => refused += 1,
                    }
                }
                waits.sort_by(f64::total_cmp);
                let [p50, p99, p999] = [0.5, 0.99, 0.999].map(|share| quantile(&waits, share));
                if policy != Policy::LeastWait {
                    least_baseline = least_baseline.min(p99);
                }
                rows.push((policy, p50, p99, p999, refused as f64 / calls as f64));
            }
            for (policy, p50, p99, p999, refused) in rows {
                let target = match policy {
                    Policy::LeastWait if percent < 80 => met(p99 <= 4.1, "p99 <= 4.1 ms"),
                    Policy::LeastWait => met(p99 <= least_baseline, "p99 <= every baseline"),
                    _ => String::new(),
                };
                println!(
                    "{:<12} {percent:>3}% {:<12} {p50:>8.2} {p99:>8.2} {p999:>8.2} {:>8.3}%  {target}",
                    deployment.name,
                    format!("{policy:?}"),
                    refused * 100.0,
                );
            }
            let waits = perfect_knowledge(deployment, percent);
            let [p50, p99, p999] = [0.5, 0.99, 0.999].map(|share| quantile(&waits, share));
            println!(
                "{:<12} {percent:>3}% {:<12} {p50:>8.2} {p99:>8.2} {p999:>8.2} {:>8.3}%  reachable",
                deployment.name, "Perfect", 0.0,
            );
        }
    }
}

/// Added waiting where each call, in the order of arrival, goes to the slot in which it is answered
/// first, with exact knowledge of when every slot becomes free.
fn perfect_knowledge(deployment: &Deployment, percent: u32) -> Vec<f64> {
    let demand = ORDINARY.map(|share| share * f64::from(percent) / 100.0);
    let load = Load { demand, rates: ORDINARY, limits: [None; ACCOUNTS] };
    let mut waits = Vec::new();
    for seed in SEEDS {
        let mut sim = Sim::new(deployment, Policy::LeastWait, QueueOrder::Fair, seed);
        sim.add_calls(&load, Duration::from_secs(10));
        let mut calls = std::mem::take(&mut sim.calls);
        calls.sort_by_key(|call| call.arrived_at);
        let mut free_at = vec![[Time::ZERO; SLOTS.0 as usize]; sim.nodes.len()];
        for call in calls {
            let arrived_at = call.arrived_at;
            let start = |&(node, slot): &(usize, usize)| {
                let hop = sim.hop(call.entry, node);
                (free_at[node][slot].max(arrived_at + hop) + hop, hop)
            };
            let nodes = &sim.by_service[call.service];
            let slots =
                nodes.iter().flat_map(|&node| (0..SLOTS.0 as usize).map(move |s| (node, s)));
            let Some((node, slot)) = slots.min_by_key(start) else { continue };
            let (with_answer, hop) = start(&(node, slot));
            let service = Duration::from_micros((call.service_ms * 1000.0) as u64);
            free_at[node][slot] = with_answer - hop + service;
            if arrived_at >= Time::ZERO + WARM_UP {
                waits.push(ms(with_answer.since(arrived_at)));
            }
        }
    }
    waits.sort_by(f64::total_cmp);
    waits
}

// Worst-served account.

/// Demand of the accounts as shares of the capacity, and what the limiter lets through.
struct Load {
    /// Rates as shares of the capacity.
    rates: [f64; ACCOUNTS],
    demand: [f64; ACCOUNTS],
    /// Rate of the accounts that are limited, as a share of the capacity.
    limits: [Option<f64>; ACCOUNTS],
}

fn worst_served() {
    println!(
        "\ncalls (b): share of calls answered within 1 s while the upstreams are the bottleneck"
    );
    println!("account 0 sends ten times its rate and account 1 five times; the others stay within");
    println!(
        "{:<12} {:<15} {:<10} {:<10} {:>8} {:>8}  targets",
        "deployment", "large account", "limiter", "queue", "within", "worst"
    );
    // Rates as shares of the capacity; the first two accounts exceed theirs. In the second case
    // the largest account within its rate has more than an equal share of the capacity.
    let cases = [
        ("below share", [0.24, 0.22, 0.18, 0.14, 0.07, 0.07, 0.07, 0.07]),
        ("above share", [0.16, 0.16, 0.34, 0.12, 0.07, 0.07, 0.07, 0.07]),
    ];
    for deployment in &DEPLOYMENTS {
        for (case, rates) in cases {
            for limiter in ["rate+burst", "none"] {
                for queue in [QueueOrder::Fair, QueueOrder::FirstCome] {
                    let mut demand = rates;
                    demand[0] *= 10.0;
                    demand[1] *= 5.0;
                    let mut limits = [None; ACCOUNTS];
                    if limiter != "none" {
                        limits[0] = Some(rates[0]);
                        limits[1] = Some(rates[1]);
                    }
                    let (within, worst) =
                        served(deployment, queue, &Load { demand, rates, limits });
                    let targets = match queue {
                        QueueOrder::Fair => format!(
                            "{}, {}",
                            met(within >= 0.99, "within >= 99%"),
                            met(worst >= 0.95, "worst >= 95%")
                        ),
                        QueueOrder::FirstCome => String::new(),
                    };
                    println!(
                        "{:<12} {case:<15} {limiter:<10} {:<10} {:>7.2}% {:>7.2}%  {targets}",
                        deployment.name,
                        format!("{queue:?}"),
                        within * 100.0,
                        worst * 100.0,
                    );
                }
            }
        }
    }
}

/// Share of calls served within the deadline, of the accounts within their rate: of all of them
/// and of the worst.
fn served(deployment: &Deployment, queue: QueueOrder, load: &Load) -> (f64, f64) {
    let mut counts = [(0u64, 0u64); ACCOUNTS];
    let timeout = Duration::from_secs(1);
    for call in all_seeds(deployment, Policy::LeastWait, queue, load, timeout) {
        let (calls, served) = &mut counts[call.account];
        *calls += 1;
        *served += u64::from(call.answered_at.is_some_and(|at| at <= call.arrived_at + timeout));
    }
    let within = &counts[2..];
    let share = |calls: u64, served: u64| served as f64 / calls.max(1) as f64;
    let all = within.iter().fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1));
    let worst = within.iter().map(|&(calls, served)| share(calls, served)).fold(1.0, f64::min);
    (share(all.0, all.1), worst)
}

// The fleet in virtual time.

/// Runs every seed, each on its own thread, and returns the counted calls.
fn all_seeds(
    deployment: &Deployment,
    policy: Policy,
    queue: QueueOrder,
    load: &Load,
    timeout: Duration,
) -> Vec<Call> {
    std::thread::scope(|scope| {
        let run = |seed| move || Sim::new(deployment, policy, queue, seed).run(load, timeout);
        let threads = SEEDS.map(|seed| scope.spawn(run(seed)));
        threads.into_iter().flat_map(|thread| thread.join().expect("a run ends")).collect()
    })
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    AtGuard { attempt: usize },
    Finish { attempt: usize },
    Answered { attempt: usize, running: u32, queued: u32, mean_us: u32 },
    Refused { attempt: usize, code: ResultCode },
    Queried { entry: usize, node: usize },
    Reported { entry: usize, node: usize, running: u32, queued: u32, mean_us: u32 },
    Heartbeat { node: usize },
    Tick { node: usize },
}

#[derive(Debug, Clone)]
struct Call {
    arrived_at: Time,
    service: usize,
    entry: usize,
    account: usize,
    service_ms: f64,
    /// Endpoints that refused an attempt.
    tried: Vec<EndpointName>,
    /// Endpoints that were busy; they are used again only when there are no others.
    busy: Vec<EndpointName>,
    attempts: CallAttempts,
    answered_at: Option<Time>,
}

struct Node {
    guard: Guard,
    endpoint: EndpointName,
    name: NodeName,
    domain: FailureDomain,
}

struct Entry {
    balancer: Balancer,
    /// One for each node.
    views: Vec<LoadView>,
    /// One for each service.
    budgets: Vec<RetryBudget>,
    queries: QueryBudget,
    turn: usize,
}

struct SentAttempt {
    call: usize,
    node: usize,
    sent_at: Time,
    patience: Patience,
}

struct Sim<'a> {
    deployment: &'a Deployment,
    policy: Policy,
    queue: QueueOrder,
    /// Draws arrivals and service times, the same for every mechanism.
    traffic: SplitMix64,
    random: SplitMix64,
    order: u64,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    nodes: Vec<Node>,
    by_service: Vec<Vec<usize>>,
    entries: Vec<Entry>,
    calls: Vec<Call>,
    sent: Vec<SentAttempt>,
    accounts: Vec<AccountName>,
    rates: [Rate; ACCOUNTS],
    standings: [Standing; ACCOUNTS],
    route: RouteName,
}

fn allow(_: &Attempt) -> Check {
    Check::Allowed
}

impl<'a> Sim<'a> {
    fn new(deployment: &'a Deployment, policy: Policy, queue: QueueOrder, seed: u64) -> Sim<'a> {
        let mut nodes = Vec::new();
        let mut by_service = Vec::new();
        for (service, &count) in deployment.services.iter().enumerate() {
            by_service.push((nodes.len()..nodes.len() + count).collect::<Vec<usize>>());
            for number in 0..count {
                let endpoint: EndpointName = name(&format!("endpoint-{service}-{number}"));
                let mut guard = Guard::new(GuardLimits::default());
                guard.announce(&endpoint, SLOTS, EndpointState::Ready, Time::ZERO, &allow);
                let domain = name(&format!("domain-{}", number % deployment.domains));
                let name = name(&format!("node-{service}-{number}"));
                nodes.push(Node { guard, endpoint, name, domain });
            }
        }
        let entry = |node: &Node| Entry {
            balancer: Balancer::new(node.domain.clone(), BalancerParams::default()),
            views: vec![LoadView::default(); nodes.len()],
            budgets: vec![retry_budget(nodes.len()); deployment.services.len()],
            queries: QueryBudget::default(),
            turn: 0,
        };
        Sim {
            deployment,
            policy,
            queue,
            traffic: SplitMix64::new(seed),
            random: SplitMix64::new(seed ^ 0xabcd),
            order: 0,
            events: BinaryHeap::new(),
            entries: nodes.iter().map(entry).collect(),
            nodes,
            by_service,
            calls: Vec::new(),
            sent: Vec::new(),
            accounts: (0..ACCOUNTS).map(|number| name(&format!("account-{number}"))).collect(),
            rates: [Rate::default(); ACCOUNTS],
            standings: [Standing::WithinRate; ACCOUNTS],
            route: name("route"),
        }
    }

    /// Runs the fleet and returns the calls after the warm-up.
    fn run(mut self, load: &Load, timeout: Duration) -> Vec<Call> {
        self.rates = load.rates.map(|share| Rate::from_milli_per_second((share * 1e6) as u64));
        // The entries know which accounts the limiter cuts.
        self.standings = load.limits.map(|limit| match limit {
            Some(_) => Standing::OverRate,
            None => Standing::WithinRate,
        });
        self.add_calls(load, timeout);
        for node in 0..self.nodes.len() {
            let offset = Duration::from_micros(self.traffic.below(1_000_000) as u64);
            self.at(Time::ZERO + offset, Event::Heartbeat { node });
            self.at(Time::ZERO + offset, Event::Tick { node });
        }
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            self.handle(event, now, timeout);
        }
        let is_counted = |call: &Call| call.arrived_at >= Time::ZERO + WARM_UP;
        self.calls.into_iter().filter(is_counted).collect()
    }

    /// Adds the calls of each account to each service as Poisson processes. A limited account is
    /// cut to its rate and a burst of one second; what the limiter refuses is not a call here.
    fn add_calls(&mut self, load: &Load, timeout: Duration) {
        for (service, &endpoints) in self.deployment.services.iter().enumerate() {
            let capacity = endpoints as f64 * f64::from(SLOTS.0) / (MEAN_SERVICE_MS / 1000.0);
            for account in 0..ACCOUNTS {
                let per_second = load.demand[account] * capacity;
                let limit = load.limits[account].map(|share| share * capacity);
                let mut tokens = limit.unwrap_or(0.0);
                let mut at = 0.0;
                loop {
                    let gap = -(1.0 - uniform(&mut self.traffic)).ln() / per_second;
                    at += gap;
                    if at >= RUN.as_secs_f64() {
                        break;
                    }
                    let entry = self.traffic.below(self.nodes.len());
                    let service_ms = log_normal(&mut self.traffic);
                    if let Some(limit) = limit {
                        tokens = (tokens + gap * limit).min(limit);
                        if tokens < 1.0 {
                            continue;
                        }
                        tokens -= 1.0;
                    }
                    let arrived_at = Time::from_micros((at * 1e6) as u64);
                    let deadline = arrived_at + timeout;
                    let kind = CallKind { idempotence: Idempotence::NonIdempotent, deadline };
                    self.calls.push(Call {
                        arrived_at,
                        service,
                        entry,
                        account,
                        service_ms,
                        tried: Vec::new(),
                        busy: Vec::new(),
                        attempts: CallAttempts::new(kind),
                        answered_at: None,
                    });
                    self.at(arrived_at, Event::Arrive(self.calls.len() - 1));
                }
            }
        }
    }

    fn at(&mut self, time: Time, event: Event) {
        self.order += 1;
        self.events.push(Reverse((time, self.order, event)));
    }

    fn hop(&self, entry: usize, node: usize) -> Duration {
        match self.nodes[entry].domain == self.nodes[node].domain {
            true => HOP_INSIDE,
            false => self.deployment.hop,
        }
    }

    fn handle(&mut self, event: Event, now: Time, timeout: Duration) {
        match event {
            Event::Arrive(call) => {
                let Call { entry, service, .. } = self.calls[call];
                self.entries[entry].budgets[service].count_call(now);
                self.send(call, now);
            }
            Event::AtGuard { attempt } => {
                let SentAttempt { call, node, patience, .. } = self.sent[attempt];
                let account = match self.queue {
                    QueueOrder::Fair => Some(self.accounts[self.calls[call].account].clone()),
                    // With a single account the queue is first come, first served.
                    QueueOrder::FirstCome => None,
                };
                let attempt = Attempt {
                    id: AttemptId { entry: Incarnation(0), sequence: attempt as u64 },
                    endpoint: self.nodes[node].endpoint.clone(),
                    route: self.route.clone(),
                    account,
                    rate: self.rates[self.calls[call].account],
                    standing: self.standings[self.calls[call].account],
                    start_by: self.calls[call].arrived_at + timeout,
                    patience,
                };
                let verdicts = self.nodes[node].guard.arrive(attempt, now, &allow);
                self.carry_out(verdicts, now);
            }
            Event::Finish { attempt } => {
                let SentAttempt { call, node, .. } = self.sent[attempt];
                let id = AttemptId { entry: Incarnation(0), sequence: attempt as u64 };
                let verdicts = self.nodes[node].guard.finish(id, now, &allow);
                self.carry_out(verdicts, now);
                let LoadReport { running, queued, mean_service, .. } = self.load(node);
                let mean_us = mean_service.as_micros() as u32;
                let arrives_at = now + self.hop(self.calls[call].entry, node);
                self.at(arrives_at, Event::Answered { attempt, running, queued, mean_us });
            }
            Event::Answered { attempt, running, queued, mean_us } => {
                let mean_service = Duration::from_micros(u64::from(mean_us));
                let report = LoadReport { slots: SLOTS, running, queued, mean_service };
                self.ended(attempt, report, now);
                let call = self.sent[attempt].call;
                self.calls[call].answered_at = Some(now);
            }
            Event::Refused { attempt, code } => {
                let SentAttempt { call, node, patience, .. } = self.sent[attempt];
                let report = self.load(node);
                self.ended(attempt, report, now);
                let Call { entry, service, .. } = self.calls[call];
                let budget = &mut self.entries[entry].budgets[service];
                let endpoint = self.nodes[node].endpoint.clone();
                let end = match patience {
                    Patience::AtMost(_) if code == ResultCode::QueueFull => {
                        self.calls[call].busy.push(endpoint);
                        AttemptEnd::Busy
                    }
                    _ => {
                        self.calls[call].tried.push(endpoint);
                        AttemptEnd::Refused { code, evidence: Evidence::NotRun }
                    }
                };
                let next = self.calls[call].attempts.next(end, Body::Replayable, budget, now);
                if next == Next::RetryElsewhere {
                    self.send(call, now);
                }
            }
            Event::Queried { entry, node } => {
                let LoadReport { running, queued, mean_service, .. } = self.load(node);
                let mean_us = mean_service.as_micros() as u32;
                let arrives_at = now + self.hop(entry, node);
                self.at(arrives_at, Event::Reported { entry, node, running, queued, mean_us });
            }
            Event::Reported { entry, node, running, queued, mean_us } => {
                let mean_service = Duration::from_micros(u64::from(mean_us));
                let report = LoadReport { slots: SLOTS, running, queued, mean_service };
                let round_trip = self.hop(entry, node) * 2;
                self.entries[entry].views[node].report(report, now, round_trip);
            }
            Event::Heartbeat { node } => {
                let report = self.load(node);
                for entry in 0..self.entries.len() {
                    let round_trip = self.hop(entry, node) * 2;
                    self.entries[entry].views[node].report(report, now, round_trip);
                }
                if now < Time::ZERO + RUN {
                    self.at(now + Duration::from_secs(1), Event::Heartbeat { node });
                }
            }
            Event::Tick { node } => {
                let verdicts = self.nodes[node].guard.tick(now, &allow);
                self.carry_out(verdicts, now);
                if now < Time::ZERO + RUN + timeout {
                    self.at(now + Duration::from_millis(100), Event::Tick { node });
                }
            }
        }
    }

    fn load(&self, node: usize) -> LoadReport {
        let Node { guard, endpoint, .. } = &self.nodes[node];
        guard.load(endpoint).expect("the endpoint was announced")
    }

    /// Takes the end of an attempt, whose answer or refusal carries the load.
    fn ended(&mut self, attempt: usize, report: LoadReport, now: Time) {
        let SentAttempt { call, node, sent_at, .. } = self.sent[attempt];
        let entry = self.calls[call].entry;
        let round_trip = self.hop(entry, node) * 2;
        let view = &mut self.entries[entry].views[node];
        view.ended(sent_at);
        view.report(report, now, round_trip);
    }

    fn carry_out(&mut self, verdicts: Vec<Verdict>, now: Time) {
        for Verdict { attempt, decision } in verdicts {
            let attempt = attempt.sequence as usize;
            let SentAttempt { call, node, .. } = self.sent[attempt];
            match decision {
                Decision::Start => {
                    let service =
                        Duration::from_micros((self.calls[call].service_ms * 1000.0) as u64);
                    self.at(now + service, Event::Finish { attempt });
                }
                Decision::Queued => {}
                Decision::Refuse(code) => {
                    let arrives_at = now + self.hop(self.calls[call].entry, node);
                    self.at(arrives_at, Event::Refused { attempt, code });
                }
            }
        }
    }

    fn send(&mut self, call: usize, now: Time) {
        let mut when_busy = self.calls[call].attempts.when_busy(Body::Replayable);
        let tried = self.calls[call].tried.clone();
        let avoided = [&tried[..], &self.calls[call].busy].concat();
        let mut node = self.choose(call, &avoided, now);
        if node.is_none() {
            // All others are busy or have refused.
            when_busy = WhenBusy::Wait;
            node = self.choose(call, &tried, now);
        }
        let Some(node) = node else { return };
        let entry = self.calls[call].entry;
        self.entries[entry].views[node].sent(now);
        let patience = match when_busy {
            WhenBusy::GoElsewhere if self.policy == Policy::LeastWait => Patience::AtMost(PATIENCE),
            _ => Patience::UntilStartBy,
        };
        self.sent.push(SentAttempt { call, node, sent_at: now, patience });
        let attempt = self.sent.len() - 1;
        self.at(now + self.hop(entry, node), Event::AtGuard { attempt });
    }

    /// Queries the load of endpoints, as far as the budget allows.
    fn query(&mut self, entry: usize, nodes: Vec<usize>, now: Time) {
        let granted = self.entries[entry].queries.take(nodes.len() as u32, now);
        for node in nodes.into_iter().take(granted as usize) {
            let arrives_at = now + self.hop(entry, node);
            self.at(arrives_at, Event::Queried { entry, node });
        }
    }

    fn choose(&mut self, call: usize, tried: &[EndpointName], now: Time) -> Option<usize> {
        let Call { entry, service, .. } = self.calls[call];
        let indexes = &self.by_service[service];
        let is_new = |node: &usize| !tried.contains(&self.nodes[*node].endpoint);
        let untried: Vec<usize> = indexes.iter().copied().filter(is_new).collect();
        let Entry { balancer, views, .. } = &self.entries[entry];
        let busy = |node: usize| {
            let known = views[node].known(now);
            known.map_or(0, |known| known.report.running + known.report.queued + known.sent_since)
        };
        match self.policy {
            Policy::LeastWait => {
                let candidates = View { nodes: &self.nodes, views, indexes, now };
                let method = Idempotence::NonIdempotent;
                let choice = balancer.choose(&candidates, tried, method, &mut self.random)?;
                // A call that waits where it is sent needs no other endpoint.
                let goes_elsewhere = self.calls[call].attempts.when_busy(Body::Replayable)
                    == WhenBusy::GoElsewhere
                    && tried.len() > self.calls[call].tried.len();
                if goes_elsewhere {
                    let queried =
                        balancer.queried(&candidates, &choice, tried, method, &mut self.random);
                    let queried = queried.into_iter().map(|index| indexes[index]).collect();
                    self.query(entry, queried, now);
                }
                let indexes = &self.by_service[service];
                Some(indexes[choice.index])
            }
            _ if untried.is_empty() => None,
            Policy::Random => Some(untried[self.random.below(untried.len())]),
            Policy::RoundRobin => {
                let turn = self.entries[entry].turn;
                self.entries[entry].turn += 1;
                Some(untried[(entry + turn) % untried.len()])
            }
            Policy::PowerOfTwo => {
                let mut draw = || untried[self.random.below(untried.len())];
                let (first, second) = (draw(), draw());
                Some(if busy(second) < busy(first) { second } else { first })
            }
            Policy::LeastLoaded => {
                let least = untried.iter().map(|&node| busy(node)).min()?;
                let ties: Vec<usize> =
                    untried.iter().copied().filter(|&node| busy(node) == least).collect();
                Some(ties[self.random.below(ties.len())])
            }
        }
    }
}

/// The endpoints of a service as one entry sees them.
struct View<'a> {
    nodes: &'a [Node],
    views: &'a [LoadView],
    indexes: &'a [usize],
    now: Time,
}

impl Candidates for View<'_> {
    fn count(&self) -> usize {
        self.indexes.len()
    }

    fn candidate(&self, index: usize) -> Candidate<'_> {
        let node = &self.nodes[self.indexes[index]];
        Candidate {
            endpoint: &node.endpoint,
            node: &node.name,
            domain: &node.domain,
            slots: SLOTS,
            weight: 100,
            stage: Stage::Regular,
            path_penalty: Duration::ZERO,
            load: self.views[self.indexes[index]].known(self.now),
        }
    }
}

// Retries.

/// How a call is retried.
#[derive(Debug, Clone, Copy, PartialEq)]
enum RetryMode {
    Budget,
    AnyError,
}

/// Prints the table of the retries.
pub fn retries() {
    println!(
        "\ncalls (c): a whole service fails for a minute; half of the attempts fail to connect,"
    );
    println!("half run and lose the connection; half of the calls are not idempotent");
    println!(
        "{:<12} {:>8} {:<10} {:>10} {:>11}  targets",
        "deployment", "calls/s", "mechanism", "attempts", "duplicates"
    );
    for deployment in &DEPLOYMENTS {
        let nodes: usize = deployment.services.iter().sum();
        let capacity = deployment.services[1] as f64 * f64::from(SLOTS.0) / 0.05;
        for calls_per_second in [0.5 * capacity, 0.1 * capacity] {
            for mode in [RetryMode::Budget, RetryMode::AnyError] {
                let (amplification, duplicates) = failing_service(nodes, calls_per_second, mode);
                let targets = match mode {
                    RetryMode::Budget => format!(
                        "{}, {}",
                        met(amplification <= 1.2 + 3.0 / calls_per_second, "<= 1.2 + 3/s"),
                        met(duplicates == 0, "no duplicate")
                    ),
                    RetryMode::AnyError => String::new(),
                };
                println!(
                    "{:<12} {calls_per_second:>8.0} {:<10} {amplification:>9.3}x {duplicates:>11}  {targets}",
                    deployment.name,
                    format!("{mode:?}"),
                );
            }
        }
    }
}

/// Attempts per call, and non-idempotent calls that ran more than once.
fn failing_service(nodes: usize, calls_per_second: f64, mode: RetryMode) -> (f64, u64) {
    let mut random = SplitMix64::new(5);
    let mut budgets = vec![retry_budget(nodes); nodes];
    // Ends of attempts in the order of time: time, order, call.
    let mut ends = BinaryHeap::new();
    let mut calls: Vec<(CallAttempts, Idempotence, u32, usize)> = Vec::new();
    let (mut next_call, mut attempts, mut order) = (0.0, 0u64, 0u64);
    loop {
        let due = ends.peek().map(|Reverse((time, ..)): &Reverse<(Time, u64, usize)>| *time);
        let arrives_at = Time::from_micros((next_call * 1e6) as u64);
        let is_over = next_call >= 60.0;
        let (call, now) = match due {
            Some(time) if is_over || time <= arrives_at => {
                let Some(Reverse((_, _, call))) = ends.pop() else { break };
                let entry = calls[call].3;
                let has_run = random.below(2) == 0;
                calls[call].2 += u32::from(has_run);
                let mut next = after_failure(&mut calls[call], has_run, &mut budgets[entry], time);
                if mode == RetryMode::AnyError {
                    next = match calls[call].0.ended() < 3 {
                        true => Next::RetryElsewhere,
                        false => Next::UnknownToCaller(ResultCode::UpstreamLost),
                    };
                }
                if next != Next::RetryElsewhere {
                    continue;
                }
                (call, time)
            }
            _ if is_over => break,
            _ => {
                next_call += -(1.0 - uniform(&mut random)).ln() / calls_per_second;
                let idempotence = match random.below(2) {
                    0 => Idempotence::Idempotent,
                    _ => Idempotence::NonIdempotent,
                };
                let deadline = arrives_at + Duration::from_secs(1);
                let kind = CallKind { idempotence, deadline };
                let entry = random.below(nodes);
                budgets[entry].count_call(arrives_at);
                calls.push((CallAttempts::new(kind), idempotence, 0, entry));
                (calls.len() - 1, arrives_at)
            }
        };
        attempts += 1;
        order += 1;
        ends.push(Reverse((now + Duration::from_millis(20), order, call)));
    }
    let is_duplicate = |(_, idempotence, runs, _): &&(CallAttempts, Idempotence, u32, usize)| {
        *idempotence == Idempotence::NonIdempotent && *runs > 1
    };
    let duplicates = calls.iter().filter(is_duplicate).count() as u64;
    (attempts as f64 / calls.len() as f64, duplicates)
}

/// Asks the policy; a fence of an attempt that ran is answered so at once.
fn after_failure(
    call: &mut (CallAttempts, Idempotence, u32, usize),
    has_run: bool,
    budget: &mut RetryBudget,
    now: Time,
) -> Next {
    let end = match has_run {
        true => AttemptEnd::Unknown { code: ResultCode::UpstreamLost },
        false => {
            AttemptEnd::Refused { code: ResultCode::ConnectFailed, evidence: Evidence::NotRun }
        }
    };
    match call.0.next(end, Body::Replayable, budget, now) {
        Next::FenceThenDecide => {
            let result = FenceResult::MayHaveRun;
            call.0.next(AttemptEnd::Fenced { result }, Body::Replayable, budget, now)
        }
        next => next,
    }
}

fn retry_budget(entries: usize) -> RetryBudget {
    RetryBudget::new(Percent::new(20).expect("20 is a share"), entries)
}

// Figures.

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("generated names are valid")
}

fn ms(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

fn met(is_met: bool, target: &str) -> String {
    format!("{target}: {}", if is_met { "met" } else { "MISSED" })
}

fn quantile(sorted: &[f64], share: f64) -> f64 {
    let index = (sorted.len() as f64 * share) as usize;
    sorted.get(index.min(sorted.len().saturating_sub(1))).copied().unwrap_or(f64::NAN)
}

fn uniform(random: &mut SplitMix64) -> f64 {
    (random.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

fn log_normal(random: &mut SplitMix64) -> f64 {
    let radius = (-2.0 * (1.0 - uniform(random)).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * uniform(random)).cos();
    let mu = MEAN_SERVICE_MS.ln() - SERVICE_SIGMA * SERVICE_SIGMA / 2.0;
    (mu + SERVICE_SIGMA * normal).exp()
}
