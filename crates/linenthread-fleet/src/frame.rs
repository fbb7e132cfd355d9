//! What two processes of a fleet say over their connection; byte by byte in `docs/fleet.md`.

use linenthread_frames::{self as frames, Nonce, Proof, Put, Res, Side, Take};
use raft::eraftpb::{Message, MessageType};

use crate::keep::{put_entry, put_snapshot, take_entry, take_snapshot};

/// The version spoken here.
pub const VERSION: u8 = 1;
/// Longer frames end the connection.
pub const LONGEST: usize = 1024 * 1024;
/// Bytes of a report at the most.
pub const LONGEST_REPORT: usize = 64 * 1024;
const MOST_ENTRIES: u16 = 4_096;
const LONGEST_CONTEXT: usize = 256;

pub(crate) const DIALS: Side = *b"linenthread dial";
pub(crate) const TAKES: Side = *b"linenthread take";

/// How far a voter has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Its disk is empty, and it has no self yet.
    Empty,
    /// It is one of those the fleet is founded with, and waits for the others to say so too.
    Founded,
    /// It takes part, or would.
    Holding,
    /// Its disk has failed: what it holds is not known.
    Stopped,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// Who was connected to, first: the versions it speaks, and what the hello must prove itself over.
    Challenge {
        least: u8,
        most: u8,
        nonce: Nonce,
        name: String,
    },
    /// Who has connected: whether as a voter, and what the welcome must prove itself over.
    Hello {
        version: u8,
        name: String,
        voter: bool,
        nonce: Nonce,
        proof: Proof,
    },
    Welcome {
        proof: Proof,
    },
    /// Either: why it goes no further.
    Refuse {
        why: String,
    },
    /// Between voters: how far it has come, its self (0 for a founder's), a sum of the founders' names.
    Standing {
        standing: Standing,
        life: u64,
        founders: u64,
    },
    /// Between voters.
    Record(Box<Message>),
    /// To who follows: a value that was agreed on.
    Agreed {
        topic: String,
        number: u64,
        value: Vec<u8>,
    },
    /// On its way to who leads.
    Report {
        bytes: Vec<u8>,
    },
    Ping {
        number: u64,
    },
    Pong {
        number: u64,
    },
}

/// Messages that voters send each other, by their number in a frame; others are not taken.
const KINDS: [MessageType; 10] = [
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

fn put_message(message: &Message, put: &mut Put) {
    let kind = KINDS
        .iter()
        .position(|k| *k == message.msg_type)
        .unwrap_or(KINDS.len());
    put.0.push(kind as u8);
    let Message {
        to,
        from,
        term,
        log_term,
        index,
        commit,
        commit_term,
        ..
    } = message;
    [
        *to,
        *from,
        *term,
        *log_term,
        *index,
        *commit,
        *commit_term,
        message.request_snapshot,
    ]
    .into_iter()
    .for_each(|number| put.u64(number));
    put.0.push(message.reject.into());
    put.u64(message.reject_hint);
    put.u64(message.priority as u64);
    put.bytes(&message.context);
    put.u16(message.entries.len() as u16);
    message
        .entries
        .iter()
        .for_each(|entry| put_entry(entry, put));
    put.0.push(message.snapshot.is_some().into());
    if let Some(snapshot) = message.snapshot.as_ref() {
        put_snapshot(snapshot, put);
    }
}

fn take_message(take: &mut Take) -> Res<Message> {
    let kind = usize::from(take.u8()?);
    let msg_type = *KINDS
        .get(kind)
        .ok_or_else(|| format!("no message is of kind {kind}"))?;
    let mut message = Message {
        msg_type,
        ..Message::default()
    };
    let mut number = || take.u64();
    message.to = number()?;
    message.from = number()?;
    message.term = number()?;
    message.log_term = number()?;
    message.index = number()?;
    message.commit = number()?;
    message.commit_term = number()?;
    message.request_snapshot = number()?;
    message.reject = take.flag()?;
    message.reject_hint = take.u64()?;
    message.priority = take.u64()? as i64;
    let context = take.lot()?;
    if context.len() > LONGEST_CONTEXT {
        return Err("a message's context is too long".into());
    }
    message.context = context.to_vec().into();
    let count = take.u16()?;
    if count > MOST_ENTRIES {
        return Err(format!("{count} entries are too many"));
    }
    for _ in 0..count {
        message.entries.push(take_entry(take)?);
    }
    if take.flag()? {
        message.set_snapshot(take_snapshot(take)?);
    }
    Ok(message)
}

const STANDINGS: [Standing; 4] = [
    Standing::Empty,
    Standing::Founded,
    Standing::Holding,
    Standing::Stopped,
];

impl Frame {
    /// What a hello or welcome proves itself by: its bytes without the proof.
    pub(crate) fn said(&self) -> Vec<u8> {
        let mut bytes = self.encode();
        bytes.truncate(bytes.len() - size_of::<Proof>());
        bytes
    }

    /// The whole frame, its length first.
    pub fn encode(&self) -> Vec<u8> {
        let mut put = Put::frame();
        let kind = match self {
            Frame::Challenge {
                least,
                most,
                nonce,
                name,
            } => {
                put.0.extend([*least, *most]);
                put.0.extend(nonce);
                put.text(name);
                1
            }
            Frame::Hello {
                version,
                name,
                voter,
                nonce,
                proof,
            } => {
                put.0.push(*version);
                put.text(name);
                put.0.push((*voter).into());
                put.0.extend(nonce);
                put.0.extend(proof);
                2
            }
            Frame::Welcome { proof } => {
                put.0.extend(proof);
                3
            }
            Frame::Refuse { why } => {
                put.text(why);
                4
            }
            Frame::Standing {
                standing,
                life,
                founders,
            } => {
                put.0.push(
                    STANDINGS
                        .iter()
                        .position(|s| s == standing)
                        .unwrap_or_default() as u8,
                );
                put.u64(*life);
                put.u64(*founders);
                5
            }
            Frame::Record(message) => {
                put_message(message, &mut put);
                6
            }
            Frame::Agreed {
                topic,
                number,
                value,
            } => {
                put.text(topic);
                put.u64(*number);
                put.bytes(value);
                7
            }
            Frame::Report { bytes } => {
                put.bytes(bytes);
                8
            }
            Frame::Ping { number } => {
                put.u64(*number);
                9
            }
            Frame::Pong { number } => {
                put.u64(*number);
                10
            }
        };
        put.finish(kind)
    }

    /// The frame of these fields, its kind first.
    ///
    /// # Errors
    ///
    /// What can be no frame.
    pub fn fields(bytes: &[u8]) -> Res<Frame> {
        let mut take = Take(bytes);
        let frame = match take.u8()? {
            1 => Frame::Challenge {
                least: take.u8()?,
                most: take.u8()?,
                nonce: take.array()?,
                name: take.text()?,
            },
            2 => Frame::Hello {
                version: take.u8()?,
                name: take.text()?,
                voter: take.flag()?,
                nonce: take.array()?,
                proof: take.array()?,
            },
            3 => Frame::Welcome {
                proof: take.array()?,
            },
            4 => Frame::Refuse { why: take.text()? },
            5 => {
                let at = usize::from(take.u8()?);
                let standing = *STANDINGS
                    .get(at)
                    .ok_or_else(|| format!("no standing is {at}"))?;
                Frame::Standing {
                    standing,
                    life: take.u64()?,
                    founders: take.u64()?,
                }
            }
            6 => Frame::Record(Box::new(take_message(&mut take)?)),
            7 => Frame::Agreed {
                topic: take.text()?,
                number: take.u64()?,
                value: take.lot()?.to_vec(),
            },
            8 => {
                let bytes = take.lot()?;
                if bytes.len() > LONGEST_REPORT {
                    return Err(format!("a report of {} bytes is too long", bytes.len()));
                }
                Frame::Report {
                    bytes: bytes.to_vec(),
                }
            }
            9 => Frame::Ping {
                number: take.u64()?,
            },
            10 => Frame::Pong {
                number: take.u64()?,
            },
            other => return Err(format!("no frame is of kind {other}")),
        };
        take.end()?;
        Ok(frame)
    }

    /// Takes all whole frames off what was read, in their order; what is not all there stays.
    ///
    /// # Errors
    ///
    /// What can be no frame; those before it were taken.
    pub fn take_all(read: &mut Vec<u8>, mut take: impl FnMut(Frame)) -> Res<()> {
        frames::take_all(read, LONGEST, |fields| {
            take(Frame::fields(fields)?);
            Ok(())
        })
    }
}
