//! Slopes of limiter decisions.

use std::hint::black_box;
use std::time::{Duration, Instant};

use eyre::{Result, eyre};
use limits::{Allowances, Arrival, Owner, TokenDecision, TokenRequest, shares};
use model::{Account, AccountName, Burst, Incarnation, Rate, Time, Tokens};
use routing::{RandomSource, SplitMix64};

/// Numbers of accounts with state in memory, the largest first.
const SIZES: [usize; 3] = [330_000, 10_000, 1_000];

/// Decisions per measurement.
const DECISIONS: usize = 500_000;

/// Prints the table of slopes.
pub fn run() -> Result<()> {
    println!("rate limits: processor time per decision and memory per account");
    println!(
        "{:>9} {:>10} {:>10} {:>12} {:>12}",
        "accounts", "owner ns", "entry ns", "owner B/acc", "entry B/acc"
    );
    for size in SIZES {
        let names = names(size)?;
        let (owner_time, owner_bytes) = owner(&names)?;
        let (entry_time, entry_bytes) = entry(&names)?;
        // Later, smaller sizes reuse freed memory, which resident memory does not show.
        let shown = |bytes: usize| if size == SIZES[0] { bytes.to_string() } else { "-".into() };
        println!(
            "{size:>9} {:>10.0} {:>10.0} {:>12} {:>12}",
            nanos(owner_time),
            nanos(entry_time),
            shown(owner_bytes),
            shown(entry_bytes),
        );
    }
    println!("requests of one entry in a second: for tokens, and with reports only");
    for (accounts, rate) in [(8, 10.0), (122, 6.4), (330, 2.36), (7_780, 0.1)] {
        let (wanting, reporting) = traffic(accounts, rate)?;
        println!("{accounts:>9} accounts at {rate:>5.2} calls/s: {wanting:>8.1} {reporting:>8.1}");
    }
    Ok(())
}

fn nanos(time: Duration) -> f64 {
    time.as_nanos() as f64 / DECISIONS as f64
}

fn names(count: usize) -> Result<Vec<AccountName>> {
    Ok((0..count).map(|index| format!("account-{index}").parse()).collect::<Result<_, _>>()?)
}

fn account() -> Account {
    Account { rate: Rate::per_second(600), burst: Burst(600), priority: None }
}

/// Requests that each get one token, of one share per account.
fn owner(names: &[AccountName]) -> Result<(Duration, usize)> {
    let account = account();
    let mut owner = Owner::new(Time::ZERO);
    let mut requests = Vec::with_capacity(names.len());
    for name in names {
        let share = shares(name, &account).next().ok_or_else(|| eyre!("no shares"))?;
        requests.push(TokenRequest {
            account: name.clone(),
            share: share.index,
            partition: share.partition,
            entry: Incarnation(1),
            sequence: 0,
            wanted: Tokens(1),
            spent: Vec::new(),
        });
    }
    let before = resident_bytes()?;
    let mut now = Time::from_micros(10_000_000);
    for req in &mut requests {
        req.sequence = 1;
        black_box(owner.request(now, &account, req));
    }
    let bytes = resident_bytes()?.saturating_sub(before) / names.len();
    let started = Instant::now();
    for decision in 0..DECISIONS {
        now = now + Duration::from_micros(10);
        // A step that shares no factor with the sizes visits the accounts in a scattered order.
        let req = &mut requests[decision * 7_919 % names.len()];
        req.sequence += 1;
        black_box(owner.request(now, &account, req));
    }
    let elapsed = started.elapsed();
    // Freed memory would be used again and spoil the figures that follow.
    std::mem::forget(owner);
    Ok((elapsed, bytes))
}

/// Calls that each take a token, or ask for one and get it.
fn entry(names: &[AccountName]) -> Result<(Duration, usize)> {
    let account = account();
    let mut owner = Owner::new(Time::ZERO);
    let before = resident_bytes()?;
    let mut allowances = Allowances::new(Incarnation(1));
    let mut now = Time::from_micros(10_000_000);
    for name in names {
        let wait_until = now + Duration::from_millis(100);
        black_box(allowances.take(now, name, &account, wait_until, Arrival::New));
    }
    let bytes = resident_bytes()?.saturating_sub(before) / names.len();
    let mut spent = Duration::ZERO;
    for decision in 0..DECISIONS {
        now = now + Duration::from_micros(10);
        let name = &names[decision * 7_919 % names.len()];
        let wait_until = now + Duration::from_millis(100);
        let started = Instant::now();
        let taken = allowances.take(now, name, &account, wait_until, Arrival::New);
        spent += started.elapsed();
        // The owner's part is not counted.
        if let TokenDecision::Taken { requests, .. } | TokenDecision::Request { requests, .. } =
            taken
        {
            for req in requests {
                if let Some(answer) = owner.request(now, &account, &req) {
                    black_box(allowances.handle_answer(now, &answer));
                }
            }
        }
    }
    std::mem::forget(allowances);
    Ok((spent, bytes))
}

/// Requests for tokens that one entry sends in a second, with calls of `accounts` accounts at
/// `calls_per_second` each, at random times.
fn traffic(accounts: usize, calls_per_second: f64) -> Result<(f64, f64)> {
    const SECONDS: u64 = 20;
    const STEP: Duration = Duration::from_millis(1);
    let account = account();
    let names = names(accounts)?;
    let mut owner = Owner::new(Time::ZERO);
    let mut allowances = Allowances::new(Incarnation(1));
    let mut random = SplitMix64::new(7);
    let (mut wanting, mut reporting) = (0_u64, 0_u64);
    let start = Time::from_micros(10_000_000);
    let mut now = start;
    while now.since(start) < Duration::from_secs(SECONDS) {
        now = now + STEP;
        let mut requests = allowances.tick(now);
        for name in &names {
            let chance = calls_per_second * STEP.as_secs_f64();
            if (random.next_u64() as f64 / u64::MAX as f64) < chance {
                let wait_until = now + Duration::from_millis(200);
                match allowances.take(now, name, &account, wait_until, Arrival::New) {
                    TokenDecision::Taken { requests: more, .. }
                    | TokenDecision::Request { requests: more, .. } => {
                        requests.extend(more);
                    }
                    TokenDecision::Wait { .. } | TokenDecision::Refused { .. } => {}
                }
            }
        }
        while let Some(req) = requests.pop() {
            match req.wanted.0 {
                0 => reporting += 1,
                _ => wanting += 1,
            }
            if let Some(answer) = owner.request(now, &account, &req) {
                requests.extend(allowances.handle_answer(now, &answer).requests);
            }
        }
    }
    Ok((wanting as f64 / SECONDS as f64, reporting as f64 / SECONDS as f64))
}

/// Resident memory of this process, with pages of 4 KB.
fn resident_bytes() -> Result<usize> {
    let statm = std::fs::read_to_string("/proc/self/statm")?;
    let pages = statm.split_whitespace().nth(1).ok_or_else(|| eyre!("unexpected statm"))?;
    Ok(pages.parse::<usize>()? * 4096)
}
