//! Cores on a virtual clock, with a network that loses, delays and cuts, disks that are slow, lose what was not
//! synced with the power, or are emptied, and kills at any step. The judge knows only what was agreed on where and
//! what was acknowledged: states are lists of changes, and each must go on from the one before.

use std::collections::BTreeMap;

use lynxstair::rng::Rng;
use lynxstair::types::{Span, Time};
use lynxstair_cairn::{Cairn, Do, Node, Record};
use lynxstair_trailbook::words::Vote;

fn node(n: usize) -> Node {
    format!("10.0.0.{}:80", n + 1).parse().expect("an address")
}

struct Core {
    room: Option<Cairn>,
    disk: Option<Record>,
    /// Writes on their way to the disk: when they are synced.
    writes: Vec<(Time, u64, Record)>,
    back_at: Time,
    /// How slow its disk is.
    sync: Span,
    agreed: Vec<u8>,
}

struct World {
    now: Time,
    rng: Rng,
    cores: Vec<Core>,
    words: BTreeMap<(Time, u64), (usize, usize, Vote)>,
    last: u64,
    cut: Option<(usize, Time)>,
    losses: f64,
    /// What was acknowledged, and the longest list agreed on so far.
    acked: Vec<u8>,
    longest: Vec<u8>,
    next_change: u8,
    open: Vec<(usize, u64, u8)>,
    emptied_until: Option<usize>,
}

impl World {
    fn new(seed: u64, n: usize) -> World {
        let now = Time::from_nanos(1_000_000_000);
        let mut world = World {
            now,
            rng: Rng::new(seed),
            cores: Vec::new(),
            words: BTreeMap::new(),
            last: 0,
            cut: None,
            losses: 0.02,
            acked: Vec::new(),
            longest: Vec::new(),
            next_change: 0,
            open: Vec::new(),
            emptied_until: None,
        };
        for _ in 0..n {
            let core = Core {
                room: None,
                disk: None,
                writes: Vec::new(),
                back_at: now,
                sync: Span::from_millis(1),
                agreed: Vec::new(),
            };
            world.cores.push(core);
        }
        (0..n).for_each(|c| world.start(c, true));
        world
    }

    fn start(&mut self, c: usize, bootstrap: bool) {
        // Of five, three are named at the start; the others knock.
        let seeds: Vec<Node> = (0..self.cores.len().min(3)).map(node).collect();
        let seed = u64::from(self.rng.draw());
        let found = self.cores[c].disk.clone();
        self.cores[c].room = Some(Cairn::start(self.now, node(c), &seeds, seed, found, bootstrap));
        self.act(c);
    }

    /// Power is lost (or the process killed, where `keeps` what was written but not synced).
    fn stop(&mut self, c: usize, keeps: bool, down: Span) {
        let core = &mut self.cores[c];
        if keeps && let Some((_, _, record)) = core.writes.last() {
            core.disk = Some(record.clone());
        }
        core.writes.clear();
        core.room = None;
        core.agreed.clear();
        core.back_at = self.now + down;
        self.open.retain(|(at, _, _)| *at != c);
    }

    fn act(&mut self, c: usize) {
        loop {
            let Some(room) = &mut self.cores[c].room else { return };
            let todo = room.todo();
            if todo.is_empty() {
                return;
            }
            for item in todo {
                match item {
                    Do::Save(number, record) => {
                        let at = self.now + self.cores[c].sync;
                        self.cores[c].writes.push((at, number, record));
                    }
                    Do::Say(to, word) => {
                        let to = (0..self.cores.len()).find(|n| node(*n) == to).expect("a core");
                        let is_cut = self.cut.is_some_and(|(who, _)| who == c || who == to);
                        if !is_cut && self.rng.unit() >= self.losses {
                            let delay = Span::from_secs(0.0005 + 0.004 * self.rng.unit().powi(3));
                            self.last += 1;
                            self.words.insert((self.now + delay, self.last), (c, to, word));
                        }
                    }
                    Do::Agreed(_, state) => self.agreed(c, &state.0),
                    Do::Settled(number, agreed) => {
                        let which = self.open.iter().position(|(at, n, _)| (*at, *n) == (c, number));
                        if let Some(which) = which {
                            let (_, _, change) = self.open.remove(which);
                            if agreed {
                                self.acked.push(change);
                            }
                        }
                    }
                }
            }
        }
    }

    fn agreed(&mut self, c: usize, state: &[u8]) {
        let old = &self.cores[c].agreed;
        assert!(state.starts_with(old), "core {c} goes back from {old:?} to {state:?}");
        self.cores[c].agreed = state.to_vec();
        if state.len() > self.longest.len() {
            assert!(state.starts_with(&self.longest), "{:?} was agreed on, and now {state:?}", self.longest);
            self.longest = state.to_vec();
        } else {
            assert!(self.longest.starts_with(state), "{:?} was agreed on, and also {state:?}", self.longest);
        }
    }

    fn step(&mut self) {
        self.now = self.now + Span::from_millis(1);
        for c in 0..self.cores.len() {
            if self.cores[c].room.is_none() {
                if self.now >= self.cores[c].back_at {
                    self.start(c, false);
                }
                continue;
            }
            while let Some((at, number, record)) = self.cores[c].writes.first().cloned()
                && at <= self.now
            {
                self.cores[c].writes.remove(0);
                self.cores[c].disk = Some(record);
                let now = self.now;
                self.cores[c].room.as_mut().expect("runs").saved(now, number);
                self.act(c);
            }
            let now = self.now;
            self.cores[c].room.as_mut().expect("runs").tick(now);
            self.act(c);
            // Every core keeps a line to the founders, and so is seen by them.
            let knocker = (now.nanos() / 1_000_000) as usize % self.cores.len();
            if self.cores[knocker].room.is_some() && self.cut.is_none() {
                self.cores[c].room.as_mut().expect("runs").knock(now, node(knocker));
                self.act(c);
            }
        }
        while let Some(first) = self.words.first_entry()
            && first.key().0 <= self.now
        {
            let (from, to, word) = first.remove();
            let now = self.now;
            if let Some(room) = &mut self.cores[to].room {
                room.hear(now, node(from), word);
                self.act(to);
            }
        }
        if self.cut.is_some_and(|(_, until)| self.now >= until) {
            self.cut = None;
        }
    }

    /// An operator asks whoever leads.
    fn propose(&mut self) {
        for c in 0..self.cores.len() {
            let mut state = self.cores[c].agreed.clone();
            let Some(room) = &mut self.cores[c].room else { continue };
            if room.leads() && !room.is_open() && self.next_change < 250 {
                state.push(self.next_change);
                if let Some(number) = room.propose(self.now, state) {
                    self.open.push((c, number, self.next_change));
                    self.next_change += 1;
                }
                self.act(c);
            }
        }
    }

    fn leader(&self) -> Option<usize> {
        (0..self.cores.len()).find(|c| self.cores[*c].room.as_ref().is_some_and(Cairn::leads))
    }

    fn trouble(&mut self) {
        let n = self.cores.len();
        let c = match (self.rng.draw() % 2, self.leader()) {
            (0, Some(leader)) => leader,
            _ => self.rng.draw() as usize % n,
        };
        match self.rng.draw() % 8 {
            0 => self.stop(c, true, Span::from_millis(300)),
            1 => self.stop(c, false, Span::from_millis(900)),
            2 => self.cut = Some((c, self.now + Span::from_millis(2500))),
            3 => self.cores[c].sync = Span::from_millis([1, 1, 30, 1500][self.rng.draw() as usize % 4]),
            4 => (0..n).for_each(|c| self.stop(c, false, Span::from_millis(400))),
            5 => (0..n).for_each(|c| self.stop(c, true, Span::from_millis(200))),
            // One disk is emptied, at times while all others lose power; not before the last one is well again.
            kind => {
                let is_well = |e: usize| {
                    self.cores[e].disk.as_ref().is_some_and(|d| d.lost.is_none())
                        && self.cores[e].room.is_some()
                        && self.cores[e].agreed == self.longest
                };
                if self.emptied_until.is_none_or(is_well) {
                    self.emptied_until = Some(c);
                    if kind == 7 {
                        (0..n).for_each(|c| self.stop(c, false, Span::from_millis(500)));
                    }
                    self.stop(c, false, Span::from_millis(500));
                    self.cores[c].disk = None;
                }
            }
        }
    }
}

fn story(seed: u64, n: usize) {
    let mut world = World::new(seed, n);
    for ms in 0..14_000 {
        world.step();
        if world.rng.unit() < 0.02 {
            world.propose();
        }
        if ms > 1500 && ms < 10_000 && world.rng.unit() < 0.0012 {
            world.trouble();
        }
        if ms == 10_500 {
            world.losses = 0.0;
            world.cores.iter_mut().for_each(|c| c.sync = Span::from_millis(1));
        }
    }
    let leader = world.leader().unwrap_or_else(|| {
        let disk = |c: &Core| c.disk.as_ref().map(|d| (d.term, d.vote, d.stamp, d.lost));
        let disks: Vec<_> = world.cores.iter().map(disk).collect();
        panic!("seed {seed}: nobody leads after all is calm: {disks:?}")
    });
    let agreed = &world.cores[leader].agreed;
    for acked in &world.acked {
        assert!(agreed.contains(acked), "seed {seed}: {acked} was acknowledged and is lost from {agreed:?}");
    }
    assert!(!world.acked.is_empty(), "seed {seed}: nothing was ever acknowledged");
}

/// What was acknowledged outlives everything the operators' fault budget names, and nobody goes back.
#[test]
fn stories_of_three() {
    (0..300).for_each(|seed| story(seed, 3));
}

#[test]
fn stories_of_five() {
    (0..80).for_each(|seed| story(1000 + seed, 5));
}

/// A core alone can neither lead nor say that it is sure of anything.
#[test]
fn alone_nobody_leads() {
    let now = Time::from_nanos(1_000_000_000);
    let seeds: Vec<Node> = (0..3).map(node).collect();
    let mut room = Cairn::start(now, node(0), &seeds, 7, None, true);
    for ms in 0..5000 {
        room.tick(now + Span::from_millis(ms));
        room.todo();
    }
    assert!(!room.leads() && room.sure_at().is_none() && room.propose(now, vec![1]).is_none());
}
