//! After a silence of the controllers, what they say of workers counts once a snapshot has brought what was missed.

use lynxstair::types::{Span, Time};
use lynxstair_routing::controller_contact::{CONTACT_TIMEOUT, ControllerContact};

fn at(ms: u64) -> Time {
    Time::from_nanos(1_000_000_000) + Span::from_millis(ms)
}

#[test]
fn after_a_silence_a_snapshot_is_needed() {
    let mut contact = ControllerContact::default();
    contact.on_snapshot();
    for ms in (900..5_000).step_by(1_000) {
        assert!(!contact.on_contact(at(ms)), "{ms}: no silence before it");
        assert!(contact.is_current(at(ms)), "{ms}");
    }
    // Silence: not known any more; then heard again, and known only with a snapshot that came after it.
    assert!(contact.is_current(at(4_899) + CONTACT_TIMEOUT));
    assert!(!contact.is_current(at(4_900) + CONTACT_TIMEOUT));
    assert!(contact.on_contact(at(9_000)), "a snapshot is asked for");
    assert!(!contact.is_current(at(9_000)));
    assert!(!contact.on_contact(at(10_000)), "once");
    assert!(!contact.is_current(at(10_000)));
    contact.on_snapshot();
    assert!(contact.is_current(at(10_000)));
    // Another silence, and the snapshot counts no more.
    assert!(contact.on_contact(at(20_000)));
    assert!(!contact.is_current(at(20_000)));
}

#[test]
fn a_process_that_begins_knows_nothing_before_its_first_snapshot_and_contact() {
    let mut contact = ControllerContact::default();
    assert!(!contact.is_current(at(0)));
    assert!(!contact.on_contact(at(300)), "it has asked for one as it began");
    assert!(!contact.is_current(at(300)));
    contact.on_snapshot();
    assert!(contact.is_current(at(400)));
    // What a controller that is out of touch sends is no contact.
    let mut contact = ControllerContact::default();
    contact.on_snapshot();
    assert!(!contact.is_current(at(300)));
}
