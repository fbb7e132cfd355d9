//! Encoding of gossip messages for foca.

use std::collections::BTreeSet;

use bytes::{Buf, BufMut};
use foca::{Header, Message, State};
use linenthread_frames::{Decoder, Encoder};
use snafu::{Snafu, ensure};

use crate::NodeIdentity;
use crate::error::{RecordError, TooManyNamesSnafu, UnknownGossipSnafu, UnknownMemberStateSnafu};

/// Maximum number of distinct names that are ever accepted, including those of members that are down.
const MAX_NAMES: usize = 4_096;

/// Values of a message's kind byte.
mod kind {
    pub(super) const PING: u8 = 1;
    pub(super) const ACK: u8 = 2;
    pub(super) const PING_REQUEST: u8 = 3;
    pub(super) const INDIRECT_PING: u8 = 4;
    pub(super) const INDIRECT_ACK: u8 = 5;
    pub(super) const FORWARDED_ACK: u8 = 6;
    pub(super) const ANNOUNCE: u8 = 7;
    pub(super) const FEED: u8 = 8;
    pub(super) const GOSSIP: u8 = 9;
    pub(super) const BROADCAST: u8 = 10;
    pub(super) const TURN_UNDEAD: u8 = 11;
}

/// Values of a member's state byte.
mod state {
    pub(super) const ALIVE: u8 = 1;
    pub(super) const SUSPECT: u8 = 2;
    pub(super) const DOWN: u8 = 3;
}

/// The reason why gossip cannot be encoded or decoded.
#[derive(Debug, Snafu)]
pub(crate) enum CodecError {
    #[snafu(transparent)]
    Malformed { source: RecordError },
    #[snafu(display("no room"))]
    DatagramFull,
}

/// Encodes and decodes gossip. It keeps all names that it has accepted, in order to limit their number.
#[derive(Default)]
pub(super) struct GossipCodec {
    names: BTreeSet<String>,
}

impl GossipCodec {
    fn accept_name(&mut self, name: &str) -> Result<(), RecordError> {
        let has_space = self.names.len() < MAX_NAMES || self.names.contains(name);
        ensure!(has_space, TooManyNamesSnafu);
        self.names.insert(name.to_owned());
        Ok(())
    }
}

/// Decodes one item at the start of the buffer, and advances the buffer past it.
fn decode_item<T>(
    mut buffer: impl Buf,
    decode: impl FnOnce(&mut Decoder) -> Result<T, RecordError>,
) -> Result<T, CodecError> {
    let mut decoder = Decoder::new(buffer.chunk());
    let length = decoder.remaining();
    let item = decode(&mut decoder)?;
    let consumed = length - decoder.remaining();
    buffer.advance(consumed);
    Ok(item)
}

/// Appends an item; fails if the datagram has no space for it.
fn encode_item(mut buffer: impl BufMut, item: Encoder) -> Result<(), CodecError> {
    let bytes = item.into_bytes();
    ensure!(buffer.remaining_mut() >= bytes.len(), DatagramFullSnafu);
    buffer.put_slice(&bytes);
    Ok(())
}

fn encode_message(message: &Message<NodeIdentity>, encoder: &mut Encoder) {
    let (kind, number, other) = match message {
        Message::Ping(number) => (kind::PING, *number, None),
        Message::Ack(number) => (kind::ACK, *number, None),
        Message::PingReq {
            target,
            probe_number,
        } => (kind::PING_REQUEST, *probe_number, Some(target)),
        Message::IndirectPing {
            origin,
            probe_number,
        } => (kind::INDIRECT_PING, *probe_number, Some(origin)),
        Message::IndirectAck {
            target,
            probe_number,
        } => (kind::INDIRECT_ACK, *probe_number, Some(target)),
        Message::ForwardedAck {
            origin,
            probe_number,
        } => (kind::FORWARDED_ACK, *probe_number, Some(origin)),
        Message::Announce => (kind::ANNOUNCE, 0, None),
        Message::Feed => (kind::FEED, 0, None),
        Message::Gossip => (kind::GOSSIP, 0, None),
        Message::Broadcast => (kind::BROADCAST, 0, None),
        Message::TurnUndead => (kind::TURN_UNDEAD, 0, None),
    };
    encoder.u8(kind);
    encoder.u8(number);
    if let Some(other) = other {
        other.encode(encoder);
    }
}

fn decode_message(decoder: &mut Decoder) -> Result<Message<NodeIdentity>, RecordError> {
    let (kind, probe_number) = (decoder.u8()?, decoder.u8()?);
    Ok(match kind {
        kind::PING => Message::Ping(probe_number),
        kind::ACK => Message::Ack(probe_number),
        kind::PING_REQUEST => Message::PingReq {
            target: NodeIdentity::decode(decoder)?,
            probe_number,
        },
        kind::INDIRECT_PING => Message::IndirectPing {
            origin: NodeIdentity::decode(decoder)?,
            probe_number,
        },
        kind::INDIRECT_ACK => Message::IndirectAck {
            target: NodeIdentity::decode(decoder)?,
            probe_number,
        },
        kind::FORWARDED_ACK => Message::ForwardedAck {
            origin: NodeIdentity::decode(decoder)?,
            probe_number,
        },
        kind::ANNOUNCE => Message::Announce,
        kind::FEED => Message::Feed,
        kind::GOSSIP => Message::Gossip,
        kind::BROADCAST => Message::Broadcast,
        kind::TURN_UNDEAD => Message::TurnUndead,
        kind => return UnknownGossipSnafu { kind }.fail(),
    })
}

impl foca::Codec<NodeIdentity> for GossipCodec {
    type Error = CodecError;

    fn encode_header(
        &mut self,
        header: &Header<NodeIdentity>,
        buffer: impl BufMut,
    ) -> Result<(), CodecError> {
        let mut encoder = Encoder::new();
        header.src.encode(&mut encoder);
        encoder.u16(header.src_incarnation);
        header.dst.encode(&mut encoder);
        encode_message(&header.message, &mut encoder);
        encode_item(buffer, encoder)
    }

    fn decode_header(&mut self, buffer: impl Buf) -> Result<Header<NodeIdentity>, CodecError> {
        decode_item(buffer, |decoder| {
            let header = Header {
                src: NodeIdentity::decode(decoder)?,
                src_incarnation: decoder.u16()?,
                dst: NodeIdentity::decode(decoder)?,
                message: decode_message(decoder)?,
            };
            self.accept_name(&header.src.name)?;
            Ok(header)
        })
    }

    fn encode_member(
        &mut self,
        member: &foca::Member<NodeIdentity>,
        buffer: impl BufMut,
    ) -> Result<(), CodecError> {
        let mut encoder = Encoder::new();
        member.id().encode(&mut encoder);
        encoder.u16(member.incarnation());
        encoder.u8(match member.state() {
            State::Alive => state::ALIVE,
            State::Suspect => state::SUSPECT,
            State::Down => state::DOWN,
        });
        encode_item(buffer, encoder)
    }

    fn decode_member(
        &mut self,
        buffer: impl Buf,
    ) -> Result<foca::Member<NodeIdentity>, CodecError> {
        decode_item(buffer, |decoder| {
            let identity = NodeIdentity::decode(decoder)?;
            let incarnation = decoder.u16()?;
            let state = match decoder.u8()? {
                state::ALIVE => State::Alive,
                state::SUSPECT => State::Suspect,
                state::DOWN => State::Down,
                code => return UnknownMemberStateSnafu { code }.fail(),
            };
            self.accept_name(&identity.name)?;
            Ok(foca::Member::new(identity, incarnation, state))
        })
    }
}
