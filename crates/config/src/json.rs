//! Typed access to `tinyjson` values. Each error names the path of the invalid key and the reason.

use std::collections::HashMap;
use std::fmt;

pub use tinyjson::JsonValue as Value;

/// A JSON object.
pub type Object = HashMap<String, Value>;

/// Maximum nesting depth of a JSON text. Deeper texts are rejected before parsing, because the parser
/// recurses at each level.
const MAX_DEPTH: usize = 32;

/// Upper bound (exclusive) of a version given as a number; below it a JSON number represents integers
/// exactly.
const MAX_NUMERIC_VERSION: f64 = 1e15;

/// An invalid value. Permanent: the same value is rejected again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValueError {
    /// Path of the invalid key, with its parts separated by dots.
    pub path: String,
    /// Reason for the rejection.
    pub reason: String,
}

impl fmt::Display for ValueError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.reason)
    }
}

impl std::error::Error for ValueError {}

/// Returns a [`ValueError`] as a result of any type.
pub fn invalid<T>(path: impl Into<String>, reason: impl Into<String>) -> Result<T, ValueError> {
    Err(ValueError { path: path.into(), reason: reason.into() })
}

/// Parses a JSON text.
pub fn parse(text: &[u8]) -> Result<Value, ValueError> {
    let Ok(text) = std::str::from_utf8(text) else { return invalid("body", "not UTF-8") };
    if exceeds_depth(text) {
        return invalid("body", format!("nested deeper than {MAX_DEPTH} levels"));
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

/// Returns the value as an object.
pub fn as_object<'a>(value: &'a Value, path: &str) -> Result<&'a Object, ValueError> {
    value.get::<Object>().map_or_else(|| invalid(path, "expected an object"), Ok)
}

/// Returns the value as an array.
pub fn as_array<'a>(value: &'a Value, path: &str) -> Result<&'a Vec<Value>, ValueError> {
    value.get::<Vec<Value>>().map_or_else(|| invalid(path, "expected an array"), Ok)
}

/// Returns the value as a string.
pub fn as_str<'a>(value: &'a Value, path: &str) -> Result<&'a str, ValueError> {
    value.get::<String>().map_or_else(|| invalid(path, "expected a string"), |s| Ok(s.as_str()))
}

/// Returns the value as a finite number.
pub fn as_number(value: &Value, path: &str) -> Result<f64, ValueError> {
    match value.get::<f64>() {
        Some(n) if n.is_finite() => Ok(*n),
        _ => invalid(path, "expected a number"),
    }
}

/// Returns the value as a Boolean.
pub fn as_bool(value: &Value, path: &str) -> Result<bool, ValueError> {
    value.get::<bool>().map_or_else(|| invalid(path, "expected true or false"), |b| Ok(*b))
}

/// Returns the value as an array of strings.
pub fn as_strings(value: &Value, path: &str) -> Result<Vec<String>, ValueError> {
    as_array(value, path)?.iter().map(|v| as_str(v, path).map(str::to_string)).collect()
}

/// Returns the value as the version of a configuration: a string of hexadecimal digits or a whole number.
pub fn as_version(value: &Value, path: &str) -> Result<u64, ValueError> {
    match value {
        Value::Number(n) if *n >= 0.0 && n.fract() == 0.0 && *n < MAX_NUMERIC_VERSION => Ok(*n as u64),
        Value::String(digits) => {
            u64::from_str_radix(digits, 16).or_else(|_| invalid(path, "expected eight hexadecimal digits"))
        }
        _ => invalid(path, "expected eight hexadecimal digits"),
    }
}

/// Access to values by key.
pub trait Fields {
    /// Returns the value of a key, which may be null.
    fn field(&self, key: &str) -> Option<&Value>;
}

impl Fields for Object {
    fn field(&self, key: &str) -> Option<&Value> {
        self.get(key)
    }
}

/// One row of a table, with access to its values by column name.
#[derive(Clone, Copy, Debug)]
pub struct RowFields<'a> {
    /// Column names.
    pub columns: &'a [String],
    /// Values in the order of the columns.
    pub values: &'a [Value],
}

impl Fields for RowFields<'_> {
    fn field(&self, key: &str) -> Option<&Value> {
        self.values.get(self.columns.iter().position(|c| c == key)?)
    }
}

/// Returns the value of a key. Null counts as absent.
pub fn get<'a>(fields: &'a impl Fields, key: &str) -> Option<&'a Value> {
    fields.field(key).filter(|v| !v.is_null())
}

/// Returns the value of a required key. `path` is the path of the containing object, for the error.
pub fn require<'a>(fields: &'a impl Fields, key: &str, path: &str) -> Result<&'a Value, ValueError> {
    get(fields, key).map_or_else(|| invalid(join(path, key), "missing"), Ok)
}

/// Returns the path of a key in the object at `path`.
pub fn join(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_string() } else { format!("{path}.{key}") }
}

/// Serializes a value with sorted keys, so that equal values give equal texts.
pub fn to_text(value: &Value) -> String {
    let mut out = String::new();
    write_text(value, &mut out);
    out
}

/// Appends the text of a value to `out`, as [`to_text`] returns it.
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
        // Only non-finite numbers fail: a number in a JSON text may overflow to infinity.
        scalar => out.push_str(&scalar.stringify().unwrap_or_else(|_| "null".to_string())),
    }
}
