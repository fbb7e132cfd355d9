//! Connections to other processes: the handshake, and frames once it is done.

use linenthread_core::interface::TenthMillis;
use linenthread_frames::{Nonce, Proof};
use linenthread_store::Files;

use super::{Fleet, FleetAction};
use crate::event::ConnectionEvent;
use crate::frame::{Frame, Hello, VERSION};
use crate::voter::{CommittedValue, Stage, Voter};

/// A connection must be established within so long.
const HANDSHAKE_TIMEOUT: TenthMillis = 20_000;
/// An established connection on which nothing is received for so long is closed.
const RECEIVE_TIMEOUT: TenthMillis = 50_000;
const PING_INTERVAL: TenthMillis = 10_000;
/// The longest name of a process, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// The most characters of a peer's reason that are repeated.
const MAX_REASON_CHARS: usize = 160;

/// The reasons below go to the peer in [`Frame::Refuse`]: they are wire format.
const UNPROVEN: &str = "it does not prove the secret";
const INVALID_NAME: &str = "it cannot have that name here";
const OUT_OF_TURN: &str = "a frame came out of its turn";

/// How far a connection has come.
pub(super) enum Phase {
    /// This side connected and waits for the challenge.
    AwaitingChallenge { peer: String },
    /// It has sent its hello and waits for the welcome.
    AwaitingWelcome { peer: String, nonce: Nonce },
    /// This side accepted, has sent its challenge and waits for the hello.
    AwaitingHello { nonce: Nonce },
    /// Both sides have proven themselves.
    Established { peer: String, is_voter: bool },
    /// The caller was told to close it.
    Closing,
}

/// A connection, from when it is dialled or accepted until the caller reports its end.
pub(super) struct Connection {
    pub(super) phase: Phase,
    /// Received bytes that are no complete frame yet.
    buffer: Vec<u8>,
    opened_at: TenthMillis,
    received_at: TenthMillis,
    pinged_at: TenthMillis,
}

/// What falls due on a connection.
enum Due {
    Ping,
    Close(&'static str),
}

impl Connection {
    pub(super) fn new(phase: Phase, now: TenthMillis) -> Connection {
        Connection {
            phase,
            buffer: Vec::new(),
            opened_at: now,
            received_at: now,
            pinged_at: now,
        }
    }

    pub(super) fn wake_at(&self) -> TenthMillis {
        match self.phase {
            Phase::Established { .. } => {
                let timeout = self.received_at + RECEIVE_TIMEOUT;
                timeout.min(self.pinged_at + PING_INTERVAL)
            }
            Phase::Closing => TenthMillis::MAX,
            _ => self.opened_at + HANDSHAKE_TIMEOUT,
        }
    }

    fn due(&self, now: TenthMillis) -> Option<Due> {
        match self.phase {
            Phase::Established { .. } if now >= self.received_at + RECEIVE_TIMEOUT => {
                Some(Due::Close("it is silent"))
            }
            Phase::Established { .. } if now >= self.pinged_at + PING_INTERVAL => Some(Due::Ping),
            Phase::Established { .. } | Phase::Closing => None,
            _ if now >= self.opened_at + HANDSHAKE_TIMEOUT => {
                Some(Due::Close("it does not prove itself"))
            }
            _ => None,
        }
    }

    /// Whether it is established with a process that is no voter.
    pub(super) fn is_follower(&self) -> bool {
        matches!(
            self.phase,
            Phase::Established {
                is_voter: false,
                ..
            }
        )
    }
}

impl<F: Files> Fleet<F> {
    /// Pings, and closes connections that have timed out.
    pub(super) fn check_connections(&mut self, now: TenthMillis, actions: &mut Vec<FleetAction>) {
        let mut timed_out = Vec::new();
        for (&number, connection) in &mut self.connections {
            match connection.due(now) {
                None => {}
                Some(Due::Close(reason)) => timed_out.push((number, reason)),
                Some(Due::Ping) => {
                    connection.pinged_at = now;
                    let ping = Frame::Ping {
                        number: now.cast_unsigned(),
                    };
                    write(number, &ping, actions);
                }
            }
        }
        for (number, reason) in timed_out {
            self.close(number, reason, actions);
        }
    }

    /// Bytes were received over a connection.
    pub fn on_received(
        &mut self,
        now: TenthMillis,
        number: u64,
        bytes: &[u8],
        actions: &mut Vec<FleetAction>,
    ) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        connection.received_at = now;
        connection.buffer.extend_from_slice(bytes);
        let mut frames = Vec::new();
        let result = Frame::drain(&mut connection.buffer, |frame| frames.push(frame));
        for frame in frames {
            self.on_frame(now, number, frame, actions);
        }
        if let Err(error) = result {
            self.refuse(number, &error.to_string(), actions);
        }
    }

    fn on_frame(
        &mut self,
        now: TenthMillis,
        number: u64,
        frame: Frame,
        actions: &mut Vec<FleetAction>,
    ) {
        let Some(connection) = self.connections.get(&number) else {
            return;
        };
        match (&connection.phase, frame) {
            (Phase::Closing, _) => {}
            (_, Frame::Refuse { reason }) => {
                let reason: String = reason.chars().take(MAX_REASON_CHARS).collect();
                self.close(number, &format!("refused: {reason}"), actions);
            }
            (
                Phase::AwaitingChallenge { peer },
                Frame::Challenge {
                    min_version,
                    max_version,
                    nonce,
                    name,
                },
            ) => {
                if !(min_version..=max_version).contains(&VERSION) {
                    let reason = format!(
                        "it speaks versions {min_version} to {max_version}, this process {VERSION}"
                    );
                    return self.refuse(number, &reason, actions);
                }
                if *peer != name {
                    let reason = format!("{name} answers where {peer} was expected");
                    return self.refuse(number, &reason, actions);
                }
                self.send_hello(number, name, &nonce, actions);
            }
            (Phase::AwaitingHello { nonce }, Frame::Hello(hello)) => {
                let nonce = *nonce;
                self.on_hello(number, &nonce, hello, actions);
            }
            (Phase::AwaitingWelcome { peer, nonce }, Frame::Welcome { proof }) => {
                let (peer, nonce) = (peer.clone(), *nonce);
                self.on_welcome(number, peer, &nonce, &proof, actions);
            }
            (Phase::Established { peer, is_voter }, frame) => {
                let (peer, is_voter) = (peer.clone(), *is_voter);
                self.on_established_frame(now, number, &peer, is_voter, frame, actions);
            }
            _ => self.refuse(number, OUT_OF_TURN, actions),
        }
    }

    fn send_hello(
        &mut self,
        number: u64,
        peer: String,
        challenge: &Nonce,
        actions: &mut Vec<FleetAction>,
    ) {
        let nonce = self.draw_nonce();
        let is_active_voter = |voter: &Voter<F>| !matches!(voter.stage(), Stage::Stopped(_));
        let mut hello = Hello {
            version: VERSION,
            name: self.local.clone(),
            voter: self.voter.as_ref().is_some_and(is_active_voter),
            nonce,
            proof: Proof::default(),
        };
        hello.prove(&self.secrets, challenge);
        write(number, &Frame::Hello(hello), actions);
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.phase = Phase::AwaitingWelcome { peer, nonce };
        }
    }

    fn on_hello(
        &mut self,
        number: u64,
        challenge: &Nonce,
        hello: Hello,
        actions: &mut Vec<FleetAction>,
    ) {
        let Some(secret) = hello.verify(&self.secrets, challenge) else {
            return self.refuse(number, UNPROVEN, actions);
        };
        if hello.version != VERSION {
            let reason = format!("version {} is not spoken here", hello.version);
            return self.refuse(number, &reason, actions);
        }
        if !self.may_connect(&hello) {
            return self.refuse(number, INVALID_NAME, actions);
        }
        let welcome = Frame::proven_welcome(&self.secrets, secret, &hello.nonce);
        write(number, &welcome, actions);
        self.on_established(number, hello.name, hello.voter, actions);
    }

    fn may_connect(&self, hello: &Hello) -> bool {
        let name = &hello.name;
        let is_configured_voter = self.voters.iter().any(|(known, _)| known == name);
        let has_valid_length = (1..=MAX_NAME_BYTES).contains(&name.len());
        *name != self.local && has_valid_length && (!hello.voter || is_configured_voter)
    }

    fn on_welcome(
        &mut self,
        number: u64,
        peer: String,
        nonce: &Nonce,
        proof: &Proof,
        actions: &mut Vec<FleetAction>,
    ) {
        if Frame::verifies_welcome(&self.secrets, nonce, proof) {
            self.on_established(number, peer, true, actions);
        } else {
            self.refuse(number, UNPROVEN, actions);
        }
    }

    fn on_established_frame(
        &mut self,
        now: TenthMillis,
        number: u64,
        peer: &str,
        is_voter: bool,
        frame: Frame,
        actions: &mut Vec<FleetAction>,
    ) {
        match frame {
            Frame::Ping { number: sequence } => {
                write(number, &Frame::Pong { number: sequence }, actions);
            }
            Frame::Pong { .. } => {}
            Frame::Progress { .. } | Frame::Raft(_) if is_voter => {
                let mut requested = Vec::new();
                if let Some(voter) = &mut self.voter {
                    voter.on_frame(now, peer, frame, &mut requested);
                }
                self.follow_voter(requested, now, actions);
            }
            Frame::Committed {
                topic,
                number,
                value,
            } if is_voter => {
                let is_newer = self.table.learn(&topic, number, &value);
                if is_newer && self.stage() != Some(Stage::Active) {
                    actions.push(FleetAction::Committed(CommittedValue {
                        topic,
                        number,
                        value,
                    }));
                }
            }
            Frame::Report { bytes } => actions.push(FleetAction::Report {
                from: peer.to_owned(),
                bytes,
            }),
            _ => self.refuse(number, OUT_OF_TURN, actions),
        }
    }

    /// Both sides have proven themselves.
    fn on_established(
        &mut self,
        number: u64,
        peer: String,
        is_voter: bool,
        actions: &mut Vec<FleetAction>,
    ) {
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.phase = Phase::Established {
                peer: peer.clone(),
                is_voter,
            };
        }
        self.replace_older_connection(number, &peer, actions);
        let connected = ConnectionEvent::Connected { peer: peer.clone() };
        actions.push(FleetAction::LogConnection(connected));
        if !is_voter {
            self.send_all_values(number, actions);
        } else if let Some(voter) = &mut self.voter {
            let mut requested = Vec::new();
            voter.on_connected(&peer, &mut requested);
            self.perform(requested, actions);
        }
    }

    /// One connection a pair: the newer one counts, for the other side has given up the older one.
    fn replace_older_connection(
        &mut self,
        number: u64,
        peer: &str,
        actions: &mut Vec<FleetAction>,
    ) {
        let older = self.established.insert(peer.to_owned(), number);
        let Some(older) = older.filter(|older| *older != number) else {
            return;
        };
        if let Some(connection) = self.connections.get_mut(&older) {
            connection.phase = Phase::Closing;
        }
        actions.push(FleetAction::Close {
            connection: older,
            reason: "a newer connection takes its place".into(),
        });
    }

    /// A follower gets all that is committed, and from then on what is new.
    fn send_all_values(&self, number: u64, actions: &mut Vec<FleetAction>) {
        for (topic, value_number, value) in self.table().values() {
            let frame = Frame::Committed {
                topic: topic.to_owned(),
                number: value_number,
                value: value.to_vec(),
            };
            write(number, &frame, actions);
        }
    }

    /// A connection has ended, or could not be made.
    pub fn on_closed(&mut self, now: TenthMillis, number: u64, actions: &mut Vec<FleetAction>) {
        self.dialer.on_closed(now, number);
        let Some(connection) = self.connections.remove(&number) else {
            return;
        };
        if let Some(peer) = self.forget_established(number, connection.phase) {
            let disconnected = ConnectionEvent::Disconnected { peer };
            actions.push(FleetAction::LogConnection(disconnected));
        }
    }

    /// Removes a connection of this phase from those that are established; its peer if it was one of them.
    fn forget_established(&mut self, number: u64, phase: Phase) -> Option<String> {
        let Phase::Established { peer, .. } = phase else {
            return None;
        };
        if self.established.get(&peer) != Some(&number) {
            return None;
        }
        self.established.remove(&peer);
        if let Some(voter) = &mut self.voter {
            voter.on_disconnected(&peer);
        }
        Some(peer)
    }

    pub(super) fn close(&mut self, number: u64, reason: &str, actions: &mut Vec<FleetAction>) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        let phase = std::mem::replace(&mut connection.phase, Phase::Closing);
        self.forget_established(number, phase);
        actions.push(FleetAction::Close {
            connection: number,
            reason: reason.to_owned(),
        });
    }

    /// Tells the peer why, and closes the connection.
    fn refuse(&mut self, number: u64, reason: &str, actions: &mut Vec<FleetAction>) {
        self.refused += 1;
        let refusal = Frame::Refuse {
            reason: reason.to_owned(),
        };
        write(number, &refusal, actions);
        self.close(number, reason, actions);
    }
}

pub(super) fn write(number: u64, frame: &Frame, actions: &mut Vec<FleetAction>) {
    actions.push(FleetAction::Write {
        connection: number,
        bytes: frame.encode(),
    });
}
