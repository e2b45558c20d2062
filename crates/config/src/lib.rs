//! What a process is configured with: the boot settings file, the operator's configuration. Reading and
//! checking only: no socket, no clock, no thread.
#![forbid(unsafe_code)]

pub mod bounds;
pub mod configuration;
pub mod json;
pub mod settings;
pub mod settings_reload;
pub mod table;
mod validation;
