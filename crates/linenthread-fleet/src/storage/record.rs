//! The records on a voter's disk, specified in `docs/fleet.md`. Later versions of the program must be able to read
//! them.

use linenthread_frames::{Decoder, Encoder};
use raft::eraftpb::{Entry, HardState, Snapshot};

use crate::error::{RecordError, UnknownRecordSnafu};
use crate::frame::{decode_entry, decode_snapshot, encode_entry, encode_snapshot};
use crate::voter_identity::VoterIdentity;

/// Values of a record's first byte, its kind.
mod kind {
    pub(super) const IDENTITY: u8 = 1;
    pub(super) const HARD_STATE: u8 = 2;
    pub(super) const ENTRY: u8 = 3;
    pub(super) const SNAPSHOT: u8 = 4;
    pub(super) const ACTIVE: u8 = 5;
}

/// One record. Except for entries, a later record replaces the earlier one of the same kind.
pub(super) enum Record {
    /// The voter's identity, under which it has not participated in Raft yet.
    Identity(VoterIdentity),
    /// The voter participates in Raft from now on.
    Active,
    HardState(HardState),
    /// Replaces the entry with the same index, and removes all later entries.
    Entry(Entry),
    /// Replaces all entries in the records before it.
    Snapshot(Snapshot),
}

impl Record {
    pub(super) fn decode(bytes: &[u8]) -> Result<Record, RecordError> {
        let mut decoder = Decoder::new(bytes);
        let record = match decoder.u8()? {
            kind::IDENTITY => Record::Identity(VoterIdentity::decode(&mut decoder)?),
            kind::ACTIVE => Record::Active,
            kind::HARD_STATE => Record::HardState(HardState {
                term: decoder.u64()?,
                vote: decoder.u64()?,
                commit: decoder.u64()?,
                ..HardState::default()
            }),
            kind::ENTRY => Record::Entry(decode_entry(&mut decoder)?),
            kind::SNAPSHOT => Record::Snapshot(decode_snapshot(&mut decoder)?),
            kind => return UnknownRecordSnafu { kind }.fail(),
        };
        decoder.finish()?;
        Ok(record)
    }
}

pub(super) fn identity(identity: &VoterIdentity) -> Vec<u8> {
    let mut encoder = encoder(kind::IDENTITY);
    identity.encode(&mut encoder);
    encoder.into_bytes()
}

pub(super) fn active() -> Vec<u8> {
    encoder(kind::ACTIVE).into_bytes()
}

pub(super) fn hard_state(hard_state: &HardState) -> Vec<u8> {
    let mut encoder = encoder(kind::HARD_STATE);
    encoder.u64(hard_state.term);
    encoder.u64(hard_state.vote);
    encoder.u64(hard_state.commit);
    encoder.into_bytes()
}

pub(super) fn entry(entry: &Entry) -> Vec<u8> {
    let mut encoder = encoder(kind::ENTRY);
    encode_entry(entry, &mut encoder);
    encoder.into_bytes()
}

pub(super) fn snapshot(snapshot: &Snapshot) -> Vec<u8> {
    let mut encoder = encoder(kind::SNAPSHOT);
    encode_snapshot(snapshot, &mut encoder);
    encoder.into_bytes()
}

fn encoder(kind: u8) -> Encoder {
    let mut encoder = Encoder::new();
    encoder.u8(kind);
    encoder
}
