//! The link's messages. A frame is four bytes of length, most significant first, a byte for its kind, and its
//! fields; numbers are big-endian, texts have two bytes of length before them, values four. After the fields
//! may stand options, each a byte for its kind and two for its length: those that are not known are skipped.

use linenthread_core::interface::{AttemptOutcome, Phase};
use linenthread_frames::{self as frames, Nonce, Proof, Put, Res, Side, Take};

/// The version spoken here.
pub const VERSION: u8 = 1;
/// By which side one proves itself: the proof of one is none for the other.
pub(crate) const NEAR: Side = *b"linenthread near";
pub(crate) const FAR: Side = *b"linenthread far ";
/// Longer frames end the connection.
pub const LONGEST: usize = 128 * 1024;
/// Bytes of a replica's id or its site's name.
const LONGEST_NAME: usize = 128;
/// Replicas in one list.
pub const MOST_MEMBERS: usize = 4_096;

/// A part call on its way over the link.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The replica's id, as the far side lists it.
    pub replica: String,
    /// The part's lookup, its shard, and how many times it was asked on before.
    pub lookup: String,
    pub shard: u32,
    pub round: u32,
    pub text: String,
}

impl Call {
    /// Bytes that count against the credit.
    pub fn size(&self) -> u64 {
        (self.replica.len() + self.lookup.len() + self.text.len() + 64) as u64
    }
}

/// A replica that the far side can reach.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    pub id: String,
    pub site: String,
    pub cell: u32,
    pub phase: Phase,
    /// Milliseconds since it last started; `None` for long ago.
    pub age_ms: Option<u32>,
    /// What this side may use of its cold budget, in thousandths.
    pub share: u16,
}

impl Member {
    /// Whether it can be a replica here: it has a name of some length, and a cell of the layout's so many.
    pub fn is_sound(&self, cells: usize) -> bool {
        let id = 1..=LONGEST_NAME;
        id.contains(&self.id.len())
            && self.site.len() <= LONGEST_NAME
            && (self.cell as usize) < cells
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// Far, first: the versions it speaks, and what the hello must prove itself over.
    Challenge {
        least: u8,
        most: u8,
        nonce: Nonce,
        name: String,
    },
    /// Near: its session, how many hellos it has said, the session's epoch there as it knows it (0 for none),
    /// and what the welcome must prove itself over.
    Hello {
        version: u8,
        name: String,
        nonce: Nonce,
        session: u64,
        attempt: u64,
        epoch: u64,
        proof: Proof,
    },
    /// Far: the session's epoch, whether it goes on, the last call that came of it, and the bytes of all.
    Welcome {
        epoch: u64,
        resumed: bool,
        received: u64,
        bytes: u64,
        proof: Proof,
    },
    /// Either: why it goes no further.
    Refuse {
        why: String,
    },
    Call {
        number: u64,
        remaining_ms: u32,
        call: Call,
    },
    Withdraw {
        number: u64,
    },
    Outcome {
        number: u64,
        ending: AttemptOutcome,
        queue: Option<f64>,
        value: String,
    },
    /// Near: these outcomes are held, and need not be kept.
    Ack {
        numbers: Vec<u64>,
    },
    /// Far: calls up to this number, and so many bytes of them in all, may be sent.
    Credit {
        number: u64,
        bytes: u64,
    },
    Ping {
        number: u64,
    },
    Pong {
        number: u64,
    },
    Members {
        revision: u64,
        whole: bool,
        members: Vec<Member>,
    },
    Probe {
        number: u64,
        replica: String,
    },
    Probed {
        number: u64,
        ending: AttemptOutcome,
        queue: Option<f64>,
    },
    /// Either: nothing new is to come or will be taken.
    Goodbye,
}

/// Endings by their number on the link.
const ENDINGS: [AttemptOutcome; 8] = [
    AttemptOutcome::Success,
    AttemptOutcome::Error,
    AttemptOutcome::Rejected,
    AttemptOutcome::TimedOut,
    AttemptOutcome::ConnectFailed,
    AttemptOutcome::ConnectionLost,
    AttemptOutcome::Cancelled,
    AttemptOutcome::NotSent,
];

fn ending(ending: AttemptOutcome) -> u8 {
    ENDINGS
        .iter()
        .position(|e| *e == ending)
        .unwrap_or_default() as u8
}

fn take_ending(take: &mut Take) -> Res<AttemptOutcome> {
    let at = usize::from(take.u8()?);
    ENDINGS
        .get(at)
        .copied()
        .ok_or_else(|| format!("an ending cannot be {at}"))
}

const PHASES: [Phase; 3] = [Phase::Ready, Phase::Draining, Phase::Removed];

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
                nonce,
                session,
                attempt,
                epoch,
                proof,
            } => {
                put.0.push(*version);
                put.text(name);
                put.0.extend(nonce);
                put.0.extend(session.to_be_bytes());
                put.0.extend(attempt.to_be_bytes());
                put.0.extend(epoch.to_be_bytes());
                put.0.extend(proof);
                2
            }
            Frame::Welcome {
                epoch,
                resumed,
                received,
                bytes,
                proof,
            } => {
                put.0.extend(epoch.to_be_bytes());
                put.0.push((*resumed).into());
                put.0.extend(received.to_be_bytes());
                put.0.extend(bytes.to_be_bytes());
                put.0.extend(proof);
                3
            }
            Frame::Refuse { why } => {
                put.text(why);
                4
            }
            Frame::Call {
                number,
                remaining_ms,
                call,
            } => {
                put.0.extend(number.to_be_bytes());
                put.0.extend(remaining_ms.to_be_bytes());
                put.text(&call.replica);
                put.text(&call.lookup);
                put.0.extend(call.shard.to_be_bytes());
                put.0.extend(call.round.to_be_bytes());
                put.value(&call.text);
                5
            }
            Frame::Withdraw { number } => {
                put.0.extend(number.to_be_bytes());
                6
            }
            Frame::Outcome {
                number,
                ending: how,
                queue,
                value,
            } => {
                put.0.extend(number.to_be_bytes());
                put.0.push(ending(*how));
                put.maybe(*queue);
                put.value(value);
                7
            }
            Frame::Ack { numbers } => {
                let numbers = &numbers[..numbers.len().min(usize::from(u16::MAX))];
                put.0.extend((numbers.len() as u16).to_be_bytes());
                numbers.iter().for_each(|n| put.0.extend(n.to_be_bytes()));
                8
            }
            Frame::Credit { number, bytes } => {
                put.0.extend(number.to_be_bytes());
                put.0.extend(bytes.to_be_bytes());
                9
            }
            Frame::Ping { number } => {
                put.0.extend(number.to_be_bytes());
                10
            }
            Frame::Pong { number } => {
                put.0.extend(number.to_be_bytes());
                11
            }
            Frame::Members {
                revision,
                whole,
                members,
            } => {
                let members = &members[..members.len().min(MOST_MEMBERS)];
                put.0.extend(revision.to_be_bytes());
                put.0.push((*whole).into());
                put.0.extend((members.len() as u16).to_be_bytes());
                for member in members {
                    put.text(&member.id);
                    put.text(&member.site);
                    put.0.extend(member.cell.to_be_bytes());
                    put.0.push(
                        PHASES
                            .iter()
                            .position(|p| *p == member.phase)
                            .unwrap_or_default() as u8,
                    );
                    put.0
                        .extend(member.age_ms.unwrap_or(u32::MAX).to_be_bytes());
                    put.0.extend(member.share.to_be_bytes());
                }
                12
            }
            Frame::Probe { number, replica } => {
                put.0.extend(number.to_be_bytes());
                put.text(replica);
                13
            }
            Frame::Probed {
                number,
                ending: how,
                queue,
            } => {
                put.0.extend(number.to_be_bytes());
                put.0.push(ending(*how));
                put.maybe(*queue);
                14
            }
            Frame::Goodbye => 15,
        };
        put.finish(kind)
    }

    /// The first whole frame in what was read, and how many bytes it took; `None` while it is not all there.
    ///
    /// # Errors
    ///
    /// What can be no frame; the connection is of no more use then.
    pub fn decode(read: &[u8]) -> Res<Option<(Frame, usize)>> {
        Ok(match frames::whole(read, LONGEST)? {
            Some((bytes, took)) => Some((Frame::fields(bytes)?, took)),
            None => None,
        })
    }

    /// Takes all whole frames off what was read, in their order; what is not all there stays.
    ///
    /// # Errors
    ///
    /// What can be no frame; those before it were taken.
    pub fn take_all(read: &mut Vec<u8>, mut take: impl FnMut(Frame)) -> Res<()> {
        frames::take_all(read, LONGEST, |bytes| {
            take(Frame::fields(bytes)?);
            Ok(())
        })
    }

    fn fields(bytes: &[u8]) -> Res<Frame> {
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
                nonce: take.array()?,
                session: take.u64()?,
                attempt: take.u64()?,
                epoch: take.u64()?,
                proof: take.array()?,
            },
            3 => Frame::Welcome {
                epoch: take.u64()?,
                resumed: take.flag()?,
                received: take.u64()?,
                bytes: take.u64()?,
                proof: take.array()?,
            },
            4 => Frame::Refuse { why: take.text()? },
            5 => Frame::Call {
                number: take.u64()?,
                remaining_ms: take.u32()?,
                call: Call {
                    replica: take.text()?,
                    lookup: take.text()?,
                    shard: take.u32()?,
                    round: take.u32()?,
                    text: take.value()?,
                },
            },
            6 => Frame::Withdraw {
                number: take.u64()?,
            },
            7 => Frame::Outcome {
                number: take.u64()?,
                ending: take_ending(&mut take)?,
                queue: take.maybe()?,
                value: take.value()?,
            },
            8 => {
                let n = take.u16()?;
                Frame::Ack {
                    numbers: (0..n).map(|_| take.u64()).collect::<Res<_>>()?,
                }
            }
            9 => Frame::Credit {
                number: take.u64()?,
                bytes: take.u64()?,
            },
            10 => Frame::Ping {
                number: take.u64()?,
            },
            11 => Frame::Pong {
                number: take.u64()?,
            },
            12 => {
                let (revision, whole, n) = (take.u64()?, take.flag()?, take.u16()?);
                if usize::from(n) > MOST_MEMBERS {
                    return Err(format!("a list cannot have {n} replicas"));
                }
                let mut member = || {
                    Ok(Member {
                        id: take.text()?,
                        site: take.text()?,
                        cell: take.u32()?,
                        phase: {
                            let at = usize::from(take.u8()?);
                            *PHASES
                                .get(at)
                                .ok_or_else(|| format!("a phase cannot be {at}"))?
                        },
                        age_ms: Some(take.u32()?).filter(|age| *age != u32::MAX),
                        share: take.u16()?.min(1_000),
                    })
                };
                let members = (0..n).map(|_| member()).collect::<Res<_>>()?;
                Frame::Members {
                    revision,
                    whole,
                    members,
                }
            }
            13 => Frame::Probe {
                number: take.u64()?,
                replica: take.text()?,
            },
            14 => Frame::Probed {
                number: take.u64()?,
                ending: take_ending(&mut take)?,
                queue: take.maybe()?,
            },
            15 => Frame::Goodbye,
            other => return Err(format!("a frame cannot have the kind {other}")),
        };
        // Options of later versions: their form is held to, what they say is not known.
        while !take.0.is_empty() {
            take.u8()?;
            let n = take.u16()?;
            take.bytes(n.into())?;
        }
        Ok(frame)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn frames_come_back_as_they_went_and_options_are_skipped() {
        let call = Call {
            replica: "s-1".into(),
            lookup: "9b1f".into(),
            shard: 3,
            round: 0,
            text: "what is asked".into(),
        };
        let member = Member {
            id: "s-1".into(),
            site: "messina".into(),
            cell: 4,
            phase: Phase::Draining,
            age_ms: Some(7),
            share: 500,
        };
        let sound = member.clone();
        let frames = [
            Frame::Challenge {
                least: 1,
                most: 1,
                nonce: [7; 16],
                name: "g".into(),
            },
            Frame::Hello {
                version: 1,
                name: "n".into(),
                nonce: [1; 16],
                session: 2,
                attempt: 1,
                epoch: 3,
                proof: [4; 32],
            },
            Frame::Welcome {
                epoch: 1,
                resumed: true,
                received: 9,
                bytes: 8,
                proof: [5; 32],
            },
            Frame::Refuse { why: "no".into() },
            Frame::Call {
                number: 1,
                remaining_ms: 900,
                call,
            },
            Frame::Withdraw { number: 1 },
            Frame::Outcome {
                number: 1,
                ending: AttemptOutcome::ConnectionLost,
                queue: Some(2.0),
                value: "v".into(),
            },
            Frame::Ack {
                numbers: vec![1, 2],
            },
            Frame::Credit {
                number: 5,
                bytes: 6,
            },
            Frame::Ping { number: 1 },
            Frame::Pong { number: 1 },
            Frame::Members {
                revision: 1,
                whole: true,
                members: vec![member],
            },
            Frame::Probe {
                number: 1,
                replica: "s-1".into(),
            },
            Frame::Probed {
                number: 1,
                ending: AttemptOutcome::Rejected,
                queue: None,
            },
            Frame::Goodbye,
        ];
        for frame in frames {
            let bytes = frame.encode();
            assert_eq!(
                Frame::decode(&bytes),
                Ok(Some((frame.clone(), bytes.len())))
            );
            for cut in 0..bytes.len() {
                assert_eq!(Frame::decode(&bytes[..cut]), Ok(None), "cut at {cut}");
                // The same bytes under a shorter length are no such frame.
                let mut short = bytes[..cut.max(5)].to_vec();
                let length = (short.len() - 4) as u32;
                short[..4].copy_from_slice(&length.to_be_bytes());
                if let Ok(Some((other, _))) = Frame::decode(&short) {
                    assert!(other == frame || short.len() < bytes.len());
                }
            }
            let mut more = bytes.clone();
            more.extend([200, 0, 2, 7, 7]);
            let length = (more.len() - 4) as u32;
            more[..4].copy_from_slice(&length.to_be_bytes());
            assert_eq!(Frame::decode(&more), Ok(Some((frame, more.len()))));
        }
        let bad = Member {
            cell: 4,
            ..sound.clone()
        };
        assert!(
            sound.is_sound(5)
                && !bad.is_sound(4)
                && !Member {
                    id: String::new(),
                    ..sound.clone()
                }
                .is_sound(5)
        );
        assert!(
            !Member {
                site: "x".repeat(129),
                ..sound
            }
            .is_sound(5)
        );
        assert!(Frame::decode(&[0, 0, 0, 0]).is_err() && Frame::decode(&[0, 0, 0, 1, 99]).is_err());
        assert!(Frame::decode(&[0x7f, 0, 0, 0]).is_err());
        let spec = Frame::Withdraw { number: 258 }.encode();
        assert_eq!(spec, [0, 0, 0, 9, 6, 0, 0, 0, 0, 0, 0, 1, 2]);
    }

    /// The worked examples of `docs/link.md` are what is sent.
    #[test]
    fn the_page_shows_the_bytes_that_are_sent() {
        let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/link.md");
        let page = std::fs::read_to_string(file).unwrap();
        let page = page.replace(' ', "");
        let call = Call {
            replica: "s-1".into(),
            lookup: "9b1f".into(),
            shard: 3,
            round: 0,
            text: "c41e77d0".into(),
        };
        let member = Member {
            id: "s-1".into(),
            site: "messina".into(),
            cell: 4,
            phase: Phase::Ready,
            age_ms: None,
            share: 250,
        };
        let frames = [
            Frame::Challenge {
                least: 1,
                most: 1,
                nonce: [0x11; 16],
                name: "messina".into(),
            },
            Frame::Members {
                revision: 1,
                whole: true,
                members: vec![member],
            },
            Frame::Credit {
                number: 512,
                bytes: 4_194_304,
            },
            Frame::Call {
                number: 1,
                remaining_ms: 900,
                call,
            },
            Frame::Outcome {
                number: 1,
                ending: AttemptOutcome::Success,
                queue: Some(2.0),
                value: "v".into(),
            },
            Frame::Ack { numbers: vec![1] },
        ];
        for frame in frames {
            let hex: String = frame.encode().iter().map(|b| format!("{b:02x}")).collect();
            assert!(page.contains(&hex), "{frame:?}\n{hex}");
        }
    }
}
