//! The book: the configuration in force and the zones that are evacuated, as one state that the core agrees on.
//! Every change of it is ruled on here.

use std::collections::{BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use lynxstair_trailbook::configuration::Configuration;
use lynxstair_trailbook::sheet::{self, Sheet};
use lynxstair_trailbook::values::{self, Fault, Value};
use serde::{Deserialize, Serialize};

/// So many changes that were taken are remembered, to know them when they are sent again.
const REMEMBERED: usize = 256;

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Book {
    /// Rises with each change.
    pub number: u64,
    /// The configuration's version, 0 for none.
    pub generation: u64,
    /// The configuration as it is given back; empty for none.
    pub text: String,
    pub evacuated: BTreeSet<String>,
    /// What was taken, by its hashes.
    taken: VecDeque<(u64, u64)>,
}

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    Put(Vec<u8>),
    Patch(Vec<u8>),
    Evacuate(String),
    Return(String),
}

/// What becomes of it.
#[derive(Clone, Debug, PartialEq)]
pub enum Ruling {
    /// The book becomes this.
    Take(Box<Book>),
    /// It is in the book already.
    Taken,
    Refuse(u16, String),
}

fn mark(change: &Change) -> (u64, u64) {
    let hash = |salt: u64| {
        let mut hasher = DefaultHasher::new();
        salt.hash(&mut hasher);
        match change {
            Change::Put(body) => (1u8, body).hash(&mut hasher),
            Change::Patch(body) => (2u8, body).hash(&mut hasher),
            Change::Evacuate(zone) => (3u8, zone).hash(&mut hasher),
            Change::Return(zone) => (4u8, zone).hash(&mut hasher),
        }
        hasher.finish()
    };
    (hash(0x6c79), hash(0x6e78))
}

impl Book {
    pub fn read(state: &[u8]) -> Option<Book> {
        if state.is_empty() {
            return Some(Book::default());
        }
        ciborium::from_reader(state).ok()
    }

    pub fn written(&self) -> Vec<u8> {
        let mut out = Vec::new();
        ciborium::into_writer(self, &mut out).expect("written to memory");
        out
    }

    /// What a gatekeeper needs of it: without what only the core asks for.
    pub fn for_the_road(&self) -> Vec<u8> {
        Book { taken: VecDeque::new(), ..self.clone() }.written()
    }

    pub fn configuration(&self) -> Option<Configuration> {
        let value = values::read(self.text.as_bytes()).ok()?;
        Configuration::read(&Sheet::read(&value).ok()?).ok()
    }

    pub fn rule(&self, change: &Change, zones: &[(String, String)]) -> Ruling {
        let mark = mark(change);
        match change {
            Change::Put(body) | Change::Patch(body) => {
                if self.taken.contains(&mark) {
                    return Ruling::Taken;
                }
                let call = match values::read(body) {
                    Ok(call) => call,
                    Err(fault) => return Ruling::Refuse(400, fault.to_string()),
                };
                match self.changed(change, &call) {
                    Ok(Ok(sheet)) => {
                        let mut taken = self.taken.clone();
                        taken.push_back(mark);
                        if taken.len() > REMEMBERED {
                            taken.pop_front();
                        }
                        Ruling::Take(Box::new(Book {
                            number: self.number + 1,
                            generation: sheet.generation,
                            text: sheet.written(),
                            evacuated: self.evacuated.clone(),
                            taken,
                        }))
                    }
                    Ok(Err(current)) => {
                        Ruling::Refuse(412, format!("base-version: {current:08x} is in place"))
                    }
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

    /// The new sheet, or the version in place where the change builds on another.
    fn changed(&self, change: &Change, call: &Value) -> Result<Result<Sheet, u64>, Fault> {
        if sheet::base(call)? != self.generation {
            return Ok(Err(self.generation));
        }
        let generation = sheet::generation(call)?;
        if generation <= self.generation {
            return values::fault(
                "generation",
                format!("{:08x} is not above {:08x}", generation, self.generation),
            );
        }
        let sheet = match change {
            Change::Patch(_) if self.text.is_empty() => {
                return values::fault("body", "nothing to change yet");
            }
            Change::Patch(_) => Sheet::read(&values::read(self.text.as_bytes())?)?.patched(call)?,
            _ => Sheet::read(call)?,
        };
        Configuration::read(&sheet)?;
        Ok(Ok(sheet))
    }
}

#[cfg(test)]
mod tests {
    use super::{Book, Change, Ruling};

    fn put(generation: u32, base: u32, note: &str) -> Change {
        Change::Put(
            format!(
                r#"{{"generation":"{generation:08x}","base-version":"{base:08x}","note":"{note}",
                "routes":{{"columns":["name","host","path-prefix","route-kind","service"],"rows":[["r","h","/","safe","s"]]}},
                "services":{{"columns":["name"],"rows":[["s"]]}}}}"#
            )
            .into_bytes(),
        )
    }

    fn take(book: &Book, change: &Change) -> Book {
        match book.rule(change, &[("z".into(), "r".into())]) {
            Ruling::Take(book) => *book,
            other => panic!("{other:?}"),
        }
    }

    /// One of two racers wins; the winner's same bytes are known again, also after later versions; nothing that is
    /// refused leaves a trace.
    #[test]
    fn one_of_two_wins() {
        let zones = [("z".to_string(), "r".to_string())];
        let status = |book: &Book, change: &Change| match book.rule(change, &zones) {
            Ruling::Take(_) | Ruling::Taken => 200,
            Ruling::Refuse(status, _) => status,
        };
        let first = take(&Book::default(), &put(3, 0, ""));
        let (a, b) = (put(7, 3, "a"), put(8, 3, "b"));
        let second = take(&first, &a);
        assert_eq!((status(&second, &b), second.rule(&a, &zones)), (412, Ruling::Taken));
        let third = take(&second, &put(9, 7, ""));
        assert_eq!(third.rule(&a, &zones), Ruling::Taken);
        assert_eq!(status(&third, &put(9, 9, "x")), 400, "a generation not above");
        assert_eq!(status(&third, &put(10, 3, "x")), 412);
        assert_eq!(Book::read(&third.written()).as_ref(), Some(&third));
        let patch = Change::Patch(
            br#"{"generation":"0000000a","base-version":"00000009","remove":{"services":["s"]}}"#.to_vec(),
        );
        assert_eq!(status(&third, &patch), 400, "a route would name no service");
        let patch = Change::Patch(
            br#"{"generation":"0000000a","base-version":"00000009","remove":{"routes":["r"]}}"#.to_vec(),
        );
        assert!(take(&third, &patch).configuration().is_some_and(|c| c.routes.is_empty()));
    }

    #[test]
    fn zones_are_emptied_and_taken_back() {
        let zones = [("z".to_string(), "r".to_string())];
        let change = Change::Evacuate("z".into());
        let book = take(&Book::default(), &change);
        assert!(book.evacuated.contains("z"));
        assert_eq!(book.rule(&change, &zones), Ruling::Taken);
        let book = take(&book, &Change::Return("z".into()));
        assert!(book.evacuated.is_empty());
        assert!(matches!(book.rule(&Change::Evacuate("y".into()), &zones), Ruling::Refuse(404, _)));
    }
}
