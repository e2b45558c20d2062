//! The configuration store: the replicated state of the controllers, which comprises the operator's
//! configuration, the evacuated zones and the proxy membership. Decides which operator commands are
//! accepted.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::{Arc, OnceLock};

use lynxstair_config::configuration::Configuration;
use lynxstair_config::json::{self, ValueError};
use lynxstair_config::table::ConfigTable;
use lynxstair_protocol::messages::Bytes;
use serde::{Deserialize, Serialize};

use crate::applied_commands::AppliedCommands;
use crate::command::{Command, Operation, ParsedCommand};
use crate::proxy_membership::ProxyMembership;

pub use crate::applied_commands::MAX_APPLIED_COMMANDS;

/// One version of the replicated state. Immutable: an accepted command produces a new version.
#[derive(Clone, Debug, Default)]
pub struct ConfigStore {
    /// Revision of the state; increases by one with each accepted command or membership change.
    pub revision: u64,
    /// Version of the configuration, set by the operator; 0 if there is no configuration.
    pub generation: u64,
    /// Zones that receive no requests.
    pub evacuated: BTreeSet<String>,
    /// Proxies that share the slow-start permits.
    pub membership: Arc<ProxyMembership>,
    table: ConfigTable,
    /// The parsed table, computed on first use; `None` inside if there is no configuration or this build
    /// rejects it.
    configuration: Arc<OnceLock<Option<Arc<Configuration>>>>,
    applied: AppliedCommands,
    /// Length in bytes of the encoded state that this, or the state before it, was decoded from.
    encoded_len: usize,
}

/// The state in its stored form, which is also sent between controllers.
#[derive(Serialize)]
struct Encoded<'a> {
    #[serde(rename = "number")]
    revision: u64,
    #[serde(rename = "sheet")]
    table: &'a ConfigTable,
    evacuated: &'a BTreeSet<String>,
    #[serde(rename = "marks")]
    applied: &'a Bytes,
    #[serde(rename = "forgotten")]
    evicted_generation: Option<u64>,
    #[serde(skip_serializing_if = "ProxyMembership::is_empty")]
    membership: &'a ProxyMembership,
}

#[derive(Deserialize)]
struct Decoded {
    #[serde(rename = "number")]
    revision: u64,
    #[serde(rename = "sheet")]
    table: Option<ConfigTable>,
    evacuated: BTreeSet<String>,
    #[serde(default, rename = "marks")]
    applied: Bytes,
    #[serde(rename = "forgotten")]
    evicted_generation: Option<u64>,
    #[serde(default)]
    membership: ProxyMembership,
    /// The JSON text of the configuration, stored by the first release instead of a table and applied
    /// commands.
    #[serde(default)]
    text: String,
}

/// The decision on a command.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandOutcome {
    /// The command is valid; contains the resulting state, which is to be replicated.
    Accepted(Box<ConfigStore>),
    /// The command was applied before, or the state already has its effect.
    AlreadyApplied,
    /// The command may have been applied and evicted from the deduplication table, so it is neither
    /// acknowledged nor rejected.
    Unknown,
    /// The command is not applied. Retrying it on the same state gives the same result.
    Rejected(Rejection),
}

/// Reason for rejecting a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The base version of the command is not the current version.
    VersionConflict {
        /// Generation of the current configuration.
        current: u64,
    },
    /// The command or the resulting configuration is invalid.
    Invalid(ValueError),
    /// The named zone does not exist.
    UnknownZone(String),
}

impl Rejection {
    /// Returns the HTTP status of the response to the operator.
    pub fn status(&self) -> u16 {
        match self {
            Rejection::VersionConflict { .. } => 412,
            Rejection::Invalid(_) => 400,
            Rejection::UnknownZone(_) => 404,
        }
    }
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Rejection::VersionConflict { current } => {
                write!(f, "base-version: the current version is {current:08x}")
            }
            Rejection::Invalid(error) => error.fmt(f),
            Rejection::UnknownZone(zone) => write!(f, "unknown zone {zone}"),
        }
    }
}

impl std::error::Error for Rejection {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Rejection::Invalid(error) => Some(error),
            Rejection::VersionConflict { .. } | Rejection::UnknownZone(_) => None,
        }
    }
}

impl ConfigStore {
    /// Decodes a stored state. Returns `None` if the bytes are invalid. Empty input is the initial state.
    pub fn decode(state: &[u8]) -> Option<ConfigStore> {
        ConfigStore::default().decode_next(state)
    }

    /// Decodes a state that was committed after this one. Rows that are equal in both are shared, and not
    /// parsed again.
    pub fn decode_next(&self, state: &[u8]) -> Option<ConfigStore> {
        if state.is_empty() {
            return Some(ConfigStore::default());
        }
        let decoded: Decoded = ciborium::from_reader(state).ok()?;
        let mut evicted_generation = decoded.evicted_generation;
        let mut table = match decoded.table {
            Some(table) => table,
            None if decoded.text.is_empty() => ConfigTable::default(),
            None => {
                let table = ConfigTable::from_json(&json::parse(decoded.text.as_bytes()).ok()?).ok()?;
                // This format holds no command ids: treat all commands up to its generation as evicted.
                evicted_generation = Some(table.generation);
                table
            }
        };
        table.share_rows_with(&self.table);
        // If the older configuration is parsed, parsing the changed rows is cheap; otherwise parse on first
        // use.
        let configuration = match self.configuration.get() {
            Some(Some(_)) => OnceLock::from(self.configuration_after(&table).ok().map(Arc::new)),
            _ => OnceLock::new(),
        };
        Some(ConfigStore {
            revision: decoded.revision,
            generation: table.generation,
            evacuated: decoded.evacuated,
            membership: Arc::new(decoded.membership),
            table,
            configuration: Arc::new(configuration),
            applied: AppliedCommands { entries: decoded.applied, evicted_generation },
            encoded_len: state.len(),
        })
    }

    /// Encodes the state in its stored form.
    pub fn encode(&self) -> Vec<u8> {
        let encoded = Encoded {
            revision: self.revision,
            table: &self.table,
            evacuated: &self.evacuated,
            applied: &self.applied.entries,
            evicted_generation: self.applied.evicted_generation,
            membership: &self.membership,
        };
        let mut out = Vec::new();
        ciborium::into_writer(&encoded, &mut out).expect("writing CBOR to a Vec does not fail");
        out
    }

    /// Returns the configuration as JSON text, or `None` if there is no configuration yet.
    pub fn to_json(&self) -> Option<String> {
        (self.generation > 0).then(|| self.table.to_json())
    }

    /// Returns `true` if [`ConfigStore::configuration`] returns without parsing the tables.
    pub fn is_configuration_ready(&self) -> bool {
        self.generation == 0 || self.configuration.get().is_some()
    }

    /// Length in bytes of the encoded state that this was decoded from; 0 for the initial state. The next
    /// state of an accepted command keeps the length until it is encoded and decoded.
    pub fn encoded_len(&self) -> usize {
        self.encoded_len
    }

    /// The configuration as the tables that the operator sends.
    pub fn table(&self) -> &ConfigTable {
        &self.table
    }

    /// Returns the parsed configuration. The first call parses the tables, which takes long for a large
    /// configuration; clones share the result, so another thread can parse it in advance. Returns `None` if
    /// there is no configuration, or if an older build accepted one that this build finds invalid; the
    /// tables are still stored then.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        let read = || {
            let configuration = (self.generation > 0).then(|| Configuration::from_table(&self.table).ok());
            configuration.flatten().map(Arc::new)
        };
        self.configuration.get_or_init(read).as_ref()
    }

    /// Parses a newer table, reusing rows that are already parsed here.
    fn configuration_after(&self, table: &ConfigTable) -> Result<Configuration, ValueError> {
        let older = self.configuration().map(|configuration| (&self.table, &**configuration));
        Configuration::from_table_reusing(table, older)
    }

    /// Returns `true` if the command is in the table of recently applied commands.
    pub fn has_applied(&self, command: &Command) -> bool {
        command.id.is_some_and(|id| self.applied.contains(&id))
    }

    /// Decides on a command. `zones` lists all zones, each with its region.
    pub fn apply(&self, command: &Command, zones: &[(String, String)]) -> CommandOutcome {
        match &command.operation {
            Operation::Put(_) | Operation::Patch(_) => self.apply_change(command),
            Operation::Evacuate(zone) => self.set_evacuated(zone, true, zones),
            Operation::Restore(zone) => self.set_evacuated(zone, false, zones),
        }
    }

    /// Returns the next state with another proxy membership, whose revision is set to that of the new state.
    pub fn with_membership(&self, mut membership: ProxyMembership) -> ConfigStore {
        let revision = self.revision + 1;
        membership.revision = revision;
        ConfigStore { revision, membership: Arc::new(membership), ..self.clone() }
    }

    fn set_evacuated(&self, zone: &str, is_evacuated: bool, zones: &[(String, String)]) -> CommandOutcome {
        if !zones.iter().any(|(known, _)| known == zone) {
            return CommandOutcome::Rejected(Rejection::UnknownZone(zone.to_string()));
        }
        let mut next = ConfigStore { revision: self.revision + 1, ..self.clone() };
        let is_changed =
            if is_evacuated { next.evacuated.insert(zone.to_string()) } else { next.evacuated.remove(zone) };
        if is_changed { CommandOutcome::Accepted(Box::new(next)) } else { CommandOutcome::AlreadyApplied }
    }

    fn apply_change(&self, command: &Command) -> CommandOutcome {
        if self.has_applied(command) {
            return CommandOutcome::AlreadyApplied;
        }
        let parsed_here;
        let parsed = match &command.parsed {
            Some(parsed) => Some(parsed),
            None => {
                parsed_here = ParsedCommand::parse(&command.operation);
                parsed_here.as_ref()
            }
        };
        let Some(parsed) = parsed else { return CommandOutcome::Unknown };
        if let Some(outcome) = self.check_base_version(parsed) {
            return outcome;
        }
        match self.changed_configuration(parsed) {
            Ok((table, configuration)) => {
                CommandOutcome::Accepted(Box::new(self.next_state(command, table, configuration)))
            }
            Err(error) => CommandOutcome::Rejected(Rejection::Invalid(error)),
        }
    }

    /// Returns the outcome of a command whose base version is not the current one, or `None` if it may be
    /// applied.
    fn check_base_version(&self, parsed: &ParsedCommand) -> Option<CommandOutcome> {
        let (base_version, generation) = match parsed {
            ParsedCommand::Invalid(_) => return None,
            ParsedCommand::Put { base_version, generation, .. }
            | ParsedCommand::Patch { base_version, generation, .. } => (*base_version, generation),
        };
        if base_version == self.generation {
            return None;
        }
        let may_be_evicted = generation
            .as_ref()
            .is_ok_and(|generation| self.applied.may_have_evicted(base_version, *generation));
        Some(if may_be_evicted {
            CommandOutcome::Unknown
        } else {
            CommandOutcome::Rejected(Rejection::VersionConflict { current: self.generation })
        })
    }

    /// Returns the configuration that results from a command on the current version.
    fn changed_configuration(
        &self,
        parsed: &ParsedCommand,
    ) -> Result<(ConfigTable, Arc<Configuration>), ValueError> {
        match parsed {
            ParsedCommand::Invalid(error) => Err(error.clone()),
            ParsedCommand::Put { generation, config, .. } => {
                self.check_generation(generation)?;
                let (mut table, configuration) = *config.clone()?;
                table.share_rows_with(&self.table);
                Ok((table, configuration))
            }
            ParsedCommand::Patch { generation, body, .. } => {
                self.check_generation(generation)?;
                if self.generation == 0 {
                    return json::invalid("body", "there is no configuration to patch yet");
                }
                let table = self.table.patched(body)?;
                let configuration = self.configuration_after(&table)?;
                Ok((table, Arc::new(configuration)))
            }
        }
    }

    fn check_generation(&self, generation: &Result<u64, ValueError>) -> Result<(), ValueError> {
        let generation = generation.clone()?;
        if generation <= self.generation {
            let reason = format!("{generation:08x} must be greater than {:08x}", self.generation);
            return json::invalid("generation", reason);
        }
        Ok(())
    }

    /// Returns the next state, with the command recorded as applied.
    fn next_state(
        &self,
        command: &Command,
        table: ConfigTable,
        configuration: Arc<Configuration>,
    ) -> ConfigStore {
        let mut applied = self.applied.clone();
        if let Some(id) = &command.id {
            applied.record(table.generation, id);
        }
        ConfigStore {
            revision: self.revision + 1,
            generation: table.generation,
            evacuated: self.evacuated.clone(),
            membership: self.membership.clone(),
            table,
            configuration: Arc::new(OnceLock::from(Some(configuration))),
            applied,
            encoded_len: self.encoded_len,
        }
    }
}

impl PartialEq for ConfigStore {
    fn eq(&self, other: &ConfigStore) -> bool {
        // The parsed configuration is derived from the table.
        self.revision == other.revision
            && self.table == other.table
            && self.evacuated == other.evacuated
            && self.membership == other.membership
            && self.applied == other.applied
    }
}
