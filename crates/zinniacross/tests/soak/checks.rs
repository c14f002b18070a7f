//! What must hold in a soak, judged by what callers and upstreams have seen.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::common::caller::{Answer, Lost};
use crate::common::repeats::{RepeatLimit, WorstWindow, worst_window};

/// Timeout of the routes.
pub const ROUTE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time beyond the timeout of the route in which an answer must be there, on a machine that also builds
/// and measures.
const LATE: Duration = Duration::from_secs(3);

/// Rate and burst of the account that sends in excess.
pub const RATE: u32 = 20;
pub const BURST: u32 = 20;

/// Budget of the routes in percent, with the default of the setting `upstream.spare_retries`. It is small, so
/// that the faults of a plan call for more.
pub const REPEATS: RepeatLimit = RepeatLimit { percent: 2, spare: 20 };

/// Window in which the calls of that account are counted, and how many are allowed in it: a tenth and
/// 20 calls above the rate and the burst, as the users' pages say.
const RATE_WINDOW: Duration = Duration::from_secs(5);
const MAX_IN_WINDOW: usize = ((RATE * 5 + BURST) as usize) * 11 / 10 + 20;

/// Kind of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// May be repeated; the answer is the token of the call.
    Get,
    /// May not be repeated; the answer is the token of the call.
    Post,
    /// A response of [`STREAMED_BYTES`] in chunks.
    Stream,
    /// A GET of the account that sends in excess.
    Excess,
    /// A GET with a key that was withdrawn before the faults.
    Gone,
}

/// Size of a streamed response, in bytes.
pub const STREAMED_BYTES: usize = 200_000;

/// A call as its caller saw it.
#[derive(Debug, Clone)]
pub struct Call {
    pub kind: Kind,
    pub entry: usize,
    /// Unique text in the path.
    pub token: String,
    /// Whether the connection was opened for this call.
    pub is_first: bool,
    pub started: Instant,
    pub ended: Instant,
    pub result: Result<Answer, Lost>,
}

/// What was done to the process of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disturbance {
    Killed,
    Stopped,
    Paused,
}

/// Time in which a node was disturbed.
#[derive(Debug, Clone, Copy)]
pub struct Disturbed {
    pub node: usize,
    pub what: Disturbance,
    pub from: Instant,
    pub to: Instant,
}

/// Everything that was seen.
#[derive(Debug, Default)]
pub struct Observed {
    pub calls: Vec<Call>,
    pub disturbed: Vec<Disturbed>,
    /// How often a call with each token ran, at all upstreams together.
    pub runs: HashMap<String, u32>,
    /// When a call with each token reached an upstream, whether or not it ran.
    pub arrivals: Vec<(Instant, String)>,
    /// Times in which any fault was in force.
    pub faults: Vec<(Instant, Instant)>,
    /// Runs that began at an upstream long after it had said that it leaves.
    pub runs_while_leaving: Vec<String>,
    /// Nodes that ended without being told, or whose log contains a panic.
    pub ended: Vec<String>,
    /// Entries that did not serve again after all faults were over.
    pub not_recovered: Vec<String>,
}

impl Observed {
    fn is_disturbed(&self, call: &Call, what: &[Disturbance]) -> bool {
        self.disturbed.iter().any(|disturbed| {
            disturbed.node == call.entry
                && what.contains(&disturbed.what)
                && disturbed.from < call.ended
                && call.started < disturbed.to
        })
    }

    fn is_in_fault(&self, call: &Call) -> bool {
        self.faults.iter().any(|(from, to)| *from < call.ended && call.started < *to)
    }

    fn runs_of(&self, call: &Call) -> u32 {
        self.runs.get(&call.token).copied().unwrap_or(0)
    }

    /// Returns each broken promise, with the rule's name first.
    pub fn violations(&self) -> Vec<String> {
        let per_call = self.calls.iter().flat_map(|call| {
            let found = [
                ("MIXED", self.is_mixed(call)),
                ("TWICE", call.kind == Kind::Post && self.runs_of(call) > 1),
                ("NOT-RUN", is_said_not_run(call) && self.runs_of(call) > 0),
                ("UNASKED", is_success(call) && self.runs_of(call) == 0),
                ("LOST", self.is_lost(call)),
                ("CUT", self.is_cut_without_reason(call)),
                ("LATE", self.is_late(call)),
                ("GONE", call.kind == Kind::Gone && is_success(call)),
            ];
            let broken = found.into_iter().filter(|(_, is_broken)| *is_broken);
            let text = |rule| format!("{rule}: {} runs, {}", self.runs_of(call), describe(call));
            broken.map(|(rule, _)| text(rule)).collect::<Vec<_>>()
        });
        let asked: std::collections::HashSet<&str> =
            self.calls.iter().map(|call| call.token.as_str()).collect();
        let unasked = self.runs.keys().filter(|token| !asked.contains(token.as_str()));
        let named = |rule: &'static str, found: &[String]| -> Vec<String> {
            found.iter().map(|text| format!("{rule}: {text}")).collect()
        };
        per_call
            .chain(unasked.map(|token| format!("UNASKED: no caller has sent {token}")))
            .chain(self.excess().map(|count| format!("QUOTA: {count} calls in {RATE_WINDOW:?}")))
            .chain(self.excess_repeats().map(|worst| format!("BUDGET: {worst:?}")))
            .chain(named("DRAIN", &self.runs_while_leaving))
            .chain(named("ENDED", &self.ended))
            .chain(named("RECOVER", &self.not_recovered))
            .collect()
    }

    /// The answer belongs to another call, or is not whole and looks so.
    fn is_mixed(&self, call: &Call) -> bool {
        let Ok(answer) = &call.result else { return false };
        if answer.status != 200 {
            return false;
        }
        match call.kind {
            Kind::Stream => answer.body.len() != STREAMED_BYTES,
            _ => answer.body != call.token.as_bytes(),
        }
    }

    /// A call got no answer, although nobody killed its entry. A connection that is set up in the moment
    /// in which a listener closes is reset by the kernel.
    fn is_lost(&self, call: &Call) -> bool {
        let Err(lost) = &call.result else { return false };
        let may_refuse = [Disturbance::Killed, Disturbance::Stopped];
        match lost {
            Lost::Refused => !self.is_disturbed(call, &may_refuse),
            Lost::NoAnswer(_) if call.is_first => !self.is_disturbed(call, &may_refuse),
            Lost::NoAnswer(_) => !self.is_disturbed(call, &[Disturbance::Killed]),
            Lost::Cut { .. } => false,
        }
    }

    /// A response broke off although there was no fault.
    fn is_cut_without_reason(&self, call: &Call) -> bool {
        matches!(call.result, Err(Lost::Cut { .. })) && !self.is_in_fault(call)
    }

    fn is_late(&self, call: &Call) -> bool {
        let all = [Disturbance::Killed, Disturbance::Stopped, Disturbance::Paused];
        let took = call.ended.saturating_duration_since(call.started);
        call.kind != Kind::Stream && took > ROUTE_TIMEOUT + LATE && !self.is_disturbed(call, &all)
    }

    /// The window with the most repeats beyond the limit, if there are too many.
    fn excess_repeats(&self) -> Option<WorstWindow> {
        Some(self.worst_repeats()).filter(|worst| !worst.is_within_limit())
    }

    /// The window with the most repeats beyond the limit.
    pub fn worst_repeats(&self) -> WorstWindow {
        let requests = self.calls.iter().filter(|call| call.kind != Kind::Gone);
        let requests: Vec<Instant> = requests.map(|call| call.started).collect();
        let arrivals: Vec<(Instant, &str)> =
            self.arrivals.iter().map(|(at, token)| (*at, token.as_str())).collect();
        worst_window(&requests, &arrivals, REPEATS)
    }

    /// Most served calls of the account in excess in any window, if these are too many.
    fn excess(&self) -> Option<usize> {
        self.most_excess().filter(|most| *most > MAX_IN_WINDOW)
    }

    /// Most served calls of the account in excess in any window.
    pub fn most_excess(&self) -> Option<usize> {
        let excess = self.calls.iter().filter(|call| call.kind == Kind::Excess && is_success(call));
        let mut served: Vec<Instant> = excess.map(|call| call.ended).collect();
        served.sort();
        let in_window = |(index, at): (usize, &Instant)| {
            served[index..].iter().take_while(|other| **other < *at + RATE_WINDOW).count()
        };
        served.iter().enumerate().map(in_window).max()
    }
}

fn is_success(call: &Call) -> bool {
    matches!(&call.result, Ok(answer) if answer.status == 200)
}

fn is_said_not_run(call: &Call) -> bool {
    let Ok(answer) = &call.result else { return false };
    let document: Option<serde_json::Value> = serde_json::from_slice(&answer.body).ok();
    document.is_some_and(|document| document["outcome"] == "not run")
}

fn describe(call: &Call) -> String {
    let Call { kind, entry, token, is_first, started, ended, result } = call;
    let took = ended.saturating_duration_since(*started);
    let result = match result {
        Ok(answer) => {
            let body = String::from_utf8_lossy(&answer.body[..answer.body.len().min(200)]);
            format!("status {}, {} bytes: {body}", answer.status, answer.body.len())
        }
        Err(lost) => format!("{lost:?}"),
    };
    format!(
        "{kind:?} {token} at entry {entry}, first on its connection: {is_first}, {took:?}: {result}"
    )
}
