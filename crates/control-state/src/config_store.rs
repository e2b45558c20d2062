//! The configuration store: the configuration in force and the evacuated zones, as one state that the consensus
//! replicates. Every command is decided here.

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

/// One version of the replicated state. A command makes a new version of it; nothing changes in place.
#[derive(Clone, Debug, Default)]
pub struct ConfigStore {
    /// Rises with each accepted command.
    pub revision: u64,
    /// The configuration's version, 0 for none.
    pub generation: u64,
    /// Zones that requests are kept out of.
    pub evacuated: BTreeSet<String>,
    /// Over which proxies whole permits are split.
    pub membership: Arc<ProxyMembership>,
    table: ConfigTable,
    /// What the table says, once that was asked for; None where there is none yet, or this build can't act on it.
    configuration: Arc<OnceLock<Option<Arc<Configuration>>>>,
    applied: AppliedCommands,
    /// The length of the encoded state that it was decoded from.
    encoded_len: usize,
}

/// The state as it lies on disks and goes between controllers.
#[derive(Serialize)]
struct Encoded<'a> {
    #[serde(rename = "number")]
    revision: u64,
    #[serde(rename = "sheet")]
    table: &'a ConfigTable,
    evacuated: &'a BTreeSet<String>,
    #[serde(rename = "marks")]
    applied: &'a Bytes,
    forgotten: Option<u64>,
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
    forgotten: Option<u64>,
    #[serde(default)]
    membership: ProxyMembership,
    /// The JSON text of the configuration, as the first landing stored it instead of a table and applied commands.
    #[serde(default)]
    text: String,
}

/// What becomes of a command.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandOutcome {
    /// The state is to become this.
    Accepted(Box<ConfigStore>),
    /// Its effect is in the state already, or was.
    AlreadyApplied,
    /// It may have been accepted so long ago that nobody knows: neither acknowledged nor rejected.
    Unknown,
    /// It is not applied, now or if sent again on the same state.
    Rejected(Rejection),
}

/// Why a command is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// It builds on another version than the current one.
    VersionConflict {
        /// The current version.
        current: u64,
    },
    /// Something in it is wrong.
    Invalid(ValueError),
    /// There is no such zone.
    UnknownZone(String),
}

impl Rejection {
    /// The HTTP status that tells it to the caller.
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
            Rejection::VersionConflict { current } => write!(f, "base-version: {current:08x} is in place"),
            Rejection::Invalid(error) => error.fmt(f),
            Rejection::UnknownZone(zone) => write!(f, "zone {zone}: unknown"),
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
    /// Decodes a state; None where it is none.
    pub fn decode(state: &[u8]) -> Option<ConfigStore> {
        ConfigStore::default().decode_next(state)
    }

    /// Decodes a state that was committed after this one. What is the same in both is shared, and not read again.
    pub fn decode_next(&self, state: &[u8]) -> Option<ConfigStore> {
        if state.is_empty() {
            return Some(ConfigStore::default());
        }
        let decoded: Decoded = ciborium::from_reader(state).ok()?;
        let mut forgotten = decoded.forgotten;
        let mut table = match decoded.table {
            Some(table) => table,
            None if decoded.text.is_empty() => ConfigTable::default(),
            None => {
                let table = ConfigTable::from_json(&json::parse(decoded.text.as_bytes()).ok()?).ok()?;
                // None of its commands can be recognized any more.
                forgotten = Some(table.generation);
                table
            }
        };
        table.share_rows_with(&self.table);
        // Read now where only differences have to be read, else by whoever asks for it first.
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
            applied: AppliedCommands { entries: decoded.applied, forgotten },
            encoded_len: state.len(),
        })
    }

    /// The state in its stored form.
    pub fn encode(&self) -> Vec<u8> {
        let encoded = Encoded {
            revision: self.revision,
            table: &self.table,
            evacuated: &self.evacuated,
            applied: &self.applied.entries,
            forgotten: self.applied.forgotten,
            membership: &self.membership,
        };
        let mut out = Vec::new();
        ciborium::into_writer(&encoded, &mut out).expect("the state encodes, and memory takes it");
        out
    }

    /// The configuration's JSON text; None where there is no configuration yet.
    pub fn to_json(&self) -> Option<String> {
        (self.generation > 0).then(|| self.table.to_json())
    }

    /// Whether `configuration` returns without reading the tables.
    pub fn is_configuration_ready(&self) -> bool {
        self.generation == 0 || self.configuration.get().is_some()
    }

    /// The length of the encoded state that this was decoded from, in bytes.
    pub fn encoded_len(&self) -> usize {
        self.encoded_len
    }

    /// The configuration in the operator's form.
    pub fn table(&self) -> &ConfigTable {
        &self.table
    }

    /// What the configuration says. A large one takes long to read the first time: a clone of this store may ask for it
    /// before, on another thread. A configuration that an older build accepted and this one finds invalid is kept and
    /// given back, but is none to act on.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        let read = || {
            let configuration = (self.generation > 0).then(|| Configuration::from_table(&self.table).ok());
            configuration.flatten().map(Arc::new)
        };
        self.configuration.get_or_init(read).as_ref()
    }

    /// What a table says that comes after the one here.
    fn configuration_after(&self, table: &ConfigTable) -> Result<Configuration, ValueError> {
        let older = self.configuration().map(|configuration| (&self.table, &**configuration));
        Configuration::from_table_reusing(table, older)
    }

    /// Whether a command was accepted, as far as that is remembered.
    pub fn has_applied(&self, command: &Command) -> bool {
        command.id.is_some_and(|id| self.applied.contains(&id))
    }

    /// Decides on a command. `zones`: all zones, each with its region.
    pub fn apply(&self, command: &Command, zones: &[(String, String)]) -> CommandOutcome {
        match &command.operation {
            Operation::Put(_) | Operation::Patch(_) => self.apply_change(command),
            Operation::Evacuate(zone) => self.set_evacuated(zone, true, zones),
            Operation::Restore(zone) => self.set_evacuated(zone, false, zones),
        }
    }

    /// The state with another proxy membership, which is changed by this revision.
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
        let parsed_now;
        let parsed = match &command.parsed {
            Some(parsed) => Some(parsed),
            None => {
                parsed_now = ParsedCommand::parse(&command.operation);
                parsed_now.as_ref()
            }
        };
        let Some(parsed) = parsed else { return CommandOutcome::Unknown };
        if let Some(outcome) = self.check_base_version(parsed) {
            return outcome;
        }
        match self.changed_configuration(parsed) {
            Ok((table, configuration)) => {
                CommandOutcome::Accepted(Box::new(self.next(command, table, configuration)))
            }
            Err(error) => CommandOutcome::Rejected(Rejection::Invalid(error)),
        }
    }

    /// The outcome for a command that builds on another version than the current one; None where it may be applied.
    fn check_base_version(&self, parsed: &ParsedCommand) -> Option<CommandOutcome> {
        let (base_version, generation) = match parsed {
            ParsedCommand::Invalid(_) => return None,
            ParsedCommand::Put { base_version, generation, .. }
            | ParsedCommand::Patch { base_version, generation, .. } => (*base_version, generation),
        };
        if base_version == self.generation {
            return None;
        }
        let may_be_forgotten = generation
            .as_ref()
            .is_ok_and(|generation| self.applied.may_have_forgotten(base_version, *generation));
        Some(if may_be_forgotten {
            CommandOutcome::Unknown
        } else {
            CommandOutcome::Rejected(Rejection::VersionConflict { current: self.generation })
        })
    }

    /// The configuration that a command on the current version makes.
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
                    return json::invalid("body", "nothing to change yet");
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
            let reason = format!("{generation:08x} is not above {:08x}", self.generation);
            return json::invalid("generation", reason);
        }
        Ok(())
    }

    /// The state with a command accepted and remembered.
    fn next(&self, command: &Command, table: ConfigTable, configuration: Arc<Configuration>) -> ConfigStore {
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
        // The configuration is what the table says.
        self.revision == other.revision
            && self.table == other.table
            && self.evacuated == other.evacuated
            && self.membership == other.membership
            && self.applied == other.applied
    }
}
