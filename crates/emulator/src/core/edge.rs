//! An edge, as far as it depends on the core: the state machines by which it decides which configuration is in force, whether
//! it may serve tenants by it, and which workers there are.

use std::collections::BTreeSet;

use lynxstair::types::{Span, Time};
use lynxstair_control_state::config_replica::ConfigReplica;
use lynxstair_control_state::instance_registry::InstanceRegistry;
use lynxstair_protocol::messages::{InstanceState, ToProxy};
use lynxstair_routing::config_lease::ConfigLease;

use super::linearizability::Version;

/// As in `crates/proxy`.
const FRESH: Span = Span::from_millis(3_000);

#[derive(Default)]
pub(crate) struct Edge {
    mirror: ConfigReplica,
    trust: ConfigLease,
    pub register: InstanceRegistry,
    pub has_instances: bool,
}

impl Edge {
    /// Whether the controller is to hear at once what is here now.
    pub fn hear(&mut self, now: Time, word: ToProxy) -> bool {
        match word {
            ToProxy::Config { revision: index, update: state } => {
                self.mirror.apply_update(now, index, &state.0);
                // So that the controller knows what is here, whether it fitted or not.
                return true;
            }
            ToProxy::Instances { instances, is_snapshot: whole } => {
                self.has_instances |= whole;
                instances.iter().for_each(|instance| {
                    self.register.update(now, instance);
                });
            }
            ToProxy::HeartbeatAck { clock, revision: index, confirmed_ms_ago: Some(fresh), .. } => {
                let sent_at = Time::from_nanos(clock);
                self.trust.renew(sent_at, index, Span::from_millis(fresh), self.mirror.revision());
            }
            _ => {}
        }
        false
    }

    /// Which store the controllers may build on.
    pub fn have(&self) -> u64 {
        self.mirror.delta_base()
    }

    /// What a client's request shows to be in force, and which zones get nothing.
    pub fn in_force(&self) -> Option<(Version, BTreeSet<String>)> {
        let version = self.mirror.version()?;
        // What the one tenant may send tells the change that the version came by.
        let mark = version.configuration.tenants.first()?.rate as u32;
        Some(((version.configuration.generation, mark), version.evacuated.clone()))
    }

    pub fn serves_tenants(&self, now: Time, revoke: Span) -> bool {
        self.trust.is_valid(now, Some(revoke))
    }

    pub fn is_fresh(&self, now: Time) -> bool {
        self.trust.is_fresh(now, FRESH)
    }

    /// Whether requests go to this instance of a worker.
    pub fn sends_to(&self, id: &str) -> bool {
        self.register.instances().get(id).is_some_and(|k| k.state == InstanceState::Ready)
    }
}
