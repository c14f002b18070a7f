//! Measures wrongful refusals of the rate limits, in virtual time.
//!
//! A refusal is wrongful if one bucket with the rate and burst of the account, which sees every
//! call at once, would have admitted the call. All limiters see the same calls and faults.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use eyre::Result;
use hdrhistogram::Histogram;
use limits::{
    Allowances, Arrival, Decision, Handover, Owner, PARTITIONS, TokenAnswer, TokenRequest, shares,
};
use model::{
    Account, AccountName, Burst, Epoch, Incarnation, PartitionId, Rate, ResultCode, Time,
    rendezvous_score,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const NANO: i128 = 1_000_000_000;
const SECOND: u64 = 1_000_000;
/// A call may wait for a tenth of its deadline of 1 s.
const WAIT: u64 = SECOND / 10;
/// Time until the fleet has started; buckets start empty. Calls before are not counted.
const WARM_UP: u64 = 30 * SECOND;
/// Time from the loss of an owner until its successor grants: 2 s without a heartbeat, 10 ms for
/// the write, 3 s for the lease and 1.2 s for grants.
const TAKEOVER: u64 = 6_210_000;
/// Time for which a restarting node is away.
const RESTART: u64 = 5 * SECOND;
/// How often an entry calls `Allowances::tick`.
const TICK: u64 = 20_000;
/// One-way latency between nodes of the same failure domain.
const LOCAL_LATENCY: u64 = 200;
/// Share of the calls that arrive at the first entry.
const SKEW: f64 = 0.8;
/// Load of the accounts within their rate.
const LOAD: f64 = 0.8;

/// Prints the table of measures.
pub fn run() -> Result<()> {
    println!("rate limits: wrongful refusals of accounts within their rate");
    println!(
        "one node per endpoint; 8 accounts, one at 10 times and one at 5 times its rate, the others \
         at {LOAD} of it; {SKEW} of the calls at one entry; Poisson arrivals"
    );
    println!(
        "{:<12} {:<22} {:<12} {:>5} {:>9} {:>10} {:>10} {:>9} {:>9} {:>8} {:>6} {:>8}",
        "deployment",
        "scenario",
        "limiter",
        "seeds",
        "calls",
        "refused",
        "worst acc",
        "target",
        "result",
        "overspent",
        "p99 ms",
        "msg/s/n"
    );
    for fleet in [Fleet::brindlecote(), Fleet::ledgerpine()] {
        for scenario in [Scenario::Steady, Scenario::OwnerLost, Scenario::NoPlatform] {
            for limiter in [Limiter::Allowances, Limiter::FixedShare, Limiter::OneOwner] {
                print_row(&fleet, scenario, limiter)?;
            }
        }
    }
    Ok(())
}

fn print_row(fleet: &Fleet, scenario: Scenario, limiter: Limiter) -> Result<()> {
    let mut total = Tally::new(fleet)?;
    for &seed in scenario.seeds() {
        let mut tally = Tally::new(fleet)?;
        let calls = Calls::new(fleet, scenario, seed);
        match limiter {
            Limiter::Allowances => Granted::new(fleet, scenario).run(calls, &mut tally),
            Limiter::FixedShare => fixed_share(fleet, calls, &mut tally),
            Limiter::OneOwner => one_owner(fleet, scenario, calls, &mut tally),
        }
        total.add(&tally)?;
    }
    let bound = scenario.bound(fleet);
    let refused = total.refused_share();
    let met = if refused <= bound { "met" } else { "missed" };
    let seconds = (scenario.end() - WARM_UP) as f64 / SECOND as f64;
    let node_seconds = seconds * scenario.seeds().len() as f64 * fleet.nodes.len() as f64;
    println!(
        "{:<12} {:<22} {:<12} {:>5} {:>9} {:>9.4}% {:>9.4}% {:>8.3}% {:>9} {:>8} {:>6.1} {:>8.1}",
        fleet.name,
        scenario.name(),
        limiter.name(),
        format!("{}..{}", scenario.seeds()[0], scenario.seeds()[scenario.seeds().len() - 1]),
        total.admissible.iter().sum::<u64>(),
        refused * 100.0,
        total.worst_account() * 100.0,
        bound * 100.0,
        met,
        total.overspent,
        total.waits.value_at_quantile(0.99) as f64 / 1000.0,
        total.messages as f64 / node_seconds,
    );
    if limiter == Limiter::Allowances {
        println!(
            "{:<12} refused as {}: {}, as {}: {}; accounts above their rate get {:.1}% and {:.1}%",
            "",
            ResultCode::RateExceeded.number(),
            total.rate_exceeded,
            ResultCode::LimiterUnavailable.number(),
            total.unavailable,
            total.served_share(TEN_TIMES) * 100.0,
            total.served_share(FIVE_TIMES) * 100.0,
        );
    }
    Ok(())
}

/// Positions of the accounts above their rate.
const TEN_TIMES: usize = 3;
const FIVE_TIMES: usize = 4;

/// Rates and bursts of the accounts; the first two are large.
const ACCOUNTS: [(u32, u32); 8] =
    [(200, 200), (120, 120), (40, 60), (20, 30), (20, 30), (10, 20), (5, 10), (2, 5)];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Limiter {
    Allowances,
    FixedShare,
    OneOwner,
}

impl Limiter {
    fn name(self) -> &'static str {
        match self {
            Limiter::Allowances => "allowances",
            Limiter::FixedShare => "fixed share",
            Limiter::OneOwner => "one owner",
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scenario {
    Steady,
    OwnerLost,
    NoPlatform,
}

impl Scenario {
    fn name(self) -> &'static str {
        match self {
            Scenario::Steady => "steady, 10 min",
            Scenario::OwnerLost => "minute after a loss",
            Scenario::NoPlatform => "2 h without platform",
        }
    }

    fn seeds(self) -> &'static [u64] {
        match self {
            Scenario::Steady => &[1, 2, 3],
            Scenario::OwnerLost => &[1, 2, 3, 4, 5],
            Scenario::NoPlatform => &[1],
        }
    }

    fn end(self) -> u64 {
        WARM_UP
            + match self {
                Scenario::Steady => 600 * SECOND,
                Scenario::OwnerLost => 60 * SECOND,
                Scenario::NoPlatform => 7_200 * SECOND,
            }
    }

    /// Crashes, and graceful stops of nodes that come back.
    fn faults(self, fleet: &Fleet) -> Vec<(u64, Event)> {
        let lost = fleet.busiest_owner();
        match self {
            Scenario::Steady => Vec::new(),
            Scenario::OwnerLost => vec![(WARM_UP, Event::Crash(lost))],
            Scenario::NoPlatform => {
                let mut faults = vec![(WARM_UP + 600 * SECOND, Event::Crash(lost))];
                let others = (1..fleet.nodes.len()).filter(|&node| node != lost);
                for (count, node) in others.take(10).enumerate() {
                    let at = WARM_UP + (900 + 600 * count as u64) * SECOND;
                    faults.push((at, Event::Stop(node)));
                    faults.push((at + RESTART, Event::Start(node)));
                }
                faults
            }
        }
    }

    /// Largest share of the calls that may be refused wrongly.
    fn bound(self, fleet: &Fleet) -> f64 {
        match self {
            Scenario::Steady => 0.001,
            Scenario::OwnerLost => 0.01,
            Scenario::NoPlatform => fleet.bound_without(fleet.busiest_owner()),
        }
    }
}

/// A deployment.
struct Fleet {
    name: &'static str,
    nodes: Vec<usize>,
    latency: u64,
    accounts: Vec<(AccountName, Account)>,
    /// Nodes of each partition by descending rank.
    ranks: Vec<Vec<usize>>,
}

impl Fleet {
    fn brindlecote() -> Fleet {
        Fleet::new("Brindlecote", 38, 4, 1_500)
    }

    fn ledgerpine() -> Fleet {
        Fleet::new("Ledgerpine", 33, 3, 1_000)
    }

    fn new(name: &'static str, nodes: usize, domains: usize, latency: u64) -> Fleet {
        let account = |(index, (rate, burst)): (usize, (u32, u32))| {
            let id = format!("{}-{index}", name.to_lowercase());
            let name = id.parse().expect("the name has only letters, digits and a hyphen");
            (name, Account { rate: Rate::per_second(rate), burst: Burst(burst) })
        };
        let accounts = ACCOUNTS.into_iter().enumerate().map(account).collect();
        let rank = |partition: u16| {
            let mut ranked: Vec<usize> = (0..nodes).collect();
            let key = format!("partition/{partition}");
            ranked.sort_by_key(|node| Reverse(rendezvous_score(&key, &format!("node-{node}"))));
            ranked
        };
        let ranks = (0..PARTITIONS).map(rank).collect();
        let nodes = (0..nodes).map(|node| node % domains).collect();
        Fleet { name, nodes, latency, accounts, ranks }
    }

    fn latency(&self, one: usize, two: usize) -> u64 {
        if one == two {
            0
        } else if self.nodes[one] == self.nodes[two] {
            LOCAL_LATENCY
        } else {
            self.latency
        }
    }

    /// Number of an account's shares whose partition belongs to a node.
    fn shares_of(&self, account: usize, node: usize) -> usize {
        let (name, account) = &self.accounts[account];
        let owner = |partition: PartitionId| self.ranks[usize::from(partition.0)][0];
        shares(name, account).filter(|share| owner(share.partition) == node).count()
    }

    /// The node, other than the first entry, whose loss costs most of the rate of the accounts
    /// within their rate.
    fn busiest_owner(&self) -> usize {
        let rate_of = |node: usize| -> u64 {
            let accounts = (0..ACCOUNTS.len()).filter(|&account| is_within_rate(account));
            let lost = accounts.map(|a| self.shares_of(a, node) as u64 * u64::from(ACCOUNTS[a].0));
            lost.sum()
        };
        let others = 1..self.nodes.len();
        others.max_by_key(|&node| rate_of(node)).unwrap_or(1)
    }

    /// Share of the calls within the rate that exceed what is left of the rate without a node,
    /// plus the 1 in 1,000 of the steady state.
    fn bound_without(&self, node: usize) -> f64 {
        let (mut offered, mut missing) = (0.0, 0.0);
        for account in (0..ACCOUNTS.len()).filter(|&account| is_within_rate(account)) {
            let (name, cfg) = &self.accounts[account];
            let count = shares(name, cfg).count() as f64;
            let rate = f64::from(ACCOUNTS[account].0);
            let left = rate * (1.0 - self.shares_of(account, node) as f64 / count);
            offered += rate * LOAD;
            missing += (rate * LOAD - left).max(0.0);
        }
        missing / offered + 0.001
    }
}

fn is_within_rate(account: usize) -> bool {
    account != TEN_TIMES && account != FIVE_TIMES
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Call { account: usize, entry: usize },
    Crash(usize),
    Stop(usize),
    Start(usize),
}

/// Calls and faults in the order of time.
struct Calls<'a> {
    random: StdRng,
    fleet: &'a Fleet,
    /// Time of the next call of each account.
    next: BinaryHeap<Reverse<(u64, usize)>>,
    faults: VecDeque<(u64, Event)>,
    up: Vec<bool>,
    end: u64,
}

impl<'a> Calls<'a> {
    fn new(fleet: &'a Fleet, scenario: Scenario, seed: u64) -> Calls<'a> {
        let mut calls = Calls {
            random: StdRng::seed_from_u64(seed),
            fleet,
            next: BinaryHeap::new(),
            faults: scenario.faults(fleet).into(),
            up: vec![true; fleet.nodes.len()],
            end: scenario.end(),
        };
        for account in 0..ACCOUNTS.len() {
            calls.schedule(0, account);
        }
        calls
    }

    fn schedule(&mut self, after: u64, account: usize) {
        let load = match account {
            TEN_TIMES => 10.0,
            FIVE_TIMES => 5.0,
            _ => LOAD,
        };
        let rate = f64::from(ACCOUNTS[account].0) * load;
        let uniform: f64 = self.random.random();
        let gap = -(1.0 - uniform).ln() / rate * SECOND as f64;
        self.next.push(Reverse((after + gap as u64 + 1, account)));
    }

    /// Callers of a node that is away connect to another one.
    fn entry(&mut self) -> usize {
        let nodes = self.fleet.nodes.len();
        let skewed = self.random.random::<f64>() < SKEW;
        let any = self.random.random_range(0..nodes);
        let mut entry = if skewed { 0 } else { any };
        while !self.up[entry] {
            entry = (entry + 1) % nodes;
        }
        entry
    }
}

impl Iterator for Calls<'_> {
    type Item = (u64, Event);

    fn next(&mut self) -> Option<(u64, Event)> {
        let &Reverse((at, account)) = self.next.peek()?;
        if let Some(&(fault_at, fault)) = self.faults.front()
            && fault_at <= at
        {
            self.faults.pop_front();
            match fault {
                Event::Crash(node) | Event::Stop(node) => self.up[node] = false,
                Event::Start(node) => self.up[node] = true,
                Event::Call { .. } => {}
            }
            return Some((fault_at, fault));
        }
        if at >= self.end {
            return None;
        }
        self.next.pop();
        self.schedule(at, account);
        let entry = self.entry();
        Some((at, Event::Call { account, entry }))
    }
}

/// A bucket that lets calls wait for tokens to come.
#[derive(Clone)]
struct Reference {
    rate_milli: i128,
    burst: i128,
    level: i128,
    at: u64,
}

impl Reference {
    fn full(account: &Account) -> Reference {
        Reference::new(account.rate.milli_per_second(), account.burst.0, 0)
    }

    fn new(rate_milli: u64, burst: u32, at: u64) -> Reference {
        let burst = i128::from(burst) * NANO;
        Reference { rate_milli: i128::from(rate_milli), burst, level: burst, at }
    }

    /// Takes a token that is there within `wait`, and returns how long the call waits.
    fn take(&mut self, now: u64, wait: u64) -> Option<u64> {
        let refill = self.rate_milli * i128::from(now.saturating_sub(self.at));
        self.level = (self.level + refill).min(self.burst);
        self.at = self.at.max(now);
        if self.burst < NANO {
            return None;
        }
        let missing = (NANO - self.level).max(0);
        if missing > self.rate_milli * i128::from(wait) {
            return None;
        }
        self.level -= NANO;
        Some((missing / self.rate_milli.max(1)) as u64)
    }
}

/// Results of a run.
struct Tally {
    ideal: Vec<Reference>,
    /// A bucket that starts full and never runs out, unless a window exceeds burst + rate x t.
    windows: Vec<Reference>,
    admissible: Vec<u64>,
    served: Vec<u64>,
    wrongful: Vec<u64>,
    rate_exceeded: u64,
    unavailable: u64,
    overspent: u64,
    waits: Histogram<u64>,
    messages: u64,
}

impl Tally {
    fn new(fleet: &Fleet) -> Result<Tally> {
        let full: Vec<_> = fleet.accounts.iter().map(|(_, cfg)| Reference::full(cfg)).collect();
        let zeros = vec![0; full.len()];
        Ok(Tally {
            ideal: full.clone(),
            windows: full,
            admissible: zeros.clone(),
            served: zeros.clone(),
            wrongful: zeros,
            rate_exceeded: 0,
            unavailable: 0,
            overspent: 0,
            waits: Histogram::new(3)?,
            messages: 0,
        })
    }

    /// Counts a call; returns whether a refusal of it would be wrongful.
    fn arrived(&mut self, now: u64, account: usize) -> bool {
        let admitted = self.ideal[account].take(now, WAIT).is_some();
        if admitted && now >= WARM_UP {
            self.admissible[account] += u64::from(is_within_rate(account));
        }
        admitted
    }

    fn taken(&mut self, arrived: u64, now: u64, account: usize) {
        if self.windows[account].take(now, 0).is_none() {
            self.overspent += 1;
        }
        if arrived >= WARM_UP {
            self.served[account] += 1;
            if is_within_rate(account) {
                self.waits.saturating_record(now - arrived);
            }
        }
    }

    fn refused(&mut self, arrived: u64, account: usize, admissible: bool, code: ResultCode) {
        if !admissible || arrived < WARM_UP || !is_within_rate(account) {
            return;
        }
        self.wrongful[account] += 1;
        match code {
            ResultCode::RateExceeded => self.rate_exceeded += 1,
            _ => self.unavailable += 1,
        }
    }

    fn add(&mut self, other: &Tally) -> Result<()> {
        let sum =
            |to: &mut Vec<u64>, from: &[u64]| to.iter_mut().zip(from).for_each(|(t, f)| *t += f);
        sum(&mut self.admissible, &other.admissible);
        sum(&mut self.served, &other.served);
        sum(&mut self.wrongful, &other.wrongful);
        self.rate_exceeded += other.rate_exceeded;
        self.unavailable += other.unavailable;
        self.overspent += other.overspent;
        self.messages += other.messages;
        // The bucket of an account above its rate is used to count what it could have had.
        for (to, from) in self.ideal.iter_mut().zip(&other.ideal) {
            to.at += from.at - WARM_UP;
        }
        self.waits.add(&other.waits)?;
        Ok(())
    }

    fn refused_share(&self) -> f64 {
        self.wrongful.iter().sum::<u64>() as f64 / self.admissible.iter().sum::<u64>() as f64
    }

    fn worst_account(&self) -> f64 {
        let shares = self.wrongful.iter().zip(&self.admissible);
        let shares = shares.filter(|(_, all)| **all > 0).map(|(w, all)| *w as f64 / *all as f64);
        shares.fold(0.0, f64::max)
    }

    /// Tokens of an account above its rate, relative to its rate.
    fn served_share(&self, account: usize) -> f64 {
        let seconds = self.ideal[account].at as f64 / SECOND as f64;
        self.served[account] as f64 / (seconds * f64::from(ACCOUNTS[account].0))
    }
}

/// Baseline: each node has a fixed share of the rate and burst of each account.
fn fixed_share(fleet: &Fleet, calls: Calls<'_>, tally: &mut Tally) {
    let nodes = fleet.nodes.len() as u32;
    let bucket = |cfg: &Account, node: u32| {
        let count = nodes.min(cfg.burst.0);
        if node >= count {
            return Reference::new(0, 0, 0);
        }
        let burst = cfg.burst.0 / count + u32::from(node < cfg.burst.0 % count);
        Reference::new(cfg.rate.milli_per_second() / u64::from(count), burst, 0)
    };
    let buckets = |(_, cfg): &(_, Account)| (0..nodes).map(|node| bucket(cfg, node)).collect();
    let mut buckets: Vec<Vec<Reference>> = fleet.accounts.iter().map(buckets).collect();
    let mut taken = BinaryHeap::new();
    for (now, event) in calls {
        settle(&mut taken, now, tally);
        let Event::Call { account, entry } = event else { continue };
        let admissible = tally.arrived(now, account);
        match buckets[account][entry].take(now, WAIT) {
            Some(wait) => taken.push(Reverse((now + wait, now, account))),
            None => tally.refused(now, account, admissible, ResultCode::RateExceeded),
        }
    }
    settle(&mut taken, u64::MAX, tally);
}

/// Baseline: the owner of an account's partition is asked at each call.
fn one_owner(fleet: &Fleet, scenario: Scenario, calls: Calls<'_>, tally: &mut Tally) {
    let partition = |(name, cfg): &(_, Account)| {
        shares(name, cfg).next().map_or(0, |share| usize::from(share.partition.0))
    };
    let partitions: Vec<usize> = fleet.accounts.iter().map(partition).collect();
    let mut buckets: Vec<_> = fleet.accounts.iter().map(|(_, cfg)| Reference::full(cfg)).collect();
    let mut owners: Vec<usize> = partitions.iter().map(|&part| fleet.ranks[part][0]).collect();
    let mut back_at = vec![0; owners.len()];
    let mut up = vec![true; fleet.nodes.len()];
    let mut taken = BinaryHeap::new();
    for (now, event) in calls {
        settle(&mut taken, now, tally);
        match event {
            Event::Call { account, entry } => {
                let admissible = tally.arrived(now, account);
                let latency = fleet.latency(entry, owners[account]);
                tally.messages += 2 * u64::from(now >= WARM_UP);
                if now < back_at[account] {
                    tally.refused(now, account, admissible, ResultCode::LimiterUnavailable);
                    continue;
                }
                match buckets[account].take(now + latency, WAIT - 2 * latency) {
                    Some(wait) => {
                        taken.push(Reverse((now + 2 * latency + wait, now, account)));
                    }
                    None => tally.refused(now, account, admissible, ResultCode::RateExceeded),
                }
            }
            Event::Start(node) => up[node] = true,
            Event::Crash(node) | Event::Stop(node) => {
                up[node] = false;
                let crashed = matches!(event, Event::Crash(_));
                for account in 0..owners.len() {
                    if owners[account] != node {
                        continue;
                    }
                    if crashed && scenario == Scenario::NoPlatform {
                        back_at[account] = u64::MAX;
                        continue;
                    }
                    let ranked = &fleet.ranks[partitions[account]];
                    owners[account] = ranked.iter().copied().find(|&n| up[n]).unwrap_or(node);
                    if crashed {
                        back_at[account] = now + TAKEOVER;
                        buckets[account].level = 0;
                        buckets[account].at = now + TAKEOVER;
                    }
                }
            }
        }
    }
    settle(&mut taken, u64::MAX, tally);
}

/// Counts tokens in the order in which they are taken.
fn settle(taken: &mut BinaryHeap<Reverse<(u64, u64, usize)>>, now: u64, tally: &mut Tally) {
    while let Some(&Reverse((at, arrived, account))) = taken.peek() {
        if at > now {
            break;
        }
        taken.pop();
        tally.taken(arrived, at, account);
    }
}

/// A call that waits for a token.
struct Waiting {
    arrived: u64,
    admissible: bool,
}

enum Step {
    Request(usize, TokenRequest),
    Answer(usize, TokenAnswer),
    Handover(usize, Box<Handover>),
    Gain(usize, PartitionId),
    Retry { entry: usize, account: usize },
    Tick(usize),
}

/// The limiter of the product.
struct Granted<'a> {
    fleet: &'a Fleet,
    scenario: Scenario,
    now: u64,
    entries: Vec<Allowances>,
    owners: Vec<Owner>,
    up: Vec<bool>,
    /// Node that holds each partition, if any does.
    holders: Vec<Option<usize>>,
    epoch: u64,
    waiting: Vec<Vec<VecDeque<Waiting>>>,
    /// When the waiting calls of an entry and account try again.
    retry_at: Vec<[u64; ACCOUNTS.len()]>,
    steps: BinaryHeap<Reverse<(u64, u64)>>,
    details: std::collections::HashMap<u64, Step>,
    step: u64,
}

impl<'a> Granted<'a> {
    fn new(fleet: &'a Fleet, scenario: Scenario) -> Granted<'a> {
        let nodes = fleet.nodes.len();
        let entry = |node: usize| Allowances::new(Incarnation(node as u64));
        let waiting = || ACCOUNTS.iter().map(|_| VecDeque::new()).collect();
        let mut granted = Granted {
            fleet,
            scenario,
            now: 0,
            entries: (0..nodes).map(entry).collect(),
            owners: (0..nodes).map(|_| Owner::new()).collect(),
            up: vec![true; nodes],
            holders: fleet.ranks.iter().map(|ranked| Some(ranked[0])).collect(),
            epoch: 1,
            waiting: (0..nodes).map(|_| waiting()).collect(),
            retry_at: vec![[u64::MAX; ACCOUNTS.len()]; nodes],
            steps: BinaryHeap::new(),
            details: std::collections::HashMap::new(),
            step: 0,
        };
        for partition in 0..PARTITIONS {
            let node = fleet.ranks[usize::from(partition)][0];
            granted.gain(node, PartitionId(partition));
        }
        for node in 0..nodes {
            granted.schedule(node as u64 * TICK / nodes as u64, Step::Tick(node));
        }
        granted
    }

    fn run(mut self, calls: Calls<'_>, tally: &mut Tally) {
        let end = self.scenario.end();
        for (at, event) in calls {
            self.steps_until(at, tally);
            self.now = at;
            match event {
                Event::Call { account, entry } => {
                    let admissible = tally.arrived(at, account);
                    let call = Waiting { arrived: at, admissible };
                    self.take(entry, account, call, Arrival::New, tally);
                }
                Event::Crash(node) => self.crash(node),
                Event::Stop(node) => self.stop(node),
                Event::Start(node) => {
                    self.up[node] = true;
                    self.epoch += 1;
                    let incarnation = self.epoch * 1_000 + node as u64;
                    self.entries[node] = Allowances::new(Incarnation(incarnation));
                }
            }
        }
        self.steps_until(end + 2 * WAIT, tally);
    }

    fn schedule(&mut self, at: u64, step: Step) {
        self.step += 1;
        self.details.insert(self.step, step);
        self.steps.push(Reverse((at, self.step)));
    }

    fn steps_until(&mut self, until: u64, tally: &mut Tally) {
        while let Some(&Reverse((at, id))) = self.steps.peek() {
            if at > until {
                break;
            }
            self.steps.pop();
            self.now = at;
            let Some(step) = self.details.remove(&id) else { continue };
            self.perform(step, tally);
        }
    }

    fn perform(&mut self, step: Step, tally: &mut Tally) {
        let now = Time::from_micros(self.now);
        match step {
            Step::Request(node, req) => {
                if !self.up[node] {
                    return;
                }
                let accounts = &self.fleet.accounts;
                let Some((_, cfg)) = accounts.iter().find(|(name, _)| *name == req.account) else {
                    return;
                };
                let Some(answer) = self.owners[node].request(now, Time::NEVER, cfg, &req) else {
                    return;
                };
                let entry = (req.entry.0 % 1_000) as usize;
                let at = self.now + self.fleet.latency(node, entry);
                tally.messages += u64::from(self.now >= WARM_UP);
                self.schedule(at, Step::Answer(entry, answer));
            }
            Step::Answer(entry, answer) => {
                let wake = self.entries[entry].answered(now, &answer);
                self.send(entry, wake.asks, tally);
                let accounts = &self.fleet.accounts;
                let account = accounts.iter().position(|(name, _)| *name == answer.account);
                if let Some(account) = account {
                    self.retry(entry, account, tally);
                }
            }
            Step::Handover(node, handover) => {
                let accepted = self.owners[node].accept(now, *handover);
                accepted.expect("the partition was not held since under a later epoch");
            }
            Step::Gain(node, partition) => self.gain(node, partition),
            Step::Retry { entry, account } => {
                if self.retry_at[entry][account] == self.now {
                    self.retry(entry, account, tally);
                }
            }
            Step::Tick(node) => {
                if self.entries[node].next_visit() <= now {
                    let requests = self.entries[node].tick(now);
                    self.send(node, requests, tally);
                }
                self.owners[node].sweep(now);
                self.schedule(self.now + TICK, Step::Tick(node));
            }
        }
    }

    fn gain(&mut self, node: usize, partition: PartitionId) {
        self.epoch += 1;
        let now = Time::from_micros(self.now);
        let gained = self.owners[node].gain(now, partition, Epoch(self.epoch));
        gained.expect("each change of owner has a new epoch");
        self.holders[usize::from(partition.0)] = Some(node);
    }

    fn successor(&self, partition: usize) -> Option<usize> {
        self.fleet.ranks[partition].iter().copied().find(|&node| self.up[node])
    }

    fn crash(&mut self, node: usize) {
        self.up[node] = false;
        self.owners[node] = Owner::new();
        for partition in 0..self.holders.len() {
            if self.holders[partition] != Some(node) {
                continue;
            }
            // Requests go to the lost node, which does not answer, until there is a successor.
            let Some(next) = self.successor(partition) else { continue };
            if self.scenario != Scenario::NoPlatform {
                let partition = PartitionId(partition as u16);
                self.schedule(self.now + TAKEOVER, Step::Gain(next, partition));
            }
        }
    }

    fn stop(&mut self, node: usize) {
        self.up[node] = false;
        let now = Time::from_micros(self.now);
        let held: Vec<PartitionId> = self.owners[node].partitions().collect();
        for partition in held {
            let index = usize::from(partition.0);
            let Some(next) = self.successor(index) else { continue };
            let Ok(handover) = self.owners[node].hand_over(now, partition) else { continue };
            self.holders[index] = Some(next);
            let at = self.now + self.fleet.latency(node, next);
            self.schedule(at, Step::Handover(next, Box::new(handover)));
        }
    }

    fn send(&mut self, entry: usize, requests: Vec<TokenRequest>, tally: &mut Tally) {
        for req in requests {
            tally.messages += u64::from(self.now >= WARM_UP);
            let Some(node) = self.holders[usize::from(req.partition.0)] else { continue };
            self.schedule(self.now + self.fleet.latency(entry, node), Step::Request(node, req));
        }
    }

    fn retry(&mut self, entry: usize, account: usize, tally: &mut Tally) {
        let calls = std::mem::take(&mut self.waiting[entry][account]);
        self.retry_at[entry][account] = u64::MAX;
        for call in calls {
            self.take(entry, account, call, Arrival::Waited, tally);
        }
    }

    fn take(
        &mut self,
        entry: usize,
        account: usize,
        call: Waiting,
        arrival: Arrival,
        tally: &mut Tally,
    ) {
        let now = Time::from_micros(self.now);
        let (name, cfg) = &self.fleet.accounts[account];
        let wait_until = Time::from_micros(call.arrived) + Duration::from_micros(WAIT);
        match self.entries[entry].take(now, name, cfg, wait_until, arrival) {
            Decision::Taken { asks, .. } => {
                tally.taken(call.arrived, self.now, account);
                self.send(entry, asks, tally);
            }
            Decision::Refused { code, .. } => {
                tally.refused(call.arrived, account, call.admissible, code);
            }
            Decision::Ask { asks, until } => {
                self.send(entry, asks, tally);
                self.wait(entry, account, call, until);
            }
            Decision::Wait { until } => self.wait(entry, account, call, until),
        }
    }

    fn wait(&mut self, entry: usize, account: usize, call: Waiting, until: Time) {
        self.waiting[entry][account].push_back(call);
        let at = until.as_micros().max(self.now + 1);
        if at < self.retry_at[entry][account] {
            self.retry_at[entry][account] = at;
            self.schedule(at, Step::Retry { entry, account });
        }
    }
}
