//! Open-loop load on a small fleet: added latency, calls per core and memory.
//!
//! The same calls go straight to the upstream stand-in, through a node to the endpoint beside it,
//! and through a node to an endpoint beside another node. The phases alternate in short rounds, so
//! that other work on the machine disturbs all three alike.

mod client;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::mpsc::{self, RecvTimeoutError};
use std::thread::JoinHandle;
use std::time::Duration;

use bpaf::{Parser, construct, long};
use client::{Arrivals, Client, Outcome, Plan, Target};
use eyre::{Result, WrapErr, ensure};
use hdrhistogram::Histogram;
use standins::process::wait_until;

use crate::fleet::{Fleet, Programs, SETTLE_WITHIN, find_key, send};

/// Idle keep-alive connections that memory is measured with.
const IDLE_CONNECTIONS: usize = 400;

/// Target of added latency for 99 in 100 calls at half load, in microseconds.
const MAX_ADDED_MICROS: i64 = 1000;

/// Target of calls a second for one core.
const MIN_CALLS_PER_CORE: f64 = 2000.0;

/// Most calls of one phase. It bounds the work of a mistyped rate.
const MAX_CALLS: u64 = 5_000_000;

/// Clock ticks in a second, in which `/proc` counts processor time on every Linux platform.
const TICKS_PER_SECOND: f64 = 100.0;

/// Time in which all further endpoints are announced.
const ANNOUNCED_WITHIN: Duration = Duration::from_secs(3);

/// Nodes of the fleet.
const NODES: usize = 2;

/// Options of `cargo xtask load`.
#[derive(Debug, Clone)]
pub struct Options {
    rate: Option<f64>,
    seconds: u64,
    rounds: u32,
    capacity_seconds: u64,
    connections: usize,
    slots: u32,
    endpoints: usize,
    log: String,
}

/// Parser of the options.
pub fn options() -> impl Parser<Options> {
    let rate = long("rate")
        .help("Calls a second; without it half of what a node carries")
        .argument::<f64>("RATE")
        .guard(|rate| (1.0..=100_000.0).contains(rate), "a rate from 1 to 100000")
        .optional();
    let seconds = long("seconds")
        .help("Seconds of load on each path")
        .argument::<u64>("S")
        .guard(|seconds| (1..=600).contains(seconds), "1 to 600 seconds")
        .fallback(9);
    let rounds = long("rounds")
        .help("Rounds into which the seconds are split")
        .argument::<u32>("N")
        .guard(|rounds| (1..=60).contains(rounds), "1 to 60 rounds")
        .fallback(9);
    let capacity_seconds = long("capacity-seconds")
        .help("Seconds of saturation on each path")
        .argument::<u64>("S")
        .guard(|seconds| (1..=60).contains(seconds), "1 to 60 seconds")
        .fallback(4);
    let connections = long("connections")
        .help("Keep-alive connections of the client")
        .argument::<usize>("N")
        .guard(|count| (1..=1000).contains(count), "1 to 1000 connections")
        .fallback(32);
    let slots = long("slots").help("Slots of each upstream").argument::<u32>("N").fallback(256);
    let endpoints = long("endpoints")
        .help("Endpoints of each service; all but one are further names of the same upstream")
        .argument::<usize>("N")
        .guard(|count| (1..=1000).contains(count), "1 to 1000 endpoints")
        .fallback(1);
    let log = long("log")
        .help("Log level of the nodes: warn or info")
        .argument::<String>("LEVEL")
        .guard(|level| ["warn", "info"].contains(&level.as_str()), "warn or info")
        .fallback("warn".to_owned());
    construct!(Options {
        rate,
        seconds,
        rounds,
        capacity_seconds,
        connections,
        slots,
        endpoints,
        log
    })
}

/// Runs the measurement.
pub fn run(options: &Options) -> Result<()> {
    let log = format!("[log]\nlevel = {}\n", options.log);
    let mut fleet = Fleet::start(Programs::build()?, NODES, &log)?;
    let slots = options.slots.to_string();
    let direct = fleet.start_upstream("near-1", 0, &["--service", "near", "--slots", &slots])?;
    fleet.start_upstream("far-1", 1, &["--service", "far", "--slots", &slots])?;
    let _announcer = Announcer::start(fleet.nodes[0].announce, direct, options);
    create_route(&fleet, "near")?;
    create_route(&fleet, "far")?;
    // The burst is split over shares, and an entry asks for half a second of its demand; this is
    // far above any load here, so that every call passes the limiter and none is refused.
    fleet.operate(&["account", "create", "load", "--rate", "1000000/s", "--burst", "1000000"])?;
    let issued = fleet.operate(&["key", "issue", "load", "--json"])?;
    let key = find_key(&issued).ok_or_else(|| eyre::eyre!("the output holds no key"))?;
    let entry = fleet.nodes[0].caller;
    let usable = wait_until(SETTLE_WITHIN, || {
        ["/near", "/far"].iter().all(|path| {
            send(entry, "GET", path, Some(&key)).is_ok_and(|answer| answer.status == 200)
        })
    });
    ensure!(usable, "the routes did not become usable");

    if options.endpoints > 1 {
        std::thread::sleep(ANNOUNCED_WITHIN);
    }
    let paths = Paths {
        direct: Target { addr: direct, path: "/near", key: None },
        near: Target { addr: entry, path: "/near", key: Some(key.clone()) },
        far: Target { addr: entry, path: "/far", key: Some(key) },
    };
    let pids: Vec<u32> = fleet.nodes.iter().map(|node| node.process.id()).collect();
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let report = runtime.block_on(measure(options, &paths, &pids))?;
    runtime.shutdown_timeout(Duration::from_secs(1));
    print!("{}", report.to_markdown(options));
    println!("stopping everything that was started");
    Ok(())
}

/// Announces further endpoints of the service "near" at the address of its upstream.
struct Announcer {
    stop: mpsc::Sender<()>,
    thread: Option<JoinHandle<()>>,
}

impl Announcer {
    fn start(node: SocketAddr, upstream: SocketAddr, options: &Options) -> Announcer {
        let (stop, stopped) = mpsc::channel();
        let (count, slots) = (options.endpoints, options.slots);
        let thread = std::thread::spawn(move || {
            let agent = ureq::Agent::new_with_defaults();
            let url = format!("http://{node}/v1/announce");
            // Announcements are due each second.
            while stopped.recv_timeout(Duration::from_secs(1)) == Err(RecvTimeoutError::Timeout) {
                for index in 2..=count {
                    let endpoint = serde_json::json!({
                        "name": format!("near-{index}"),
                        "service": "near",
                        "labels": {},
                        "addr": upstream,
                        "slots": slots,
                        "state": "ready",
                        "load": 0,
                    });
                    // An announcement that fails is repeated with the next one.
                    let _ = agent.post(&url).send_json(&endpoint);
                }
            }
        });
        Announcer { stop, thread: Some(thread) }
    }
}

impl Drop for Announcer {
    fn drop(&mut self) {
        let _ = self.stop.send(());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn create_route(fleet: &Fleet, name: &str) -> Result<()> {
    let prefix = format!("/{name}");
    let mut args = vec!["route", "create", name, "--prefix", &prefix, "--service", name];
    args.extend(["--access", "keyed", "--timeout-ms", "2000", "--idempotent", "GET,HEAD"]);
    args.extend(["--retry-budget", "20", "--floor", "50"]);
    fleet.operate(&args).map(drop)
}

/// The three paths of a call.
struct Paths {
    direct: Target,
    near: Target,
    far: Target,
}

async fn measure(options: &Options, paths: &Paths, pids: &[u32]) -> Result<Report> {
    let memory = Memory {
        ready: resident_kb(pids[0])?,
        idle: memory_with_idle(&paths.near, pids[0]).await?,
    };
    println!("saturating the node for {} s on each path", options.capacity_seconds);
    let near_capacity = saturate(&paths.near, options, pids).await?;
    let far_capacity = saturate(&paths.far, options, pids).await?;
    let half = near_capacity.rate().min(far_capacity.rate()) / 2.0;
    let rate = options.rate.unwrap_or(half);
    let mut report = Report {
        rate,
        memory,
        near_capacity,
        far_capacity,
        direct: Phase::new()?,
        near: Phase::new()?,
        far: Phase::new()?,
    };
    println!("load of {rate:.0} calls/s, {} s on each path", options.seconds);
    let direct = Client::connect(&paths.direct, options.connections).await?;
    let near = Client::connect(&paths.near, options.connections).await?;
    let far = Client::connect(&paths.far, options.connections).await?;
    let plan = Plan {
        arrivals: Arrivals::Every(Duration::from_secs_f64(1.0 / rate)),
        length: Duration::from_secs(options.seconds) / options.rounds,
        max_calls: MAX_CALLS,
    };
    for _ in 0..options.rounds {
        report.direct.run(&direct, plan, pids).await?;
        report.near.run(&near, plan, pids).await?;
        report.far.run(&far, plan, pids).await?;
    }
    Ok(report)
}

/// Sends on every connection as soon as the last answer is there.
async fn saturate(target: &Target, options: &Options, pids: &[u32]) -> Result<Phase> {
    let client = Client::connect(target, options.connections).await?;
    let plan = Plan {
        arrivals: Arrivals::AsAnswered,
        length: Duration::from_secs(options.capacity_seconds),
        max_calls: MAX_CALLS,
    };
    let mut phase = Phase::new()?;
    phase.run(&client, plan, pids).await?;
    Ok(phase)
}

/// Resident memory of a process while idle connections are open that have each carried a call.
async fn memory_with_idle(target: &Target, pid: u32) -> Result<u64> {
    let client = Client::connect(target, IDLE_CONNECTIONS).await?;
    let served = client.call_once_each().await?;
    ensure!(served == IDLE_CONNECTIONS, "{served} of {IDLE_CONNECTIONS} calls were served");
    resident_kb(pid)
}

/// Figures of one path.
struct Phase {
    latency: Histogram<u64>,
    round_p99: Vec<u64>,
    answered: u64,
    failed: BTreeMap<u16, u64>,
    took: Duration,
    /// Processor seconds of the nodes, the entry first.
    cpu: [f64; NODES],
}

impl Phase {
    fn new() -> Result<Phase> {
        Ok(Phase {
            latency: Histogram::new(3)?,
            round_p99: Vec::new(),
            answered: 0,
            failed: BTreeMap::new(),
            took: Duration::ZERO,
            cpu: [0.0; NODES],
        })
    }

    async fn run(&mut self, client: &Client, plan: Plan, pids: &[u32]) -> Result<()> {
        let before = processor_seconds(pids)?;
        let Outcome { latency, answered, failed, took } = client.run(plan).await?;
        let after = processor_seconds(pids)?;
        self.round_p99.push(latency.value_at_quantile(0.99));
        self.latency.add(latency)?;
        self.answered += answered;
        for (status, count) in failed {
            *self.failed.entry(status).or_default() += count;
        }
        self.took += took;
        for (index, total) in self.cpu.iter_mut().enumerate() {
            *total += after[index] - before[index];
        }
        Ok(())
    }

    /// Answers a second.
    fn rate(&self) -> f64 {
        self.answered as f64 / self.took.as_secs_f64()
    }

    /// Answers for one second of processor time of the entry.
    fn per_entry_core(&self) -> f64 {
        self.answered as f64 / self.cpu[0]
    }

    /// Answers for one second of processor time of all nodes together.
    fn per_core(&self) -> f64 {
        self.answered as f64 / self.cpu.iter().sum::<f64>()
    }
}

/// Resident memory of the entry, in KB.
struct Memory {
    ready: u64,
    idle: u64,
}

struct Report {
    rate: f64,
    memory: Memory,
    near_capacity: Phase,
    far_capacity: Phase,
    direct: Phase,
    near: Phase,
    far: Phase,
}

impl Report {
    fn to_markdown(&self, options: &Options) -> String {
        let mut out = self.head(options);
        out.push_str(
            "\n| of 100 calls | direct, µs | near, µs | added, µs | far, µs | added, µs |\n\
             |---|---|---|---|---|---|\n",
        );
        for share in [50.0, 90.0, 99.0, 99.9] {
            let at = |phase: &Phase| phase.latency.value_at_quantile(share / 100.0);
            let (direct, near, far) = (at(&self.direct), at(&self.near), at(&self.far));
            out.push_str(&format!(
                "| {share} | {direct} | {near} | {} | {far} | {} |\n",
                near as i64 - direct as i64,
                far as i64 - direct as i64,
            ));
        }
        out.push_str(
            "\n| phase | calls/s | answered | failed, by status | calls per core of the entry | calls per \
             core of both nodes | 99 of 100 in each round, µs |\n|---|---|---|---|---|---|---|\n",
        );
        for (name, phase) in [
            ("direct", &self.direct),
            ("near", &self.near),
            ("far", &self.far),
            ("near, saturated", &self.near_capacity),
            ("far, saturated", &self.far_capacity),
        ] {
            let Phase { answered, failed, round_p99, .. } = phase;
            let (entry, both) = match name {
                "direct" => ("-".to_owned(), "-".to_owned()),
                _ => (format!("{:.0}", phase.per_entry_core()), format!("{:.0}", phase.per_core())),
            };
            out.push_str(&format!(
                "| {name} | {:.0} | {answered} | {failed:?} | {entry} | {both} | {round_p99:?} |\n",
                phase.rate(),
            ));
        }
        out.push_str(&self.conclusions());
        out
    }

    fn head(&self, options: &Options) -> String {
        let args: Vec<String> = std::env::args().skip(1).collect();
        let cores = std::thread::available_parallelism().map_or(0, usize::from);
        let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
        let load: Vec<&str> = load.split(' ').take(2).collect();
        let Options { connections, slots, endpoints, .. } = options;
        format!(
            "\n`cargo xtask {}`: {cores} cores, load average {} over 1 and 5 minutes; {:.0} \
             calls/s on {connections} connections, {endpoints} endpoints near, {slots} slots each, log level {}.\n",
            args.join(" "),
            load.join(" and "),
            self.rate,
            options.log,
        )
    }

    /// Median over the rounds of what is added for 99 in 100 calls. Unlike the figure of the whole
    /// run it is not made up of the rounds in which other work held up the machine.
    fn median_added(&self, phase: &Phase) -> i64 {
        let rounds = phase.round_p99.iter().zip(&self.direct.round_p99);
        let mut added: Vec<i64> =
            rounds.map(|(through, direct)| *through as i64 - *direct as i64).collect();
        added.sort_unstable();
        added[added.len() / 2]
    }

    fn conclusions(&self) -> String {
        let p99 = |phase: &Phase| phase.latency.value_at_quantile(0.99);
        let verdict = |met: bool| if met { "met" } else { "missed" };
        let mut out = String::from("\n");
        for (name, phase) in [("near", &self.near), ("far", &self.far)] {
            let added = p99(phase) as i64 - p99(&self.direct) as i64;
            out.push_str(&format!(
                "* Added for 99 in 100 calls, {name}: {added} µs (median of the rounds {} µs), \
                 target at most {MAX_ADDED_MICROS} µs: {}.\n",
                self.median_added(phase),
                verdict(added <= MAX_ADDED_MICROS),
            ));
        }
        let per_core = [("near", &self.near_capacity), ("far", &self.far_capacity)];
        for (name, phase) in per_core {
            out.push_str(&format!(
                "* Calls for one core of the entry at saturation, {name}: {:.0}, target at least \
                 {MIN_CALLS_PER_CORE}: {}.\n",
                phase.per_entry_core(),
                verdict(phase.per_entry_core() >= MIN_CALLS_PER_CORE),
            ));
        }
        let Memory { ready, idle } = self.memory;
        out.push_str(&format!(
            "* Resident memory of the entry: {ready} KB when ready, {idle} KB with \
             {IDLE_CONNECTIONS} idle connections.\n"
        ));
        out
    }
}

/// Processor time that each process has used, in user and kernel mode.
fn processor_seconds(pids: &[u32]) -> Result<Vec<f64>> {
    pids.iter().map(|pid| process_seconds(*pid)).collect()
}

fn process_seconds(pid: u32) -> Result<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The name in parentheses may hold spaces; the fields after it are counted from the third.
    let (_, fields) = text.rsplit_once(')').ok_or_else(|| eyre::eyre!("no name in {text}"))?;
    let ticks: Vec<u64> = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .map(str::parse)
        .collect::<Result<_, _>>()
        .wrap_err("processor time is not a number")?;
    Ok(ticks.iter().sum::<u64>() as f64 / TICKS_PER_SECOND)
}

/// Resident memory of a process, in KB.
fn resident_kb(pid: u32) -> Result<u64> {
    status_field(pid, "VmRSS:")
}

/// A number from the status of a process.
pub fn status_field(pid: u32, field: &str) -> Result<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = text.lines().find_map(|line| line.strip_prefix(field));
    let value = line.and_then(|line| line.split_whitespace().next());
    value.and_then(|text| text.parse().ok()).ok_or_else(|| eyre::eyre!("{pid} has no {field}"))
}
