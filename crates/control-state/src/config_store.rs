//! The book: the configuration in force and the zones that are evacuated, as one state that the core agrees on.
//! Every change of it is ruled on here.

use std::collections::BTreeSet;
use std::sync::{Arc, OnceLock};

use lynxstair_config::configuration::Configuration;
use lynxstair_config::json::{self, Fault, Value};
use lynxstair_config::table::{self, Sheet};
use lynxstair_protocol::digest;
use lynxstair_protocol::messages::Bytes;
use serde::{Deserialize, Serialize};

/// So many changes that were taken are remembered, to know them when they are sent again.
pub const REMEMBERED: usize = 1024;
/// Bytes of an order's identity, and with the version that it brought.
const MARK: usize = digest::LENGTH;
const KEPT: usize = 8 + MARK;

#[derive(Clone, Debug, Default)]
pub struct Book {
    /// Rises with each change.
    pub number: u64,
    /// The configuration's version, 0 for none.
    pub generation: u64,
    pub evacuated: BTreeSet<String>,
    sheet: Sheet,
    /// What the sheet says, once that was asked for; None where there is none yet, or this build can't act on it.
    configuration: Arc<OnceLock<Option<Arc<Configuration>>>>,
    /// Of the changes that were taken, the newest `REMEMBERED`: the version that each brought (eight bytes, the highest
    /// first) and its identity, one behind the other.
    marks: Bytes,
    /// The version of the newest change that was taken and whose identity is no longer held.
    forgotten: Option<u64>,
    /// Of the state that it was read from.
    bytes: usize,
}

/// A book as it lies on the disks of the core and goes between them.
#[derive(Serialize)]
struct Written<'a> {
    number: u64,
    sheet: &'a Sheet,
    evacuated: &'a BTreeSet<String>,
    marks: &'a Bytes,
    forgotten: Option<u64>,
}

#[derive(Deserialize)]
struct Found {
    number: u64,
    sheet: Option<Sheet>,
    evacuated: BTreeSet<String>,
    #[serde(default)]
    marks: Bytes,
    forgotten: Option<u64>,
    /// The whole configuration, as builds wrote it that held other identities.
    #[serde(default)]
    text: String,
}

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    Put(Vec<u8>),
    Patch(Vec<u8>),
    Evacuate(String),
    Return(String),
}

/// An order with what can be known of it without the book: whoever takes the order reads it before, so that the book
/// waits for none of that.
#[derive(Clone, Debug)]
pub struct Order {
    change: Change,
    mark: Option<[u8; MARK]>,
    read: Option<Read>,
}

/// What stands in it; not the text's values, which take twenty times its room.
#[derive(Clone, Debug)]
enum Read {
    Fault(Fault),
    Whole {
        base: u64,
        generation: Result<u64, Fault>,
        whole: Result<Box<(Sheet, Arc<Configuration>)>, Fault>,
    },
    /// By names.
    Part {
        base: u64,
        generation: Result<u64, Fault>,
        call: Value,
    },
}

/// What becomes of it.
#[derive(Clone, Debug, PartialEq)]
pub enum Ruling {
    /// The book becomes this.
    Take(Box<Book>),
    /// It is in the book already, or was.
    Taken,
    /// It may have been taken so long ago that nobody knows: neither acknowledged nor refused.
    Unclear,
    Refuse(u16, String),
}

/// What a change makes of the configuration.
enum Step {
    To(Box<Sheet>, Arc<Configuration>),
    /// It builds on another version than the one in place.
    NotHere,
    /// So does this one, and it may have been taken before all that is remembered.
    Forgotten,
}

/// The identity of a change of the configuration: it lies on disks, so every build and every machine must make the same
/// of the same bytes. BLAKE3 of what kind of order it is and its body, the first 16 bytes.
pub fn identity(change: &Change) -> Option<[u8; MARK]> {
    let (kind, body) = match change {
        Change::Put(body) => (1, body),
        Change::Patch(body) => (2, body),
        // These bring the same about however often they are sent, and carry nothing that tells two of them apart.
        Change::Evacuate(_) | Change::Return(_) => return None,
    };
    Some(digest::of([&[kind][..], body]))
}

impl Order {
    pub fn new(change: Change) -> Order {
        Order { mark: identity(&change), change, read: None }
    }

    /// How much there is to read.
    pub fn bytes(&self) -> usize {
        match &self.change {
            Change::Put(body) | Change::Patch(body) => body.len(),
            Change::Evacuate(_) | Change::Return(_) => 0,
        }
    }

    /// Reads and checks it, as far as that needs no book.
    pub fn read(&mut self) {
        self.read = Read::of(&self.change);
    }
}

impl Read {
    fn of(change: &Change) -> Option<Read> {
        let (Change::Put(body) | Change::Patch(body)) = change else { return None };
        let read = || -> Result<Read, Fault> {
            let call = json::read(body)?;
            let (base, generation) = (table::base(&call)?, table::generation(&call));
            if matches!(change, Change::Patch(_)) {
                return Ok(Read::Part { base, generation, call });
            }
            let sheet = Sheet::read(&call);
            drop(call);
            let whole = sheet.and_then(|s| Configuration::read(&s).map(|read| Box::new((s, Arc::new(read)))));
            Ok(Read::Whole { base, generation, whole })
        };
        Some(read().unwrap_or_else(Read::Fault))
    }
}

impl Book {
    pub fn read(state: &[u8]) -> Option<Book> {
        Book::default().after(state)
    }

    /// A book that was agreed on after this one. What is the same in both is shared, and not read again.
    pub fn after(&self, state: &[u8]) -> Option<Book> {
        if state.is_empty() {
            return Some(Book::default());
        }
        let found: Found = ciborium::from_reader(state).ok()?;
        let mut forgotten = found.forgotten;
        let mut sheet = match found.sheet {
            Some(sheet) => sheet,
            None if found.text.is_empty() => Sheet::default(),
            None => {
                let sheet = Sheet::read(&json::read(found.text.as_bytes()).ok()?).ok()?;
                // None of its changes can be told any more.
                forgotten = Some(sheet.generation);
                sheet
            }
        };
        sheet.share(&self.sheet);
        // Read now where that costs what has changed, else by whoever asks for it first.
        let configuration = Arc::new(match self.configuration.get() {
            Some(Some(_)) => OnceLock::from(self.configured(&sheet).ok().map(Arc::new)),
            _ => OnceLock::new(),
        });
        Some(Book {
            number: found.number,
            generation: sheet.generation,
            evacuated: found.evacuated,
            sheet,
            configuration,
            marks: found.marks,
            forgotten,
            bytes: state.len(),
        })
    }

    pub fn written(&self) -> Vec<u8> {
        let written = Written {
            number: self.number,
            sheet: &self.sheet,
            evacuated: &self.evacuated,
            marks: &self.marks,
            forgotten: self.forgotten,
        };
        let mut out = Vec::new();
        ciborium::into_writer(&written, &mut out).expect("written to memory");
        out
    }

    /// The configuration as it is given back; None where there is none yet.
    pub fn text(&self) -> Option<String> {
        (self.generation > 0).then(|| self.sheet.written())
    }

    /// Whether asking what it says costs nothing.
    pub fn is_read(&self) -> bool {
        self.generation == 0 || self.configuration.get().is_some()
    }

    /// How long the state was that it was read from.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub fn sheet(&self) -> &Sheet {
        &self.sheet
    }

    /// What it says. A large one takes a while the first time: a copy of the book, on another thread, may ask before.
    /// What an older build took and this one would refuse is kept, and given back, but none to act on.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        let read =
            || (self.generation > 0).then(|| Configuration::read(&self.sheet).ok().map(Arc::new)).flatten();
        self.configuration.get_or_init(read).as_ref()
    }

    /// What a sheet says that comes after this one.
    fn configured(&self, sheet: &Sheet) -> Result<Configuration, Fault> {
        let older = self.configuration().map(|c| (&self.sheet, &**c));
        Configuration::read_after(sheet, older)
    }

    /// Whether it was taken, as far as that is remembered.
    pub fn has_taken(&self, order: &Order) -> bool {
        order.mark.is_some_and(|mark| self.marks.0.chunks_exact(KEPT).any(|kept| kept.ends_with(&mark)))
    }

    pub fn rule(&self, order: &Order, zones: &[(String, String)]) -> Ruling {
        let change = &order.change;
        match change {
            Change::Put(_) | Change::Patch(_) => {
                if self.has_taken(order) {
                    return Ruling::Taken;
                }
                let new;
                let read = match &order.read {
                    Some(read) => Some(read),
                    None => {
                        new = Read::of(change);
                        new.as_ref()
                    }
                };
                let Some(read) = read else { return Ruling::Unclear };
                match self.changed(read) {
                    Ok(Step::To(sheet, read)) => Ruling::Take(Box::new(self.next(order, *sheet, read))),
                    Ok(Step::NotHere) => {
                        Ruling::Refuse(412, format!("base-version: {:08x} is in place", self.generation))
                    }
                    Ok(Step::Forgotten) => Ruling::Unclear,
                    Err(fault) => Ruling::Refuse(400, fault.to_string()),
                }
            }
            Change::Evacuate(zone) | Change::Return(zone) => {
                if !zones.iter().any(|(z, _)| z == zone) {
                    return Ruling::Refuse(404, format!("zone {zone}: unknown"));
                }
                let mut book = Book { number: self.number + 1, ..self.clone() };
                let is_new = match change {
                    Change::Evacuate(_) => book.evacuated.insert(zone.clone()),
                    _ => book.evacuated.remove(zone),
                };
                if is_new { Ruling::Take(Box::new(book)) } else { Ruling::Taken }
            }
        }
    }

    /// The book with this change taken, and remembered.
    fn next(&self, order: &Order, sheet: Sheet, configuration: Arc<Configuration>) -> Book {
        let mut book = Book {
            number: self.number + 1,
            generation: sheet.generation,
            evacuated: self.evacuated.clone(),
            sheet,
            configuration: Arc::new(OnceLock::from(Some(configuration))),
            marks: self.marks.clone(),
            forgotten: self.forgotten,
            bytes: self.bytes,
        };
        if let Some(mark) = order.mark {
            let marks = Arc::make_mut(&mut book.marks.0);
            marks.extend(book.generation.to_be_bytes());
            marks.extend(mark);
            let over = marks.len().saturating_sub(REMEMBERED * KEPT);
            for gone in marks.drain(..over).as_slice().chunks_exact(KEPT) {
                book.forgotten = gone.first_chunk().map(|g| u64::from_be_bytes(*g));
            }
        }
        book
    }

    /// What the change makes of the configuration.
    fn changed(&self, read: &Read) -> Result<Step, Fault> {
        let (base, generation) = match read {
            Read::Fault(fault) => return Err(fault.clone()),
            Read::Whole { base, generation, .. } | Read::Part { base, generation, .. } => (*base, generation),
        };
        if base != self.generation {
            // A change that was taken lies above its base, and the version in place no lower than it.
            let was_taken = |generation: &u64| base < *generation && Some(*generation) <= self.forgotten;
            let forgotten = generation.as_ref().is_ok_and(was_taken);
            return Ok(if forgotten { Step::Forgotten } else { Step::NotHere });
        }
        let generation = generation.clone()?;
        if generation <= self.generation {
            return json::fault(
                "generation",
                format!("{:08x} is not above {:08x}", generation, self.generation),
            );
        }
        match read {
            Read::Whole { whole, .. } => {
                let (mut sheet, configuration) = *whole.clone()?;
                sheet.share(&self.sheet);
                Ok(Step::To(Box::new(sheet), configuration))
            }
            Read::Part { .. } if self.generation == 0 => json::fault("body", "nothing to change yet"),
            Read::Part { call, .. } => {
                let sheet = self.sheet.patched(call)?;
                let configuration = self.configured(&sheet)?;
                Ok(Step::To(Box::new(sheet), Arc::new(configuration)))
            }
            Read::Fault(fault) => Err(fault.clone()),
        }
    }
}

impl PartialEq for Book {
    fn eq(&self, other: &Book) -> bool {
        // The configuration is what the sheet says.
        (self.number, self.forgotten) == (other.number, other.forgotten)
            && self.sheet == other.sheet
            && self.evacuated == other.evacuated
            && self.marks == other.marks
    }
}
