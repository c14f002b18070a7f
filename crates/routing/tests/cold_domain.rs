//! A load on a service of which a whole failure domain comes back cold, without a network.
//!
//! 48 entries send the calls of one service to 48 endpoints in 4 failure domains. The endpoints of one
//! domain have been evacuated and come back at the same moment, cold for 3 s. Calls take twice as long at a
//! cold endpoint. Entries choose, and try again elsewhere, by the same rules as the node.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::Duration;

use admission::{
    Attempt, AttemptDecision, AttemptKind, Check, ColdNotice, Decision, Guard, GuardLimits,
    RateStatus, RetryLimit, WaitLimit,
};
use model::{
    AttemptId, EndpointName, EndpointState, FailureDomain, Incarnation, LoadReport, NodeName,
    Percent, Rate, ResultCode, ServicePolicy, Slots, Time,
};
use routing::{
    AttemptEnd, Balancer, BalancerParams, BodyState, BusyPolicy, CallAttempts, Candidate,
    Candidates, Evidence, Idempotence, LoadView, MAX_EXPECTED_WAIT, NextAction, RandomSource,
    RetryParams, SplitMix64, Stage, UnsentRetryLimiter, usable_slots,
};

const ENDPOINTS: usize = 48;
const PER_DOMAIN: usize = 12;
const SLOTS: Slots = Slots(11);
const POLICY: ServicePolicy =
    ServicePolicy { cold_for_ms: 3000, cold_per_second: Rate::per_second(13) };

/// The endpoints of the first failure domain come back at this time.
const BACK_AT: Duration = Duration::from_secs(2);
const WARM_AT: Duration = Duration::from_secs(5);
const END: Duration = Duration::from_secs(9);
const TIMEOUT: Duration = Duration::from_secs(2);
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// The same figures as in the node's choice of an endpoint.
const MAX_BUSY_REFUSALS_IN_OVERLOAD: usize = 2;
const OVERLOAD_WAIT_DIVISOR: u32 = 10;

fn allow(_: &Attempt) -> Check {
    Check::Allowed
}

fn at(since_start: Duration) -> Time {
    Time::from_micros(1_000_000) + since_start
}

fn domain(index: usize) -> FailureDomain {
    format!("mid-{}", index / PER_DOMAIN).parse().unwrap()
}

/// Time from an entry to a guard.
fn one_way(entry: usize, endpoint: usize) -> Duration {
    match entry / PER_DOMAIN == endpoint / PER_DOMAIN {
        true => Duration::from_micros(400),
        false => Duration::from_micros(1500),
    }
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Announce(usize),
    AtGuard(AttemptId),
    Tick(usize),
    Finish(AttemptId),
    /// The answer, or the code of the refusal, and the load of the endpoint.
    Reply(AttemptId, Option<u16>, [u32; 4]),
}

/// One call of a caller, with its attempt in progress.
struct Call {
    entry: usize,
    arrived: Time,
    attempts: CallAttempts,
    tried: Vec<EndpointName>,
    busy: Vec<EndpointName>,
    endpoint: usize,
    sent_at: Time,
    max_wait: Option<Duration>,
}

/// What an entry knows.
struct Entry<'a> {
    fleet: &'a Fleet,
    loads: &'a [LoadView],
    now: Time,
    policy: Option<ServicePolicy>,
}

struct Fleet {
    names: Vec<EndpointName>,
    domains: Vec<FailureDomain>,
    node: NodeName,
}

impl Candidates for Entry<'_> {
    fn count(&self) -> usize {
        ENDPOINTS
    }

    fn candidate(&self, index: usize) -> Candidate<'_> {
        let load = self.loads[index].current(self.now);
        let is_known = index >= PER_DOMAIN || self.now >= at(BACK_AT);
        Candidate {
            endpoint: &self.fleet.names[index],
            node: &self.fleet.node,
            domain: &self.fleet.domains[index],
            slots: self.policy.map_or(SLOTS, |_| usable_slots(SLOTS, load)),
            weight: if is_known { 100 } else { 0 },
            stage: Stage::Regular,
            path_penalty: Duration::ZERO,
            load,
        }
    }
}

/// Outcomes of calls that arrived in one second.
#[derive(Debug, Default)]
struct Outcomes {
    answered: usize,
    refused: usize,
    latencies: Vec<Duration>,
}

impl Outcomes {
    fn percentile(&self, percent: usize) -> Duration {
        let mut sorted = self.latencies.clone();
        sorted.sort();
        sorted.get(sorted.len() * percent / 100).copied().unwrap_or_default()
    }
}

struct Play {
    fleet: Fleet,
    policy: Option<ServicePolicy>,
    arrival_interval: Duration,
    guards: Vec<Guard>,
    loads: Vec<Vec<LoadView>>,
    limiters: Vec<UnsentRetryLimiter>,
    random: SplitMix64,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    sequence: u64,
    calls: HashMap<AttemptId, Call>,
    now: Time,
    /// Starts at each endpoint while it is cold.
    cold_starts: BTreeMap<usize, Vec<Time>>,
    outcomes: Vec<Outcomes>,
    attempts: u64,
}

impl Play {
    fn new(policy: Option<ServicePolicy>, calls_per_second: u32, seed: u64) -> Play {
        let mut play = Play {
            fleet: Fleet {
                names: (0..ENDPOINTS).map(|i| format!("orders-{i}").parse().unwrap()).collect(),
                domains: (0..ENDPOINTS).map(domain).collect(),
                node: "node-1".parse().unwrap(),
            },
            policy,
            arrival_interval: Duration::from_secs(1) / calls_per_second,
            guards: (0..ENDPOINTS).map(|_| Guard::new(GuardLimits::default())).collect(),
            loads: vec![vec![LoadView::default(); ENDPOINTS]; ENDPOINTS],
            limiters: (0..ENDPOINTS).map(|_| UnsentRetryLimiter::default()).collect(),
            random: SplitMix64::new(seed),
            events: BinaryHeap::new(),
            sequence: 0,
            calls: HashMap::new(),
            now: at(Duration::ZERO),
            cold_starts: BTreeMap::new(),
            outcomes: (0..=END.as_secs()).map(|_| Outcomes::default()).collect(),
            attempts: 0,
        };
        play.push(at(Duration::ZERO), Event::Arrive);
        for endpoint in 0..ENDPOINTS {
            let first = if endpoint < PER_DOMAIN { BACK_AT } else { Duration::ZERO };
            play.push(at(first), Event::Announce(endpoint));
        }
        while let Some(Reverse((now, _, event))) = play.events.pop() {
            play.now = now;
            play.handle(event);
        }
        play
    }

    fn push(&mut self, time: Time, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn is_cold(&self, endpoint: usize) -> bool {
        endpoint < PER_DOMAIN && self.now < at(WARM_AT)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive if self.now < at(END) => {
                let gap = self.arrival_interval.mul_f64(self.random.below(2001) as f64 / 1000.0);
                self.push(self.now + gap, Event::Arrive);
                let deadline = self.now + TIMEOUT;
                let idempotence = Idempotence::NonIdempotent;
                let params = RetryParams { idempotence, deadline, max_attempts: 3 };
                let call = Call {
                    entry: self.random.below(ENDPOINTS),
                    arrived: self.now,
                    attempts: CallAttempts::new(params),
                    tried: Vec::new(),
                    busy: Vec::new(),
                    endpoint: 0,
                    sent_at: self.now,
                    max_wait: None,
                };
                self.send(call);
            }
            Event::Arrive => {}
            Event::Announce(endpoint) => self.announce(endpoint),
            Event::AtGuard(id) => self.submit(id),
            Event::Tick(endpoint) => {
                let decisions = self.guards[endpoint].tick(self.now, &allow);
                self.decide(endpoint, decisions);
            }
            Event::Finish(id) => {
                let endpoint = self.calls[&id].endpoint;
                let decisions = self.guards[endpoint].finish(id, self.now, &allow);
                self.reply(id, None);
                self.decide(endpoint, decisions);
            }
            Event::Reply(id, code, load) => self.end_attempt(id, code, load),
        }
    }

    fn announce(&mut self, endpoint: usize) {
        let (name, guard) = (&self.fleet.names[endpoint], &mut self.guards[endpoint]);
        let is_new = endpoint < PER_DOMAIN;
        let cold_left = if is_new { at(WARM_AT).since(self.now) } else { Duration::ZERO };
        let notice = ColdNotice {
            order: self.sequence,
            started_ms: Some(u64::from(is_new)),
            cold_left: Some(cold_left),
        };
        let (_, mut decisions) = guard.announce_cold(name, notice, self.policy, self.now, &allow);
        let ready = EndpointState::Ready;
        decisions.extend(guard.update_endpoint(name, SLOTS, ready, self.now, &allow));
        self.decide(endpoint, decisions);
        if self.now < at(END) {
            self.push(self.now + ANNOUNCE_INTERVAL, Event::Announce(endpoint));
        }
    }

    /// Chooses an endpoint by the rules of the node, and sends an attempt there.
    fn send(&mut self, mut call: Call) {
        let deadline = call.arrived + TIMEOUT;
        let busy_policy = call.attempts.busy_policy(BodyState::Replayable);
        let excluded = [&call.tried[..], &call.busy].concat();
        let free = self.choose(call.entry, &excluded).filter(|(_, cost)| {
            let is_overload = *cost > deadline.since(self.now) / OVERLOAD_WAIT_DIVISOR;
            call.busy.len() < MAX_BUSY_REFUSALS_IN_OVERLOAD || !is_overload
        });
        let max_wait = (busy_policy == BusyPolicy::Refuse).then_some(MAX_EXPECTED_WAIT);
        let chosen = match free {
            Some((endpoint, _)) => Some((endpoint, max_wait)),
            None => self.choose(call.entry, &call.tried).map(|(endpoint, _)| (endpoint, None)),
        };
        let Some((endpoint, max_wait)) = chosen else { return self.refuse(&call) };
        self.attempts += 1;
        self.sequence += 1;
        let id = AttemptId { entry: Incarnation(call.entry as u64), sequence: self.sequence };
        self.loads[call.entry][endpoint].record_sent(self.now);
        (call.endpoint, call.sent_at, call.max_wait) = (endpoint, self.now, max_wait);
        self.push(self.now + one_way(call.entry, endpoint), Event::AtGuard(id));
        self.calls.insert(id, call);
    }

    fn choose(&mut self, entry: usize, excluded: &[EndpointName]) -> Option<(usize, Duration)> {
        let (fleet, loads) = (&self.fleet, &self.loads[entry]);
        let candidates = Entry { fleet, loads, now: self.now, policy: self.policy };
        let balancer = Balancer::new(domain(entry), BalancerParams::default());
        let idempotence = Idempotence::NonIdempotent;
        let choice = balancer.choose(&candidates, excluded, idempotence, &mut self.random)?;
        Some((choice.index, choice.cost))
    }

    fn submit(&mut self, id: AttemptId) {
        let call = &self.calls[&id];
        let endpoint = call.endpoint;
        let start_by = call.arrived + TIMEOUT;
        let attempt = Attempt {
            id,
            endpoint: self.fleet.names[endpoint].clone(),
            service: "orders".parse().unwrap(),
            route: "orders".parse().unwrap(),
            account: None,
            rate: Rate::per_second(100),
            rate_status: RateStatus::WithinRate,
            start_by,
            queue_until: call.arrived + TIMEOUT / 2,
            goal_by: Some(call.arrived + TIMEOUT / 2),
            wait_limit: call.max_wait.map_or(WaitLimit::UntilDeadline, WaitLimit::AtMost),
            priority: 0,
            is_idempotent: false,
            accepts_suspect: false,
            kind: AttemptKind::First { retry_origin_percent: Percent::ZERO },
            retry_limit: RetryLimit { share: Percent::default(), spare_milli: 0 },
        };
        let decisions = self.guards[endpoint].submit(attempt, self.now, &allow);
        self.decide(endpoint, decisions);
    }

    fn decide(&mut self, endpoint: usize, decisions: Vec<AttemptDecision>) {
        for AttemptDecision { attempt, decision } in decisions {
            match decision {
                Decision::Start => {
                    let factor = if self.is_cold(endpoint) { 2 } else { 1 };
                    if factor == 2 {
                        self.cold_starts.entry(endpoint).or_default().push(self.now);
                    }
                    let work = Duration::from_millis(100 + self.random.below(200) as u64);
                    self.push(self.now + work * factor, Event::Finish(attempt));
                }
                Decision::Queued => {}
                Decision::Refuse(code) => self.reply(attempt, Some(code)),
            }
        }
        if let Some(due) = self.guards[endpoint].next_queue_deadline() {
            self.push(due.max(self.now + Duration::from_millis(2)), Event::Tick(endpoint));
        }
    }

    fn reply(&mut self, id: AttemptId, code: Option<ResultCode>) {
        let Call { entry, endpoint, .. } = self.calls[&id];
        let load = self.guards[endpoint].load(&self.fleet.names[endpoint]);
        let load = load.map_or([0; 4], |load| {
            [load.slots.0, load.running, load.queued, load.mean_service.as_micros() as u32]
        });
        let code = code.map(ResultCode::number);
        self.push(self.now + one_way(entry, endpoint), Event::Reply(id, code, load));
    }

    fn end_attempt(&mut self, id: AttemptId, code: Option<u16>, load: [u32; 4]) {
        let mut call = self.calls.remove(&id).unwrap();
        let [slots, running, queued, micros] = load;
        let mean_service = Duration::from_micros(micros.into());
        let report = LoadReport { slots: Slots(slots), running, queued, mean_service };
        let view = &mut self.loads[call.entry][call.endpoint];
        view.record_report(report, self.now);
        view.record_end(call.sent_at);
        let Some(code) = code.and_then(ResultCode::from_number) else {
            let outcomes = self.outcomes_of(&call);
            outcomes.0.answered += 1;
            outcomes.0.latencies.push(outcomes.1);
            return;
        };
        let name = self.fleet.names[call.endpoint].clone();
        let end = match (call.max_wait, code) {
            (Some(_), ResultCode::QueueFull) => {
                call.busy.push(name);
                AttemptEnd::Busy
            }
            _ => {
                call.tried.push(name);
                AttemptEnd::Refused { code, evidence: Evidence::NotRun }
            }
        };
        let limiter = &mut self.limiters[call.entry];
        let body = BodyState::Replayable;
        match call.attempts.on_attempt_end(end, body, limiter, self.now) {
            NextAction::Retry => self.send(call),
            _ => self.refuse(&call),
        }
    }

    fn outcomes_of(&mut self, call: &Call) -> (&mut Outcomes, Duration) {
        let second = call.arrived.since(at(Duration::ZERO)).as_secs() as usize;
        (&mut self.outcomes[second], self.now.since(call.arrived))
    }

    fn refuse(&mut self, call: &Call) {
        self.outcomes_of(call).0.refused += 1;
    }

    /// The most starts that a cold endpoint has got in one second.
    fn most_cold_starts(&self) -> usize {
        let in_second = |starts: &Vec<Time>| {
            let until = |end: &Time| {
                let is_within =
                    |at: &&Time| **at <= *end && end.since(**at) <= Duration::from_secs(1);
                starts.iter().filter(is_within).count()
            };
            starts.iter().map(until).max()
        };
        self.cold_starts.values().filter_map(in_second).max().unwrap_or_default()
    }

    fn all_cold_starts(&self) -> usize {
        self.cold_starts.values().map(Vec::len).sum()
    }

    /// Outcomes of the calls that arrived in these seconds.
    fn between(&self, seconds: std::ops::Range<usize>) -> Outcomes {
        let mut sum = Outcomes::default();
        for outcomes in &self.outcomes[seconds] {
            sum.answered += outcomes.answered;
            sum.refused += outcomes.refused;
            sum.latencies.extend(&outcomes.latencies);
        }
        sum
    }

    fn print(&self, name: &str) {
        println!(
            "{name}: at most {} starts a second at a cold endpoint, {} in all, {} attempts",
            self.most_cold_starts(),
            self.all_cold_starts(),
            self.attempts
        );
        let phases = [("evacuated", 0..2), ("cold", 2..5), ("returning", 5..7), ("warm", 7..9)];
        for (phase, seconds) in phases {
            let outcomes = self.between(seconds);
            println!(
                "  {phase}: {} answered, {} refused, {:?} at the median, {:?} at the 99th percentile",
                outcomes.answered,
                outcomes.refused,
                outcomes.percentile(50),
                outcomes.percentile(99),
            );
        }
    }
}

/// Guards against cold endpoints that get more calls than they tolerate when their whole failure domain
/// comes back, and against callers that pay for it although the other domains have room.
#[test]
fn a_failure_domain_that_comes_back_cold_is_not_overrun() {
    // 36 warm endpoints do 1,980 calls of 200 ms a second, and 12 cold ones 156 of 400 ms.
    for (calls_per_second, seed) in [(600, 1), (1200, 2), (1200, 4), (1900, 3), (1900, 5)] {
        let limited = Play::new(Some(POLICY), calls_per_second, seed);
        let unlimited = Play::new(None, calls_per_second, seed);
        limited.print(&format!("{calls_per_second} calls a second, limited"));
        unlimited.print(&format!("{calls_per_second} calls a second, unlimited"));
        assert!(limited.most_cold_starts() <= 14, "the limit is 7 starts in 538 ms");
        if calls_per_second >= 1200 {
            assert!(unlimited.most_cold_starts() > 27, "the load doesn't need a limit");
            // The limit allows 12 * (13 * 3 + 3) = 504.
            assert!(limited.all_cold_starts() > 250, "cold endpoints have to share the load");
        }
        let all = limited.between(0..9);
        assert_eq!(all.refused, 0, "another endpoint had room");
        for (phase, percent) in [(2..5, 50), (2..5, 99), (5..7, 99)] {
            let [with, without] =
                [&limited, &unlimited].map(|play| play.between(phase.clone()).percentile(percent));
            assert!(with < without.mul_f64(1.1), "{with:?} instead of {without:?} in {phase:?}");
        }
        assert!(limited.attempts < unlimited.attempts * 5 / 4, "each refusal costs a round trip");
    }
}

/// Guards against calls that are refused early or wait in vain while there are more than all endpoints can
/// do: the limit costs capacity then, but only as long as the endpoints are cold.
#[test]
fn an_overload_of_a_cold_failure_domain_passes() {
    let play = Play::new(Some(POLICY), 2300, 6);
    play.print("2300 calls a second, limited");
    assert!(play.most_cold_starts() <= 14);
    let all = play.between(0..9);
    assert!(all.refused * 1000 < all.answered, "{} refused", all.refused);
    assert!(play.between(8..9).percentile(50) < play.between(5..7).percentile(50));
}
