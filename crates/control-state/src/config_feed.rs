//! What a gatekeeper of the road acts on: one book at a time, never an older one; and how the huts bring it there with
//! few bytes: the whole of it once, then what changed.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use lynxstair::types::{Span, Time};
use lynxstair_config::configuration::Configuration;
use lynxstair_config::table::{Changed, Name, Sheet};
use serde::{Deserialize, Serialize};

use crate::config_store::Book;

/// One version, as all decisions on a request see it.
#[derive(Debug)]
pub struct Version {
    pub number: u64,
    pub configuration: Arc<Configuration>,
    pub evacuated: BTreeSet<String>,
}

/// The book, as it goes to a gatekeeper.
#[derive(Debug, Serialize, Deserialize)]
enum Page {
    Whole {
        sheet: Sheet,
        evacuated: BTreeSet<String>,
    },
    /// What became of the book by the number `from`.
    Delta {
        from: u64,
        generation: u64,
        rest: Option<String>,
        lists: [Rows; 3],
        evacuated: BTreeSet<String>,
        /// Of the sheet that comes of it.
        digest: [u8; 16],
    },
}

/// What became of a list: names that are gone, and rows that are new or others.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Rows {
    gone: Vec<String>,
    set: Vec<(String, String)>,
}

/// What changed from one book that was agreed on to the next, by names.
#[derive(Debug)]
struct Step {
    from: u64,
    to: u64,
    lists: [Changed; 3],
    rest: bool,
}

/// So many names of changed rows are held.
const MOST_NAMES: usize = 4_096;

/// The newest steps from book to book, without a gap: what a gatekeeper that holds an older one has to be told.
#[derive(Debug, Default)]
pub struct Steps {
    steps: VecDeque<Step>,
    names: usize,
}

impl Steps {
    /// A book was agreed on after another.
    pub fn note(&mut self, older: &Book, newer: &Book) {
        if self.steps.back().is_some_and(|last| last.to != older.number) {
            self.clear();
        }
        let (old, new) = (older.sheet(), newer.sheet());
        let changed: Vec<Changed> =
            new.lists.iter().zip(&old.lists).filter_map(|(new, old)| new.changed(old)).collect();
        let Ok(lists) = <[Changed; 3]>::try_from(changed) else { return self.clear() };
        let step = Step { from: older.number, to: newer.number, lists, rest: old.rest != new.rest };
        self.names += step.names();
        self.steps.push_back(step);
        while self.names > MOST_NAMES
            && let Some(step) = self.steps.pop_front()
        {
            self.names -= step.names();
        }
    }

    fn clear(&mut self) {
        *self = Steps::default();
    }

    /// The book for a gatekeeper that holds the one by the number `have`, 0 for none.
    pub fn page(&self, book: &Book, have: u64) -> Vec<u8> {
        let page = self.delta(book, have).unwrap_or_else(|| Page::Whole {
            sheet: book.sheet().clone(),
            evacuated: book.evacuated.clone(),
        });
        let mut out = Vec::new();
        ciborium::into_writer(&page, &mut out).expect("written to memory");
        out
    }

    fn delta(&self, book: &Book, have: u64) -> Option<Page> {
        let first = self.steps.iter().position(|s| s.from == have)?;
        let steps = || self.steps.range(first..);
        if self.steps.back()?.to != book.number {
            return None;
        }
        let sheet = book.sheet();
        let lists = std::array::from_fn(|n| {
            // A row goes as it is now, whatever it was in between.
            let names: BTreeSet<&Name> =
                steps().flat_map(|s| s.lists[n].gone.iter().chain(&s.lists[n].set)).collect();
            let mut rows = Rows::default();
            for name in names {
                match sheet.lists[n].rows().get(name) {
                    Some(cells) => rows.set.push((name.to_string(), cells.to_string())),
                    None => rows.gone.push(name.to_string()),
                }
            }
            rows
        });
        Some(Page::Delta {
            from: have,
            generation: sheet.generation,
            rest: steps().any(|s| s.rest).then(|| sheet.rest.clone()),
            lists,
            evacuated: book.evacuated.clone(),
            digest: sheet.digest(),
        })
    }
}

impl Step {
    fn names(&self) -> usize {
        // A step without names takes room as well.
        1 + self.lists.iter().map(|l| l.gone.len() + l.set.len()).sum::<usize>()
    }
}

/// What a gatekeeper holds of the book.
#[derive(Debug, Default)]
pub struct Mirror {
    version: Option<Arc<Version>>,
    sheet: Sheet,
    number: u64,
    /// A page did not fit what is here: the whole book is wanted.
    is_lost: bool,
    /// When each zone was last taken back.
    returned: Vec<(String, Time)>,
}

impl Mirror {
    /// A book that was agreed on, as a page. Whether it is newer than what is in force; then it is in force from now on.
    pub fn take(&mut self, now: Time, number: u64, page: &[u8]) -> bool {
        if number < self.number || number == self.number && !self.is_lost {
            return false;
        }
        let Ok(page) = ciborium::from_reader(page) else {
            self.is_lost = true;
            return false;
        };
        let (sheet, evacuated) = match page {
            Page::Whole { mut sheet, evacuated } => {
                sheet.share(&self.sheet);
                (sheet, evacuated)
            }
            // It builds on a book that is not the one here: the hut hears by the next word which one is.
            Page::Delta { from, .. } if from != self.number => return false,
            Page::Delta { generation, rest, lists, evacuated, digest, .. } => {
                let mut sheet = Sheet { generation, ..self.sheet.clone() };
                sheet.rest = rest.unwrap_or(sheet.rest);
                for (list, rows) in sheet.lists.iter_mut().zip(lists) {
                    rows.gone.iter().for_each(|name| list.remove(name));
                    rows.set.into_iter().for_each(|(name, cells)| list.set(&name, cells.into()));
                }
                if sheet.digest() != digest {
                    self.is_lost = true;
                    return false;
                }
                (sheet, evacuated)
            }
        };
        let is_new = number > self.number;
        self.is_lost = false;
        self.number = number;
        if let Some(old) = &self.version {
            for zone in old.evacuated.difference(&evacuated) {
                self.returned.retain(|(z, _)| z != zone);
                self.returned.push((zone.clone(), now));
            }
        }
        let older = self.version.as_ref().map(|v| (&self.sheet, &*v.configuration));
        // Where the last sheet could not be read, the version in force is of one before it.
        let older = older.filter(|(sheet, read)| sheet.generation == read.generation);
        let read = (sheet.generation > 0).then(|| Configuration::read_after(&sheet, older));
        // Zones are emptied also where the configuration of another build can't be read.
        let configuration = match read {
            Some(Ok(configuration)) => Some(Arc::new(configuration)),
            _ => self.version.as_ref().map(|v| v.configuration.clone()),
        };
        if let Some(configuration) = configuration {
            self.version = Some(Arc::new(Version { number, configuration, evacuated }));
        }
        self.sheet = sheet;
        is_new
    }

    pub fn number(&self) -> u64 {
        self.number
    }

    /// Which book the huts may build on: none where the whole is wanted.
    pub fn have(&self) -> u64 {
        if self.is_lost { 0 } else { self.number }
    }

    pub fn version(&self) -> Option<Arc<Version>> {
        self.version.clone()
    }

    pub fn returned_at(&self, zone: &str) -> Option<Time> {
        self.returned.iter().find(|(z, _)| z == zone).map(|(_, at)| *at)
    }
}

/// Whoever has not come further for so long gets the book from any hut.
const LACKS: Span = Span::from_millis(800);
/// A book that was sent on a line either comes or the line ends; this is for what neither side knows of.
const LOST: Span = Span::from_millis(2_500);
/// What a slow link takes for a byte: 2 Mbit/s.
const BYTE: Span = Span::from_nanos(4_000);

/// A book that is on its way.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Flight {
    /// What the gatekeeper held when it was sent.
    over: u64,
    number: u64,
    at: Time,
    bytes: usize,
}

/// What a hut knows of one gatekeeper's book, on one line. One book at most is on its way: the next one goes when the
/// gatekeeper has said what it holds, and brings all that came in between.
#[derive(Debug, Default)]
pub struct Sent {
    /// What it said last, and since when that is so.
    have: Option<(u64, Time)>,
    flight: Option<Flight>,
}

impl Sent {
    /// The gatekeeper says what it holds.
    pub fn hear(&mut self, now: Time, have: u64) {
        if self.have.is_none_or(|(before, _)| before != have) {
            self.have = Some((have, now));
        }
        // Another one than it was sent over: it came, or does not fit any more.
        let is_over = |f: &Flight| have != f.over || now - f.at > LOST + BYTE.times(f.bytes as f64);
        if self.flight.as_ref().is_some_and(is_over) {
            self.flight = None;
        }
    }

    /// Whether it is to be sent the book by this number now, of `bytes` in whole; then over which one that it holds. The
    /// leader sends at once; other huts wait whether it comes from there.
    pub fn due(&mut self, now: Time, number: u64, leads: bool, bytes: usize) -> Option<u64> {
        let (have, since) = self.have.as_mut()?;
        if *have >= number {
            *since = now;
            return None;
        }
        let waited = now - *since >= LACKS + BYTE.times(bytes as f64);
        (self.flight.is_none() && (leads || waited)).then_some(*have)
    }

    /// The book by this number goes to it, in so many bytes.
    pub fn flies(&mut self, now: Time, number: u64, bytes: usize) {
        let over = self.have.map_or(0, |(have, _)| have);
        self.flight = Some(Flight { over, number, at: now, bytes });
    }
}
