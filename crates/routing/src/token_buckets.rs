//! The ordinary path of every request: one token bucket for each tenant at this gatekeeper. A token, and the request
//! goes on; none, and it is refused with the time to the next. The buckets of all gatekeepers hold together what the
//! tenant's quota is, by the parts that the purse gives them.

use std::collections::HashMap;

use lynxstair::state::Store;
use lynxstair::types::{Span, Time};
use lynxstair_config::configuration::Tenant;
use lynxstair_control_state::quota_limits::{DEPTH, OVER_PART, SLACK_PART};
use lynxstair_protocol::messages::{Count, Share};

/// A part that was given stands for so long without the purse's word; then an even part is the most.
const STANDS: Span = Span::from_millis(2500);
/// The most that a client is told to wait while a tenant is closed: a second (design page).
const CLOSED: Span = Span::from_millis(1000);
/// Where a tenant was blocked lately, one token is the least depth.
const LEAST: f64 = 1.0;
/// Before it is told how many gatekeepers there are, one takes them for this many: after a start of all at once each
/// would else spend the whole.
const UNTOLD: f64 = 12.0;
/// And a new one begins with this many at the least.
const FIRST: f64 = 2.0;

#[derive(Default)]
struct Bucket {
    tokens: Store,
    /// The part of the quota that was given, and when.
    part: Option<(f64, Time)>,
    closed_until: Time,
    tight_until: Time,
    passed: u32,
    refused: u32,
}

pub struct Buckets {
    all: HashMap<String, Bucket>,
    gatekeepers: f64,
    /// Requests, and a part of the quota, that the operators grant beyond it in a window.
    slack: (f64, f64),
}

impl Bucket {
    fn part(&self, now: Time, gatekeepers: f64) -> f64 {
        match self.part {
            Some((part, at)) if now - at < STANDS => part,
            Some((part, _)) => part.min(1.0 / gatekeepers),
            None => 1.0 / gatekeepers,
        }
    }
}

impl Buckets {
    /// `requests` and a part of the quota, `over`, are granted beyond it in a window.
    pub fn new(requests: f64, over: f64) -> Self {
        Buckets { all: HashMap::new(), gatekeepers: UNTOLD, slack: (requests, over) }
    }

    /// How many gatekeepers there are in all.
    pub fn shared_by(&mut self, gatekeepers: u32) {
        self.gatekeepers = f64::from(gatekeepers.max(1));
    }

    /// Whether a tenant's request goes on; else after how long it may come back. Decided at once, always.
    pub fn admit(&mut self, now: Time, tenant: &Tenant) -> Result<(), Span> {
        if tenant.rate <= 0.0 {
            return Ok(());
        }
        let gatekeepers = self.gatekeepers;
        let bucket = self.all.entry(tenant.name.clone()).or_insert_with(|| Bucket {
            // Its burst is split over the gatekeepers.
            tokens: Store { level: (tenant.burst / gatekeepers).max(FIRST), at: now },
            ..Bucket::default()
        });
        let part = bucket.part(now, gatekeepers);
        let (requests, over) = self.slack;
        let rate = tenant.rate * part * (1.0 + over * OVER_PART);
        let most = tenant.burst * part + requests * SLACK_PART / gatekeepers;
        let least = if now < bucket.tight_until { LEAST } else { DEPTH };
        let level = bucket.tokens.fill(now, rate, most.max(least));
        if now < bucket.closed_until {
            // Nothing is saved up meanwhile.
            bucket.tokens.level = level.min(0.0);
            bucket.refused += 1;
            return Err(CLOSED.min(bucket.closed_until - now).max(Span::from_millis(1)));
        }
        if level < 1.0 {
            bucket.refused += 1;
            return Err(Span::from_secs((1.0 - level) / rate));
        }
        bucket.tokens.level -= 1.0;
        bucket.passed += 1;
        Ok(())
    }

    /// A token that was not spent after all: the request went to no worker.
    pub fn give_back(&mut self, tenant: &str) {
        if let Some(bucket) = self.all.get_mut(tenant).filter(|b| b.passed > 0) {
            bucket.passed -= 1;
            bucket.tokens.level += 1.0;
        }
    }

    /// The parts that are held.
    pub fn holds(&self, now: Time) -> Vec<(String, f32)> {
        let n = self.gatekeepers;
        let given = self.all.iter().filter(|(_, b)| b.part.is_some());
        given.map(|(tenant, b)| (tenant.clone(), b.part(now, n) as f32)).collect()
    }

    /// What was counted since the last time.
    pub fn counts(&mut self) -> Vec<Count> {
        let counted = self.all.iter_mut().filter(|(_, b)| b.passed + b.refused > 0);
        counted
            .map(|(tenant, b)| Count {
                tenant: tenant.clone(),
                passed: std::mem::take(&mut b.passed),
                refused: std::mem::take(&mut b.refused),
                ago_ms: 0,
            })
            .collect()
    }

    /// What the purse says, in answer to a ping that was sent then or to all at once.
    pub fn hear(&mut self, now: Time, sent_at: Time, shares: &[Share]) {
        for share in shares {
            let bucket = self.all.entry(share.tenant.clone()).or_default();
            if share.part.is_finite() {
                bucket.part = Some((f64::from(share.part).clamp(0.0, 1.0), sent_at));
            }
            if share.closed_ms > 0 {
                bucket.closed_until = now + Span::from_millis(u64::from(share.closed_ms));
                bucket.tokens.level = bucket.tokens.level.min(0.0);
            }
            if share.tight_ms > 0 {
                bucket.tight_until = now + Span::from_millis(u64::from(share.tight_ms));
            }
        }
    }

    /// The core that leads answers: what was given before still stands.
    pub fn renew(&mut self, sent_at: Time) {
        for bucket in self.all.values_mut() {
            if let Some((_, at)) = &mut bucket.part {
                *at = sent_at.max(*at);
            }
        }
    }

    /// Lets go of tenants that no configuration holds any more.
    pub fn keep(&mut self, is_held: impl Fn(&str) -> bool) {
        self.all.retain(|tenant, _| is_held(tenant));
    }
}
