//! Which disk of a voter is meant: two disks of one voter are two identities.

use linenthread_frames::{DecodeError, Decoder, Encoder};
use linenthread_hash::fnv1a_64;

use crate::identifiers::{FoundersDigest, VoterIncarnation};

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

    /// Its id in Raft: a hash of the name, a zero byte and the incarnation. It lies on disks and must not change.
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

/// A digest of the founders' names, in any order: fleets of other voters are no part of this one.
pub(crate) fn founders_digest(voters: &[String]) -> FoundersDigest {
    let mut names = voters.to_vec();
    names.sort_unstable();
    FoundersDigest(VoterIdentity::founder(names.join("\n")).id())
}
