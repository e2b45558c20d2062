//! Judges what workers got while they were cold.

use std::collections::HashMap;

use super::checker::{Finding, SoakRule};
use super::clients::SentRequest;
use super::workers::{COLD_OVERSHOOT, COLD_RATE, COLD_SLACK, ColdSpell, Run};

/// The bound counts in any time of this length, in seconds.
const WINDOW_S: f64 = 1.0;

/// A request that a worker got: when its client sent it, and when it arrived there.
struct Arrival {
    sent: f64,
    began: f64,
}

/// Cold workers that got more requests than they may in some second, from all proxies together. What was sent
/// before that second, or before the worker was cold, does not count.
pub(super) fn judge_cold_workers(
    spells: &[ColdSpell],
    runs: &[Run],
    requests: &[SentRequest],
) -> Vec<Finding> {
    let sent: HashMap<&str, f64> = requests.iter().map(|request| (&request.id[..], request.sent)).collect();
    let mut of_workers: HashMap<usize, Vec<Arrival>> = HashMap::new();
    for run in runs {
        // Of a client that was still waiting at the end nothing is known.
        let Some(sent) = sent.get(&run.id[..]) else { continue };
        of_workers.entry(run.worker).or_default().push(Arrival { sent: *sent, began: run.began });
    }
    spells.iter().filter_map(|spell| judge_spell(spell, of_workers.get(&spell.worker)?)).collect()
}

fn judge_spell(spell: &ColdSpell, arrivals: &[Arrival]) -> Option<Finding> {
    let is_during = |arrival: &&Arrival| arrival.sent >= spell.from && arrival.began <= spell.until;
    let arrivals: Vec<&Arrival> = arrivals.iter().filter(is_during).collect();
    let in_window = |from: f64| {
        let is_inside = |arrival: &&&Arrival| arrival.sent >= from && arrival.began < from + WINDOW_S;
        arrivals.iter().filter(is_inside).count()
    };
    let windows = arrivals.iter().map(|arrival| (in_window(arrival.sent), arrival.sent));
    let (most, at_s) = windows.max_by(|a, b| a.0.cmp(&b.0))?;
    let allowed = COLD_RATE * COLD_OVERSHOOT + COLD_SLACK;
    (most as f64 > allowed).then(|| Finding {
        rule: SoakRule::Flooded,
        at_s,
        description: format!(
            "cold worker {} got {most} requests in one second, {allowed} allowed; cold from {:.3} to {:.3}",
            spell.worker, spell.from, spell.until
        ),
    })
}
