//! Encoding of Raft's messages, entries and snapshots, in frames and in records on disk.

use linenthread_frames::{DecodeError, Decoder, Encoder};
use raft::eraftpb::{Entry, EntryType, Message, MessageType, Snapshot};
use snafu::{OptionExt, ensure};

use crate::error::{ContextTooLongSnafu, RecordError, TooManyEntriesSnafu, UnknownMessageSnafu};

/// Maximum number of entries in a message.
const MAX_ENTRIES: u16 = 4_096;
/// Maximum length of a message's context, in bytes.
const MAX_CONTEXT_BYTES: usize = 256;

/// The types of messages between voters, by their code in a frame; others are not accepted.
const MESSAGE_TYPES: [MessageType; 10] = [
    MessageType::MsgAppend,
    MessageType::MsgAppendResponse,
    MessageType::MsgRequestVote,
    MessageType::MsgRequestVoteResponse,
    MessageType::MsgSnapshot,
    MessageType::MsgHeartbeat,
    MessageType::MsgHeartbeatResponse,
    MessageType::MsgRequestPreVote,
    MessageType::MsgRequestPreVoteResponse,
    MessageType::MsgUnreachable,
];
/// The code of all types that are not in the list; no receiver accepts it.
const NO_MESSAGE_TYPE: u8 = 10;

fn message_code(msg_type: MessageType) -> u8 {
    let codes = (0..).zip(MESSAGE_TYPES);
    let mut known = codes.filter(|(_, known)| *known == msg_type);
    known.next().map_or(NO_MESSAGE_TYPE, |(code, _)| code)
}

pub(super) fn encode_message(message: &Message, encoder: &mut Encoder) {
    encoder.u8(message_code(message.msg_type));
    encoder.u64(message.to);
    encoder.u64(message.from);
    encoder.u64(message.term);
    encoder.u64(message.log_term);
    encoder.u64(message.index);
    encoder.u64(message.commit);
    encoder.u64(message.commit_term);
    encoder.u64(message.request_snapshot);
    encoder.flag(message.reject);
    encoder.u64(message.reject_hint);
    encoder.u64(message.priority.cast_unsigned());
    encoder.bytes(&message.context);
    encoder.count(message.entries.len());
    for entry in &message.entries {
        encode_entry(entry, encoder);
    }
    encoder.flag(message.snapshot.is_some());
    if let Some(snapshot) = message.snapshot.as_ref() {
        encode_snapshot(snapshot, encoder);
    }
}

pub(super) fn decode_message(decoder: &mut Decoder) -> Result<Message, RecordError> {
    let kind = decoder.u8()?;
    let msg_type = MESSAGE_TYPES.get(usize::from(kind));
    let mut message = Message {
        msg_type: *msg_type.context(UnknownMessageSnafu { kind })?,
        to: decoder.u64()?,
        from: decoder.u64()?,
        term: decoder.u64()?,
        log_term: decoder.u64()?,
        index: decoder.u64()?,
        commit: decoder.u64()?,
        commit_term: decoder.u64()?,
        request_snapshot: decoder.u64()?,
        reject: decoder.flag()?,
        reject_hint: decoder.u64()?,
        priority: decoder.u64()?.cast_signed(),
        ..Message::default()
    };
    let context = decoder.bytes()?;
    ensure!(context.len() <= MAX_CONTEXT_BYTES, ContextTooLongSnafu);
    message.context = context.to_vec().into();
    let count = decoder.u16()?;
    ensure!(count <= MAX_ENTRIES, TooManyEntriesSnafu { count });
    for _ in 0..count {
        message.entries.push(decode_entry(decoder)?);
    }
    if decoder.flag()? {
        message.set_snapshot(decode_snapshot(decoder)?);
    }
    Ok(message)
}

pub(crate) fn encode_entry(entry: &Entry, encoder: &mut Encoder) {
    encoder.u64(entry.index);
    encoder.u64(entry.term);
    encoder.flag(entry.entry_type == EntryType::EntryConfChange);
    encoder.bytes(&entry.context);
    encoder.bytes(&entry.data);
}

pub(crate) fn decode_entry(decoder: &mut Decoder) -> Result<Entry, DecodeError> {
    let mut entry = Entry {
        index: decoder.u64()?,
        term: decoder.u64()?,
        ..Entry::default()
    };
    if decoder.flag()? {
        entry.entry_type = EntryType::EntryConfChange;
    }
    entry.context = decoder.bytes()?.to_vec().into();
    entry.data = decoder.bytes()?.to_vec().into();
    Ok(entry)
}

pub(crate) fn encode_snapshot(snapshot: &Snapshot, encoder: &mut Encoder) {
    let metadata = snapshot.get_metadata();
    encoder.u64(metadata.index);
    encoder.u64(metadata.term);
    let voters = &metadata.get_conf_state().voters;
    encoder.count(voters.len());
    for id in voters {
        encoder.u64(*id);
    }
    encoder.bytes(&snapshot.data);
}

pub(crate) fn decode_snapshot(decoder: &mut Decoder) -> Result<Snapshot, DecodeError> {
    let mut snapshot = Snapshot::default();
    let metadata = snapshot.mut_metadata();
    metadata.index = decoder.u64()?;
    metadata.term = decoder.u64()?;
    let count = decoder.u16()?;
    let voters: Result<Vec<u64>, DecodeError> = (0..count).map(|_| decoder.u64()).collect();
    metadata.mut_conf_state().voters = voters?;
    snapshot.data = decoder.bytes()?.to_vec().into();
    Ok(snapshot)
}
