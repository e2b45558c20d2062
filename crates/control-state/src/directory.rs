//! The directory of a controller: which proxies clients may connect to, as they say themselves on their connections to this
//! controller, and as the other controllers have it from theirs. So a controller that no proxy has found yet can answer.

use std::collections::HashMap;
use std::net::SocketAddr;

use lynxstair::types::{Span, Time};
use lynxstair_protocol::messages::{ProxyInfo, ProxyStatus, Readiness};

/// A proxy or controller that has been silent for this long is left out.
const STATUS_TIMEOUT: Span = Span::from_millis(2_500);
/// How long it is remembered that a proxy shuts down, whatever other controllers still say of it, and which proxies could
/// serve.
const RETENTION: Span = Span::from_millis(30_000);
/// How long the list of serving proxies is reused if nothing changes.
const CACHE_TTL: Span = Span::from_millis(50);
/// The most addresses in one answer.
const MAX_ANSWER: usize = 64;

/// A proxy that is connected to this controller.
#[derive(Debug)]
struct LocalProxy {
    status: ProxyStatus,
    heard_at: Time,
}

/// What another controller says of the proxies that are connected to it.
#[derive(Debug, Default)]
struct RemoteView {
    heard_at: Time,
    is_complete: bool,
    statuses: HashMap<String, ProxyStatus>,
}

/// What one controller knows of the proxies.
#[derive(Debug, Default)]
pub struct Directory {
    /// By the proxy's node name.
    local: HashMap<String, LocalProxy>,
    /// By the controller's address.
    remote: HashMap<SocketAddr, RemoteView>,
    /// What the other controllers were last told of the local ones.
    published: HashMap<String, ProxyStatus>,
    /// Incarnations that shut down, and when that was heard.
    shutting_down: HashMap<String, (u64, Time)>,
    /// Proxies that could serve when they were last heard, by whichever controller.
    last_serving: HashMap<String, (ProxyInfo, Time)>,
    /// Those that clients may connect to, as of then: look-ups are many.
    cached: Option<(Time, Vec<ProxyInfo>)>,
    /// Look-ups so far: each answer begins with another proxy, so that all are named as often, and as early.
    lookups: usize,
}

impl Directory {
    /// A proxy says on its connection how it is. Returns whether others should learn of it at once.
    pub fn on_heartbeat(&mut self, now: Time, proxy: &ProxyInfo, readiness: Readiness) -> bool {
        self.remember(now, proxy, readiness);
        let status = ProxyStatus { proxy: proxy.clone(), readiness };
        let old = self.local.insert(proxy.node.clone(), LocalProxy { status, heard_at: now });
        let before = old.map(|old| (old.status.proxy.incarnation, old.status.readiness));
        let is_changed = before != Some((proxy.incarnation, readiness));
        if is_changed {
            self.cached = None;
        }
        is_changed
    }

    /// A proxy's connection to this controller has ended, unless a later incarnation has one.
    pub fn on_disconnected(&mut self, node: &str, incarnation: u64) {
        if self.local.get(node).is_some_and(|local| local.status.proxy.incarnation == incarnation) {
            self.local.remove(node);
            self.cached = None;
        }
    }

    /// Another controller was heard. What it said stands while it is heard: the end of one of its connections says
    /// nothing, as it may have opened another before.
    pub fn on_controller_contact(&mut self, now: Time, controller: SocketAddr) {
        if let Some(view) = self.remote.get_mut(&controller) {
            view.heard_at = now;
        }
    }

    /// Another controller says which proxies are connected to it.
    pub fn apply_remote(
        &mut self,
        now: Time,
        controller: SocketAddr,
        statuses: Vec<ProxyStatus>,
        is_snapshot: bool,
        is_complete: bool,
    ) {
        statuses.iter().for_each(|s| self.remember(now, &s.proxy, s.readiness));
        self.cached = None;
        let view = self.remote.entry(controller).or_default();
        (view.heard_at, view.is_complete) = (now, is_complete);
        if is_snapshot {
            view.statuses.clear();
        }
        for status in statuses {
            if status.readiness == Readiness::Disconnected {
                view.statuses.remove(&status.proxy.node);
            } else {
                view.statuses.insert(status.proxy.node.clone(), status);
            }
        }
    }

    fn remember(&mut self, now: Time, proxy: &ProxyInfo, readiness: Readiness) {
        match readiness {
            Readiness::ShuttingDown => {
                self.shutting_down.insert(proxy.node.clone(), (proxy.incarnation, now));
            }
            Readiness::Ready | Readiness::Stale => {
                self.last_serving.insert(proxy.node.clone(), (proxy.clone(), now));
            }
            Readiness::Starting | Readiness::Disconnected => {}
        }
    }

    fn local_statuses(&self, now: Time) -> impl Iterator<Item = &ProxyStatus> {
        let is_heard = move |local: &&LocalProxy| now - local.heard_at < STATUS_TIMEOUT;
        self.local.values().filter(is_heard).map(|local| &local.status)
    }

    /// All proxies that are connected to this controller.
    pub fn snapshot(&self, now: Time) -> Vec<ProxyStatus> {
        self.local_statuses(now).cloned().collect()
    }

    /// What changed since this was last called; forgets what is long over.
    pub fn take_changes(&mut self, now: Time) -> Vec<ProxyStatus> {
        self.shutting_down.retain(|_, (_, at)| now - *at < RETENTION);
        self.remote.retain(|_, view| now - view.heard_at < RETENTION);
        self.last_serving.retain(|_, (_, at)| now - *at < RETENTION);
        let current: HashMap<String, ProxyStatus> =
            self.local_statuses(now).map(|s| (s.proxy.node.clone(), s.clone())).collect();
        let is_changed = |s: &&ProxyStatus| self.published.get(&s.proxy.node) != Some(*s);
        let mut changes: Vec<ProxyStatus> = current.values().filter(is_changed).cloned().collect();
        let disconnected = self.published.values().filter(|s| !current.contains_key(&s.proxy.node));
        changes.extend(disconnected.map(|s| ProxyStatus { readiness: Readiness::Disconnected, ..s.clone() }));
        self.published = current;
        changes
    }

    /// Whether another controller has told all proxies that there are: then this one need not wait for its own.
    pub fn has_complete_view(&self, now: Time) -> bool {
        self.remote.values().any(|view| view.is_complete && now - view.heard_at < STATUS_TIMEOUT)
    }

    /// Whether this incarnation has said that it shuts down.
    fn is_shutting_down(&self, proxy: &ProxyInfo) -> bool {
        self.shutting_down.get(&proxy.node).is_some_and(|(incarnation, _)| *incarnation == proxy.incarnation)
    }

    /// The proxies that clients may connect to: all that some controller has as ready, else those that serve on with a
    /// configuration that is not confirmed. None that has told any controller that it shuts down.
    pub fn serving(&self, now: Time) -> Vec<&ProxyInfo> {
        let views = self.remote.values().filter(|view| now - view.heard_at < STATUS_TIMEOUT);
        let statuses = self.local_statuses(now).chain(views.flat_map(|view| view.statuses.values()));
        let mut best: HashMap<&str, &ProxyStatus> = HashMap::new();
        for status in statuses.filter(|s| !self.is_shutting_down(&s.proxy)) {
            let other = best.get(status.proxy.node.as_str());
            if serving_rank(status) > other.map_or(0, |other| serving_rank(other)) {
                best.insert(&status.proxy.node, status);
            }
        }
        let with = |readiness| best.values().filter(move |s| s.readiness == readiness).map(|s| &s.proxy);
        let ready: Vec<&ProxyInfo> = with(Readiness::Ready).collect();
        if ready.is_empty() { with(Readiness::Stale).collect() } else { ready }
    }

    /// The answer to a client of this region: its own proxies where there are any. Where no controller hears any proxy, a
    /// controller with quorum contact names those that were there last: they may be partitioned off from the controllers
    /// only. One without names none then, as another controller may know better.
    pub fn lookup(&mut self, now: Time, region: &str, has_quorum_contact: bool) -> Vec<SocketAddr> {
        if self.cached.as_ref().is_none_or(|(at, _)| now - *at >= CACHE_TTL) {
            self.cached = Some((now, self.serving(now).into_iter().cloned().collect()));
        }
        let serving = self.cached.as_ref().map_or(&[][..], |(_, serving)| serving);
        let mut candidates: Vec<&ProxyInfo> = serving.iter().collect();
        if candidates.is_empty() && has_quorum_contact {
            candidates = self.recently_serving(now);
        }
        let mut near: Vec<&ProxyInfo> = candidates.iter().copied().filter(|p| p.region == region).collect();
        if near.is_empty() {
            near = candidates;
        }
        let mut addresses: Vec<SocketAddr> = near.iter().map(|proxy| proxy.client_address).collect();
        if !addresses.is_empty() {
            self.lookups = self.lookups.wrapping_add(1);
            let first = self.lookups % addresses.len();
            addresses.rotate_left(first);
        }
        addresses.truncate(MAX_ANSWER);
        addresses
    }

    fn recently_serving(&self, now: Time) -> Vec<&ProxyInfo> {
        let recent = self.last_serving.values().filter(|(_, at)| now - *at < RETENTION);
        recent.map(|(proxy, _)| proxy).filter(|proxy| !self.is_shutting_down(proxy)).collect()
    }
}

/// Of what two controllers say of one proxy the better counts.
fn serving_rank(status: &ProxyStatus) -> u8 {
    match status.readiness {
        Readiness::Ready => 2,
        Readiness::Stale => 1,
        Readiness::Starting | Readiness::ShuttingDown | Readiness::Disconnected => 0,
    }
}
