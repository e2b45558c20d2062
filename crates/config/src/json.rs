//! Reading `tinyjson` values by hand: each error names the key at fault and what would be right.

use std::collections::HashMap;
use std::fmt;

pub use tinyjson::JsonValue as Value;

pub type Object = HashMap<String, Value>;

/// Deeper values than this are refused before they are read: the reader goes one call deeper with each.
const DEEPEST: usize = 32;

/// What is wrong with a value, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The key, with the item it belongs to.
    pub at: String,
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: {}", self.at, self.what)
    }
}

pub fn fault<T>(at: impl Into<String>, what: impl Into<String>) -> Result<T, Fault> {
    Err(Fault { at: at.into(), what: what.into() })
}

/// Reads JSON text whole.
pub fn read(text: &[u8]) -> Result<Value, Fault> {
    let Ok(text) = std::str::from_utf8(text) else { return fault("body", "not UTF-8") };
    let (mut depth, mut in_string, mut escaped) = (0usize, false, false);
    for b in text.bytes() {
        match b {
            _ if escaped => escaped = false,
            b'\\' if in_string => escaped = true,
            b'"' => in_string = !in_string,
            b'[' | b'{' if !in_string => depth += 1,
            b']' | b'}' if !in_string => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > DEEPEST {
            return fault("body", format!("nested deeper than {DEEPEST}"));
        }
    }
    match text.parse::<Value>() {
        Ok(value) => Ok(value),
        Err(e) => fault("body", format!("not JSON: {e}")),
    }
}

pub fn object<'a>(value: &'a Value, at: &str) -> Result<&'a Object, Fault> {
    value.get::<Object>().map_or_else(|| fault(at, "an object is wanted"), Ok)
}

pub fn array<'a>(value: &'a Value, at: &str) -> Result<&'a Vec<Value>, Fault> {
    value.get::<Vec<Value>>().map_or_else(|| fault(at, "a list is wanted"), Ok)
}

pub fn text<'a>(value: &'a Value, at: &str) -> Result<&'a str, Fault> {
    value.get::<String>().map_or_else(|| fault(at, "a text is wanted"), |s| Ok(s.as_str()))
}

pub fn number(value: &Value, at: &str) -> Result<f64, Fault> {
    match value.get::<f64>() {
        Some(n) if n.is_finite() => Ok(*n),
        _ => fault(at, "a number is wanted"),
    }
}

pub fn truth(value: &Value, at: &str) -> Result<bool, Fault> {
    value.get::<bool>().map_or_else(|| fault(at, "true or false is wanted"), |b| Ok(*b))
}

/// What holds values by keys.
pub trait Fields {
    fn field(&self, key: &str) -> Option<&Value>;
}

impl Fields for Object {
    fn field(&self, key: &str) -> Option<&Value> {
        self.get(key)
    }
}

/// One row of a list, by the list's columns.
#[derive(Clone, Copy, Debug)]
pub struct Item<'a> {
    pub columns: &'a [String],
    pub cells: &'a [Value],
}

impl Fields for Item<'_> {
    fn field(&self, key: &str) -> Option<&Value> {
        self.cells.get(self.columns.iter().position(|c| c == key)?)
    }
}

/// The value under a key; null counts as left out.
pub fn at<'a>(of: &'a impl Fields, key: &str) -> Option<&'a Value> {
    of.field(key).filter(|v| !v.is_null())
}

pub fn needed<'a>(fields: &'a impl Fields, key: &str, of: &str) -> Result<&'a Value, Fault> {
    at(fields, key).map_or_else(|| fault(path(of, key), "missing"), Ok)
}

/// A value as text: the same value gives the same text, whatever order its keys came in.
pub fn written(value: &Value) -> String {
    let mut out = String::new();
    write(value, &mut out);
    out
}

pub fn write(value: &Value, out: &mut String) {
    match value {
        Value::Array(all) => {
            out.push('[');
            for (n, one) in all.iter().enumerate() {
                if n > 0 {
                    out.push(',');
                }
                write(one, out);
            }
            out.push(']');
        }
        Value::Object(all) => {
            let mut keys: Vec<&String> = all.keys().collect();
            keys.sort_unstable();
            out.push('{');
            for (n, key) in keys.into_iter().enumerate() {
                if n > 0 {
                    out.push(',');
                }
                write(&Value::String(key.clone()), out);
                out.push(':');
                write(&all[key], out);
            }
            out.push('}');
        }
        // A number that JSON has no text for is no number of an operator's either.
        one => out.push_str(&one.stringify().unwrap_or_else(|_| "null".to_string())),
    }
}

pub fn path(of: &str, key: &str) -> String {
    if of.is_empty() { key.to_string() } else { format!("{of}.{key}") }
}

pub fn texts(value: &Value, at: &str) -> Result<Vec<String>, Fault> {
    array(value, at)?.iter().map(|v| text(v, at).map(str::to_string)).collect()
}

/// A configuration's version: eight hexadecimal digits, or the number 0.
pub fn version(value: &Value, at: &str) -> Result<u64, Fault> {
    match value {
        Value::Number(n) if *n >= 0.0 && n.fract() == 0.0 && *n < 1e15 => Ok(*n as u64),
        Value::String(s) => {
            u64::from_str_radix(s, 16).or_else(|_| fault(at, "eight hexadecimal digits are wanted"))
        }
        _ => fault(at, "eight hexadecimal digits are wanted"),
    }
}
