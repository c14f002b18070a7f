//! Plays a plan on a fleet of real processes while callers send.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use model::{CallerKey, EndpointState, Kind as ObjectKind};
use standins::platform::Faults;
use standins::process::{Signal, wait_until};
use standins::upstream::{Behaviour, UpstreamStandin};

use crate::checks::{
    BURST, Call, Disturbance, Disturbed, Kind, Observed, RATE, REPEATS, ROUTE_TIMEOUT,
    STREAMED_BYTES,
};
use crate::common::{Caller, Cut, Fleet, StopOnDrop, millis, seconds};
use crate::plan::{Fault, Plan, Step};

/// Slots of each upstream.
const SLOTS: u32 = 4;

/// Time after a fault in which callers may still notice it.
const AFTERMATH: Duration = Duration::from_secs(2);

/// Time after the notice of an upstream that leaves from which no call may begin there: an announcement
/// is at most a second away, and calls that had begun are over.
const LEAVING_MS: u64 = 3000;

/// Time in which a node that was asked to stop ends: its calls have a timeout of 3 s.
const STOP_WITHIN: Duration = Duration::from_secs(20);

/// Time in which every entry serves again when all faults are over.
const RECOVER_WITHIN: Duration = Duration::from_secs(15);

/// Time after the last answer in which a call that was said not to have run could still run.
const LATE_RUN_TIME: Duration = Duration::from_secs(2);

/// State of the process of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NodeState {
    Running,
    Paused(Instant),
    Stopping(Instant),
    Killed(Instant),
}

/// What happens at one moment of the plan.
#[derive(Debug, Clone, Copy)]
enum Action {
    Begin(Fault),
    StartNode(usize),
    ResumeNode(usize),
    HealLinks,
    EndPlatformDown,
    EndPlatformSlow,
    RestoreUpstream(usize),
    StartUpstream(usize),
    /// From here on an upstream that leaves must not get calls.
    Left(usize),
}

/// A fleet and what has been done to it.
pub struct Driver {
    pub fleet: Fleet,
    observed: Observed,
    nodes: Vec<NodeState>,
    /// Killed stand-ins, whose runs count as well.
    gone_upstreams: Vec<UpstreamStandin>,
    is_upstream_down: Vec<bool>,
    /// Runs of an upstream when it had left, until something else happens to it.
    left: HashMap<usize, u64>,
    platform_faults: Faults,
    timeline: BTreeMap<(u64, usize), Action>,
}

impl Driver {
    /// Starts the fleet of a plan.
    pub fn start(plan: &Plan) -> Driver {
        let mut fleet = Fleet::start(plan.nodes);
        for index in 0..plan.upstreams {
            fleet.upstream(index % plan.nodes, "orders", SLOTS, healthy());
        }
        for (route, access) in [("orders", "open"), ("keyed", "keyed")] {
            let document = format!(
                r#"{{"prefix":"/{route}","service":"orders","access":"{access}","timeout_ms":{},
                "idempotent":["GET","HEAD"],"retry_budget":{},"floor":50}}"#,
                ROUTE_TIMEOUT.as_millis(),
                REPEATS.percent
            );
            fleet.put(ObjectKind::Route, route, &document);
        }
        fleet.wait_served("/orders/ready", None);
        let mut driver = Driver {
            nodes: vec![NodeState::Running; plan.nodes],
            is_upstream_down: vec![false; plan.upstreams],
            fleet,
            observed: Observed::default(),
            gone_upstreams: Vec::new(),
            left: HashMap::new(),
            platform_faults: Faults::default(),
            timeline: BTreeMap::new(),
        };
        for Step { at_ms, fault } in &plan.steps {
            driver.schedule(*at_ms, Action::Begin(*fault));
        }
        driver
    }

    /// Plays the plan under load, ends all faults and waits until the fleet serves again.
    pub fn play(mut self) -> (Observed, Fleet) {
        let excess = self.fleet.account("excess", RATE, BURST);
        let gone = self.fleet.account("gone", 1000, 1000);
        self.fleet.wait_served("/keyed/ready", Some(&gone));
        self.fleet.withdraw(&gone);
        let entries: Vec<SocketAddr> = self.fleet.nodes.iter().map(|node| node.caller).collect();
        for entry in &entries {
            let refused = wait_until(seconds(10), || {
                let answer = Caller::new(*entry).get("/keyed/ready", Some(&gone));
                matches!(answer, Ok(answer) if answer.status == 401)
            });
            assert!(refused, "the withdrawn key is not refused");
        }
        let stop = AtomicBool::new(false);
        let calls = thread::scope(|scope| {
            let loops: Vec<_> = entries
                .iter()
                .enumerate()
                .flat_map(|(entry, addr)| load(entry, *addr, &excess, &gone))
                .map(|load| {
                    let stop = &stop;
                    scope.spawn(move || load.run(stop))
                })
                .collect();
            {
                let _stop = StopOnDrop(&stop);
                self.play_timeline();
                self.end_faults();
                self.check_recovery(&entries);
            }
            loops.into_iter().flat_map(|calls| calls.join().unwrap()).collect()
        });
        self.observed.calls = calls;
        thread::sleep(LATE_RUN_TIME);
        self.count_runs();
        self.check_processes();
        (self.observed, self.fleet)
    }

    fn schedule(&mut self, at_ms: u64, action: Action) {
        let number = self.timeline.len();
        let free = (number..).find(|number| !self.timeline.contains_key(&(at_ms, *number)));
        self.timeline.insert((at_ms, free.unwrap_or(number)), action);
    }

    fn play_timeline(&mut self) {
        let started = Instant::now();
        while let Some(((at_ms, _), action)) = self.timeline.pop_first() {
            thread::sleep((started + millis(at_ms)).saturating_duration_since(Instant::now()));
            self.apply(at_ms, action);
        }
    }

    fn apply(&mut self, now_ms: u64, action: Action) {
        match action {
            Action::Begin(fault) => self.begin(now_ms, fault),
            Action::StartNode(node) => self.start_node(now_ms, node),
            Action::ResumeNode(node) => self.resume(node),
            Action::HealLinks => self.fleet.heal(),
            Action::EndPlatformDown => self.change_platform(|faults| faults.down = false),
            Action::EndPlatformSlow => self.change_platform(|faults| faults.slow_ms = 0),
            Action::RestoreUpstream(upstream) => self.restore_upstream(upstream),
            Action::StartUpstream(upstream) => self.start_upstream(upstream),
            Action::Left(upstream) => {
                if self.fleet.upstreams[upstream].is_leaving() {
                    self.left.insert(upstream, self.fleet.upstreams[upstream].runs());
                }
            }
        }
    }

    fn begin(&mut self, now_ms: u64, fault: Fault) {
        let from = Instant::now();
        let last = |driver: &mut Driver, ms: u64, action: Action| {
            driver.observed.faults.push((from, Instant::now() + millis(ms) + AFTERMATH));
            driver.schedule(now_ms + ms, action);
        };
        match fault {
            Fault::KillNode { node, ms } => {
                self.kill_node(node);
                last(self, ms, Action::StartNode(node));
            }
            Fault::StopNode { node, ms } => {
                if self.nodes[node] == NodeState::Running {
                    self.disturb_endpoints_of(node);
                    self.fleet.signal(node, Signal::Terminate);
                    self.nodes[node] = NodeState::Stopping(Instant::now());
                }
                last(self, ms, Action::StartNode(node));
            }
            Fault::PauseNode { node, ms } => {
                if self.nodes[node] == NodeState::Running {
                    self.disturb_endpoints_of(node);
                    self.fleet.signal(node, Signal::Pause);
                    self.nodes[node] = NodeState::Paused(Instant::now());
                }
                last(self, ms, Action::ResumeNode(node));
            }
            Fault::ReloadNode { node } => {
                if self.nodes[node] == NodeState::Running {
                    self.fleet.signal(node, Signal::Hangup);
                }
            }
            Fault::CutOutgoing { node, ms } => {
                self.fleet.cut_node(node, Cut::Outgoing);
                last(self, ms, Action::HealLinks);
            }
            Fault::CutIncoming { node, ms } => {
                self.fleet.cut_node(node, Cut::Incoming);
                last(self, ms, Action::HealLinks);
            }
            Fault::CutPlatform { node, ms } => {
                self.fleet.cut_platform(node);
                last(self, ms, Action::HealLinks);
            }
            Fault::PlatformDown { ms } => {
                self.change_platform(|faults| faults.down = true);
                last(self, ms, Action::EndPlatformDown);
            }
            Fault::PlatformSlow { ms } => {
                self.change_platform(|faults| faults.slow_ms = 400);
                last(self, ms, Action::EndPlatformSlow);
            }
            Fault::LoseAnswers { count } => {
                self.change_platform(|faults| faults.lose_answers = count);
            }
            Fault::KillUpstream { upstream, ms } => {
                self.left.remove(&upstream);
                self.fleet.upstreams[upstream].kill();
                self.is_upstream_down[upstream] = true;
                last(self, ms, Action::StartUpstream(upstream));
            }
            Fault::SlowUpstream { upstream, ms }
            | Fault::FailingUpstream { upstream, ms }
            | Fault::DroppingUpstream { upstream, ms }
            | Fault::SheddingUpstream { upstream, ms }
            | Fault::LeavingUpstream { upstream, ms } => {
                self.left.remove(&upstream);
                self.fleet.upstreams[upstream].set_behaviour(behaviour_in(fault));
                last(self, ms, Action::RestoreUpstream(upstream));
                if matches!(fault, Fault::LeavingUpstream { .. }) {
                    self.schedule(now_ms + LEAVING_MS, Action::Left(upstream));
                }
            }
        }
    }

    /// Endpoints of a node that does not hear their notices are not checked.
    fn disturb_endpoints_of(&mut self, node: usize) {
        let nodes = self.nodes.len();
        self.left.retain(|upstream, _| upstream % nodes != node);
        for upstream in (node..self.fleet.upstreams.len()).step_by(nodes) {
            if self.fleet.upstreams[upstream].is_leaving() {
                self.fleet.upstreams[upstream].set_behaviour(healthy());
            }
        }
    }

    fn kill_node(&mut self, node: usize) {
        if matches!(self.nodes[node], NodeState::Killed(_)) {
            return;
        }
        self.disturb_endpoints_of(node);
        self.end_state(node);
        let since = Instant::now();
        self.fleet.kill(node);
        self.nodes[node] = NodeState::Killed(since);
    }

    /// Records the disturbance that ends now.
    fn end_state(&mut self, node: usize) {
        let (what, from) = match self.nodes[node] {
            NodeState::Running => return,
            NodeState::Paused(from) => (Disturbance::Paused, from),
            NodeState::Stopping(from) => (Disturbance::Stopped, from),
            NodeState::Killed(from) => (Disturbance::Killed, from),
        };
        self.observed.disturbed.push(Disturbed { node, what, from, to: Instant::now() });
    }

    fn start_node(&mut self, now_ms: u64, node: usize) {
        match self.nodes[node] {
            NodeState::Running | NodeState::Paused(_) => return,
            NodeState::Killed(_) => {}
            NodeState::Stopping(since) => {
                match self.fleet.nodes[node].process.wait(Duration::ZERO) {
                    Some(true) => {}
                    Some(false) => {
                        self.observed.ended.push(format!("node-{node} stopped with a failure"));
                    }
                    None if since.elapsed() < STOP_WITHIN => {
                        return self.schedule(now_ms + 200, Action::StartNode(node));
                    }
                    None => {
                        self.observed.ended.push(format!("node-{node} does not stop"));
                        self.fleet.kill(node);
                    }
                }
            }
        }
        self.fleet.start_again(node);
        let caller = self.fleet.nodes[node].caller;
        wait_until(seconds(10), || TcpStream::connect(caller).is_ok());
        self.end_state(node);
        self.nodes[node] = NodeState::Running;
    }

    fn resume(&mut self, node: usize) {
        if matches!(self.nodes[node], NodeState::Paused(_)) {
            self.fleet.signal(node, Signal::Resume);
            self.end_state(node);
            self.nodes[node] = NodeState::Running;
        }
    }

    fn change_platform(&mut self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.platform_faults);
        self.fleet.platform.set_faults(self.platform_faults);
        // The stand-in counts the lost answers down; they must not be set again.
        self.platform_faults.lose_answers = 0;
    }

    fn restore_upstream(&mut self, upstream: usize) {
        if let Some(runs) = self.left.remove(&upstream) {
            let later = self.fleet.upstreams[upstream].runs() - runs;
            if later > 0 {
                let text = format!("{later} calls began at upstream {upstream} after it had left");
                self.observed.runs_while_leaving.push(text);
            }
        }
        self.fleet.upstreams[upstream].set_behaviour(healthy());
    }

    fn start_upstream(&mut self, upstream: usize) {
        if !std::mem::take(&mut self.is_upstream_down[upstream]) {
            return;
        }
        let node = upstream % self.nodes.len();
        let new = self.fleet.start_upstream(upstream, node, "orders", SLOTS, healthy());
        self.gone_upstreams.push(std::mem::replace(&mut self.fleet.upstreams[upstream], new));
    }

    fn end_faults(&mut self) {
        for node in 0..self.nodes.len() {
            self.resume(node);
            while self.nodes[node] != NodeState::Running {
                self.start_node(0, node);
                self.timeline.clear();
                thread::sleep(millis(50));
            }
        }
        for upstream in 0..self.fleet.upstreams.len() {
            self.start_upstream(upstream);
            self.restore_upstream(upstream);
        }
        self.fleet.heal();
        self.platform_faults = Faults::default();
        self.fleet.platform.set_faults(self.platform_faults);
        let now = Instant::now();
        self.observed.faults.push((now, now + AFTERMATH));
    }

    /// Every entry has to serve calls of both kinds in a row again.
    fn check_recovery(&mut self, entries: &[SocketAddr]) {
        for (node, entry) in entries.iter().enumerate() {
            let mut last = None;
            let serves = wait_until(RECOVER_WITHIN, || {
                let mut caller = Caller::new(*entry);
                ["GET", "POST"].repeat(5).iter().all(|method| {
                    let answer = caller.call(method, "/orders/ready", None, b"");
                    let is_served = matches!(&answer, Ok(answer) if answer.status == 200);
                    last = Some(answer);
                    is_served
                })
            });
            if !serves {
                self.observed.not_recovered.push(format!("entry {node}: {last:?}"));
            }
        }
    }

    fn count_runs(&mut self) {
        for upstream in self.fleet.upstreams.iter().chain(&self.gone_upstreams) {
            let arrivals = upstream.arrivals();
            let arrivals =
                arrivals.iter().filter_map(|seen| Some((seen.at, token_of(&seen.target)?)));
            self.observed.arrivals.extend(arrivals.map(|(at, token)| (at, token.to_owned())));
            for seen in upstream.counts().seen {
                let target = seen.split(' ').next().unwrap_or_default();
                if let Some(token) = token_of(target) {
                    *self.observed.runs.entry(token.to_owned()).or_default() += 1;
                }
            }
        }
    }

    fn check_processes(&mut self) {
        for node in 0..self.nodes.len() {
            if self.fleet.nodes[node].process.wait(Duration::ZERO).is_some() {
                self.observed.ended.push(format!("node-{node} has ended"));
            }
        }
        for (file, text) in self.fleet.all_logs() {
            if text.contains("panicked at") {
                self.observed.ended.push(format!("{file} contains a panic"));
            }
        }
    }
}

fn healthy() -> Behaviour {
    Behaviour { service_ms: 15, part_ms: 20, ..Behaviour::default() }
}

fn behaviour_in(fault: Fault) -> Behaviour {
    let mut behaviour = healthy();
    match fault {
        Fault::SlowUpstream { .. } => behaviour.service_ms *= 20,
        Fault::FailingUpstream { .. } => behaviour.fail_one_in = 3,
        Fault::DroppingUpstream { .. } => behaviour.drop_answers = true,
        Fault::SheddingUpstream { .. } => behaviour.shed = true,
        Fault::LeavingUpstream { .. } => behaviour.state = EndpointState::Leaving,
        _ => {}
    }
    behaviour
}

/// The calls of one caller.
struct Load {
    kind: Kind,
    entry: usize,
    addr: SocketAddr,
    key: Option<CallerKey>,
    name: String,
}

/// The callers of one entry.
fn load(entry: usize, addr: SocketAddr, excess: &CallerKey, gone: &CallerKey) -> Vec<Load> {
    let kinds = [Kind::Get, Kind::Post, Kind::Post, Kind::Stream, Kind::Excess, Kind::Gone];
    let load = |(index, kind): (usize, Kind)| {
        let key = match kind {
            Kind::Excess => Some(excess.clone()),
            Kind::Gone => Some(gone.clone()),
            Kind::Get | Kind::Post | Kind::Stream => None,
        };
        Load { kind, entry, addr, key, name: format!("{entry}-{index}") }
    };
    kinds.into_iter().enumerate().map(load).collect()
}

impl Load {
    fn run(self, stop: &AtomicBool) -> Vec<Call> {
        let mut caller = Caller::new(self.addr);
        let mut calls = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            let token = format!("{}-{}", self.name, calls.len());
            let (method, path) = match self.kind {
                Kind::Get => ("GET", format!("/orders/name/{token}")),
                Kind::Post => ("POST", format!("/orders/name/{token}")),
                Kind::Stream => ("GET", format!("/orders/{token}/chunked/{STREAMED_BYTES}")),
                Kind::Excess | Kind::Gone => ("GET", format!("/keyed/name/{token}")),
            };
            let (started, connects) = (Instant::now(), caller.connects);
            let result = caller.call(method, &path, self.key.as_ref(), b"");
            let is_first = caller.connects > connects;
            let ended = Instant::now();
            let pause = if result.is_ok() { 20 } else { 60 };
            let entry = self.entry;
            calls.push(Call { kind: self.kind, entry, token, is_first, started, ended, result });
            thread::sleep(millis(pause));
        }
        calls
    }
}

/// The token in the target of a call of the load.
fn token_of(target: &str) -> Option<&str> {
    match target.split_once("/name/") {
        Some((_, token)) => Some(token),
        None => target.strip_prefix("/orders/")?.split_once("/chunked/").map(|(token, _)| token),
    }
}
