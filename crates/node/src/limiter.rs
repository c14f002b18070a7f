//! Rate limiting: as an entry, acquires tokens for calls; as an owner, grants tokens to entries.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use limits::{
    Allowances, AnswerOutcome, Arrival, FallbackBuckets, Owner, PARTITION_COUNT, RefillWaits,
    TokenAnswer, TokenDecision, TokenRequest, TokenResult, WaitPolicy,
};
use log::info;
use membership::owner_of;
use model::{Account, AccountName, Incarnation, NodeName, PartitionId, ResultCode, Time, Tokens};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout_at};
use wire::Frame;

use crate::shared::{Node, Phase, SharedMap, lock, read};

/// Maximum interval between two checks for due reports. A call that makes a report due earlier wakes the
/// loop.
const MAX_TICK_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum interval between two checks for due reports.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Number of rounds of [`tick`] between two removals of stale state.
const CLEANUP_ROUNDS: u32 = 16;

/// Time after a refusal during which an account counts as over its rate.
const OVER_RATE_PERIOD: Duration = Duration::from_secs(5);

/// Maximum number of token requests in one frame.
const MAX_BATCH_REQUESTS: usize = 256;

/// The rate limiter of one node.
pub(crate) struct Limiter {
    allowances: Mutex<Allowances>,
    pub(crate) owner: Mutex<Owner>,
    /// Fallback buckets for the time that no owner can be reached.
    fallback_buckets: Mutex<FallbackBuckets>,
    waiters: SharedMap<AccountName, Arc<AccountWaiters>>,
    /// Time of the last refusal of a call for exceeding the rate, by account.
    last_refusals: SharedMap<AccountName, Time>,
}

/// Calls of one account that wait for tokens.
#[derive(Default)]
struct AccountWaiters {
    answered: Notify,
}

impl Limiter {
    pub(crate) fn new(entry: Incarnation, overload_control: bool, now: Time) -> Limiter {
        let policy = match overload_control {
            true => WaitPolicy::WhileUseful,
            false => WaitPolicy::UntilDeadline,
        };
        Limiter {
            allowances: Mutex::new(Allowances::with_policy(entry, policy)),
            owner: Mutex::new(Owner::new(now)),
            fallback_buckets: Mutex::default(),
            waiters: SharedMap::default(),
            last_refusals: SharedMap::default(),
        }
    }

    /// Acquires a token for a call, waiting until `wait_until` at most.
    pub(crate) async fn acquire(
        &self,
        node: &Arc<Node>,
        name: &AccountName,
        account: &Account,
        wait_until: Time,
    ) -> Result<(), TokenDenied> {
        if account.rate.is_unlimited() {
            return Ok(());
        }
        let mut arrived = None;
        let mut pending = PendingAcquire { limiter: self, name, state: AcquireState::Settled };
        loop {
            let waiters = Arc::clone(lock(&self.waiters).entry(name.clone()).or_default());
            let answered = waiters.answered.notified();
            tokio::pin!(answered);
            // Registers for wake-ups before the decision, so that no answer in between is missed.
            answered.as_mut().enable();
            let decision = self.take(node, name, account, wait_until, &mut arrived);
            let until = match decision {
                TokenDecision::Taken { requests, .. } => {
                    pending.state = AcquireState::Settled;
                    send_requests(node, requests);
                    return Ok(());
                }
                TokenDecision::Refused { code, retry_after } => {
                    pending.state = AcquireState::Settled;
                    if code == ResultCode::RateExceeded {
                        lock(&self.last_refusals).insert(name.clone(), node.now());
                        return Err(TokenDenied { code, retry_after });
                    }
                    let entries = node.peers.count() + 1;
                    return match lock(&self.fallback_buckets).take(
                        node.now(),
                        name,
                        account,
                        entries,
                    ) {
                        true => Ok(()),
                        false => Err(TokenDenied { code, retry_after }),
                    };
                }
                TokenDecision::Request { requests, until } => {
                    pending.state = AcquireState::Waiting;
                    send_requests(node, requests);
                    until
                }
                TokenDecision::Wait { until } => {
                    pending.state = AcquireState::Waiting;
                    until
                }
            };
            let _ = timeout_at(node.clock.to_instant(until), answered).await;
        }
    }

    /// Takes a token for a call, and sets the time at which it arrived here. Logs when the calls of the account
    /// stop waiting for refill, or wait for it again, and counts the calls refused because of that.
    fn take(
        &self,
        node: &Node,
        name: &AccountName,
        account: &Account,
        wait_until: Time,
        arrived: &mut Option<Time>,
    ) -> TokenDecision {
        let mut allowances = lock(&self.allowances);
        let now = node.now();
        let arrival = arrived.map_or(Arrival::New, |since| Arrival::Waited { since });
        arrived.get_or_insert(now);
        let before = allowances.refill_waits(name);
        let decision = allowances.take(now, name, account, wait_until, arrival);
        let after = allowances.refill_waits(name);
        drop(allowances);
        match (before, after) {
            (RefillWaits::Allowed, RefillWaits::Suspended) => {
                info!(
                    "calls of account {name} no longer wait for refill: one has waited without getting a token"
                );
            }
            (RefillWaits::Suspended, RefillWaits::Allowed) => {
                info!("calls of account {name} wait for refill again");
            }
            _ => {}
        }
        let code = ResultCode::RateExceeded;
        let is_over_rate =
            matches!(decision, TokenDecision::Refused { code: refused, .. } if refused == code);
        if is_over_rate && before == RefillWaits::Suspended && now < wait_until {
            node.metrics.refill_waits_skipped.inc();
        }
        decision
    }

    /// Tells how [`Limiter::acquire`] would begin, without a change and without a message to an owner.
    pub(crate) fn preview(
        &self,
        node: &Node,
        name: &AccountName,
        account: &Account,
        wait_until: Time,
    ) -> TokenPreview {
        if account.rate.is_unlimited() {
            return TokenPreview::Unlimited;
        }
        let now = node.now();
        let decision = lock(&self.allowances).preview(now, name, account, wait_until);
        match decision {
            TokenDecision::Taken { .. } => TokenPreview::Held,
            TokenDecision::Request { .. } | TokenDecision::Wait { .. } => TokenPreview::Asked,
            TokenDecision::Refused { code: code @ ResultCode::RateExceeded, .. } => {
                TokenPreview::Refused(code)
            }
            TokenDecision::Refused { code, .. } => {
                let entries = node.peers.count() + 1;
                match lock(&self.fallback_buckets).has_token(now, name, account, entries) {
                    true => TokenPreview::Fallback,
                    false => TokenPreview::Refused(code),
                }
            }
        }
    }

    /// Number of unspent tokens that this node holds for an account.
    pub(crate) fn held(&self, name: &AccountName, now: Time) -> Tokens {
        lock(&self.allowances).held(now, name)
    }

    /// Answers token requests of an entry that considers this node the owner.
    pub(crate) fn serve(&self, node: &Node, requests: &[TokenRequest]) -> Vec<TokenAnswer> {
        requests.iter().filter_map(|request| self.grant(node, request)).collect()
    }

    fn grant(&self, node: &Node, request: &TokenRequest) -> Option<TokenAnswer> {
        let account = read(&node.config).account(request.account.as_str()).cloned();
        // A node that stops has another owner in its place, which grants to all that know of the stop.
        let grants = node.phase() == Phase::Serving;
        let Some(account) = account.filter(|_| grants || request.wanted.0 == 0) else {
            return (request.wanted.0 > 0).then(|| not_owner_answer(request));
        };
        let (now, partition) = (node.now(), request.partition);
        let is_owner = node.peers.owner(node, partition).is_some_and(|own| own == node.info().node);
        let mut owner = lock(&self.owner);
        if !is_owner && !owner.has_buckets(partition) {
            // The entry has seen a change of the members before this node. The present owner may have
            // granted the whole burst just now.
            owner.take_over(partition, now);
        }
        owner.request(now, account.value(), request)
    }

    /// Empties the buckets of the partitions in which this node may follow `left` as the owner.
    pub(crate) fn take_over_from(&self, node: &Node, left: &NodeName) {
        let own = &node.info().node;
        let mut owner = lock(&self.owner);
        for partition in (0..PARTITION_COUNT).map(PartitionId) {
            if owner_of(partition, [own, left].into_iter()) == Some(left) {
                owner.take_over(partition, node.now());
            }
        }
    }

    /// Empties all buckets when the other nodes begin to count this node among the owners.
    pub(crate) fn join(&self, node: &Node) {
        lock(&self.owner).join(node.now());
    }

    /// Applies the answers of owners, wakes the waiting calls, and returns further requests to send.
    fn handle_answers(&self, now: Time, answers: &[TokenAnswer]) -> Vec<TokenRequest> {
        let mut requests = Vec::new();
        for answer in answers {
            let AnswerOutcome { requests: more, waiting } =
                lock(&self.allowances).handle_answer(now, answer);
            requests.extend(more);
            if waiting == 0 {
                continue;
            }
            if let Some(waiters) = lock(&self.waiters).get(&answer.account) {
                waiters.answered.notify_waiters();
            }
        }
        requests
    }

    /// Returns whether a call of an account was refused for exceeding the rate within
    /// [`OVER_RATE_PERIOD`].
    pub(crate) fn is_over_rate(&self, name: &AccountName, now: Time) -> bool {
        let refusals = lock(&self.last_refusals);
        refusals.get(name).is_some_and(|at| now.since(*at) < OVER_RATE_PERIOD)
    }

    /// Removes expired refusals, accounts without waiting calls and idle fallback buckets.
    fn remove_stale(&self, now: Time) {
        lock(&self.last_refusals).retain(|_, at| now.since(*at) < OVER_RATE_PERIOD);
        lock(&self.waiters).retain(|_, waiters| Arc::strong_count(waiters) > 1);
        lock(&self.fallback_buckets).remove_stale(now);
    }
}

/// The refusal of a token.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TokenDenied {
    pub(crate) code: ResultCode,
    /// Time until a token is expected to be available.
    pub(crate) retry_after: Duration,
}

/// How a call would get a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TokenPreview {
    /// It needs none.
    Unlimited,
    /// This node holds one.
    Held,
    /// The call waits for the answers of owners.
    Asked,
    /// A fallback bucket has one, as no owner can be reached.
    Fallback,
    /// It gets none.
    Refused(ResultCode),
}

fn not_owner_answer(request: &TokenRequest) -> TokenAnswer {
    let TokenRequest { account, sequence, .. } = request;
    TokenAnswer { account: account.clone(), sequence: *sequence, result: TokenResult::NotOwner }
}

/// The acquisition of a token in progress. Dropping it while the call waits withdraws the call.
struct PendingAcquire<'a> {
    limiter: &'a Limiter,
    name: &'a AccountName,
    state: AcquireState,
}

#[derive(PartialEq, Eq)]
enum AcquireState {
    Waiting,
    Settled,
}

impl Drop for PendingAcquire<'_> {
    fn drop(&mut self) {
        if self.state == AcquireState::Waiting {
            lock(&self.limiter.allowances).cancel_wait(self.name);
        }
    }
}

/// Sends token requests to the owners of their partitions.
fn send_requests(node: &Arc<Node>, requests: Vec<TokenRequest>) {
    if requests.is_empty() {
        return;
    }
    let mut by_owner: HashMap<Option<NodeName>, Vec<TokenRequest>> = HashMap::new();
    for request in requests {
        let owner = node.peers.owner(node, request.partition);
        by_owner.entry(owner).or_default().push(request);
    }
    for (owner, requests) in by_owner {
        match owner {
            Some(owner) if owner == node.info().node => {
                let answers = node.limiter.serve(node, &requests);
                let further = node.limiter.handle_answers(node.now(), &answers);
                send_requests(node, further);
            }
            Some(owner) => {
                tokio::spawn(request_tokens(Arc::clone(node), owner, requests));
            }
            None => handle_missing_owner(node, &requests),
        }
    }
}

async fn request_tokens(node: Arc<Node>, owner: NodeName, requests: Vec<TokenRequest>) {
    let Some(peer) = node.peers.find(owner.as_str()) else { return };
    for batch in requests.chunks(MAX_BATCH_REQUESTS) {
        match peer.control.request(Frame::TokenRequests(batch.to_vec())).await {
            Ok(reply) => {
                peer.record_success();
                let Frame::TokenAnswers(answers) = reply.frame else { continue };
                let further = node.limiter.handle_answers(node.now(), &answers);
                send_requests(&node, further);
            }
            Err(err) => {
                peer.record_failure(node.now(), &err);
                // Requests another share at once instead of waiting for a response timeout.
                handle_missing_owner(&node, batch);
            }
        }
    }
}

/// Treats requests as refused because their owner is unknown or unreachable.
fn handle_missing_owner(node: &Arc<Node>, requests: &[TokenRequest]) {
    let wanted = requests.iter().filter(|request| request.wanted.0 > 0);
    let answers: Vec<_> = wanted.map(not_owner_answer).collect();
    let further = node.limiter.handle_answers(node.now(), &answers);
    send_requests(node, further);
}

/// Sends due reports periodically and, every [`CLEANUP_ROUNDS`], removes stale state.
pub(crate) async fn run_limiter(node: Arc<Node>) {
    let mut rounds: u32 = 0;
    loop {
        let due = lock(&node.limiter.allowances).next_maintenance().since(node.now());
        sleep(due.clamp(MIN_TICK_INTERVAL, MAX_TICK_INTERVAL)).await;
        let reports = lock(&node.limiter.allowances).tick(node.now());
        send_requests(&node, reports);
        rounds += 1;
        if rounds.is_multiple_of(CLEANUP_ROUNDS) {
            lock(&node.limiter.owner).remove_stale(node.now());
            node.limiter.remove_stale(node.now());
        }
    }
}
