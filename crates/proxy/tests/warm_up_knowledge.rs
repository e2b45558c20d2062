//! Warm-up limits of restarted proxies, on a virtual clock. After a restart of the whole system, the stored
//! state of a worker may be outdated, so all proxies together keep the warm-up limit until the worker is
//! confirmed.

use lynxstair::types::{Span, Time};
use lynxstair_config::settings::Settings;
use lynxstair_control_state::command::{Command, Operation};
use lynxstair_control_state::config_store::{CommandOutcome, ConfigStore};
use lynxstair_control_state::delta_log::DeltaLog;
use lynxstair_control_state::proxy_membership::ProxyMembership;
use lynxstair_protocol::messages::{Instance, InstanceState};
use lynxstair_proxy::routing_state::{HeartbeatAck, RequestInfo, RoutingState};

/// Number of proxies in the zone.
const PROXIES: usize = 16;
/// Most requests per second to a worker that is warming up: `cold-per-s` 6 times overshoot 1.5, plus slack 8.
const WARM_UP_LIMIT_PER_S: usize = 17;

const CONFIGURATION: &str = r#"{"generation":"00000001","base-version":"00000000",
    "routes":{"columns":["name","host","path-prefix","route-kind","timeout-s","target-s","service","max-attempts"],
    "rows":[["r","h","/","safe",3,1,"s",2]]},
    "services":{"columns":["name","max-conns","cold-s","cold-per-s"],"rows":[["s",1000,3.0,6.0]]},
    "limits":{},"tenants":{"columns":["name","api-keys"],"rows":[]}}"#;

fn time_at(ms: u64) -> Time {
    Time::from_nanos(10_000_000_000) + Span::from_millis(ms)
}

fn node_name(n: usize) -> String {
    format!("edge-{n}")
}

fn settings(n: usize) -> Settings {
    let text = format!(
        "node-name: \"{}\"\nip: \"127.0.0.1\"\nzone: \"z1\"\nregion: \"r1\"\nzones:\n  z1: \"r1\"\nbind:\n  \
         front: \"127.0.0.1:80\"\nport-range:\n  - 7460\n  - 7475\nseeds:\n  - \"127.0.0.1:8383\"\nbootstrap: \
         false\nlimits:\n  memory-mb: 64\n  max-fds: 900\nbeat-period-s: 1.5\nbounds: \
         \"cold-overshoot=1.5,cold-slack=8\"\n",
        node_name(n)
    );
    Settings::from_yaml(&text).expect("settings")
}

/// The configuration, with all proxies as members.
fn store() -> ConfigStore {
    let zones = [("z1".to_string(), "r1".to_string())];
    let command = Command::new(Operation::Put(CONFIGURATION.into()));
    let CommandOutcome::Accepted(store) = ConfigStore::default().apply(&command, &zones) else {
        panic!("accepted")
    };
    let members = (0..PROXIES).map(node_name).collect();
    store.with_membership(ProxyMembership::new(0, [("z1".to_string(), members)].into()))
}

/// The only worker, reported as ready and not warming up.
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

/// Acknowledges a heartbeat as a leader that has unconfirmed instances.
fn acknowledge_heartbeat(proxy: &mut RoutingState, now: Time) {
    let ack = HeartbeatAck {
        sent_at: now,
        revision: store().revision,
        confirmed_ago: Some(Span::from_millis(0)),
        is_leader: true,
        knows_instances: false,
    };
    proxy.on_heartbeat_ack(now, &ack);
}

/// Starts a proxy that has the configuration and an instance snapshot.
fn start_proxy(n: usize, now: Time, instance: &Instance) -> RoutingState {
    let mut proxy = RoutingState::new(now, &settings(n), n as u64);
    let store = store();
    assert!(proxy.apply_config(now, store.revision, &DeltaLog::default().encode_update(&store, 0)));
    proxy.apply_instances(now, std::slice::from_ref(instance), true);
    acknowledge_heartbeat(&mut proxy, now);
    proxy
}

/// Handles one request. Returns `true` if it may be sent to the worker.
fn send(proxy: &mut RoutingState, now: Time) -> bool {
    let info = RequestInfo { host: "h", path: "/", key: None, time_left: None };
    let Ok(mut request) = proxy.admit(now, &info) else { return false };
    let Ok(picked) = proxy.pick(now, &mut request) else { return false };
    proxy.may_forward(now, &request, &picked)
}

/// Each proxy tries a request every 10 ms. Returns the number of requests sent by all proxies in each second.
fn send_continuously(proxies: &mut [RoutingState], from_ms: u64, seconds: u64) -> Vec<usize> {
    let second = |start: u64, proxies: &mut [RoutingState]| {
        let mut sent = 0;
        for ms in (start..start + 1_000).step_by(10) {
            for proxy in proxies.iter_mut() {
                if ms == start {
                    acknowledge_heartbeat(proxy, time_at(ms));
                }
                sent += usize::from(send(proxy, time_at(ms)));
            }
        }
        sent
    };
    (0..seconds).map(|n| second(from_ms + n * 1_000, proxies)).collect()
}

#[test]
fn restarted_proxies_keep_the_warm_up_limit_until_the_worker_is_confirmed() {
    let mut proxies: Vec<_> = (0..PROXIES).map(|n| start_proxy(n, time_at(0), &worker(4, true))).collect();
    let sent = send_continuously(&mut proxies, 0, 5);
    assert_eq!(sent[0], 0, "the previous processes may have used the limit");
    assert!(sent.iter().all(|sent| *sent <= WARM_UP_LIMIT_PER_S), "{sent:?}");
    assert!(sent[1..].iter().all(|sent| *sent >= 8), "clients are served: {sent:?}");
    // The next heartbeat confirms the worker, even with an unchanged state.
    for proxy in &mut proxies {
        proxy.apply_instances(time_at(5_000), &[worker(5, false)], false);
    }
    assert!(send_continuously(&mut proxies, 5_000, 1)[0] > 3 * WARM_UP_LIMIT_PER_S);
}

/// If the controllers stayed up, they have confirmed the worker, and a restarted proxy needs no limit.
#[test]
fn a_restarted_proxy_sends_at_once_to_a_confirmed_worker() {
    let mut proxies = [start_proxy(0, time_at(0), &worker(4, false))];
    assert!(send_continuously(&mut proxies, 0, 1)[0] > WARM_UP_LIMIT_PER_S);
}

/// A partitioned proxy may have missed that the worker restarted, until a snapshot arrives.
#[test]
fn a_proxy_partitioned_from_the_controllers_keeps_the_limit_until_a_snapshot() {
    let mut proxies = [start_proxy(0, time_at(0), &worker(4, false))];
    assert!(send_continuously(&mut proxies, 0, 2)[1] > WARM_UP_LIMIT_PER_S);
    // Five seconds without acknowledgements, then one without a snapshot: only the proxy's own permits are
    // used.
    let sent = send_continuously(&mut proxies, 7_000, 1)[0];
    assert!((1..=2).contains(&sent), "{sent}");
    proxies[0].apply_instances(time_at(8_000), &[worker(4, false)], true);
    assert!(send_continuously(&mut proxies, 8_000, 1)[0] > WARM_UP_LIMIT_PER_S);
}

/// A new leader may not know the worker at all; that it has no unconfirmed instances confirms nothing about
/// this one. The proxy requests snapshots with a growing delay until one contains the worker.
#[test]
fn a_leader_without_the_worker_does_not_confirm_it() {
    let mut proxies: Vec<_> = (0..PROXIES).map(|n| start_proxy(n, time_at(0), &worker(4, true))).collect();
    let ack = HeartbeatAck {
        sent_at: time_at(1_000),
        revision: store().revision,
        confirmed_ago: Some(Span::from_millis(0)),
        is_leader: true,
        knows_instances: true,
    };
    for proxy in &mut proxies {
        assert!(proxy.on_heartbeat_ack(time_at(1_000), &ack), "a snapshot is requested");
        assert!(!proxy.on_heartbeat_ack(time_at(1_100), &ack), "no second request within the delay");
        proxy.apply_instances(time_at(1_200), &[], true);
    }
    let sent = send_continuously(&mut proxies, 2_000, 3);
    assert!(sent.iter().all(|sent| *sent <= WARM_UP_LIMIT_PER_S), "{sent:?}");
    for proxy in &mut proxies {
        assert!(proxy.on_heartbeat_ack(time_at(5_000), &ack), "a snapshot is requested again");
        proxy.apply_instances(time_at(5_000), &[worker(4, false)], true);
        assert!(!proxy.on_heartbeat_ack(time_at(60_000), &ack), "nothing is unconfirmed");
    }
    assert!(send_continuously(&mut proxies, 5_000, 1)[0] > WARM_UP_LIMIT_PER_S);
}
