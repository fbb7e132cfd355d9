//! The replicas that a server can reach.

use linenthread_core::interface::Phase;
use linenthread_frames::{Decoder, Encoder};

use super::MAX_MEMBERS;
use super::error::{FrameError, TooManyMembersSnafu, UnknownPhaseSnafu};

/// The maximum length of a replica id or a zone name, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// The encoding of the age `None`, for a replica that started long ago.
const AGE_UNKNOWN: u32 = u32::MAX;
/// The whole slow-start budget, in thousandths.
const MAX_SHARE: u16 = 1_000;

/// A replica that the server can reach.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The replica's id.
    pub id: String,
    /// The replica's zone.
    pub zone: String,
    /// The replica group, from 0; replicas of the same group hold the same shards.
    pub replica_group: u32,
    /// Whether the replica accepts calls.
    pub phase: Phase,
    /// Milliseconds since the replica last started; `None` if that was long ago.
    pub age_ms: Option<u32>,
    /// The share of the replica's slow-start budget that the client may use, in thousandths.
    pub slow_start_share: u16,
}

impl Member {
    /// Reports whether its names have a valid length and its replica group is below `replica_groups`.
    pub fn is_valid(&self, replica_groups: usize) -> bool {
        let id_length = 1..=MAX_NAME_BYTES;
        id_length.contains(&self.id.len())
            && self.zone.len() <= MAX_NAME_BYTES
            && usize::try_from(self.replica_group).is_ok_and(|group| group < replica_groups)
    }

    fn encode(&self, encoder: &mut Encoder) {
        encoder.text(&self.id);
        encoder.text(&self.zone);
        encoder.u32(self.replica_group);
        encoder.u8(phase_code(self.phase));
        encoder.u32(self.age_ms.unwrap_or(AGE_UNKNOWN));
        encoder.u16(self.slow_start_share);
    }

    fn decode(decoder: &mut Decoder<'_>) -> Result<Member, FrameError> {
        Ok(Member {
            id: decoder.text()?,
            zone: decoder.text()?,
            replica_group: decoder.u32()?,
            phase: decode_phase(decoder)?,
            age_ms: Some(decoder.u32()?).filter(|age| *age != AGE_UNKNOWN),
            slow_start_share: decoder.u16()?.min(MAX_SHARE),
        })
    }
}

/// The server's list of replicas, or the changes to it.
#[derive(Clone, Debug, PartialEq)]
pub struct MembersUpdate {
    /// The number of changes to the list since the server's start.
    pub revision: u64,
    /// Whether this is the complete list; otherwise it has only new, changed and removed replicas.
    pub complete: bool,
    /// The replicas; only the first [`MAX_MEMBERS`] are sent.
    pub members: Vec<Member>,
}

impl MembersUpdate {
    pub(super) fn encode(&self, encoder: &mut Encoder) {
        let members = self.members.get(..MAX_MEMBERS).unwrap_or(&self.members);
        encoder.u64(self.revision);
        encoder.flag(self.complete);
        encoder.count(members.len());
        for member in members {
            member.encode(encoder);
        }
    }

    pub(super) fn decode(decoder: &mut Decoder<'_>) -> Result<MembersUpdate, FrameError> {
        let (revision, complete, count) = (decoder.u64()?, decoder.flag()?, decoder.u16()?);
        if usize::from(count) > MAX_MEMBERS {
            return TooManyMembersSnafu { count }.fail();
        }
        let members = (0..count)
            .map(|_| Member::decode(decoder))
            .collect::<Result<_, FrameError>>()?;
        Ok(MembersUpdate {
            revision,
            complete,
            members,
        })
    }
}

fn phase_code(phase: Phase) -> u8 {
    match phase {
        Phase::Ready => 0,
        Phase::Draining => 1,
        Phase::Removed => 2,
    }
}

fn decode_phase(decoder: &mut Decoder<'_>) -> Result<Phase, FrameError> {
    Ok(match decoder.u8()? {
        0 => Phase::Ready,
        1 => Phase::Draining,
        2 => Phase::Removed,
        code => return UnknownPhaseSnafu { code }.fail(),
    })
}
