//! The identity of a voter with a particular disk: a voter with another disk has another identity.

use linenthread_frames::{DecodeError, Decoder, Encoder};
use linenthread_hash::fnv1a_64;

use crate::identifiers::{FoundersDigest, VoterIncarnation};

/// A voter's id in Raft; never 0, which means no voter.
pub(crate) type RaftId = u64;

/// A voter with a particular disk: if the disk is lost, the voter gets a new incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct VoterIdentity {
    pub(crate) name: String,
    pub(crate) incarnation: VoterIncarnation,
}

impl VoterIdentity {
    /// Returns the identity of a founder.
    pub(crate) fn founder(name: String) -> VoterIdentity {
        VoterIdentity {
            name,
            incarnation: VoterIncarnation::FOUNDER,
        }
    }

    /// Returns the id in Raft: a hash of the name, a zero byte and the incarnation. It is stored on disks, so the hash
    /// must not change.
    pub(crate) fn id(&self) -> RaftId {
        let incarnation = self.incarnation.0.to_be_bytes();
        let bytes = [self.name.as_bytes(), &[0], &incarnation].concat();
        fnv1a_64(&bytes).max(1)
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

/// Returns a digest of the founders' names, which does not depend on their order. It keeps fleets with different voters
/// apart.
pub(crate) fn founders_digest(voters: &[String]) -> FoundersDigest {
    let mut names = voters.to_vec();
    names.sort_unstable();
    FoundersDigest(VoterIdentity::founder(names.join("\n")).id())
}
