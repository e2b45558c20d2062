//! The directory of a controller: the proxies that clients may connect to. Combines the heartbeats of
//! proxies that are connected to this controller with the reports of the other controllers, so that a
//! controller without connected proxies can answer look-ups too.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use lynxstair::types::{Span, Time};
use lynxstair_protocol::messages::{ProxyInfo, ProxyStatus, Readiness};

/// The status of a proxy, or the report of a controller, is ignored after this long without a message from
/// it.
const STATUS_TIMEOUT: Span = Span::from_millis(2_500);
/// Time for which the shutdown of a proxy incarnation, the reports of a silent controller and the last
/// serving proxies are kept. Other controllers may still report a proxy that has begun to shut down.
const RETENTION: Span = Span::from_millis(30_000);
/// Time for which the list of serving proxies is reused if no change is reported.
const CACHE_TTL: Span = Span::from_millis(50);
/// Maximum number of addresses in one answer.
const MAX_ADDRESSES: usize = 64;

/// A proxy that is connected to this controller, with its last heartbeat.
#[derive(Debug)]
struct LocalProxy {
    status: ProxyStatus,
    last_message_at: Time,
}

/// The proxies that are connected to another controller, from its reports.
#[derive(Debug, Default)]
struct RemoteView {
    last_message_at: Time,
    is_complete: bool,
    statuses: HashMap<String, ProxyStatus>,
}

/// Question of a client.
#[derive(Clone, Debug)]
pub struct Lookup<'a> {
    /// Region of the client.
    pub region: &'a str,
    /// Home regions of the client's host; `None` if its requests may be sent to any region.
    pub home_regions: Option<BTreeSet<&'a str>>,
    /// This controller has quorum contact.
    pub has_quorum_contact: bool,
}

impl Lookup<'_> {
    /// Returns `true` if a proxy of this region may get the client's requests: one of its own region, or of a
    /// home region.
    fn allows(&self, region: &str) -> bool {
        region == self.region || self.home_regions.as_ref().is_none_or(|homes| homes.contains(region))
    }
}

/// The proxies that one controller knows.
#[derive(Debug, Default)]
pub struct Directory {
    /// Proxies connected to this controller, by node name.
    local: HashMap<String, LocalProxy>,
    /// Reports of other controllers, by their address.
    remote: HashMap<SocketAddr, RemoteView>,
    /// Statuses of the local proxies that were last sent to the other controllers.
    published: HashMap<String, ProxyStatus>,
    /// Incarnations that are shutting down, by node name, and the time of the report.
    shutting_down: HashMap<String, (u64, Time)>,
    /// Proxies by node name, and the time at which they were last reported as able to serve.
    last_serving: HashMap<String, (ProxyInfo, Time)>,
    /// Cached statuses of the proxies that can serve, with the time of their computation.
    cached: Option<(Time, Vec<ProxyStatus>)>,
    /// Number of look-ups, by which the answers are rotated, so that all proxies are returned and listed
    /// first about equally often.
    lookups: usize,
}

impl Directory {
    /// Records a heartbeat of a connected proxy. Returns `true` if its incarnation or readiness has changed,
    /// so that other controllers should be informed at once.
    pub fn on_heartbeat(&mut self, now: Time, proxy: &ProxyInfo, readiness: Readiness) -> bool {
        self.record_readiness(now, proxy, readiness);
        let status = ProxyStatus { proxy: proxy.clone(), readiness };
        let old = self.local.insert(proxy.node.clone(), LocalProxy { status, last_message_at: now });
        let before = old.map(|old| (old.status.proxy.incarnation, old.status.readiness));
        let is_changed = before != Some((proxy.incarnation, readiness));
        if is_changed {
            self.cached = None;
        }
        is_changed
    }

    /// Removes a proxy whose connection was closed, unless a later incarnation is connected.
    pub fn on_disconnected(&mut self, node: &str, incarnation: u64) {
        if self.local.get(node).is_some_and(|local| local.status.proxy.incarnation == incarnation) {
            self.local.remove(node);
            self.cached = None;
        }
    }

    /// Records a message from another controller, which keeps its reports valid. A closed connection does
    /// not invalidate them, since the controller may have opened another one before.
    pub fn on_controller_contact(&mut self, now: Time, controller: SocketAddr) {
        if let Some(view) = self.remote.get_mut(&controller) {
            view.last_message_at = now;
        }
    }

    /// Applies a report of another controller on its connected proxies. A snapshot replaces its earlier
    /// reports. `is_complete` states that all proxies have had the time to connect to it.
    pub fn apply_remote(
        &mut self,
        now: Time,
        controller: SocketAddr,
        statuses: Vec<ProxyStatus>,
        is_snapshot: bool,
        is_complete: bool,
    ) {
        statuses.iter().for_each(|s| self.record_readiness(now, &s.proxy, s.readiness));
        self.cached = None;
        let view = self.remote.entry(controller).or_default();
        (view.last_message_at, view.is_complete) = (now, is_complete);
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

    fn record_readiness(&mut self, now: Time, proxy: &ProxyInfo, readiness: Readiness) {
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
        let is_active = move |local: &&LocalProxy| now - local.last_message_at < STATUS_TIMEOUT;
        self.local.values().filter(is_active).map(|local| &local.status)
    }

    /// Returns the statuses of all proxies that are connected to this controller.
    pub fn snapshot(&self, now: Time) -> Vec<ProxyStatus> {
        self.local_statuses(now).cloned().collect()
    }

    /// Returns the statuses of local proxies that have changed since the last call. Removes expired entries.
    pub fn take_changes(&mut self, now: Time) -> Vec<ProxyStatus> {
        self.shutting_down.retain(|_, (_, at)| now - *at < RETENTION);
        self.remote.retain(|_, view| now - view.last_message_at < RETENTION);
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

    /// Returns `true` if an active controller has reported all proxies, so that this one need not wait for
    /// its own.
    pub fn has_complete_view(&self, now: Time) -> bool {
        self.remote.values().any(|view| view.is_complete && now - view.last_message_at < STATUS_TIMEOUT)
    }

    /// Returns `true` if this incarnation has reported that it is shutting down.
    fn is_shutting_down(&self, proxy: &ProxyInfo) -> bool {
        self.shutting_down.get(&proxy.node).is_some_and(|(incarnation, _)| *incarnation == proxy.incarnation)
    }

    /// Returns the best status of each proxy that any controller reports as able to serve. Excludes
    /// incarnations that are shutting down.
    fn able_to_serve(&self, now: Time) -> Vec<&ProxyStatus> {
        let views = self.remote.values().filter(|view| now - view.last_message_at < STATUS_TIMEOUT);
        let statuses = self.local_statuses(now).chain(views.flat_map(|view| view.statuses.values()));
        let mut best: HashMap<&str, &ProxyStatus> = HashMap::new();
        for status in statuses.filter(|s| !self.is_shutting_down(&s.proxy)) {
            let other = best.get(status.proxy.node.as_str());
            if serving_rank(status) > other.map_or(0, |other| serving_rank(other)) {
                best.insert(&status.proxy.node, status);
            }
        }
        best.into_values().collect()
    }

    /// Returns the proxies that clients may connect to, in any region.
    pub fn serving(&self, now: Time) -> Vec<&ProxyInfo> {
        prefer_ready(&self.able_to_serve(now))
    }

    /// Returns the addresses for a client: proxies of its region if there are any, otherwise of all regions that
    /// its requests may be sent to. Of these, ready proxies come first, then those that serve with an unconfirmed
    /// configuration. If there is none, a controller with quorum contact returns those that served last, as they
    /// may only be partitioned from the controllers. A controller without quorum contact returns none, since
    /// others may know more.
    ///
    /// A proxy that is in no region of the client or of its host's homes is never returned: without an answer,
    /// the client keeps the addresses that it has.
    pub fn lookup(&mut self, now: Time, lookup: &Lookup) -> Vec<SocketAddr> {
        if self.cached.as_ref().is_none_or(|(at, _)| now - *at >= CACHE_TTL) {
            self.cached = Some((now, self.able_to_serve(now).into_iter().cloned().collect()));
        }
        let able_to_serve = self.cached.as_ref().map_or(&[][..], |(_, statuses)| statuses);
        let allowed: Vec<&ProxyStatus> =
            able_to_serve.iter().filter(|status| lookup.allows(&status.proxy.region)).collect();
        let mut candidates = prefer_ready(&allowed);
        if candidates.is_empty() && lookup.has_quorum_contact {
            candidates = self.recently_serving(now, lookup);
        }
        let mut nearby: Vec<&ProxyInfo> =
            candidates.iter().copied().filter(|p| p.region == lookup.region).collect();
        if nearby.is_empty() {
            nearby = candidates;
        }
        let mut addresses: Vec<SocketAddr> = nearby.iter().map(|proxy| proxy.client_address).collect();
        if !addresses.is_empty() {
            self.lookups = self.lookups.wrapping_add(1);
            let first = self.lookups % addresses.len();
            addresses.rotate_left(first);
        }
        addresses.truncate(MAX_ADDRESSES);
        addresses
    }

    fn recently_serving(&self, now: Time, lookup: &Lookup) -> Vec<&ProxyInfo> {
        let recent = self.last_serving.values().filter(|(_, at)| now - *at < RETENTION);
        let allowed = recent.map(|(proxy, _)| proxy).filter(|proxy| lookup.allows(&proxy.region));
        allowed.filter(|proxy| !self.is_shutting_down(proxy)).collect()
    }
}

/// Returns the proxies that are ready or, if there are none, those that serve with an unconfirmed configuration.
fn prefer_ready<'a>(statuses: &[&'a ProxyStatus]) -> Vec<&'a ProxyInfo> {
    let with = |readiness| statuses.iter().filter(move |s| s.readiness == readiness).map(|s| &s.proxy);
    let ready: Vec<&ProxyInfo> = with(Readiness::Ready).collect();
    if ready.is_empty() { with(Readiness::Stale).collect() } else { ready }
}

/// Rank of a status; the highest counts if controllers report different ones. 0 if the proxy is not serving.
fn serving_rank(status: &ProxyStatus) -> u8 {
    match status.readiness {
        Readiness::Ready => 2,
        Readiness::Stale => 1,
        Readiness::Starting | Readiness::ShuttingDown | Readiness::Disconnected => 0,
    }
}
