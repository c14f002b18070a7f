//! Slopes of health reports and the arbiter.

use std::hint::black_box;
use std::time::{Duration, Instant};

use eyre::Result;
use health::{
    Arbiter, Availability, CallResult, Ejections, HealthReport, LatencyCounts, QuorumLease,
    REPORT_INTERVAL, Recorder, ReportEntry, RouteEndpoint, RouteView,
};
use model::{EndpointName, Epoch, Incarnation, Percent, RouteName, Slots, Time};

const SIZES: [usize; 3] = [10, 100, 1_000];

/// Endpoints in the report of one guard.
const PER_GUARD: usize = 10;

/// Prints the table of slopes.
pub fn run() -> Result<()> {
    println!("health: one route; reports of {PER_GUARD} endpoints; a tick every 250 ms");
    println!(
        "{:>9} {:>15} {:>18} {:>16} {:>15} {:>21}",
        "endpoints",
        "ns per call",
        "ns per report",
        "us per tick",
        "ns per weight",
        "bytes per endpoint"
    );
    for size in SIZES {
        let endpoints: Vec<EndpointName> = (0..size)
            .map(|i| format!("endpoint-{i}").parse().expect("the name is valid"))
            .collect();
        let route: RouteName = "route-0".parse().expect("the name is valid");
        println!(
            "{size:>9} {:>15.0} {:>18.0} {:>16.1} {:>15.0} {:>21}",
            recorded_call(&route, &endpoints),
            handled_report(&route, &endpoints),
            tick(&route, &endpoints) / 1000.0,
            weight(&route, &endpoints),
            Arbiter::BYTES_PER_ENDPOINT
        );
    }
    Ok(())
}

/// Nanoseconds per recorded call.
fn recorded_call(route: &RouteName, endpoints: &[EndpointName]) -> f64 {
    const CALLS: usize = 400_000;
    let mut recorder = Recorder::new(Incarnation(1), Time::ZERO);
    let start = Instant::now();
    for i in 0..CALLS {
        let latency = Duration::from_micros(20_000 + (i as u64 * 7919) % 80_000);
        recorder.record(route, &endpoints[i % endpoints.len()], CallResult::Success, latency);
        if i % 10_000 == 0 {
            black_box(recorder.report(Time::ZERO + REPORT_INTERVAL * (i / 10_000) as u32));
        }
    }
    nanos(start, CALLS)
}

/// Nanoseconds per report handled.
fn handled_report(route: &RouteName, endpoints: &[EndpointName]) -> f64 {
    const ROUNDS: u64 = 200;
    let mut arbiter = arbiter(route, endpoints);
    let rounds: Vec<Vec<HealthReport>> =
        (1..=ROUNDS).map(|sequence| reports(route, endpoints, sequence)).collect();
    let start = Instant::now();
    for (round, reports) in rounds.iter().enumerate() {
        let now = Time::ZERO + REPORT_INTERVAL * round as u32;
        for report in reports {
            arbiter.report(report, now);
        }
    }
    black_box(&arbiter);
    nanos(start, rounds.iter().map(Vec::len).sum())
}

/// Nanoseconds per tick over a full window in which all endpoints are healthy.
fn tick(route: &RouteName, endpoints: &[EndpointName]) -> f64 {
    const ROUNDS: u32 = 200;
    let mut arbiter = arbiter(route, endpoints);
    let mut spent = Duration::ZERO;
    for round in 1..=ROUNDS {
        let now = Time::ZERO + REPORT_INTERVAL * round;
        for report in reports(route, endpoints, u64::from(round)) {
            arbiter.report(&report, now);
        }
        let start = Instant::now();
        black_box(arbiter.tick(QuorumLease::Valid, now));
        spent += start.elapsed();
    }
    spent.as_nanos() as f64 / f64::from(ROUNDS)
}

/// Nanoseconds per weight looked up at an entry.
fn weight(route: &RouteName, endpoints: &[EndpointName]) -> f64 {
    const LOOKUPS: usize = 400_000;
    let mut ejections = Ejections::new();
    ejections.apply(&arbiter(route, endpoints).list(Time::ZERO), Some(Time::ZERO), Time::ZERO);
    let start = Instant::now();
    for i in 0..LOOKUPS {
        black_box(ejections.weight(route, &endpoints[i % endpoints.len()], Time::ZERO));
    }
    nanos(start, LOOKUPS)
}

fn nanos(start: Instant, count: usize) -> f64 {
    start.elapsed().as_nanos() as f64 / count as f64
}

fn arbiter(route: &RouteName, endpoints: &[EndpointName]) -> Arbiter {
    let endpoint = |name: &EndpointName| RouteEndpoint {
        name: name.clone(),
        slots: Slots(3),
        availability: Availability::Available,
    };
    let view = RouteView {
        route: route.clone(),
        floor: Percent::new(60).expect("60 is a share"),
        endpoints: endpoints.iter().map(endpoint).collect(),
    };
    let mut arbiter = Arbiter::new(Epoch(1), Time::ZERO);
    arbiter.update_route(view, Time::ZERO);
    arbiter
}

/// One report of each guard, each with 8 calls per endpoint in 4 buckets.
fn reports(route: &RouteName, endpoints: &[EndpointName], sequence: u64) -> Vec<HealthReport> {
    let entry = |endpoint: &EndpointName| ReportEntry {
        route: route.clone(),
        endpoint: endpoint.clone(),
        failures: 0,
        successes: LatencyCounts::from_pairs([(10, 2), (11, 3), (12, 2), (13, 1)]),
    };
    let guards = endpoints.chunks(PER_GUARD).enumerate();
    let report = |(guard, part): (usize, &[EndpointName])| HealthReport {
        guard: Incarnation(guard as u64),
        sequence,
        entries: part.iter().map(entry).collect(),
    };
    guards.map(report).collect()
}
