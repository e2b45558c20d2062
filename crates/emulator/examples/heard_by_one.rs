use lynxstair::types::Span;
use lynxstair_emulator::fleet::{Fleet, Plan};
use rayon::prelude::*;
fn main() {
    for n in [6usize, 8, 10, 20, 40] {
        let out: Vec<(usize, usize, f64)> = (1..=200u64)
            .into_par_iter()
            .map(|seed| {
                let mut fleet = Fleet::settled(Plan { members: n, seed, ..Plan::default() });
                fleet.run(Span::from_millis(5000));
                let t0 = fleet.now();
                (0..n).filter(|w| *w != 0 && *w != 3).for_each(|w| fleet.network.cut_both(0, w));
                fleet.run(Span::from_millis(30_000));
                let of0 = fleet
                    .declared_failed()
                    .filter(|(at, _, name)| *at >= t0 && name.as_str() == "g1")
                    .count();
                let others = fleet
                    .declared_failed()
                    .filter(|(at, _, name)| *at >= t0 && name.as_str() != "g1")
                    .count();
                let first = fleet
                    .declared_failed()
                    .filter(|(at, _, _)| *at >= t0)
                    .map(|(at, _, _)| (at - t0).secs())
                    .next()
                    .unwrap_or(0.0);
                (of0, others, first)
            })
            .collect();
        let bad0 = out.iter().filter(|o| o.0 > 0).count();
        let bad = out.iter().filter(|o| o.1 > 0).count();
        let mean: f64 = out.iter().filter(|o| o.2 > 0.0).map(|o| o.2).sum::<f64>()
            / out.iter().filter(|o| o.2 > 0.0).count().max(1) as f64;
        println!("{n}: of the one {bad0} of 200, of others {bad} of 200, first after {mean:.1}");
    }
}
