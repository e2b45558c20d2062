//! Reading `tinyjson` values by hand: each error names the key at fault and what is wrong with it.

use std::collections::HashMap;
use std::fmt;

pub use tinyjson::JsonValue as Value;

/// A JSON object.
pub type Object = HashMap<String, Value>;

/// Text nested deeper than this is rejected before it is parsed: the parser recurses once for each level.
const MAX_DEPTH: usize = 32;

/// A version may not exceed this where it is given as a number: a JSON number holds no larger integer exactly.
const MAX_NUMERIC_VERSION: f64 = 1e15;

/// What is wrong with a value, and where. Sending the same value again fails again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValueError {
    /// The key, with the path to it.
    pub path: String,
    /// What is wrong.
    pub reason: String,
}

impl fmt::Display for ValueError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.reason)
    }
}

impl std::error::Error for ValueError {}

/// A `ValueError` as the result of reading anything.
pub fn invalid<T>(path: impl Into<String>, reason: impl Into<String>) -> Result<T, ValueError> {
    Err(ValueError { path: path.into(), reason: reason.into() })
}

/// Parses a JSON text.
pub fn parse(text: &[u8]) -> Result<Value, ValueError> {
    let Ok(text) = std::str::from_utf8(text) else { return invalid("body", "not UTF-8") };
    if exceeds_depth(text) {
        return invalid("body", format!("nested deeper than {MAX_DEPTH}"));
    }
    text.parse::<Value>().or_else(|e| invalid("body", format!("not JSON: {e}")))
}

fn exceeds_depth(text: &str) -> bool {
    let (mut depth, mut in_string, mut is_escaped) = (0usize, false, false);
    for byte in text.bytes() {
        match byte {
            _ if is_escaped => is_escaped = false,
            b'\\' if in_string => is_escaped = true,
            b'"' => in_string = !in_string,
            b'[' | b'{' if !in_string => depth += 1,
            b']' | b'}' if !in_string => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_DEPTH {
            return true;
        }
    }
    false
}

/// The value as an object.
pub fn as_object<'a>(value: &'a Value, path: &str) -> Result<&'a Object, ValueError> {
    value.get::<Object>().map_or_else(|| invalid(path, "an object is wanted"), Ok)
}

/// The value as a list.
pub fn as_array<'a>(value: &'a Value, path: &str) -> Result<&'a Vec<Value>, ValueError> {
    value.get::<Vec<Value>>().map_or_else(|| invalid(path, "a list is wanted"), Ok)
}

/// The value as a text.
pub fn as_str<'a>(value: &'a Value, path: &str) -> Result<&'a str, ValueError> {
    value.get::<String>().map_or_else(|| invalid(path, "a text is wanted"), |s| Ok(s.as_str()))
}

/// The value as a finite number.
pub fn as_number(value: &Value, path: &str) -> Result<f64, ValueError> {
    match value.get::<f64>() {
        Some(n) if n.is_finite() => Ok(*n),
        _ => invalid(path, "a number is wanted"),
    }
}

/// The value as true or false.
pub fn as_bool(value: &Value, path: &str) -> Result<bool, ValueError> {
    value.get::<bool>().map_or_else(|| invalid(path, "true or false is wanted"), |b| Ok(*b))
}

/// The value as a list of texts.
pub fn as_strings(value: &Value, path: &str) -> Result<Vec<String>, ValueError> {
    as_array(value, path)?.iter().map(|v| as_str(v, path).map(str::to_string)).collect()
}

/// The value as a configuration's version: eight hexadecimal digits, or a whole number.
pub fn as_version(value: &Value, path: &str) -> Result<u64, ValueError> {
    match value {
        Value::Number(n) if *n >= 0.0 && n.fract() == 0.0 && *n < MAX_NUMERIC_VERSION => Ok(*n as u64),
        Value::String(digits) => {
            u64::from_str_radix(digits, 16).or_else(|_| invalid(path, "eight hexadecimal digits are wanted"))
        }
        _ => invalid(path, "eight hexadecimal digits are wanted"),
    }
}

/// Something that holds values by keys.
pub trait Fields {
    /// The value under a key, null included.
    fn field(&self, key: &str) -> Option<&Value>;
}

impl Fields for Object {
    fn field(&self, key: &str) -> Option<&Value> {
        self.get(key)
    }
}

/// One row of a table, its values keyed by the table's columns.
#[derive(Clone, Copy, Debug)]
pub struct RowFields<'a> {
    /// The names of the columns.
    pub columns: &'a [String],
    /// As many values.
    pub values: &'a [Value],
}

impl Fields for RowFields<'_> {
    fn field(&self, key: &str) -> Option<&Value> {
        self.values.get(self.columns.iter().position(|c| c == key)?)
    }
}

/// The value under a key; null counts as absent.
pub fn get<'a>(fields: &'a impl Fields, key: &str) -> Option<&'a Value> {
    fields.field(key).filter(|v| !v.is_null())
}

/// The value under a key that must be there; `path` names what holds it.
pub fn require<'a>(fields: &'a impl Fields, key: &str, path: &str) -> Result<&'a Value, ValueError> {
    get(fields, key).map_or_else(|| invalid(join(path, key), "missing"), Ok)
}

/// The path of a key within what `path` names.
pub fn join(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_string() } else { format!("{path}.{key}") }
}

/// A value as text: the same value gives the same text, whatever order its keys came in.
pub fn to_text(value: &Value) -> String {
    let mut out = String::new();
    write_text(value, &mut out);
    out
}

/// The same, appended to `out`.
pub fn write_text(value: &Value, out: &mut String) {
    match value {
        Value::Array(values) => {
            out.push('[');
            for (n, value) in values.iter().enumerate() {
                if n > 0 {
                    out.push(',');
                }
                write_text(value, out);
            }
            out.push(']');
        }
        Value::Object(object) => {
            let mut keys: Vec<&String> = object.keys().collect();
            keys.sort_unstable();
            out.push('{');
            for (n, key) in keys.into_iter().enumerate() {
                if n > 0 {
                    out.push(',');
                }
                write_text(&Value::String(key.clone()), out);
                out.push(':');
                write_text(&object[key], out);
            }
            out.push('}');
        }
        // A number that JSON has no text for can't have come from a JSON text either.
        scalar => out.push_str(&scalar.stringify().unwrap_or_else(|_| "null".to_string())),
    }
}
