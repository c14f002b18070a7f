//! Calls go on and rates hold while the platform is down, whatever happens to owners of partitions.

mod common;

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::{Connections, Done, Fleet, Plan, StopOnDrop, millis, seconds};
use limits::shares;
use model::{Account, Burst, CallerKey, PartitionId, Rate, stable_hash};
use standins::platform::Faults;
use standins::process::{Signal, wait_until};
use standins::upstream::Behaviour;

const RATE: u32 = 40;
const BURST: u32 = 30;

/// Runs at all upstreams together: an instant before and one after a look, and the number.
struct Sample {
    before: Instant,
    after: Instant,
    runs: u64,
}

struct Setup {
    fleet: Fleet,
    greedy: CallerKey,
    modest: CallerKey,
}

/// Three nodes, an account that sends several times its rate and one that stays within its rate.
/// The platform goes down before the first measured call.
fn setup() -> Setup {
    let mut fleet = Fleet::start(3);
    for node in 0..3 {
        fleet.upstream(node, "greedy", 16, Behaviour::default());
    }
    for node in 0..3 {
        fleet.upstream(node, "modest", 16, Behaviour::default());
    }
    // A call waits a tenth of this for a token, so that few callers can send several times the rate.
    fleet.route("greedy", "keyed", 500);
    fleet.route("modest", "keyed", 2000);
    let greedy = fleet.account("greedy", RATE, BURST);
    let modest = fleet.account("modest", 100, 100);
    fleet.wait_served("/modest/ready", Some(&modest));
    fleet.wait_served("/greedy/ready", Some(&greedy));
    fleet.platform.set_faults(Faults { down: true, ..Faults::default() });
    // The tokens that the first calls have taken are back after this pause.
    thread::sleep(seconds(1));
    Setup { fleet, greedy, modest }
}

struct Measured {
    samples: Vec<Sample>,
    greedy: Vec<Done>,
    modest: Vec<Done>,
}

fn plan(name: &str, key: &CallerKey, pause: Duration) -> Plan {
    Plan {
        method: "GET",
        path: format!("/{name}/"),
        key: Some(key.clone()),
        pause,
        connections: Connections::Kept,
    }
}

/// Sends several times the rate on every entry, and a modest load beside it, while `during` runs.
fn measure(setup: &Setup, during: impl FnOnce(&Fleet) + Send) -> Measured {
    let Setup { fleet, greedy, modest } = setup;
    let greedy_plan = plan("greedy", greedy, millis(20));
    let modest_plan = plan("modest", modest, millis(100));
    let stop = AtomicBool::new(false);
    let entries = [0, 1, 2].repeat(8);
    thread::scope(|scope| {
        let sampler = scope.spawn(|| {
            let mut samples = Vec::new();
            while !stop.load(Ordering::Relaxed) {
                let before = Instant::now();
                let runs = fleet.upstreams[..3].iter().map(|upstream| upstream.runs()).sum();
                samples.push(Sample { before, after: Instant::now(), runs });
                thread::sleep(millis(10));
            }
            samples
        });
        let modest = scope.spawn(|| {
            fleet.calls_while(&[0, 1, 2], &modest_plan, || {
                while !stop.load(Ordering::Relaxed) {
                    thread::sleep(millis(10));
                }
            })
        });
        let greedy = {
            let _stop = StopOnDrop(&stop);
            fleet.calls_while(&entries, &greedy_plan, || during(fleet))
        };
        let (samples, modest) = (sampler.join().unwrap(), modest.join().unwrap());
        Measured { samples, greedy, modest }
    })
}

/// Checks burst + rate x t for every window between two samples, and returns the smallest room
/// that was left in one. A run may come to the upstream later than its token was taken, by at most
/// the longest time that a served call took; windows are counted longer by that.
fn check_rate(measured: &Measured, from: Instant) -> f64 {
    let served = measured.greedy.iter().filter(|call| call.is_served());
    let delay = served.map(|call| call.ended - call.started).max().unwrap();
    let samples: Vec<&Sample> = measured.samples.iter().filter(|s| s.before >= from).collect();
    let mut room = f64::INFINITY;
    for (index, first) in samples.iter().enumerate() {
        for last in &samples[index..] {
            let window = last.after - first.before + delay;
            let allowed = f64::from(BURST) + f64::from(RATE) * window.as_secs_f64();
            room = room.min(allowed - (last.runs - first.runs) as f64);
        }
    }
    println!("longest served call {delay:?}, smallest room in any window {room:.1} calls");
    assert!(room >= 0.0, "more than burst + rate x t by {} calls", -room);
    room
}

fn served_per_second(done: &[Done], from: Instant, to: Instant) -> f64 {
    let served = done.iter().filter(|c| c.is_served() && c.started >= from && c.started < to);
    served.count() as f64 / (to - from).as_secs_f64()
}

/// Share of the calls that started in a span and were served.
fn served_share(done: &[Done], from: Instant, to: Instant) -> f64 {
    let calls: Vec<_> = done.iter().filter(|c| c.started >= from && c.started < to).collect();
    calls.iter().filter(|call| call.is_served()).count() as f64 / calls.len().max(1) as f64
}

/// Guards against calls that stop, and limits that fail open or closed, without the platform.
#[test]
fn calls_go_on_and_rates_hold_without_platform() {
    let setup = setup();
    let started = Instant::now();
    let measured = measure(&setup, |_| thread::sleep(seconds(10)));
    let ended = Instant::now();
    check_rate(&measured, started);
    let rate = served_per_second(&measured.greedy, started + seconds(2), ended);
    let share = served_share(&measured.modest, started, ended);
    let offered = measured.greedy.len() as f64 / (ended - started).as_secs_f64();
    println!("offered {offered:.0}/s, served {rate:.1}/s of {RATE}/s; modest account {share:.4}");
    assert!(offered > f64::from(3 * RATE), "the load is too small for this test");
    assert!(rate > 0.8 * f64::from(RATE));
    assert!(share >= 0.99);
}

/// Guards against a successor that starts with full buckets, and against calls that fail because
/// the owner of a part of their rate is gone.
#[test]
fn rates_hold_after_an_owner_is_killed_without_platform() {
    let mut setup = setup();
    let started = Instant::now();
    // The loops on the killed node end with refused connections, so its calls are not counted.
    let killed = started + seconds(3);
    let measured = measure(&setup, |fleet| {
        thread::sleep(killed.saturating_duration_since(Instant::now()));
        fleet.signal(0, Signal::Kill);
        thread::sleep(seconds(9));
    });
    let ended = Instant::now();
    check_rate(&measured, started);
    let others = |done: &[Done]| -> Vec<Done> {
        done.iter().filter(|call| call.entry != 0).cloned().collect()
    };
    let rate = served_per_second(&others(&measured.greedy), killed + seconds(4), ended);
    let share = served_share(&others(&measured.modest), killed + seconds(4), ended);
    println!("4 s after the kill: served {rate:.1}/s of {RATE}/s; modest account {share:.4}");
    assert!(rate > 0.3 * f64::from(RATE), "shares of live owners stay usable");
    assert!(share >= 0.99);
    setup.fleet.upstreams.clear();
}

/// Guards against an owner that is paused, resumes without having noticed, and goes on granting, and
/// against shares that stay without an owner although the platform answers again.
fn check_paused(platform_down: bool) {
    let setup = setup();
    let faults = Faults { down: platform_down, ..Faults::default() };
    setup.fleet.platform.set_faults(faults);
    let started = Instant::now();
    let mut resumed = started;
    let measured = measure(&setup, |fleet| {
        thread::sleep(seconds(2));
        fleet.signal(0, Signal::Pause);
        thread::sleep(seconds(10));
        resumed = Instant::now();
        fleet.signal(0, Signal::Resume);
        thread::sleep(seconds(5));
    });
    let ended = Instant::now();
    check_rate(&measured, started);
    // A successor grants 2 s + a write + 3 s + 1.2 s after the owner was last heard from.
    let paused = served_per_second(&measured.greedy, started + seconds(10), resumed);
    let after = served_per_second(&measured.greedy, resumed + seconds(2), ended);
    println!("platform down {platform_down}: {paused:.1}/s while paused, {after:.1}/s after");
    let part = if platform_down { 0.3 } else { 0.9 };
    assert!(paused > part * f64::from(RATE));
    assert!(after > 0.6 * f64::from(RATE));
}

#[test]
fn rates_hold_after_an_owner_was_paused_without_platform() {
    check_paused(true);
}

#[test]
fn rates_hold_after_an_owner_was_paused_and_replaced() {
    check_paused(false);
}

/// Guards against entries that keep asking a node that has handed its partitions over and left. The
/// platform, which would tell them, is away. Each of the two entries left must get the whole rate
/// when it alone has the callers.
#[test]
fn partitions_handed_over_without_platform_are_found_by_every_entry() {
    let Setup { fleet, greedy, .. } = setup();
    fleet.signal(0, Signal::Terminate);
    thread::sleep(seconds(5));
    for entry in [1, 2] {
        let started = Instant::now();
        let done = fleet.calls_while(&[entry; 8], &plan("greedy", &greedy, millis(20)), || {
            thread::sleep(seconds(5))
        });
        let rate = served_per_second(&done, started + seconds(1), started + seconds(5));
        println!("entry {entry}: served {rate:.1}/s of {RATE}/s after an owner has left");
        assert!(rate > 0.95 * f64::from(RATE), "entry {entry} got {rate:.1}/s");
    }
}

/// A fleet of three nodes in which nodes 0 and 2 have handed partitions over to node 1, which can't
/// reach the platform to record that.
struct HandedOver {
    fleet: Fleet,
    /// The partitions that node 0 and those that node 2 handed over.
    given: [Vec<PartitionId>; 2],
}

fn hand_over_to_live_node() -> HandedOver {
    let mut fleet = Fleet::start(3);
    fleet.kill(1);
    let held = |fleet: &Fleet| -> u32 {
        [0, 2].iter().filter_map(|node| fleet.nodes[*node].partitions_held()).sum()
    };
    let is_claimed = || held(&fleet) == u32::from(limits::PARTITIONS);
    assert!(wait_until(seconds(30), is_claimed), "{} partitions have an owner", held(&fleet));
    let logged = [0, 2].map(|node| fleet.log(node).len());
    fleet.cut_platform(1);
    fleet.restart(1);
    // The owners wait 10 s before they trust the node that has come back.
    assert!(fleet.wait_settled(seconds(40)), "nothing was handed over to node 1");
    let given = [(0, logged[0]), (2, logged[1])].map(|(node, start)| {
        let log = fleet.log(node);
        let lines = log[start..].lines().filter(|line| line.contains("was handed over to node-1"));
        let id = |line: &str| line.split("partition ").nth(1)?.split(' ').next()?.parse().ok();
        lines.filter_map(id).map(PartitionId).collect()
    });
    HandedOver { fleet, given }
}

/// Guards against entries that keep asking the giver of a handover when it stays alive. The platform,
/// which would name the new owner, is away. Of the six shares of the account, two have been handed
/// over by each of nodes 0 and 2, and each entry must get the whole rate when it alone has the
/// callers.
#[test]
fn partitions_handed_to_a_live_node_without_platform_are_found_by_every_entry() {
    let HandedOver { mut fleet, given } = hand_over_to_live_node();
    let account = Account { rate: Rate::per_second(RATE), burst: Burst(BURST) };
    let is_third_given = |name: &String| {
        let shares: Vec<_> = shares(&name.parse().unwrap(), &account).collect();
        let count = |given: &Vec<PartitionId>| {
            shares.iter().filter(|share| given.contains(&share.partition)).count()
        };
        given.iter().all(|given| count(given) == 2)
    };
    let name = (0..10_000).map(|number| format!("club-{number}")).find(is_third_given);
    let name = name.unwrap_or_else(|| panic!("no such account with {given:?}"));
    for node in 0..3 {
        fleet.upstream(node, "greedy", 16, Behaviour::default());
    }
    fleet.route("greedy", "keyed", 500);
    let key = fleet.account(&name, RATE, BURST);
    fleet.wait_served("/greedy/ready", Some(&key));
    fleet.platform.set_faults(Faults { down: true, ..Faults::default() });
    let rates = [0, 1, 2].map(|entry| {
        // The tokens that the calls before have taken are back after this pause.
        thread::sleep(seconds(1));
        let started = Instant::now();
        let done = fleet.calls_while(&[entry; 8], &plan("greedy", &key, millis(20)), || {
            thread::sleep(seconds(5))
        });
        let rate = served_per_second(&done, started + seconds(1), started + seconds(5));
        println!("entry {entry}: served {rate:.1}/s of {RATE}/s after a handover to node 1");
        rate
    });
    for (entry, rate) in rates.into_iter().enumerate() {
        assert!(rate > 0.95 * f64::from(RATE), "entry {entry} got {rate:.1}/s");
    }
}

/// Guards against guards that keep reporting to the giver of a handover when it stays alive. Node 0
/// neither gave nor received the partition of the service, and the upstream that fails is its own, so
/// nothing is ejected unless its reports find the arbiter.
#[test]
fn an_arbiter_on_a_live_node_is_found_without_platform() {
    let HandedOver { mut fleet, given } = hand_over_to_live_node();
    let is_given = |name: &String| {
        let hash = stable_hash(&[b"health", name.as_bytes()]);
        given[1].contains(&PartitionId((hash % u64::from(limits::PARTITIONS)) as u16))
    };
    let service = (0..10_000).map(|number| format!("orders-{number}")).find(is_given);
    let service = service.unwrap_or_else(|| panic!("no such service with {given:?}"));
    let healthy = Behaviour { service_ms: 10, ..Behaviour::default() };
    for index in 0..6 {
        fleet.upstream(index % 3, &service, 4, healthy.clone());
    }
    fleet.route(&service, "open", 3000);
    fleet.wait_served(&format!("/{service}/ready"), None);
    fleet.platform.set_faults(Faults { down: true, ..Faults::default() });
    let plan = Plan {
        method: "GET",
        path: format!("/{service}/"),
        key: None,
        pause: millis(1),
        connections: Connections::Kept,
    };
    let mut ejected = None;
    // More callers than slots, so that the failing upstream is used although entries prefer others.
    fleet.calls_while(&[0, 1, 2].repeat(10), &plan, || {
        // The arbiter makes no ejection in its first 8 s.
        thread::sleep(seconds(10));
        fleet.upstreams[0].set_behaviour(Behaviour { fail_one_in: 2, ..healthy });
        let started = Instant::now();
        let failing = format!("\"{service}-0\"");
        let is_ejection = |line: &str| line.contains("Eject {") && line.contains(&failing);
        let is_ejected = || fleet.log(1).lines().any(is_ejection);
        ejected = wait_until(seconds(10), is_ejected).then(|| started.elapsed());
    });
    println!("ejected after {ejected:?}");
    assert!(ejected.is_some_and(|after| after < seconds(5)));
}
