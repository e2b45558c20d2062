//! Subscriptions of proxies to this controller: configuration updates, instances, heartbeat
//! acknowledgements and quota shares.

use std::collections::HashMap;
use std::sync::Arc;

use log::info;
use lynxstair::types::Time;
use lynxstair_config::bounds::Bounds;
use lynxstair_config::configuration::Tenant;
use lynxstair_consensus::NodeAddress;
use lynxstair_control_state::quota_allocator::{LeaderState, QuotaAllocator, TenantBlock};
use lynxstair_control_state::quota_limits::QuotaTolerance;
use lynxstair_control_state::subscription::Subscription;
use lynxstair_control_state::token_ledger::ProxyProcess;
use lynxstair_net::connection::Connection;
use lynxstair_protocol::messages::{
    Bytes, Instance, ProxyHeartbeat, ProxyInfo, QuotaGrants, QuotaShare, ToProxy,
};
use lynxstair_transport as transport;

use crate::committed_config::CommittedConfig;
use crate::peer_connections::{MAX_UNSENT_BYTES, send};

/// Number of a subscription. Each connection gets a new one.
pub type SubscriberId = u64;

/// A subscribed proxy.
struct Subscriber {
    connection: Arc<Connection>,
    proxy: ProxyInfo,
    /// Number of proxies in each zone that was last sent to it.
    proxy_counts: Vec<(String, u32)>,
    subscription: Subscription,
}

/// State of the controller that determines the response to a heartbeat.
pub struct HeartbeatContext<'a> {
    /// Committed configuration.
    pub committed: &'a CommittedConfig,
    /// `true` if this controller is the established leader and has quorum contact. It grants quota tokens and
    /// sends proxy counts only then, because otherwise another controller may lead already.
    pub is_active_leader: bool,
    /// Consensus term.
    pub term: u64,
    /// Latest time at which its committed configuration was confirmed to be the newest one.
    pub confirmed_at: Option<Time>,
    /// `true` if this controller has run long enough for all proxies to connect, so that it may send their
    /// counts.
    pub knows_all_proxies: bool,
    /// `true` if this controller leads and all ready instances are confirmed.
    pub knows_instances: bool,
}

/// All subscriptions to this controller.
pub struct Subscribers {
    subscribers: HashMap<SubscriberId, Subscriber>,
    last_id: SubscriberId,
    quotas: QuotaAllocator,
    /// `true` if the quota tokens of earlier leaders were known at the last heartbeat.
    knows_earlier_tokens: bool,
    announced: AnnouncedControllers,
}

/// Controllers that were last announced to the subscribers.
#[derive(Default)]
struct AnnouncedControllers {
    /// Last complete list; empty if the last list was incomplete.
    complete: Vec<NodeAddress>,
    /// Length of the last announced list.
    count: usize,
}

impl AnnouncedControllers {
    /// Records the list as announced and returns `true` if it must be sent to the subscribers. A complete
    /// list must be sent if it has changed, an incomplete one if it is longer than the last.
    fn advance(&mut self, controllers: &[NodeAddress], is_complete: bool) -> bool {
        if !is_complete {
            self.complete.clear();
        }
        let is_changed =
            if is_complete { self.complete != controllers } else { controllers.len() > self.count };
        if is_changed {
            self.count = controllers.len();
            if is_complete {
                self.complete = controllers.to_vec();
            }
        }
        is_changed
    }
}

impl Subscribers {
    /// Creates an empty set of subscriptions.
    pub fn new(bounds: &Bounds) -> Subscribers {
        let tolerance = QuotaTolerance {
            window: bounds.quota_window,
            slack: bounds.quota_slack,
            overshoot: bounds.quota_overshoot,
        };
        Subscribers {
            subscribers: HashMap::new(),
            last_id: 0,
            quotas: QuotaAllocator::new(tolerance),
            knows_earlier_tokens: false,
            announced: AnnouncedControllers::default(),
        }
    }

    /// Sends a message to all subscribers.
    pub fn broadcast(&self, message: &ToProxy) {
        if self.subscribers.is_empty() {
            return;
        }
        let frame = transport::encode(message);
        self.subscribers.values().for_each(|s| transport::write(&s.connection, &frame, MAX_UNSENT_BYTES));
    }

    /// Sends changed instances to all subscribers.
    pub fn broadcast_instances(&self, instances: Vec<Instance>) {
        self.broadcast(&ToProxy::Instances { instances, is_snapshot: false });
    }

    /// Sends the list of controllers to all subscribers if it has changed.
    pub fn announce_controllers(&mut self, controllers: Vec<NodeAddress>, is_complete: bool) {
        if self.announced.advance(&controllers, is_complete) {
            self.broadcast(&ToProxy::Controllers { controllers, is_complete });
        }
    }

    /// Adds a subscription. Replaces an earlier one of the same proxy.
    pub fn subscribe(&mut self, connection: &Arc<Connection>, proxy: ProxyInfo) -> SubscriberId {
        self.subscribers.retain(|_, subscriber| subscriber.proxy.node != proxy.node);
        self.last_id += 1;
        let subscriber = Subscriber {
            connection: connection.clone(),
            proxy,
            proxy_counts: Vec::new(),
            subscription: Subscription::default(),
        };
        self.subscribers.insert(self.last_id, subscriber);
        self.last_id
    }

    /// Removes a subscription. Returns its proxy, or `None` if a newer subscription of the proxy has
    /// replaced it.
    pub fn unsubscribe(&mut self, id: SubscriberId) -> Option<ProxyInfo> {
        self.subscribers.remove(&id).map(|subscriber| subscriber.proxy)
    }

    /// Returns the proxy of a subscription, or `None` if the subscription has ended.
    pub fn proxy(&self, id: SubscriberId) -> Option<&ProxyInfo> {
        self.subscribers.get(&id).map(|subscriber| &subscriber.proxy)
    }

    /// Sends a newly committed configuration to every subscriber that has no update in flight. Called on
    /// the leader.
    pub fn publish_config(&mut self, now: Time, committed: &CommittedConfig) {
        let store = &committed.store;
        if let Some(configuration) = store.configuration() {
            self.quotas.retain_tenants(now, &configuration.tenants);
        }
        // Encoded updates by the revision that they start from.
        let mut frames: HashMap<u64, Vec<u8>> = HashMap::new();
        for subscriber in self.subscribers.values_mut() {
            let subscription = &mut subscriber.subscription;
            let due = subscription.due_update(now, store.revision, true, store.encoded_len());
            let Some(from) = due else { continue };
            let frame = frames.entry(from).or_insert_with(|| {
                let update = Bytes(Arc::new(committed.deltas.encode_update(store, from)));
                transport::encode(&ToProxy::Config { revision: store.revision, update })
            });
            subscription.on_update_sent(now, frame.len());
            transport::write(&subscriber.connection, frame, MAX_UNSENT_BYTES);
        }
    }

    /// Responds to a heartbeat: sends the configuration update that is due and the acknowledgement, on the
    /// leader with quota tokens, and proxy counts.
    pub fn on_heartbeat(
        &mut self,
        now: Time,
        id: SubscriberId,
        heartbeat: &ProxyHeartbeat,
        context: &HeartbeatContext,
    ) {
        let Some(subscriber) = self.subscribers.get_mut(&id) else { return };
        subscriber.send_due_update(now, heartbeat.revision, context);
        let proxy = &subscriber.proxy;
        self.quotas.on_proxy_seen(now, &proxy.node, &proxy.zone);
        // A follower parses the configuration too, so that it is not blocked by that when it becomes
        // leader.
        let configuration = context.committed.store.configuration();
        let configuration = configuration.filter(|_| context.is_active_leader);
        let (quota, blocked) = match configuration {
            Some(configuration) => self.update_quotas(now, id, heartbeat, &configuration.tenants, context),
            None => (None, Vec::new()),
        };
        let Some(subscriber) = self.subscribers.get_mut(&id) else { return };
        let confirmed_ms_ago = context.confirmed_at.map(|at| (now - at).nanos().div_ceil(1_000_000));
        let acknowledgement = ToProxy::HeartbeatAck {
            clock: heartbeat.clock,
            revision: context.committed.store.revision,
            confirmed_ms_ago,
            is_leader: context.is_active_leader,
            knows_instances: context.knows_instances,
            quota,
        };
        send(&subscriber.connection, &acknowledgement);
        // Shortly after the start, not all proxies are connected. With counts that are too low, each proxy
        // would take too large a share.
        if context.is_active_leader && context.knows_all_proxies {
            subscriber.send_changed_counts(self.quotas.proxy_counts());
        }
        self.broadcast_blocks(&blocked);
    }

    /// Has all proxies block these tenants.
    fn broadcast_blocks(&self, blocked: &[TenantBlock]) {
        let Some(first) = blocked.first() else { return };
        info!(
            tenants = blocked.len(), tenant = first.tenant, used = first.used, limit = first.limit;
            "quota reached, tenants blocked"
        );
        let shares = blocked.iter().map(QuotaShare::from).collect();
        self.broadcast(&ToProxy::QuotaShares { number: 0, shares });
    }

    /// Records the quota report of a proxy to this leader. Returns the tokens that it gets, and the tenants
    /// that all proxies are to block.
    fn update_quotas(
        &mut self,
        now: Time,
        id: SubscriberId,
        heartbeat: &ProxyHeartbeat,
        tenants: &[Tenant],
        context: &HeartbeatContext,
    ) -> (Option<QuotaGrants>, Vec<TenantBlock>) {
        let leader =
            LeaderState { term: context.term, membership: &context.committed.store.membership, tenants };
        let knows_earlier_tokens = self.quotas.lead(now, leader);
        if knows_earlier_tokens != self.knows_earlier_tokens {
            self.knows_earlier_tokens = knows_earlier_tokens;
            info!(term = context.term, is_known = knows_earlier_tokens; "quota tokens of earlier leaders");
        }
        let without_account = QuotaGrants { term: context.term, ..QuotaGrants::default() };
        let Some(subscriber) = self.subscribers.get(&id) else { return (None, Vec::new()) };
        let Some(report) = &heartbeat.quota else {
            let blocked = self.quotas.on_usage_without_tokens(now, &heartbeat.usage, leader);
            return (Some(without_account), blocked);
        };
        let proxy = ProxyProcess { node: &subscriber.proxy.node, incarnation: subscriber.proxy.incarnation };
        match self.quotas.on_report(now, proxy, report, leader) {
            Some(decision) => (Some(decision.grants), decision.blocked),
            None => (Some(without_account), Vec::new()),
        }
    }
}

impl Subscriber {
    /// Sends the number of proxies in each zone if it has changed.
    fn send_changed_counts(&mut self, counts: Vec<(String, u32)>) {
        if counts != self.proxy_counts {
            send(&self.connection, &ToProxy::ProxyCounts(counts.clone()));
            self.proxy_counts = counts;
        }
    }

    fn send_due_update(&mut self, now: Time, held_revision: u64, context: &HeartbeatContext) {
        let store = &context.committed.store;
        self.subscription.on_heartbeat(now, held_revision);
        let is_leader = context.is_active_leader;
        let due = self.subscription.due_update(now, store.revision, is_leader, store.encoded_len());
        if let Some(from) = due {
            let update = context.committed.deltas.encode_update(store, from);
            self.subscription.on_update_sent(now, update.len());
            let update = Bytes(Arc::new(update));
            send(&self.connection, &ToProxy::Config { revision: store.revision, update });
        }
    }
}
