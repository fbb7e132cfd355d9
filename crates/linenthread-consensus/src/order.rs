use linenthread_messages::{DocumentDigest, OrderIdentity, Voter};
use sha2::{Digest, Sha256};

/// What a caller wants decided.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Change {
    /// A configuration, on top of the revision it builds on.
    Document {
        base: u64,
        revision: u64,
        document: Vec<u8>,
    },
    /// Other disks to count, on top of the value of this number.
    Voters {
        base_number: u64,
        voters: Vec<Voter>,
        epoch: u64,
    },
    /// Only what is half done.
    Completion,
}

/// The digest by which a document is known.
pub fn document_digest(document: &[u8]) -> DocumentDigest {
    let hash = Sha256::digest(document);
    let part = |from: usize| {
        hash[from..from + 8]
            .iter()
            .fold(0, |sum: u64, byte| sum << 8 | u64::from(*byte))
    };
    DocumentDigest {
        high: part(0),
        low: part(8),
    }
}

/// A change as the proposer keeps it: the digest of a document is made once.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Wanted {
    Order {
        identity: OrderIdentity,
        document: prost::bytes::Bytes,
    },
    Voters {
        on: u64,
        voters: Vec<Voter>,
        epoch: u64,
    },
    Completion,
}

impl From<Change> for Wanted {
    fn from(change: Change) -> Wanted {
        match change {
            Change::Document {
                base,
                revision,
                document,
            } => {
                let digest = document_digest(&document);
                Wanted::Order {
                    identity: OrderIdentity {
                        revision,
                        base,
                        digest,
                    },
                    document: document.into(),
                }
            }
            Change::Voters {
                base_number: on,
                voters,
                epoch,
            } => Wanted::Voters { on, voters, epoch },
            Change::Completion => Wanted::Completion,
        }
    }
}
