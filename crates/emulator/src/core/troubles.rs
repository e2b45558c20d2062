//! What befalls machines, and the stories that are made of it.

use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;

/// Whom it befalls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Whom {
    Leader,
    Follower,
    Any,
    /// The machine by this number, from the first start on; later ones are numbered on.
    Number(usize),
}

/// Times in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Trouble {
    Kill {
        whom: Whom,
        down: u64,
    },
    Power {
        whom: Whom,
        down: u64,
    },
    All {
        power: bool,
        down: u64,
    },
    /// One loses its disk with the power; at times all others lose power as well.
    Wipe {
        whom: Whom,
        others: bool,
        down: u64,
    },
    Freeze {
        whom: Whom,
        long: u64,
    },
    /// Nothing that it says reaches the other controllers, or it hears nothing of them.
    OneWay {
        whom: Whom,
        hears: bool,
        long: u64,
    },
    CutOff {
        whom: Whom,
        long: u64,
    },
    /// The leader and the newest machine on one side, all others on the other.
    Split {
        long: u64,
    },
    SlowDisk {
        whom: Whom,
        sync: u64,
        long: u64,
    },
    HangDisk {
        whom: Whom,
        long: u64,
    },
    FullDisk {
        whom: Whom,
        long: u64,
    },
    /// Told to end; back after so long with its disk, or for good.
    Term {
        whom: Whom,
        back: Option<u64>,
    },
    /// Gone for good, the disk with it.
    Gone {
        whom: Whom,
    },
    /// Gone; its disk is kept for a return.
    Removed {
        whom: Whom,
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
    AfterAck(Box<Trouble>),
    /// Whoever votes next loses power right after, and whom it voted for is cut off.
    AfterVote {
        long: u64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Story {
    /// Anything, one after another, inside the fault budget.
    Mixed,
    Replaced,
    Planned,
    FourInARow,
    WipedAfterAck,
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

impl Story {
    pub const ALL: [Story; 14] = [
        Story::Mixed,
        Story::Replaced,
        Story::Planned,
        Story::FourInARow,
        Story::WipedAfterAck,
        Story::AllAtOnce,
        Story::LeaderFrozen,
        Story::OneWay,
        Story::LeaderEnds,
        Story::RemovedReturns,
        Story::FiveByThree,
        Story::CutOff,
        Story::SplitInReplacement,
        Story::VoteThenPower,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Story::Mixed => "mixed",
            Story::Replaced => "replaced",
            Story::Planned => "planned",
            Story::FourInARow => "four-in-a-row",
            Story::WipedAfterAck => "wiped-after-ack",
            Story::AllAtOnce => "all-at-once",
            Story::LeaderFrozen => "leader-frozen",
            Story::OneWay => "one-way",
            Story::LeaderEnds => "leader-ends",
            Story::RemovedReturns => "removed-returns",
            Story::FiveByThree => "five-by-three",
            Story::CutOff => "cut-off",
            Story::SplitInReplacement => "split-in-replacement",
            Story::VoteThenPower => "vote-then-power",
        }
    }

    /// How many controllers there are at the start, and how many disks may be lost at once.
    pub(crate) fn size(self, chance: &mut Pcg64Mcg) -> (usize, usize) {
        let five = matches!(self, Story::FiveByThree)
            || matches!(self, Story::Mixed | Story::WipedAfterAck | Story::AllAtOnce)
                && chance.random_bool(0.3);
        if five { (5, 2) } else { (3, 1) }
    }

    /// What happens when, and when all is calm.
    pub(crate) fn plan(self, chance: &mut Pcg64Mcg) -> (Vec<(u64, Trouble)>, u64) {
        use Trouble::*;
        let mut at = 2_500 + chance.random_range(0..1_500);
        let mut all = Vec::new();
        let whom = |chance: &mut Pcg64Mcg| *[Whom::Leader, Whom::Follower].choose(chance).expect("two");
        match self {
            Story::Mixed | Story::FiveByThree => {
                for _ in 0..chance.random_range(3..7) {
                    all.push((at, any(chance)));
                    at += chance.random_range(300..5_000);
                }
            }
            Story::Replaced => {
                all.push((at, Gone { whom: whom(chance) }));
                at += chance.random_range(200..6_000);
                all.push((at, New { stale: chance.random_bool(0.5) }));
                at += 4_000 + chance.random_range(0..2_000);
                let next = whom(chance);
                all.push((
                    at,
                    [Kill { whom: next, down: 3_000 }, Gone { whom: next }][chance.random_range(0..2)]
                        .clone(),
                ));
                at += 6_000;
            }
            Story::Planned => {
                for _ in 0..2 {
                    all.push((at, New { stale: chance.random_bool(0.3) }));
                    at += chance.random_range(300..3_000);
                    all.push((at, Term { whom: whom(chance), back: None }));
                    at += 5_500 + chance.random_range(0..2_000);
                }
            }
            Story::FourInARow => {
                let planned = chance.random_bool(0.5);
                for n in 0..4 {
                    // The oldest first, so that none of the seeds is left.
                    let old = if n < 3 { Whom::Number(n) } else { whom(chance) };
                    if planned {
                        all.push((at, New { stale: false }));
                        at += chance.random_range(500..2_500);
                        all.push((at, Term { whom: old, back: None }));
                    } else {
                        all.push((at, Gone { whom: old }));
                        at += chance.random_range(300..3_000);
                        all.push((at, New { stale: chance.random_bool(0.3) }));
                    }
                    at += 5_000 + chance.random_range(0..1_500);
                }
            }
            Story::WipedAfterAck => {
                for _ in 0..2 {
                    // Two disks are slow, so that what is acknowledged lies on no more than it must.
                    for n in 0..2 {
                        let whom = if n == 0 { Whom::Follower } else { Whom::Any };
                        all.push((at, SlowDisk { whom, sync: chance.random_range(5..400), long: 2_500 }));
                    }
                    at += chance.random_range(100..1_000);
                    let others = chance.random_bool(0.7);
                    let wipe = Wipe { whom: whom(chance), others, down: chance.random_range(200..1_500) };
                    all.push((at, AfterAck(Box::new(wipe))));
                    at += 10_500;
                }
            }
            Story::AllAtOnce => {
                for _ in 0..3 {
                    let blow = All { power: chance.random_bool(0.5), down: chance.random_range(100..1_200) };
                    all.push((at, if chance.random_bool(0.5) { AfterAck(Box::new(blow)) } else { blow }));
                    at += chance.random_range(2_500..7_000);
                }
            }
            Story::LeaderFrozen => {
                for _ in 0..3 {
                    let long = chance.random_range(500..12_000);
                    all.push((at, Freeze { whom: Whom::Leader, long }));
                    at += long + chance.random_range(200..3_000);
                }
            }
            Story::OneWay => {
                for _ in 0..3 {
                    let long = chance.random_range(300..7_000);
                    all.push((at, OneWay { whom: whom(chance), hears: chance.random_bool(0.5), long }));
                    at += long + chance.random_range(200..3_000);
                }
            }
            Story::LeaderEnds => {
                for _ in 0..3 {
                    all.push((at, Term { whom: Whom::Leader, back: Some(chance.random_range(100..2_500)) }));
                    at += chance.random_range(4_500..8_000);
                }
            }
            Story::RemovedReturns => {
                all.push((at, Removed { whom: whom(chance) }));
                at += chance.random_range(200..1_500);
                all.push((at, New { stale: chance.random_bool(0.5) }));
                at += chance.random_range(4_500..7_000);
                all.push((at, Returns));
                at += chance.random_range(100..4_000);
                all.push((
                    at,
                    [CutOff { whom: Whom::Leader, long: 2_500 }, Freeze { whom: Whom::Leader, long: 3_000 }]
                        [chance.random_range(0..2)]
                    .clone(),
                ));
                at += 4_000;
            }
            Story::CutOff => {
                let long = chance.random_range(9_000..20_000);
                all.push((at, CutOff { whom: whom(chance), long }));
                at += long + 500;
            }
            Story::SplitInReplacement => {
                all.push((at, New { stale: false }));
                at += 4_600;
                // Half of the catch-up time later the silent one is replaced; right before that the leader and the
                // newcomer are cut from the other two.
                let long = chance.random_range(2_100..3_500);
                all.push((at, Freeze { whom: Whom::Follower, long }));
                at += chance.random_range(1_500..2_150);
                all.push((at, Split { long: chance.random_range(2_500..5_000) }));
                at += 6_000;
            }
            Story::VoteThenPower => {
                for _ in 0..5 {
                    all.push((at, AfterVote { long: chance.random_range(150..1_000) }));
                    all.push((at + 1, Kill { whom: Whom::Leader, down: chance.random_range(150..500) }));
                    at += 3_500 + chance.random_range(0..2_000);
                }
            }
        }
        (all, at + 500)
    }
}

fn any(chance: &mut Pcg64Mcg) -> Trouble {
    use Trouble::*;
    let whom = *[Whom::Leader, Whom::Follower, Whom::Any].choose(chance).expect("three");
    let (down, long) = (chance.random_range(100..2_500), chance.random_range(300..5_000));
    let blow = match chance.random_range(0..17) {
        0 => Kill { whom, down },
        1 => Power { whom, down },
        2 => All { power: false, down },
        3 => All { power: true, down },
        4 => Wipe { whom, others: false, down },
        5 => Wipe { whom, others: true, down },
        6 => Freeze { whom, long },
        7 => OneWay { whom, hears: false, long },
        8 => OneWay { whom, hears: true, long },
        9 => CutOff { whom, long },
        10 => SlowDisk { whom, sync: chance.random_range(10..2_000), long },
        11 => HangDisk { whom, long },
        12 => FullDisk { whom, long },
        13 => Term { whom, back: Some(down) },
        14 => Gone { whom },
        15 => EdgeCut { long },
        _ => EdgeFrozen { long },
    };
    let may_wait = !matches!(blow, EdgeCut { .. } | EdgeFrozen { .. } | SlowDisk { .. } | Gone { .. });
    if may_wait && chance.random_bool(0.3) { AfterAck(Box::new(blow)) } else { blow }
}
