//! A change of the configuration is in force on every node within 6 s and is never reverted.

mod common;

use std::thread;
use std::time::{Duration, Instant};

use common::{Connections, Fleet, Plan, millis, seconds};
use model::{Kind, Object};
use standins::platform::Faults;
use standins::process::wait_until;
use standins::upstream::Behaviour;

/// Time within which a change must be in force on every node (P11).
const IN_FORCE_WITHIN: Duration = Duration::from_secs(6);

fn fleet() -> Fleet {
    let mut fleet = Fleet::start(3);
    for node in 0..3 {
        fleet.upstream(node, "orders", 8, Behaviour::default());
    }
    fleet
}

/// Time from now until every entry serves a path.
fn in_force(fleet: &Fleet, path: &str) -> Duration {
    let started = Instant::now();
    fleet.wait_served(path, None);
    started.elapsed()
}

fn down(is_down: bool) -> Faults {
    Faults { down: is_down, ..Faults::default() }
}

/// Guards against a change that reaches some nodes late, and against a node that falls back to an
/// earlier configuration when the platform fails, comes back, or when other nodes lag.
#[test]
fn change_is_in_force_in_time_and_stays_over_an_outage_of_the_platform() {
    let fleet = fleet();
    fleet.route("orders", "open", 3000);
    let took = in_force(&fleet, "/orders/first");
    println!("first route in force after {took:?}");
    assert!(took < IN_FORCE_WITHIN);
    let plan = Plan {
        method: "GET",
        path: "/orders/".into(),
        key: None,
        pause: millis(10),
        connections: Connections::Kept,
    };
    let done = fleet.calls_while(&[0, 1, 2], &plan, || {
        fleet.platform.set_faults(down(true));
        thread::sleep(seconds(5));
        fleet.platform.set_faults(down(false));
        let document = r#"{"prefix":"/late","service":"orders","access":"open",
            "timeout_ms":3000,"idempotent":["GET"],"retry_budget":20,"floor":50}"#;
        fleet.put(Kind::Route, "late", document);
        let took = in_force(&fleet, "/late/x");
        println!("route written right after an outage of 5 s in force after {took:?}");
        assert!(took < IN_FORCE_WITHIN);
        thread::sleep(seconds(1));
    });
    let failed: Vec<_> = done.iter().filter(|call| !call.is_served()).collect();
    println!("{} calls during the outage, {} not served", done.len(), failed.len());
    assert!(failed.is_empty(), "{failed:?}");
}

/// Guards against a write that is made twice, or reported as failed, because its answer was lost.
#[test]
fn lost_answer_of_a_write_is_resolved() {
    let fleet = fleet();
    fleet.platform.set_faults(Faults { lose_answers: 1, ..Faults::default() });
    let created =
        fleet.operate(&["account", "create", "garden", "--rate", "5/s", "--burst", "6", "--wait"]);
    let text = String::from_utf8_lossy(&created.stdout).into_owned();
    println!("{text}{}", String::from_utf8_lossy(&created.stderr));
    assert!(created.status.success());
    assert!(text.contains("in force on 3 nodes"), "{text}");
    let before = fleet.read(Kind::Account, "garden").unwrap().revision;

    // A conditional update whose answer is lost must not be taken for a conflict with itself.
    fleet.platform.set_faults(Faults { lose_answers: 1, ..Faults::default() });
    let updated = fleet.operate(&["account", "set", "garden", "--rate", "9/s"]);
    assert!(updated.status.success(), "{}", String::from_utf8_lossy(&updated.stderr));
    let after = fleet.read(Kind::Account, "garden").unwrap();
    assert!(after.revision > before);
    let Some(Object::Account(account)) = after.object else { panic!("no account") };
    assert_eq!((account.rate.to_string().as_str(), account.burst.0), ("9/s", 6));
}

/// Guards against one operator overwriting the change of another one without either noticing.
#[test]
fn one_of_two_operators_gets_a_conflict_and_nothing_is_lost() {
    let fleet = fleet();
    let create = ["account", "create", "garden", "--rate", "1/s", "--burst", "1"];
    assert!(fleet.operate(&create).status.success());
    let mut conflicts = 0;
    for round in 0..10_u32 {
        let seen = fleet.read(Kind::Account, "garden").unwrap().revision.to_string();
        let (rate, burst) = (format!("{}/s", round + 100), (round + 500).to_string());
        let set = |option: &str, value: &str, seen: Option<&str>| {
            let mut args = vec!["account", "set", "garden", option, value, "--json"];
            args.extend(seen.into_iter().flat_map(|seen| ["--if-revision", seen]));
            fleet.operate(&args)
        };
        // In every other round the operators do not say which revision they have seen.
        let seen = (round % 2 == 0).then_some(seen.as_str());
        let (first, second) = thread::scope(|scope| {
            let first = scope.spawn(|| set("--rate", &rate, seen));
            let second = scope.spawn(|| set("--burst", &burst, seen));
            (first.join().unwrap(), second.join().unwrap())
        });
        let stored = fleet.read(Kind::Account, "garden").unwrap();
        let Some(Object::Account(account)) = stored.object else { panic!("no account") };
        let results = [
            (&first, account.rate.to_string() == rate),
            (&second, account.burst.0.to_string() == burst),
        ];
        for (output, is_stored) in results {
            assert_eq!(output.status.success(), is_stored, "round {round}");
            if !output.status.success() {
                conflicts += 1;
                let text = [&output.stdout[..], &output.stderr].concat();
                let text = String::from_utf8_lossy(&text).into_owned();
                assert!(text.contains("3001"), "{text}");
            }
        }
        assert!(first.status.success() || second.status.success());
        let both = first.status.success() && second.status.success();
        assert!(!(both && seen.is_some()), "both changed the same revision");
    }
    println!("{conflicts} conflicts in 10 rounds");
    assert!(conflicts >= 5);
    let known = wait_until(IN_FORCE_WITHIN, || {
        let shown = fleet.operate(&["fleet", "state", "--json"]);
        shown.status.success()
    });
    assert!(known);
}
