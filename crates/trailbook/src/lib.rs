//! What a process of the system is told, and the words that processes say to each other: the settings file, the
//! operator's configuration, frames, command line. Reading and checking only: no socket, no clock, no thread.
#![forbid(unsafe_code)]

pub mod agreement;
pub mod configuration;
pub mod digest;
pub mod frames;
pub mod program;
pub mod settings;
pub mod sheet;
pub mod values;
pub mod verdict;
pub mod words;
