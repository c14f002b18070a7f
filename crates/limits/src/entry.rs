//! Allowances of an entry.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use model::{Account, AccountName, Incarnation, PartitionId, ResultCode, Time, Tokens};

use crate::message::{
    ALLOWANCE_LIFETIME, SpentReport, TokenAnswer, TokenRequest, TokenResult, TokensLeft,
};
use crate::share::{SHARES, ShareIndex, base_partition, share_at, share_count};

/// Largest number of accounts that an entry keeps state of. Calls of further accounts are refused
/// until an idle account is dropped.
pub const MAX_ACCOUNTS: usize = 330_000;

/// Longest time from spending a token to reporting it.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Demand is counted over windows of this length; an entry requests tokens for one window ahead.
const DEMAND_WINDOW: Duration = Duration::from_millis(500);

/// An owner that has not answered for this long is considered silent and other shares are asked.
/// Several attempts fit into a tenth of a deadline of 1 s.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(30);

/// How long a silent owner is not asked. Doubles with each further request left unanswered, up to
/// [`MAX_SILENCE`].
const MIN_SILENCE: Duration = Duration::from_millis(250);

/// Longest time for which a silent owner is not asked.
const MAX_SILENCE: Duration = Duration::from_secs(2);

/// Shortest time until an owner without tokens is asked again; limits the requests of an account
/// above its rate.
const MIN_PAUSE: Duration = Duration::from_millis(20);

/// An account without calls for this long is dropped.
const COLD_AFTER: Duration = Duration::from_secs(10);

/// How often an account that holds no tokens is visited.
const IDLE_INTERVAL: Duration = Duration::from_secs(2);

/// A request for fewer tokens than this is not split over several shares.
const MIN_SPLIT: u32 = 4;

/// Whether a call asks for a token for the first time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Arrival {
    /// The first attempt; counts as demand.
    New,
    /// The call was told to wait and tries again.
    Waited,
}

/// What a call that needs a token does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The call has its token.
    Taken {
        /// The share that granted the token.
        share: ShareIndex,
        /// Requests to send, to have tokens for the calls to come.
        asks: Vec<TokenRequest>,
    },
    /// The call sends these requests and tries again with [`Arrival::Waited`] when an answer comes
    /// in, and at the latest at `until`.
    Ask {
        /// Requests to send.
        asks: Vec<TokenRequest>,
        /// When to try again without an answer.
        until: Time,
    },
    /// The call tries again with [`Arrival::Waited`] when an answer comes in, and at the latest at
    /// `until`.
    Wait {
        /// When to try again without an answer.
        until: Time,
    },
    /// The call is refused.
    Refused {
        /// [`ResultCode::RateExceeded`] if an owner said that the account is out of tokens,
        /// [`ResultCode::LimiterUnavailable`] if no owner answered.
        code: ResultCode,
        /// When the caller should try again.
        retry_after: Duration,
    },
}

/// Result of an answer by an owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wake {
    /// Further requests to send, to other shares.
    pub asks: Vec<TokenRequest>,
    /// Number of waiting calls of the account that should try again now.
    pub waiting: u32,
}

/// Tokens that an entry holds, and its requests for more.
#[derive(Debug)]
pub struct Allowances {
    entry: Incarnation,
    sequence: u64,
    accounts: HashMap<AccountName, AccountState>,
    /// When to visit which account. Each account has one current item, whose time equals
    /// `visit_at`; others are stale and skipped.
    visits: BinaryHeap<Reverse<(Time, AccountName)>>,
}

impl Allowances {
    /// Makes an entry without allowances. The incarnation must be new for each process, since
    /// owners tell the requests of different processes apart by it.
    pub fn new(entry: Incarnation) -> Allowances {
        let (accounts, visits) = (HashMap::new(), BinaryHeap::new());
        Allowances { entry, sequence: 0, accounts, visits }
    }

    /// Takes a token for a call. `account` is the account's current configuration and `wait_until`
    /// the time until which the call may wait.
    ///
    /// ```
    /// use limits::{Allowances, Arrival, Decision};
    /// use model::{Account, Burst, Incarnation, Rate, Time};
    ///
    /// let account = Account { rate: Rate::per_second(60), burst: Burst(60) };
    /// let mut allowances = Allowances::new(Incarnation(7));
    /// let name = "acme".parse().unwrap();
    /// let wait_until = Time::from_micros(100_000);
    /// let decision = allowances.take(Time::ZERO, &name, &account, wait_until, Arrival::New);
    /// let Decision::Ask { asks, .. } = decision else { panic!() };
    /// assert_eq!(asks[0].wanted.0, 1);
    /// ```
    pub fn take(
        &mut self,
        now: Time,
        name: &AccountName,
        account: &Account,
        wait_until: Time,
        arrival: Arrival,
    ) -> Decision {
        if !self.accounts.contains_key(name) {
            if self.accounts.len() >= MAX_ACCOUNTS {
                let code = ResultCode::LimiterUnavailable;
                return Decision::Refused { code, retry_after: IDLE_INTERVAL };
            }
            self.accounts.insert(name.clone(), AccountState::new(now, self.entry, name, account));
        }
        let Some(state) = self.accounts.get_mut(name) else { unreachable!("inserted above") };
        state.configure(account);
        state.advance(now);
        state.last_call = now;
        match arrival {
            Arrival::New => state.demand.count(),
            Arrival::Waited => state.waiting = state.waiting.saturating_sub(1),
        }
        let mut asker = Asker { entry: self.entry, sequence: &mut self.sequence, name };
        let decision = state.take(now, wait_until, arrival, &mut asker);
        if state.is_busy() {
            let visit_at = now + REPORT_INTERVAL;
            if state.visit_at > visit_at {
                state.visit_at = visit_at;
                self.visits.push(Reverse((visit_at, name.clone())));
            }
        }
        decision
    }

    /// Withdraws a call that was told to wait and does not try again, for example because its
    /// caller has disconnected.
    pub fn withdraw(&mut self, name: &AccountName) {
        if let Some(state) = self.accounts.get_mut(name) {
            state.waiting = state.waiting.saturating_sub(1);
        }
    }

    /// Handles an answer. Answers to unknown requests and answers that arrive too late are ignored.
    pub fn answered(&mut self, now: Time, answer: &TokenAnswer) -> Wake {
        let idle = Wake { asks: Vec::new(), waiting: 0 };
        let Some(state) = self.accounts.get_mut(&answer.account) else { return idle };
        state.advance(now);
        if !state.answered(now, answer.sequence, answer.result) {
            return idle;
        }
        let name = &answer.account;
        let mut asker = Asker { entry: self.entry, sequence: &mut self.sequence, name };
        let asks = state.ask(now, state.waiting, &mut asker);
        Wake { asks, waiting: state.waiting }
    }

    /// Returns the reports that are due, and drops idle accounts. To be called every few
    /// milliseconds, or at [`Allowances::next_visit`].
    pub fn tick(&mut self, now: Time) -> Vec<TokenRequest> {
        let mut asks = Vec::new();
        while let Some(Reverse((visit_at, _))) = self.visits.peek() {
            if *visit_at > now {
                break;
            }
            let Some(Reverse((visit_at, name))) = self.visits.pop() else { break };
            let Some(state) = self.accounts.get_mut(&name) else { continue };
            if state.visit_at != visit_at {
                continue;
            }
            state.advance(now);
            let mut asker = Asker { entry: self.entry, sequence: &mut self.sequence, name: &name };
            state.return_surplus(now);
            state.report_all(&mut asker, &mut asks);
            if !state.is_busy() && now.since(state.last_call) >= COLD_AFTER {
                self.accounts.remove(&name);
                continue;
            }
            state.visit_at = now + if state.is_busy() { REPORT_INTERVAL } else { IDLE_INTERVAL };
            self.visits.push(Reverse((state.visit_at, name)));
        }
        asks
    }

    /// When [`Allowances::tick`] has something to do next.
    pub fn next_visit(&self) -> Time {
        self.visits.peek().map_or(Time::NEVER, |Reverse((at, _))| *at)
    }

    /// Number of accounts in memory.
    pub fn account_count(&self) -> usize {
        self.accounts.len()
    }

    /// Unspent tokens held for an account.
    pub fn held(&self, now: Time, name: &AccountName) -> Tokens {
        let state = self.accounts.get(name);
        Tokens(state.map_or(0, |state| state.held(now)))
    }
}

/// Makes the requests of one account.
struct Asker<'a> {
    entry: Incarnation,
    sequence: &'a mut u64,
    name: &'a AccountName,
}

impl Asker<'_> {
    fn request(
        &mut self,
        share: ShareIndex,
        partition: PartitionId,
        wanted: u32,
        spent: Vec<SpentReport>,
    ) -> TokenRequest {
        *self.sequence += 1;
        TokenRequest {
            account: self.name.clone(),
            share,
            partition,
            entry: self.entry,
            sequence: *self.sequence,
            wanted: Tokens(wanted),
            spent,
        }
    }
}

/// Calls per window: the calls of the current window, plus the part of the previous window that a
/// window ending now covers.
#[derive(Debug)]
struct Demand {
    started: Time,
    current: u32,
    previous: u32,
}

impl Demand {
    fn advance(&mut self, now: Time) {
        let windows = now.since(self.started).as_micros() / DEMAND_WINDOW.as_micros();
        if windows == 0 {
            return;
        }
        self.previous = if windows == 1 { self.current } else { 0 };
        self.current = 0;
        let windows = u32::try_from(windows).unwrap_or(u32::MAX);
        self.started = self.started + DEMAND_WINDOW.saturating_mul(windows);
    }

    fn count(&mut self) {
        self.current = self.current.saturating_add(1);
    }

    fn per_window(&self, now: Time) -> u32 {
        let window = DEMAND_WINDOW.as_micros() as u64;
        let left = window.saturating_sub(now.since(self.started).as_micros() as u64);
        let previous = u64::from(self.previous) * left / window;
        self.current.saturating_add(previous as u32)
    }
}

/// A grant that the entry may spend.
#[derive(Debug)]
struct Allowance {
    share: ShareIndex,
    sequence: u64,
    expires: Time,
    granted: u32,
    spent: u32,
    reported: u32,
    rest: TokensLeft,
}

impl Allowance {
    fn unspent(&self) -> u32 {
        match self.rest {
            TokensLeft::Kept => self.granted - self.spent,
            TokensLeft::Returned => 0,
        }
    }
}

#[derive(Debug)]
struct Pending {
    share: ShareIndex,
    sequence: u64,
    sent: Time,
    wanted: u32,
    /// Whether the owner was found silent while this request was open.
    overdue: Overdue,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Overdue {
    No,
    Yes,
}

/// What the entry knows about the owner of a share.
#[derive(Debug, Clone, Copy, Default)]
struct OwnerState {
    /// The owner is expected to have no token before this time.
    empty_until: Time,
    /// The owner is considered silent and not asked before this time.
    silent_until: Time,
    /// When tokens were last requested.
    asked: Time,
    /// Requests in a row that were not answered.
    unanswered: u8,
}

#[derive(Debug)]
struct AccountState {
    account: Account,
    base: PartitionId,
    demand: Demand,
    last_call: Time,
    visit_at: Time,
    /// Calls that were told to wait.
    waiting: u32,
    /// Latest time until which any of them waits; afterwards none is waiting.
    waiting_until: Time,
    /// Latest time at which an owner said that it has no more tokens.
    denied: Option<Time>,
    /// The share that is asked first. It differs between entries, so that small demands spread
    /// over the owners.
    first_share: u8,
    owners: [OwnerState; SHARES as usize],
    allowances: Vec<Allowance>,
    pending: Vec<Pending>,
}

impl AccountState {
    fn new(now: Time, entry: Incarnation, name: &AccountName, account: &Account) -> AccountState {
        let base = base_partition(name);
        AccountState {
            account: account.clone(),
            base,
            demand: Demand { started: now, current: 0, previous: 0 },
            last_call: now,
            visit_at: Time::NEVER,
            waiting: 0,
            waiting_until: Time::ZERO,
            denied: None,
            first_share: (entry.0 % u64::from(SHARES)) as u8,
            owners: [OwnerState::default(); SHARES as usize],
            allowances: Vec::new(),
            pending: Vec::new(),
        }
    }

    fn configure(&mut self, account: &Account) {
        if self.account != *account {
            self.account = account.clone();
            self.owners = [OwnerState::default(); SHARES as usize];
        }
    }

    /// Drops what has expired and notices owners that have not answered.
    fn advance(&mut self, now: Time) {
        self.demand.advance(now);
        // The owner counts expired tokens as spent, so they need no report.
        self.allowances.retain(|allowance| allowance.expires > now);
        for pending in &mut self.pending {
            if pending.overdue == Overdue::No && now.since(pending.sent) >= ANSWER_TIMEOUT {
                pending.overdue = Overdue::Yes;
                self.owners[usize::from(pending.share.value())].found_silent(now);
            }
        }
        self.pending.retain(|pending| now.since(pending.sent) < ALLOWANCE_LIFETIME);
        if now > self.waiting_until {
            self.waiting = 0;
        }
    }

    fn take(
        &mut self,
        now: Time,
        wait_until: Time,
        arrival: Arrival,
        asker: &mut Asker<'_>,
    ) -> Decision {
        // A new call does not overtake the waiting ones.
        let reserved = if arrival == Arrival::New { self.waiting } else { 0 };
        if self.held(now) > reserved
            && let Some(share) = self.spend(now)
        {
            let mut asks = self.ask(now, self.waiting, asker);
            self.report_early(share, asker, &mut asks);
            return Decision::Taken { share, asks };
        }
        if now >= wait_until {
            return self.refuse(now);
        }
        let asks = self.ask(now, self.waiting + 1, asker);
        let answer_due = self.open_requests().map(|pending| pending.sent + ANSWER_TIMEOUT).min();
        let until = answer_due.unwrap_or_else(|| self.next_ask());
        if answer_due.is_none() && until > wait_until {
            return self.refuse(now);
        }
        self.waiting += 1;
        self.waiting_until = self.waiting_until.max(wait_until);
        let until = until.min(wait_until);
        if asks.is_empty() { Decision::Wait { until } } else { Decision::Ask { asks, until } }
    }

    fn held(&self, now: Time) -> u32 {
        let live = self.allowances.iter().filter(|allowance| allowance.expires > now);
        live.map(Allowance::unspent).sum()
    }

    /// Spends a token of the allowance that expires first.
    fn spend(&mut self, now: Time) -> Option<ShareIndex> {
        let live = self.allowances.iter_mut();
        let usable = live.filter(|allowance| allowance.expires > now && allowance.unspent() > 0);
        let allowance = usable.min_by_key(|allowance| allowance.expires)?;
        allowance.spent += 1;
        Some(allowance.share)
    }

    fn refuse(&self, now: Time) -> Decision {
        let recent = self.denied.is_some_and(|at| now.since(at) < ALLOWANCE_LIFETIME);
        let empty = recent || self.owners.iter().any(|owner| owner.empty_until > now);
        let code = if empty { ResultCode::RateExceeded } else { ResultCode::LimiterUnavailable };
        let retry_after = self.next_ask().since(now).max(MIN_PAUSE);
        Decision::Refused { code, retry_after }
    }

    /// When the first owner can be asked again.
    fn next_ask(&self) -> Time {
        let shares = self.shares().map(|share| self.owners[usize::from(share.value())].ask_from());
        shares.min().unwrap_or(Time::NEVER)
    }

    fn shares(&self) -> impl Iterator<Item = ShareIndex> + use<> {
        let count = share_count(&self.account) as u8;
        (0..count).filter_map(ShareIndex::new)
    }

    /// Requests that an owner may still answer in time.
    fn open_requests(&self) -> impl Iterator<Item = &Pending> {
        self.pending.iter().filter(|pending| pending.overdue == Overdue::No)
    }

    /// Makes requests if the tokens held and requested do not cover the `waiting` calls and half
    /// of the demand of a window.
    fn ask(&mut self, now: Time, waiting: u32, asker: &mut Asker<'_>) -> Vec<TokenRequest> {
        let requested: u32 = self.open_requests().map(|pending| pending.wanted).sum();
        let available = self.held(now).saturating_add(requested);
        let demand = self.demand.per_window(now).min(self.account.burst.0);
        // The waiting calls are part of the demand.
        let low = waiting.max(demand / 2);
        if available >= low.max(1) || (waiting == 0 && demand < 2) {
            return Vec::new();
        }
        let need = waiting.max(demand) - available;
        let free = |share: &ShareIndex| {
            self.owners[usize::from(share.value())].ask_from() <= now
                && !self.open_requests().any(|pending| pending.share == *share)
        };
        let mut candidates: Vec<ShareIndex> = self.shares().filter(free).collect();
        if candidates.is_empty() {
            return Vec::new();
        }
        // The share that was asked longest ago has refilled most; asking others first would waste
        // its refill once it is full.
        let first = self.first_share;
        candidates.sort_by_key(|share| {
            let distance = (share.value() + SHARES - first) % SHARES;
            (self.owners[usize::from(share.value())].asked, distance)
        });
        let parts = (need / MIN_SPLIT).clamp(1, candidates.len() as u32);
        let wanted = need.div_ceil(parts);
        let chosen = candidates.into_iter().take(parts as usize);
        chosen.filter_map(|index| self.request(now, index, wanted, asker)).collect()
    }

    fn request(
        &mut self,
        now: Time,
        index: ShareIndex,
        wanted: u32,
        asker: &mut Asker<'_>,
    ) -> Option<TokenRequest> {
        let share = share_at(self.base, &self.account, index)?;
        let wanted = wanted.min(share.burst.0);
        let spent = self.reports(index);
        let request = asker.request(index, share.partition, wanted, spent);
        let sequence = request.sequence;
        let overdue = Overdue::No;
        self.owners[usize::from(index.value())].asked = now;
        self.pending.push(Pending { share: index, sequence, sent: now, wanted, overdue });
        Some(request)
    }

    /// Reports that are due for a share. Allowances without rest are forgotten: if the report is
    /// lost, the owner counts their tokens as spent when the grant expires.
    fn reports(&mut self, share: ShareIndex) -> Vec<SpentReport> {
        let mut reports = Vec::new();
        self.allowances.retain_mut(|allowance| {
            let returned = allowance.rest == TokensLeft::Returned;
            if allowance.share != share || (allowance.spent == allowance.reported && !returned) {
                return true;
            }
            allowance.reported = allowance.spent;
            reports.push(SpentReport {
                sequence: allowance.sequence,
                spent: Tokens(allowance.spent),
                rest: allowance.rest,
            });
            allowance.unspent() > 0
        });
        reports
    }

    /// Reports spent tokens of a share at once when they are half of its burst. Until the report,
    /// they block refill, which a small share cannot make up for later.
    fn report_early(
        &mut self,
        index: ShareIndex,
        asker: &mut Asker<'_>,
        asks: &mut Vec<TokenRequest>,
    ) {
        let Some(share) = share_at(self.base, &self.account, index) else { return };
        let of_share = self.allowances.iter().filter(|allowance| allowance.share == index);
        let unreported: u32 = of_share.map(|allowance| allowance.spent - allowance.reported).sum();
        if unreported >= (share.burst.0 / 2).max(1) {
            let spent = self.reports(index);
            asks.push(asker.request(index, share.partition, 0, spent));
        }
    }

    fn report_all(&mut self, asker: &mut Asker<'_>, asks: &mut Vec<TokenRequest>) {
        for index in (0..SHARES).filter_map(ShareIndex::new) {
            let spent = self.reports(index);
            if spent.is_empty() {
                continue;
            }
            let Some(share) = share_at(self.base, &self.account, index) else { continue };
            asks.push(asker.request(index, share.partition, 0, spent));
        }
    }

    /// Marks allowances to be returned while more than the demand of a window is held.
    fn return_surplus(&mut self, now: Time) {
        let mut held = self.held(now);
        let needed = self.demand.per_window(now).saturating_add(self.waiting);
        for allowance in &mut self.allowances {
            let unspent = allowance.unspent();
            if unspent > 0 && held - unspent >= needed {
                allowance.rest = TokensLeft::Returned;
                held -= unspent;
            }
        }
    }

    /// Records an answer. Returns whether the request was known and the answer in time.
    fn answered(&mut self, now: Time, sequence: u64, result: TokenResult) -> bool {
        let position = self.pending.iter().position(|pending| pending.sequence == sequence);
        let Some(position) = position else { return false };
        let pending = self.pending.swap_remove(position);
        let owner = &mut self.owners[usize::from(pending.share.value())];
        let TokenResult::Decided { granted, next_in } = result else {
            owner.found_silent(now);
            return true;
        };
        owner.unanswered = 0;
        owner.silent_until = Time::ZERO;
        let granted = granted.0.min(pending.wanted);
        if granted < pending.wanted {
            owner.empty_until = now + next_in.max(MIN_PAUSE);
            self.denied = Some(now);
        }
        if granted > 0 {
            self.allowances.push(Allowance {
                share: pending.share,
                sequence,
                expires: pending.sent + ALLOWANCE_LIFETIME,
                granted,
                spent: 0,
                reported: 0,
                rest: TokensLeft::Kept,
            });
        }
        true
    }

    fn is_busy(&self) -> bool {
        !self.allowances.is_empty() || !self.pending.is_empty() || self.waiting > 0
    }
}

impl OwnerState {
    fn ask_from(&self) -> Time {
        self.empty_until.max(self.silent_until)
    }

    fn found_silent(&mut self, now: Time) {
        let silence = MIN_SILENCE.saturating_mul(1 << self.unanswered.min(4)).min(MAX_SILENCE);
        self.silent_until = self.silent_until.max(now + silence);
        self.unanswered = self.unanswered.saturating_add(1);
    }
}
