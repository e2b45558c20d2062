//! Simulations of the membership with faults of processes, disks and the network.

use std::collections::HashMap;

use lynxstair::types::{Span, Time};
use lynxstair_emulator::fleet::{Fleet, FleetConfig, RecordedEvent};
use lynxstair_emulator::network::LinkFaults;
use lynxstair_membership::{ChangeReason, DisabledParts, Event, Incarnation, LinkState, Name, Phase, State};
use rayon::prelude::*;

/// Time within which all running members must agree after a fault has ended.
const AGREEMENT_TIMEOUT: Span = Span::from_millis(5_000);

fn ms(n: u64) -> Span {
    Span::from_millis(n)
}

/// Starts a fleet and waits until all members agree.
fn start_fleet(members: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::started(FleetConfig { members, seed, ..FleetConfig::default() });
    let joined = fleet.run_until(ms(10_000), Fleet::all_agree);
    assert!(joined.is_some(), "seed {seed}: {members} members do not agree after the start");
    fleet
}

/// Waits until all running members agree. Prints their views and panics if they don't.
fn assert_agreement(fleet: &mut Fleet, context: &str) {
    if fleet.run_until(AGREEMENT_TIMEOUT, Fleet::all_agree).is_none() {
        for member in (0..fleet.member_count()).filter(|m| fleet.is_running(*m)) {
            let view = fleet.view(member).expect("runs");
            let observed: Vec<_> = view.members.iter().map(|m| format!("{} {:?}", m.name, m.state)).collect();
            eprintln!(
                "{} {:?} ({}) {:?}: {}",
                view.local.name,
                view.phase,
                view.phase_reason,
                view.degraded,
                observed.join(", ")
            );
        }
        panic!("{context}: no agreement");
    }
}

/// Asserts that none of `members` was declared failed since `since`.
fn assert_never_declared_failed(fleet: &Fleet, since: Time, members: &[usize], context: &str) {
    let names: Vec<&Name> = members.iter().map(|m| fleet.name_of(*m)).collect();
    let failed: Vec<_> =
        fleet.declared_failed().filter(|(at, _, n)| *at >= since && names.contains(n)).collect();
    assert!(failed.is_empty(), "{context}: declared failed: {failed:?}");
}

/// Asserts that the recorded events are consistent: each state change starts from the previous state, no
/// incarnation decreases, and a final state is only left in a later incarnation.
fn assert_valid_history(fleet: &Fleet, context: &str) {
    let mut statuses: HashMap<(usize, u32, Name), (State, Incarnation)> = HashMap::new();
    let mut runs: HashMap<usize, u32> = HashMap::new();
    let mut last_started: HashMap<(usize, Name), Incarnation> = HashMap::new();
    for h in fleet.history() {
        match &h.event {
            Event::IncarnationStarted { identity: started } => {
                *runs.entry(h.member).or_default() = started.run;
                let last = last_started.insert((h.member, started.name.clone()), started.incarnation);
                assert!(last < Some(started.incarnation), "{context}: {h:?} after {last:?}");
            }
            Event::Member { name, from, from_incarnation: was, to, incarnation, .. } => {
                let run = runs.get(&h.member).copied().unwrap_or_default();
                let key = (h.member, run, name.clone());
                if let Some(status) = statuses.insert(key, (*to, *incarnation)) {
                    assert_eq!(status, (*from, *was), "{context}: {h:?}");
                }
                assert!(incarnation >= was, "{context}: {h:?}");
                let was_final = matches!(from, State::Failed | State::Left | State::ShutOut);
                let is_back = matches!(to, State::Alive | State::Suspected | State::Joining);
                assert!(!(was_final && is_back && incarnation == was), "{context}: {h:?}");
            }
            _ => {}
        }
    }
}

fn seeds() -> impl ParallelIterator<Item = u64> {
    (1..=24u64).into_par_iter()
}

#[test]
fn killed_member_is_declared_failed_and_rejoins() {
    seeds().for_each(|seed| {
        let mut fleet = start_fleet(3, seed);
        let start = fleet.now();
        fleet.kill(2);
        let detected =
            fleet.run_until(ms(6_000), |f| (0..2).all(|m| f.observed_state(m, 2) == Some(State::Failed)));
        assert!(detected.is_some(), "seed {seed}");
        assert_never_declared_failed(&fleet, start, &[0, 1], "killed member");
        fleet.start(2);
        assert_agreement(&mut fleet, "after a restart");
        assert_valid_history(&fleet, "killed member");
    });
}

/// One, half or all members are paused for 0.2, 2 or 30 s. Members that kept running must not be declared
/// failed.
#[test]
fn resumed_members_declare_no_running_member_failed() {
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
        for (pause_ms, paused) in cases {
            let context = format!("seed {seed}: {} paused for {pause_ms} ms", paused.len());
            let mut fleet = start_fleet(6, seed);
            let start = fleet.now();
            paused.iter().for_each(|m| fleet.pause(*m));
            fleet.run_for(ms(pause_ms));
            paused.iter().for_each(|m| fleet.resume(*m));
            assert_agreement(&mut fleet, &context);
            fleet.run_for(ms(5_000));
            let running: Vec<usize> = (0..6).filter(|m| !paused.contains(m)).collect();
            // A short pause, or one of all members, must not cause any failure declaration.
            let must_not_fail =
                if pause_ms == 200 || running.is_empty() { (0..6).collect() } else { running };
            assert_never_declared_failed(&fleet, start, &must_not_fail, &context);
            assert!(fleet.all_agree(), "{context}: the agreement does not last");
            assert_valid_history(&fleet, &context);
        }
    });
}

/// One direction of one link is cut, for each pair, and then of all links of a ring. Nobody may be
/// declared failed, and a single cut must be reported at both ends.
#[test]
fn one_way_cuts_cause_no_failure() {
    let members = 5;
    let pairs: Vec<_> =
        (0..members).flat_map(|a| (0..members).map(move |b| (a, b))).filter(|(a, b)| a != b).collect();
    pairs.par_iter().for_each(|&(from, to)| {
        let mut fleet = start_fleet(members, (from * members + to) as u64);
        let start = fleet.now();
        fleet.network.cut(from, to);
        fleet.run_for(ms(20_000));
        let context = format!("cut from {from} to {to}");
        assert_never_declared_failed(&fleet, start, &[0, 1, 2, 3, 4], &context);
        assert!(fleet.all_agree(), "{context}");
        let link = |member: usize, other: usize, f: &Fleet| {
            let view = f.view(member).expect("runs");
            view.members.iter().find(|m| m.name == *f.name_of(other)).map(|m| m.link.state)
        };
        assert_eq!(link(from, to, &fleet), Some(LinkState::Cut), "{context}: at the sender");
        assert_eq!(link(to, from, &fleet), Some(LinkState::Cut), "{context}: at the receiver");
        fleet.network.heal_all();
        fleet.run_for(ms(15_000));
        assert_eq!(link(from, to, &fleet), Some(LinkState::Whole), "{context}: healed");
        assert_valid_history(&fleet, &context);
    });
    seeds().for_each(|seed| {
        let mut fleet = start_fleet(members, seed);
        let start = fleet.now();
        (0..members).for_each(|m| fleet.network.cut(m, (m + 1) % members));
        fleet.run_for(ms(20_000));
        assert_never_declared_failed(&fleet, start, &[0, 1, 2, 3, 4], "a ring of cuts");
        assert!(fleet.all_agree(), "seed {seed}: a ring of cuts");
        assert_valid_history(&fleet, "a ring of cuts");
    });
}

/// A member with a working link to only one of seven others must not be declared failed once all agree.
#[test]
fn member_with_single_link_is_not_declared_failed() {
    seeds().for_each(|seed| {
        let mut fleet = start_fleet(8, seed);
        (0..8).filter(|m| *m != 0 && *m != 3).for_each(|m| fleet.network.cut_both(0, m));
        fleet.run_for(ms(4_000));
        assert_agreement(&mut fleet, "single link");
        let settled = fleet.now();
        fleet.run_for(ms(30_000));
        assert_never_declared_failed(
            &fleet,
            settled,
            &(0..8).collect::<Vec<_>>(),
            &format!("seed {seed}: single link"),
        );
        fleet.network.heal_all();
        assert_agreement(&mut fleet, "all links healed");
        assert_valid_history(&fleet, "single link");
    });
}

/// Two halves of the fleet, separated for a minute and with restarts in both, merge again.
#[test]
fn partitioned_halves_merge() {
    seeds().for_each(|seed| {
        let mut fleet = start_fleet(6, seed);
        for a in [0, 2, 4] {
            for b in [1, 3, 5] {
                fleet.network.cut_both(a, b);
            }
        }
        fleet.run_for(ms(20_000));
        for member in [2, 3] {
            fleet.kill(member);
            fleet.run_for(ms(1_000));
            fleet.start(member);
        }
        fleet.run_for(ms(40_000));
        assert_eq!(fleet.observed_state(0, 1), Some(State::Failed));
        assert_eq!(fleet.observed_state(0, 2), Some(State::Alive), "same half");
        fleet.network.heal_all();
        assert_agreement(&mut fleet, &format!("seed {seed}: partition healed"));
        assert_valid_history(&fleet, "partition");
    });
}

/// An isolated member must not declare others failed, neither while it is isolated nor afterwards.
#[test]
fn isolated_member_declares_nobody_failed() {
    seeds().for_each(|seed| {
        let mut fleet = start_fleet(5, seed);
        let start = fleet.now();
        (1..5).for_each(|m| fleet.network.cut_both(0, m));
        fleet.run_for(ms(30_000));
        let by_isolated: Vec<_> =
            fleet.declared_failed().filter(|(at, by, _)| *at >= start && *by == 0).collect();
        assert!(by_isolated.is_empty(), "seed {seed}: {by_isolated:?}");
        let view = fleet.view(0).expect("runs");
        assert!(view.members.iter().all(|m| m.state == State::Unknown), "seed {seed}");
        assert!((1..5).all(|m| fleet.observed_state(m, 0) == Some(State::Failed)), "seed {seed}");
        fleet.network.heal_all();
        assert_agreement(&mut fleet, "isolated member");
        // Suspicions from the time of the isolation must not lead to failure declarations now.
        fleet.run_for(ms(8_000));
        assert_never_declared_failed(&fleet, start, &[1, 2, 3, 4], &format!("seed {seed}: healed"));
        assert_valid_history(&fleet, "isolated member");
    });
}

/// All seed members fail. The others stay in the fleet, and a restarted one finds them from its disk.
#[test]
fn member_rejoins_without_seeds() {
    seeds().for_each(|seed| {
        let mut fleet = start_fleet(6, seed);
        fleet.run_for(ms(8_000));
        fleet.kill(0);
        fleet.kill(1);
        fleet.run_for(ms(6_000));
        assert_agreement(&mut fleet, "seeds failed");
        fleet.kill(4);
        fleet.run_for(ms(500));
        fleet.start(4);
        assert_agreement(&mut fleet, &format!("seed {seed}: restarted without seeds"));
        assert_valid_history(&fleet, "seeds failed");
    });
}

/// Datagrams are lost, duplicated and reordered. Up to a loss of 20%, nobody may be declared failed.
#[test]
fn members_tolerate_and_recover_from_datagram_loss() {
    for (loss_rate, is_tolerated) in [(0.05, true), (0.2, true), (0.4, false)] {
        seeds().for_each(|seed| {
            let mut fleet = start_fleet(6, seed);
            let start = fleet.now();
            fleet.network.default_faults =
                LinkFaults { loss_rate, duplication_rate: 0.2, reorder_rate: 0.3, ..LinkFaults::default() };
            fleet.run_for(ms(60_000));
            if is_tolerated {
                assert_never_declared_failed(
                    &fleet,
                    start,
                    &(0..6).collect::<Vec<_>>(),
                    &format!("seed {seed}: loss {loss_rate}"),
                );
            }
            fleet.network.default_faults = LinkFaults::default();
            assert_agreement(&mut fleet, &format!("seed {seed}: after loss {loss_rate}"));
            assert_valid_history(&fleet, "lossy network");
        });
    }
}

/// A member restarts at the same address, at another one, with an erased disk, or with an old copy of its
/// disk.
#[test]
fn restarted_member_rejoins() {
    seeds().for_each(|seed| {
        for case in ["same address", "other address", "erased disk", "old disk"] {
            let context = format!("seed {seed}: {case}");
            let mut fleet = start_fleet(5, seed);
            let old_disk = fleet.disk(3).clone();
            for _ in 0..3 {
                fleet.kill(3);
                fleet.run_for(ms(50));
                fleet.start(3);
                assert_agreement(&mut fleet, &context);
            }
            fleet.kill(3);
            match case {
                "other address" => fleet.change_address(3, 1),
                "erased disk" => *fleet.disk(3) = Default::default(),
                "old disk" => *fleet.disk(3) = old_disk,
                _ => {}
            }
            fleet.start(3);
            // At the other address the name counts as in use until the previous incarnation is declared
            // failed.
            fleet.run_for(ms(7_000));
            assert_agreement(&mut fleet, &context);
            if case == "same address" || case == "other address" {
                assert_valid_history(&fleet, &context);
            }
        }
    });
}

/// Two groups that formed separately at the start, since links between them were cut, merge.
#[test]
fn separate_groups_at_start_merge() {
    seeds().for_each(|seed| {
        let mut fleet = Fleet::new(FleetConfig { members: 6, seeds: 3, seed, ..FleetConfig::default() });
        fleet.network.default_faults = LinkFaults { loss_rate: 0.5, ..LinkFaults::default() };
        let groups: [&[usize]; 2] = [&[0, 3, 4, 5], &[1, 2]];
        for a in groups[0] {
            groups[1].iter().for_each(|b| fleet.network.cut_both(*a, *b));
        }
        (0..6).for_each(|m| fleet.start(m));
        fleet.run_for(ms(2_000 + 100 * seed));
        fleet.network.heal_all();
        fleet.network.default_faults = LinkFaults::default();
        assert_agreement(&mut fleet, &format!("seed {seed}: two groups at the start"));
        assert_valid_history(&fleet, "separate groups");
    });
}

/// Several members lose their disks at once and start with incarnations that were already used. They must
/// learn this and rejoin, even if they first contact each other.
#[test]
fn several_members_rejoin_after_losing_their_disks() {
    seeds().for_each(|seed| {
        let mut fleet = start_fleet(6, seed);
        [0, 1, 4].into_iter().for_each(|m| fleet.kill(m));
        fleet.run_for(ms(100 * seed));
        for m in [0, 1, 4] {
            *fleet.disk(m) = Default::default();
            fleet.start(m);
        }
        assert_agreement(&mut fleet, &format!("seed {seed}: several disks lost"));
    });
}

/// A restart with the clock set back by an hour has no effect, since incarnations do not depend on the
/// clock.
#[test]
fn restart_with_clock_set_back() {
    seeds().for_each(|seed| {
        let mut fleet = start_fleet(5, seed);
        let start = fleet.now();
        fleet.set_clock_back(2);
        fleet.run_for(ms(100));
        fleet.start(2);
        assert_agreement(&mut fleet, &format!("seed {seed}: clock set back"));
        fleet.run_for(ms(10_000));
        assert_never_declared_failed(
            &fleet,
            start,
            &[0, 1, 2, 3, 4],
            &format!("seed {seed}: clock set back"),
        );
        assert_valid_history(&fleet, "clock set back");
    });
}

/// A member starts at the address of a failed one and must not be taken for it.
#[test]
fn address_of_failed_member_is_reused() {
    seeds().for_each(|seed| {
        let mut fleet = start_fleet(5, seed);
        fleet.kill(3);
        fleet.kill(4);
        fleet.take_address(4, 3);
        fleet.run_for(ms(20 * seed));
        fleet.start(4);
        fleet.run_for(ms(7_000));
        assert_agreement(&mut fleet, &format!("seed {seed}: reused address"));
        assert_eq!(fleet.observed_state(0, 3), Some(State::Failed), "seed {seed}");
        assert_eq!(fleet.observed_state(0, 4), Some(State::Alive), "seed {seed}");
        assert_valid_history(&fleet, "reused address");
    });
}

/// A second process starts with a copy of a member's disk. It is refused with a reason, and the first is
/// unaffected.
#[test]
fn second_process_with_the_same_name_is_refused() {
    seeds().for_each(|seed| {
        let mut fleet = start_fleet(5, seed);
        let start = fleet.now();
        let second = fleet.start_copy(3);
        fleet.run_for(ms(20_000));
        let membership = fleet.membership(second).expect("runs");
        assert_eq!(membership.phase(), Phase::Refused, "seed {seed}");
        assert!(fleet.view(second).expect("runs").phase_reason.contains("in use by 127."), "seed {seed}");
        assert_never_declared_failed(&fleet, start, &[0, 1, 2, 3, 4], &format!("seed {seed}: name in use"));
        let was_refused = fleet.history().iter().any(|h| matches!(h.event, Event::JoinRefused { .. }));
        assert!(was_refused, "seed {seed}");
        // Once the first process has failed, the second may use the name.
        fleet.kill(3);
        let joined =
            fleet.run_until(ms(15_000), |f| f.membership(second).is_some_and(|m| m.phase() == Phase::In));
        assert!(joined.is_some(), "seed {seed}");
    });
}

/// A member that leaves is seen as left, not as failed, and returns by joining again.
#[test]
fn member_leaves_and_returns() {
    seeds().for_each(|seed| {
        let mut fleet = start_fleet(5, seed);
        let start = fleet.now();
        fleet.leave(2);
        let left = fleet.run_until(ms(1_000), |f| f.membership(2).is_some_and(|m| m.has_left_fleet()));
        assert!(left.is_some(), "seed {seed}");
        fleet.kill(2);
        fleet.run_for(ms(5_000));
        for member in [0, 1, 3, 4] {
            assert_eq!(fleet.observed_state(member, 2), Some(State::Left), "seed {seed}: {member}");
        }
        assert_never_declared_failed(&fleet, start, &[2], "leaving");
        fleet.start(2);
        assert_agreement(&mut fleet, "back after leaving");
        assert_valid_history(&fleet, "leaving");
    });
}

/// A member that is shut out stays out after a restart, also for members that were down at the time,
/// until it is let in again.
#[test]
fn shut_out_lasts_until_let_in() {
    seeds().for_each(|seed| {
        let mut fleet = start_fleet(5, seed);
        fleet.run_for(ms(2_000));
        fleet.kill(4);
        fleet.run_for(ms(4_000));
        let g3 = fleet.name_of(2).clone();
        fleet.with_membership(0, |membership, now| {
            membership.shut_out(now, &g3, "has another set of settings")
        });
        fleet.run_for(ms(3_000));
        for member in [0, 1, 3] {
            assert_eq!(fleet.observed_state(member, 2), Some(State::ShutOut), "seed {seed}: {member}");
        }
        fleet.start(4);
        fleet.kill(2);
        fleet.run_for(ms(3_000));
        fleet.start(2);
        fleet.run_for(ms(10_000));
        let membership = fleet.membership(2).expect("runs");
        assert_eq!(membership.phase(), Phase::ShutOut, "seed {seed}");
        assert_eq!(fleet.view(2).expect("runs").phase_reason, "has another set of settings");
        assert!(
            [0, 1, 3, 4].iter().all(|m| fleet.observed_state(*m, 2) != Some(State::Alive)),
            "seed {seed}"
        );
        fleet.with_membership(1, |membership, now| membership.let_in(now, &g3));
        fleet.run_for(ms(3_000));
        assert_agreement(&mut fleet, &format!("seed {seed}: let in"));
        // The same without a restart.
        fleet.with_membership(0, |membership, now| membership.shut_out(now, &g3, "once more"));
        fleet.run_for(ms(3_000));
        assert_eq!(fleet.observed_state(1, 2), Some(State::ShutOut), "seed {seed}");
        fleet.with_membership(3, |membership, now| membership.let_in(now, &g3));
        fleet.run_for(ms(3_000));
        assert_agreement(&mut fleet, &format!("seed {seed}: let in again"));
        assert_valid_history(&fleet, "shut out");
    });
}

/// Random bytes are dropped, counted and not answered.
#[test]
fn invalid_datagrams_are_dropped() {
    let mut fleet = start_fleet(3, 5);
    let invalid_datagrams: Vec<Vec<u8>> = (0..300usize)
        .map(|n| (0..n * 5).map(|i| (i.wrapping_mul(2_654_435_761).wrapping_add(n) >> 7) as u8).collect())
        .collect();
    let before = fleet.membership(0).expect("runs").counters().clone();
    invalid_datagrams.into_iter().for_each(|bytes| fleet.inject(1, 0, bytes));
    fleet.run_for(ms(5));
    let after = fleet.membership(0).expect("runs").counters().clone();
    let dropped: u64 = after.dropped.values().sum::<u64>() - before.dropped.values().sum::<u64>();
    assert_eq!(dropped, 300);
    assert!(after.datagrams_out - before.datagrams_out < 20, "an invalid datagram was answered");
    assert_agreement(&mut fleet, "after random bytes");
}

/// Two runs with the same seed have the same history.
#[test]
fn runs_are_deterministic() {
    let run = || {
        let mut fleet = start_fleet(6, 11);
        fleet.network.default_faults = LinkFaults { loss_rate: 0.3, ..LinkFaults::default() };
        fleet.pause(2);
        fleet.run_for(ms(9_000));
        fleet.resume(2);
        fleet.run_for(ms(9_000));
        fleet.history().iter().map(|h| format!("{:?} {} {:?}", h.at, h.member, h.event)).collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}

/// For each safeguard, a simulation shows the wrong behavior if and only if the safeguard is disabled.
#[test]
fn disabled_safeguards_are_detected() {
    let start_with = |disabled: DisabledParts| {
        let mut fleet =
            Fleet::started(FleetConfig { members: 6, seed: 3, disabled, ..FleetConfig::default() });
        fleet.run_until(ms(10_000), Fleet::all_agree).expect("all agree after the start");
        fleet
    };
    let failed =
        |fleet: &Fleet, since: Time| fleet.declared_failed().filter(|(at, _, _)| *at >= since).count();

    for is_disabled in [false, true] {
        let mut fleet = start_with(DisabledParts { no_suspicion: is_disabled, ..DisabledParts::default() });
        let start = fleet.now();
        fleet.network.default_faults = LinkFaults { loss_rate: 0.2, ..LinkFaults::default() };
        fleet.run_for(ms(60_000));
        assert_eq!(failed(&fleet, start) > 0, is_disabled, "suspicion");

        // Member 1 runs for 20 ms in each 620 ms, so answers to its probes arrive while it is paused.
        let mut fleet =
            start_with(DisabledParts { no_local_health: is_disabled, ..DisabledParts::default() });
        let start = fleet.now();
        fleet.network.default_faults.delay = ms(15);
        for _ in 0..60 {
            fleet.pause(1);
            fleet.run_for(ms(600));
            fleet.resume(1);
            fleet.run_for(ms(20));
        }
        let is_suspicion = |h: &&RecordedEvent| {
            let is_by_member = h.at >= start && h.member == 1;
            is_by_member
                && matches!(
                    h.event,
                    Event::Member { to: State::Suspected, reason: ChangeReason::NoAnswer, .. }
                )
        };
        assert_eq!(fleet.history().iter().filter(is_suspicion).count() > 0, is_disabled, "local health");

        let mut fleet = start_with(DisabledParts { no_relays: is_disabled, ..DisabledParts::default() });
        let start = fleet.now();
        fleet.network.cut(0, 1);
        fleet.run_for(ms(20_000));
        let suspected = fleet.history().iter().filter(|h| {
            h.at >= start && matches!(h.event, Event::Member { to: State::Suspected | State::Failed, .. })
        });
        assert_eq!(suspected.count() > 0, is_disabled, "relays");

        let mut fleet =
            start_with(DisabledParts { no_stored_incarnation: is_disabled, ..DisabledParts::default() });
        fleet.kill(3);
        fleet.start(3);
        fleet.run_for(ms(5_000));
        let incarnations: Vec<_> = fleet
            .history()
            .iter()
            .filter_map(|h| match &h.event {
                Event::IncarnationStarted { identity: started } if h.member == 3 => Some(started.incarnation),
                _ => None,
            })
            .collect();
        assert_eq!(
            incarnations.windows(2).any(|w| w[0] >= w[1]),
            is_disabled,
            "stored incarnation: {incarnations:?}"
        );
    }
}
