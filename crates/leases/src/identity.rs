//! Ids of voters and of clusters, and epochs.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x100_0000_01b3;
/// Ends each part, so that two splits of the same bytes hash apart.
const PART_END: u8 = 0xff;

/// Id of a voter, drawn when its records begin: one that lost its records is another voter, which has promised
/// nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct VoterId(pub u64);

impl VoterId {
    /// No id has been drawn.
    pub(crate) const NONE: VoterId = VoterId(0);
}

/// The fencing token of an ownership: each owner of a duty has a higher one than all owners before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Epoch(pub u64);

/// A voter and where it is reached.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoterInfo {
    /// Its id.
    pub id: VoterId,
    /// Name of its member.
    pub name: String,
    /// Its address.
    pub addr: SocketAddrV4,
}

/// Id of the voters that bootstrapped a table together: all of them compute the same one, and no others do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClusterId(pub u64);

impl ClusterId {
    /// The id of a cluster that these voters bootstrap.
    pub fn of(voters: &[VoterInfo]) -> Self {
        let mut all: Vec<_> = voters.iter().map(|v| (v.name.as_str(), v.id.0.to_be_bytes())).collect();
        all.sort();
        let parts: Vec<&[u8]> = all.iter().flat_map(|(name, id)| [name.as_bytes(), id.as_slice()]).collect();
        ClusterId(hash(&parts))
    }
}

/// 64 bits of FNV-1a: tells fleets and clusters apart; no protection against forgery.
pub(crate) fn hash(parts: &[&[u8]]) -> u64 {
    let mut hash = FNV_OFFSET;
    for part in parts {
        for byte in part.iter().chain(&[PART_END]) {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }
    hash
}

#[cfg(test)]
mod tests;
