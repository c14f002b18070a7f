//! Ejections never take the healthy capacity of a route below its floor. The capacity is counted
//! from outside, in slots over all nodes: what is neither ejected, drained, cold nor lost.

mod common;

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Instant;

use common::watch::{Decided, Look, Names, decisions, unix_time};
use common::{Caller, Connections, Done, Fleet, Plan, StopOnDrop, millis, seconds};
use model::{EndpointState, Kind};
use standins::process::{Signal, wait_until};
use standins::upstream::Behaviour;

const SERVICE: &str = "orders";

/// Share of the slots that ejections must leave, as set by `Fleet::route`.
const FLOOR_PERCENT: u32 = 50;

/// An owner may hand its partition over 10 s after the start, and a new arbiter makes no ejection
/// in its first 8 s.
const ARBITER_STARTS_WITHIN: u64 = 20;

/// Time within which an ejection shows at every node. Entries fetch the list each 500 ms.
const SHOWN_WITHIN: f64 = 2.0;

/// Longest time between two served calls of an entry that lives.
const LONGEST_GAP: u64 = 2;

const HEALTHY: Behaviour = behaviour(20, 0);
const FAILING: Behaviour = behaviour(20, 3);
const SLOW: Behaviour = behaviour(200, 0);

const fn behaviour(service_ms: u64, fail_one_in: u64) -> Behaviour {
    Behaviour {
        service_ms,
        fail_one_in,
        fail_prefix: String::new(),
        shed: false,
        drop_answers: false,
        unhealthy: false,
        state: EndpointState::Ready,
        silent: false,
    }
}

/// A fleet of three nodes under calls, with one upstream for each entry of `slots`.
struct Scene {
    fleet: Fleet,
    slots: Vec<u32>,
}

/// What was seen of a scene.
struct Seen {
    done: Vec<Done>,
    looks: Vec<Look>,
    decisions: Vec<Decided>,
}

impl Scene {
    fn start(slots: &[u32]) -> Scene {
        let mut fleet = Fleet::start(3);
        for (index, slots) in slots.iter().enumerate() {
            fleet.upstream(index % 3, SERVICE, *slots, HEALTHY);
        }
        fleet.route(SERVICE, "open", 3000);
        fleet.wait_served("/orders/ready", None);
        thread::sleep(seconds(ARBITER_STARTS_WITHIN));
        Scene { fleet, slots: slots.to_vec() }
    }

    fn set(&self, index: usize, behaviour: &Behaviour) {
        self.fleet.upstreams[index].set_behaviour(behaviour.clone());
    }

    /// Looks at the operator ports all the time while callers call and `during` runs.
    fn watch(&self, during: impl FnOnce()) -> Seen {
        // The calls keep about two thirds of the slots busy. With less, entries pass round a bad
        // endpoint by themselves, and the arbiter sees too few of its calls to eject it.
        let entries = [0, 1, 2].repeat(self.slots.iter().sum::<u32>() as usize / 3);
        let plan = Plan {
            method: "GET",
            path: "/orders/".to_owned(),
            key: None,
            pause: millis(10),
            connections: Connections::Kept,
        };
        let mut ports: Vec<Caller> =
            self.fleet.nodes.iter().map(|node| Caller::new(node.operator)).collect();
        let stop = AtomicBool::new(false);
        let (done, looks) = thread::scope(|scope| {
            let looks = scope.spawn(|| {
                let mut looks = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    looks.push(Look::take(&mut ports));
                    thread::sleep(millis(30));
                }
                looks
            });
            let done = {
                let _stop = StopOnDrop(&stop);
                self.fleet.calls_while(&entries, &plan, during)
            };
            (done, looks.join().unwrap())
        });
        Seen { done, looks, decisions: decisions(&self.fleet) }
    }

    /// Waits for a decision. Whether it came is checked afterwards, after the floor.
    fn wait_decided(&self, within: u64, wanted: impl Fn(&Decided) -> bool) {
        let deadline = Instant::now() + seconds(within);
        while !decisions(&self.fleet).iter().any(&wanted) && Instant::now() < deadline {
            thread::sleep(millis(500));
        }
    }

    fn slots_left(&self, out: &Names) -> u32 {
        let name = |index: usize| format!("{SERVICE}-{index}");
        let left = (0..self.slots.len()).filter(|index| !out.contains(&name(*index)));
        left.map(|index| self.slots[index]).sum()
    }

    /// Checks the floor between each two looks and at each ejection. Between two looks, a node
    /// certainly held what both show; at an ejection, the ones before it may not show yet.
    fn check_floor(&self, seen: &Seen) {
        let floor = self.slots.iter().sum::<u32>() * FLOOR_PERCENT / 100;
        let mut least = u32::MAX;
        let mut count = |mut out: Names, unavailable: &Names, at: f64, what: &str| {
            out.extend(unavailable.iter().cloned());
            let left = self.slots_left(&out);
            least = least.min(left);
            let log = &seen.decisions;
            assert!(
                left >= floor,
                "{left} slots of {floor} left at {at}, {what}: {out:?}: {log:#?}"
            );
        };
        for pair in seen.looks.windows(2) {
            let by_node = pair[0].ejected.iter().zip(&pair[1].ejected);
            let out = by_node.flat_map(|(before, after)| before & after).collect();
            count(out, &pair[0].unavailable, pair[1].at, "held by the nodes");
        }
        for (index, ejection) in seen.decisions.iter().enumerate() {
            if !ejection.is_ejection() {
                continue;
            }
            let Some(look) = seen.looks.iter().rfind(|look| look.at < ejection.at) else {
                continue;
            };
            let mut recent = Names::new();
            for decided in &seen.decisions[..=index] {
                if decided.is_ejection() && ejection.at - decided.at < SHOWN_WITHIN {
                    recent.insert(decided.endpoint.clone());
                } else if decided.ends_ejection() {
                    recent.remove(&decided.endpoint);
                }
            }
            recent.extend(look.ejected_anywhere());
            count(recent, &look.unavailable, ejection.at, "ejected by an arbiter");
        }
        let ejections = seen.decisions.iter().filter(|decided| decided.is_ejection()).count();
        println!(
            "{} looks, {ejections} ejections, at least {least} slots of {floor} left",
            seen.looks.len()
        );
    }

    /// Checks that the given entries served calls all the time.
    fn check_served(&self, seen: &Seen, entries: &[usize]) {
        for entry in entries {
            let calls: Vec<&Done> = seen.done.iter().filter(|call| call.entry == *entry).collect();
            let mut served: Vec<Instant> =
                calls.iter().filter(|call| call.is_served()).map(|call| call.ended).collect();
            served.sort();
            let longest = served.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap();
            println!(
                "entry {entry}: {} of {} served, pause {longest:?}",
                served.len(),
                calls.len()
            );
            assert!(longest < seconds(LONGEST_GAP), "entry {entry} served nothing for {longest:?}");
            let last = calls.iter().map(|call| call.ended).max().unwrap();
            assert!(last - *served.last().unwrap() < seconds(LONGEST_GAP), "entry {entry} stopped");
        }
    }
}

/// Guards against ejections beyond the floor when most endpoints turn bad one after another. The
/// sizes differ, so that counting endpoints in place of slots ejects too many.
#[test]
fn more_than_half_turning_bad_leaves_the_floor() {
    let scene = Scene::start(&[1, 3, 2, 2, 2, 2]);
    let seen = scene.watch(|| {
        for (index, fault) in [(1, SLOW), (2, FAILING), (3, FAILING), (0, FAILING)] {
            scene.set(index, &fault);
            thread::sleep(seconds(1));
        }
        scene.wait_decided(10, Decided::is_refused_by_floor);
        thread::sleep(seconds(10));
    });
    scene.check_floor(&seen);
    scene.check_served(&seen, &[0, 1, 2]);
    let ejected: Names = seen.looks.iter().flat_map(Look::ejected_anywhere).collect();
    assert!(ejected.len() >= 2, "the nodes held {ejected:?} only: {:#?}", seen.decisions);
    assert!(seen.decisions.iter().any(Decided::is_refused_by_floor), "the floor was not reached");
}

/// Guards against a floor that counts a drained or cold endpoint as capacity.
#[test]
fn drained_and_cold_endpoints_count_against_the_floor() {
    let scene = Scene::start(&[2; 6]);
    scene.fleet.put(Kind::EndpointMark, "orders-4", r#"{"drained":true}"#);
    scene.set(5, &Behaviour { state: EndpointState::Starting, ..HEALTHY });
    let mut ports: Vec<Caller> =
        scene.fleet.nodes.iter().map(|node| Caller::new(node.operator)).collect();
    assert!(wait_until(seconds(5), || Look::take(&mut ports).unavailable.len() == 2));
    // The state of an endpoint reaches all nodes with the next heartbeat.
    thread::sleep(seconds(2));
    let seen = scene.watch(|| {
        thread::sleep(seconds(1));
        for (index, fault) in [(0, SLOW), (1, FAILING), (2, FAILING)] {
            scene.set(index, &fault);
            thread::sleep(seconds(1));
        }
        scene.wait_decided(10, Decided::is_refused_by_floor);
        thread::sleep(seconds(10));
    });
    scene.check_floor(&seen);
    scene.check_served(&seen, &[0, 1, 2]);
    assert!(seen.looks.iter().all(|look| look.unavailable.len() == 2));
    assert!(seen.decisions.iter().any(Decided::is_ejection), "nothing was ejected");
    assert!(seen.decisions.iter().any(Decided::is_refused_by_floor), "the floor was not reached");
}

/// Guards against ejections for a slowdown that all endpoints share. The failing endpoint shows
/// that this arbiter may eject.
#[test]
fn shared_slowdown_ejects_nothing() {
    let scene = Scene::start(&[2; 6]);
    let mut fault_at = 0.0;
    let seen = scene.watch(|| {
        thread::sleep(seconds(2));
        (0..6).for_each(|index| scene.set(index, &SLOW));
        thread::sleep(seconds(9));
        fault_at = unix_time();
        scene.set(0, &behaviour(200, 1));
        scene.wait_decided(15, Decided::is_ejection);
    });
    scene.check_floor(&seen);
    scene.check_served(&seen, &[0, 1, 2]);
    let (before, after): (Vec<&Decided>, Vec<&Decided>) =
        seen.decisions.iter().partition(|decided| decided.at < fault_at);
    assert!(before.is_empty(), "decisions about a shared slowdown: {before:#?}");
    let held = |look: &&Look| look.at < fault_at && !look.ejected_anywhere().is_empty();
    assert_eq!(seen.looks.iter().filter(held).count(), 0);
    assert!(after.iter().any(|d| d.is_ejection() && d.endpoint == "orders-0"), "{after:#?}");
}

/// Guards against a new arbiter that ejects without counting what its dead predecessor ejected,
/// or the capacity that was lost with it.
#[test]
fn killed_owner_leaves_the_floor() {
    let scene = Scene::start(&[2; 9]);
    let owner = scene.fleet.arbiter_of(SERVICE);
    let others = [(owner + 1) % 3, (owner + 2) % 3];
    let (mut held, mut killed_at) = (false, 0.0);
    let seen = scene.watch(|| {
        thread::sleep(seconds(1));
        // Slow ones, since an entry passes round a failing endpoint of its own domain by itself.
        scene.set(others[0], &SLOW);
        scene.wait_decided(15, |decided| decided.is_ejection() && decided.node == owner);
        thread::sleep(seconds(1));
        held = decisions(&scene.fleet).last().is_some_and(Decided::is_ejection);
        scene.fleet.signal(owner, Signal::Kill);
        killed_at = unix_time();
        scene.set(others[1], &SLOW);
        scene.wait_decided(20, |decided| decided.is_ejection() && decided.at > killed_at);
        thread::sleep(seconds(4));
    });
    scene.check_floor(&seen);
    scene.check_served(&seen, &others);
    assert!(held, "no ejection was in force when the owner was killed");
    let before = seen.looks.iter().rfind(|look| look.at < killed_at).unwrap();
    assert_eq!(before.ejected_anywhere().len(), 1, "the ejection did not show at the nodes");
    let mut later = seen.decisions.iter().filter(|decided| decided.at > killed_at);
    assert!(later.any(Decided::is_ejection), "the new arbiter ejected nothing");
}
