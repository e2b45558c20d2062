//! The state of a controller: its parts, each with a module of its own, under one short lock, as an event often concerns
//! several of them.

use lynxstair::types::{Span, Time};
use lynxstair_consensus::{Consensus, NodeAddress};
use lynxstair_control_state::directory::Directory;
use lynxstair_control_state::failure_detector::{HeartbeatOutcome, QuorumRole};
use lynxstair_control_state::membership_planner::MembershipPlanner;
use lynxstair_protocol::messages::{Instance, ProxyHeartbeat, Readiness, ToController, ToProxy};

use crate::committed_config::CommittedConfig;
use crate::consensus_status::LoggedStatus;
use crate::instances::Instances;
use crate::peer_connections::PeerConnections;
use crate::pending_requests::PendingRequests;
use crate::subscribers::{HeartbeatContext, SubscriberId, Subscribers};
use crate::timer::Timer;

/// How long after its start a controller waits for proxies to connect before it answers look-ups, unless another
/// controller has told it of all of them.
const DIRECTORY_SETTLE_TIME: Span = Span::from_millis(700);
/// By this time after its start all proxies have connected to a controller.
const PROXY_SETTLE_TIME: Span = Span::from_millis(2_000);

/// All that a controller knows.
pub struct ControllerState {
    /// This controller.
    pub me: NodeAddress,
    /// When it started.
    pub started_at: Time,
    /// Its part in the consensus.
    pub consensus: Consensus,
    /// The configuration as committed.
    pub committed: CommittedConfig,
    /// Calls that wait for the quorum.
    pub pending: PendingRequests,
    /// Worker instances.
    pub instances: Instances,
    /// Proxies that subscribe here.
    pub subscribers: Subscribers,
    /// The other controllers.
    pub peers: PeerConnections,
    /// When this controller, as the leader, changes the proxy membership.
    pub membership: MembershipPlanner,
    /// Where clients may connect.
    pub directory: Directory,
    /// The consensus status as logged last.
    pub logged: LoggedStatus,
    /// When the timer coroutine wakes.
    pub timer: Timer,
}

impl ControllerState {
    /// The voters, and whoever else takes part in the consensus.
    pub fn members(&self) -> Vec<NodeAddress> {
        let outgoing = self.consensus.outgoing_voter();
        let learners = self.consensus.learners();
        self.consensus.voters().iter().chain(&outgoing).chain(&learners).map(|m| m.node).collect()
    }

    /// How this controller stands to the quorum.
    fn quorum_role(&self, now: Time) -> QuorumRole {
        QuorumRole::new(self.consensus.has_quorum_contact(now), self.consensus.is_established_leader())
    }

    /// Whether what only the leader may say may be said here now.
    pub fn is_active_leader(&self, now: Time) -> bool {
        self.quorum_role(now) == QuorumRole::Leader
    }

    /// Logs what has changed in the consensus.
    pub fn log_status(&mut self, now: Time) {
        self.logged.update(now, &self.consensus, self.me);
    }

    // ---- controllers ----

    /// Another controller has sent something, or opened a connection.
    pub fn on_peer_heard(&mut self, now: Time, peer: NodeAddress) {
        self.peers.peer_set.record_contact(now, peer);
        self.directory.on_controller_contact(now, peer);
        self.consensus.on_peer_seen(now, peer);
    }

    /// The controllers that are known here, and whether these are all, as the leader says.
    fn known_controllers(&self, now: Time) -> (Vec<NodeAddress>, bool) {
        let controllers = self.peers.peer_set.addresses().chain([self.me]).collect();
        (controllers, self.is_active_leader(now))
    }

    /// The message by which a new subscriber learns of the controllers.
    pub fn controllers_message(&self, now: Time) -> ToProxy {
        let (controllers, is_complete) = self.known_controllers(now);
        ToProxy::Controllers { controllers, is_complete }
    }

    /// Tells the subscribers which controllers there are, if that has changed.
    pub fn announce_controllers(&mut self, now: Time) {
        let (controllers, is_complete) = self.known_controllers(now);
        self.subscribers.announce_controllers(controllers, is_complete);
    }

    // ---- directory ----

    /// Whether the proxies that are connected here are all that there are.
    fn has_settled_directory(&self, now: Time) -> bool {
        now - self.started_at >= DIRECTORY_SETTLE_TIME
    }

    /// Whether look-ups may be answered.
    pub fn may_answer_lookups(&self, now: Time) -> bool {
        self.has_settled_directory(now) || self.directory.has_complete_view(now)
    }

    /// All proxies that are connected here, for a controller that a connection was opened to.
    pub fn proxy_snapshot(&self, now: Time) -> ToController {
        ToController::ProxyStatuses {
            statuses: self.directory.snapshot(now),
            is_snapshot: true,
            is_complete: self.has_settled_directory(now),
        }
    }

    /// Tells the other controllers what changed among the proxies that are connected here.
    pub fn publish_proxy_changes(&mut self, now: Time) {
        let statuses = self.directory.take_changes(now);
        if !statuses.is_empty() {
            let is_complete = self.has_settled_directory(now);
            let message = ToController::ProxyStatuses { statuses, is_snapshot: false, is_complete };
            self.peers.broadcast(&message);
        }
    }

    // ---- subscribers ----

    /// A subscriber has sent a heartbeat, which arrived at `received_at` at the earliest. False where the subscription has
    /// ended.
    pub fn on_subscriber_heartbeat(
        &mut self,
        now: Time,
        received_at: Time,
        id: SubscriberId,
        heartbeat: &ProxyHeartbeat,
    ) -> bool {
        let Some(proxy) = self.subscribers.proxy(id) else { return false };
        let is_changed = self.directory.on_heartbeat(received_at, proxy, heartbeat.readiness);
        self.membership.on_heartbeat(received_at, &proxy.node, &proxy.zone, heartbeat.membership_revision);
        if is_changed && heartbeat.readiness == Readiness::ShuttingDown {
            self.publish_proxy_changes(now);
        }
        self.update_quorum_role(now);
        let context = HeartbeatContext {
            committed: &self.committed,
            is_active_leader: self.is_active_leader(now),
            is_established_leader: self.consensus.is_established_leader(),
            confirmed_at: self.consensus.confirmed_at(),
            knows_all_proxies: now - self.started_at >= PROXY_SETTLE_TIME,
            knows_instances: self.instances.detector.has_complete_view(),
        };
        self.subscribers.on_heartbeat(now, id, heartbeat, &context);
        true
    }

    /// A subscriber's connection has ended.
    pub fn on_subscriber_gone(&mut self, id: SubscriberId) {
        if let Some(proxy) = self.subscribers.unsubscribe(id) {
            self.directory.on_disconnected(&proxy.node, proxy.incarnation);
        }
    }

    // ---- instances ----

    /// Has the failure detector know how this controller stands now.
    pub fn update_quorum_role(&mut self, now: Time) {
        let quorum_role = self.quorum_role(now);
        self.instances.detector.set_quorum_role(now, quorum_role);
    }

    /// What another controller says of instances. That one tells its subscribers; the leader does so too, for those that
    /// can't be reached from there.
    pub fn on_instance_updates(&mut self, now: Time, instances: &[Instance]) {
        let changed = self.instances.detector.apply_updates(now, instances);
        if changed.is_empty() {
            return;
        }
        self.instances.mark_changed();
        if self.consensus.is_established_leader() {
            self.subscribers.broadcast_instances(changed);
        }
    }

    /// A worker has called here: the other controllers are told, and the subscribers if it changes anything for them.
    pub fn publish_heartbeat(&mut self, outcome: HeartbeatOutcome) {
        if outcome.is_changed {
            self.instances.mark_changed();
        }
        let Some(instance) = outcome.instance else { return };
        self.peers.broadcast(&ToController::InstanceUpdates(vec![instance.clone()]));
        if outcome.is_changed {
            self.subscribers.broadcast_instances(vec![instance]);
        }
    }
}
