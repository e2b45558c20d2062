//! The faults of the core's simulation, and the scenarios that are made of them.
//!
//! To add a fault: a variant of [`Fault`]; what it does in `world/fault_actions.rs`; and a scenario that draws it, or
//! `any`, from which mixed scenarios draw.

use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;

/// The machine that a fault hits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Target {
    Leader,
    Follower,
    Any,
    /// The machine by this number, from the first start on; later ones are numbered on.
    Number(usize),
}

/// A fault. Times in milliseconds: `down` and `long` say how long it lasts.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Fault {
    Kill {
        target: Target,
        down: u64,
    },
    Power {
        target: Target,
        down: u64,
    },
    All {
        power: bool,
        down: u64,
    },
    /// One loses its disk with the power; at times all others lose power as well.
    Wipe {
        target: Target,
        others: bool,
        down: u64,
    },
    /// As many lose their disks with the power as the budget allows, and all others lose power at the same moment.
    WipeToBudget {
        target: Target,
        down: u64,
    },
    Freeze {
        target: Target,
        long: u64,
    },
    /// Nothing that it says reaches the other controllers, or it hears nothing of them.
    OneWay {
        target: Target,
        hears: bool,
        long: u64,
    },
    CutOff {
        target: Target,
        long: u64,
    },
    /// The leader and the newest machine on one side, all others on the other.
    Split {
        long: u64,
    },
    SlowDisk {
        target: Target,
        sync: u64,
        long: u64,
    },
    HangDisk {
        target: Target,
        long: u64,
    },
    FullDisk {
        target: Target,
        long: u64,
    },
    /// CallOutput to end; back after so long with its disk, or for good.
    Term {
        target: Target,
        back: Option<u64>,
    },
    /// Gone for good, the disk with it.
    Gone {
        target: Target,
    },
    /// Gone; its disk is kept for a return.
    Removed {
        target: Target,
    },
    Returns,
    New {
        stale: bool,
    },
    EdgeCut {
        long: u64,
    },
    EdgeFrozen {
        long: u64,
    },
    /// At the next change that a controller has committed or acknowledged.
    AfterAck(Box<Fault>),
    /// Whoever votes next loses power right after, and whom it voted for is cut off.
    AfterVote {
        long: u64,
    },
}

/// A scenario: the faults of one run, drawn from its seed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Anything, one after another, inside the fault budget.
    Mixed,
    Replaced,
    Planned,
    FourInARow,
    WipedAfterAck,
    /// Five controllers, two of which lose their disks right after an acknowledgement while the rest loses power.
    WipedToBudget,
    AllAtOnce,
    LeaderFrozen,
    OneWay,
    LeaderEnds,
    RemovedReturns,
    FiveByThree,
    CutOff,
    SplitInReplacement,
    VoteThenPower,
}

impl Scenario {
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

    /// How many controllers there are at the start, and how many disks may be lost at once.
    pub(crate) fn size(self, chance: &mut Pcg64Mcg) -> (usize, usize) {
        let five = matches!(self, Scenario::FiveByThree | Scenario::WipedToBudget)
            || matches!(self, Scenario::Mixed | Scenario::WipedAfterAck | Scenario::AllAtOnce)
                && chance.random_bool(0.3);
        if five { (5, 2) } else { (3, 1) }
    }

    /// What happens when, and when all is calm.
    pub(crate) fn plan(self, chance: &mut Pcg64Mcg) -> (Vec<(u64, Fault)>, u64) {
        use Fault::*;
        let mut at = 2_500 + chance.random_range(0..1_500);
        let mut all = Vec::new();
        let target = |chance: &mut Pcg64Mcg| *[Target::Leader, Target::Follower].choose(chance).expect("two");
        match self {
            Scenario::Mixed | Scenario::FiveByThree => {
                for _ in 0..chance.random_range(3..7) {
                    all.push((at, any(chance)));
                    at += chance.random_range(300..5_000);
                }
            }
            Scenario::Replaced => {
                all.push((at, Gone { target: target(chance) }));
                at += chance.random_range(200..6_000);
                all.push((at, New { stale: chance.random_bool(0.5) }));
                at += 4_000 + chance.random_range(0..2_000);
                let next = target(chance);
                all.push((
                    at,
                    [Kill { target: next, down: 3_000 }, Gone { target: next }][chance.random_range(0..2)]
                        .clone(),
                ));
                at += 6_000;
            }
            Scenario::Planned => {
                for _ in 0..2 {
                    all.push((at, New { stale: chance.random_bool(0.3) }));
                    at += chance.random_range(300..3_000);
                    all.push((at, Term { target: target(chance), back: None }));
                    at += 5_500 + chance.random_range(0..2_000);
                }
            }
            Scenario::FourInARow => {
                let planned = chance.random_bool(0.5);
                for n in 0..4 {
                    // The oldest first, so that none of the seeds is left.
                    let old = if n < 3 { Target::Number(n) } else { target(chance) };
                    if planned {
                        all.push((at, New { stale: false }));
                        at += chance.random_range(500..2_500);
                        all.push((at, Term { target: old, back: None }));
                    } else {
                        all.push((at, Gone { target: old }));
                        at += chance.random_range(300..3_000);
                        all.push((at, New { stale: chance.random_bool(0.3) }));
                    }
                    at += 5_000 + chance.random_range(0..1_500);
                }
            }
            Scenario::WipedAfterAck => {
                for _ in 0..2 {
                    // Two disks are slow, so that what is acknowledged lies on no more than it must.
                    for n in 0..2 {
                        let target = if n == 0 { Target::Follower } else { Target::Any };
                        all.push((at, SlowDisk { target, sync: chance.random_range(5..400), long: 2_500 }));
                    }
                    at += chance.random_range(100..1_000);
                    let others = chance.random_bool(0.7);
                    let wipe = Wipe { target: target(chance), others, down: chance.random_range(200..1_500) };
                    all.push((at, AfterAck(Box::new(wipe))));
                    at += 10_500;
                }
            }
            Scenario::WipedToBudget => {
                for _ in 0..2 {
                    let slow = |target| SlowDisk { target, sync: 400, long: 2_500 };
                    all.extend([(at, slow(Target::Follower)), (at, slow(Target::Any))]);
                    at += chance.random_range(100..1_000);
                    let wipe = WipeToBudget { target: target(chance), down: chance.random_range(200..1_500) };
                    all.push((at, AfterAck(Box::new(wipe))));
                    at += 10_500;
                }
            }
            Scenario::AllAtOnce => {
                for _ in 0..3 {
                    let fault = All { power: chance.random_bool(0.5), down: chance.random_range(100..1_200) };
                    all.push((at, if chance.random_bool(0.5) { AfterAck(Box::new(fault)) } else { fault }));
                    at += chance.random_range(2_500..7_000);
                }
            }
            Scenario::LeaderFrozen => {
                for _ in 0..3 {
                    let long = chance.random_range(500..12_000);
                    all.push((at, Freeze { target: Target::Leader, long }));
                    at += long + chance.random_range(200..3_000);
                }
            }
            Scenario::OneWay => {
                for _ in 0..3 {
                    let long = chance.random_range(300..7_000);
                    all.push((at, OneWay { target: target(chance), hears: chance.random_bool(0.5), long }));
                    at += long + chance.random_range(200..3_000);
                }
            }
            Scenario::LeaderEnds => {
                for _ in 0..3 {
                    all.push((
                        at,
                        Term { target: Target::Leader, back: Some(chance.random_range(100..2_500)) },
                    ));
                    at += chance.random_range(4_500..8_000);
                }
            }
            Scenario::RemovedReturns => {
                all.push((at, Removed { target: target(chance) }));
                at += chance.random_range(200..1_500);
                all.push((at, New { stale: chance.random_bool(0.5) }));
                at += chance.random_range(4_500..7_000);
                all.push((at, Returns));
                at += chance.random_range(100..4_000);
                all.push((
                    at,
                    [
                        CutOff { target: Target::Leader, long: 2_500 },
                        Freeze { target: Target::Leader, long: 3_000 },
                    ][chance.random_range(0..2)]
                    .clone(),
                ));
                at += 4_000;
            }
            Scenario::CutOff => {
                let long = chance.random_range(9_000..20_000);
                all.push((at, CutOff { target: target(chance), long }));
                at += long + 500;
            }
            Scenario::SplitInReplacement => {
                all.push((at, New { stale: false }));
                at += 4_600;
                // Half of the catch-up time later the silent one is replaced; right before that the leader and the
                // newcomer are cut from the other two.
                let long = chance.random_range(2_100..3_500);
                all.push((at, Freeze { target: Target::Follower, long }));
                at += chance.random_range(1_500..2_150);
                all.push((at, Split { long: chance.random_range(2_500..5_000) }));
                at += 6_000;
            }
            Scenario::VoteThenPower => {
                for _ in 0..5 {
                    all.push((at, AfterVote { long: chance.random_range(150..1_000) }));
                    all.push((at + 1, Kill { target: Target::Leader, down: chance.random_range(150..500) }));
                    at += 3_500 + chance.random_range(0..2_000);
                }
            }
        }
        (all, at + 500)
    }
}

fn any(chance: &mut Pcg64Mcg) -> Fault {
    use Fault::*;
    let target = *[Target::Leader, Target::Follower, Target::Any].choose(chance).expect("three");
    let (down, long) = (chance.random_range(100..2_500), chance.random_range(300..5_000));
    let fault = match chance.random_range(0..17) {
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
        10 => SlowDisk { target, sync: chance.random_range(10..2_000), long },
        11 => HangDisk { target, long },
        12 => FullDisk { target, long },
        13 => Term { target, back: Some(down) },
        14 => Gone { target },
        15 => EdgeCut { long },
        _ => EdgeFrozen { long },
    };
    let may_wait = !matches!(fault, EdgeCut { .. } | EdgeFrozen { .. } | SlowDisk { .. } | Gone { .. });
    if may_wait && chance.random_bool(0.3) { AfterAck(Box::new(fault)) } else { fault }
}
