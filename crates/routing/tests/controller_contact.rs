//! After a silence of the controllers, what they say of workers counts once the workers have had time to report.

use lynxstair::types::{Span, Time};
use lynxstair_routing::controller_contact::{CONTACT_TIMEOUT, ControllerContact};

const UNREPORTED: Span = Span::from_millis(2_400);

fn at(ms: u64) -> Time {
    Time::from_nanos(1_000_000_000) + Span::from_millis(ms)
}

#[test]
fn workers_have_a_heartbeats_time_to_report_after_a_silence() {
    let mut contact = ControllerContact::default();
    // A process that begins beside a leader that all workers have reported to has missed nothing.
    for ms in (900..5_000).step_by(1_000) {
        contact.on_heard(at(ms), true);
        assert!(contact.is_settled(at(ms), UNREPORTED), "{ms}");
    }
    // Silence: not known any more; then heard again, and known only after the workers' time.
    assert!(contact.is_settled(at(4_899) + CONTACT_TIMEOUT, UNREPORTED));
    assert!(!contact.is_settled(at(4_900) + CONTACT_TIMEOUT, UNREPORTED));
    for ms in (9_000..11_400).step_by(600) {
        contact.on_heard(at(ms), false);
        assert!(!contact.is_settled(at(ms), UNREPORTED), "{ms}");
    }
    contact.on_heard(at(11_300), false);
    assert!(!contact.is_settled(at(11_399), UNREPORTED));
    assert!(contact.is_settled(at(11_400), UNREPORTED));
}

#[test]
fn a_process_that_begins_while_the_controllers_are_silent_waits_as_well() {
    let mut contact = ControllerContact::default();
    assert!(!contact.is_settled(at(4_000), UNREPORTED));
    contact.on_heard(at(5_000), false);
    assert!(!contact.is_settled(at(5_000), UNREPORTED));
    contact.on_heard(at(6_000), false);
    contact.on_heard(at(7_000), false);
    assert!(contact.is_settled(at(7_400), UNREPORTED));
}

/// Proxies and controllers begin together after a loss of power: the controllers tell at once what their disks hold of the
/// workers, who have turned cold meanwhile and have said so to nobody.
#[test]
fn a_process_that_begins_with_the_controllers_waits_for_what_workers_say() {
    let mut contact = ControllerContact::default();
    contact.on_heard(at(300), false);
    assert!(!contact.is_settled(at(300), UNREPORTED));
    contact.on_heard(at(1_300), false);
    assert!(!contact.is_settled(at(1_300), UNREPORTED));
    contact.on_heard(at(2_300), false);
    assert!(contact.is_settled(at(2_700), UNREPORTED));
}

/// A leader that all workers have reported to while this proxy was cut off says what they said meanwhile.
#[test]
fn a_leader_that_heard_the_workers_all_the_time_spares_the_wait() {
    let mut contact = ControllerContact::default();
    contact.on_heard(at(0), true);
    contact.on_heard(at(9_000), false);
    assert!(!contact.is_settled(at(9_000), UNREPORTED));
    contact.on_heard(at(9_100), true);
    assert!(contact.is_settled(at(9_100), UNREPORTED));
}
