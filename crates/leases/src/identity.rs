//! Ids of voters and clusters, and epochs.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x100_0000_01b3;
/// Terminates each part, so that different splits of the same bytes have different hashes.
const PART_END: u8 = 0xff;

/// Random id of a voter. A voter that loses its records takes a new id, so that it can't
/// contradict a vote of the former id.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct VoterId(pub u64);

impl VoterId {
    /// Placeholder for a voter without an id.
    pub(crate) const NONE: VoterId = VoterId(0);
}

/// Fencing token of an ownership. Increases with each grant of a duty.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Epoch(pub u64);

/// Identity and address of a voter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoterInfo {
    /// Id of the voter.
    pub id: VoterId,
    /// Name of the member.
    pub name: String,
    /// Address of the member.
    pub addr: SocketAddrV4,
}

/// Id of a cluster, a hash of the names and ids of the voters that bootstrapped it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClusterId(pub u64);

impl ClusterId {
    /// Computes the id of the cluster that these voters bootstrap. Their order does not matter.
    pub fn of(voters: &[VoterInfo]) -> Self {
        let mut all: Vec<_> = voters.iter().map(|v| (v.name.as_str(), v.id.0.to_be_bytes())).collect();
        all.sort();
        let parts: Vec<&[u8]> = all.iter().flat_map(|(name, id)| [name.as_bytes(), id.as_slice()]).collect();
        ClusterId(hash(&parts))
    }
}

/// 64-bit FNV-1a hash. Distinguishes fleets and clusters; not cryptographic.
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
