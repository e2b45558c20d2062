//! Commands of the operator, and their identities. A command is parsed and checked, as far as that needs no store, by
//! whoever receives it: a large one takes long, and nothing else should wait for that.

use std::sync::Arc;

use lynxstair_config::configuration::Configuration;
use lynxstair_config::json::{self, Value, ValueError};
use lynxstair_config::table::{self, ConfigTable};
use lynxstair_protocol::digest;

/// What the operator asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    /// Replace the configuration by this one.
    Put(Vec<u8>),
    /// Change the rows that this names.
    Patch(Vec<u8>),
    /// Keep requests out of a zone.
    Evacuate(String),
    /// Let requests into a zone again.
    Restore(String),
}

/// The identity of a command that changes the configuration. The same bytes sent again have the same one.
pub type CommandId = [u8; digest::LENGTH];

/// The identity of an operation. It lies on disks, so every build makes the same of the same bytes: the digest of a byte
/// for the kind of operation and of its body.
pub fn command_id(operation: &Operation) -> Option<CommandId> {
    let (kind, body) = match operation {
        Operation::Put(body) => (1, body),
        Operation::Patch(body) => (2, body),
        // These have the same effect however often they are sent, and carry nothing that tells two of them apart.
        Operation::Evacuate(_) | Operation::Restore(_) => return None,
    };
    Some(digest::of([&[kind][..], body]))
}

/// An operation with what can be known of it without the store.
#[derive(Clone, Debug)]
pub struct Command {
    pub(crate) operation: Operation,
    pub(crate) id: Option<CommandId>,
    pub(crate) parsed: Option<ParsedCommand>,
}

/// What a `PUT` or `PATCH` says. A parsed `PUT` does not keep the values of its text, which take twenty times the memory.
#[derive(Clone, Debug)]
pub(crate) enum ParsedCommand {
    Invalid(ValueError),
    Put {
        base_version: u64,
        generation: Result<u64, ValueError>,
        config: Result<Box<(ConfigTable, Arc<Configuration>)>, ValueError>,
    },
    Patch {
        base_version: u64,
        generation: Result<u64, ValueError>,
        body: Value,
    },
}

impl Command {
    /// A command that is not parsed yet.
    pub fn new(operation: Operation) -> Command {
        Command { id: command_id(&operation), operation, parsed: None }
    }

    /// How many bytes there are to parse.
    pub fn body_len(&self) -> usize {
        match &self.operation {
            Operation::Put(body) | Operation::Patch(body) => body.len(),
            Operation::Evacuate(_) | Operation::Restore(_) => 0,
        }
    }

    /// Parses and checks it, as far as that needs no store.
    pub fn parse(&mut self) {
        self.parsed = ParsedCommand::parse(&self.operation);
    }
}

impl ParsedCommand {
    /// None for an operation that has nothing to parse.
    pub(crate) fn parse(operation: &Operation) -> Option<ParsedCommand> {
        let parsed = match operation {
            Operation::Put(body) => ParsedCommand::parse_put(body),
            Operation::Patch(body) => ParsedCommand::parse_patch(body),
            Operation::Evacuate(_) | Operation::Restore(_) => return None,
        };
        Some(parsed.unwrap_or_else(ParsedCommand::Invalid))
    }

    fn parse_put(body: &[u8]) -> Result<ParsedCommand, ValueError> {
        let body = json::parse(body)?;
        let (base_version, generation) = (table::base_version(&body)?, table::generation(&body));
        let table = ConfigTable::from_json(&body);
        drop(body);
        let config = table.and_then(|table| {
            let configuration = Configuration::from_table(&table)?;
            Ok(Box::new((table, Arc::new(configuration))))
        });
        Ok(ParsedCommand::Put { base_version, generation, config })
    }

    fn parse_patch(body: &[u8]) -> Result<ParsedCommand, ValueError> {
        let body = json::parse(body)?;
        let (base_version, generation) = (table::base_version(&body)?, table::generation(&body));
        Ok(ParsedCommand::Patch { base_version, generation, body })
    }
}
