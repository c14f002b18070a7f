//! Allowances of one account at an entry node.

use std::time::Duration;

use model::{Account, AccountName, Incarnation, PartitionId, ResultCode, Time, Tokens};

use crate::demand::Demand;
use crate::entry::{Arrival, TokenDecision};
use crate::grants::{Allowance, Overdue, OwnerState, Pending};
use crate::message::{ALLOWANCE_LIFETIME, SpentReport, TokenRequest, TokenResult, TokensLeft};
use crate::share::{MAX_SHARES, ShareIndex, base_partition, share_at, share_count};
use crate::wait::{RefillWaits, WaitPolicy, WaitState};

/// An owner that has not answered for this long is considered unresponsive, and tokens are
/// requested from other shares. Short enough for several requests within 100 ms, a tenth of a 1 s
/// deadline.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(30);

/// Minimum time between requests to an owner that has no tokens. Limits the requests made for an
/// account above its rate.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Minimum number of tokens per share when a request is split over several shares.
const MIN_TOKENS_PER_SHARE: u32 = 4;

/// Shares asked at a time while calls do not wait for refill. 2 asks all [`MAX_SHARES`] within three
/// round trips; a token of the second share serves the next call.
const SHARES_WITHOUT_WAIT: u32 = 2;

/// State of one account at an entry node.
#[derive(Debug, Clone)]
pub(crate) struct AccountState {
    account: Account,
    base: PartitionId,
    pub(crate) demand: Demand,
    pub(crate) last_call: Time,
    /// Time of the next periodic maintenance, see [`crate::Allowances::tick`].
    pub(crate) maintenance_at: Time,
    /// Number of calls that are waiting for tokens.
    pub(crate) waiting: u32,
    /// Latest end of the wait of any waiting call. After this time no call is waiting.
    waiting_until: Time,
    /// Time of the last answer in which an owner granted fewer tokens than requested.
    last_shortage: Option<Time>,
    /// The share that is preferred for requests. It differs between entry nodes, so that small
    /// requests are spread over the owners.
    first_share: u8,
    owners: [OwnerState; MAX_SHARES as usize],
    allowances: Vec<Allowance>,
    pending: Vec<Pending>,
    wait_state: WaitState,
}

impl AccountState {
    pub(crate) fn new(
        now: Time,
        entry: Incarnation,
        name: &AccountName,
        account: &Account,
    ) -> AccountState {
        let base = base_partition(name);
        AccountState {
            account: account.clone(),
            base,
            demand: Demand::new(now),
            last_call: now,
            maintenance_at: Time::NEVER,
            waiting: 0,
            waiting_until: Time::ZERO,
            last_shortage: None,
            first_share: (entry.0 % u64::from(MAX_SHARES)) as u8,
            owners: [OwnerState::default(); MAX_SHARES as usize],
            allowances: Vec::new(),
            pending: Vec::new(),
            wait_state: WaitState::default(),
        }
    }

    /// Applies the current configuration of the account.
    pub(crate) fn configure(&mut self, account: &Account) {
        if self.account != *account {
            self.account = account.clone();
            self.owners = [OwnerState::default(); MAX_SHARES as usize];
        }
    }

    /// Drops expired state and detects owners that have not answered in time.
    pub(crate) fn advance(&mut self, now: Time) {
        self.demand.advance(now);
        // The owner counts expired tokens as spent, so they need not be reported.
        self.allowances.retain(|allowance| allowance.expires > now);
        for pending in &mut self.pending {
            if pending.overdue == Overdue::No && now.since(pending.sent) >= ANSWER_TIMEOUT {
                pending.overdue = Overdue::Yes;
                self.owners[usize::from(pending.share.value())].mark_unresponsive(now);
            }
        }
        self.pending.retain(|pending| now.since(pending.sent) < ALLOWANCE_LIFETIME);
        if now > self.waiting_until {
            self.waiting = 0;
        }
    }

    /// Takes a token for a call, or decides whether the call waits or is refused.
    pub(crate) fn take(
        &mut self,
        now: Time,
        wait_until: Time,
        arrival: Arrival,
        policy: WaitPolicy,
        builder: &mut RequestBuilder<'_>,
    ) -> TokenDecision {
        let since = match arrival {
            Arrival::New => now,
            Arrival::Waited { since } => since,
        };
        // Waiting calls take precedence over a new call.
        let reserved = if arrival == Arrival::New { self.waiting } else { 0 };
        if self.held(now) > reserved
            && let Some(share) = self.spend(now)
        {
            let mut requests = self.request_tokens(now, self.waiting, builder);
            self.report_early(share, builder, &mut requests);
            self.wait_state.record_token(since);
            return TokenDecision::Taken { share, requests };
        }
        if now >= wait_until {
            return self.refuse_after_wait(now, since, policy);
        }
        if !self.may_be_served(now, since) && !self.wait_state.may_wait(now, since, wait_until) {
            return self.refuse(now);
        }
        let requests = self.request_tokens(now, self.waiting + 1, builder);
        let answer_due = self.open_requests().map(|pending| pending.sent + ANSWER_TIMEOUT).min();
        let until = answer_due.unwrap_or_else(|| self.next_request_at());
        if answer_due.is_none() && until > wait_until {
            return self.refuse_after_wait(now, since, policy);
        }
        self.waiting += 1;
        self.waiting_until = self.waiting_until.max(wait_until);
        let until = until.min(wait_until);
        if requests.is_empty() {
            TokenDecision::Wait { until }
        } else {
            TokenDecision::Request { requests, until }
        }
    }

    /// Whether a call may wait for an answer: an owner that has not fallen short since the call
    /// arrived may have a token for it. Decided only while waits for refill are suspended.
    fn may_be_served(&self, now: Time, since: Time) -> bool {
        if self.refill_waits() == RefillWaits::Allowed {
            return true;
        }
        self.shares().any(|share| {
            let is_asked = self.open_requests().any(|pending| pending.share == share);
            self.owners[usize::from(share.value())].may_serve(since, now, is_asked)
        })
    }

    /// Whether calls of the account wait for refill.
    pub(crate) fn refill_waits(&self) -> RefillWaits {
        self.wait_state.refill_waits()
    }

    /// Number of unspent tokens.
    pub(crate) fn held(&self, now: Time) -> u32 {
        let live = self.allowances.iter().filter(|allowance| allowance.expires > now);
        live.map(Allowance::unspent).sum()
    }

    /// Spends a token of the allowance that expires first, and returns its share.
    fn spend(&mut self, now: Time) -> Option<ShareIndex> {
        let live = self.allowances.iter_mut();
        let usable = live.filter(|allowance| allowance.expires > now && allowance.unspent() > 0);
        let allowance = usable.min_by_key(|allowance| allowance.expires)?;
        allowance.spent += 1;
        Some(allowance.share)
    }

    fn refuse(&self, now: Time) -> TokenDecision {
        let is_recent = self.last_shortage.is_some_and(|at| now.since(at) < ALLOWANCE_LIFETIME);
        // The last answer of an owner remains valid until a request to it fails.
        let is_empty = is_recent || self.owners.iter().any(OwnerState::is_empty);
        let code = if is_empty { ResultCode::RateExceeded } else { ResultCode::LimiterUnavailable };
        let retry_after = self.next_request_at().since(now).max(MIN_REQUEST_INTERVAL);
        TokenDecision::Refused { code, retry_after }
    }

    /// Refuses a call that may wait for refill, but not for long enough.
    fn refuse_after_wait(&mut self, now: Time, since: Time, policy: WaitPolicy) -> TokenDecision {
        let refusal = self.refuse(now);
        let is_over_rate =
            matches!(refusal, TokenDecision::Refused { code: ResultCode::RateExceeded, .. });
        let has_waited = now.since(since) >= ANSWER_TIMEOUT;
        if policy == WaitPolicy::WhileUseful && is_over_rate && has_waited {
            self.wait_state.record_futile_wait(now, since);
        }
        refusal
    }

    /// Earliest time at which tokens may be requested from at least one owner.
    fn next_request_at(&self) -> Time {
        let owners = self.shares().map(|share| self.owners[usize::from(share.value())]);
        owners.map(|owner| owner.next_request_at()).min().unwrap_or(Time::NEVER)
    }

    fn shares(&self) -> impl Iterator<Item = ShareIndex> + use<> {
        let count = share_count(&self.account) as u8;
        (0..count).filter_map(ShareIndex::new)
    }

    /// Requests that have not timed out.
    fn open_requests(&self) -> impl Iterator<Item = &Pending> {
        self.pending.iter().filter(|pending| pending.overdue == Overdue::No)
    }

    /// Returns requests for more tokens if those held and requested do not cover the larger of the
    /// `waiting` calls and half of the demand per window. Requests nothing if no call is waiting and
    /// the demand is below 2.
    pub(crate) fn request_tokens(
        &mut self,
        now: Time,
        waiting: u32,
        builder: &mut RequestBuilder<'_>,
    ) -> Vec<TokenRequest> {
        let requested: u32 = self.open_requests().map(|pending| pending.wanted).sum();
        let available = self.held(now).saturating_add(requested);
        let demand = self.demand.per_window(now).min(self.account.burst.0);
        // The demand includes the waiting calls, so they are not added to it.
        let low_watermark = waiting.max(demand / 2);
        if available >= low_watermark.max(1) || (waiting == 0 && demand < 2) {
            return Vec::new();
        }
        let need = waiting.max(demand) - available;
        let is_available = |share: &ShareIndex| {
            self.owners[usize::from(share.value())].next_request_at() <= now
                && !self.open_requests().any(|pending| pending.share == *share)
        };
        let mut candidates: Vec<ShareIndex> = self.shares().filter(is_available).collect();
        if candidates.is_empty() {
            return Vec::new();
        }
        // Prefer the least recently used share: it has refilled most, and refill is lost once a
        // share is full.
        let first = self.first_share;
        candidates.sort_by_key(|share| {
            let distance = (share.value() + MAX_SHARES - first) % MAX_SHARES;
            (self.owners[usize::from(share.value())].last_request, distance)
        });
        let fewest = match self.refill_waits() {
            RefillWaits::Allowed => 1,
            RefillWaits::Suspended => SHARES_WITHOUT_WAIT,
        };
        let parts = (need / MIN_TOKENS_PER_SHARE).max(fewest).min(candidates.len() as u32);
        let wanted = need.div_ceil(parts);
        let chosen = candidates.into_iter().take(parts as usize);
        chosen.filter_map(|index| self.request(now, index, wanted, builder)).collect()
    }

    /// Builds a request for tokens of a share and records it as pending.
    fn request(
        &mut self,
        now: Time,
        index: ShareIndex,
        wanted: u32,
        builder: &mut RequestBuilder<'_>,
    ) -> Option<TokenRequest> {
        let share = share_at(self.base, &self.account, index)?;
        let wanted = wanted.min(share.burst.0);
        let spent = self.take_reports(index);
        let request = builder.build(index, share.partition, wanted, spent);
        let sequence = request.sequence;
        let overdue = Overdue::No;
        self.owners[usize::from(index.value())].last_request = now;
        self.pending.push(Pending { share: index, sequence, sent: now, wanted, overdue });
        Some(request)
    }

    /// Returns the reports that are due for a share and marks them as sent. Fully spent or returned
    /// allowances are dropped: if the report is lost, the owner counts their tokens as spent when
    /// the grant expires.
    fn take_reports(&mut self, share: ShareIndex) -> Vec<SpentReport> {
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

    /// Reports the spent tokens of a share immediately once they reach half of its burst. Until
    /// they are reported they block refill, which a small share cannot make up for later.
    fn report_early(
        &mut self,
        index: ShareIndex,
        builder: &mut RequestBuilder<'_>,
        requests: &mut Vec<TokenRequest>,
    ) {
        let Some(share) = share_at(self.base, &self.account, index) else { return };
        let of_share = self.allowances.iter().filter(|allowance| allowance.share == index);
        let unreported: u32 = of_share.map(|allowance| allowance.spent - allowance.reported).sum();
        if unreported >= (share.burst.0 / 2).max(1) {
            let spent = self.take_reports(index);
            requests.push(builder.build(index, share.partition, 0, spent));
        }
    }

    /// Adds requests that carry all reports that are due.
    pub(crate) fn report_all(
        &mut self,
        builder: &mut RequestBuilder<'_>,
        requests: &mut Vec<TokenRequest>,
    ) {
        for index in (0..MAX_SHARES).filter_map(ShareIndex::new) {
            let spent = self.take_reports(index);
            if spent.is_empty() {
                continue;
            }
            let Some(share) = share_at(self.base, &self.account, index) else { continue };
            requests.push(builder.build(index, share.partition, 0, spent));
        }
    }

    /// Marks allowances for return as long as the remaining tokens cover the demand per window and
    /// the waiting calls. Adds the waiting calls although the demand may include them, so tokens are
    /// returned late rather than early.
    pub(crate) fn return_surplus(&mut self, now: Time) {
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

    /// Records an answer. Returns whether it belongs to a pending request.
    pub(crate) fn record_answer(&mut self, now: Time, sequence: u64, result: TokenResult) -> bool {
        let position = self.pending.iter().position(|pending| pending.sequence == sequence);
        let Some(position) = position else { return false };
        let pending = self.pending.swap_remove(position);
        let owner = &mut self.owners[usize::from(pending.share.value())];
        let TokenResult::Decided { granted, next_in } = result else {
            owner.mark_unresponsive(now);
            return true;
        };
        owner.consecutive_failures = 0;
        owner.unresponsive_until = Time::ZERO;
        let granted = granted.0.min(pending.wanted);
        if granted < pending.wanted {
            owner.no_tokens_until = now + next_in.max(MIN_REQUEST_INTERVAL);
            owner.last_shortage = Some(now);
            self.last_shortage = Some(now);
        } else {
            owner.no_tokens_until = Time::ZERO;
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

    /// Whether the account holds allowances or has pending requests or waiting calls.
    pub(crate) fn is_active(&self) -> bool {
        !self.allowances.is_empty() || !self.pending.is_empty() || self.waiting > 0
    }
}

/// Builds the requests of one account and numbers them.
pub(crate) struct RequestBuilder<'a> {
    pub(crate) entry: Incarnation,
    pub(crate) sequence: &'a mut u64,
    pub(crate) name: &'a AccountName,
}

impl RequestBuilder<'_> {
    fn build(
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
