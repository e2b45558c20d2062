//! The allocator, when a proxy comes back that was out of reach.

use lynxstair::types::{Span, Time};
use lynxstair_config::configuration::Tenant;
use lynxstair_control_state::quota_allocator::{QuotaAllocator, QuotaTolerance, UsageReport};
use lynxstair_protocol::messages::{QuotaShare, TenantUsage};

const GRANT: QuotaTolerance =
    QuotaTolerance { window: Span::from_millis(5_000), slack: 20.0, overshoot: 0.1 };
const PROXIES: u32 = 11;
/// So many of them let one through in each second.
const BUSY: u32 = 7;

fn at(ms: u64) -> Time {
    Time::from_nanos((100_000 + ms) * 1_000_000)
}

fn count(passed: u32, ago_ms: u32) -> TenantUsage {
    TenantUsage { tenant: "t".into(), admitted: passed, rejected: 0, age_ms: ago_ms }
}

/// Seven in a second of eight that are granted: what proxies say of the time when they were out of reach
/// closes nobody, as it lies in the past. Said as if it were of now, it closed the tenant everywhere for
/// seconds.
#[test]
fn late_usage_reports_count_in_the_past() {
    let tenants = vec![Tenant { name: "t".into(), priority: None, rate: 8.0, burst: 8.0, homes: vec![] }];
    let play = |counts: &dyn Fn() -> Vec<TenantUsage>| -> Vec<QuotaShare> {
        let mut allocator = QuotaAllocator::new(GRANT);
        let mut closed = Vec::new();
        for second in 0..30 {
            let (now, cut) = (at(second * 1_000), (10..20).contains(&second));
            for n in (0..PROXIES).filter(|_| !cut) {
                let node = n.to_string();
                allocator.on_proxy_seen(now, &node, "z", true);
                let said = if second == 20 { counts() } else { vec![count(1, 0)] };
                let said = if n < BUSY { said } else { Vec::new() };
                closed.extend(allocator.report_usage(
                    now,
                    &node,
                    "z",
                    &UsageReport { usage: &said, received_shares: 0 },
                    &tenants,
                ));
            }
        }
        closed
    };
    let each_second = || (0..5).rev().map(|s| count(1, s * 1_000)).collect();
    assert_eq!(play(&each_second), [], "as it was");
    assert!(!play(&|| vec![count(10, 0)]).is_empty(), "ten seconds as if they were one");
}
