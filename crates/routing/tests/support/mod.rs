//! Configurations and workers for the tests and benchmarks of the balancer.

use lynxstair::types::Time;
use lynxstair_config::configuration::Configuration;
use lynxstair_config::json;
use lynxstair_config::table::ConfigTable;
use lynxstair_control_state::instance_registry::{InstanceRegistry, RegisteredInstance};
use lynxstair_protocol::messages::{Instance, InstanceState};

/// Parses a valid configuration.
pub fn parse_configuration(text: &str) -> Configuration {
    let value = json::parse(text.as_bytes()).expect("JSON");
    Configuration::from_table(&ConfigTable::from_json(&value).expect("a table")).expect("valid")
}

/// Returns a ready worker as the registry holds it.
pub fn ready_worker(now: Time, id: &str, service: &str, zone: &str, capacity: u32) -> RegisteredInstance {
    let mut registry = InstanceRegistry::default();
    let instance = Instance {
        id: id.to_string(),
        service: service.to_string(),
        address: "127.0.0.1:9000".parse().expect("an address"),
        zone: zone.to_string(),
        capacity,
        state: InstanceState::Ready,
        warming_up_ms: 0,
        call_seq: 1,
        heartbeat_age_ms: 0,
        is_unconfirmed: false,
    };
    assert!(registry.update(now, &instance));
    registry.instances().get(id).expect("known").clone()
}
