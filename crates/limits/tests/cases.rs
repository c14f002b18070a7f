//! Single failures of owners and entries.

use std::time::Duration;

use assert_matches::assert_matches;
use limits::{
    Allowances, Arrival, Decision, Owner, PARTITIONS, SHARES, SpentReport, TokenRequest,
    TokenResult, TokensLeft, shares,
};
use membership::SETTLE;
use model::{
    Account, AccountName, Burst, Epoch, Incarnation, PartitionId, Rate, ResultCode, Time, Tokens,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn millis(millis: u64) -> Time {
    Time::from_micros(millis * 1000)
}

fn name() -> AccountName {
    "acme".parse().unwrap()
}

fn account(rate: u32, burst: u32) -> Account {
    Account { rate: Rate::per_second(rate), burst: Burst(burst) }
}

/// An owner of every partition, whose buckets have had time to fill.
fn owner() -> Owner {
    let mut owner = Owner::new();
    for partition in 0..PARTITIONS {
        owner.gain(Time::ZERO, PartitionId(partition), Epoch(1)).unwrap();
    }
    owner
}

/// A request for tokens of the first share of `account`.
fn request(account: &Account, sequence: u64, wanted: u32, spent: &[SpentReport]) -> TokenRequest {
    let share = shares(&name(), account).next().unwrap();
    TokenRequest {
        account: name(),
        share: share.index,
        partition: share.partition,
        entry: Incarnation(1),
        sequence,
        wanted: Tokens(wanted),
        spent: spent.to_vec(),
    }
}

fn spent(sequence: u64, spent: u32, rest: TokensLeft) -> SpentReport {
    SpentReport { sequence, spent: Tokens(spent), rest }
}

#[track_caller]
fn check_granted(
    owner: &mut Owner,
    now: Time,
    account: &Account,
    req: &TokenRequest,
    expected: u32,
) {
    let answer = owner.request(now, Time::NEVER, account, req).unwrap();
    assert_matches!(answer.result, TokenResult::Decided { granted, .. } => {
        assert_eq!(granted, Tokens(expected));
    });
}

/// Passes requests to the owner and the answers back.
fn exchange(now: Time, allowances: &mut Allowances, owner: &mut Owner, asks: Vec<TokenRequest>) {
    let mut asks = asks;
    while let Some(ask) = asks.pop() {
        if let Some(answer) = owner.request(now, Time::NEVER, &account(60, 60), &ask) {
            asks.extend(allowances.answered(now, &answer).asks);
        }
    }
}

fn take(allowances: &mut Allowances, now: Time, wait: u64, arrival: Arrival) -> Decision {
    let wait_until = now + Duration::from_millis(wait);
    allowances.take(now, &name(), &account(60, 60), wait_until, arrival)
}

/// A share's refill resumes for each token reported as spent, so a report counted twice lets the
/// level plus the tokens in use exceed the burst.
#[test]
fn a_repeated_report_counts_once() {
    let (account, mut owner) = (account(60, 60), owner());
    check_granted(&mut owner, millis(9_000), &account, &request(&account, 1, 10, &[]), 10);
    let report = [spent(1, 2, TokensLeft::Kept)];
    for sequence in 2..5 {
        let req = request(&account, sequence, 0, &report);
        assert_eq!(owner.request(millis(9_001), Time::NEVER, &account, &req), None);
    }
    check_granted(&mut owner, millis(10_000), &account, &request(&account, 5, 10, &[]), 2);
}

/// A report that overtakes an older one must not be undone by it.
#[test]
fn reports_out_of_order_keep_the_largest_total() {
    let (account, mut owner) = (account(60, 60), owner());
    check_granted(&mut owner, millis(9_000), &account, &request(&account, 1, 10, &[]), 10);
    for (sequence, total) in [(3, 5), (2, 2)] {
        let req = request(&account, sequence, 0, &[spent(1, total, TokensLeft::Kept)]);
        owner.request(millis(9_001), Time::NEVER, &account, &req);
    }
    check_granted(&mut owner, millis(10_000), &account, &request(&account, 4, 10, &[]), 5);
}

/// A successor that does not know of live grants would refill while their tokens are still spent.
#[test]
fn a_hand_over_keeps_levels_and_grants() {
    let (account, mut owner) = (account(60, 60), owner());
    check_granted(&mut owner, millis(9_000), &account, &request(&account, 1, 7, &[]), 7);
    let partition = shares(&name(), &account).next().unwrap().partition;
    let handover = owner.hand_over(millis(9_000), partition).unwrap();
    assert_eq!(owner.hand_over(millis(9_000), partition), Err(limits::OwnershipError::NotHeld));
    let mut next = Owner::new();
    assert_eq!(next.accept(millis(50), handover), Ok(Epoch(2)));
    check_granted(&mut next, millis(1_000), &account, &request(&account, 2, 10, &[]), 3);
    // The first grant expires 1.21 s after it was made.
    check_granted(&mut next, millis(1_260 + 999), &account, &request(&account, 3, 10, &[]), 7);
}

/// A node that records its own ownership under the next epoch keeps its live grants: with empty
/// buckets it would refill while their tokens are still spent.
#[test]
fn the_next_epoch_of_the_same_owner_keeps_grants() {
    let (account, mut owner) = (account(60, 60), owner());
    check_granted(&mut owner, millis(9_000), &account, &request(&account, 1, 7, &[]), 7);
    let partition = shares(&name(), &account).next().unwrap().partition;
    owner.gain(millis(9_000), partition, Epoch(2)).unwrap();
    check_granted(&mut owner, millis(10_000), &account, &request(&account, 2, 10, &[]), 3);
    // Another node may have held epoch 3, so its grants are unknown and the bucket starts empty.
    owner.gain(millis(10_000), partition, Epoch(4)).unwrap();
    check_granted(&mut owner, millis(10_000), &account, &request(&account, 3, 10, &[]), 0);
}

/// A bucket that is dropped before it is full would be created again with a higher level.
#[test]
fn sweeping_keeps_buckets_that_are_not_full() {
    let (account, mut owner) = (account(6, 60), owner());
    check_granted(&mut owner, millis(90_000), &account, &request(&account, 1, 10, &[]), 10);
    let mut sweep = |now| (0..PARTITIONS).for_each(|_| owner.sweep(now));
    sweep(millis(92_000));
    check_granted(&mut owner, millis(93_210), &account, &request(&account, 2, 10, &[]), 2);
    for _ in 0..PARTITIONS {
        owner.sweep(millis(120_000));
    }
    assert_eq!(owner.bucket_count(), 0);
}

/// Guards against a successor that starts before the last allowance of a lost owner has expired:
/// it could refill a whole burst while the entry still holds another one.
#[test]
fn a_successor_starts_after_the_last_allowances() {
    let (account, lease_end) = (account(60, 1), millis(9_000));
    let partition = shares(&name(), &account).next().unwrap().partition;
    let mut entry = Allowances::new(Incarnation(1));
    let wait_until = millis(20_000);
    let first = entry.take(lease_end, &name(), &account, wait_until, Arrival::New);
    let Decision::Ask { asks, .. } = first else { panic!("{first:?}") };
    let answer = owner().request(lease_end, Time::NEVER, &account, &asks[0]).unwrap();
    entry.answered(lease_end, &answer);
    assert_eq!(entry.held(millis(9_999), &name()), Tokens(1));

    let mut next = Owner::new();
    let started = lease_end + SETTLE;
    next.gain(started, partition, Epoch(2)).unwrap();
    let refilled = started + Duration::from_millis(17);
    check_granted(&mut next, refilled, &account, &request(&account, 1, 1, &[]), 1);
    // The clock of the entry is slower by a tenth.
    let by_entry = lease_end + refilled.since(lease_end) * 9 / 10;
    assert_eq!(entry.held(by_entry, &name()), Tokens(0));
}

/// A lower burst applies at once, also to tokens saved up before.
#[test]
fn a_lower_burst_cuts_the_level() {
    let (before, after, mut owner) = (account(60, 60), account(60, 12), owner());
    check_granted(&mut owner, millis(9_000), &before, &request(&before, 1, 1, &[]), 1);
    owner.reconfigure(millis(9_000), &name(), &after);
    check_granted(&mut owner, millis(9_000), &before, &request(&before, 2, 10, &[]), 1);
}

/// Callers see whether their account is out of tokens or the limiter is out of order.
#[test]
fn refusals_tell_an_empty_account_from_silent_owners() {
    let now = millis(9_000);
    let mut silent = Allowances::new(Incarnation(1));
    assert_matches!(take(&mut silent, now, 100, Arrival::New), Decision::Ask { .. });
    let later = now + Duration::from_millis(100);
    assert_matches!(take(&mut silent, later, 0, Arrival::Waited), Decision::Refused { code, .. } => {
        assert_eq!(code, ResultCode::LimiterUnavailable);
    });

    let mut empty = Allowances::new(Incarnation(2));
    let mut owner = owner();
    let mut last = None;
    for _ in 0..200 {
        let decision = take(&mut empty, now, 100, Arrival::New);
        if let Decision::Ask { asks, .. } | Decision::Taken { asks, .. } = decision.clone() {
            exchange(now, &mut empty, &mut owner, asks);
        }
        last = Some(decision);
    }
    assert_matches!(last, Some(Decision::Refused { code, retry_after }) => {
        assert_eq!(code, ResultCode::RateExceeded);
        // Each of six shares refills with 10 tokens per second.
        assert_eq!(retry_after.as_millis(), 100);
    });
}

/// A silent owner costs one timeout; the call then gets a token of another share.
#[test]
fn a_silent_owner_is_replaced_by_another_share() {
    let (now, mut allowances, mut owner) =
        (millis(9_000), Allowances::new(Incarnation(1)), owner());
    let first = take(&mut allowances, now, 100, Arrival::New);
    let Decision::Ask { asks, until } = first else { panic!("{first:?}") };
    let second = take(&mut allowances, until, 70, Arrival::Waited);
    let Decision::Ask { asks: others, .. } = second else { panic!("{second:?}") };
    assert_ne!(asks[0].share, others[0].share);
    exchange(until, &mut allowances, &mut owner, others);
    let third = take(&mut allowances, until, 70, Arrival::Waited);
    assert_matches!(third, Decision::Taken { .. });
}

/// An answer that arrives after the allowance has expired must not be used, since the owner may
/// have granted its tokens again.
#[test]
fn a_grant_that_arrives_late_is_ignored() {
    let (now, mut allowances, mut owner) =
        (millis(9_000), Allowances::new(Incarnation(1)), owner());
    let Decision::Ask { asks, .. } = take(&mut allowances, now, 100, Arrival::New) else {
        panic!("the first call must ask")
    };
    let late = now + Duration::from_secs(1);
    exchange(late, &mut allowances, &mut owner, asks);
    assert_eq!(allowances.held(late, &name()), Tokens(0));
}

/// Tokens that stay at an idle entry would be missing at the others.
#[test]
fn unused_tokens_go_back_when_demand_stops() {
    let (mut allowances, mut owner) = (Allowances::new(Incarnation(1)), owner());
    let now = millis(9_000);
    for _ in 0..8 {
        let decision = take(&mut allowances, now, 100, Arrival::New);
        if let Decision::Ask { asks, .. } | Decision::Taken { asks, .. } = decision {
            exchange(now, &mut allowances, &mut owner, asks);
        }
    }
    assert!(allowances.held(now, &name()) > Tokens(0));
    let mut returned = 0;
    for step in 0..200 {
        let requests = allowances.tick(now + Duration::from_millis(step * 5));
        let reports = requests.iter().flat_map(|req| &req.spent);
        returned += reports.filter(|report| report.rest == TokensLeft::Returned).count();
    }
    assert!(returned > 0);
}

/// Memory must follow the accounts in use, not all accounts ever seen.
#[test]
fn cold_accounts_are_dropped() {
    let mut allowances = Allowances::new(Incarnation(1));
    for index in 0..1_000 {
        let name = format!("account-{index}").parse().unwrap();
        allowances.take(millis(1), &name, &account(1, 1), millis(100), Arrival::New);
    }
    assert_eq!(allowances.account_count(), 1_000);
    for second in 1..30 {
        allowances.tick(millis(second * 1_000));
    }
    assert_eq!(allowances.account_count(), 0);
    assert_eq!(allowances.next_visit(), Time::NEVER);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Rounding must neither exceed the account's limits nor lose a part of them.
    #[test]
    fn shares_add_up(rate in 0_u64..10_000_000_000, burst in prop_oneof![any::<u32>(), 0_u32..20], id in 0..1000) {
        let account = Account { rate: Rate::from_milli_per_second(rate), burst: Burst(burst) };
        let name = format!("account-{id}").parse().unwrap();
        let parts: Vec<_> = shares(&name, &account).collect();
        let expected = match burst {
            0 | 1 => burst,
            _ => (burst / 2).min(u32::from(SHARES)),
        };
        prop_assert_eq!(parts.len(), expected as usize);
        prop_assert!(burst < 2 || parts.iter().all(|part| part.burst.0 >= 2));
        prop_assert_eq!(parts.iter().map(|part| u64::from(part.burst.0)).sum::<u64>(), u64::from(burst));
        let rates = parts.iter().map(|part| part.rate.milli_per_second());
        prop_assert!(burst == 0 || rates.sum::<u64>() == rate);
        prop_assert!(parts.iter().all(|part| part.burst.0 > 0 && part.partition.0 < PARTITIONS));
        let mut partitions: Vec<_> = parts.iter().map(|part| part.partition).collect();
        partitions.sort();
        partitions.dedup();
        prop_assert_eq!(partitions.len(), parts.len());
    }
}
