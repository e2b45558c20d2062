//! The quota tokens that the leader granted to this proxy. [`lynxstair_control_state::token_ledger`] has the
//! bound that they keep over all proxies; this is the holder's side of it:
//!
//! - A token is spent at most once, and only while the account is valid. The validity starts when a heartbeat
//!   is sent that the leader then acknowledges, so a late acknowledgement does not prolong it.
//! - A new account replaces the tokens of the one before.
//! - After a report to a leader, tokens of leaders of earlier terms are refused.

use std::collections::{HashMap, VecDeque};

use lynxstair::types::{Span, Time};
use lynxstair_control_state::token_ledger::ACCOUNT_VALIDITY;
use lynxstair_protocol::messages::{QuotaAccountId, QuotaGrants, QuotaReport, SpentTokens, TokenCounts};

/// Time without a request after which all tokens of a tenant are returned, so that other proxies get them.
const IDLE_RETURN: Span = Span::from_millis(20_000);
/// Time for which tokens are kept at the recent rate of requests, in seconds; more are returned.
const KEPT_DEMAND_S: f64 = 4.0;
/// Shortest time between two updates of the rate, in seconds.
const MIN_RATE_GAP_S: f64 = 0.5;
/// Tokens that are kept in any case.
const MIN_KEPT: f64 = 2.0;
/// Time constant of the recent rate of requests, in seconds.
const RATE_TIME_S: f64 = 10.0;
/// An account with more tenants than configured ones by this number is given up, with its tokens.
const MAX_UNCONFIGURED_TENANTS: usize = 1_000;
/// Time until tokens may be granted if no leader is in contact.
const NO_LEADER_WAIT: Span = Span::from_millis(1_000);
/// Spent tokens of this span share one entry of the history.
const HISTORY_RESOLUTION: Span = Span::from_millis(1_000);

/// Tokens and requests of one tenant.
#[derive(Debug, Default)]
struct TenantTokens {
    granted: u64,
    used: u64,
    returned: u64,
    /// `used` and `returned` as last reported.
    reported: (u64, u64),
    reported_at: Time,
    admitted: u32,
    rejected: u32,
    last_request_at: Time,
    last_spent_at: Time,
    /// Requests per second, as a moving average.
    request_rate: f64,
}

impl TenantTokens {
    fn held(&self) -> u64 {
        self.granted.saturating_sub(self.used + self.returned)
    }

    /// Updates the rate of requests after `gap_s` seconds, and returns tokens that will not be needed soon.
    fn return_surplus(&mut self, now: Time, gap_s: f64) {
        let requests = f64::from(self.admitted + self.rejected);
        let weight = (gap_s / RATE_TIME_S).min(1.0);
        self.request_rate += weight * (requests / gap_s - self.request_rate);
        let needed = self.request_rate * KEPT_DEMAND_S;
        let kept = (needed + 2.0 * needed.sqrt() + MIN_KEPT).ceil() as u64;
        let is_idle = now - self.last_request_at >= IDLE_RETURN;
        self.returned += if is_idle { self.held() } else { self.held().saturating_sub(kept) };
    }

    fn has_changes(&self) -> bool {
        self.admitted + self.rejected > 0 || self.reported != (self.used, self.returned)
    }

    /// Returns the counters to report, and counts requests anew.
    fn report(&mut self, now: Time, tenant: &str, is_snapshot: bool) -> TokenCounts {
        let has_spent = self.used > self.reported.0;
        let age_ms = ((now - self.last_spent_at).nanos() / 1_000_000) as u32;
        self.reported = (self.used, self.returned);
        self.reported_at = now;
        TokenCounts {
            tenant: tenant.to_string(),
            granted: if is_snapshot { self.granted } else { 0 },
            used: self.used,
            age_ms: if has_spent { age_ms } else { 0 },
            returned: self.returned,
            admitted: std::mem::take(&mut self.admitted),
            rejected: std::mem::take(&mut self.rejected),
        }
    }
}

/// Account of granted tokens, and the requests counted for the leader.
#[derive(Debug)]
pub struct TokenAccount {
    started_at: Time,
    /// Time for which a spent token counts.
    window: Span,
    /// Current account, and the time until which its tokens may be spent.
    account: Option<(QuotaAccountId, Time)>,
    /// Latest account so far, which may be given up. An account that was given up is never used again, as its
    /// counters are gone.
    latest: QuotaAccountId,
    /// Highest term that was reported to.
    term: u64,
    /// Last time at which the rates of requests were updated.
    last_report_at: Time,
    /// A tenant has run out of tokens since the last report.
    has_run_out: bool,
    /// Time at which the leader expects to grant tokens.
    grants_expected_at: Time,
    tenants: HashMap<String, TenantTokens>,
    /// Tokens spent in the last window: time of the first one in each entry, and number by tenant.
    history: VecDeque<(Time, HashMap<String, u32>)>,
}

impl TokenAccount {
    /// Creates the account of a process that starts at `now`. `window`: time for which a spent token counts.
    pub fn new(now: Time, window: Span) -> TokenAccount {
        TokenAccount {
            started_at: now,
            window,
            account: None,
            latest: QuotaAccountId::default(),
            term: 0,
            last_report_at: now,
            has_run_out: false,
            grants_expected_at: now,
            tenants: HashMap::new(),
            history: VecDeque::new(),
        }
    }

    /// Returns the time after which the leader is expected to grant tokens. It does not for some seconds after it
    /// has begun to lead.
    pub fn wait_for_grants(&self, now: Time) -> Span {
        if self.account.is_none_or(|(_, valid_until)| now >= valid_until) {
            return NO_LEADER_WAIT;
        }
        self.grants_expected_at - now
    }

    fn tenant(&mut self, now: Time, name: &str) -> &mut TenantTokens {
        let tenant = self.tenants.entry(name.to_string()).or_default();
        tenant.last_request_at = now;
        tenant
    }

    /// Counts a request that was admitted without a granted token.
    pub fn count_admitted(&mut self, now: Time, tenant: &str) {
        self.tenant(now, tenant).admitted += 1;
    }

    /// Counts a rejected request.
    pub fn count_rejected(&mut self, now: Time, tenant: &str) {
        self.tenant(now, tenant).rejected += 1;
    }

    /// Spends a token. Returns `false` if none is held.
    pub fn try_spend(&mut self, now: Time, name: &str) -> bool {
        if self.account.is_none_or(|(_, valid_until)| now >= valid_until) {
            return false;
        }
        let tenant = self.tenant(now, name);
        if tenant.held() == 0 {
            return false;
        }
        tenant.used += 1;
        tenant.admitted += 1;
        tenant.last_spent_at = now;
        let has_run_out = tenant.held() == 0;
        self.has_run_out |= has_run_out;
        match self.history.back_mut().filter(|(at, _)| now - *at < HISTORY_RESOLUTION) {
            Some((_, counts)) => *counts.entry(name.to_string()).or_default() += 1,
            None => {
                self.expire_history(now);
                self.history.push_back((now, HashMap::from([(name.to_string(), 1)])));
            }
        }
        true
    }

    /// Returns a token that was spent at `spent_at` for a request that no worker ran, unless it has been reported
    /// as spent.
    pub fn refund(&mut self, tenant: &str, spent_at: Time) -> bool {
        let Some(tenant) = self.tenants.get_mut(tenant) else { return false };
        let is_unreported = spent_at > tenant.reported_at && tenant.used > tenant.reported.0;
        if is_unreported {
            tenant.used -= 1;
            tenant.admitted = tenant.admitted.saturating_sub(1);
        }
        is_unreported
    }

    /// Gives up tokens of a tenant whose granted part has decreased to this fraction of what it was.
    pub fn reduce(&mut self, tenant: &str, fraction: f64) {
        if let Some(tenant) = self.tenants.get_mut(tenant) {
            let held = tenant.held();
            tenant.returned += held - (held as f64 * fraction.clamp(0.0, 1.0)) as u64;
        }
    }

    /// Returns `true` if a report is of use before the next heartbeat.
    pub fn wants_report(&self) -> bool {
        self.has_run_out
    }

    /// Returns the report to the leader of this term, or `None` if a leader of a later term is known.
    /// `is_snapshot`: this leader has not received a report on this connection yet.
    pub fn report(&mut self, now: Time, term: u64, is_snapshot: bool) -> Option<QuotaReport> {
        if term < self.term {
            return None;
        }
        self.term = term;
        self.has_run_out = false;
        if self.account.is_some_and(|(_, valid_until)| now >= valid_until) {
            self.replace_account(None);
        }
        let gap_s = (now - self.last_report_at).secs();
        if gap_s >= MIN_RATE_GAP_S {
            self.last_report_at = now;
            self.tenants.values_mut().for_each(|tenant| tenant.return_surplus(now, gap_s));
        }
        let reported = self.tenants.iter_mut().filter(|(_, t)| is_snapshot || t.has_changes());
        let counts = reported.map(|(name, tenant)| tenant.report(now, name, is_snapshot)).collect();
        Some(QuotaReport {
            term,
            account: self.account.map(|(id, _)| id),
            given_up: if self.account.is_none() { self.latest } else { QuotaAccountId::default() },
            uptime_ms: (now - self.started_at).nanos() / 1_000_000,
            counts,
            spent: is_snapshot.then(|| self.spent(now)),
        })
    }

    /// Drops entries whose tokens were all spent before the last window.
    fn expire_history(&mut self, now: Time) {
        let window = self.window + HISTORY_RESOLUTION;
        while self.history.pop_front_if(|(at, _)| now - *at >= window).is_some() {}
    }

    /// Returns the tokens spent in the last window.
    fn spent(&mut self, now: Time) -> Vec<SpentTokens> {
        self.expire_history(now);
        let of_entry = |(at, counts): &(Time, HashMap<String, u32>)| {
            // An entry holds tokens that were spent up to `HISTORY_RESOLUTION` later.
            let age_ms = ((now - (*at + HISTORY_RESOLUTION)).nanos() / 1_000_000) as u32;
            let spent = |(tenant, count): (&String, &u32)| SpentTokens {
                tenant: tenant.clone(),
                count: *count,
                age_ms,
            };
            counts.iter().map(spent).collect::<Vec<_>>()
        };
        self.history.iter().flat_map(of_entry).collect()
    }

    /// Applies the answer to a heartbeat that was sent at `sent_at`.
    pub fn apply(&mut self, now: Time, sent_at: Time, grants: &QuotaGrants) {
        let Some(id) = grants.account.filter(|_| grants.term >= self.term) else { return };
        match &mut self.account {
            Some((current, valid_until)) if id == *current => {
                *valid_until = (*valid_until).max(sent_at + ACCOUNT_VALIDITY);
            }
            _ if id <= self.latest => return,
            _ => {
                self.replace_account(Some((id, sent_at + ACCOUNT_VALIDITY)));
                self.latest = id;
            }
        }
        self.grants_expected_at = now + Span::from_millis(grants.wait_ms.into());
        for granted in &grants.tokens {
            let tenant = self.tenants.entry(granted.tenant.clone()).or_default();
            if granted.granted > tenant.granted {
                if tenant.held() == 0 {
                    tenant.last_request_at = tenant.last_request_at.max(now);
                }
                tenant.granted = granted.granted;
            }
        }
    }

    /// Drops all tokens.
    fn replace_account(&mut self, account: Option<(QuotaAccountId, Time)>) {
        self.account = account;
        for tenant in self.tenants.values_mut() {
            (tenant.granted, tenant.used, tenant.returned, tenant.reported) = (0, 0, 0, (0, 0));
        }
    }

    /// Limits the memory for tenants that are not configured any more. Their counters are kept, because a
    /// tenant that is configured again continues with them. Returns `true` if they were given up.
    pub fn retain_tenants(&mut self, is_configured: impl Fn(&str) -> bool) -> bool {
        let unconfigured = self.tenants.keys().filter(|name| !is_configured(name)).count();
        let is_over_limit = unconfigured > MAX_UNCONFIGURED_TENANTS;
        if is_over_limit {
            self.replace_account(None);
            self.tenants.retain(|name, _| is_configured(name));
        }
        is_over_limit
    }
}
