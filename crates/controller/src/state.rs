//! The state of a controller, which combines the state of its parts. One lock protects all of it, because
//! most events concern several parts.

use lynxstair::types::{Span, Time};
use lynxstair_consensus::{Consensus, NodeAddress};
use lynxstair_control_state::departure_log::DepartureLog;
use lynxstair_control_state::directory::Directory;
use lynxstair_control_state::failure_detector::{HeartbeatOutcome, QuorumRole};
use lynxstair_control_state::membership_planner::MembershipPlanner;
use lynxstair_protocol::messages::{Instance, ProxyHeartbeat, Readiness, ToController, ToProxy};

use crate::committed_config::CommittedConfig;
use crate::consensus_status::LoggedStatus;
use crate::departures::DepartureWaiters;
use crate::instances::Instances;
use crate::peer_connections::PeerConnections;
use crate::pending_requests::PendingRequests;
use crate::subscribers::{HeartbeatContext, SubscriberId, Subscribers};
use crate::timer::Timer;

/// Time after the start within which proxies connect to this controller. Look-ups are not answered during
/// this time, unless another controller has reported all proxies.
const DIRECTORY_SETTLE_TIME: Span = Span::from_millis(700);
/// Time after the start of a controller after which all proxies count as connected to it. Proxy counts are
/// sent only then.
const PROXY_SETTLE_TIME: Span = Span::from_millis(2_000);

/// State of a controller.
pub struct ControllerState {
    /// Control address of this controller.
    pub me: NodeAddress,
    /// Start time of the process.
    pub started_at: Time,
    /// Consensus state machine.
    pub consensus: Consensus,
    /// Committed configuration.
    pub committed: CommittedConfig,
    /// HTTP requests that wait for the quorum.
    pub pending: PendingRequests,
    /// Worker instances and their failure detector.
    pub instances: Instances,
    /// Departures of instances, and the controllers that store them.
    pub departures: DepartureLog,
    /// Consensus term in which this controller announced all departures as the leader; 0 for none.
    pub departures_announced_in: u64,
    /// HTTP requests that wait until a departure is durable.
    pub departure_waiters: DepartureWaiters,
    /// Proxies that are subscribed to this controller.
    pub subscribers: Subscribers,
    /// Connections to the other controllers.
    pub peers: PeerConnections,
    /// Plans changes of the proxy membership while this controller leads.
    pub membership: MembershipPlanner,
    /// Proxies that clients may connect to.
    pub directory: Directory,
    /// Consensus status that was logged last.
    pub logged: LoggedStatus,
    /// Next wake-up of the timer coroutine.
    pub timer: Timer,
}

impl ControllerState {
    /// Returns the voters, the outgoing voter and the learners.
    pub fn members(&self) -> Vec<NodeAddress> {
        let outgoing = self.consensus.outgoing_voter();
        let learners = self.consensus.learners();
        self.consensus.voters().iter().chain(&outgoing).chain(&learners).map(|m| m.node).collect()
    }

    /// Returns the relation of this controller to the quorum.
    fn quorum_role(&self, now: Time) -> QuorumRole {
        QuorumRole::new(self.consensus.has_quorum_contact(now), self.consensus.is_established_leader())
    }

    /// Returns `true` if this controller is the established leader and has quorum contact. Only then may it
    /// send data that the leader alone may send.
    pub fn is_active_leader(&self, now: Time) -> bool {
        self.quorum_role(now) == QuorumRole::Leader
    }

    /// Logs changes of the consensus status.
    pub fn log_status(&mut self, now: Time) {
        self.logged.update(now, &self.consensus, self.me);
    }

    // ---- controllers ----

    /// Handles a heartbeat of another controller.
    pub fn on_peer_heartbeat(&mut self, now: Time, peer: NodeAddress) {
        self.peers.peer_set.record_contact(now, peer);
        self.directory.on_controller_contact(now, peer);
        self.consensus.on_peer_seen(now, peer);
    }

    /// Returns the known controllers, and whether the list is complete, which only the active leader can
    /// claim.
    fn known_controllers(&self, now: Time) -> (Vec<NodeAddress>, bool) {
        let controllers = self.peers.peer_set.addresses().chain([self.me]).collect();
        (controllers, self.is_active_leader(now))
    }

    /// Returns the message that lists the controllers for a new subscriber.
    pub fn controllers_message(&self, now: Time) -> ToProxy {
        let (controllers, is_complete) = self.known_controllers(now);
        ToProxy::Controllers { controllers, is_complete }
    }

    /// Sends the list of controllers to all subscribers if it has changed.
    pub fn announce_controllers(&mut self, now: Time) {
        let (controllers, is_complete) = self.known_controllers(now);
        self.subscribers.announce_controllers(controllers, is_complete);
    }

    // ---- directory ----

    /// Returns `true` if all proxies have had the time to connect to this controller.
    fn has_settled_directory(&self, now: Time) -> bool {
        now - self.started_at >= DIRECTORY_SETTLE_TIME
    }

    /// Returns `true` if look-ups may be answered.
    pub fn may_answer_lookups(&self, now: Time) -> bool {
        self.has_settled_directory(now) || self.directory.has_complete_view(now)
    }

    /// Returns the message that lists all proxies connected to this controller, sent on a new connection to
    /// another controller.
    pub fn proxy_snapshot(&self, now: Time) -> ToController {
        ToController::ProxyStatuses {
            statuses: self.directory.snapshot(now),
            is_snapshot: true,
            is_complete: self.has_settled_directory(now),
        }
    }

    /// Sends changes of the proxies connected to this controller to the other controllers.
    pub fn publish_proxy_changes(&mut self, now: Time) {
        let statuses = self.directory.take_changes(now);
        if !statuses.is_empty() {
            let is_complete = self.has_settled_directory(now);
            let message = ToController::ProxyStatuses { statuses, is_snapshot: false, is_complete };
            self.peers.broadcast(&message);
        }
    }

    // ---- subscribers ----

    /// Handles a heartbeat of a subscriber. `received_at` is the earliest time at which it can have
    /// arrived. Returns `false` if the subscription has ended.
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
            term: self.consensus.term(),
            confirmed_at: self.consensus.confirmed_at(),
            knows_all_proxies: now - self.started_at >= PROXY_SETTLE_TIME,
            knows_instances: self.instances.detector.has_complete_view(),
        };
        self.subscribers.on_heartbeat(now, id, heartbeat, &context);
        true
    }

    /// Handles the end of a subscriber's connection.
    pub fn on_subscriber_disconnected(&mut self, id: SubscriberId) {
        if let Some(proxy) = self.subscribers.unsubscribe(id) {
            self.directory.on_disconnected(&proxy.node, proxy.incarnation);
        }
    }

    // ---- instances ----

    /// Passes the current relation to the quorum to the failure detector.
    pub fn update_quorum_role(&mut self, now: Time) {
        let quorum_role = self.quorum_role(now);
        self.instances.detector.set_quorum_role(now, quorum_role);
    }

    /// Applies instance updates of another controller. The sender forwards them to its own subscribers; the
    /// leader forwards them as well, for proxies that the sender cannot reach.
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

    /// Sends the result of a worker's heartbeat or deregistration to the other controllers and, if the
    /// instance has changed for proxies, to the subscribers.
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
