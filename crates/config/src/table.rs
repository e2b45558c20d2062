//! A configuration as the operator lays it out: three lists of named rows, and what stands beside them. It is kept,
//! changed, handed on and given back in this form; `configuration` reads out of it what the system acts on.
//!
//! A row is held as the text of its cells and shared between versions: a change costs what it names, not what there is.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::json::{self, Fault, Object, Value, at, fault, needed, path};
use lynxstair_protocol::digest;

/// The lists that a configuration is made of.
pub const LISTS: [&str; 3] = ["routes", "services", "tenants"];

/// The text of a row's cells but its name, in the order of the list's columns, with commas between them.
pub type Cells = Arc<str>;

pub type Name = Arc<str>;

/// One list: rows by their names, in the operator's order.
#[derive(Clone, Debug, Default)]
pub struct List {
    /// All but `name`.
    columns: Vec<String>,
    rows: IndexMap<Name, Cells>,
    /// The sum of the rows' digests: it changes with each row by itself.
    digest: u128,
}

/// What two lists differ in, by names.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changed {
    pub gone: Vec<Name>,
    pub set: Vec<Name>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sheet {
    pub generation: u64,
    pub lists: [List; 3],
    /// `limits`, and whatever later versions of the protocol add: an object's text.
    pub rest: String,
}

/// What a `PUT` or `PATCH` says of the version it builds on.
pub fn base(call: &Value) -> Result<u64, Fault> {
    let call = json::object(call, "body")?;
    at(call, "base-version").map_or(Ok(0), |v| json::version(v, "base-version"))
}

pub fn generation(call: &Value) -> Result<u64, Fault> {
    let call = json::object(call, "body")?;
    json::version(needed(call, "generation", "")?, "generation")
}

/// Whether what stands under this key has a place of its own.
fn is_own(key: &str) -> bool {
    LISTS.contains(&key) || matches!(key, "generation" | "base-version")
}

impl Sheet {
    /// A complete configuration.
    pub fn read(call: &Value) -> Result<Sheet, Fault> {
        let all = json::object(call, "body")?;
        let mut sheet = Sheet { generation: generation(call)?, ..Sheet::default() };
        for (list, name) in sheet.lists.iter_mut().zip(LISTS) {
            // Without tenants a configuration is whole; without the others it is not.
            match at(all, name) {
                Some(value) => list.put(value, name)?,
                None if name == "tenants" => {}
                None => return fault(name, "missing"),
            }
        }
        let rest = all.iter().filter(|(key, _)| !is_own(key)).map(|(k, v)| (k.clone(), v.clone())).collect();
        sheet.rest = json::written(&Value::Object(rest));
        Ok(sheet)
    }

    /// What this becomes by a change of named items.
    pub fn patched(&self, call: &Value) -> Result<Sheet, Fault> {
        let all = json::object(call, "body")?;
        let mut sheet = Sheet { generation: generation(call)?, ..self.clone() };
        let empty = Object::new();
        let part = |key: &str| at(all, key).map_or(Ok(&empty), |v| json::object(v, key));
        let (set, drop) = (part("upsert")?, part("remove")?);
        for (list, name) in sheet.lists.iter_mut().zip(LISTS) {
            if let Some(names) = at(drop, name) {
                let gone = json::texts(names, &path("remove", name))?;
                gone.iter().for_each(|name| list.remove(name));
            }
            if let Some(value) = at(set, name) {
                list.put(value, &path("upsert", name))?;
            }
        }
        let mut rest = self.rest()?;
        let mut is_changed = false;
        for (key, value) in set.iter().filter(|(k, v)| !is_own(k) && !v.is_null()) {
            rest.insert(key.clone(), value.clone());
            is_changed = true;
        }
        if is_changed {
            sheet.rest = json::written(&Value::Object(rest));
        }
        Ok(sheet)
    }

    /// What stands beside the lists.
    pub fn rest(&self) -> Result<Object, Fault> {
        if self.rest.is_empty() {
            return Ok(Object::new());
        }
        json::object(&json::read(self.rest.as_bytes())?, "body").cloned()
    }

    /// The whole configuration, laid out as it is put.
    pub fn written(&self) -> String {
        let mut out = format!("{{\"generation\":\"{:08x}\"", self.generation);
        for (list, name) in self.lists.iter().zip(LISTS) {
            if !(list.rows.is_empty() && name == "tenants") {
                out.push_str(&format!(",\"{name}\":"));
                list.write(&mut out);
            }
        }
        let rest = self.rest.trim_start_matches('{');
        if rest.len() > 1 {
            out.push(',');
        }
        out.push_str(if rest.is_empty() { "}" } else { rest });
        out
    }

    /// The same text for the same configuration, whatever order its rows came in.
    pub fn digest(&self) -> [u8; digest::LENGTH] {
        let generation = self.generation.to_be_bytes();
        let sums = self.lists.each_ref().map(|list| list.digest.to_be_bytes());
        let lists = self.lists.iter().zip(&sums).flat_map(|(list, sum)| {
            std::iter::once(&sum[..]).chain(list.columns.iter().flat_map(|c| [&[0][..], c.as_bytes()]))
        });
        digest::of([&generation[..], self.rest.as_bytes()].into_iter().chain(lists))
    }

    /// Shares with an older version what is the same in both.
    pub fn share(&mut self, older: &Sheet) {
        for (list, older) in self.lists.iter_mut().zip(&older.lists) {
            for (name, cells) in &mut list.rows {
                if let Some(old) = older.rows.get(name).filter(|old| *old == cells) {
                    *cells = old.clone();
                }
            }
        }
    }
}

impl List {
    pub fn columns(&self) -> &[String] {
        &self.columns
    }

    pub fn rows(&self) -> &IndexMap<Name, Cells> {
        &self.rows
    }

    /// Whether it is the very same: no row differs, nor does their order.
    pub fn is(&self, other: &List) -> bool {
        self.columns == other.columns
            && self.rows.len() == other.rows.len()
            && self.rows.iter().zip(&other.rows).all(|((a, x), (b, y))| same(x, y) && a == b)
    }

    /// What became of `older`; None where all rows are read in another way.
    pub fn changed(&self, older: &List) -> Option<Changed> {
        let has = |list: &List, name: &Name| list.rows.contains_key(name);
        (self.columns == older.columns).then(|| Changed {
            gone: older.rows.keys().filter(|n| !has(self, n)).cloned().collect(),
            set: self
                .rows
                .iter()
                .filter(|(n, cells)| older.rows.get(*n).is_none_or(|old| !same(old, cells)))
                .map(|(n, _)| n.clone())
                .collect(),
        })
    }

    pub fn remove(&mut self, name: &str) {
        if let Some(old) = self.rows.shift_remove(name) {
            self.digest = self.digest.wrapping_sub(digest_of(name, &old));
        }
    }

    /// Puts a row where the one of its name stands, else behind all others.
    pub fn set(&mut self, name: &str, cells: Cells) {
        if self.rows.get(name).is_some_and(|old| same(old, &cells)) {
            return;
        }
        self.digest = self.digest.wrapping_add(digest_of(name, &cells));
        if let Some(old) = self.rows.insert(name.into(), cells) {
            self.digest = self.digest.wrapping_sub(digest_of(name, &old));
        }
    }

    /// Adds or replaces what a list of columns and rows holds. Null means a value is left out.
    fn put(&mut self, value: &Value, name: &str) -> Result<(), Fault> {
        let both = json::object(value, name)?;
        let columns = json::texts(needed(both, "columns", name)?, &path(name, "columns"))?;
        let rows = json::array(needed(both, "rows", name)?, &path(name, "rows"))?;
        for (n, column) in columns.iter().enumerate() {
            if columns[..n].contains(column) {
                return fault(path(name, "columns"), format!("a second one named {column}"));
            }
            if column != "name" && !self.columns.contains(column) {
                let is_first = self.columns.is_empty();
                self.columns.push(column.clone());
                self.widen(is_first);
            }
        }
        let places: Vec<Option<usize>> =
            self.columns.iter().map(|own| columns.iter().position(|c| c == own)).collect();
        let mut seen = std::collections::HashSet::with_capacity(rows.len());
        for (n, row) in rows.iter().enumerate() {
            let at = || format!("{name}.rows[{n}]");
            let cells = json::array(row, &at())?;
            if cells.len() != columns.len() {
                return fault(at(), format!("{} values for {} columns", cells.len(), columns.len()));
            }
            let own = columns.iter().position(|c| c == "name").map(|n| &cells[n]).filter(|v| !v.is_null());
            let Some(own) = own else { return fault(path(&at(), "name"), "missing") };
            let own = json::text(own, &path(&at(), "name"))?;
            if !seen.insert(own) {
                return fault(at(), format!("a second item named {own}"));
            }
            let mut text = String::new();
            for (n, place) in places.iter().enumerate() {
                if n > 0 {
                    text.push(',');
                }
                json::write(place.map_or(&Value::Null, |place| &cells[place]), &mut text);
            }
            self.set(own, text.into());
        }
        Ok(())
    }

    /// One column more, which no row has a value for.
    fn widen(&mut self, is_first: bool) {
        let names: Vec<Name> = self.rows.keys().cloned().collect();
        for name in names {
            let wider = if is_first { "null".to_string() } else { format!("{},null", self.rows[&name]) };
            self.set(&name, wider.into());
        }
    }

    fn write(&self, out: &mut String) {
        let text = |text: &str| json::written(&Value::String(text.to_string()));
        out.push_str("{\"columns\":[\"name\"");
        for column in &self.columns {
            out.push(',');
            out.push_str(&text(column));
        }
        out.push_str("],\"rows\":[");
        for (n, (name, cells)) in self.rows.iter().enumerate() {
            out.push_str(if n > 0 { ",[" } else { "[" });
            out.push_str(&text(name));
            if !cells.is_empty() {
                out.push(',');
                out.push_str(cells);
            }
            out.push(']');
        }
        out.push_str("]}");
    }
}

/// Whether two rows are the same; at once where they are shared.
pub fn same(a: &Cells, b: &Cells) -> bool {
    Arc::ptr_eq(a, b) || a == b
}

fn digest_of(name: &str, cells: &str) -> u128 {
    let length = (name.len() as u64).to_be_bytes();
    u128::from_be_bytes(digest::of([&length[..], name.as_bytes(), cells.as_bytes()]))
}

impl PartialEq for List {
    fn eq(&self, other: &List) -> bool {
        self.is(other)
    }
}

impl Serialize for List {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        struct Rows<'a>(&'a IndexMap<Name, Cells>);
        impl Serialize for Rows<'_> {
            fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
                to.collect_seq(self.0.iter().map(|(name, cells)| (&**name, &**cells)))
            }
        }
        (&self.columns, Rows(&self.rows)).serialize(to)
    }
}

impl<'de> Deserialize<'de> for List {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let (columns, rows) = <(Vec<String>, Vec<(String, String)>)>::deserialize(from)?;
        let mut list = List { columns, ..List::default() };
        rows.into_iter().for_each(|(name, cells)| list.set(&name, cells.into()));
        Ok(list)
    }
}
