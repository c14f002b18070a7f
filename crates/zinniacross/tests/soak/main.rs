//! Soak: random series of faults against a fleet of real processes under load.
//!
//! | variable | effect |
//! |---|---|
//! | `ZINNIACROSS_SOAK_SEEDS` | number of seeds, 2 without it |
//! | `ZINNIACROSS_SOAK_FIRST` | the first seed, 1 without it |
//! | `ZINNIACROSS_SOAK_PLAN` | plays the plan in this file only |
//!
//! A plan that breaks a promise is saved with the logs of the nodes. Its steps can be removed one by one
//! to find those that matter. A plan that has failed once goes into `plans`, with a line on the cause in
//! `plans/README.md`, and is played by each run of the tests.

#[path = "../common/mod.rs"]
mod common;

mod checks;
mod driver;
mod plan;

use std::collections::HashMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use checks::{Call, Disturbance, Disturbed, Kind, Observed, REPEATS, STREAMED_BYTES};
use common::caller::{Answer, Lost};
use driver::Driver;
use plan::Plan;

/// Number of seeds of a run of the tests.
const SEEDS: u64 = 2;

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

fn number(name: &str, default: u64) -> u64 {
    variable(name).map_or(default, |text| text.parse().unwrap())
}

/// Plays a plan. Saves it with the logs if a promise is broken.
fn check(plan: &Plan) {
    let (observed, fleet) = Driver::start(plan).play();
    let violations = observed.violations();
    let served = observed.calls.iter().filter(|call| is_served(call)).count();
    println!(
        "seed {}: {} faults, {} calls, {served} served, at most {} of the account in excess in a window, \
         repeats {:?}, {} promises broken",
        plan.seed,
        plan.steps.len(),
        observed.calls.len(),
        observed.most_excess().unwrap_or(0),
        observed.worst_repeats(),
        violations.len()
    );
    if violations.is_empty() {
        return;
    }
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{}", plan.seed));
    fs::create_dir_all(&dir).unwrap();
    fs::write(dir.join("plan.json"), serde_json::to_string_pretty(plan).unwrap()).unwrap();
    fs::write(dir.join("violations.txt"), violations.join("\n")).unwrap();
    for (file, text) in fleet.all_logs() {
        fs::write(dir.join(file), text).unwrap();
    }
    let first: Vec<&String> = violations.iter().take(5).collect();
    panic!("seed {}, kept in {}: {first:#?}", plan.seed, dir.display());
}

fn is_served(call: &Call) -> bool {
    matches!(&call.result, Ok(answer) if answer.status == 200)
}

/// Guards against promises that hold under one fault and not under several that overlap: answers that are
/// mixed up, lost or untrue, calls that run twice, limits, stops, withdrawn keys, and recovery.
#[test]
fn overlapping_faults_break_no_promise() {
    if let Some(file) = variable("ZINNIACROSS_SOAK_PLAN") {
        let plan = fs::read_to_string(file).unwrap();
        return check(&serde_json::from_str(&plan).unwrap());
    }
    let first = number("ZINNIACROSS_SOAK_FIRST", 1);
    for seed in first..first + number("ZINNIACROSS_SOAK_SEEDS", SEEDS) {
        check(&Plan::draw(seed));
    }
}

/// Guards against the return of a fault that a plan has found.
#[test]
fn plans_that_have_failed_break_no_promise() {
    check_all("tests/soak/plans");
}

/// Plays the plans of faults that are not mended, if there are any. `KNOWN-RED.txt` then lists this test.
#[test]
fn plans_that_are_open_break_no_promise() {
    check_all("tests/soak/plans/open");
}

fn check_all(dir: &str) {
    let dir = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(dir);
    let Ok(files) = fs::read_dir(dir) else { return };
    let mut paths: Vec<PathBuf> = files.map(|file| file.unwrap().path()).collect();
    paths.retain(|path| path.extension().is_some_and(|extension| extension == "json"));
    paths.sort();
    for path in paths {
        check(&serde_json::from_str(&fs::read_to_string(path).unwrap()).unwrap());
    }
}

/// Guards against plans that can't be played again.
#[test]
fn a_plan_follows_from_its_seed_and_can_be_saved() {
    for seed in 0..200 {
        let plan = Plan::draw(seed);
        assert_eq!(plan, Plan::draw(seed));
        let text = serde_json::to_string(&plan).unwrap();
        assert_eq!(serde_json::from_str::<Plan>(&text).unwrap(), plan);
    }
    assert_ne!(Plan::draw(1).steps, Plan::draw(2).steps);
}

fn answer(status: u16, body: &str) -> Result<Answer, Lost> {
    Ok(Answer { status, headers: Vec::new(), body: body.as_bytes().to_vec() })
}

/// A call of 10 ms that ran once and was served.
fn call(kind: Kind, started: Instant, number: usize) -> Call {
    let token = format!("token-{number}");
    let body = match kind {
        Kind::Stream => "x".repeat(STREAMED_BYTES),
        _ => token.clone(),
    };
    let ended = started + Duration::from_millis(10);
    Call { kind, entry: 0, token, is_first: false, started, ended, result: answer(200, &body) }
}

/// Observations of a run in which everything is as it should be.
fn sound(now: Instant) -> Observed {
    let kinds = [Kind::Get, Kind::Post, Kind::Stream, Kind::Excess];
    let calls: Vec<Call> =
        kinds.iter().enumerate().map(|(number, kind)| call(*kind, now, number)).collect();
    let runs = calls.iter().map(|call| (call.token.clone(), 1)).collect();
    Observed { calls, runs, ..Observed::default() }
}

/// Guards against checks that never fail: each finds the fault that it is there for, and nothing else.
#[test]
fn each_check_finds_its_fault() {
    type Fault = fn(&mut Observed);
    let faults: [(&str, Fault); 17] = [
        ("MIXED", |seen| seen.calls[0].result = answer(200, "token-9")),
        ("MIXED", |seen| seen.calls[2].result = answer(200, "xx")),
        ("TWICE", |seen| *seen.runs.get_mut("token-1").unwrap() = 2),
        ("NOT-RUN", |seen| seen.calls[1].result = answer(503, r#"{"outcome":"not run"}"#)),
        ("UNASKED", |seen| seen.runs.retain(|token, _| token != "token-1")),
        ("UNASKED", |seen| seen.runs.extend([("stranger".to_owned(), 1)])),
        ("LOST", |seen| seen.calls[1].result = Err(Lost::NoAnswer("closed".to_owned()))),
        ("LOST", |seen| seen.calls[1].result = Err(Lost::Refused)),
        ("CUT", |seen| seen.calls[2].result = Err(Lost::Cut { status: 200, received: 9 })),
        ("LATE", |seen| seen.calls[1].ended += Duration::from_secs(7)),
        ("GONE", |seen| seen.calls[0].kind = Kind::Gone),
        ("QUOTA", |seen| {
            for number in 10..200 {
                seen.calls.push(call(Kind::Excess, seen.calls[0].started, number));
                seen.runs.insert(format!("token-{number}"), 1);
            }
        }),
        ("BUDGET", |seen| {
            let again = (seen.calls[0].started, "token-0".to_owned());
            seen.arrivals.extend(vec![again; REPEATS.spare + 2]);
        }),
        ("DRAIN", |seen| seen.runs_while_leaving.push("one".to_owned())),
        ("ENDED", |seen| seen.ended.push("node-0".to_owned())),
        ("RECOVER", |seen| seen.not_recovered.push("entry 0".to_owned())),
        ("LOST", |seen| {
            // A stop excuses refused connections, not a request that got no answer.
            let (from, to) = (seen.calls[1].started, seen.calls[1].ended);
            let what = Disturbance::Stopped;
            seen.disturbed.push(Disturbed { node: 0, what, from, to });
            seen.calls[1].result = Err(Lost::NoAnswer("closed".to_owned()));
        }),
    ];
    let now = Instant::now();
    assert_eq!(sound(now).violations(), Vec::<String>::new());
    for (rule, fault) in faults {
        let mut seen = sound(now);
        fault(&mut seen);
        let found = seen.violations();
        let by_rule: HashMap<&str, usize> =
            found.iter().map(|text| (text.split(':').next().unwrap(), 1)).collect();
        assert_eq!(by_rule.keys().copied().collect::<Vec<_>>(), [rule], "{found:?}");
    }
}
