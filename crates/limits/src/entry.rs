//! Allowances of an entry node.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use model::{Account, AccountName, Incarnation, ResultCode, Time, Tokens};

use crate::account::{AccountState, RequestBuilder};
use crate::message::{TokenAnswer, TokenRequest};
use crate::share::ShareIndex;
use crate::wait::{RefillWaits, WaitPolicy};

/// Maximum number of accounts that an entry node tracks. Calls of further accounts are refused
/// until an idle account is dropped.
pub const MAX_ACCOUNTS: usize = 330_000;

/// Maximum delay between spending a token and reporting it.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Time without calls after which an account is dropped.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Maintenance interval of an inactive account.
const IDLE_INTERVAL: Duration = Duration::from_secs(2);

/// Whether a call requests a token for the first time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Arrival {
    /// The first request of the call. It counts as demand.
    New,
    /// The call has waited and tries again.
    Waited {
        /// Time of the first request of the call.
        since: Time,
    },
}

/// Decision about a call that needs a token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TokenDecision {
    /// The call has its token.
    Taken {
        /// The share that granted the token.
        share: ShareIndex,
        /// Requests to send in order to obtain tokens for later calls.
        requests: Vec<TokenRequest>,
    },
    /// The call sends these requests and waits. It tries again with [`Arrival::Waited`] when an
    /// answer arrives, or at `until`.
    Request {
        /// Requests to send.
        requests: Vec<TokenRequest>,
        /// Time to try again if no answer arrives.
        until: Time,
    },
    /// The call waits. It tries again with [`Arrival::Waited`] when an answer arrives, or at
    /// `until`.
    Wait {
        /// Time to try again if no answer arrives.
        until: Time,
    },
    /// The call is refused.
    Refused {
        /// [`ResultCode::RateExceeded`] if an owner recently, or in its last answer, granted fewer
        /// tokens than requested; otherwise [`ResultCode::LimiterUnavailable`]: no owner answered,
        /// the account has no shares, or the entry node already tracks [`MAX_ACCOUNTS`] accounts.
        code: ResultCode,
        /// Time after which the caller should try again.
        retry_after: Duration,
    },
}

/// Effects of an answer from an owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerOutcome {
    /// Further requests to send, for other shares.
    pub requests: Vec<TokenRequest>,
    /// Number of waiting calls of the account, which should try again now.
    pub waiting: u32,
}

/// Tokens held by an entry node, and its requests for more.
#[derive(Debug)]
pub struct Allowances {
    entry: Incarnation,
    policy: WaitPolicy,
    sequence: u64,
    accounts: HashMap<AccountName, AccountState>,
    /// Scheduled maintenance of accounts. An item is current if its time equals the account's
    /// `maintenance_at`; other items are stale and skipped.
    maintenance: BinaryHeap<Reverse<(Time, AccountName)>>,
}

impl Allowances {
    /// Creates a node without allowances, with the default [`WaitPolicy`]. The incarnation must be
    /// unique for each process, as owners distinguish the requests of different processes by it.
    pub fn new(entry: Incarnation) -> Allowances {
        Allowances::with_policy(entry, WaitPolicy::default())
    }

    /// Like [`Allowances::new`], with another policy.
    ///
    /// ```
    /// use limits::{Allowances, RefillWaits, WaitPolicy};
    ///
    /// let allowances = Allowances::with_policy(model::Incarnation(7), WaitPolicy::WhileUseful);
    /// let name = "acme".parse().unwrap();
    /// assert_eq!(allowances.refill_waits(&name), RefillWaits::Allowed);
    /// ```
    pub fn with_policy(entry: Incarnation, policy: WaitPolicy) -> Allowances {
        let (accounts, maintenance) = (HashMap::new(), BinaryHeap::new());
        Allowances { entry, policy, sequence: 0, accounts, maintenance }
    }

    /// Takes a token for a call. `account` is the current configuration of the account, and
    /// `wait_until` the time until which the call may wait.
    ///
    /// ```
    /// use limits::{Allowances, Arrival, TokenDecision};
    /// use model::{Account, Burst, Incarnation, Rate, Time};
    ///
    /// let account = Account { rate: Rate::per_second(60), burst: Burst(60), priority: None };
    /// let mut allowances = Allowances::new(Incarnation(7));
    /// let name = "acme".parse().unwrap();
    /// let wait_until = Time::from_micros(100_000);
    /// let decision = allowances.take(Time::ZERO, &name, &account, wait_until, Arrival::New);
    /// let TokenDecision::Request { requests, .. } = decision else { panic!() };
    /// assert_eq!(requests[0].wanted.0, 1);
    /// ```
    pub fn take(
        &mut self,
        now: Time,
        name: &AccountName,
        account: &Account,
        wait_until: Time,
        arrival: Arrival,
    ) -> TokenDecision {
        if !self.accounts.contains_key(name) {
            if self.accounts.len() >= MAX_ACCOUNTS {
                let code = ResultCode::LimiterUnavailable;
                return TokenDecision::Refused { code, retry_after: IDLE_INTERVAL };
            }
            self.accounts.insert(name.clone(), AccountState::new(now, self.entry, name, account));
        }
        let Some(state) = self.accounts.get_mut(name) else { unreachable!("inserted above") };
        state.configure(account);
        state.advance(now);
        state.last_call = now;
        match arrival {
            Arrival::New => state.demand.count(),
            Arrival::Waited { .. } => state.waiting = state.waiting.saturating_sub(1),
        }
        let mut builder = RequestBuilder { entry: self.entry, sequence: &mut self.sequence, name };
        let decision = state.take(now, wait_until, arrival, self.policy, &mut builder);
        if state.is_active() {
            let maintenance_at = now + REPORT_INTERVAL;
            if state.maintenance_at > maintenance_at {
                state.maintenance_at = maintenance_at;
                self.maintenance.push(Reverse((maintenance_at, name.clone())));
            }
        }
        decision
    }

    /// Whether calls of an account wait for the refill of buckets.
    pub fn refill_waits(&self, name: &AccountName) -> RefillWaits {
        self.accounts.get(name).map_or(RefillWaits::Allowed, AccountState::refill_waits)
    }

    /// Returns the decision that [`Allowances::take`] would make about a new call. It is made on a copy of
    /// the account, so that no token is spent, no request counts as sent and no demand is recorded.
    pub fn preview(
        &self,
        now: Time,
        name: &AccountName,
        account: &Account,
        wait_until: Time,
    ) -> TokenDecision {
        let state = self.accounts.get(name).cloned();
        if state.is_none() && self.accounts.len() >= MAX_ACCOUNTS {
            return TokenDecision::Refused {
                code: ResultCode::LimiterUnavailable,
                retry_after: IDLE_INTERVAL,
            };
        }
        let mut copy = Allowances {
            entry: self.entry,
            policy: self.policy,
            sequence: self.sequence,
            accounts: state.map(|state| (name.clone(), state)).into_iter().collect(),
            maintenance: BinaryHeap::new(),
        };
        copy.take(now, name, account, wait_until, Arrival::New)
    }

    /// Removes a waiting call that will not try again, for example because its caller has
    /// disconnected.
    pub fn cancel_wait(&mut self, name: &AccountName) {
        if let Some(state) = self.accounts.get_mut(name) {
            state.waiting = state.waiting.saturating_sub(1);
        }
    }

    /// Handles an answer from an owner. Answers to unknown or expired requests are ignored.
    pub fn handle_answer(&mut self, now: Time, answer: &TokenAnswer) -> AnswerOutcome {
        let ignored = AnswerOutcome { requests: Vec::new(), waiting: 0 };
        let Some(state) = self.accounts.get_mut(&answer.account) else { return ignored };
        state.advance(now);
        if !state.record_answer(now, answer.sequence, answer.result) {
            return ignored;
        }
        let name = &answer.account;
        let mut builder = RequestBuilder { entry: self.entry, sequence: &mut self.sequence, name };
        let requests = state.request_tokens(now, state.waiting, &mut builder);
        AnswerOutcome { requests, waiting: state.waiting }
    }

    /// Performs periodic maintenance: returns the reports that are due and drops idle accounts.
    /// Must be called every few milliseconds, or at the time returned by
    /// [`Allowances::next_maintenance`].
    pub fn tick(&mut self, now: Time) -> Vec<TokenRequest> {
        let mut requests = Vec::new();
        while let Some(Reverse((scheduled_at, _))) = self.maintenance.peek() {
            if *scheduled_at > now {
                break;
            }
            let Some(Reverse((scheduled_at, name))) = self.maintenance.pop() else { break };
            let Some(state) = self.accounts.get_mut(&name) else { continue };
            if state.maintenance_at != scheduled_at {
                continue;
            }
            state.advance(now);
            let mut builder =
                RequestBuilder { entry: self.entry, sequence: &mut self.sequence, name: &name };
            state.return_surplus(now);
            state.report_all(&mut builder, &mut requests);
            if !state.is_active() && now.since(state.last_call) >= IDLE_TIMEOUT {
                self.accounts.remove(&name);
                continue;
            }
            let interval = if state.is_active() { REPORT_INTERVAL } else { IDLE_INTERVAL };
            state.maintenance_at = now + interval;
            self.maintenance.push(Reverse((state.maintenance_at, name)));
        }
        requests
    }

    /// Time at which [`Allowances::tick`] next has work to do.
    pub fn next_maintenance(&self) -> Time {
        self.maintenance.peek().map_or(Time::NEVER, |Reverse((at, _))| *at)
    }

    /// Number of tracked accounts.
    pub fn account_count(&self) -> usize {
        self.accounts.len()
    }

    /// Number of unspent tokens held for an account.
    pub fn held(&self, now: Time, name: &AccountName) -> Tokens {
        let state = self.accounts.get(name);
        Tokens(state.map_or(0, |state| state.held(now)))
    }
}
