//! Slopes of limiter decisions.

use std::hint::black_box;
use std::time::{Duration, Instant};

use eyre::{Result, eyre};
use limits::{Allowances, Arrival, Decision, Owner, PARTITIONS, TokenRequest, shares};
use model::{Account, AccountName, Burst, Epoch, Incarnation, PartitionId, Rate, Time, Tokens};

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
    Ok(())
}

fn nanos(time: Duration) -> f64 {
    time.as_nanos() as f64 / DECISIONS as f64
}

fn names(count: usize) -> Result<Vec<AccountName>> {
    Ok((0..count).map(|index| format!("account-{index}").parse()).collect::<Result<_, _>>()?)
}

fn account() -> Account {
    Account { rate: Rate::per_second(600), burst: Burst(600) }
}

/// Requests that each get one token, of one share per account.
fn owner(names: &[AccountName]) -> Result<(Duration, usize)> {
    let account = account();
    let mut owner = Owner::new();
    for partition in 0..PARTITIONS {
        owner.gain(Time::ZERO, PartitionId(partition), Epoch(1))?;
    }
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
        black_box(owner.request(now, Time::NEVER, &account, req));
    }
    let bytes = resident_bytes()?.saturating_sub(before) / names.len();
    let started = Instant::now();
    for decision in 0..DECISIONS {
        now = now + Duration::from_micros(10);
        // A step that shares no factor with the sizes visits the accounts in a scattered order.
        let req = &mut requests[decision * 7_919 % names.len()];
        req.sequence += 1;
        black_box(owner.request(now, Time::NEVER, &account, req));
    }
    Ok((started.elapsed(), bytes))
}

/// Calls that each take a token, or ask for one and get it.
fn entry(names: &[AccountName]) -> Result<(Duration, usize)> {
    let account = account();
    let mut owner = Owner::new();
    for partition in 0..PARTITIONS {
        owner.gain(Time::ZERO, PartitionId(partition), Epoch(1))?;
    }
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
        if let Decision::Taken { asks, .. } | Decision::Ask { asks, .. } = taken {
            for req in asks {
                if let Some(answer) = owner.request(now, Time::NEVER, &account, &req) {
                    black_box(allowances.answered(now, &answer));
                }
            }
        }
    }
    Ok((spent, bytes))
}

/// Resident memory of this process, with pages of 4 KB.
fn resident_bytes() -> Result<usize> {
    let statm = std::fs::read_to_string("/proc/self/statm")?;
    let pages = statm.split_whitespace().nth(1).ok_or_else(|| eyre!("unexpected statm"))?;
    Ok(pages.parse::<usize>()? * 4096)
}
