//! Cost of a request and of a configuration change at the size of the largest deployment, by the number of
//! different latency targets, and the memory that the balancer then holds.

#[path = "../tests/support/mod.rs"]
mod support;

use std::fs;
use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use lynxstair::types::{Outcome, Span, Time};
use lynxstair_config::configuration::{Configuration, RouteKind};
use lynxstair_routing::locality_balancer::{EndpointQuery, LocalityBalancer, Pick};
use lynxstair_routing::slow_start::{SlowStart, WarmUpKnowledge};

use support::{parse_configuration, ready_worker};

const ROUTES: u64 = 2_300;
const WORKERS: usize = 2_100;
const SERVICES: usize = 3;
const ZONES: usize = 6;
/// Requests before a measurement, so that all statistics that requests create exist.
const WARM_UP_REQUESTS: u64 = 500_000;

/// Latency target of a route.
fn target(route: u64, distinct_targets: u64) -> Span {
    Span::from_millis(300 + route % distinct_targets)
}

fn service(n: u64) -> String {
    format!("s{}", n % SERVICES as u64)
}

fn configuration(distinct_targets: u64) -> Configuration {
    let row = |n: u64| {
        let (target, service) = (target(n, distinct_targets).secs(), service(n));
        format!(r#"["r{n}","h{n}","/","safe",10,{target},"{service}",2]"#)
    };
    let rows: Vec<String> = (0..ROUTES).map(row).collect();
    let services: Vec<String> = (0..SERVICES).map(|n| format!(r#"["s{n}",1000,3.0,22.0]"#)).collect();
    let text = format!(
        r#"{{"generation":"00000001","base-version":"00000000","routes":{{"columns":["name","host","path-prefix",
        "route-kind","timeout-s","target-s","service","max-attempts"],"rows":[{}]}},
        "services":{{"columns":["name","max-conns","cold-s","cold-per-s"],"rows":[{}]}},
        "limits":{{}},"tenants":{{"columns":["name","api-keys"],"rows":[]}}}}"#,
        rows.join(","),
        services.join(",")
    );
    parse_configuration(&text)
}

fn balancer(now: Time, distinct_targets: u64) -> LocalityBalancer {
    let zones: Vec<(String, String)> = (0..ZONES).map(|n| (format!("z{n}"), "r".to_string())).collect();
    let slow_start = SlowStart::new(Time::default(), "z0", "edge-1", 1.5, 5.0);
    let mut balancer = LocalityBalancer::new(1, "z0", "r", &zones, slow_start);
    for n in 0..WORKERS {
        let (id, zone) = (format!("i-{n}"), format!("z{}", n / SERVICES % ZONES));
        balancer.update_instance(now, &id, &ready_worker(now, &id, &service(n as u64), &zone, 6));
    }
    balancer.configure(now, &configuration(distinct_targets));
    balancer
}

/// Decides on one request and ends it.
fn request(balancer: &mut LocalityBalancer, now: Time, n: u64, distinct_targets: u64) {
    // Zones in turn, so that requests reach all workers.
    let zone = format!("z{}", n / 7 % ZONES as u64);
    let service = service(n % ROUTES);
    let query = EndpointQuery {
        service: &service,
        kind: RouteKind::Safe,
        target: target(n % ROUTES, distinct_targets),
        deadline: now + Span::from_millis(10_000),
        is_zone_allowed: &|z| z == zone,
        tried: &[],
    };
    if let Pick::Endpoint(picked) = balancer.pick(now, &query, &|_| WarmUpKnowledge::Reported) {
        balancer.report(now + Span::from_millis(50), &picked, Outcome::Succeeded);
    }
}

/// Memory of the process. Memory of earlier measurements is reused, so that only an increase counts.
fn resident_kilobytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

fn many_routes(criterion: &mut Criterion) {
    for distinct_targets in [1, 200, ROUTES] {
        let mut now = Time::from_nanos(10_000_000_000);
        let mut balancer = balancer(now, distinct_targets);
        let mut n = 0;
        let mut next = |balancer: &mut LocalityBalancer| {
            n += 1;
            now = now + Span::from_millis(1);
            request(balancer, now, black_box(n), distinct_targets);
            if n % 100 == 0 {
                balancer.tick(now);
            }
        };
        (0..WARM_UP_REQUESTS).for_each(|_| next(&mut balancer));
        println!("{distinct_targets} latency targets: {} kB resident", resident_kilobytes());
        let mut group = criterion.benchmark_group("many_routes");
        group.bench_function(BenchmarkId::new("request", distinct_targets), |b| {
            b.iter(|| next(&mut balancer))
        });
        let configuration = configuration(distinct_targets);
        group.bench_function(BenchmarkId::new("configure", distinct_targets), |b| {
            b.iter(|| balancer.configure(now, black_box(&configuration)));
        });
        group.finish();
    }
}

criterion_group!(benches, many_routes);
criterion_main!(benches);
