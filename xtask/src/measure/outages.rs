//! Measures retries while endpoints of a service refuse connections, in virtual time with a fixed
//! seed.
//!
//! The guards are taken not to withdraw their endpoints, and the entries not to avoid them, so that
//! the figures are an upper bound.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use model::{Percent, ResultCode, Time};
use routing::{
    AttemptEnd, Body, CallAttempts, CallKind, Evidence, Idempotence, Next, RandomSource,
    RetryBudget, SplitMix64,
};

/// Healthy time before the outage, longer than the window of the budget.
const HEALTHY_SECONDS: f64 = 10.0;

/// Length of the outage.
const OUTAGE_SECONDS: f64 = 60.0;

/// Time until a refused connection is known at the entry, and until an answer is.
const REFUSED_AFTER: Duration = Duration::from_millis(3);
const ANSWERED_AFTER: Duration = Duration::from_millis(50);

const SEED: u64 = 6;

/// Which retries the budget grants after refused connections.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Mechanism {
    /// As many as there are answers, and a share of the calls.
    AnswersAndShare,
    /// A share of the calls, as before answers were counted.
    Share,
}

struct Call {
    attempts: CallAttempts,
    entry: usize,
    tried: Vec<usize>,
    is_counted: bool,
}

struct Outcome {
    attempts_per_call: f64,
    refused: f64,
}

/// Prints the table.
pub fn run() {
    println!("\ncalls (d): endpoints of a service refuse connections for a minute after 10 s");
    println!("without a fault; the others answer; seed {SEED}; no guard withdraws its endpoint");
    println!(
        "{:<10} {:>8} {:<9} {:<16} {:>9} {:>9}",
        "endpoints", "calls/s", "refusing", "mechanism", "attempts", "not run"
    );
    for (entries, endpoints, calls_per_second) in
        [(3, 3usize, 60.0), (38, 14, 420.0), (33, 12, 360.0)]
    {
        for (name, down) in [("one", 1), ("half", endpoints.div_ceil(2)), ("all", endpoints)] {
            for mechanism in [Mechanism::Share, Mechanism::AnswersAndShare] {
                let outcome = outage(entries, endpoints, down, calls_per_second, mechanism);
                println!(
                    "{endpoints:<10} {calls_per_second:>8.0} {name:<9} {:<16} {:>8.3}x {:>8.2}%",
                    format!("{mechanism:?}"),
                    outcome.attempts_per_call,
                    outcome.refused * 100.0,
                );
            }
        }
    }
}

fn outage(
    entries: usize,
    endpoints: usize,
    down: usize,
    calls_per_second: f64,
    mechanism: Mechanism,
) -> Outcome {
    let mut random = SplitMix64::new(SEED);
    let share = Percent::new(20).expect("20 is a share");
    let mut budgets = vec![RetryBudget::new(share, entries); entries];
    // Ends of attempts in the order of time: time, order, call, whether it was answered.
    let mut ends = BinaryHeap::new();
    let mut calls: Vec<Call> = Vec::new();
    let (mut next_call, mut order) = (0.0, 0u64);
    let (mut attempts, mut refused) = (0u64, 0u64);
    loop {
        let due = ends.peek().map(|Reverse((at, ..)): &Reverse<(Time, u64, usize, bool)>| *at);
        let arrives_at = Time::from_micros((next_call * 1e6) as u64);
        let is_over = next_call >= HEALTHY_SECONDS + OUTAGE_SECONDS;
        let (index, now) = match due {
            Some(now) if is_over || now <= arrives_at => {
                let Some(Reverse((_, _, index, is_answered))) = ends.pop() else { break };
                let call = &mut calls[index];
                let budget = &mut budgets[call.entry];
                if is_answered {
                    if mechanism == Mechanism::AnswersAndShare {
                        budget.count_answer(now);
                    }
                    continue;
                }
                let code = ResultCode::ConnectFailed;
                let end = AttemptEnd::Refused { code, evidence: Evidence::NotRun };
                let next = call.attempts.next(end, Body::Replayable, budget, now);
                if next != Next::RetryElsewhere || call.tried.len() == endpoints {
                    refused += u64::from(call.is_counted);
                    continue;
                }
                (index, now)
            }
            _ if is_over => break,
            _ => {
                let gap = (random.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
                let is_counted = next_call >= HEALTHY_SECONDS;
                next_call += -(1.0 - gap).ln() / calls_per_second;
                let deadline = arrives_at + Duration::from_secs(1);
                let kind = CallKind { idempotence: Idempotence::Idempotent, deadline };
                let entry = random.below(entries);
                budgets[entry].count_call(arrives_at);
                let attempts = CallAttempts::new(kind);
                calls.push(Call { attempts, entry, tried: Vec::new(), is_counted });
                (calls.len() - 1, arrives_at)
            }
        };
        let call = &mut calls[index];
        let untried: Vec<usize> = (0..endpoints).filter(|e| !call.tried.contains(e)).collect();
        let endpoint = untried[random.below(untried.len())];
        call.tried.push(endpoint);
        let is_answered =
            endpoint >= down || now < Time::from_micros((HEALTHY_SECONDS * 1e6) as u64);
        attempts += u64::from(call.is_counted);
        order += 1;
        let after = if is_answered { ANSWERED_AFTER } else { REFUSED_AFTER };
        ends.push(Reverse((now + after, order, index, is_answered)));
    }
    let counted = calls.iter().filter(|call| call.is_counted).count() as f64;
    Outcome { attempts_per_call: attempts as f64 / counted, refused: refused as f64 / counted }
}
