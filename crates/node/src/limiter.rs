//! Rate limits: takes tokens as an entry and grants them as an owner.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use limits::{Allowances, Arrival, Decision, Owner, TokenAnswer, TokenRequest, TokenResult, Wake};
use model::{Account, AccountName, NodeName, PartitionId, ResultCode, Time};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout_at};
use wire::{Frame, PartitionHandover, TokenAnswers};

use crate::owners::{MAX_REDIRECTS, next_to_ask, node_to_ask};
use crate::shared::{Map, Node, lock, read};

/// Longest pause between two looks at the reports that are due.
const MAX_TICK: Duration = Duration::from_millis(20);

/// Shortest pause between two looks.
const MIN_TICK: Duration = Duration::from_millis(2);

/// How long an account counts as over its rate after a refusal.
const OVER_RATE_FOR: Duration = Duration::from_secs(5);

/// Most requests in one frame.
const MAX_BATCH: usize = 256;

/// The limiter of one node.
pub(crate) struct Limiter {
    allowances: Mutex<Allowances>,
    pub(crate) owner: Mutex<Owner>,
    /// Partitions that were handed over and not yet acknowledged.
    pub(crate) given: Map<PartitionId, PartitionHandover>,
    waiting: Map<AccountName, Arc<Waiting>>,
    /// When calls of an account were last refused for its rate.
    refused: Map<AccountName, Time>,
}

/// Calls of one account that wait for tokens.
#[derive(Default)]
struct Waiting {
    answered: Notify,
}

impl Limiter {
    pub(crate) fn new(allowances: Allowances) -> Limiter {
        Limiter {
            allowances: Mutex::new(allowances),
            owner: Mutex::new(Owner::new()),
            given: Map::default(),
            waiting: Map::default(),
            refused: Map::default(),
        }
    }

    /// Takes a token for a call, waiting for it until `wait_until`.
    pub(crate) async fn take(
        &self,
        node: &Arc<Node>,
        name: &AccountName,
        account: &Account,
        wait_until: Time,
    ) -> Result<(), ResultCode> {
        let mut arrival = Arrival::New;
        let mut claim = Claim { limiter: self, name, state: ClaimState::Settled };
        loop {
            let waiting = Arc::clone(lock(&self.waiting).entry(name.clone()).or_default());
            let answered = waiting.answered.notified();
            tokio::pin!(answered);
            // Registered before the decision, so that an answer in between is not missed.
            answered.as_mut().enable();
            let decision =
                lock(&self.allowances).take(node.now(), name, account, wait_until, arrival);
            let until = match decision {
                Decision::Taken { asks, .. } => {
                    claim.state = ClaimState::Settled;
                    send(node, asks);
                    return Ok(());
                }
                Decision::Refused { code, .. } => {
                    claim.state = ClaimState::Settled;
                    if code == ResultCode::RateExceeded {
                        lock(&self.refused).insert(name.clone(), node.now());
                    }
                    return Err(code);
                }
                Decision::Ask { asks, until } => {
                    claim.state = ClaimState::Waiting;
                    send(node, asks);
                    until
                }
                Decision::Wait { until } => {
                    claim.state = ClaimState::Waiting;
                    until
                }
            };
            arrival = Arrival::Waited;
            let _ = timeout_at(node.clock.instant(until), answered).await;
        }
    }

    /// Answers requests of an entry.
    pub(crate) fn serve(&self, node: &Node, requests: &[TokenRequest]) -> TokenAnswers {
        let (mut answers, mut moved) = (Vec::new(), BTreeMap::new());
        for request in requests {
            let Some(answer) = self.decide(node, request) else { continue };
            let id = request.partition;
            if answer.result == TokenResult::NotOwner
                && let Some(handover) = lock(&node.ownership).moved(id)
            {
                moved.entry(id).or_insert_with(|| handover.clone());
            }
            answers.push(answer);
        }
        TokenAnswers { answers, moved: moved.into_values().collect() }
    }

    /// Ownership, lease and bucket are looked at in one step, so that no grant is made by a process
    /// that has lost the partition.
    fn decide(&self, node: &Node, request: &TokenRequest) -> Option<TokenAnswer> {
        let account = read(&node.config).account(request.account.as_str()).cloned();
        let ownership = lock(&node.ownership);
        let lease = lock(&node.lease);
        let now = node.now();
        let may_grant = ownership.may_grant(request.partition, &lease, now);
        let lease_until = lease.valid_until(now).filter(|_| may_grant);
        match (account, lease_until) {
            (Some(account), Some(until)) => {
                lock(&self.owner).request(now, until, account.value(), request)
            }
            _ => (request.wanted.0 > 0).then(|| refusal(request)),
        }
    }

    fn take_answers(&self, now: Time, answers: &[TokenAnswer]) -> Vec<TokenRequest> {
        let mut asks = Vec::new();
        for answer in answers {
            let Wake { asks: more, waiting } = lock(&self.allowances).answered(now, answer);
            asks.extend(more);
            if waiting == 0 {
                continue;
            }
            if let Some(calls) = lock(&self.waiting).get(&answer.account) {
                calls.answered.notify_waiters();
            }
        }
        asks
    }

    /// Tells whether calls of an account were refused for its rate lately.
    pub(crate) fn is_over_rate(&self, name: &AccountName, now: Time) -> bool {
        let refused = lock(&self.refused);
        refused.get(name).is_some_and(|at| now.since(*at) < OVER_RATE_FOR)
    }

    /// Forgets accounts that nobody waits for and refusals of long ago.
    fn sweep(&self, now: Time) {
        lock(&self.refused).retain(|_, at| now.since(*at) < OVER_RATE_FOR);
        lock(&self.waiting).retain(|_, waiting| Arc::strong_count(waiting) > 1);
    }
}

fn refusal(request: &TokenRequest) -> TokenAnswer {
    let TokenRequest { account, sequence, .. } = request;
    TokenAnswer { account: account.clone(), sequence: *sequence, result: TokenResult::NotOwner }
}

/// A call that may be waiting; dropping it while it waits withdraws it.
struct Claim<'a> {
    limiter: &'a Limiter,
    name: &'a AccountName,
    state: ClaimState,
}

#[derive(PartialEq, Eq)]
enum ClaimState {
    Waiting,
    Settled,
}

impl Drop for Claim<'_> {
    fn drop(&mut self) {
        if self.state == ClaimState::Waiting {
            lock(&self.limiter.allowances).withdraw(self.name);
        }
    }
}

/// Sends requests to the owners of their partitions.
fn send(node: &Arc<Node>, requests: Vec<TokenRequest>) {
    send_on(node, requests, MAX_REDIRECTS);
}

/// Sends requests, new ones or those that came back from a node that does not own their partition.
fn send_on(node: &Arc<Node>, requests: Vec<TokenRequest>, redirects: u32) {
    if requests.is_empty() {
        return;
    }
    let mut by_owner: HashMap<Option<NodeName>, Vec<TokenRequest>> = HashMap::new();
    for request in requests {
        let owner = node_to_ask(node, request.partition);
        by_owner.entry(owner).or_default().push(request);
    }
    for (owner, requests) in by_owner {
        match owner {
            Some(owner) if owner == node.info().node => {
                let answers = node.limiter.serve(node, &requests).answers;
                let asks = node.limiter.take_answers(node.now(), &answers);
                send(node, asks);
            }
            Some(owner) => {
                tokio::spawn(ask(Arc::clone(node), owner, requests, redirects));
            }
            None => {
                let wanted = requests.iter().filter(|request| request.wanted.0 > 0);
                let answers: Vec<_> = wanted.map(refusal).collect();
                let asks = node.limiter.take_answers(node.now(), &answers);
                send(node, asks);
            }
        }
    }
}

async fn ask(node: Arc<Node>, owner: NodeName, requests: Vec<TokenRequest>, redirects: u32) {
    let Some(peer) = node.peers.find(owner.as_str()) else { return };
    for batch in requests.chunks(MAX_BATCH) {
        let reply = peer.client.request(Frame::TokenRequests(batch.to_vec())).await;
        let Ok(Frame::TokenAnswers(mut reply)) = reply else { continue };
        if let Some(left) = redirects.checked_sub(1) {
            let misdirected = take_misdirected(&node, &owner, batch, &mut reply);
            send_on(&node, misdirected, left);
        }
        let asks = node.limiter.take_answers(node.now(), &reply.answers);
        send(&node, asks);
    }
}

/// Takes out the answers of a node that does not own the partition where another node should be
/// asked, and returns their requests. They stay open at the entry, which counts the life of an
/// allowance from the first time that the request was sent.
fn take_misdirected(
    node: &Node,
    asked: &NodeName,
    requests: &[TokenRequest],
    reply: &mut TokenAnswers,
) -> Vec<TokenRequest> {
    let TokenAnswers { answers, moved } = reply;
    let mut misdirected = Vec::new();
    answers.retain(|answer| {
        if answer.result != TokenResult::NotOwner {
            return true;
        }
        let request = requests.iter().find(|request| request.sequence == answer.sequence);
        let Some(request) = request else { return true };
        let moved = moved.iter().find(|moved| moved.partition == request.partition);
        let is_misdirected = next_to_ask(node, request.partition, asked, moved).is_some();
        if is_misdirected {
            misdirected.push(request.clone());
        }
        !is_misdirected
    });
    misdirected
}

/// Sends the reports that are due and drops what is cold.
pub(crate) async fn tick(node: Arc<Node>) {
    let mut rounds: u32 = 0;
    loop {
        let due = lock(&node.limiter.allowances).next_visit().since(node.now());
        sleep(due.clamp(MIN_TICK, MAX_TICK)).await;
        let reports = lock(&node.limiter.allowances).tick(node.now());
        send(&node, reports);
        rounds += 1;
        if rounds.is_multiple_of(16) {
            lock(&node.limiter.owner).sweep(node.now());
            node.limiter.sweep(node.now());
        }
    }
}
