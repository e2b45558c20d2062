//! Parsing and validation of the settings file of a process and of the operator's configuration.
//!
//! The crate uses no sockets, clocks or threads.
#![forbid(unsafe_code)]

pub mod bounds;
pub mod configuration;
pub mod json;
pub mod settings;
pub mod settings_reload;
pub mod table;
mod validation;
