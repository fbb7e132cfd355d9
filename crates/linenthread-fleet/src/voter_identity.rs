//! Which disk of a voter is meant: two disks of one voter are two identities.

use linenthread_frames::{DecodeError, Decoder, Encoder};

use crate::identifiers::{FoundersDigest, VoterIncarnation};

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The id by which Raft knows a voter; never 0, which Raft takes for nobody.
pub(crate) type RaftId = u64;

/// A voter with one disk: an empty disk gets another identity.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct VoterIdentity {
    pub(crate) name: String,
    pub(crate) incarnation: VoterIncarnation,
}

impl VoterIdentity {
    /// The identity of a founder.
    pub(crate) fn founder(name: String) -> VoterIdentity {
        VoterIdentity {
            name,
            incarnation: VoterIncarnation::FOUNDER,
        }
    }

    /// Its id in Raft: FNV-1a of the name and the incarnation. It lies on disks and must not change.
    pub(crate) fn id(&self) -> RaftId {
        let mix = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        let name = self.name.as_bytes().iter().fold(FNV_OFFSET, mix);
        let incarnation = self.incarnation.0.to_be_bytes();
        incarnation.iter().fold(mix(name, &0), mix).max(1)
    }

    pub(crate) fn encode(&self, encoder: &mut Encoder) {
        encoder.text(&self.name);
        encoder.u64(self.incarnation.0);
    }

    pub(crate) fn decode(decoder: &mut Decoder) -> Result<VoterIdentity, DecodeError> {
        Ok(VoterIdentity {
            name: decoder.text()?,
            incarnation: VoterIncarnation(decoder.u64()?),
        })
    }
}

/// A digest of the founders' names, in any order: fleets of other voters are no part of this one.
pub(crate) fn founders_digest(voters: &[String]) -> FoundersDigest {
    let mut names = voters.to_vec();
    names.sort_unstable();
    FoundersDigest(VoterIdentity::founder(names.join("\n")).id())
}
