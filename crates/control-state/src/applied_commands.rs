//! The deduplication table: which commands were accepted lately, so that one that is sent again is acknowledged again and
//! not applied twice.

use std::sync::Arc;

use lynxstair_protocol::digest;
use lynxstair_protocol::messages::Bytes;

use crate::command::CommandId;

/// How many accepted commands are remembered.
pub const MAX_APPLIED_COMMANDS: usize = 1024;

const GENERATION_LEN: usize = 8;
const ENTRY_LEN: usize = GENERATION_LEN + digest::LENGTH;

/// The newest accepted commands, and how far back they reach.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct AppliedCommands {
    /// One entry behind the other, oldest first: the generation that the command brought (big-endian) and its id.
    pub entries: Bytes,
    /// The generation of the newest accepted command that is no longer remembered.
    pub forgotten: Option<u64>,
}

impl AppliedCommands {
    pub fn contains(&self, id: &CommandId) -> bool {
        self.entries.0.chunks_exact(ENTRY_LEN).any(|entry| entry.ends_with(id))
    }

    /// Adds a command; the oldest is forgotten where there are too many.
    pub fn record(&mut self, generation: u64, id: &CommandId) {
        let entries = Arc::make_mut(&mut self.entries.0);
        entries.extend(generation.to_be_bytes());
        entries.extend(id);
        let surplus = entries.len().saturating_sub(MAX_APPLIED_COMMANDS * ENTRY_LEN);
        for entry in entries.drain(..surplus).as_slice().chunks_exact(ENTRY_LEN) {
            self.forgotten = entry.first_chunk().map(|generation| u64::from_be_bytes(*generation));
        }
    }

    /// Whether a command that is not found may have been accepted and forgotten. One that was accepted lies above its
    /// base, and no higher than the newest that is forgotten.
    pub fn may_have_forgotten(&self, base_version: u64, generation: u64) -> bool {
        base_version < generation && Some(generation) <= self.forgotten
    }
}
