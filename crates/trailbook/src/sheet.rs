//! A configuration as the operator lays it out: three lists of named items, and what stands beside them. It is
//! kept, changed and given back in this form; `configuration` reads out of it what the system acts on.

use std::collections::HashSet;

use indexmap::IndexMap;

use crate::values::{self, Fault, Object, Value, at, fault, needed, path};

/// The lists that a configuration is made of.
pub const LISTS: [&str; 3] = ["routes", "services", "tenants"];

/// One list: items by their names, in the operator's order.
pub type List = IndexMap<String, Object>;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sheet {
    pub generation: u64,
    pub lists: [List; 3],
    /// `limits`, and whatever later versions of the protocol add.
    pub rest: Object,
}

/// What a `PUT` or `PATCH` says of the version it builds on.
pub fn base(call: &Value) -> Result<u64, Fault> {
    let call = values::object(call, "body")?;
    at(call, "base-version").map_or(Ok(0), |v| values::version(v, "base-version"))
}

pub fn generation(call: &Value) -> Result<u64, Fault> {
    let call = values::object(call, "body")?;
    values::version(needed(call, "generation", "")?, "generation")
}

impl Sheet {
    /// A complete configuration.
    pub fn read(call: &Value) -> Result<Sheet, Fault> {
        let all = values::object(call, "body")?;
        let mut sheet = Sheet { generation: generation(call)?, ..Sheet::default() };
        for (list, name) in sheet.lists.iter_mut().zip(LISTS) {
            // Without tenants a configuration is whole; without the others it is not.
            match at(all, name) {
                Some(value) => *list = items(value, name)?,
                None if name == "tenants" => {}
                None => return fault(name, "missing"),
            }
        }
        for (key, value) in all {
            let own = LISTS.contains(&key.as_str()) || matches!(key.as_str(), "generation" | "base-version");
            if !own {
                sheet.rest.insert(key.clone(), value.clone());
            }
        }
        Ok(sheet)
    }

    /// What this becomes by a change of named items.
    pub fn patched(&self, call: &Value) -> Result<Sheet, Fault> {
        let all = values::object(call, "body")?;
        let mut sheet = Sheet { generation: generation(call)?, ..self.clone() };
        let empty = Object::new();
        let part = |key: &str| at(all, key).map_or(Ok(&empty), |v| values::object(v, key));
        let (set, drop) = (part("upsert")?, part("remove")?);
        for (list, name) in sheet.lists.iter_mut().zip(LISTS) {
            if let Some(names) = at(drop, name) {
                for gone in values::texts(names, &path("remove", name))? {
                    list.shift_remove(&gone);
                }
            }
            if let Some(value) = at(set, name) {
                list.extend(items(value, &path("upsert", name))?);
            }
        }
        for (key, value) in set {
            if !LISTS.contains(&key.as_str()) && !value.is_null() {
                sheet.rest.insert(key.clone(), value.clone());
            }
        }
        Ok(sheet)
    }

    /// The whole configuration, laid out as it is put.
    pub fn written(&self) -> String {
        let mut all = self.rest.clone();
        all.insert("generation".to_string(), Value::String(format!("{:08x}", self.generation)));
        for (list, name) in self.lists.iter().zip(LISTS) {
            if list.is_empty() && name == "tenants" {
                continue;
            }
            let mut columns: Vec<&String> = Vec::new();
            let mut seen = HashSet::new();
            for item in list.values() {
                let mut keys: Vec<&String> = item.keys().filter(|k| seen.insert(k.as_str())).collect();
                keys.sort();
                columns.extend(keys);
            }
            let cell = |item: &Object, column: &String| item.get(column).cloned().unwrap_or(Value::Null);
            let row = |item: &Object| Value::Array(columns.iter().map(|c| cell(item, c)).collect());
            let rows = Value::Array(list.values().map(row).collect());
            let columns = Value::Array(columns.iter().map(|c| Value::String((*c).clone())).collect());
            let both = Object::from([("columns".to_string(), columns), ("rows".to_string(), rows)]);
            all.insert(name.to_string(), Value::Object(both));
        }
        Value::Object(all).stringify().unwrap_or_default()
    }
}

/// The items of a list of columns and rows. Null means a value is left out.
fn items(value: &Value, name: &str) -> Result<List, Fault> {
    let both = values::object(value, name)?;
    let columns = values::texts(needed(both, "columns", name)?, &path(name, "columns"))?;
    let rows = values::array(needed(both, "rows", name)?, &path(name, "rows"))?;
    let mut list = List::new();
    for (n, row) in rows.iter().enumerate() {
        let at = format!("{name}.rows[{n}]");
        let cells = values::array(row, &at)?;
        if cells.len() != columns.len() {
            return fault(at, format!("{} values for {} columns", cells.len(), columns.len()));
        }
        let pairs = columns.iter().zip(cells).filter(|(_, v)| !v.is_null());
        let item: Object = pairs.map(|(c, v)| (c.clone(), v.clone())).collect();
        let own = values::text(needed(&item, "name", &at)?, &path(&at, "name"))?.to_string();
        if list.insert(own.clone(), item).is_some() {
            return fault(at, format!("a second item named {own}"));
        }
    }
    Ok(list)
}
