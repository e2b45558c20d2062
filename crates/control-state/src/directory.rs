//! The directory of a hut: which gatekeepers clients may come to, as they say themselves on their lines to this hut,
//! and as the other huts have it from theirs. So a hut that no gatekeeper has found yet can answer as well.

use std::collections::HashMap;
use std::net::SocketAddr;

use lynxstair::types::{Span, Time};
use lynxstair_protocol::messages::{Edge, Readiness, Sighting};

/// A gatekeeper, or a hut, that said nothing for so long is left out.
const ABSENT: Span = Span::from_millis(2_500);
/// Who has said that it leaves is not named any more, whatever others still have of it; remembered for so long.
const REMEMBERED: Span = Span::from_millis(30_000);
/// Answers go by what was found out within so long, unless something changed since.
const FOUND: Span = Span::from_millis(50);
/// As many as an answer may name.
const MOST: usize = 64;

#[derive(Debug)]
struct Here {
    sighting: Sighting,
    heard_at: Time,
}

/// What another hut says.
#[derive(Debug, Default)]
struct There {
    heard_at: Time,
    has_gathered: bool,
    sightings: HashMap<String, Sighting>,
}

#[derive(Debug, Default)]
pub struct Directory {
    /// By the gatekeeper's name.
    here: HashMap<String, Here>,
    there: HashMap<SocketAddr, There>,
    /// What the other huts were told last of those here.
    told: HashMap<String, Sighting>,
    /// Lives that leave, and when that was heard.
    left: HashMap<String, (u64, Time)>,
    /// Those that could serve when they were heard last, by whichever hut.
    last: HashMap<String, (Edge, Time)>,
    /// Those that clients may come to, as of then: look-ups are many.
    found: Option<(Time, Vec<Edge>)>,
    /// Answers so far: each begins with another of them, so that all are named as often, and as early.
    answers: usize,
}

impl Directory {
    /// A gatekeeper says on its line to this hut how it is; whether others should hear of it at once.
    pub fn hear(&mut self, now: Time, edge: &Edge, readiness: Readiness) -> bool {
        self.note(now, edge, readiness);
        let sighting = Sighting { edge: edge.clone(), readiness };
        let old = self.here.insert(edge.node.clone(), Here { sighting, heard_at: now });
        let was = old.map(|o| (o.sighting.edge.life, o.sighting.readiness));
        let is_news = was != Some((edge.life, readiness));
        if is_news {
            self.found = None;
        }
        is_news
    }

    /// Its line to this hut has ended, unless a later life has one.
    pub fn end(&mut self, node: &str, life: u64) {
        if self.here.get(node).is_some_and(|h| h.sighting.edge.life == life) {
            self.here.remove(node);
            self.found = None;
        }
    }

    /// Another hut is there. What it said stands while it is heard: the end of one of its lines says nothing, as it may
    /// have opened another before.
    pub fn hear_hut(&mut self, now: Time, hut: SocketAddr) {
        if let Some(there) = self.there.get_mut(&hut) {
            there.heard_at = now;
        }
    }

    /// What another hut says of those that follow it.
    pub fn take(
        &mut self,
        now: Time,
        hut: SocketAddr,
        sightings: Vec<Sighting>,
        whole: bool,
        has_gathered: bool,
    ) {
        sightings.iter().for_each(|s| self.note(now, &s.edge, s.readiness));
        self.found = None;
        let there = self.there.entry(hut).or_default();
        (there.heard_at, there.has_gathered) = (now, has_gathered);
        if whole {
            there.sightings.clear();
        }
        for sighting in sightings {
            if sighting.readiness == Readiness::Gone {
                there.sightings.remove(&sighting.edge.node);
            } else {
                there.sightings.insert(sighting.edge.node.clone(), sighting);
            }
        }
    }

    fn note(&mut self, now: Time, edge: &Edge, readiness: Readiness) {
        match readiness {
            Readiness::Leaving => {
                self.left.insert(edge.node.clone(), (edge.life, now));
            }
            Readiness::Ready | Readiness::Stale => {
                self.last.insert(edge.node.clone(), (edge.clone(), now));
            }
            Readiness::Starting | Readiness::Gone => {}
        }
    }

    fn present(&self, now: Time) -> impl Iterator<Item = &Sighting> {
        self.here.values().filter(move |h| now - h.heard_at < ABSENT).map(|h| &h.sighting)
    }

    /// All that follow this hut.
    pub fn all(&self, now: Time) -> Vec<Sighting> {
        self.present(now).cloned().collect()
    }

    /// What changed since this was asked last; lets go of what is long over.
    pub fn news(&mut self, now: Time) -> Vec<Sighting> {
        self.left.retain(|_, (_, at)| now - *at < REMEMBERED);
        self.there.retain(|_, t| now - t.heard_at < REMEMBERED);
        self.last.retain(|_, (_, at)| now - *at < REMEMBERED);
        let present: HashMap<String, Sighting> =
            self.present(now).map(|s| (s.edge.node.clone(), s.clone())).collect();
        let is_news = |s: &&Sighting| self.told.get(&s.edge.node) != Some(*s);
        let mut news: Vec<Sighting> = present.values().filter(is_news).cloned().collect();
        let gone = self.told.values().filter(|t| !present.contains_key(&t.edge.node));
        news.extend(gone.map(|t| Sighting { readiness: Readiness::Gone, ..t.clone() }));
        self.told = present;
        news
    }

    /// Whether another hut that has been up for long told what it has: then this one need not wait for its own.
    pub fn knows_all(&self, now: Time) -> bool {
        self.there.values().any(|t| t.has_gathered && now - t.heard_at < ABSENT)
    }

    /// Whether this life has said that it leaves.
    fn has_left(&self, edge: &Edge) -> bool {
        !self.left.is_empty() && self.left.get(&edge.node).is_some_and(|(life, _)| *life == edge.life)
    }

    /// Those that clients may come to: all that some hut has as ready, else those that serve on with an older book.
    /// None that has said that it leaves, to whichever hut.
    pub fn open(&self, now: Time) -> Vec<&Edge> {
        let there = self.there.values().filter(|t| now - t.heard_at < ABSENT);
        let mut best: HashMap<&str, &Sighting> = HashMap::new();
        for sighting in self.present(now).chain(there.flat_map(|t| t.sightings.values())) {
            if self.has_left(&sighting.edge) {
                continue;
            }
            let node = &sighting.edge.node;
            let rank = |s: &Sighting| match s.readiness {
                Readiness::Ready => 2,
                Readiness::Stale => 1,
                _ => 0,
            };
            let other = best.get(node.as_str());
            if rank(sighting) > other.map_or(0, |o| rank(o)) {
                best.insert(node, sighting);
            }
        }
        let of = |readiness| best.values().filter(move |s| s.readiness == readiness).map(|s| &s.edge);
        let ready: Vec<&Edge> = of(Readiness::Ready).collect();
        if ready.is_empty() { of(Readiness::Stale).collect() } else { ready }
    }

    /// The answer to a client of this region: its own gatekeepers where there are any. Where no hut hears any
    /// gatekeeper, a hut in touch with the others names those that were there last: they may be cut off from the huts
    /// only. One out of touch names none then, as another hut may know better.
    pub fn answer(&mut self, now: Time, region: &str, in_touch: bool) -> Vec<SocketAddr> {
        if self.found.as_ref().is_none_or(|(at, _)| now - *at >= FOUND) {
            self.found = Some((now, self.open(now).into_iter().cloned().collect()));
        }
        let found = self.found.as_ref().map_or(&[][..], |(_, found)| found);
        let mut open: Vec<&Edge> = found.iter().collect();
        if open.is_empty() && in_touch {
            let last = self.last.values().filter(|(_, at)| now - *at < REMEMBERED).map(|(edge, _)| edge);
            open = last.filter(|edge| !self.has_left(edge)).collect();
        }
        let mut near: Vec<&Edge> = open.iter().copied().filter(|e| e.region == region).collect();
        if near.is_empty() {
            near = open;
        }
        if !near.is_empty() {
            self.answers = self.answers.wrapping_add(1);
            let first = self.answers % near.len();
            near.rotate_left(first);
        }
        near.truncate(MOST);
        near.iter().map(|e| e.front).collect()
    }
}
