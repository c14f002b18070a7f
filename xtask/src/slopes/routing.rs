//! Slopes of routing and admission decisions.

use std::hint::black_box;
use std::time::{Duration, Instant};

use admission::{
    Attempt, AttemptKind, Check, Guard, GuardLimits, RateStatus, RetryLimit, WaitLimit,
};
use eyre::Result;
use model::{
    AttemptId, EndpointName, EndpointState, FailureDomain, Incarnation, LoadReport, NodeName,
    Percent, Rate, RouteName, Slots, Time,
};
use routing::{
    Balancer, BalancerParams, Candidate, Candidates, Idempotence, KnownLoad, SplitMix64, Stage,
};

/// Decisions that are timed for each row.
const DECISIONS: u64 = 200_000;

/// Distance of the start-by deadlines.
const START_BY: Duration = Duration::from_secs(1);

/// Prints the table of slopes.
pub fn run() -> Result<()> {
    println!("\nrouting and admission: processor time of a decision, memory of the ledger");
    for candidates in [10, 100, 1_000] {
        println!("choice among {candidates:>5} candidates: {:>8.0} ns", choice_ns(candidates));
    }
    for endpoints in [1, 50] {
        for entries in [0, 10_000] {
            println!(
                "admission, {endpoints:>2} endpoints, {entries:>6} ledger entries: {:>6.0} ns",
                admission_ns(endpoints, entries)
            );
        }
    }
    let before = resident_bytes()?;
    let (guard, _) = filled_guard(1, 1_000_000);
    let grown = resident_bytes()?.saturating_sub(before);
    println!("ledger, {} entries: {} bytes each", guard.ledger_len(), grown / guard.ledger_len());
    Ok(())
}

struct Fleet {
    endpoints: Vec<EndpointName>,
    node: NodeName,
    domains: [FailureDomain; 4],
}

impl Candidates for Fleet {
    fn count(&self) -> usize {
        self.endpoints.len()
    }

    fn candidate(&self, index: usize) -> Candidate<'_> {
        let slots = Slots(3);
        let mean_service = Duration::from_millis(50);
        let report = LoadReport { slots, running: index as u32 % 4, queued: 0, mean_service };
        let age = Duration::from_millis(index as u64 % 1000);
        Candidate {
            endpoint: &self.endpoints[index],
            node: &self.node,
            domain: &self.domains[index % 4],
            slots,
            weight: 100,
            stage: Stage::Regular,
            path_penalty: Duration::ZERO,
            load: Some(KnownLoad { report, age, sent_since: 0 }),
        }
    }
}

fn choice_ns(candidates: usize) -> f64 {
    let domains = [0, 1, 2, 3].map(|number| name::<FailureDomain>(&format!("domain-{number}")));
    let balancer = Balancer::new(domains[0].clone(), BalancerParams::default());
    let endpoints = (0..candidates).map(|number| name(&format!("endpoint-{number}"))).collect();
    let fleet = Fleet { endpoints, node: name("node-1"), domains };
    let mut random = SplitMix64::new(1);
    time_ns(|_| {
        let method = Idempotence::Idempotent;
        black_box(balancer.choose(black_box(&fleet), &[], method, &mut random));
    })
}

/// Time to admit an attempt and to finish it.
fn admission_ns(endpoints: usize, entries: u64) -> f64 {
    let (mut guard, names) = filled_guard(endpoints, entries);
    let route: RouteName = name("route");
    // The time stands still, so that the ledger keeps its size apart from the timed attempts.
    time_ns(|round| {
        let endpoint = &names[round as usize % names.len()];
        let attempt = attempt(entries + round, endpoint, &route);
        let id = attempt.id;
        black_box(guard.submit(attempt, Time::ZERO, &allow));
        black_box(guard.finish(id, Time::ZERO, &allow));
    })
}

/// A guard that remembers `entries` finished attempts.
fn filled_guard(endpoints: usize, entries: u64) -> (Guard, Vec<EndpointName>) {
    let limits = GuardLimits { ledger_capacity: 2_000_000, ..GuardLimits::default() };
    let mut guard = Guard::new(limits);
    let names: Vec<EndpointName> =
        (0..endpoints).map(|number| name(&format!("endpoint-{number}"))).collect();
    for endpoint in &names {
        guard.update_endpoint(endpoint, Slots(3), EndpointState::Ready, Time::ZERO, &allow);
    }
    let route: RouteName = name("route");
    for sequence in 0..entries {
        let attempt = attempt(sequence, &names[sequence as usize % names.len()], &route);
        let id = attempt.id;
        guard.submit(attempt, Time::ZERO, &allow);
        guard.finish(id, Time::ZERO, &allow);
    }
    (guard, names)
}

fn attempt(sequence: u64, endpoint: &EndpointName, route: &RouteName) -> Attempt {
    Attempt {
        id: AttemptId { entry: Incarnation(1), sequence },
        endpoint: endpoint.clone(),
        service: name("orders"),
        route: route.clone(),
        account: None,
        rate: Rate::per_second(10),
        rate_status: RateStatus::WithinRate,
        start_by: Time::ZERO + START_BY,
        queue_until: Time::ZERO + START_BY,
        goal_by: None,
        wait_limit: WaitLimit::UntilDeadline,
        priority: 0,
        is_idempotent: false,
        accepts_suspect: false,
        kind: AttemptKind::First { retry_origin_percent: Percent::ZERO },
        retry_limit: RetryLimit { share: Percent::default(), spare_milli: 0 },
    }
}

fn allow(_: &Attempt) -> Check {
    Check::Allowed
}

fn time_ns(mut decide: impl FnMut(u64)) -> f64 {
    let started = Instant::now();
    (0..DECISIONS).for_each(&mut decide);
    started.elapsed().as_secs_f64() * 1e9 / DECISIONS as f64
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("generated names are valid")
}

/// Resident memory of this process.
fn resident_bytes() -> Result<usize> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or("0 kB");
    let kilobytes: usize = line.trim().trim_end_matches(" kB").parse()?;
    Ok(kilobytes * 1024)
}
