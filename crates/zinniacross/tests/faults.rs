//! A table of steps of a call and faults: what the caller is told is true, nothing that may not be
//! repeated runs twice, and work of a process that is only silent is not given up.

mod common;

use std::collections::HashMap;
use std::thread;
use std::time::{Duration, Instant};

use common::caller::{Answer, Lost};
use common::{Fleet, millis, seconds};
use standins::cut::Direction;
use standins::process::Signal;
use standins::upstream::{Behaviour, UpstreamStandin};

/// Time at which the fault begins, after the start of the calls. Each call is then in its step.
const FAULT_AT: Duration = Duration::from_millis(1500);

/// Length of pauses and cuts.
const FAULT_TIME: Duration = Duration::from_millis(1500);

/// Time after the last answer in which a call that was refused as not run could still run.
const LATE_RUN_TIME: Duration = Duration::from_secs(2);

/// Size of the streamed answers, in bytes. At 250 ms for each 16 KB they take 5 s.
const STREAMED_BYTES: usize = 320_000;

/// Number of calls of each kind in each step.
const CALLS: usize = 3;

/// The node that takes the calls, the one with their endpoints, and the one with others.
const ENTRY: usize = 0;
const GUARD: usize = 1;
const OTHER_GUARD: usize = 2;

/// The step that a call is in when the fault begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// A part of the request body has been sent.
    Sending,
    /// The call waits for a slot at the guard.
    Queued,
    /// The upstream works.
    Running,
    /// A part of the answer has arrived.
    Answering,
}

impl Step {
    const ALL: [Step; 4] = [Step::Sending, Step::Queued, Step::Running, Step::Answering];

    fn service(self) -> &'static str {
        match self {
            Step::Sending => "sending",
            Step::Queued => "queued",
            Step::Running => "running",
            Step::Answering => "answering",
        }
    }

    /// Path below the prefix of the service.
    fn path(self) -> String {
        match self {
            Step::Answering => format!("chunked/{STREAMED_BYTES}"),
            _ => "call".to_owned(),
        }
    }

    fn slots(self) -> u32 {
        if self == Step::Queued { 1 } else { 8 }
    }

    fn behaviour(self) -> Behaviour {
        let service_ms = match self {
            Step::Queued | Step::Running => 3500,
            Step::Sending | Step::Answering => 20,
        };
        Behaviour { service_ms, part_ms: 250, ..Behaviour::default() }
    }
}

/// What callers may expect in spite of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Expected {
    /// Each call is served.
    AllServed,
    /// Calls that may be repeated are served, unless their answer has begun.
    RepeatableServed,
    /// The entry is gone.
    NoAnswer,
}

/// A call, how it ended, and how often it ran.
#[derive(Debug)]
struct Cell {
    step: Step,
    method: &'static str,
    result: Result<Answer, Lost>,
    runs: u64,
}

impl Cell {
    fn check(&self, expected: Expected) -> Result<(), &'static str> {
        if self.method == "POST" && self.runs > 1 {
            return Err("ran twice");
        }
        let served = matches!(&self.result, Ok(answer) if answer.status == 200);
        match &self.result {
            Ok(answer) if served => {
                let is_whole = self.step != Step::Answering || answer.body.len() == STREAMED_BYTES;
                if !is_whole || self.runs == 0 {
                    return Err("an answer that is not its own or not whole");
                }
            }
            Ok(answer) if (1000..2000).contains(&answer.code()) && self.runs > 0 => {
                return Err("told that it has not run");
            }
            Ok(answer) if answer.code() == 0 => return Err("an answer without a code"),
            Err(Lost::NoAnswer(_) | Lost::Refused) if expected != Expected::NoAnswer => {
                return Err("no answer at all");
            }
            _ => {}
        }
        let is_repeatable = self.method == "GET" && self.step != Step::Answering;
        match expected {
            Expected::AllServed if !served => Err("not served"),
            Expected::RepeatableServed if is_repeatable && !served => Err("not served"),
            _ => Ok(()),
        }
    }
}

fn start_upstreams(
    fleet: &Fleet,
    node: usize,
    change: impl Fn(&mut Behaviour),
) -> Vec<UpstreamStandin> {
    let start = |(index, step): (usize, Step)| {
        let mut behaviour = step.behaviour();
        change(&mut behaviour);
        fleet.start_upstream(10 * node + index, node, step.service(), step.slots(), behaviour)
    };
    Step::ALL.into_iter().enumerate().map(start).collect()
}

/// Starts a fleet whose endpoints are all at [`GUARD`].
fn start_fleet() -> (Fleet, Vec<UpstreamStandin>) {
    let fleet = Fleet::start(3);
    let upstreams = start_upstreams(&fleet, GUARD, |behaviour| behaviour.service_ms = 0);
    for step in Step::ALL {
        fleet.route(step.service(), "open", 20_000);
        fleet.wait_served_by(ENTRY, &format!("/{}/ready", step.service()), None);
    }
    (fleet, upstreams)
}

fn make_call(fleet: &Fleet, step: Step, method: &str, number: usize) -> Result<Answer, Lost> {
    let target = target(step, method, number);
    let mut caller = fleet.caller(ENTRY);
    match step {
        Step::Sending => {
            let body = (&[b'x'; 200_000][..], &[b'x'; 50_000][..]);
            caller.send_in_parts(method, &target, "", body, seconds(3))
        }
        _ => caller.call(method, &target, None, b""),
    }
}

fn target(step: Step, method: &str, number: usize) -> String {
    format!("/{}/{}?{method}-{number}", step.service(), step.path())
}

/// Runs of each target at all upstreams.
fn runs(upstreams: &[UpstreamStandin]) -> HashMap<String, u64> {
    let mut runs = HashMap::new();
    let seen = upstreams.iter().flat_map(|upstream| upstream.counts().seen);
    for seen in seen {
        let target = seen.split(' ').next().unwrap_or_default().to_owned();
        *runs.entry(target).or_default() += 1;
    }
    runs
}

/// Plays a fault while there is a call in each step, of each kind.
fn play(expected: Expected, drop_answers: bool, fault: impl FnOnce(&Fleet, &[UpstreamStandin])) {
    let (fleet, mut upstreams) = start_fleet();
    for (step, upstream) in Step::ALL.into_iter().zip(&upstreams) {
        upstream.set_behaviour(Behaviour { drop_answers, ..step.behaviour() });
    }
    let mut cells: Vec<(Step, &'static str, usize)> = Vec::new();
    for number in 0..CALLS {
        // More than one queued call of each kind would wait for most of their deadline.
        let steps = Step::ALL.into_iter().filter(|step| *step != Step::Queued || number == 0);
        cells.extend(steps.clone().map(|step| (step, "POST", number)));
        cells.extend(steps.filter(|step| *step != Step::Sending).map(|step| (step, "GET", number)));
    }
    let results: Vec<Result<Answer, Lost>> = thread::scope(|scope| {
        let fleet = &fleet;
        // Takes the only slot, so that the others wait.
        scope.spawn(|| make_call(fleet, Step::Queued, "POST", 99));
        thread::sleep(millis(100));
        let calls: Vec<_> = cells
            .iter()
            .map(|&(step, method, number)| {
                scope.spawn(move || make_call(fleet, step, method, number))
            })
            .collect();
        thread::sleep(millis(300));
        let others = start_upstreams(fleet, OTHER_GUARD, |_| {});
        thread::sleep(FAULT_AT - millis(300));
        fault(fleet, &upstreams);
        upstreams.extend(others);
        calls.into_iter().map(|call| call.join().unwrap()).collect()
    });
    thread::sleep(LATE_RUN_TIME);
    let runs = runs(&upstreams);
    let mut broken = Vec::new();
    for ((step, method, number), result) in cells.into_iter().zip(results) {
        let runs = runs.get(&target(step, method, number)).copied().unwrap_or(0);
        let cell = Cell { step, method, result, runs };
        let outcome = match &cell.result {
            Ok(answer) => format!("{} {}", answer.status, answer.code()),
            Err(lost) => format!("{lost:?}"),
        };
        println!("{step:?} {method} {number}: {outcome}, {runs} runs");
        if let Err(reason) = cell.check(expected) {
            broken.push(format!("{step:?} {method} {number}: {reason} ({outcome}, {runs} runs)"));
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

fn pause(fleet: &Fleet, node: usize, time: Duration) {
    fleet.signal(node, Signal::Pause);
    thread::sleep(time);
    fleet.signal(node, Signal::Resume);
}

fn cut(fleet: &Fleet, direction: Direction) {
    fleet.cut_link(ENTRY, GUARD, direction);
    thread::sleep(FAULT_TIME);
    fleet.heal();
}

/// Guards against calls that are repeated, or reported as not run, after the kill of their guard.
#[test]
fn guard_is_killed() {
    play(Expected::RepeatableServed, false, |fleet, _| fleet.signal(GUARD, Signal::Kill));
}

/// Guards against running work that is given up or started elsewhere because its guard is silent.
#[test]
fn guard_is_paused() {
    play(Expected::AllServed, false, |fleet, _| pause(fleet, GUARD, FAULT_TIME));
}

/// Guards against calls that a planned stop of their guard ends.
#[test]
fn guard_is_stopped() {
    play(Expected::AllServed, false, |fleet, _| fleet.signal(GUARD, Signal::Terminate));
}

/// Guards against calls that run twice after their entry is gone.
#[test]
fn entry_is_killed() {
    play(Expected::NoAnswer, false, |fleet, _| fleet.signal(ENTRY, Signal::Kill));
}

/// Guards against running work that is given up because its entry is silent.
#[test]
fn entry_is_paused() {
    play(Expected::AllServed, false, |fleet, _| pause(fleet, ENTRY, FAULT_TIME));
}

/// Guards against calls that a planned stop of their entry ends.
#[test]
fn entry_is_stopped() {
    play(Expected::AllServed, false, |fleet, _| fleet.signal(ENTRY, Signal::Terminate));
}

/// Guards against calls that are repeated, or reported as not run, after their upstream is gone.
#[test]
fn upstream_is_killed() {
    play(Expected::RepeatableServed, false, |_, upstreams| {
        upstreams.iter().for_each(UpstreamStandin::kill);
    });
}

/// Guards against calls that are repeated, or reported as not run, after their answer is lost.
#[test]
fn answers_are_lost_at_the_upstream() {
    play(Expected::RepeatableServed, true, |_, _| {});
}

/// Guards against calls that are repeated, or reported as not run, after frames to the guard are lost.
#[test]
fn link_is_cut_towards_the_guard() {
    play(Expected::RepeatableServed, false, |fleet, _| cut(fleet, Direction::ToListener));
}

/// Guards against calls that are repeated, or reported as not run, after frames of the guard are lost.
#[test]
fn link_is_cut_towards_the_entry() {
    play(Expected::RepeatableServed, false, |fleet, _| cut(fleet, Direction::ToDialer));
}

/// Guards against calls that end because the platform is out of reach.
#[test]
fn platform_is_cut_off() {
    play(Expected::AllServed, false, |fleet, _| {
        (0..3).for_each(|node| fleet.cut_platform(node));
    });
}

/// Guards against an answer that is held back until the deadline because an earlier attempt is silent.
#[test]
fn a_server_error_is_not_held_back_for_a_silent_attempt() {
    let (fleet, upstreams) = start_fleet();
    upstreams.iter().for_each(|upstream| upstream.set_behaviour(Step::Running.behaviour()));
    let call = |fleet: &Fleet| {
        let started = Instant::now();
        (make_call(fleet, Step::Running, "GET", 0), started.elapsed())
    };
    let (result, took) = thread::scope(|scope| {
        let call = scope.spawn(|| call(&fleet));
        thread::sleep(millis(300));
        let _others = start_upstreams(&fleet, OTHER_GUARD, |behaviour| {
            *behaviour = Behaviour { fail_one_in: 1, ..Behaviour::default() };
        });
        thread::sleep(FAULT_AT - millis(300));
        fleet.signal(GUARD, Signal::Pause);
        call.join().unwrap()
    });
    fleet.signal(GUARD, Signal::Resume);
    assert_eq!(result.map(|answer| answer.status), Ok(500));
    assert!(took < seconds(5), "the answer took {took:?}");
}

/// Pauses around the time limits between nodes: idle check of a link (150 and 250 ms), ping (400 ms) and
/// pong (300 ms) of a call, handshake (250 ms), fence (500 ms), unacknowledged frames (2 s), and backoff
/// of control links (4 s).
const PAUSES_MS: [u64; 6] = [200, 450, 750, 1200, 2300, 5000];

/// Pauses a node in the middle of calls of 600 ms, for each of [`PAUSES_MS`]. The calls have one
/// endpoint only.
fn check_pauses(node: usize) {
    let (fleet, upstreams) = start_fleet();
    let step = Step::Running;
    for upstream in &upstreams {
        upstream.set_behaviour(Behaviour { service_ms: 600, ..Behaviour::default() });
    }
    let mut broken = Vec::new();
    for (number, time) in PAUSES_MS.into_iter().enumerate() {
        fleet.wait_served_by(ENTRY, "/running/ready", None);
        let results = thread::scope(|scope| {
            let fleet = &fleet;
            let calls = ["POST", "GET"]
                .map(|method| scope.spawn(move || make_call(fleet, step, method, number)));
            thread::sleep(millis(250));
            pause(fleet, node, millis(time));
            calls.map(|call| call.join().unwrap())
        });
        for (method, result) in ["POST", "GET"].into_iter().zip(results) {
            let runs = runs(&upstreams).get(&target(step, method, number)).copied().unwrap_or(0);
            let cell = Cell { step, method, result, runs };
            println!(
                "{time} ms, {method}: {:?}, {runs} runs",
                cell.result.as_ref().map(|a| a.status)
            );
            if let Err(reason) = cell.check(Expected::AllServed) {
                broken.push(format!("{time} ms: {reason}: {cell:?}"));
            }
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Guards against running work that is given up or run again because its guard is silent for some time.
#[test]
fn pauses_of_the_guard_end_no_call() {
    check_pauses(GUARD);
}

/// Guards against running work that is given up because its entry is silent for some time.
#[test]
fn pauses_of_the_entry_end_no_call() {
    check_pauses(ENTRY);
}
