//! Requests are split by weight, in every run of requests and in total over many proxies.

use lynxstair_routing::weighted_split::WeightedSplit;

const WEIGHTS: [[f64; 3]; 4] = [[90.0, 10.0, 0.0], [1.0, 1.0, 1.0], [0.0, 0.3, 0.7], [5.0, 0.0, 995.0]];

fn services(weights: [f64; 3]) -> Vec<(String, f64)> {
    weights.iter().enumerate().map(|(n, weight)| (format!("s{n}"), *weight)).collect()
}

/// Largest difference between the share of a service and its weight.
fn error(counts: [usize; 3], weights: [f64; 3]) -> f64 {
    let (all, sum) = (counts.iter().sum::<usize>() as f64, weights.iter().sum::<f64>());
    let errors = counts.iter().zip(weights).map(|(count, weight)| (*count as f64 / all - weight / sum).abs());
    errors.fold(0.0, f64::max)
}

#[test]
fn every_run_of_requests_is_split_by_weight() {
    for weights in WEIGHTS {
        for start in [0.0, 0.123, 0.5, 0.999_999] {
            let mut split = WeightedSplit::default();
            let drawn: Vec<usize> = (0..2_000).map(|_| split.next("r", &services(weights), start)).collect();
            for run in drawn.windows(300).step_by(50) {
                let mut counts = [0; 3];
                run.iter().for_each(|index| counts[*index] += 1);
                assert!(error(counts, weights) < 0.015, "{weights:?} from {start}: {counts:?}");
                assert!(counts.iter().zip(weights).all(|(count, weight)| weight > 0.0 || *count == 0));
            }
        }
    }
}

#[test]
fn few_requests_at_many_proxies_are_split_by_weight() {
    for weights in WEIGHTS {
        let mut counts = [0; 3];
        for proxy in 0..89 {
            let mut split = WeightedSplit::default();
            let start = f64::from(proxy) * 0.7548 % 1.0;
            (0..5).for_each(|_| counts[split.next("r", &services(weights), start)] += 1);
        }
        assert!(error(counts, weights) < 0.03, "{weights:?}: {counts:?}");
    }
}

#[test]
fn routes_have_separate_sequences() {
    let mut split = WeightedSplit::default();
    let mut counts = [0_usize; 3];
    // Requests of another route in between don't advance this sequence.
    for _ in 0..300 {
        counts[split.next("one", &services([1.0, 1.0, 0.0]), 0.1)] += 1;
        split.next("other", &services([1.0, 1.0, 0.0]), 0.1);
    }
    assert!(counts[0].abs_diff(150) < 5, "{counts:?}");
    split.retain_routes(|route| route == "other");
    // A removed route starts a new sequence.
    assert_eq!(split.next("one", &services([1.0, 1.0, 0.0]), 0.9), 1);
}
