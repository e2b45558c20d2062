//! Without contact to the controllers any worker may be warming up. The proxies of all zones together must
//! keep to the slow-start limit of such a worker.

mod support;

use lynxstair::types::{Span, Time};
use lynxstair_config::configuration::RouteKind;
use lynxstair_control_state::proxy_membership::ProxyMembership;
use lynxstair_routing::locality_balancer::{EndpointQuery, LocalityBalancer, Pick};
use lynxstair_routing::slow_start::{SlowStart, WarmUpKnowledge};

use support::{parse_configuration, ready_worker};

const ZONES: [&str; 4] = ["a", "b", "c", "d"];
/// Proxies in each zone.
const PROXIES_PER_ZONE: u32 = 2;
/// `cold-per-s`, `cold-overshoot` and `cold-slack`.
const RATE: f64 = 22.0;
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;

const CONFIGURATION: &str = r#"{"generation":"00000001","base-version":"00000000",
    "routes":{"columns":["name","host","path-prefix","route-kind","timeout-s","target-s","service","max-attempts"],
    "rows":[["r","h","/","safe",3,1,"s",2]]},
    "services":{"columns":["name","max-conns","cold-s","cold-per-s"],"rows":[["s",1000,3.0,22.0]]},
    "limits":{},"tenants":{"columns":["name","api-keys"],"rows":[]}}"#;

fn proxies(now: Time) -> Vec<LocalityBalancer> {
    let zones: Vec<(String, String)> = ZONES.iter().map(|z| (z.to_string(), "r".to_string())).collect();
    let counts: Vec<(String, u32)> = ZONES.iter().map(|z| (z.to_string(), PROXIES_PER_ZONE)).collect();
    let name = |n: u64| format!("edge-{n}");
    let per_zone = u64::from(PROXIES_PER_ZONE);
    let of_zone = |z: u64| (z * per_zone..(z + 1) * per_zone).map(name).collect();
    let members = (0..).zip(ZONES).map(|(z, zone)| (zone.to_string(), of_zone(z)));
    let membership = ProxyMembership::new(1, members.collect());
    let new = |(n, zone): (u64, &str)| {
        let slow_start = SlowStart::new(Time::default(), zone, &name(n), OVERSHOOT, SLACK);
        let mut balancer = LocalityBalancer::new(n, zone, "r", &zones, slow_start);
        balancer.set_membership(&membership);
        balancer.on_membership_confirmed(now);
        balancer.configure(now, &parse_configuration(CONFIGURATION));
        balancer.set_proxy_counts(now, &counts);
        // The only worker of the service.
        balancer.update_instance(now, "i-1", &ready_worker(now, "i-1", "s", "a", 1_000));
        balancer
    };
    (0..).zip(ZONES.iter().copied().flat_map(|zone| [zone; PROXIES_PER_ZONE as usize])).map(new).collect()
}

#[test]
fn all_zones_together_keep_the_slow_start_limit_without_contact() {
    let start = Time::from_nanos(10_000_000_000);
    let mut proxies = proxies(start);
    let mut sent: Vec<u64> = Vec::new();
    for ms in (0..4_000).step_by(10) {
        let now = start + Span::from_millis(ms);
        for balancer in &mut proxies {
            let query = EndpointQuery {
                service: "s",
                kind: RouteKind::Safe,
                target: Span::from_millis(1_000),
                deadline: now + Span::from_millis(3_000),
                is_zone_allowed: &|_| true,
                tried: &[],
            };
            if let Pick::Endpoint(_) = balancer.pick(now, &query, &|_| WarmUpKnowledge::Unknown) {
                sent.push(ms);
            }
        }
    }
    let allowed = RATE * OVERSHOOT + SLACK;
    assert!(!sent.is_empty(), "its own zone sends requests");
    for ms in (0..3_000).step_by(100) {
        let n = sent.iter().filter(|at| (ms..ms + 1_000).contains(*at)).count();
        assert!(n as f64 <= allowed, "{n} in the second from {ms} ms, {allowed} allowed");
    }
}
