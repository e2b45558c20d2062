//! Proxies that begin after a loss of power everywhere, on a virtual clock: what controllers had stored of a worker says
//! nothing of how warm it is now, and until it says so itself all proxies together keep to what a cold one may get.

use lynxstair::types::{Span, Time};
use lynxstair_config::settings::Settings;
use lynxstair_control_state::command::{Command, Operation};
use lynxstair_control_state::config_store::{CommandOutcome, ConfigStore};
use lynxstair_control_state::delta_log::DeltaLog;
use lynxstair_control_state::proxy_membership::ProxyMembership;
use lynxstair_protocol::messages::{Instance, InstanceState};
use lynxstair_proxy::routing_state::{HeartbeatAck, RequestInfo, RoutingState};

/// As many as a zone of mama-kapi-grown has.
const PROXIES: usize = 16;
/// `cold-per-s` 6 x 1.5 + 8.
const ALLOWED: usize = 17;

const CONFIGURATION: &str = r#"{"generation":"00000001","base-version":"00000000",
    "routes":{"columns":["name","host","path-prefix","route-kind","timeout-s","target-s","service","max-attempts"],
    "rows":[["r","h","/","safe",3,1,"s",2]]},
    "services":{"columns":["name","max-conns","cold-s","cold-per-s"],"rows":[["s",1000,3.0,6.0]]},
    "limits":{},"tenants":{"columns":["name","api-keys"],"rows":[]}}"#;

fn at(ms: u64) -> Time {
    Time::from_nanos(10_000_000_000) + Span::from_millis(ms)
}

fn node(n: usize) -> String {
    format!("edge-{n}")
}

fn settings(n: usize) -> Settings {
    let text = format!(
        "node-name: \"{}\"\nip: \"127.0.0.1\"\nzone: \"z1\"\nregion: \"r1\"\nzones:\n  z1: \"r1\"\nbind:\n  \
         front: \"127.0.0.1:80\"\nport-range:\n  - 7460\n  - 7475\nseeds:\n  - \"127.0.0.1:8383\"\nbootstrap: \
         false\nlimits:\n  memory-mb: 64\n  max-fds: 900\nbeat-period-s: 1.5\nbounds: \
         \"cold-overshoot=1.5,cold-slack=8\"\n",
        node(n)
    );
    Settings::from_yaml(&text).expect("settings")
}

/// The configuration with the proxies as members.
fn store() -> ConfigStore {
    let zones = [("z1".to_string(), "r1".to_string())];
    let command = Command::new(Operation::Put(CONFIGURATION.into()));
    let CommandOutcome::Accepted(store) = ConfigStore::default().apply(&command, &zones) else {
        panic!("accepted")
    };
    let members = (0..PROXIES).map(node).collect();
    store.with_membership(ProxyMembership::new(0, [("z1".to_string(), members)].into()))
}

/// The only worker, as warm as it said last.
fn worker(call_seq: u64, is_unconfirmed: bool) -> Instance {
    Instance {
        id: "i-1".to_string(),
        service: "s".to_string(),
        address: "127.0.0.1:9000".parse().expect("an address"),
        zone: "z1".to_string(),
        capacity: 1_000,
        state: InstanceState::Ready,
        warming_up_ms: 0,
        call_seq,
        heartbeat_age_ms: 0,
        is_unconfirmed,
    }
}

fn hear_controllers(proxy: &mut RoutingState, now: Time) {
    let ack = HeartbeatAck {
        sent_at: now,
        revision: store().revision,
        confirmed_ago: Some(Span::from_millis(0)),
        is_leader: true,
        knows_instances: false,
    };
    proxy.on_heartbeat_ack(now, &ack);
}

fn begun(n: usize, now: Time, instance: &Instance) -> RoutingState {
    let mut proxy = RoutingState::new(now, &settings(n), n as u64);
    let store = store();
    assert!(proxy.apply_config(now, store.revision, &DeltaLog::default().encode_update(&store, 0)));
    proxy.apply_instances(now, std::slice::from_ref(instance), true);
    hear_controllers(&mut proxy, now);
    proxy
}

/// Whether a request goes to the worker.
fn send(proxy: &mut RoutingState, now: Time) -> bool {
    let info = RequestInfo { host: "h", path: "/", key: None, time_left: None };
    let Ok(mut request) = proxy.admit(now, &info) else { return false };
    let Ok(picked) = proxy.pick(now, &mut request) else { return false };
    proxy.may_forward(now, &request, &picked)
}

/// What all send in each second, asking each 10 ms.
fn press(proxies: &mut [RoutingState], from_ms: u64, seconds: u64) -> Vec<usize> {
    let second = |start: u64, proxies: &mut [RoutingState]| {
        let mut sent = 0;
        for ms in (start..start + 1_000).step_by(10) {
            for proxy in proxies.iter_mut() {
                if ms == start {
                    hear_controllers(proxy, at(ms));
                }
                sent += usize::from(send(proxy, at(ms)));
            }
        }
        sent
    };
    (0..seconds).map(|n| second(from_ms + n * 1_000, proxies)).collect()
}

#[test]
fn proxies_that_begin_with_the_controllers_keep_to_what_a_cold_worker_may_get_until_it_has_said_that_it_is_warm()
 {
    let mut proxies: Vec<_> = (0..PROXIES).map(|n| begun(n, at(0), &worker(4, true))).collect();
    let sent = press(&mut proxies, 0, 5);
    assert_eq!(sent[0], 0, "the processes before these may have sent as many");
    assert!(sent.iter().all(|sent| *sent <= ALLOWED), "{sent:?}");
    assert!(sent[1..].iter().all(|sent| *sent >= 8), "its clients are served: {sent:?}");
    // Its heartbeat says the same as before, and that counts.
    for proxy in &mut proxies {
        proxy.apply_instances(at(5_000), &[worker(5, false)], false);
    }
    assert!(press(&mut proxies, 5_000, 1)[0] > 3 * ALLOWED);
}

/// A restart in a system that goes on costs nothing: the controllers know the worker.
#[test]
fn a_proxy_that_begins_beside_controllers_that_know_the_workers_sends_at_once() {
    let mut proxies = [begun(0, at(0), &worker(4, false))];
    assert!(press(&mut proxies, 0, 1)[0] > ALLOWED);
}

/// It missed what workers said meanwhile, until a snapshot brings it.
#[test]
fn a_proxy_that_was_cut_off_from_the_controllers_waits_for_a_snapshot() {
    let mut proxies = [begun(0, at(0), &worker(4, false))];
    assert!(press(&mut proxies, 0, 2)[1] > ALLOWED);
    // Nothing for five seconds; then the controllers again, and no snapshot yet: its permits alone.
    let sent = press(&mut proxies, 7_000, 1)[0];
    assert!((1..=2).contains(&sent), "{sent}");
    proxies[0].apply_instances(at(8_000), &[worker(4, false)], true);
    assert!(press(&mut proxies, 8_000, 1)[0] > ALLOWED);
}

/// A leader that has just begun may not know the worker at all, as its disk held none of it: that it knows no unconfirmed one
/// says nothing of this worker. Its snapshot is asked for, now and then, and decides.
#[test]
fn a_leader_that_does_not_know_a_worker_confirms_nothing_of_it() {
    let mut proxies: Vec<_> = (0..PROXIES).map(|n| begun(n, at(0), &worker(4, true))).collect();
    let ack = HeartbeatAck {
        sent_at: at(1_000),
        revision: store().revision,
        confirmed_ago: Some(Span::from_millis(0)),
        is_leader: true,
        knows_instances: true,
    };
    for proxy in &mut proxies {
        assert!(proxy.on_heartbeat_ack(at(1_000), &ack), "a snapshot is wanted");
        assert!(!proxy.on_heartbeat_ack(at(1_100), &ack), "not again at once");
        proxy.apply_instances(at(1_200), &[], true);
    }
    let sent = press(&mut proxies, 2_000, 3);
    assert!(sent.iter().all(|sent| *sent <= ALLOWED), "{sent:?}");
    for proxy in &mut proxies {
        assert!(proxy.on_heartbeat_ack(at(5_000), &ack), "it may know it by now");
        proxy.apply_instances(at(5_000), &[worker(4, false)], true);
        assert!(!proxy.on_heartbeat_ack(at(60_000), &ack), "nothing is unconfirmed");
    }
    assert!(press(&mut proxies, 5_000, 1)[0] > ALLOWED);
}
