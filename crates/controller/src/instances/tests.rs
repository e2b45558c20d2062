//! Restored instances and their next write.

use super::*;

const START: Time = Time::from_nanos(10_000_000_000);
const HEARTBEAT_PERIOD: Span = Span::from_millis(1_500);

fn instance(state: InstanceState) -> Instance {
    Instance {
        id: "i-1".into(),
        service: "s".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: "z".into(),
        capacity: 3,
        state,
        warming_up_ms: 0,
        call_seq: 4,
        heartbeat_age_ms: 0,
        is_unconfirmed: false,
    }
}

/// Returns the state of the instance as it is written after a restart, or `None` if nothing is written.
fn written_state(departed: &[Instance]) -> Option<InstanceState> {
    let stored = [instance(InstanceState::Ready)];
    let mut instances = Instances::new(START, departed, &stored, HEARTBEAT_PERIOD);
    let encoded = instances.poll_store(START + STORE_INTERVAL)?;
    let written: Vec<Instance> = ciborium::from_reader(&encoded[..]).expect("decodes");
    written.first().map(|instance| instance.state)
}

/// Guards against a departed instance that is restored as ready by a second restart, after its departure was
/// deleted: the instances stored before the departure must be replaced.
#[test]
fn restored_departures_are_written_with_the_instances() {
    let departed = [instance(InstanceState::Deregistered)];
    assert_eq!(written_state(&departed), Some(InstanceState::Deregistered));
    assert_eq!(written_state(&[]), None, "nothing has changed");
}
