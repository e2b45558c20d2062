//! A configuration in the form the operator gives it: three tables of named rows, and what stands beside them. It is
//! stored, changed, distributed and returned in this form; `configuration` reads out of it what the system acts on.
//!
//! A row is held as the text of its values and shared between versions: a change costs what it names, not what there is.

use std::collections::HashSet;
use std::sync::Arc;

use indexmap::IndexMap;
use lynxstair_protocol::digest;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::json::{self, Object, Value, ValueError, get, invalid, join, require};

/// The tables that a configuration is made of, by their keys.
pub const TABLES: [&str; 3] = ["routes", "services", "tenants"];

/// The text of a row's values but its name, in the order of the table's columns, separated by commas.
pub type Row = Arc<str>;

/// The name of a row.
pub type Name = Arc<str>;

/// Rows by their names, in the operator's order.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// All but `name`.
    columns: Vec<String>,
    rows: IndexMap<Name, Row>,
    /// The sum of the rows' digests, kept up to date with each changed row.
    digest: u128,
}

/// In what one table differs from an older one, by the names of rows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TableDiff {
    /// Rows that only the older one has.
    pub removed: Vec<Name>,
    /// Rows that are new or have other values.
    pub changed: Vec<Name>,
}

/// A configuration as tables. Its field names lie on disks and go between processes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigTable {
    /// The operator's version.
    pub generation: u64,
    /// As `TABLES` names them.
    #[serde(rename = "lists")]
    pub tables: [Table; 3],
    /// `limits`, and whatever later versions of the protocol add: an object's text.
    #[serde(rename = "rest")]
    pub extra: String,
}

/// The version that a `PUT` or `PATCH` says it builds on, 0 where it says none.
pub fn base_version(body: &Value) -> Result<u64, ValueError> {
    let body = json::as_object(body, "body")?;
    get(body, "base-version").map_or(Ok(0), |v| json::as_version(v, "base-version"))
}

/// The version that a `PUT` or `PATCH` brings.
pub fn generation(body: &Value) -> Result<u64, ValueError> {
    let body = json::as_object(body, "body")?;
    json::as_version(require(body, "generation", "")?, "generation")
}

/// Whether what stands under this key is not kept in `extra`.
fn has_own_field(key: &str) -> bool {
    TABLES.contains(&key) || matches!(key, "generation" | "base-version")
}

impl ConfigTable {
    /// Reads a complete configuration, the body of a `PUT`.
    pub fn from_json(body: &Value) -> Result<ConfigTable, ValueError> {
        let fields = json::as_object(body, "body")?;
        let mut config = ConfigTable { generation: generation(body)?, ..ConfigTable::default() };
        for (table, name) in config.tables.iter_mut().zip(TABLES) {
            // Without tenants a configuration is complete; without the others it is not.
            match get(fields, name) {
                Some(value) => table.merge(value, name)?,
                None if name == "tenants" => {}
                None => return invalid(name, "missing"),
            }
        }
        let extra = fields.iter().filter(|(key, _)| !has_own_field(key));
        let extra = extra.map(|(key, value)| (key.clone(), value.clone())).collect();
        config.extra = json::to_text(&Value::Object(extra));
        Ok(config)
    }

    /// This configuration with the rows changed that the body of a `PATCH` names.
    pub fn patched(&self, body: &Value) -> Result<ConfigTable, ValueError> {
        let fields = json::as_object(body, "body")?;
        let mut config = ConfigTable { generation: generation(body)?, ..self.clone() };
        let empty = Object::new();
        let part = |key: &str| get(fields, key).map_or(Ok(&empty), |v| json::as_object(v, key));
        let (upsert, remove) = (part("upsert")?, part("remove")?);
        for (table, name) in config.tables.iter_mut().zip(TABLES) {
            if let Some(names) = get(remove, name) {
                let removed = json::as_strings(names, &join("remove", name))?;
                removed.iter().for_each(|name| table.remove(name));
            }
            if let Some(value) = get(upsert, name) {
                table.merge(value, &join("upsert", name))?;
            }
        }
        let mut extra = self.extra()?;
        let mut is_changed = false;
        for (key, value) in upsert.iter().filter(|(k, v)| !has_own_field(k) && !v.is_null()) {
            extra.insert(key.clone(), value.clone());
            is_changed = true;
        }
        if is_changed {
            config.extra = json::to_text(&Value::Object(extra));
        }
        Ok(config)
    }

    /// What stands beside the tables.
    pub fn extra(&self) -> Result<Object, ValueError> {
        if self.extra.is_empty() {
            return Ok(Object::new());
        }
        json::as_object(&json::parse(self.extra.as_bytes())?, "body").cloned()
    }

    /// The complete configuration in the form of a `PUT`.
    pub fn to_json(&self) -> String {
        let mut out = format!("{{\"generation\":\"{:08x}\"", self.generation);
        for (table, name) in self.tables.iter().zip(TABLES) {
            if !(table.rows.is_empty() && name == "tenants") {
                out.push_str(&format!(",\"{name}\":"));
                table.write_json(&mut out);
            }
        }
        let extra = self.extra.trim_start_matches('{');
        if extra.len() > 1 {
            out.push(',');
        }
        out.push_str(if extra.is_empty() { "}" } else { extra });
        out
    }

    /// The same digest for the same configuration, whatever order its rows came in.
    pub fn digest(&self) -> [u8; digest::LENGTH] {
        let generation = self.generation.to_be_bytes();
        let sums = self.tables.each_ref().map(|table| table.digest.to_be_bytes());
        let tables = self.tables.iter().zip(&sums).flat_map(|(table, sum)| {
            let columns = table.columns.iter().flat_map(|c| [&[0][..], c.as_bytes()]);
            std::iter::once(&sum[..]).chain(columns)
        });
        digest::of([&generation[..], self.extra.as_bytes()].into_iter().chain(tables))
    }

    /// Shares the memory of rows that are the same as in an older version.
    pub fn share_rows_with(&mut self, older: &ConfigTable) {
        for (table, older) in self.tables.iter_mut().zip(&older.tables) {
            for (name, row) in &mut table.rows {
                if let Some(old) = older.rows.get(name).filter(|old| *old == row) {
                    *row = old.clone();
                }
            }
        }
    }
}

impl Table {
    /// The names of the columns but `name`.
    pub fn columns(&self) -> &[String] {
        &self.columns
    }

    /// All rows.
    pub fn rows(&self) -> &IndexMap<Name, Row> {
        &self.rows
    }

    /// Whether no row differs, nor does their order.
    pub fn is_same(&self, other: &Table) -> bool {
        self.columns == other.columns
            && self.rows.len() == other.rows.len()
            && self.rows.iter().zip(&other.rows).all(|((a, x), (b, y))| is_same_row(x, y) && a == b)
    }

    /// The difference to `older`; None where the columns differ, and with them the meaning of all rows.
    pub fn diff(&self, older: &Table) -> Option<TableDiff> {
        if self.columns != older.columns {
            return None;
        }
        let is_removed = |name: &&Name| !self.rows.contains_key(*name);
        let is_changed =
            |(name, row): &(&Name, &Row)| older.rows.get(*name).is_none_or(|old| !is_same_row(old, row));
        Some(TableDiff {
            removed: older.rows.keys().filter(is_removed).cloned().collect(),
            changed: self.rows.iter().filter(is_changed).map(|(name, _)| name.clone()).collect(),
        })
    }

    /// Removes a row, where there is one of this name.
    pub fn remove(&mut self, name: &str) {
        if let Some(old) = self.rows.shift_remove(name) {
            self.digest = self.digest.wrapping_sub(row_digest(name, &old));
        }
    }

    /// Puts a row in the place of the one with its name, else behind all others.
    pub fn set(&mut self, name: &str, row: Row) {
        if self.rows.get(name).is_some_and(|old| is_same_row(old, &row)) {
            return;
        }
        self.digest = self.digest.wrapping_add(row_digest(name, &row));
        if let Some(old) = self.rows.insert(name.into(), row) {
            self.digest = self.digest.wrapping_sub(row_digest(name, &old));
        }
    }

    /// Adds or replaces the rows of a JSON table of columns and rows. A null value is an absent one.
    fn merge(&mut self, value: &Value, path: &str) -> Result<(), ValueError> {
        let fields = json::as_object(value, path)?;
        let columns = json::as_strings(require(fields, "columns", path)?, &join(path, "columns"))?;
        let rows = json::as_array(require(fields, "rows", path)?, &join(path, "rows"))?;
        self.add_columns(&columns, path)?;
        let sources: Vec<Option<usize>> =
            self.columns.iter().map(|own| columns.iter().position(|c| c == own)).collect();
        let name_column = columns.iter().position(|c| c == "name");
        let mut seen = HashSet::with_capacity(rows.len());
        for (n, row) in rows.iter().enumerate() {
            let path = format!("{path}.rows[{n}]");
            let values = json::as_array(row, &path)?;
            if values.len() != columns.len() {
                return invalid(path, format!("{} values for {} columns", values.len(), columns.len()));
            }
            let name = name_column.map(|n| &values[n]).filter(|v| !v.is_null());
            let Some(name) = name else { return invalid(join(&path, "name"), "missing") };
            let name = json::as_str(name, &join(&path, "name"))?;
            if !seen.insert(name) {
                return invalid(path, format!("a second item named {name}"));
            }
            self.set(name, row_text(values, &sources).into());
        }
        Ok(())
    }

    /// Adds the columns that are new here; no row has a value for them yet.
    fn add_columns(&mut self, columns: &[String], path: &str) -> Result<(), ValueError> {
        for (n, column) in columns.iter().enumerate() {
            if columns[..n].contains(column) {
                return invalid(join(path, "columns"), format!("a second one named {column}"));
            }
            if column != "name" && !self.columns.contains(column) {
                let is_first = self.columns.is_empty();
                self.columns.push(column.clone());
                self.widen_rows(is_first);
            }
        }
        Ok(())
    }

    fn widen_rows(&mut self, is_first_column: bool) {
        let names: Vec<Name> = self.rows.keys().cloned().collect();
        for name in names {
            let wider =
                if is_first_column { "null".to_string() } else { format!("{},null", self.rows[&name]) };
            self.set(&name, wider.into());
        }
    }

    fn write_json(&self, out: &mut String) {
        let text = |text: &str| json::to_text(&Value::String(text.to_string()));
        out.push_str("{\"columns\":[\"name\"");
        for column in &self.columns {
            out.push(',');
            out.push_str(&text(column));
        }
        out.push_str("],\"rows\":[");
        for (n, (name, row)) in self.rows.iter().enumerate() {
            out.push_str(if n > 0 { ",[" } else { "[" });
            out.push_str(&text(name));
            if !row.is_empty() {
                out.push(',');
                out.push_str(row);
            }
            out.push(']');
        }
        out.push_str("]}");
    }
}

/// The text of a row: for each own column the value at its source, else null.
fn row_text(values: &[Value], sources: &[Option<usize>]) -> String {
    let mut text = String::new();
    for (n, source) in sources.iter().enumerate() {
        if n > 0 {
            text.push(',');
        }
        json::write_text(source.map_or(&Value::Null, |source| &values[source]), &mut text);
    }
    text
}

/// Whether two rows are the same; at once where they are shared.
pub fn is_same_row(a: &Row, b: &Row) -> bool {
    Arc::ptr_eq(a, b) || a == b
}

fn row_digest(name: &str, row: &str) -> u128 {
    let length = (name.len() as u64).to_be_bytes();
    u128::from_be_bytes(digest::of([&length[..], name.as_bytes(), row.as_bytes()]))
}

impl PartialEq for Table {
    fn eq(&self, other: &Table) -> bool {
        self.is_same(other)
    }
}

impl Serialize for Table {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        struct Rows<'a>(&'a IndexMap<Name, Row>);
        impl Serialize for Rows<'_> {
            fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
                to.collect_seq(self.0.iter().map(|(name, row)| (&**name, &**row)))
            }
        }
        (&self.columns, Rows(&self.rows)).serialize(to)
    }
}

impl<'de> Deserialize<'de> for Table {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let (columns, rows) = <(Vec<String>, Vec<(String, String)>)>::deserialize(from)?;
        let mut table = Table { columns, ..Table::default() };
        rows.into_iter().for_each(|(name, row)| table.set(&name, row.into()));
        Ok(table)
    }
}
