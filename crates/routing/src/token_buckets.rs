//! Quota enforcement at this proxy: a request takes a token of its tenant or is rejected at once.
//!
//! Tokens come from two sources, each of them bounded over all proxies: [`crate::standing_buckets`] fill by
//! themselves, and the leader grants the tokens of the [`crate::token_account`].

use std::collections::HashMap;

use lynxstair::types::{Span, Time};
use lynxstair_config::configuration::Tenant;
use lynxstair_control_state::proxy_membership::ProxyMembership;
use lynxstair_control_state::quota_limits::QuotaTolerance;
use lynxstair_protocol::messages::{QuotaGrants, QuotaReport, QuotaShare};

use crate::standing_buckets::StandingBuckets;
use crate::token_account::TokenAccount;

/// Longest `Retry-After` while a tenant is blocked.
const MAX_BLOCKED_WAIT: Span = Span::from_millis(1_000);
/// Shortest `Retry-After` while a tenant is blocked.
const MIN_BLOCKED_WAIT: Span = Span::from_millis(1);
/// `Retry-After` without a token while the tenant is not blocked: other proxies may have tokens.
const OTHER_PROXY_WAIT: Span = Span::from_millis(5);

/// Where the token of a request came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenSource {
    /// The tenant has no limit.
    Unlimited,
    /// The bucket that this proxy fills.
    Standing,
    /// A token granted by the leader.
    Granted,
}

/// Tokens of all tenants at this proxy.
pub struct TokenBuckets {
    tolerance: QuotaTolerance,
    standing: StandingBuckets,
    account: TokenAccount,
    /// Limits of the configured tenants.
    limits: HashMap<String, f64>,
    blocked_until: HashMap<String, Time>,
}

impl TokenBuckets {
    /// Creates the buckets of the proxy `node`, whose process starts at `now`. It has no tokens.
    pub fn new(now: Time, zone: &str, node: &str, tolerance: QuotaTolerance) -> TokenBuckets {
        TokenBuckets {
            tolerance,
            standing: StandingBuckets::new(now, zone, node),
            account: TokenAccount::new(now, tolerance.counted_window()),
            limits: HashMap::new(),
            blocked_until: HashMap::new(),
        }
    }

    /// Takes a token for a tenant's request. The error is the time after which the client may retry.
    pub fn admit(&mut self, now: Time, tenant: &Tenant) -> Result<TokenSource, Span> {
        if tenant.rate <= 0.0 {
            return Ok(TokenSource::Unlimited);
        }
        let name = &tenant.name;
        let blocked_for = self.blocked_until.get(name).map_or(Span::ZERO, |until| *until - now);
        if blocked_for > Span::ZERO {
            self.account.count_rejected(now, name);
            return Err(MAX_BLOCKED_WAIT.min(blocked_for).max(MIN_BLOCKED_WAIT));
        }
        if self.standing.try_spend(now, tenant, &self.tolerance) {
            self.account.count_admitted(now, name);
            return Ok(TokenSource::Standing);
        }
        if self.account.try_spend(now, name) {
            return Ok(TokenSource::Granted);
        }
        self.account.count_rejected(now, name);
        Err(self.account.wait_for_grants(now).max(OTHER_PROXY_WAIT))
    }

    /// Returns the token that was taken at `taken_at` for a request that no worker ran.
    pub fn refund(&mut self, tenant: &str, source: TokenSource, taken_at: Time) {
        match source {
            TokenSource::Unlimited => {}
            TokenSource::Standing => self.standing.refund(tenant),
            TokenSource::Granted => drop(self.account.refund(tenant, taken_at)),
        }
    }

    /// Applies the configured tenants. A proxy gives up tokens of a tenant whose limit is lowered, so that the
    /// tokens of all proxies stay within the new one.
    pub fn configure(&mut self, now: Time, tenants: &[Tenant]) {
        let limit = |tenant: &Tenant| {
            let limited = tenant.rate > 0.0;
            if limited { self.tolerance.limit(tenant) } else { f64::INFINITY }
        };
        let limits: HashMap<String, f64> = tenants.iter().map(|t| (t.name.clone(), limit(t))).collect();
        for (name, limit) in &limits {
            if let Some(before) = self.limits.get(name).filter(|before| limit < *before) {
                self.account.reduce(name, limit / before);
            }
        }
        // Of a tenant that is not configured any more, the last limit is kept as long as its tokens.
        self.limits.extend(limits);
        let is_configured = |name: &str| tenants.iter().any(|tenant| tenant.name == name);
        if self.account.retain_tenants(is_configured) {
            self.limits.retain(|name, _| is_configured(name));
        }
        self.blocked_until.retain(|name, until| *until > now && is_configured(name));
        self.standing.retain_tenants(now, &self.tolerance, tenants);
    }

    /// Sets the replicated membership of the proxies.
    pub fn set_membership(&mut self, membership: &ProxyMembership) {
        self.standing.set_membership(membership);
    }

    /// Records that a controller has confirmed the membership as the newest, as of at most
    /// `membership_planner::MAX_CONFIRMATION_AGE` ago.
    pub fn on_membership_confirmed(&mut self, now: Time) {
        self.standing.on_membership_confirmed(now);
    }

    /// Returns `true` if a report is of use before the next heartbeat.
    pub fn wants_report(&self) -> bool {
        self.account.wants_report()
    }

    /// Returns the report to the leader of this term; see [`TokenAccount::report`].
    pub fn report(&mut self, now: Time, term: u64, is_snapshot: bool) -> Option<QuotaReport> {
        self.account.report(now, term, is_snapshot)
    }

    /// Applies the leader's answer to a report that was sent at `sent_at`.
    pub fn apply_grants(&mut self, now: Time, sent_at: Time, grants: &QuotaGrants) {
        self.account.apply(now, sent_at, grants);
    }

    /// Blocks tenants whose quota all proxies together have used up.
    pub fn apply_blocks(&mut self, now: Time, blocks: &[QuotaShare]) {
        for block in blocks.iter().filter(|block| block.blocked_ms > 0) {
            let until = now + Span::from_millis(u64::from(block.blocked_ms));
            self.blocked_until.insert(block.tenant.clone(), until);
        }
    }
}
