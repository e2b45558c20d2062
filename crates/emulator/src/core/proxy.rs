//! The part of a proxy that depends on the controllers: its configuration replica, configuration lease
//! and worker instance registry.

use std::collections::BTreeSet;

use lynxstair::types::{Span, Time};
use lynxstair_control_state::config_replica::ConfigReplica;
use lynxstair_control_state::instance_registry::InstanceRegistry;
use lynxstair_protocol::messages::{InstanceState, ToProxy};
use lynxstair_routing::config_lease::ConfigLease;

use super::linearizability::Version;

/// Maximum age of the confirmation of a fresh configuration, as in `crates/proxy`.
const READY_CONFIRMATION_AGE: Span = Span::from_millis(3_000);

#[derive(Default)]
pub(crate) struct Proxy {
    replica: ConfigReplica,
    lease: ConfigLease,
    pub registry: InstanceRegistry,
    pub has_instances: bool,
}

impl Proxy {
    /// Handles a message of a controller. Returns `true` if a heartbeat is to be sent to it at once.
    pub fn handle_message(&mut self, now: Time, message: ToProxy) -> bool {
        match message {
            ToProxy::Config { revision, update } => {
                self.replica.apply_update(now, revision, &update.0);
                // Reports the held revision, whether the update could be applied or not.
                return true;
            }
            ToProxy::Instances { instances, is_snapshot } => {
                self.has_instances |= is_snapshot;
                instances.iter().for_each(|instance| {
                    self.registry.update(now, instance);
                });
            }
            ToProxy::HeartbeatAck { clock, revision, confirmed_ms_ago: Some(confirmed_ms_ago), .. } => {
                let sent_at = Time::from_nanos(clock);
                self.lease.renew(
                    sent_at,
                    revision,
                    Span::from_millis(confirmed_ms_ago),
                    self.replica.revision(),
                );
            }
            _ => {}
        }
        false
    }

    /// Returns the revision on which controllers may base a delta.
    pub fn delta_base(&self) -> u64 {
        self.replica.delta_base()
    }

    /// Returns the active version, as visible to clients, and the evacuated zones.
    pub fn active_config(&self) -> Option<(Version, BTreeSet<String>)> {
        let version = self.replica.version()?;
        // The rate of the only tenant is the mark of the change.
        let mark = version.configuration.tenants.first()?.rate as u32;
        Some(((version.configuration.generation, mark), version.evacuated.clone()))
    }

    pub fn serves_tenants(&self, now: Time, revocation_time: Span) -> bool {
        self.lease.is_valid(now, Some(revocation_time))
    }

    pub fn is_fresh(&self, now: Time) -> bool {
        self.lease.is_fresh(now, READY_CONFIRMATION_AGE)
    }

    /// Returns `true` if requests are routed to this worker instance.
    pub fn routes_to(&self, id: &str) -> bool {
        self.registry.instances().get(id).is_some_and(|instance| instance.state == InstanceState::Ready)
    }
}
