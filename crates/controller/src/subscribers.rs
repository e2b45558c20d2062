//! The proxies that subscribe to this controller: what they are sent, and the quotas that are split over them.

use std::collections::HashMap;
use std::sync::Arc;

use log::info;
use lynxstair::types::Time;
use lynxstair_config::bounds::Bounds;
use lynxstair_config::configuration::Tenant;
use lynxstair_consensus::NodeAddress;
use lynxstair_control_state::quota_allocator::{QuotaAllocator, QuotaTolerance, UsageReport};
use lynxstair_control_state::subscription::Subscription;
use lynxstair_net::connection::Connection;
use lynxstair_protocol::messages::{Bytes, Instance, ProxyHeartbeat, ProxyInfo, ToProxy};
use lynxstair_transport as transport;

use crate::committed_config::CommittedConfig;
use crate::peer_connections::{MAX_UNSENT_BYTES, send};

/// The number of a subscription; another one for each connection.
pub type SubscriberId = u64;

/// A proxy that subscribes.
struct Subscriber {
    connection: Arc<Connection>,
    proxy: ProxyInfo,
    /// How many proxies there are in each zone, as it was last told.
    proxy_counts: Vec<(String, u32)>,
    subscription: Subscription,
}

/// What of the controller a heartbeat is answered by.
pub struct HeartbeatContext<'a> {
    /// The committed configuration.
    pub committed: &'a CommittedConfig,
    /// This controller leads, in contact with the quorum. What the leader alone says (quota shares, proxy counts) it says
    /// only then: else another may lead by now.
    pub is_active_leader: bool,
    /// It leads, as far as it knows. Out of contact for a moment, it forgets nothing that it was told.
    pub is_established_leader: bool,
    /// When it was last certain that no newer configuration was committed.
    pub confirmed_at: Option<Time>,
    /// It has been up for long enough that every proxy has found it, so that it may say how many there are.
    pub knows_all_proxies: bool,
    /// It leads, and every instance that counts as ready is confirmed.
    pub knows_instances: bool,
}

/// All subscriptions.
pub struct Subscribers {
    subscribers: HashMap<SubscriberId, Subscriber>,
    last_id: SubscriberId,
    quotas: QuotaAllocator,
    announced: AnnouncedControllers,
}

/// Which controllers the subscribers were told of.
#[derive(Default)]
struct AnnouncedControllers {
    /// The last complete list, as long as this controller leads.
    complete: Vec<NodeAddress>,
    count: usize,
}

impl AnnouncedControllers {
    /// Whether the subscribers need to be told this list; if so, it counts as announced.
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
    /// No subscriptions yet.
    pub fn new(bounds: &Bounds) -> Subscribers {
        let grant = QuotaTolerance {
            window: bounds.quota_window,
            slack: bounds.quota_slack,
            overshoot: bounds.quota_overshoot,
        };
        Subscribers {
            subscribers: HashMap::new(),
            last_id: 0,
            quotas: QuotaAllocator::new(grant),
            announced: AnnouncedControllers::default(),
        }
    }

    /// Sends to every subscriber.
    pub fn broadcast(&self, message: &ToProxy) {
        if self.subscribers.is_empty() {
            return;
        }
        let frame = transport::encode(message);
        self.subscribers.values().for_each(|s| transport::write(&s.connection, &frame, MAX_UNSENT_BYTES));
    }

    /// Sends instances that changed to every subscriber.
    pub fn broadcast_instances(&self, instances: Vec<Instance>) {
        self.broadcast(&ToProxy::Instances { instances, is_snapshot: false });
    }

    /// Tells every subscriber which controllers there are, if that has changed.
    pub fn announce_controllers(&mut self, controllers: Vec<NodeAddress>, is_complete: bool) {
        if self.announced.advance(&controllers, is_complete) {
            self.broadcast(&ToProxy::Controllers { controllers, is_complete });
        }
    }

    /// A proxy subscribes; an earlier subscription of it ends.
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

    /// A subscription has ended; its proxy, unless that has subscribed again.
    pub fn unsubscribe(&mut self, id: SubscriberId) -> Option<ProxyInfo> {
        self.subscribers.remove(&id).map(|subscriber| subscriber.proxy)
    }

    /// The proxy of a subscription that stands.
    pub fn proxy(&self, id: SubscriberId) -> Option<&ProxyInfo> {
        self.subscribers.get(&id).map(|subscriber| &subscriber.proxy)
    }

    /// A configuration was committed here, on the leader: it goes to every subscriber that has none in flight.
    pub fn publish_config(&mut self, now: Time, committed: &CommittedConfig) {
        let store = &committed.store;
        if let Some(configuration) = store.configuration() {
            self.quotas.retain_tenants(&configuration.tenants);
        }
        // Subscribers that hold the same revision get the same bytes.
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

    /// A subscriber has sent a heartbeat: it gets what it lacks, and the acknowledgement.
    pub fn on_heartbeat(
        &mut self,
        now: Time,
        id: SubscriberId,
        heartbeat: &ProxyHeartbeat,
        context: &HeartbeatContext,
    ) {
        let Some(subscriber) = self.subscribers.get_mut(&id) else { return };
        subscriber.send_due_update(now, heartbeat.revision, context);
        let confirmed_ms_ago = context.confirmed_at.map(|at| (now - at).nanos().div_ceil(1_000_000));
        let acknowledgement = ToProxy::HeartbeatAck {
            clock: heartbeat.clock,
            revision: context.committed.store.revision,
            confirmed_ms_ago,
            is_leader: context.is_active_leader,
            knows_instances: context.knows_instances,
        };
        send(&subscriber.connection, &acknowledgement);
        let proxy = &subscriber.proxy;
        self.quotas.on_proxy_seen(now, &proxy.node, &proxy.zone, context.is_established_leader);
        // Read also by a follower: it should not stand still for it when it becomes leader.
        let configuration = context.committed.store.configuration();
        if let Some(configuration) = configuration.filter(|_| context.is_active_leader) {
            self.update_quotas(now, id, heartbeat, &configuration.tenants, context.knows_all_proxies);
        }
    }

    /// Takes over a proxy's usage, and sends it what the leader has to say.
    fn update_quotas(
        &mut self,
        now: Time,
        id: SubscriberId,
        heartbeat: &ProxyHeartbeat,
        tenants: &[Tenant],
        knows_all_proxies: bool,
    ) {
        let Some(subscriber) = self.subscribers.get_mut(&id) else { return };
        let (quotas, proxy) = (&mut self.quotas, &subscriber.proxy);
        if let Some(held) = &heartbeat.held_shares {
            quotas.set_held_shares(&proxy.node, held);
        }
        let report =
            UsageReport { usage: &heartbeat.usage, received_shares: heartbeat.received_shares_number };
        let blocked = quotas.report_usage(now, &proxy.node, &proxy.zone, &report, tenants);
        // A leader that has just begun has not been found by all proxies, and each would take too large a part.
        let counts = quotas.proxy_counts();
        if counts != subscriber.proxy_counts && knows_all_proxies {
            send(&subscriber.connection, &ToProxy::ProxyCounts(counts.clone()));
            subscriber.proxy_counts = counts;
        }
        if let Some((number, shares)) = quotas.allocate(now, &proxy.node, tenants) {
            send(&subscriber.connection, &ToProxy::QuotaShares { number, shares });
        }
        if !blocked.is_empty() {
            info!(tenants = blocked.len(); "quota reached, tenants blocked");
            self.broadcast(&ToProxy::QuotaShares { number: 0, shares: blocked });
        }
    }
}

impl Subscriber {
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
