//! Operator commands and their ids. The controller that receives a command parses and validates it before it
//! reaches the store: a large one takes long, and other work must not wait for it.

use std::sync::Arc;

use lynxstair_config::configuration::Configuration;
use lynxstair_config::json::{self, Value, ValueError};
use lynxstair_config::table::{self, ConfigTable};
use lynxstair_protocol::digest;

/// An operation requested by the operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    /// Replaces the configuration by this JSON body.
    Put(Vec<u8>),
    /// Changes the rows that this JSON body names.
    Patch(Vec<u8>),
    /// Evacuates a zone: proxies send no requests to it.
    Evacuate(String),
    /// Ends the evacuation of a zone.
    Restore(String),
}

/// The idempotency key of a command that changes the configuration. Equal for repeated sends of the same
/// bytes.
pub type CommandId = [u8; digest::LENGTH];

/// Returns the id of an operation, or `None` for an idempotent operation that needs none. The id is the
/// digest of one byte for the kind of operation and of the body. It is stored on disk, so it must be the
/// same in every build.
pub fn command_id(operation: &Operation) -> Option<CommandId> {
    let (kind, body) = match operation {
        Operation::Put(body) => (1, body),
        Operation::Patch(body) => (2, body),
        // Idempotent, and without content that would distinguish a retry from a new command.
        Operation::Evacuate(_) | Operation::Restore(_) => return None,
    };
    Some(digest::of([&[kind][..], body]))
}

/// An operation with its id and, once parsed, its content.
#[derive(Clone, Debug)]
pub struct Command {
    pub(crate) operation: Operation,
    pub(crate) id: Option<CommandId>,
    pub(crate) parsed: Option<ParsedCommand>,
}

/// The content of a `PUT` or `PATCH`. A parsed `PUT` does not keep the JSON values, which take far more
/// memory than the text.
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
    /// Creates a command that is not parsed yet.
    pub fn new(operation: Operation) -> Command {
        Command { id: command_id(&operation), operation, parsed: None }
    }

    /// Length in bytes of the body that is to be parsed; 0 if the operation has none.
    pub fn body_len(&self) -> usize {
        match &self.operation {
            Operation::Put(body) | Operation::Patch(body) => body.len(),
            Operation::Evacuate(_) | Operation::Restore(_) => 0,
        }
    }

    /// Parses the body and validates it as far as possible without the store.
    pub fn parse(&mut self) {
        self.parsed = ParsedCommand::parse(&self.operation);
    }
}

impl ParsedCommand {
    /// Returns `None` for an operation without a body.
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
