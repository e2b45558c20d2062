//! Routes of one service with many different latency targets.

mod support;

use std::slice::from_ref;
use std::sync::Arc;

use lynxstair::types::{Outcome, Span, Time};
use lynxstair_config::configuration::{Configuration, RouteKind};
use lynxstair_control_state::instance_registry::RegisteredInstance;
use lynxstair_routing::locality_balancer::{EndpointQuery, LocalityBalancer, Pick, PickedEndpoint, Worker};
use lynxstair_routing::slow_start::{SlowStart, WarmUpKnowledge};

use support::{parse_configuration, ready_worker};

const START: Time = Time::from_nanos(10_000_000_000);
/// Routes of the largest deployment.
const ROUTES: u64 = 2_300;

/// A configuration with one route of service `s` for each latency target.
fn configuration(targets: &[Span]) -> Configuration {
    let row = |target: &Span| {
        let nanos = target.nanos();
        format!(r#"["r{nanos}","h{nanos}","/","safe",600,{},"s",2]"#, target.secs())
    };
    let rows: Vec<String> = targets.iter().map(row).collect();
    let text = format!(
        r#"{{"generation":"00000001","base-version":"00000000","routes":{{"columns":["name","host","path-prefix",
        "route-kind","timeout-s","target-s","service","max-attempts"],"rows":[{}]}},
        "services":{{"columns":["name","max-conns","cold-s","cold-per-s"],"rows":[["s",1000,3.0,22.0]]}},
        "limits":{{}},"tenants":{{"columns":["name","api-keys"],"rows":[]}}}}"#,
        rows.join(",")
    );
    parse_configuration(&text)
}

fn worker(id: &str) -> RegisteredInstance {
    ready_worker(START, id, "s", "a", 1_000)
}

/// Latency targets of the routes, as read from the configuration.
fn targets(configuration: &Configuration) -> Vec<Span> {
    configuration.all_routes().map(|route| route.target).collect()
}

/// A balancer without workers.
fn balancer() -> LocalityBalancer {
    let slow_start = SlowStart::new(Time::default(), "a", "edge-1", 1.5, 5.0);
    LocalityBalancer::new(1, "a", "r", &[("a".to_string(), "r".to_string())], slow_start)
}

fn pick(balancer: &mut LocalityBalancer, now: Time, target: Span) -> Option<Box<PickedEndpoint>> {
    pick_except(balancer, now, target, &[])
}

fn pick_except(
    balancer: &mut LocalityBalancer,
    now: Time,
    target: Span,
    tried: &[Arc<Worker>],
) -> Option<Box<PickedEndpoint>> {
    let query = EndpointQuery {
        service: "s",
        kind: RouteKind::Safe,
        target,
        deadline: now + Span::from_millis(600_000),
        is_zone_allowed: &|_| true,
        tried,
    };
    match balancer.pick(now, &query, &|_| WarmUpKnowledge::Reported) {
        Pick::Endpoint(picked) => Some(picked),
        Pick::Full(_) => None,
    }
}

/// Applies a configuration and sends a request to each of its routes, from `now` on. Returns the number of
/// requests that got a worker.
fn served(balancer: &mut LocalityBalancer, now: &mut Time, configuration: &Configuration) -> usize {
    balancer.configure(*now, configuration);
    let mut serve = |target: &Span| {
        *now = *now + Span::from_millis(10);
        let Some(picked) = pick(balancer, *now, *target) else { return false };
        balancer.report(*now + Span::from_millis(5), &picked, Outcome::Succeeded);
        true
    };
    targets(configuration).iter().filter(|target| serve(target)).count()
}

/// Guards against routes that are acknowledged but never served: a service with more than 200 different
/// latency targets (review, case 1).
#[test]
fn each_of_2300_routes_with_a_latency_target_of_its_own_is_served() {
    let first = [Span::from_millis(500)];
    let all: Vec<Span> = first.into_iter().chain((1..ROUTES).map(|n| Span::from_millis(500 + n))).collect();
    let (mut balancer, mut now) = (balancer(), START);
    balancer.update_instance(START, "i-1", &worker("i-1"));
    assert_eq!(served(&mut balancer, &mut now, &configuration(&first)), 1);
    assert_eq!(served(&mut balancer, &mut now, &configuration(&all)), all.len());
}

/// Guards against the same failure after many small changes: targets of removed routes must not add up.
#[test]
fn the_newest_route_is_served_after_300_replaced_routes() {
    let (mut balancer, mut now) = (balancer(), START);
    balancer.update_instance(START, "i-1", &worker("i-1"));
    for n in 0..300 {
        let routes = configuration(&[Span::from_millis(500), Span::from_millis(1_000 + n)]);
        assert_eq!(served(&mut balancer, &mut now, &routes), 2, "after {n} changes");
    }
}

/// Guards against routes that are never served because of an extreme target, which the configuration allows.
#[test]
fn routes_with_extreme_latency_targets_are_served() {
    let extremes = [0, 1, 999_999, 1_000_000, 659_999_000_000].map(Span::from_nanos);
    let (mut balancer, mut now) = (balancer(), START);
    balancer.update_instance(START, "i-1", &worker("i-1"));
    assert_eq!(served(&mut balancer, &mut now, &configuration(&extremes)), extremes.len());
}

/// Guards against an attempt that ends after its dispatcher was replaced: its outcome must not count for a
/// later attempt, which has the same number at the new dispatcher.
#[test]
fn the_end_of_an_attempt_from_before_a_change_does_not_count_for_a_later_one() {
    let mut balancer = balancer();
    balancer.configure(START, &configuration(&[Span::from_millis(500)]));
    balancer.update_instance(START, "i-1", &worker("i-1"));
    let earlier = pick(&mut balancer, START, Span::from_millis(500)).expect("picked");
    balancer.update_instance(START, "i-2", &worker("i-2"));
    let targets = [Span::from_millis(500), Span::from_millis(3_000)];
    balancer.configure(START, &configuration(&targets));
    let mut now = START + Span::from_millis(10);
    let later = pick_except(&mut balancer, now, targets[0], from_ref(&earlier.worker)).expect("picked");
    assert_eq!((&*earlier.worker.id, &*later.worker.id), ("i-1", "i-2"));
    balancer.report(now, &earlier, Outcome::ConnectFailed);
    balancer.report(now, &later, Outcome::Succeeded);
    let mut picked_workers = (0..20).map(|_| {
        now = now + Span::from_millis(10);
        let picked = pick(&mut balancer, now, targets[0]).expect("picked");
        balancer.report(now + Span::from_millis(5), &picked, Outcome::Succeeded);
        picked.worker.id.clone()
    });
    assert!(picked_workers.any(|id| id == "i-2"), "the outcome at i-1 counts for i-2");
}
