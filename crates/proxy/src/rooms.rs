//! The rooms of a gatekeeper together: what becomes of a request is said here, in one place. No I/O, clock or
//! thread; the road calls it under one short lock.

use std::sync::Arc;

use lynxstair::rng::Rng;
use lynxstair::types::{Outcome, Span, Time};
use lynxstair_config::configuration::Kind;
use lynxstair_config::settings::Settings;
use lynxstair_control_state::config_feed::{Mirror, Version};
use lynxstair_control_state::instance_registry::Register;
use lynxstair_protocol::messages::Life;
use lynxstair_routing::config_lease::Trust;
use lynxstair_routing::execution::Verdict;
use lynxstair_routing::locality_balancer::{Ask, Ladder, Pick, Sent, Worker};
use lynxstair_routing::proxy_counts::Sharing;
use lynxstair_routing::retry_budget::Budget;
use lynxstair_routing::slow_start::{Cold, Tidings};
use lynxstair_routing::token_buckets::Buckets;

/// When a client may come back to a gatekeeper that is not up to date, or knows no worker.
const SOON: Span = Span::from_millis(300);
/// What workers say comes here, by the core, while that was heard within so long: some more than it speaks.
const HEARD: Span = Span::from_millis(1_700);
/// A gatekeeper is ready for clients while it was sure of its book within so long.
const FRESH: Span = Span::from_millis(3_000);

/// What a request asks for, as its head says.
pub struct Asked<'a> {
    pub host: &'a str,
    pub path: &'a str,
    pub key: Option<&'a str>,
    /// How long the client waits.
    pub patience: Option<Span>,
}

/// An answer of our own.
#[derive(Clone, Debug, PartialEq)]
pub struct Own {
    pub status: u16,
    pub why: &'static str,
    pub retry_after: Option<Span>,
}

impl Own {
    pub fn new(status: u16, why: &'static str) -> Own {
        Own { status, why, retry_after: None }
    }

    pub fn later(status: u16, why: &'static str, after: Span) -> Own {
        Own { status, why, retry_after: Some(after) }
    }
}

/// A request that is let through, with the version it was let through by.
pub struct Admitted {
    pub version: Arc<Version>,
    pub service: String,
    pub tenant: Option<String>,
    pub kind: Kind,
    pub target: Span,
    pub until: Time,
    pub max_attempts: usize,
    homes: Vec<Vec<String>>,
    pub tried: Vec<Arc<Worker>>,
    /// What is known of all its tries together.
    pub verdict: Verdict,
    spent: bool,
}

pub struct Rooms {
    settings: Settings,
    rng: Rng,
    pub mirror: Mirror,
    pub trust: Trust,
    pub register: Register,
    pub buckets: Buckets,
    budget: Budget,
    ladder: Ladder,
    sharing: Sharing,
    pub has_lives: bool,
    pub is_leaving: bool,
}

impl Rooms {
    pub fn new(settings: &Settings, seed: u64) -> Rooms {
        let bounds = &settings.bounds;
        Rooms {
            rng: Rng::new(seed),
            mirror: Mirror::default(),
            trust: Trust::default(),
            register: Register::default(),
            buckets: Buckets::new(bounds.quota_slack, bounds.quota_overshoot),
            budget: Budget::new(bounds.retry_ratio, bounds.retry_slack),
            ladder: Ladder::new(
                seed,
                &settings.zone,
                &settings.region,
                &settings.zones,
                Cold::new(bounds.cold_overshoot, bounds.cold_slack),
            ),
            sharing: Sharing::default(),
            has_lives: false,
            is_leaving: false,
            settings: settings.clone(),
        }
    }

    /// Whether clients may be sent here.
    pub fn is_ready(&self, now: Time) -> bool {
        !self.is_leaving
            && self.has_lives
            && self.mirror.version().is_some()
            && self.trust.is_fresh(now, FRESH)
    }

    // ---- what the feed says ----

    pub fn take_book(&mut self, now: Time, number: u64, state: &[u8]) -> bool {
        if !self.mirror.take(now, number, state) {
            return false;
        }
        if let Some(version) = self.mirror.version() {
            self.ladder.configure(now, &version.configuration);
            let configuration = &version.configuration;
            self.buckets.keep(|tenant| configuration.tenants.iter().any(|t| t.name == tenant));
            self.budget.keep(|service| configuration.services.contains_key(service));
        }
        true
    }

    pub fn take_lives(&mut self, now: Time, lives: &[Life]) {
        self.has_lives |= !lives.is_empty();
        for life in lives {
            if self.register.hear(now, life)
                && let Some(known) = self.register.lives().get(&life.id)
            {
                self.ladder.place(now, &life.id, known);
            }
        }
    }

    pub fn take_pong(&mut self, sent_at: Time, index: u64, fresh: Option<Span>, leads: bool) {
        if let Some(fresh) = fresh {
            self.trust.hear(sent_at, index, fresh, self.mirror.number());
        }
        if leads {
            self.buckets.renew(sent_at);
        }
    }

    pub fn take_zones(&mut self, now: Time, zones: &[(String, u32)]) {
        self.sharing.hear(now, zones);
        self.share(now);
    }

    fn share(&mut self, now: Time) {
        let zones = self.sharing.zones();
        let all = zones.iter().map(|(_, n)| n).sum();
        self.buckets.shared_by(all);
        self.budget.shared_by(all);
        self.ladder.shared_by(now, &zones);
    }

    pub fn tick(&mut self, now: Time) {
        self.ladder.tick(now);
        if self.sharing.forget(now) {
            self.share(now);
        }
        // Lives that are long over; the silent ones are the huts' to tell.
        self.register.sweep(now, Span::from_millis(3_600_000));
    }

    // ---- a request ----

    /// Route, key, freshness, quota: whether a request goes on.
    pub fn admit(&mut self, now: Time, asked: &Asked) -> Result<Admitted, Own> {
        let Some(version) = self.mirror.version() else {
            return Err(Own::later(503, "no configuration yet", SOON));
        };
        let configuration = &version.configuration;
        let Some(route) = configuration.route(asked.host, asked.path) else {
            return Err(Own::new(404, "no route"));
        };
        let has_tenants = !configuration.tenants.is_empty();
        let tenant = if has_tenants && !route.public {
            match asked.key.and_then(|key| configuration.tenant(key)) {
                Some((_, tenant)) => Some(tenant),
                // Perhaps a key of a version that has not come here yet.
                None if !self.trust.is_fresh(now, FRESH) => {
                    return Err(Own::later(503, "not up to date", SOON));
                }
                None => return Err(Own::new(401, "unknown key")),
            }
        } else {
            None
        };
        let revoke = self.settings.bounds.revoke_final.then_some(self.settings.bounds.revoke);
        if tenant.is_some() && !self.trust.holds(now, revoke) {
            return Err(Own::later(503, "not up to date", SOON));
        }
        if let Some(tenant) = tenant
            && let Err(wait) = self.buckets.admit(now, tenant)
        {
            return Err(Own::later(429, "quota", wait));
        }
        let service = match &route.services[..] {
            [(service, _)] => service.clone(),
            many => {
                let mut point = self.rng.unit() * many.iter().map(|(_, w)| w).sum::<f64>();
                let drawn = many.iter().find(|(_, w)| {
                    point -= w;
                    point < 0.0
                });
                drawn.unwrap_or(&many[0]).0.clone()
            }
        };
        let patience = asked.patience.unwrap_or(route.timeout).min(route.timeout);
        let homes = [Some(&route.homes), tenant.map(|t| &t.homes)];
        let homes = homes.into_iter().flatten().filter(|h| !h.is_empty()).cloned().collect();
        Ok(Admitted {
            service,
            tenant: tenant.map(|t| t.name.clone()),
            kind: route.kind,
            target: route.target,
            until: now + patience,
            max_attempts: route.max_attempts as usize,
            homes,
            tried: Vec::new(),
            verdict: Verdict::NeverRan,
            spent: false,
            version: version.clone(),
        })
    }

    /// The worker that a request goes to now, the first time or again; else the final answer, at once.
    pub fn pick(&mut self, now: Time, request: &mut Admitted) -> Result<Box<Sent>, Own> {
        let is_first = request.tried.is_empty();
        let soon = request.target.times(0.25);
        let may = request.verdict.may_go_again(request.kind.is_repeatable())
            && request.tried.len() < request.max_attempts
            && now < request.until
            && self.may_serve(now, request);
        if !may || !is_first && !self.budget.spend(&request.service) {
            return Err(self.give_up(now, request, soon));
        }
        let version = self.newest(request);
        let settings = &self.settings;
        let allows = |zone: &str| allows(settings, &version, request, zone);
        let mirror = &self.mirror;
        let unsaid_for = Cold::unsaid(settings.beat_period);
        let is_heard = self.trust.is_fresh(now, HEARD);
        let tidings = |zone: &str| match mirror.returned_at(zone) {
            Some(at) if now - at < unsaid_for => Tidings::Unsaid,
            _ if is_heard => Tidings::Heard,
            _ => Tidings::Unheard,
        };
        let ask = Ask {
            service: &request.service,
            kind: request.kind,
            target: request.target,
            valid_until: request.until,
            allows: &allows,
            tried: &request.tried,
        };
        match self.ladder.pick(now, &ask, &tidings) {
            Pick::Send(sent) => {
                if is_first {
                    self.budget.earn(&request.service);
                }
                request.tried.push(sent.worker.clone());
                request.spent = true;
                Ok(sent)
            }
            Pick::Full(wait) => Err(self.give_up(now, request, wait)),
        }
    }

    /// What binds at the moment of sending on is taken from the newest version, not from the request's.
    fn newest(&self, request: &Admitted) -> Arc<Version> {
        self.mirror.version().unwrap_or_else(|| request.version.clone())
    }

    /// Whether requests like this one may go to workers at all: for tenants only while the book is surely new enough.
    fn may_serve(&self, now: Time, request: &Admitted) -> bool {
        let revoke = self.settings.bounds.revoke_final.then_some(self.settings.bounds.revoke);
        request.tenant.is_none() || self.trust.holds(now, revoke)
    }

    /// Whether a request that was picked a worker for may still go there, right before it is handed over.
    pub fn may_go(&self, now: Time, request: &Admitted, worker: &Worker) -> bool {
        self.may_serve(now, request) && allows(&self.settings, &self.newest(request), request, &worker.zone)
    }

    /// How a try ended; what is known of the request after it.
    pub fn ended(
        &mut self,
        now: Time,
        request: &mut Admitted,
        sent: &Sent,
        outcome: Outcome,
        verdict: Verdict,
    ) {
        self.ladder.ended(now, sent, outcome);
        request.verdict = request.verdict.and(verdict);
    }

    /// The final answer to a request that goes to no worker any more.
    fn give_up(&mut self, now: Time, request: &Admitted, wait: Span) -> Own {
        if request.verdict.may_promise() {
            if let Some(tenant) = &request.tenant {
                self.buckets.give_back(tenant);
            }
            Own::later(503, "no worker takes it now", wait)
        } else if now >= request.until {
            Own::new(504, "the time is up")
        } else {
            Own::new(502, "no worker's answer came")
        }
    }
}

/// Whether workers of a zone may serve a request: by evacuations and by homes.
fn allows(settings: &Settings, version: &Version, request: &Admitted, zone: &str) -> bool {
    let region = settings.region_of(zone).unwrap_or("");
    !version.evacuated.contains(zone) && request.homes.iter().all(|h| h.iter().any(|r| r == region))
}
