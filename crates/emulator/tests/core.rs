//! The core's world: the checker of histories by tables, stories without a fault, and each deliberate fault with the
//! judge that finds it.

use lynxstair_emulator::core::{Story, play};

#[test]
fn try_all() {
    use rayon::prelude::*;
    let only = std::env::var("STORY").ok();
    let from: u64 = std::env::var("FROM").ok().and_then(|s| s.parse().ok()).unwrap_or(0);
    let seeds: u64 = std::env::var("SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(3);
    let fault = std::env::var("FAULT").ok();
    let fault = fault.map(|f| lynxstair_emulator::core::Deliberate::ALL.into_iter().find(|d| d.name() == f).unwrap());
    for story in Story::ALL {
        if only.as_ref().is_some_and(|o| o != story.name()) {
            continue;
        }
        let t = std::time::Instant::now();
        let all: Vec<_> = (from..from + seeds).into_par_iter().map(|seed| (seed, play(story, seed, fault))).collect();
        let ev: u64 = all.iter().map(|(_, v)| v.events).sum();
        let acked: usize = all.iter().map(|(_, v)| v.acked).sum();
        let mut by = std::collections::BTreeMap::new();
        let mut bad = 0;
        for (seed, v) in &all {
            for b in &v.broken {
                let e = by.entry(b.judge).or_insert((0, *seed, String::new()));
                e.0 += 1;
                if e.0 == 1 {
                    e.2 = format!("{:.3}: {}", b.at.secs(), b.what.chars().rev().take(260).collect::<String>().chars().rev().collect::<String>());
                }
            }
            if std::env::var("TELL").is_ok() && !v.broken.is_empty() {
                println!("== {} {seed}", story.name());
                v.told.iter().for_each(|t| println!("      {t}"));
            }
            bad += usize::from(!v.broken.is_empty());
        }
        println!("{}: {bad} bad of {seeds}, {ev} events, {acked} acked, {:?}", story.name(), t.elapsed());
        for (j, e) in by {
            println!("    {j:?} {e:?}");
        }
    }
}
