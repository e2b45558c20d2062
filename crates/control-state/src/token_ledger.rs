//! The ledger of quota tokens, kept by the leader. It bounds the requests that all proxies together send for
//! a tenant with granted tokens, whatever their number and whatever is lost between processes.
//!
//! A token is *outstanding* from the time it is granted until the ledger knows that it can't be spent any
//! more: its proxy has reported it as spent or returned, its account has expired, or its process was replaced.
//! Unless it was returned, it then counts as *spent* for one window. Tokens are granted only while
//!
//! ```text
//! outstanding + spent in the last window + unknown <= granted part
//! ```
//!
//! Every request in a window `[t, t + W]` spends a token that was outstanding at `t` or was granted later in
//! the window. At the last grant of these, or the last grant before `t` if there is none, all of them were
//! outstanding or spent less than a window ago. So the inequality at that grant bounds their number.
//!
//! A new leader does not know the tokens of earlier ones; `unknown` then is the whole granted part until
//! - every member of the proxy membership has reported what it holds and what it spent in the last window, or
//! - all tokens of earlier leaders have expired, and a window has passed since.
//!
//! A proxy that reports to a leader accepts no tokens of earlier leaders afterwards. A process that has run
//! for less than a window does not know what its predecessor on the machine spent, and counts as not reported.
//! Only members are granted tokens, and the membership is replicated, so a new leader knows whom to wait for.
//! All this requires monotonic clocks whose rates differ by at most a few percent.

use std::collections::HashMap;

use lynxstair::types::{Span, Time};
use lynxstair_protocol::messages::{QuotaAccountId, QuotaReport, TokenCounts};

use crate::proxy_membership::ProxyMembership;
use crate::sliding_count::SlidingCount;

/// Time for which a proxy may spend the tokens of its account after it sent the last heartbeat that the
/// leader acknowledged.
pub const ACCOUNT_VALIDITY: Span = Span::from_millis(5_000);
/// Time without a report after which the ledger regards the tokens of an account as spent. Covers the
/// validity, the time that an admitted request may wait, and the difference of clock rates.
const ACCOUNT_RETENTION: Span = Span::from_millis(5_600);
/// Time for which a deposed leader may still acknowledge heartbeats: it stops without quorum contact.
const MAX_LEADER_OVERLAP: Span = Span::from_millis(600);

/// Tokens of one tenant over all accounts.
#[derive(Debug, Default)]
struct TenantTokens {
    outstanding: u64,
    spent: SlidingCount,
}

/// Tokens of one tenant in one account.
#[derive(Clone, Copy, Debug, Default)]
struct AccountTokens {
    granted: u64,
    used: u64,
    returned: u64,
}

impl AccountTokens {
    fn outstanding(self) -> u64 {
        self.granted.saturating_sub(self.used + self.returned)
    }
}

/// Account of one proxy process.
#[derive(Debug)]
struct Account {
    id: QuotaAccountId,
    incarnation: u64,
    expires_at: Time,
    tokens: HashMap<String, AccountTokens>,
}

/// What is not known yet of the tokens that earlier leaders granted.
#[derive(Debug)]
struct EarlierTokens {
    leading_since: Time,
    /// Start of the process of each proxy that has reported.
    reported: HashMap<String, Time>,
}

impl EarlierTokens {
    fn is_known(&self, now: Time, window: Span, membership: &ProxyMembership) -> bool {
        if now - self.leading_since >= MAX_LEADER_OVERLAP + ACCOUNT_RETENTION + window {
            return true;
        }
        let has_reported =
            |name: &String| self.reported.get(name).is_some_and(|started_at| now - *started_at >= window);
        !membership.is_empty() && membership.names().all(has_reported)
    }

    /// Returns the time until the tokens are known if all members have reported.
    fn expected_wait(&self, now: Time, window: Span) -> Span {
        let youngest = self.reported.values().max().copied().unwrap_or(now);
        youngest + window - now
    }
}

/// A proxy process.
#[derive(Clone, Copy, Debug)]
pub struct ProxyProcess<'a> {
    /// Name of its machine.
    pub node: &'a str,
    /// Number that distinguishes restarts.
    pub incarnation: u64,
}

/// The ledger of all tenants.
#[derive(Debug)]
pub struct TokenLedger {
    /// Time for which a spent token counts.
    window: Span,
    term: u64,
    last_account: u64,
    accounts: HashMap<String, Account>,
    tenants: HashMap<String, TenantTokens>,
    /// `None` if the tokens of earlier leaders are known.
    earlier: Option<EarlierTokens>,
}

impl TokenLedger {
    /// Creates the ledger of a node that does not lead. `window`: time for which a spent token counts.
    pub fn new(window: Span) -> TokenLedger {
        TokenLedger {
            window,
            term: 0,
            last_account: 0,
            accounts: HashMap::new(),
            tenants: HashMap::new(),
            earlier: None,
        }
    }

    /// Starts an empty ledger if this node leads in a new term. Called before every report.
    pub fn lead(&mut self, now: Time, term: u64) {
        if self.term != term {
            *self = TokenLedger::new(self.window);
            self.term = term;
            self.earlier = Some(EarlierTokens { leading_since: now, reported: HashMap::new() });
        }
    }

    /// Returns `true` if the tokens of earlier leaders are known, so that tokens can be granted.
    pub fn knows_earlier_tokens(&mut self, now: Time, membership: &ProxyMembership) -> bool {
        if self.earlier.as_ref().is_some_and(|earlier| earlier.is_known(now, self.window, membership)) {
            self.earlier = None;
        }
        self.earlier.is_none()
    }

    /// Returns the time after which tokens can be granted, if all members report soon; zero if they can now.
    pub fn expected_wait(&self, now: Time) -> Span {
        self.earlier.as_ref().map_or(Span::ZERO, |earlier| earlier.expected_wait(now, self.window))
    }

    /// Records a report of a proxy to this leader. Returns the account that the proxy is to use. A report about
    /// another account only shows that the proxy has not heard of its current one yet.
    pub fn on_report(&mut self, now: Time, proxy: ProxyProcess, report: &QuotaReport) -> QuotaAccountId {
        self.expire_accounts(now);
        let is_ended =
            |account: &Account| account.incarnation != proxy.incarnation || account.id <= report.given_up;
        if self.accounts.get(proxy.node).is_some_and(is_ended) {
            self.close_account(now, proxy.node);
        }
        self.record_earlier_tokens(now, proxy, report);
        let id = match self.accounts.get_mut(proxy.node) {
            Some(account) => {
                account.expires_at = now + ACCOUNT_RETENTION;
                account.id
            }
            None => self.open_account(now, proxy, None),
        };
        for counts in &report.counts {
            self.update_counts(now, proxy.node, id, report.account, counts);
        }
        id
    }

    /// Takes over the tokens that an earlier leader granted to the proxy, and what it spent in the last
    /// window.
    fn record_earlier_tokens(&mut self, now: Time, proxy: ProxyProcess, report: &QuotaReport) {
        let (Some(earlier), Some(spent)) = (&mut self.earlier, &report.spent) else { return };
        if earlier.reported.contains_key(proxy.node) {
            return;
        }
        let started_at = now.saturating_sub(Span::from_millis(report.uptime_ms));
        earlier.reported.insert(proxy.node.to_string(), started_at);
        for entry in spent {
            let at = now.saturating_sub(Span::from_millis(entry.age_ms.into()));
            self.tenants.entry(entry.tenant.clone()).or_default().spent.add(at, entry.count.into());
        }
        let Some(id) = report.account.filter(|id| id.term < self.term) else { return };
        self.open_account(now, proxy, Some(id));
        let Some(account) = self.accounts.get_mut(proxy.node) else { return };
        for counts in &report.counts {
            let tokens =
                AccountTokens { granted: counts.granted, used: counts.used, returned: counts.returned };
            account.tokens.insert(counts.tenant.clone(), tokens);
            self.tenants.entry(counts.tenant.clone()).or_default().outstanding += tokens.outstanding();
        }
    }

    /// Opens an account with the given id or a new one.
    fn open_account(&mut self, now: Time, proxy: ProxyProcess, id: Option<QuotaAccountId>) -> QuotaAccountId {
        let id = id.unwrap_or_else(|| {
            self.last_account += 1;
            QuotaAccountId { term: self.term, number: self.last_account }
        });
        let account = Account {
            id,
            incarnation: proxy.incarnation,
            expires_at: now + ACCOUNT_RETENTION,
            tokens: HashMap::new(),
        };
        self.accounts.insert(proxy.node.to_string(), account);
        id
    }

    /// Updates the counters of one tenant, if the report is about the current account.
    fn update_counts(
        &mut self,
        now: Time,
        node: &str,
        id: QuotaAccountId,
        reported: Option<QuotaAccountId>,
        counts: &TokenCounts,
    ) {
        let Some(account) = self.accounts.get_mut(node).filter(|_| reported == Some(id)) else { return };
        let Some(tokens) = account.tokens.get_mut(&counts.tenant) else { return };
        let before = *tokens;
        tokens.used = before.used.max(counts.used);
        tokens.returned = before.returned.max(counts.returned);
        let tenant = self.tenants.entry(counts.tenant.clone()).or_default();
        tenant.outstanding = (tenant.outstanding + tokens.outstanding()).saturating_sub(before.outstanding());
        let spent_at = now.saturating_sub(Span::from_millis(counts.age_ms.into()));
        tenant.spent.add(spent_at, tokens.used - before.used);
    }

    fn expire_accounts(&mut self, now: Time) {
        let is_expired =
            |(node, account): (&String, &Account)| (now >= account.expires_at).then(|| node.clone());
        let expired: Vec<String> = self.accounts.iter().filter_map(is_expired).collect();
        expired.iter().for_each(|node| self.close_account(now, node));
    }

    /// Removes an account. Its tokens may all have been spent.
    fn close_account(&mut self, now: Time, node: &str) {
        let Some(account) = self.accounts.remove(node) else { return };
        for (tenant, tokens) in account.tokens {
            let outstanding = tokens.outstanding();
            let tenant = self.tenants.entry(tenant).or_default();
            tenant.outstanding = tenant.outstanding.saturating_sub(outstanding);
            tenant.spent.add(now, outstanding);
        }
    }

    /// Records requests that were sent without a token.
    pub fn add_spent(&mut self, at: Time, tenant: &str, count: u64) {
        self.tenants.entry(tenant.to_string()).or_default().spent.add(at, count);
    }

    /// Returns the number of tokens that were spent in the last window or may have been.
    pub fn spent(&mut self, now: Time, tenant: &str) -> u64 {
        let window = self.window;
        self.tenants.get_mut(tenant).map_or(0, |tokens| tokens.spent.sum(now, window))
    }

    /// Returns the number of tokens that may be granted now, if `granted_part` is the number for a window.
    pub fn available(&mut self, now: Time, tenant: &str, granted_part: u64) -> u64 {
        if self.earlier.is_some() {
            return 0;
        }
        granted_part.saturating_sub(self.outstanding(tenant) + self.spent(now, tenant))
    }

    /// Returns the number of tokens that all proxies may hold.
    pub fn outstanding(&self, tenant: &str) -> u64 {
        self.tenants.get(tenant).map_or(0, |tokens| tokens.outstanding)
    }

    /// Returns the number of tokens of a tenant that the proxy may hold.
    pub fn held(&self, node: &str, tenant: &str) -> u64 {
        let tokens = self.accounts.get(node).and_then(|account| account.tokens.get(tenant));
        tokens.map_or(0, |tokens| tokens.outstanding())
    }

    /// Grants tokens to a proxy that has an account. `count` must not exceed what is available. Returns the
    /// new total.
    pub fn grant(&mut self, node: &str, tenant: &str, count: u64) -> Option<TokenCounts> {
        let account = self.accounts.get_mut(node)?;
        let tokens = account.tokens.entry(tenant.to_string()).or_default();
        tokens.granted += count;
        self.tenants.entry(tenant.to_string()).or_default().outstanding += count;
        Some(TokenCounts { tenant: tenant.to_string(), granted: tokens.granted, ..TokenCounts::default() })
    }

    /// Returns the totals of all tokens of the proxy's account.
    pub fn granted_totals(&self, node: &str) -> Vec<TokenCounts> {
        let tokens = self.accounts.get(node).map(|account| &account.tokens);
        let total = |(tenant, tokens): (&String, &AccountTokens)| TokenCounts {
            tenant: tenant.clone(),
            granted: tokens.granted,
            ..TokenCounts::default()
        };
        tokens.into_iter().flatten().map(total).collect()
    }

    /// Forgets tenants without outstanding or spent tokens that are not configured.
    pub fn retain_tenants(&mut self, now: Time, is_configured: impl Fn(&str) -> bool) {
        let window = self.window;
        self.tenants.retain(|name, tokens| {
            tokens.outstanding > 0 || tokens.spent.sum(now, window) > 0 || is_configured(name)
        });
    }
}
