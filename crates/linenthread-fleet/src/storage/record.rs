//! The records on a voter's disk, byte by byte in `docs/fleet.md`: they outlast versions of this program.

use linenthread_frames::{Decoder, Encoder};
use raft::eraftpb::{Entry, HardState, Snapshot};

use crate::error::{RecordError, UnknownRecordSnafu};
use crate::frame::{decode_entry, decode_snapshot, encode_entry, encode_snapshot};
use crate::voter_identity::VoterIdentity;

/// The first byte of a record: what it holds.
mod kind {
    pub(super) const IDENTITY: u8 = 1;
    pub(super) const HARD_STATE: u8 = 2;
    pub(super) const ENTRY: u8 = 3;
    pub(super) const SNAPSHOT: u8 = 4;
    pub(super) const ACTIVE: u8 = 5;
}

/// One record. Later ones replace earlier ones of the same kind, but for entries.
pub(super) enum Record {
    /// The voter's identity; it has not taken part in Raft under it yet.
    Identity(VoterIdentity),
    /// The voter takes part in Raft from here on.
    Active,
    HardState(HardState),
    /// It stands in its place, and those after it are gone.
    Entry(Entry),
    /// It stands for all entries before it.
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
