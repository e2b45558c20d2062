//! After a loss of contact with the controllers, worker states are up to date again only after a snapshot.

use lynxstair::types::{Span, Time};
use lynxstair_routing::controller_contact::{CONTACT_TIMEOUT, ControllerContact};

fn at(ms: u64) -> Time {
    Time::from_nanos(1_000_000_000) + Span::from_millis(ms)
}

#[test]
fn snapshot_is_required_after_lost_contact() {
    let mut contact = ControllerContact::default();
    contact.on_snapshot();
    for ms in (900..5_000).step_by(1_000) {
        assert!(!contact.on_contact(at(ms)), "{ms}: contact was not lost");
        assert!(contact.is_current(at(ms)), "{ms}");
    }
    // Contact is lost, then regained; the states are up to date only after a later snapshot.
    assert!(contact.is_current(at(4_899) + CONTACT_TIMEOUT));
    assert!(!contact.is_current(at(4_900) + CONTACT_TIMEOUT));
    assert!(contact.on_contact(at(9_000)), "a snapshot is requested");
    assert!(!contact.is_current(at(9_000)));
    assert!(!contact.on_contact(at(10_000)), "requested only once");
    assert!(!contact.is_current(at(10_000)));
    contact.on_snapshot();
    assert!(contact.is_current(at(10_000)));
    // After another loss of contact the earlier snapshot is outdated.
    assert!(contact.on_contact(at(20_000)));
    assert!(!contact.is_current(at(20_000)));
}

#[test]
fn new_process_requires_snapshot_and_contact() {
    let mut contact = ControllerContact::default();
    assert!(!contact.is_current(at(0)));
    assert!(!contact.on_contact(at(300)), "a snapshot was requested at the start");
    assert!(!contact.is_current(at(300)));
    contact.on_snapshot();
    assert!(contact.is_current(at(400)));
    // A snapshot from a controller without quorum contact is not contact.
    let mut contact = ControllerContact::default();
    contact.on_snapshot();
    assert!(!contact.is_current(at(300)));
}
