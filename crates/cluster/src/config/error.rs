//! Errors in TOML files, with their position.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

use toml::Spanned;

/// Error in a TOML file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct ConfigError {
    /// Path of the file.
    pub file: PathBuf,
    /// Line number, starting at 1; `None` if the file could not be read.
    pub line: Option<usize>,
    /// The invalid key; `None` if the error is not about a single key.
    pub key: Option<String>,
    /// Description of the error, with the valid values if known.
    pub reason: String,
}

impl ConfigError {
    /// Creates an error at a byte offset in the text of the file.
    pub fn at(file: &Path, text: &str, offset: usize, key: Option<&str>, reason: impl Into<String>) -> Self {
        let before = &text.as_bytes()[..offset.min(text.len())];
        let line = 1 + before.iter().filter(|byte| **byte == b'\n').count();
        let (file, key) = (file.to_path_buf(), key.map(str::to_string));
        ConfigError { file, line: Some(line), key, reason: reason.into() }
    }

    /// Creates an error for a file that could not be read.
    pub fn unreadable(file: &Path, e: &io::Error) -> Self {
        ConfigError { file: file.to_path_buf(), line: None, key: None, reason: e.to_string() }
    }

    /// Converts a parse error of the `toml` crate.
    pub fn from_toml(file: &Path, text: &str, e: &toml::de::Error) -> Self {
        let offset = e.span().map_or(0, |span| span.start);
        ConfigError::at(file, text, offset, None, e.message())
    }

    /// Returns the value if it is within the bounds, both inclusive.
    ///
    /// # Errors
    /// If it is outside of the bounds.
    pub fn check_range<T: PartialOrd + Copy + fmt::Display>(
        (file, text): (&Path, &str),
        key: &str,
        value: &Spanned<T>,
        (min, max): (T, T),
    ) -> Result<T, Self> {
        let number = *value.get_ref();
        if number >= min && number <= max {
            return Ok(number);
        }
        let reason = format!("{number} is not within {min} to {max}");
        Err(ConfigError::at(file, text, value.span().start, Some(key), reason))
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file.display())?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        if let Some(key) = &self.key {
            write!(f, ": {key}")?;
        }
        write!(f, ": {}", self.reason)
    }
}
