//! How permits are split over the proxies, and how the proxies change.

use lynxstair::types::{Span, Time};
use lynxstair_control_state::membership_planner::{
    MAX_CONFIRMATION_AGE, MEMBERSHIP_VALIDITY, MembershipPlanner,
};
use lynxstair_control_state::proxy_membership::{Members, PermitShare, PermitSplit, ProxyMembership};

const ZONES: [&str; 3] = ["a", "b", "c"];

fn name(zone: &str, number: usize) -> String {
    format!("edge-{zone}-{number}")
}

/// The first so many proxies of each zone.
fn members(counts: [usize; 3]) -> Members {
    let of = |zone: &str, count| (0..count).map(|n| name(zone, n)).collect();
    ZONES.iter().zip(counts).map(|(zone, count)| (zone.to_string(), of(zone, count))).collect()
}

fn parts(membership: &ProxyMembership, counts: [usize; 3], item: &str, total: u32) -> Vec<PermitShare> {
    let nodes = ZONES.iter().zip(counts).flat_map(|(zone, count)| (0..count).map(move |n| (*zone, n)));
    nodes.map(|(z, n)| PermitSplit::new(membership, z, &name(z, n)).share("a", item, total)).collect()
}

fn sum(parts: &[PermitShare]) -> u32 {
    parts.iter().map(|part| part.permits).sum()
}

#[test]
fn all_parts_of_a_worker_come_to_the_whole() {
    for counts in [[1, 0, 0], [3, 2, 0], [16, 19, 4], [300, 1, 7]] {
        for total in [0, 1, 2, 9, 12, 17, 38, 400] {
            let membership = ProxyMembership::new(1, members(counts));
            let parts = parts(&membership, counts, "i-1", total);
            assert_eq!(sum(&parts), total, "{counts:?}, {total}");
            // Split evenly among those of the worker's zone, and among the others.
            for (among, count) in
                [(&parts[..counts[0]], counts[0]), (&parts[counts[0]..], counts[1] + counts[2])]
            {
                let most = among.iter().map(|part| part.permits).max().unwrap_or(0);
                assert!(most <= sum(among).div_ceil(count.max(1) as u32), "{counts:?}, {total}: {most}");
            }
        }
    }
}

#[test]
fn workers_have_different_holders() {
    let counts = [22, 0, 0];
    let membership = ProxyMembership::new(1, members(counts));
    let holds = |item: &str| parts(&membership, counts, item, 12).iter().filter(|p| p.permits > 0).count();
    assert!((0..50).all(|n| holds(&format!("i-{n}")) == 12));
    let split = PermitSplit::new(&membership, "a", &name("a", 0));
    let held = (0..200).filter(|n| split.share("a", &format!("i-{n}"), 12).permits > 0).count();
    assert!((85..135).contains(&held), "{held} of 200, 109 is its share");
}

#[test]
fn a_proxy_that_is_no_member_has_no_part() {
    let membership = ProxyMembership::new(1, members([4, 0, 0]));
    for split in [PermitSplit::new(&membership, "a", "edge-a-9"), PermitSplit::default()] {
        assert_eq!(split.share("a", "i-1", 40).permits, 0);
    }
}

/// Whoever has heard of the change or of its completion, the sum stays within the whole.
#[test]
fn members_before_in_and_after_a_change_together_keep_to_the_whole() {
    arbtest::arbtest(|u| {
        let counts = |u: &mut arbtest::arbitrary::Unstructured| -> arbtest::arbitrary::Result<_> {
            Ok([u.int_in_range(1..=30)?, u.int_in_range(0..=30)?, u.int_in_range(0..=3)?])
        };
        let (old, new, all) = (counts(u)?, counts(u)?, [30, 30, 3]);
        let total = u.int_in_range(0..=40)?;
        let before = ProxyMembership::new(1, members(old));
        let change = before.changed_to(members(new));
        let after = change.completed();
        for (held, other) in [(&before, &change), (&change, &after)] {
            let (held, other) = (parts(held, all, "i-1", total), parts(other, all, "i-1", total));
            // Each holds one of the two.
            let mixed = held.iter().zip(&other);
            let mixed: u32 = mixed
                .map(|(held, other)| Ok(if u.arbitrary()? { held.permits } else { other.permits }))
                .sum::<arbtest::arbitrary::Result<u32>>()?;
            assert!(mixed <= total, "{mixed} of {total}: {old:?} to {new:?}");
        }
        Ok(())
    });
}

/// While four proxies join twenty-two, those keep most of what they have.
#[test]
fn a_change_takes_little_from_those_that_stay() {
    let before = ProxyMembership::new(1, members([22, 0, 0]));
    let change = before.changed_to(members([26, 0, 0]));
    let kept: u32 = (0..50).map(|n| sum(&parts(&change, [26, 0, 0], &format!("i-{n}"), 12))).sum();
    assert!(kept > 50 * 9, "{kept} of {}", 50 * 12);
}

// ---- when the leader changes the members ----

fn at(ms: u64) -> Time {
    Time::from_nanos(100_000_000_000) + Span::from_millis(ms)
}

struct Leader {
    planner: MembershipPlanner,
    committed: ProxyMembership,
}

impl Leader {
    fn new(committed: ProxyMembership) -> Leader {
        Leader { planner: MembershipPlanner::default(), committed }
    }

    /// Heartbeats of the first so many proxies of each zone, from a time on for a second, with planning
    /// beside them; what is planned is committed. `reported`: the revision that they report.
    fn second(&mut self, from_ms: u64, counts: [usize; 3], reported: u64) {
        for ms in [from_ms, from_ms + 500] {
            for (zone, count) in ZONES.iter().zip(counts) {
                for n in 0..count {
                    self.planner.on_heartbeat(at(ms), &name(zone, n), zone, reported);
                }
            }
            if let Some(mut planned) = self.planner.plan(at(ms), true, &self.committed) {
                planned.revision = self.committed.revision + 1;
                self.committed = planned;
            }
        }
    }

    fn count(&self) -> usize {
        self.committed.current().values().map(Vec::len).sum()
    }
}

#[test]
fn the_first_members_are_all_that_a_leader_hears() {
    let mut leader = Leader::new(ProxyMembership::default());
    leader.second(0, [4, 3, 2], 0);
    assert!(leader.committed.is_empty(), "not all may have found it yet");
    for ms in [1_000, 2_000, 3_000] {
        leader.second(ms, [4, 3, 2], 0);
    }
    assert_eq!((leader.count(), leader.committed.is_changing()), (9, false));
    // Restarts, silence for a while and a zone that is cut off change nothing.
    let committed = leader.committed.clone();
    for s in 4..60 {
        leader.second(s * 1_000, [3, 3, 0], committed.revision);
    }
    assert_eq!(leader.committed, committed);
}

#[test]
fn proxies_that_join_are_members_once_all_before_them_have_heard_of_it() {
    let mut leader = Leader::new(ProxyMembership::new(5, members([4, 2, 0])));
    for s in 0..6 {
        leader.second(s * 1_000, [6, 2, 1], 5);
    }
    assert!(leader.committed.is_changing());
    assert_eq!((leader.committed.revision, leader.count()), (6, 6));
    // All but one report it: that one may act on the members before.
    for s in 6..30 {
        leader.second(s * 1_000, [6, 1, 1], 6);
    }
    assert!(leader.committed.is_changing());
    leader.second(30_000, [6, 2, 1], 6);
    assert_eq!((leader.committed.is_changing(), leader.count()), (false, 9));
}

#[test]
fn a_member_that_never_reports_holds_up_a_change_for_as_long_as_it_may_act_without_it() {
    let mut leader = Leader::new(ProxyMembership::new(5, members([4, 1, 0])));
    let valid_s = (MEMBERSHIP_VALIDITY + MAX_CONFIRMATION_AGE).nanos() / 1_000_000_000;
    for s in 0..valid_s {
        leader.second(s * 1_000, [6, 0, 0], 6);
        assert_eq!(leader.count(), 5, "{s} s");
    }
    for s in valid_s..valid_s + 60 {
        leader.second(s * 1_000, [6, 0, 0], 6);
    }
    // Its zone is silent as a whole, so it stays a member.
    assert_eq!((leader.committed.is_changing(), leader.count()), (false, 7));
}

/// A leader that has just begun does not know for how long a change has stood.
#[test]
fn a_new_leader_completes_a_change_by_reports_only() {
    let mut change = ProxyMembership::new(5, members([4, 1, 0])).changed_to(members([6, 1, 0]));
    change.revision = 9;
    let mut leader = Leader::new(change);
    for s in 0..20 {
        leader.second(s * 1_000, [6, 1, 0], 8);
    }
    assert!(leader.committed.is_changing());
    leader.second(20_000, [6, 1, 0], 9);
    assert_eq!((leader.committed.is_changing(), leader.count()), (false, 7));
    assert!(leader.planner.plan(at(21_000), false, &leader.committed).is_none(), "a follower plans nothing");
}
