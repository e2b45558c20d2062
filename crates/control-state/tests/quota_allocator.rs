//! The quota allocator when proxies reconnect after a partition.

use lynxstair::types::{Span, Time};
use lynxstair_config::configuration::Tenant;
use lynxstair_control_state::quota_allocator::{QuotaAllocator, QuotaTolerance, UsageReport};
use lynxstair_protocol::messages::{QuotaShare, TenantUsage};

const TOLERANCE: QuotaTolerance =
    QuotaTolerance { window: Span::from_millis(5_000), slack: 20.0, overshoot: 0.1 };
const PROXIES: u32 = 11;
/// Number of proxies that admit one request per second.
const BUSY_PROXIES: u32 = 7;

fn at(ms: u64) -> Time {
    Time::from_nanos((100_000 + ms) * 1_000_000)
}

fn usage(admitted: u32, age_ms: u32) -> TenantUsage {
    TenantUsage { tenant: "t".into(), admitted, rejected: 0, age_ms }
}

/// Usage of 7 requests per second with a quota of 8: usage that proxies report for the seconds of a
/// partition counts in the past and blocks no tenant. Counted as current usage, it blocks the
/// tenant.
#[test]
fn late_usage_reports_count_in_the_past() {
    let tenants =
        vec![Tenant { name: "t".into(), priority: None, rate: 8.0, burst: 8.0, home_regions: vec![] }];
    // Returns the blocks of all proxies in 30 s with a partition from 10 s to 20 s.
    let blocked_tenants = |usage_after_partition: &dyn Fn() -> Vec<TenantUsage>| -> Vec<QuotaShare> {
        let mut allocator = QuotaAllocator::new(TOLERANCE);
        let mut blocked = Vec::new();
        for second in 0..30 {
            let (now, is_partitioned) = (at(second * 1_000), (10..20).contains(&second));
            for n in (0..PROXIES).filter(|_| !is_partitioned) {
                let node = n.to_string();
                allocator.on_proxy_seen(now, &node, "z", true);
                let usage = if second == 20 { usage_after_partition() } else { vec![usage(1, 0)] };
                let usage = if n < BUSY_PROXIES { usage } else { Vec::new() };
                blocked.extend(allocator.report_usage(
                    now,
                    &node,
                    "z",
                    &UsageReport { usage: &usage, received_shares: 0 },
                    &tenants,
                ));
            }
        }
        blocked
    };
    let each_second = || (0..5).rev().map(|s| usage(1, s * 1_000)).collect();
    assert_eq!(blocked_tenants(&each_second), [], "usage by the second in which it was counted");
    assert!(!blocked_tenants(&|| vec![usage(10, 0)]).is_empty(), "ten seconds of usage reported as current");
}
