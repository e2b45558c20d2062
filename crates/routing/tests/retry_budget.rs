//! Combined retry budget of several proxies.

use lynxstair_routing::retry_budget::RetryBudget;

/// All proxies together stay within the budget if every request is retried.
#[test]
fn retry_storms_are_bounded() {
    let (ratio, slack, proxies) = (0.2, 56.0, 8);
    let (mut requests, mut retries) = (0, 0);
    let mut all: Vec<RetryBudget> = (0..proxies).map(|_| RetryBudget::new(ratio, slack)).collect();
    for n in 0..2000 {
        let budget = &mut all[n % proxies];
        budget.set_proxy_count(proxies as u32);
        budget.earn("s");
        requests += 1;
        retries += u32::from(budget.try_spend("s"));
        assert!(f64::from(retries) <= ratio * f64::from(requests) + slack, "{retries} of {requests}");
    }
    assert!(retries > 150, "{retries}");
}

/// Proxies that restart repeatedly, and know neither the number of proxies nor their earlier retries, stay
/// within the budget if every request is retried.
#[test]
fn restarts_do_not_renew_the_slack() {
    let (ratio, slack, proxies) = (0.2, 210.0, 90);
    let (mut requests, mut retries) = (0, 0);
    for _restart in 0..20 {
        for _proxy in 0..proxies {
            let mut budget = RetryBudget::new(ratio, slack);
            for _ in 0..3 {
                budget.earn("s");
                requests += 1;
                retries += u32::from(budget.try_spend("s"));
            }
            assert!(f64::from(retries) <= ratio * f64::from(requests) + slack, "{retries} of {requests}");
        }
    }
}
