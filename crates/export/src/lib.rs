//! Units of use on their way from the gatekeepers to a sink, once and only once. No input, output, clock or
//! thread: `crates/cluster` does those, `crates/fakes` has a sink.
//!
//! Each gatekeeper writes a [`Use`] down before it hands a succeeded answer to its client, seals what it wrote
//! into numbered [`Batch`]es, and lets go of one only once the sink has it. The owner of the duty `export`
//! carries batches to the sink. A batch is the same whoever carries it and however often: its name is the
//! gatekeeper's records and a number, so the sink takes each once ([`Shelf`]), in order, and refuses whoever
//! comes with a lower epoch than it saw.
#![forbid(unsafe_code)]

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// A use on disk, in bytes.
pub const USE_BYTES: usize = 32;
/// The length of a window, in seconds since 1970.
pub const WINDOW_SECONDS: u64 = 60;
/// No batch has more sums.
pub const MOST_SUMS: usize = 4_096;

/// The units of one succeeded invocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Use {
    pub customer: u64,
    pub operation: u8,
    /// Whole windows since 1970 when the final answer was given.
    pub window: u32,
    /// Thousandths of a unit.
    pub milli: u32,
}

impl Use {
    pub fn written(&self) -> [u8; USE_BYTES] {
        let mut bytes = [0; USE_BYTES];
        bytes[0] = 1;
        bytes[1] = self.operation;
        bytes[4..12].copy_from_slice(&self.customer.to_be_bytes());
        bytes[12..16].copy_from_slice(&self.window.to_be_bytes());
        bytes[16..20].copy_from_slice(&self.milli.to_be_bytes());
        let checksum = crc32fast::hash(&bytes[..28]).to_be_bytes();
        bytes[28..].copy_from_slice(&checksum);
        bytes
    }

    /// None: these bytes are none of ours, or were changed.
    pub fn read(bytes: &[u8]) -> Option<Use> {
        let whole: &[u8; USE_BYTES] = bytes.try_into().ok()?;
        if whole[0] != 1 || whole[28..] != crc32fast::hash(&whole[..28]).to_be_bytes() {
            return None;
        }
        Some(Use {
            operation: whole[1],
            customer: u64::from_be_bytes(whole[4..12].try_into().ok()?),
            window: u32::from_be_bytes(whole[12..16].try_into().ok()?),
            milli: u32::from_be_bytes(whole[16..20].try_into().ok()?),
        })
    }
}

/// Whose records: a gatekeeper, and which folder of its, drawn when that began. An emptied folder begins another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stream {
    pub gatekeeper: String,
    pub folder: u64,
}

/// What one customer used in one window by one operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Sum {
    pub customer: u64,
    pub operation: u8,
    pub window: u32,
    pub milli: u64,
}

/// Some uses put together. The number grows by one with each; the content never changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    pub stream: Stream,
    pub number: u64,
    pub sums: Vec<Sum>,
    /// Records that could not be read: how many uses are missing here, as far as can be told.
    pub unread: u64,
}

impl Batch {
    /// Of the bytes of one segment. What was cut short at its end was never answered, and is none.
    pub fn of(stream: Stream, number: u64, segment: &[u8]) -> Batch {
        let mut sums: BTreeMap<(u64, u8, u32), u64> = BTreeMap::new();
        let mut unread = 0;
        for bytes in segment.chunks_exact(USE_BYTES) {
            match Use::read(bytes) {
                Some(u) => {
                    *sums.entry((u.customer, u.operation, u.window)).or_default() += u64::from(u.milli)
                }
                None => unread += 1,
            }
        }
        let sum = |((customer, operation, window), milli)| Sum { customer, operation, window, milli };
        Batch { stream, number, sums: sums.into_iter().map(sum).collect(), unread }
    }

    pub fn milli(&self) -> u64 {
        self.sums.iter().map(|s| s.milli).sum()
    }

    /// Two contents under one number are an error, and are told apart by this.
    pub fn checksum(&self) -> u32 {
        let mut hasher = crc32fast::Hasher::new();
        for s in &self.sums {
            hasher.update(&s.customer.to_be_bytes());
            hasher.update(&[s.operation]);
            hasher.update(&s.window.to_be_bytes());
            hasher.update(&s.milli.to_be_bytes());
        }
        hasher.update(&self.unread.to_be_bytes());
        hasher.finalize()
    }
}

/// What the owner says of a stream that it can't carry whole, so that it is not silently missing; and that it can
/// again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    pub stream: Stream,
    pub known: bool,
    pub why: String,
    /// Thousandths of a unit that were not exported yet when it was heard last; none: this owner never heard.
    pub last_known_milli: Option<u64>,
}

/// How far a sink is with one stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shelved {
    pub number: u64,
    pub checksum: u32,
    pub milli: u64,
}

/// What becomes of a batch at a sink.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "says")]
pub enum Says {
    /// It is there now, or was: once.
    Taken { again: bool },
    /// A higher epoch was seen: whoever comes is no owner any more.
    Refused { seen: u64 },
    /// Another one is next: what lies between was not brought, or the sink was set back.
    Gap { wanted: u64 },
    /// Another content under a number that is taken.
    Differs,
}

/// What a sink decides: which epochs were seen, and which batch of each stream is next. One function for each
/// change; the sink writes down what is asked of it before it answers.
#[derive(Clone, Debug, Default)]
pub struct Shelf {
    pub seen: u64,
    pub streams: BTreeMap<Stream, Shelved>,
    /// Streams of which something may be missing.
    pub unknown: BTreeMap<Stream, Mark>,
}

impl Shelf {
    /// A mark is on disk.
    pub fn mark(&mut self, epoch: u64, mark: &Mark) {
        self.seen = self.seen.max(epoch);
        if mark.known {
            self.unknown.remove(&mark.stream);
        } else {
            self.unknown.insert(mark.stream.clone(), mark.clone());
        }
    }

    /// Somebody comes with an epoch. False: a higher one was seen.
    pub fn see(&mut self, epoch: u64) -> bool {
        let holds = epoch >= self.seen;
        self.seen = self.seen.max(epoch);
        holds
    }

    /// What to say to a batch; nothing is changed yet.
    pub fn look(&self, epoch: u64, batch: &Batch) -> Says {
        if epoch < self.seen {
            return Says::Refused { seen: self.seen };
        }
        let shelved = self.streams.get(&batch.stream).copied().unwrap_or_default();
        match batch.number {
            n if n == shelved.number + 1 => Says::Taken { again: false },
            n if n == shelved.number && batch.checksum() != shelved.checksum => Says::Differs,
            n if n <= shelved.number => Says::Taken { again: true },
            _ => Says::Gap { wanted: shelved.number + 1 },
        }
    }

    /// It is on disk.
    pub fn take(&mut self, epoch: u64, batch: &Batch) {
        self.seen = self.seen.max(epoch);
        let shelved = self.streams.entry(batch.stream.clone()).or_default();
        shelved.number = batch.number;
        shelved.checksum = batch.checksum();
        shelved.milli += batch.milli();
    }
}

/// What the owner knows of the way from the gatekeepers to the sink, in one epoch.
#[derive(Clone, Debug, Default)]
pub struct Carrier {
    epoch: u64,
    /// As the sink has it; none: it was not asked in this epoch yet.
    shelf: Option<BTreeMap<Stream, Shelved>>,
    /// Streams whose next batch is not there to be had: the sink wants this one, the gatekeeper begins later.
    pub gaps: BTreeMap<Stream, (u64, u64)>,
    /// What each stream held when it was heard last, and since how many turns it was not.
    held: BTreeMap<Stream, (u64, u32)>,
    /// What the sink was told of streams.
    marked: BTreeMap<Stream, bool>,
}

/// A stream that was not heard in so many turns is told to be unknown.
const UNHEARD_TURNS: u32 = 12;

impl Carrier {
    /// The owner acts in this epoch now. What was known from an earlier one is forgotten.
    pub fn acts_in(&mut self, epoch: u64) {
        if self.epoch != epoch {
            *self = Carrier { epoch, ..Carrier::default() };
        }
    }

    pub fn knows_shelf(&self) -> bool {
        self.shelf.is_some()
    }

    pub fn shelf_is(&mut self, shelf: BTreeMap<Stream, Shelved>) {
        self.shelf = Some(shelf);
    }

    /// Up to which number a gatekeeper may let go of its batches; none: not known.
    pub fn has(&self, stream: &Stream) -> Option<u64> {
        self.shelf.as_ref().map(|s| s.get(stream).map_or(0, |s| s.number))
    }

    /// A gatekeeper was heard: this is its stream, and so much it holds.
    pub fn heard_of(&mut self, stream: &Stream, milli: u64) {
        self.held.insert(stream.clone(), (milli, 0));
    }

    /// All were asked once. What the sink is to be told of streams now: those not heard for long, those whose
    /// gatekeeper has begun another folder, and those that are heard again.
    pub fn after_a_turn(&mut self) -> Vec<Mark> {
        let Some(shelf) = &self.shelf else { return Vec::new() };
        let all: Vec<Stream> = shelf.keys().chain(self.held.keys()).cloned().collect();
        for (_, turns) in self.held.values_mut() {
            *turns += 1;
        }
        let mut marks = BTreeMap::new();
        for stream in all {
            let last = self.held.entry(stream.clone()).or_insert((u64::MAX, 1));
            let (milli, turns) = *last;
            let newer = |(s, (_, t)): (&Stream, &(u64, u32))| {
                s.gatekeeper == stream.gatekeeper && s.folder != stream.folder && *t == 1 && turns > 1
            };
            let replaced = self.held.iter().any(newer);
            let before = self.marked.get(&stream).copied().unwrap_or(true);
            // One that this owner never heard stays as the last owner had it told.
            let known = turns <= UNHEARD_TURNS && !replaced && (milli != u64::MAX || before);
            let why = match (known, replaced) {
                (true, _) => "heard again",
                (_, true) => "its gatekeeper has begun another folder",
                _ => "not heard",
            };
            if before != known {
                let last_known_milli = (milli != u64::MAX).then_some(milli);
                let why = why.to_string();
                marks.insert(stream.clone(), Mark { stream, known, why, last_known_milli });
            }
        }
        marks.into_values().collect()
    }

    /// The sink has a mark.
    pub fn marked(&mut self, mark: &Mark) {
        self.marked.insert(mark.stream.clone(), mark.known);
    }

    /// Streams that the sink holds for unknown, from an earlier owner.
    pub fn unknown_are(&mut self, streams: Vec<Stream>) {
        self.marked.extend(streams.into_iter().map(|s| (s, false)));
    }

    /// Whether this batch is the one to be written now.
    pub fn is_next(&mut self, batch: &Batch) -> bool {
        let Some(has) = self.has(&batch.stream) else { return false };
        if batch.number > has + 1 {
            // Never papered over: what lies between was let go of because the sink once had it.
            self.gaps.insert(batch.stream.clone(), (has + 1, batch.number));
            return false;
        }
        self.gaps.remove(&batch.stream);
        batch.number == has + 1
    }

    /// What the sink said. True: this owner goes on; false: it must ask the sink anew, or is no owner.
    pub fn heard(&mut self, batch: &Batch, says: &Says) -> bool {
        match says {
            Says::Taken { .. } => {
                if let Some(shelf) = self.shelf.as_mut() {
                    let shelved = shelf.entry(batch.stream.clone()).or_default();
                    shelved.number = shelved.number.max(batch.number);
                }
                true
            }
            Says::Refused { .. } | Says::Gap { .. } | Says::Differs => {
                self.shelf = None;
                false
            }
        }
    }
}

#[cfg(test)]
mod tests;
