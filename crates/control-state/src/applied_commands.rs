//! The deduplication table: ids of recently accepted commands. A retried command is acknowledged again
//! instead of being applied twice.

use std::sync::Arc;

use lynxstair_protocol::digest;
use lynxstair_protocol::messages::Bytes;

use crate::command::CommandId;

/// Maximum number of command ids in the deduplication table.
pub const MAX_APPLIED_COMMANDS: usize = 1024;

const GENERATION_LEN: usize = 8;
const ENTRY_LEN: usize = GENERATION_LEN + digest::LENGTH;

/// The ids of the most recently accepted commands.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct AppliedCommands {
    /// Concatenated entries, oldest first. Each has the generation that the command set (big-endian) and the
    /// command id.
    pub entries: Bytes,
    /// Generation of the newest command that was evicted from the table.
    pub evicted_generation: Option<u64>,
}

impl AppliedCommands {
    pub fn contains(&self, id: &CommandId) -> bool {
        self.entries.0.chunks_exact(ENTRY_LEN).any(|entry| entry.ends_with(id))
    }

    /// Adds a command. Evicts the oldest if the table is full.
    pub fn record(&mut self, generation: u64, id: &CommandId) {
        let entries = Arc::make_mut(&mut self.entries.0);
        entries.extend(generation.to_be_bytes());
        entries.extend(id);
        let surplus = entries.len().saturating_sub(MAX_APPLIED_COMMANDS * ENTRY_LEN);
        for entry in entries.drain(..surplus).as_slice().chunks_exact(ENTRY_LEN) {
            self.evicted_generation = entry.first_chunk().map(|generation| u64::from_be_bytes(*generation));
        }
    }

    /// Returns `true` if a command that is not in the table may have been accepted and evicted: an accepted
    /// command has a generation above its base version, and an evicted one has at most the newest evicted
    /// generation.
    pub fn may_have_evicted(&self, base_version: u64, generation: u64) -> bool {
        base_version < generation && Some(generation) <= self.evicted_generation
    }
}
