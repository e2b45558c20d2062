//! Faults of the simulation, and the scenarios that inject them.
//!
//! To add a fault, add a variant to [`Fault`], implement it in `world/fault_actions.rs`, and draw it in a
//! scenario or in `draw_fault`.

use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;

/// Controller that a fault hits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Target {
    Leader,
    Follower,
    Any,
    /// Controller with this number, in the order of their deployment.
    Number(usize),
}

/// Injected fault. Times are in milliseconds: `down` is the time until the restart, `long` the duration
/// of the fault. The event log prints the names of variants and fields.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Fault {
    /// The process crashes.
    Kill { target: Target, down: u64 },
    /// The machine loses power.
    Power { target: Target, down: u64 },
    /// All controllers crash, or all lose power.
    All { power: bool, down: u64 },
    /// A controller loses power and its disk. With `others`, all other controllers lose power as well.
    Wipe { target: Target, others: bool, down: u64 },
    /// All controllers lose power, and as many as tolerated lose their disks.
    WipeToBudget { target: Target, down: u64 },
    /// The process is paused.
    Freeze { target: Target, long: u64 },
    /// Messages to the other controllers are cut if `hears` is `true`, otherwise messages from them.
    OneWay { target: Target, hears: bool, long: u64 },
    /// All links to the other controllers are cut.
    CutOff { target: Target, long: u64 },
    /// Partition: the leader and the newest controller on one side, all others on the other.
    Split { long: u64 },
    /// Each write takes `sync`.
    SlowDisk { target: Target, sync: u64, long: u64 },
    /// No write completes.
    HangDisk { target: Target, long: u64 },
    /// Writes fail.
    FullDisk { target: Target, long: u64 },
    /// Graceful shutdown. The controller restarts with its disk `back` after the grace period, or never.
    Term { target: Target, back: Option<u64> },
    /// The machine is lost for good, with its disk.
    Gone { target: Target },
    /// The machine is removed; its disk is kept until it returns.
    Removed { target: Target },
    /// The removed machine returns.
    Returns,
    /// A machine is added. With `stale`, its seeds come from the outdated list of controllers.
    New { stale: bool },
    /// Links between a proxy and one or all controllers are cut, in one or both directions.
    EdgeCut { long: u64 },
    /// A proxy process is paused.
    EdgeFrozen { long: u64 },
    /// Injects a fault after the next acknowledgement of a command.
    AfterAck(Box<Fault>),
    /// The next voter loses power right after its vote, and the candidate is cut off.
    AfterVote { long: u64 },
}

/// Kind of run. The seed determines its faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Random faults within the fault budget.
    Mixed,
    /// A controller is lost and replaced.
    Replaced,
    /// Controllers are replaced as planned: the new one starts before the old one shuts down gracefully.
    Planned,
    /// Four controllers are replaced one after another, the seeds first.
    FourInARow,
    /// Controllers lose their disks right after an acknowledgement, at times while all others lose power.
    WipedAfterAck,
    /// Two of five controllers lose their disks right after an acknowledgement while all lose power.
    WipedToBudget,
    /// All controllers crash or lose power at once.
    AllAtOnce,
    /// The leader is paused.
    LeaderFrozen,
    /// Links of a controller are cut in one direction.
    OneWay,
    /// The leader shuts down gracefully and restarts.
    LeaderEnds,
    /// A removed controller returns after its replacement.
    RemovedReturns,
    /// Random faults with five controllers, of which three are seeds.
    FiveByThree,
    /// A controller is cut off for 9 to 20 seconds.
    CutOff,
    /// The network is partitioned during the replacement of a voter.
    SplitInReplacement,
    /// A voter loses power right after its vote.
    VoteThenPower,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Scenario; 15] = [
        Scenario::Mixed,
        Scenario::Replaced,
        Scenario::Planned,
        Scenario::FourInARow,
        Scenario::WipedAfterAck,
        Scenario::WipedToBudget,
        Scenario::AllAtOnce,
        Scenario::LeaderFrozen,
        Scenario::OneWay,
        Scenario::LeaderEnds,
        Scenario::RemovedReturns,
        Scenario::FiveByThree,
        Scenario::CutOff,
        Scenario::SplitInReplacement,
        Scenario::VoteThenPower,
    ];

    /// Name in commands and output.
    pub fn name(self) -> &'static str {
        match self {
            Scenario::Mixed => "mixed",
            Scenario::Replaced => "replaced",
            Scenario::Planned => "planned",
            Scenario::FourInARow => "four-in-a-row",
            Scenario::WipedAfterAck => "wiped-after-ack",
            Scenario::WipedToBudget => "wiped-to-budget",
            Scenario::AllAtOnce => "all-at-once",
            Scenario::LeaderFrozen => "leader-frozen",
            Scenario::OneWay => "one-way",
            Scenario::LeaderEnds => "leader-ends",
            Scenario::RemovedReturns => "removed-returns",
            Scenario::FiveByThree => "five-by-three",
            Scenario::CutOff => "cut-off",
            Scenario::SplitInReplacement => "split-in-replacement",
            Scenario::VoteThenPower => "vote-then-power",
        }
    }

    /// Draws the number of controllers at the start and of tolerated disk losses.
    pub(crate) fn size(self, rng: &mut Pcg64Mcg) -> (usize, usize) {
        let five = matches!(self, Scenario::FiveByThree | Scenario::WipedToBudget)
            || matches!(self, Scenario::Mixed | Scenario::WipedAfterAck | Scenario::AllAtOnce)
                && rng.random_bool(0.3);
        if five { (5, 2) } else { (3, 1) }
    }

    /// Draws the faults with their times, and the time at which all faults end, in milliseconds.
    pub(crate) fn plan(self, rng: &mut Pcg64Mcg) -> (Vec<(u64, Fault)>, u64) {
        use Fault::*;
        let mut at = 2_500 + rng.random_range(0..1_500);
        let mut faults = Vec::new();
        let target = |rng: &mut Pcg64Mcg| *[Target::Leader, Target::Follower].choose(rng).expect("two");
        match self {
            Scenario::Mixed | Scenario::FiveByThree => {
                for _ in 0..rng.random_range(3..7) {
                    faults.push((at, draw_fault(rng)));
                    at += rng.random_range(300..5_000);
                }
            }
            Scenario::Replaced => {
                faults.push((at, Gone { target: target(rng) }));
                at += rng.random_range(200..6_000);
                faults.push((at, New { stale: rng.random_bool(0.5) }));
                at += 4_000 + rng.random_range(0..2_000);
                let next = target(rng);
                faults.push((
                    at,
                    [Kill { target: next, down: 3_000 }, Gone { target: next }][rng.random_range(0..2)]
                        .clone(),
                ));
                at += 6_000;
            }
            Scenario::Planned => {
                for _ in 0..2 {
                    faults.push((at, New { stale: rng.random_bool(0.3) }));
                    at += rng.random_range(300..3_000);
                    faults.push((at, Term { target: target(rng), back: None }));
                    at += 5_500 + rng.random_range(0..2_000);
                }
            }
            Scenario::FourInARow => {
                let is_planned = rng.random_bool(0.5);
                for n in 0..4 {
                    // The oldest first, to replace all seeds.
                    let old = if n < 3 { Target::Number(n) } else { target(rng) };
                    if is_planned {
                        faults.push((at, New { stale: false }));
                        at += rng.random_range(500..2_500);
                        faults.push((at, Term { target: old, back: None }));
                    } else {
                        faults.push((at, Gone { target: old }));
                        at += rng.random_range(300..3_000);
                        faults.push((at, New { stale: rng.random_bool(0.3) }));
                    }
                    at += 5_000 + rng.random_range(0..1_500);
                }
            }
            Scenario::WipedAfterAck => {
                for _ in 0..2 {
                    // With slow disks, an acknowledged change is often stored on only a majority of them.
                    for n in 0..2 {
                        let target = if n == 0 { Target::Follower } else { Target::Any };
                        faults.push((at, SlowDisk { target, sync: rng.random_range(5..400), long: 2_500 }));
                    }
                    at += rng.random_range(100..1_000);
                    let others = rng.random_bool(0.7);
                    let wipe = Wipe { target: target(rng), others, down: rng.random_range(200..1_500) };
                    faults.push((at, AfterAck(Box::new(wipe))));
                    at += 10_500;
                }
            }
            Scenario::WipedToBudget => {
                for _ in 0..2 {
                    let slow = |target| SlowDisk { target, sync: 400, long: 2_500 };
                    faults.extend([(at, slow(Target::Follower)), (at, slow(Target::Any))]);
                    at += rng.random_range(100..1_000);
                    let wipe = WipeToBudget { target: target(rng), down: rng.random_range(200..1_500) };
                    faults.push((at, AfterAck(Box::new(wipe))));
                    at += 10_500;
                }
            }
            Scenario::AllAtOnce => {
                for _ in 0..3 {
                    let fault = All { power: rng.random_bool(0.5), down: rng.random_range(100..1_200) };
                    faults.push((at, if rng.random_bool(0.5) { AfterAck(Box::new(fault)) } else { fault }));
                    at += rng.random_range(2_500..7_000);
                }
            }
            Scenario::LeaderFrozen => {
                for _ in 0..3 {
                    let long = rng.random_range(500..12_000);
                    faults.push((at, Freeze { target: Target::Leader, long }));
                    at += long + rng.random_range(200..3_000);
                }
            }
            Scenario::OneWay => {
                for _ in 0..3 {
                    let long = rng.random_range(300..7_000);
                    faults.push((at, OneWay { target: target(rng), hears: rng.random_bool(0.5), long }));
                    at += long + rng.random_range(200..3_000);
                }
            }
            Scenario::LeaderEnds => {
                for _ in 0..3 {
                    faults.push((
                        at,
                        Term { target: Target::Leader, back: Some(rng.random_range(100..2_500)) },
                    ));
                    at += rng.random_range(4_500..8_000);
                }
            }
            Scenario::RemovedReturns => {
                faults.push((at, Removed { target: target(rng) }));
                at += rng.random_range(200..1_500);
                faults.push((at, New { stale: rng.random_bool(0.5) }));
                at += rng.random_range(4_500..7_000);
                faults.push((at, Returns));
                at += rng.random_range(100..4_000);
                faults.push((
                    at,
                    [
                        CutOff { target: Target::Leader, long: 2_500 },
                        Freeze { target: Target::Leader, long: 3_000 },
                    ][rng.random_range(0..2)]
                    .clone(),
                ));
                at += 4_000;
            }
            Scenario::CutOff => {
                let long = rng.random_range(9_000..20_000);
                faults.push((at, CutOff { target: target(rng), long }));
                at += long + 500;
            }
            Scenario::SplitInReplacement => {
                faults.push((at, New { stale: false }));
                at += 4_600;
                // The paused voter is replaced after half of the catch-up time. Just before, the leader
                // and the new controller are cut from the other two.
                let long = rng.random_range(2_100..3_500);
                faults.push((at, Freeze { target: Target::Follower, long }));
                at += rng.random_range(1_500..2_150);
                faults.push((at, Split { long: rng.random_range(2_500..5_000) }));
                at += 6_000;
            }
            Scenario::VoteThenPower => {
                for _ in 0..5 {
                    faults.push((at, AfterVote { long: rng.random_range(150..1_000) }));
                    faults.push((at + 1, Kill { target: Target::Leader, down: rng.random_range(150..500) }));
                    at += 3_500 + rng.random_range(0..2_000);
                }
            }
        }
        (faults, at + 500)
    }
}

/// Draws a fault for mixed scenarios.
fn draw_fault(rng: &mut Pcg64Mcg) -> Fault {
    use Fault::*;
    let target = *[Target::Leader, Target::Follower, Target::Any].choose(rng).expect("three");
    let (down, long) = (rng.random_range(100..2_500), rng.random_range(300..5_000));
    let fault = match rng.random_range(0..17) {
        0 => Kill { target, down },
        1 => Power { target, down },
        2 => All { power: false, down },
        3 => All { power: true, down },
        4 => Wipe { target, others: false, down },
        5 => Wipe { target, others: true, down },
        6 => Freeze { target, long },
        7 => OneWay { target, hears: false, long },
        8 => OneWay { target, hears: true, long },
        9 => CutOff { target, long },
        10 => SlowDisk { target, sync: rng.random_range(10..2_000), long },
        11 => HangDisk { target, long },
        12 => FullDisk { target, long },
        13 => Term { target, back: Some(down) },
        14 => Gone { target },
        15 => EdgeCut { long },
        _ => EdgeFrozen { long },
    };
    let may_follow_ack = !matches!(fault, EdgeCut { .. } | EdgeFrozen { .. } | SlowDisk { .. } | Gone { .. });
    if may_follow_ack && rng.random_bool(0.3) { AfterAck(Box::new(fault)) } else { fault }
}
