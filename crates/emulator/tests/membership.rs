//! The hard cases of membership on a virtual clock: the failures caused, and what must hold all the same.

use std::collections::HashMap;

use lynxstair::types::{Span, Time};
use lynxstair_emulator::fleet::{Fleet, Happened, Plan};
use lynxstair_emulator::network::LinkFaults;
use lynxstair_membership::{ChangeReason, DisabledParts, Event, Incarnation, LinkState, Name, Phase, State};
use rayon::prelude::*;

const AGREE: Span = Span::from_millis(5_000);

fn ms(n: u64) -> Span {
    Span::from_millis(n)
}

fn fleet(members: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::started(Plan { members, seed, ..Plan::default() });
    let joined = fleet.until(ms(10_000), Fleet::all_agree);
    assert!(joined.is_some(), "seed {seed}: {members} do not come together");
    fleet
}

fn agrees(fleet: &mut Fleet, what: &str) {
    if fleet.until(AGREE, Fleet::all_agree).is_none() {
        for who in (0..fleet.members()).filter(|w| fleet.runs(*w)) {
            let view = fleet.view(who).expect("runs");
            let seen: Vec<_> = view.members.iter().map(|m| format!("{} {:?}", m.name, m.state)).collect();
            eprintln!(
                "{} {:?} ({}) {:?}: {}",
                view.local.name,
                view.phase,
                view.phase_reason,
                view.degraded,
                seen.join(", ")
            );
        }
        panic!("{what}: no agreement");
    }
}

/// Nobody whose number is here was ever declared failed.
fn never_failed(fleet: &Fleet, since: Time, who: &[usize], what: &str) {
    let names: Vec<&Name> = who.iter().map(|w| fleet.name_of(*w)).collect();
    let failed: Vec<_> =
        fleet.declared_failed().filter(|(at, _, n)| *at >= since && names.contains(n)).collect();
    assert!(failed.is_empty(), "{what}: declared failed: {failed:?}");
}

/// What must hold of every history: no state follows that may not, no incarnation goes back.
fn kept(fleet: &Fleet, what: &str) {
    let mut held: HashMap<(usize, u32, Name), (State, Incarnation)> = HashMap::new();
    let mut lives: HashMap<usize, u32> = HashMap::new();
    let mut began: HashMap<(usize, Name), Incarnation> = HashMap::new();
    for h in fleet.history() {
        match &h.event {
            Event::IncarnationStarted { identity: ident } => {
                *lives.entry(h.who).or_default() = ident.run;
                let last = began.insert((h.who, ident.name.clone()), ident.incarnation);
                assert!(last < Some(ident.incarnation), "{what}: {h:?} after {last:?}");
            }
            Event::Member { name, from, from_incarnation: was, to, incarnation, .. } => {
                let run = lives.get(&h.who).copied().unwrap_or_default();
                let key = (h.who, run, name.clone());
                if let Some(held) = held.insert(key, (*to, *incarnation)) {
                    assert_eq!(held, (*from, *was), "{what}: {h:?}");
                }
                assert!(incarnation >= was, "{what}: {h:?}");
                let over = matches!(from, State::Failed | State::Left | State::ShutOut);
                let back = matches!(to, State::Alive | State::Suspected | State::Joining);
                assert!(!(over && back && incarnation == was), "{what}: {h:?}");
            }
            _ => {}
        }
    }
}

fn seeds() -> impl ParallelIterator<Item = u64> {
    (1..=24u64).into_par_iter()
}

#[test]
fn three_start_and_one_dies() {
    seeds().for_each(|seed| {
        let mut fleet = fleet(3, seed);
        let began = fleet.now();
        fleet.kill(2);
        let seen = fleet.until(ms(6_000), |f| (0..2).all(|w| f.sees(w, 2) == Some(State::Failed)));
        assert!(seen.is_some(), "seed {seed}");
        never_failed(&fleet, began, &[0, 1], "a death");
        fleet.start(2);
        agrees(&mut fleet, "after a death");
        kept(&fleet, "a death");
    });
}

/// Pauses of 0.2, 2 and 30 s, of one, of half and of all at once: who was paused accuses nobody on waking.
#[test]
fn pauses() {
    let cases: [(u64, &[usize]); 9] = [
        (200, &[1]),
        (2_000, &[1]),
        (30_000, &[1]),
        (200, &[0, 2, 4]),
        (2_000, &[0, 2, 4]),
        (30_000, &[0, 2, 4]),
        (200, &[0, 1, 2, 3, 4, 5]),
        (2_000, &[0, 1, 2, 3, 4, 5]),
        (30_000, &[0, 1, 2, 3, 4, 5]),
    ];
    seeds().for_each(|seed| {
        for (length, who) in cases {
            let what = format!("seed {seed}: {} paused for {length} ms", who.len());
            let mut fleet = fleet(6, seed);
            let began = fleet.now();
            who.iter().for_each(|w| fleet.pause(*w));
            fleet.run(ms(length));
            who.iter().for_each(|w| fleet.resume(*w));
            agrees(&mut fleet, &what);
            fleet.run(ms(5_000));
            let awake: Vec<usize> = (0..6).filter(|w| !who.contains(w)).collect();
            // A short one is borne; a machine that sleeps as a whole loses nobody.
            let spared = if length == 200 || awake.is_empty() { (0..6).collect() } else { awake };
            never_failed(&fleet, began, &spared, &what);
            assert!(fleet.all_agree(), "{what}: and it lasts");
            kept(&fleet, &what);
        }
    });
}

/// One direction of one link, for each pair; and a ring of them. A cut, not a death, and it does not flap.
#[test]
fn one_sided_cuts() {
    let members = 5;
    let pairs: Vec<_> =
        (0..members).flat_map(|a| (0..members).map(move |b| (a, b))).filter(|(a, b)| a != b).collect();
    pairs.par_iter().for_each(|&(from, to)| {
        let mut fleet = fleet(members, (from * members + to) as u64);
        let began = fleet.now();
        fleet.network.cut(from, to);
        fleet.run(ms(20_000));
        let what = format!("{from} not to {to}");
        never_failed(&fleet, began, &[0, 1, 2, 3, 4], &what);
        assert!(fleet.all_agree(), "{what}");
        let link = |who: usize, other: usize, f: &Fleet| {
            let view = f.view(who).expect("runs");
            view.members.iter().find(|m| m.name == *f.name_of(other)).map(|m| m.link.state)
        };
        assert_eq!(link(from, to, &fleet), Some(LinkState::Cut), "{what}: shows as a cut");
        assert_eq!(link(to, from, &fleet), Some(LinkState::Cut), "{what}: at both ends");
        fleet.network.heal_all();
        fleet.run(ms(15_000));
        assert_eq!(link(from, to, &fleet), Some(LinkState::Whole), "{what}: mended");
        kept(&fleet, &what);
    });
    seeds().for_each(|seed| {
        let mut fleet = fleet(members, seed);
        let began = fleet.now();
        (0..members).for_each(|w| fleet.network.cut(w, (w + 1) % members));
        fleet.run(ms(20_000));
        never_failed(&fleet, began, &[0, 1, 2, 3, 4], "a ring of cuts");
        assert!(fleet.all_agree(), "seed {seed}: a ring of cuts");
        kept(&fleet, "a ring of cuts");
    });
}

/// Heard by one only, of eight: never failed.
#[test]
fn heard_by_one_only() {
    seeds().for_each(|seed| {
        let mut fleet = fleet(8, seed);
        (0..8).filter(|w| *w != 0 && *w != 3).for_each(|w| fleet.network.cut_both(0, w));
        fleet.run(ms(4_000));
        agrees(&mut fleet, "heard by one only");
        let settled = fleet.now();
        fleet.run(ms(30_000));
        never_failed(
            &fleet,
            settled,
            &(0..8).collect::<Vec<_>>(),
            &format!("seed {seed}: heard by one only"),
        );
        fleet.network.heal_all();
        agrees(&mut fleet, "heard by all again");
        kept(&fleet, "heard by one only");
    });
}

/// Two halves that each went on for a minute, with restarts in both, come together again.
#[test]
fn two_halves() {
    seeds().for_each(|seed| {
        let mut fleet = fleet(6, seed);
        for a in [0, 2, 4] {
            for b in [1, 3, 5] {
                fleet.network.cut_both(a, b);
            }
        }
        fleet.run(ms(20_000));
        for who in [2, 3] {
            fleet.kill(who);
            fleet.run(ms(1_000));
            fleet.start(who);
        }
        fleet.run(ms(40_000));
        assert_eq!(fleet.sees(0, 1), Some(State::Failed));
        assert_eq!(fleet.sees(0, 2), Some(State::Alive), "its own half goes on");
        fleet.network.heal_all();
        agrees(&mut fleet, &format!("seed {seed}: two halves"));
        kept(&fleet, "two halves");
    });
}

/// One cut off alone says of nobody that he failed: that it hears nobody is all that it knows.
#[test]
fn one_cut_off_alone() {
    seeds().for_each(|seed| {
        let mut fleet = fleet(5, seed);
        let began = fleet.now();
        (1..5).for_each(|w| fleet.network.cut_both(0, w));
        fleet.run(ms(30_000));
        let by_it: Vec<_> = fleet.declared_failed().filter(|(at, by, _)| *at >= began && *by == 0).collect();
        assert!(by_it.is_empty(), "seed {seed}: {by_it:?}");
        let view = fleet.view(0).expect("runs");
        assert!(view.members.iter().all(|m| m.state == State::Unknown), "seed {seed}");
        assert!((1..5).all(|w| fleet.sees(w, 0) == Some(State::Failed)), "seed {seed}");
        fleet.network.heal_all();
        agrees(&mut fleet, "one cut off alone");
        // What it suspected when it was cut off is asked anew, not held against them.
        fleet.run(ms(8_000));
        never_failed(&fleet, began, &[1, 2, 3, 4], &format!("seed {seed}: mended"));
        kept(&fleet, "one cut off alone");
    });
}

/// A seed that is gone, and all seeds gone: those who are in go on, and a restarted one finds them.
#[test]
fn seeds_are_gone() {
    seeds().for_each(|seed| {
        let mut fleet = fleet(6, seed);
        fleet.run(ms(8_000));
        fleet.kill(0);
        fleet.kill(1);
        fleet.run(ms(6_000));
        agrees(&mut fleet, "seeds gone");
        fleet.kill(4);
        fleet.run(ms(500));
        fleet.start(4);
        agrees(&mut fleet, &format!("seed {seed}: started again without seeds"));
        kept(&fleet, "seeds are gone");
    });
}

/// Datagrams lost, twice and out of order.
#[test]
fn bad_networks() {
    for (lost, spared) in [(0.05, true), (0.2, true), (0.4, false)] {
        seeds().for_each(|seed| {
            let mut fleet = fleet(6, seed);
            let began = fleet.now();
            fleet.network.default_faults = LinkFaults {
                loss_rate: lost,
                duplication_rate: 0.2,
                reorder_rate: 0.3,
                ..LinkFaults::default()
            };
            fleet.run(ms(60_000));
            if spared {
                never_failed(
                    &fleet,
                    began,
                    &(0..6).collect::<Vec<_>>(),
                    &format!("seed {seed}: {lost} lost"),
                );
            }
            fleet.network.default_faults = LinkFaults::default();
            agrees(&mut fleet, &format!("seed {seed}: after {lost} lost"));
            kept(&fleet, "bad networks");
        });
    }
}

/// Restarted at once: at the same address, at another one, with an emptied disk, with an old copy of the
/// disk.
#[test]
fn restarts() {
    seeds().for_each(|seed| {
        for case in ["same place", "another place", "emptied", "old copy"] {
            let what = format!("seed {seed}: {case}");
            let mut fleet = fleet(5, seed);
            let old = fleet.disk(3).clone();
            for _ in 0..3 {
                fleet.kill(3);
                fleet.run(ms(50));
                fleet.start(3);
                agrees(&mut fleet, &what);
            }
            fleet.kill(3);
            match case {
                "another place" => fleet.move_to(3, 1),
                "emptied" => *fleet.disk(3) = Default::default(),
                "old copy" => *fleet.disk(3) = old,
                _ => {}
            }
            fleet.start(3);
            // At another place its name is still borne until the old life is found over.
            fleet.run(ms(7_000));
            agrees(&mut fleet, &what);
            if case == "same place" || case == "another place" {
                kept(&fleet, &what);
            }
        }
    });
}

/// Groups that came together each by itself, since seeds were slow to start or datagrams were lost, find each
/// other.
#[test]
fn groups_at_the_start() {
    seeds().for_each(|seed| {
        let mut fleet = Fleet::new(Plan { members: 6, seeds: 3, seed, ..Plan::default() });
        fleet.network.default_faults = LinkFaults { loss_rate: 0.5, ..LinkFaults::default() };
        let halves: [&[usize]; 2] = [&[0, 3, 4, 5], &[1, 2]];
        for a in halves[0] {
            halves[1].iter().for_each(|b| fleet.network.cut_both(*a, *b));
        }
        (0..6).for_each(|w| fleet.start(w));
        fleet.run(ms(2_000 + 100 * seed));
        fleet.network.heal_all();
        fleet.network.default_faults = LinkFaults::default();
        agrees(&mut fleet, &format!("seed {seed}: two groups at the start"));
        kept(&fleet, "groups at the start");
    });
}

/// Several lose their disks at once and are let in by others who know nothing either: a life that begins in
/// an incarnation that was lived already is told so, whoever hears of it first.
#[test]
fn disks_lost_at_several() {
    seeds().for_each(|seed| {
        let mut fleet = fleet(6, seed);
        [0, 1, 4].into_iter().for_each(|w| fleet.kill(w));
        fleet.run(ms(100 * seed));
        for w in [0, 1, 4] {
            *fleet.disk(w) = Default::default();
            fleet.start(w);
        }
        agrees(&mut fleet, &format!("seed {seed}: disks lost at several"));
    });
}

/// A wall clock set back an hour over a restart changes nothing: no clock goes into a life's number.
#[test]
fn a_clock_set_back() {
    seeds().for_each(|seed| {
        let mut fleet = fleet(5, seed);
        let began = fleet.now();
        fleet.set_clock_back(2);
        fleet.run(ms(100));
        fleet.start(2);
        agrees(&mut fleet, &format!("seed {seed}: a clock set back"));
        fleet.run(ms(10_000));
        never_failed(&fleet, began, &[0, 1, 2, 3, 4], &format!("seed {seed}: a clock set back"));
        kept(&fleet, "a clock set back");
    });
}

/// An address that another member had: who is told of by name is not taken for the other.
#[test]
fn an_address_taken_by_another() {
    seeds().for_each(|seed| {
        let mut fleet = fleet(5, seed);
        fleet.kill(3);
        fleet.kill(4);
        fleet.take_place(4, 3);
        fleet.run(ms(20 * seed));
        fleet.start(4);
        fleet.run(ms(7_000));
        agrees(&mut fleet, &format!("seed {seed}: an address taken by another"));
        assert_eq!(fleet.sees(0, 3), Some(State::Failed), "seed {seed}");
        assert_eq!(fleet.sees(0, 4), Some(State::Alive), "seed {seed}");
        kept(&fleet, "an address taken by another");
    });
}

/// A data folder copied to a second process: the later one is refused and told why; the first one is not
/// harmed.
#[test]
fn a_name_used_twice() {
    seeds().for_each(|seed| {
        let mut fleet = fleet(5, seed);
        let began = fleet.now();
        let second = fleet.copy(3);
        fleet.run(ms(20_000));
        let membership = fleet.membership(second).expect("runs");
        assert_eq!(membership.phase(), Phase::Refused, "seed {seed}");
        assert!(fleet.view(second).expect("runs").phase_reason.contains("in use by 127."), "seed {seed}");
        never_failed(&fleet, began, &[0, 1, 2, 3, 4], &format!("seed {seed}: a name used twice"));
        let told = fleet.history().iter().any(|h| matches!(h.event, Event::JoinRefused { .. }));
        assert!(told, "seed {seed}");
        // Once the first one is gone, the second may be it.
        fleet.kill(3);
        let taken = fleet.until(ms(15_000), |f| f.membership(second).is_some_and(|r| r.phase() == Phase::In));
        assert!(taken.is_some(), "seed {seed}");
    });
}

/// Leaving is told, and is not a failure; who left comes back only by joining.
#[test]
fn leaving() {
    seeds().for_each(|seed| {
        let mut fleet = fleet(5, seed);
        let began = fleet.now();
        fleet.leave(2);
        let over = fleet.until(ms(1_000), |f| f.membership(2).is_some_and(|r| r.has_left_fleet()));
        assert!(over.is_some(), "seed {seed}");
        fleet.kill(2);
        fleet.run(ms(5_000));
        for who in [0, 1, 3, 4] {
            assert_eq!(fleet.sees(who, 2), Some(State::Left), "seed {seed}: {who}");
        }
        never_failed(&fleet, began, &[2], "leaving");
        fleet.start(2);
        agrees(&mut fleet, "back after leaving");
        kept(&fleet, "leaving");
    });
}

/// One shut out stays out over restarts, also at those who were away when it was said, until it is let in
/// again.
#[test]
fn shut_out_and_let_in() {
    seeds().for_each(|seed| {
        let mut fleet = fleet(5, seed);
        fleet.run(ms(2_000));
        fleet.kill(4);
        fleet.run(ms(4_000));
        let g3 = fleet.name_of(2).clone();
        fleet.at(0, |membership, now| membership.shut_out(now, &g3, "does not hold what all hold"));
        fleet.run(ms(3_000));
        for who in [0, 1, 3] {
            assert_eq!(fleet.sees(who, 2), Some(State::ShutOut), "seed {seed}: {who}");
        }
        fleet.start(4);
        fleet.kill(2);
        fleet.run(ms(3_000));
        fleet.start(2);
        fleet.run(ms(10_000));
        let membership = fleet.membership(2).expect("runs");
        assert_eq!(membership.phase(), Phase::ShutOut, "seed {seed}");
        assert_eq!(fleet.view(2).expect("runs").phase_reason, "does not hold what all hold");
        assert!([0, 1, 3, 4].iter().all(|w| fleet.sees(*w, 2) != Some(State::Alive)), "seed {seed}");
        fleet.at(1, |membership, now| membership.let_in(now, &g3));
        fleet.run(ms(3_000));
        agrees(&mut fleet, &format!("seed {seed}: let in"));
        // Once more, without a restart.
        fleet.at(0, |membership, now| membership.shut_out(now, &g3, "once more"));
        fleet.run(ms(3_000));
        assert_eq!(fleet.sees(1, 2), Some(State::ShutOut), "seed {seed}");
        fleet.at(3, |membership, now| membership.let_in(now, &g3));
        fleet.run(ms(3_000));
        agrees(&mut fleet, &format!("seed {seed}: let in once more"));
        kept(&fleet, "shut out");
    });
}

/// Random bytes, cut datagrams, another fleet's, an earlier incarnation's: dropped, counted, never answered.
#[test]
fn bytes_that_are_not_understood() {
    let mut fleet = fleet(3, 5);
    let junk: Vec<Vec<u8>> = (0..300usize)
        .map(|n| (0..n * 5).map(|i| (i.wrapping_mul(2_654_435_761).wrapping_add(n) >> 7) as u8).collect())
        .collect();
    let before = fleet.membership(0).expect("runs").counters().clone();
    junk.into_iter().for_each(|bytes| fleet.inject(1, 0, bytes));
    fleet.run(ms(5));
    let after = fleet.membership(0).expect("runs").counters().clone();
    let dropped: u64 = after.dropped.values().sum::<u64>() - before.dropped.values().sum::<u64>();
    assert_eq!(dropped, 300);
    assert!(after.datagrams_out - before.datagrams_out < 20, "nothing of it is answered");
    agrees(&mut fleet, "after random bytes");
}

/// The same seed gives the same run.
#[test]
fn runs_repeat() {
    let run = || {
        let mut fleet = fleet(6, 11);
        fleet.network.default_faults = LinkFaults { loss_rate: 0.3, ..LinkFaults::default() };
        fleet.pause(2);
        fleet.run(ms(9_000));
        fleet.resume(2);
        fleet.run(ms(9_000));
        fleet.history().iter().map(|h| format!("{:?} {} {:?}", h.at, h.who, h.event)).collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}

/// Each part that is taken out is missed: by what must hold with it.
#[test]
fn broken_variants_are_found() {
    let variant = |broken: DisabledParts| {
        let mut fleet = Fleet::started(Plan { members: 6, seed: 3, broken, ..Plan::default() });
        fleet.until(ms(10_000), Fleet::all_agree).expect("they come together");
        fleet
    };
    let failed =
        |fleet: &Fleet, since: Time| fleet.declared_failed().filter(|(at, _, _)| *at >= since).count();

    for broken in [false, true] {
        let mut fleet = variant(DisabledParts { no_suspicion: broken, ..DisabledParts::default() });
        let began = fleet.now();
        fleet.network.default_faults = LinkFaults { loss_rate: 0.2, ..LinkFaults::default() };
        fleet.run(ms(60_000));
        assert_eq!(failed(&fleet, began) > 0, broken, "suspicion");

        // One that runs for 20 ms in each 620: what comes for it comes while it stands still.
        let mut fleet = variant(DisabledParts { no_local_health: broken, ..DisabledParts::default() });
        let began = fleet.now();
        fleet.network.default_faults.delay = ms(15);
        for _ in 0..60 {
            fleet.pause(1);
            fleet.run(ms(600));
            fleet.resume(1);
            fleet.run(ms(20));
        }
        let accuses = |h: &&Happened| {
            let by_it = h.at >= began && h.who == 1;
            by_it
                && matches!(
                    h.event,
                    Event::Member { to: State::Suspected, reason: ChangeReason::NoAnswer, .. }
                )
        };
        assert_eq!(fleet.history().iter().filter(accuses).count() > 0, broken, "lateness");

        let mut fleet = variant(DisabledParts { no_relays: broken, ..DisabledParts::default() });
        let began = fleet.now();
        fleet.network.cut(0, 1);
        fleet.run(ms(20_000));
        let suspected = fleet.history().iter().filter(|h| {
            h.at >= began && matches!(h.event, Event::Member { to: State::Suspected | State::Failed, .. })
        });
        assert_eq!(suspected.count() > 0, broken, "relays");

        let mut fleet = variant(DisabledParts { no_stored_incarnation: broken, ..DisabledParts::default() });
        fleet.kill(3);
        fleet.start(3);
        fleet.run(ms(5_000));
        let own: Vec<_> = fleet
            .history()
            .iter()
            .filter_map(|h| match &h.event {
                Event::IncarnationStarted { identity: ident } if h.who == 3 => Some(ident.incarnation),
                _ => None,
            })
            .collect();
        assert_eq!(own.windows(2).any(|w| w[0] >= w[1]), broken, "incarnation: {own:?}");
    }
}
