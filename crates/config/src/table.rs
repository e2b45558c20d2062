//! A configuration as the operator supplies it: three tables of named rows, and other fields.
//!
//! It is stored, patched, distributed and returned in this form. [`crate::configuration`] holds the parsed
//! form that the system acts on. A row is kept as the text of its values and shared between versions, so
//! that a new version stores only the texts of changed rows.

use std::collections::HashSet;
use std::sync::Arc;

use indexmap::IndexMap;
use lynxstair_protocol::digest;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::json::{self, Object, Value, ValueError, get, invalid, join, require};

/// Keys of the tables of a configuration.
pub const TABLES: [&str; 3] = ["routes", "services", "tenants"];

/// The values of a row without its name, as JSON texts in column order, separated by commas.
pub type Row = Arc<str>;

/// Name of a row, unique in its table.
pub type Name = Arc<str>;

/// Rows by name, in the operator's order.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Column names without `name`.
    columns: Vec<String>,
    rows: IndexMap<Name, Row>,
    /// Wrapping sum of the digests of all rows, updated with each change.
    digest: u128,
}

/// Difference between a table and an older version of it, by names of rows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TableDiff {
    /// Rows that only the older version has.
    pub removed: Vec<Name>,
    /// Rows that are new or have different values.
    pub changed: Vec<Name>,
}

/// A configuration as tables. The serialized field names are stored on disk and sent between processes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigTable {
    /// Generation assigned by the operator.
    pub generation: u64,
    /// Tables in the order of [`TABLES`].
    #[serde(rename = "lists")]
    pub tables: [Table; 3],
    /// JSON text of an object with the other fields: `limits`, and fields of later protocol versions.
    #[serde(rename = "rest")]
    pub extra: String,
}

/// Returns the version on which a `PUT` or `PATCH` body is based, 0 if it names none.
pub fn base_version(body: &Value) -> Result<u64, ValueError> {
    let body = json::as_object(body, "body")?;
    get(body, "base-version").map_or(Ok(0), |v| json::as_version(v, "base-version"))
}

/// Returns the generation of a `PUT` or `PATCH` body.
pub fn generation(body: &Value) -> Result<u64, ValueError> {
    let body = json::as_object(body, "body")?;
    json::as_version(require(body, "generation", "")?, "generation")
}

/// Returns `true` if the value of this key is not kept in `extra`.
fn is_separate_field(key: &str) -> bool {
    TABLES.contains(&key) || matches!(key, "generation" | "base-version")
}

impl ConfigTable {
    /// Parses a complete configuration, the body of a `PUT`.
    pub fn from_json(body: &Value) -> Result<ConfigTable, ValueError> {
        let fields = json::as_object(body, "body")?;
        let mut config = ConfigTable { generation: generation(body)?, ..ConfigTable::default() };
        for (table, name) in config.tables.iter_mut().zip(TABLES) {
            // Only the tenants table is optional.
            match get(fields, name) {
                Some(value) => table.merge(value, name)?,
                None if name == "tenants" => {}
                None => return invalid(name, "missing"),
            }
        }
        let extra = fields.iter().filter(|(key, _)| !is_separate_field(key));
        let extra = extra.map(|(key, value)| (key.clone(), value.clone())).collect();
        config.extra = json::to_text(&Value::Object(extra));
        Ok(config)
    }

    /// Returns this configuration with the changes of a `PATCH` body applied.
    pub fn patched(&self, body: &Value) -> Result<ConfigTable, ValueError> {
        let fields = json::as_object(body, "body")?;
        let mut config = ConfigTable { generation: generation(body)?, ..self.clone() };
        let empty = Object::new();
        let section = |key: &str| get(fields, key).map_or(Ok(&empty), |v| json::as_object(v, key));
        let (upsert, remove) = (section("upsert")?, section("remove")?);
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
        for (key, value) in upsert.iter().filter(|(k, v)| !is_separate_field(k) && !v.is_null()) {
            extra.insert(key.clone(), value.clone());
            is_changed = true;
        }
        if is_changed {
            config.extra = json::to_text(&Value::Object(extra));
        }
        Ok(config)
    }

    /// Returns the fields outside the tables.
    pub fn extra(&self) -> Result<Object, ValueError> {
        if self.extra.is_empty() {
            return Ok(Object::new());
        }
        json::as_object(&json::parse(self.extra.as_bytes())?, "body").cloned()
    }

    /// Serializes the complete configuration as the body of a `PUT`.
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

    /// Returns a digest of the configuration that doesn't depend on the order of rows.
    pub fn digest(&self) -> [u8; digest::LENGTH] {
        let generation = self.generation.to_be_bytes();
        let sums = self.tables.each_ref().map(|table| table.digest.to_be_bytes());
        let tables = self.tables.iter().zip(&sums).flat_map(|(table, sum)| {
            let columns = table.columns.iter().flat_map(|c| [&[0][..], c.as_bytes()]);
            std::iter::once(&sum[..]).chain(columns)
        });
        digest::of([&generation[..], self.extra.as_bytes()].into_iter().chain(tables))
    }

    /// Shares the memory of rows that are equal in an older version.
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
    /// Returns the column names without `name`.
    pub fn columns(&self) -> &[String] {
        &self.columns
    }

    /// Returns all rows by name, in the operator's order.
    pub fn rows(&self) -> &IndexMap<Name, Row> {
        &self.rows
    }

    /// Returns `true` if the columns, the rows and their order are equal.
    pub fn is_same(&self, other: &Table) -> bool {
        self.columns == other.columns
            && self.rows.len() == other.rows.len()
            && self.rows.iter().zip(&other.rows).all(|((a, x), (b, y))| is_same_row(x, y) && a == b)
    }

    /// Returns the difference to `older`, or `None` if the columns differ and rows can't be compared.
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

    /// Removes the row of this name if it exists.
    pub fn remove(&mut self, name: &str) {
        if let Some(old) = self.rows.shift_remove(name) {
            self.digest = self.digest.wrapping_sub(row_digest(name, &old));
        }
    }

    /// Replaces the row of this name in place, or appends a new one.
    pub fn set(&mut self, name: &str, row: Row) {
        if self.rows.get(name).is_some_and(|old| is_same_row(old, &row)) {
            return;
        }
        self.digest = self.digest.wrapping_add(row_digest(name, &row));
        if let Some(old) = self.rows.insert(name.into(), row) {
            self.digest = self.digest.wrapping_sub(row_digest(name, &old));
        }
    }

    /// Adds or replaces the rows of a JSON object with `columns` and `rows`.
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
                return invalid(path, format!("duplicate name {name}"));
            }
            self.set(name, row_text(values, &sources).into());
        }
        Ok(())
    }

    /// Adds new columns, with null as the value of existing rows.
    fn add_columns(&mut self, columns: &[String], path: &str) -> Result<(), ValueError> {
        for (n, column) in columns.iter().enumerate() {
            if columns[..n].contains(column) {
                return invalid(join(path, "columns"), format!("duplicate column {column}"));
            }
            if column != "name" && !self.columns.contains(column) {
                let is_first = self.columns.is_empty();
                self.columns.push(column.clone());
                self.widen_rows(is_first);
            }
        }
        Ok(())
    }

    /// Appends a null value to every row.
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

/// Returns the text of a row. `sources` holds the index into `values` of each column; a column without one
/// is null.
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

/// Returns `true` if two rows are equal. Compares pointers first, since rows are often shared.
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
