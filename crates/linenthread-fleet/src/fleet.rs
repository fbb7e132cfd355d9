//! One process's part in the fleet: members, record and connections put together.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use linenthread_core::interface::TenthMillis;
use linenthread_frames::{Nonce, Secrets};
use linenthread_store::Files;
use oorandom::Rand64;

use crate::board::Board;
use crate::dials::Dials;
use crate::frame::{DIALS, Frame, LONGEST_REPORT, TAKES, VERSION};
use crate::members::{Members, MembersDo, MembersTerms};
use crate::voter::{Agreed, Stage, Voter, VoterDo, VoterTerms};
use crate::who::Who;

/// A connection must prove itself within so long, and say something at least this often.
const GREETING: TenthMillis = 20_000;
const SILENCE: TenthMillis = 50_000;
const PING: TenthMillis = 10_000;
/// Connections at once: a fleet's members at the most, and some that are being proven.
const MOST_CONNECTIONS: usize = 1_280;

/// What a process is told of the fleet at its start.
#[derive(Clone, Debug)]
pub struct FleetTerms {
    pub own: Who,
    /// Every voter's name, and where it is connected to and gossiped with.
    pub voters: Vec<(String, SocketAddr)>,
    /// About how many members there are.
    pub expected: u32,
    pub probe: TenthMillis,
}

#[derive(Clone, Debug, PartialEq)]
pub enum FleetDo {
    Dial {
        connection: u64,
        address: SocketAddr,
    },
    Write {
        connection: u64,
        bytes: Vec<u8>,
    },
    /// What was to be written before is written first.
    Close {
        connection: u64,
        why: String,
    },
    Datagram {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    Agreed(Agreed),
    /// A member is there, or is back; or is gone, or has left.
    Up(Who),
    Gone(Who),
    /// At a voter: what another process reports.
    Report {
        from: String,
        bytes: Vec<u8>,
    },
    /// For the log: what becomes of connections, and all else.
    Connection(String),
    Line(String),
}

enum Talk {
    /// Was dialled: waits for the challenge, then for the welcome to what its hello proved.
    Challenged {
        to: String,
    },
    Greeted {
        to: String,
        nonce: Nonce,
    },
    /// Was taken: waits for the hello.
    Asked {
        nonce: Nonce,
    },
    Open {
        name: String,
        voter: bool,
    },
    Ended,
}

struct Connection {
    talk: Talk,
    read: Vec<u8>,
    began: TenthMillis,
    heard: TenthMillis,
    pinged: TenthMillis,
}

pub struct Fleet<F: Files> {
    own: String,
    voters: Vec<(String, SocketAddr)>,
    secrets: Secrets,
    chance: Rand64,
    members: Members,
    voter: Option<Voter<F>>,
    /// What was agreed on, as a voter tells it: while this process is none itself.
    board: Board,
    dials: Dials,
    connections: BTreeMap<u64, Connection>,
    /// The open connection to each process.
    open: BTreeMap<String, u64>,
    numbers: u64,
    refused: u64,
}

impl<F: Files> Fleet<F> {
    /// Joins. `files` is a voter's disk; who has one and is no voter does not use it.
    ///
    /// # Errors
    ///
    /// See [`Voter::new`].
    pub fn new(
        terms: FleetTerms,
        files: Option<F>,
        secrets: Secrets,
        seed: u64,
        now: TenthMillis,
        to: &mut Vec<FleetDo>,
    ) -> Result<Fleet<F>, String> {
        let mut chance = Rand64::new(u128::from(seed));
        let own = terms.own.name.clone();
        let members = Members::new(
            MembersTerms {
                own: terms.own,
                ask: terms.voters.clone(),
                expected: terms.expected,
                probe: terms.probe,
            },
            secrets.clone(),
            chance.rand_u64(),
            now,
        );
        let is_voter = terms.voters.iter().any(|(name, _)| *name == own);
        let mut fleet = Fleet {
            own,
            voters: terms.voters,
            secrets,
            members,
            voter: None,
            board: Board::default(),
            dials: Dials::new(std::iter::empty(), true, 0, now),
            connections: BTreeMap::new(),
            open: BTreeMap::new(),
            numbers: 0,
            refused: 0,
            chance,
        };
        if let Some(files) = files.filter(|_| is_voter) {
            fleet.take_part(files, now, to)?;
        } else {
            fleet.dial(now);
        }
        Ok(fleet)
    }

    /// Takes part as a voter from now on: at the start, or once its disk is sound again.
    ///
    /// # Errors
    ///
    /// See [`Voter::new`].
    pub fn take_part(
        &mut self,
        files: F,
        now: TenthMillis,
        to: &mut Vec<FleetDo>,
    ) -> Result<(), String> {
        let voters = self.voters.iter().map(|(name, _)| name.clone()).collect();
        let terms = VoterTerms {
            own: self.own.clone(),
            voters,
        };
        let mut said = Vec::new();
        let voter = Voter::new(terms, files, self.chance.rand_u64(), now, &mut said)?;
        if !matches!(voter.stage(), Stage::Stopped(_)) {
            to.push(FleetDo::Line("takes part as a voter".into()));
        }
        self.voter = Some(voter);
        self.carry(said, to);
        self.dial(now);
        Ok(())
    }

    /// Whom this process connects to: as a voter to those after it by name, so that each pair of voters has one
    /// connection; else to any one voter.
    fn dial(&mut self, now: TenthMillis) {
        let own = self.own.clone();
        let stopped = self.is_stopped();
        let votes = self.voter.is_some() && !stopped;
        let to = self
            .voters
            .iter()
            .filter(|(name, _)| if votes { *name > own } else { *name != own })
            .cloned();
        let to: Vec<_> = to.collect();
        self.dials = Dials::new(to.into_iter(), !votes, self.chance.rand_u64(), now);
    }

    /// It is a voter whose disk has failed: see [`Fleet::take_part`].
    pub fn is_stopped(&self) -> bool {
        self.voter
            .as_ref()
            .is_some_and(|v| matches!(v.stage(), Stage::Stopped(_)))
    }

    /// How far the voter here has come; `None` where there is none.
    pub fn stage(&self) -> Option<Stage> {
        self.voter.as_ref().map(Voter::stage)
    }

    /// The voter here, where there is one.
    pub fn voter(&self) -> Option<&Voter<F>> {
        self.voter.as_ref()
    }

    /// Whether this process leads, and nobody else does at this moment.
    pub fn leads(&self, now: TenthMillis) -> bool {
        self.voter.as_ref().is_some_and(|v| v.leads(now))
    }

    /// Who leads as far as is known here, and in which term.
    pub fn leader(&self) -> Option<(&str, u64)> {
        let voter = self.voter.as_ref()?;
        Some((voter.leader()?, voter.term()))
    }

    /// All others that are taken for alive.
    pub fn alive(&self) -> impl Iterator<Item = &Who> {
        self.members.alive()
    }

    pub fn board(&self) -> &Board {
        match &self.voter {
            Some(voter) if voter.stage() == Stage::Holding => voter.board(),
            _ => &self.board,
        }
    }

    pub fn wake_at(&self) -> TenthMillis {
        let voter = self.voter.as_ref().map_or(TenthMillis::MAX, Voter::wake_at);
        let beats = |c: &Connection| match c.talk {
            Talk::Open { .. } => (c.heard + SILENCE).min(c.pinged + PING),
            // Its end is on its way; nothing more falls due.
            Talk::Ended => TenthMillis::MAX,
            _ => c.began + GREETING,
        };
        let connection = self
            .connections
            .values()
            .map(beats)
            .min()
            .unwrap_or(TenthMillis::MAX);
        voter
            .min(connection)
            .min(self.dials.wake_at())
            .min(self.members.wake_at())
    }

    /// Does all that fell due.
    pub fn wake(&mut self, now: TenthMillis, to: &mut Vec<FleetDo>) {
        let mut said = Vec::new();
        if let Some(voter) = &mut self.voter
            && now >= voter.wake_at()
        {
            voter.wake(now, &mut said);
        }
        self.carry_voter(said, now, to);
        let mut said = Vec::new();
        self.members.wake(now, &mut said);
        self.carry_members(said, to);
        let numbers = &mut self.numbers;
        let due = self.dials.due(now, || {
            *numbers += 1;
            *numbers
        });
        for (connection, name, address) in due {
            self.begin(now, connection, Talk::Challenged { to: name });
            to.push(FleetDo::Dial {
                connection,
                address,
            });
        }
        let mut ends = Vec::new();
        for (&number, connection) in &mut self.connections {
            match connection.talk {
                Talk::Open { .. } if now >= connection.heard + SILENCE => {
                    ends.push((number, "it is silent"));
                }
                Talk::Open { .. } if now >= connection.pinged + PING => {
                    connection.pinged = now;
                    let bytes = Frame::Ping { number: now as u64 }.encode();
                    to.push(FleetDo::Write {
                        connection: number,
                        bytes,
                    });
                }
                Talk::Open { .. } | Talk::Ended => {}
                _ if now >= connection.began + GREETING => {
                    ends.push((number, "it does not prove itself"));
                }
                _ => {}
            }
        }
        ends.into_iter()
            .for_each(|(number, why)| self.close(number, why, to));
    }

    fn begin(&mut self, now: TenthMillis, number: u64, talk: Talk) {
        let connection = Connection {
            talk,
            read: Vec::new(),
            began: now,
            heard: now,
            pinged: now,
        };
        self.connections.insert(number, connection);
    }

    fn nonce(&mut self) -> Nonce {
        let mut nonce = [0; 16];
        nonce[..8].copy_from_slice(&self.chance.rand_u64().to_be_bytes());
        nonce[8..].copy_from_slice(&self.chance.rand_u64().to_be_bytes());
        nonce
    }

    /// A connection came in: its number, or `None` where there is no room for it.
    pub fn accepted(&mut self, now: TenthMillis, to: &mut Vec<FleetDo>) -> Option<u64> {
        if self.connections.len() >= MOST_CONNECTIONS {
            return None;
        }
        self.numbers += 1;
        let (number, nonce) = (self.numbers, self.nonce());
        self.begin(now, number, Talk::Asked { nonce });
        let name = self.own.clone();
        let frame = Frame::Challenge {
            least: VERSION,
            most: VERSION,
            nonce,
            name,
        };
        to.push(FleetDo::Write {
            connection: number,
            bytes: frame.encode(),
        });
        Some(number)
    }

    /// A connection has ended, or could not be made.
    pub fn lost(&mut self, now: TenthMillis, number: u64, to: &mut Vec<FleetDo>) {
        self.dials.lost(now, number);
        let Some(connection) = self.connections.remove(&number) else {
            return;
        };
        if let Talk::Open { name, .. } = connection.talk
            && self.open.get(&name) == Some(&number)
        {
            self.open.remove(&name);
            if let Some(voter) = &mut self.voter {
                voter.lost(&name);
            }
            to.push(FleetDo::Connection(format!(
                "the connection with {name} has ended"
            )));
        }
    }

    fn close(&mut self, number: u64, why: &str, to: &mut Vec<FleetDo>) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        let talk = std::mem::replace(&mut connection.talk, Talk::Ended);
        if let Talk::Open { name, .. } = talk
            && self.open.get(&name) == Some(&number)
        {
            self.open.remove(&name);
            if let Some(voter) = &mut self.voter {
                voter.lost(&name);
            }
        }
        to.push(FleetDo::Close {
            connection: number,
            why: why.to_owned(),
        });
    }

    /// Bytes came over a connection.
    pub fn received(&mut self, now: TenthMillis, number: u64, bytes: &[u8], to: &mut Vec<FleetDo>) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        connection.heard = now;
        connection.read.extend_from_slice(bytes);
        let mut read = std::mem::take(&mut connection.read);
        let mut frames = Vec::new();
        let all = Frame::take_all(&mut read, |frame| frames.push(frame));
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.read = read;
        }
        for frame in frames {
            self.take(now, number, frame, to);
        }
        if let Err(why) = all {
            self.refuse(number, &why, to);
        }
    }

    fn write(&self, number: u64, frame: &Frame, to: &mut Vec<FleetDo>) {
        to.push(FleetDo::Write {
            connection: number,
            bytes: frame.encode(),
        });
    }

    fn refuse(&mut self, number: u64, why: &str, to: &mut Vec<FleetDo>) {
        self.refused += 1;
        self.write(
            number,
            &Frame::Refuse {
                why: why.to_owned(),
            },
            to,
        );
        self.close(number, why, to);
    }

    /// Takes one frame in.
    fn take(&mut self, now: TenthMillis, number: u64, frame: Frame, to: &mut Vec<FleetDo>) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        match (&mut connection.talk, frame) {
            (Talk::Ended, _) => {}
            (_, Frame::Refuse { why }) => {
                self.close(
                    number,
                    &format!("refused: {}", why.chars().take(160).collect::<String>()),
                    to,
                );
            }
            (
                Talk::Challenged { to: name },
                Frame::Challenge {
                    least,
                    most,
                    nonce,
                    name: said,
                },
            ) => {
                if !(least..=most).contains(&VERSION) {
                    let why =
                        format!("it speaks versions {least} to {most}, this process {VERSION}");
                    return self.refuse(number, &why, to);
                }
                if *name != said {
                    let why = format!("{said} answers where {name} was expected");
                    return self.refuse(number, &why, to);
                }
                let name = name.clone();
                let own = self.nonce();
                let voter = self
                    .voter
                    .as_ref()
                    .is_some_and(|v| !matches!(v.stage(), Stage::Stopped(_)));
                let mut hello = Frame::Hello {
                    version: VERSION,
                    name: self.own.clone(),
                    voter,
                    nonce: own,
                    proof: [0; 32],
                };
                let proven = self.secrets.prove(0, DIALS, &nonce, &hello.said());
                if let Frame::Hello { proof, .. } = &mut hello {
                    *proof = proven;
                }
                self.write(number, &hello, to);
                if let Some(connection) = self.connections.get_mut(&number) {
                    connection.talk = Talk::Greeted {
                        to: name,
                        nonce: own,
                    };
                }
            }
            (
                Talk::Asked { nonce },
                Frame::Hello {
                    version,
                    name,
                    voter,
                    nonce: theirs,
                    proof,
                },
            ) => {
                let nonce = *nonce;
                let said = Frame::Hello {
                    version,
                    name: name.clone(),
                    voter,
                    nonce: theirs,
                    proof,
                }
                .said();
                let Some(secret) = self.secrets.proven_by(DIALS, &nonce, &said, &proof) else {
                    return self.refuse(number, "it does not prove the secret", to);
                };
                if version != VERSION {
                    return self.refuse(
                        number,
                        &format!("version {version} is not spoken here"),
                        to,
                    );
                }
                let is_voter = self.voters.iter().any(|(known, _)| *known == name);
                if name == self.own || name.is_empty() || name.len() > 64 || voter && !is_voter {
                    return self.refuse(number, "it cannot have that name here", to);
                }
                let mut welcome = Frame::Welcome { proof: [0; 32] };
                let proven = self.secrets.prove(secret, TAKES, &theirs, &welcome.said());
                if let Frame::Welcome { proof } = &mut welcome {
                    *proof = proven;
                }
                self.write(number, &welcome, to);
                self.opened(number, name, voter, to);
            }
            (Talk::Greeted { to: name, nonce }, Frame::Welcome { proof }) => {
                let (name, nonce) = (name.clone(), *nonce);
                let said = Frame::Welcome { proof }.said();
                if self
                    .secrets
                    .proven_by(TAKES, &nonce, &said, &proof)
                    .is_none()
                {
                    return self.refuse(number, "it does not prove the secret", to);
                }
                self.opened(number, name, true, to);
            }
            (Talk::Open { .. }, Frame::Ping { number: beat }) => {
                self.write(number, &Frame::Pong { number: beat }, to);
            }
            (Talk::Open { .. }, Frame::Pong { .. }) => {}
            (
                Talk::Open { name, voter: true },
                frame @ (Frame::Standing { .. } | Frame::Record(_)),
            ) => {
                let name = name.clone();
                let mut said = Vec::new();
                if let Some(voter) = &mut self.voter {
                    voter.received(now, &name, frame, &mut said);
                }
                self.carry_voter(said, now, to);
            }
            (
                Talk::Open { voter: true, .. },
                Frame::Agreed {
                    topic,
                    number,
                    value,
                },
            ) => {
                if self.board.hear(&topic, number, &value) && self.stage() != Some(Stage::Holding) {
                    to.push(FleetDo::Agreed(Agreed {
                        topic,
                        number,
                        value,
                    }));
                }
            }
            (Talk::Open { name, .. }, Frame::Report { bytes }) => {
                to.push(FleetDo::Report {
                    from: name.clone(),
                    bytes,
                });
            }
            _ => self.refuse(number, "a frame came out of its turn", to),
        }
    }

    /// Both sides have proven themselves.
    fn opened(&mut self, number: u64, name: String, voter: bool, to: &mut Vec<FleetDo>) {
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.talk = Talk::Open {
                name: name.clone(),
                voter,
            };
        }
        // One connection a pair: the newer one counts, for the other side has given the older one up.
        if let Some(before) = self
            .open
            .insert(name.clone(), number)
            .filter(|before| *before != number)
        {
            if let Some(connection) = self.connections.get_mut(&before) {
                connection.talk = Talk::Ended;
            }
            to.push(FleetDo::Close {
                connection: before,
                why: "a newer connection takes its place".into(),
            });
        }
        to.push(FleetDo::Connection(format!("connected with {name}")));
        if voter && let Some(own) = &mut self.voter {
            let mut said = Vec::new();
            own.opened(&name, &mut said);
            self.carry(said, to);
        }
        if !voter {
            // Who follows is told all that was agreed on, and from then on what is new.
            let tell = |(topic, number, value): (&str, u64, &[u8])| Frame::Agreed {
                topic: topic.to_owned(),
                number,
                value: value.to_vec(),
            };
            let frames: Vec<Frame> = self.board().values().map(tell).collect();
            frames
                .iter()
                .for_each(|frame| self.write(number, frame, to));
        }
    }

    /// A datagram came. One that is of no use changes nothing, and is counted.
    pub fn datagram(&mut self, now: TenthMillis, bytes: &[u8], to: &mut Vec<FleetDo>) {
        let mut said = Vec::new();
        if self.members.received(now, bytes, &mut said).is_err() {
            self.refused += 1;
        }
        self.carry_members(said, to);
    }

    /// Datagrams, frames and connections that were not taken so far.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Sends a report on its way to who leads; where that is this process, or this one is to put it together with
    /// others first, it comes back as [`FleetDo::Report`]. It may be lost: reports are told again.
    pub fn report(&mut self, bytes: Vec<u8>, to: &mut Vec<FleetDo>) {
        if bytes.len() > LONGEST_REPORT {
            return;
        }
        let leader = self.leader().map(|(name, _)| name.to_owned());
        let way = match leader {
            Some(leader) if leader == self.own => {
                to.push(FleetDo::Report {
                    from: self.own.clone(),
                    bytes,
                });
                return;
            }
            Some(leader) => self.open.get(&leader).copied(),
            None if self.voter.is_none() || self.is_stopped() => self.open.values().next().copied(),
            None => None,
        };
        if let Some(number) = way {
            self.write(number, &Frame::Report { bytes }, to);
        }
    }

    /// See [`Voter::propose`].
    ///
    /// # Errors
    ///
    /// See [`Voter::propose`].
    pub fn propose(
        &mut self,
        now: TenthMillis,
        topic: &str,
        based_on: u64,
        value: Vec<u8>,
        to: &mut Vec<FleetDo>,
    ) -> Result<(), String> {
        let Some(voter) = &mut self.voter else {
            return Err("this process is no voter".into());
        };
        let mut said = Vec::new();
        let done = voter.propose(now, topic, based_on, value, &mut said);
        self.carry_voter(said, now, to);
        done
    }

    /// Leaves for good.
    pub fn leave(&mut self, now: TenthMillis, to: &mut Vec<FleetDo>) {
        let mut said = Vec::new();
        self.members.leave(now, &mut said);
        self.carry_members(said, to);
    }

    fn carry_members(&mut self, said: Vec<MembersDo>, to: &mut Vec<FleetDo>) {
        for one in said {
            to.push(match one {
                MembersDo::Send { to, bytes } => FleetDo::Datagram { to, bytes },
                MembersDo::Up(who) => FleetDo::Up(who),
                MembersDo::Gone(who) => FleetDo::Gone(who),
                MembersDo::Refuted => {
                    FleetDo::Line("was taken for gone, and said that it is not".into())
                }
            });
        }
    }

    fn carry(&mut self, said: Vec<VoterDo>, to: &mut Vec<FleetDo>) {
        for one in said {
            match one {
                VoterDo::Say { to: name, frame } => {
                    if let Some(&number) = self.open.get(&name) {
                        self.write(number, &frame, to);
                    }
                }
                VoterDo::Agreed(agreed) => {
                    let Agreed {
                        topic,
                        number,
                        value,
                    } = agreed.clone();
                    self.board.hear(&topic, number, &value);
                    let frame = Frame::Agreed {
                        topic,
                        number,
                        value,
                    };
                    for (&follower, connection) in &self.connections {
                        if matches!(connection.talk, Talk::Open { voter: false, .. }) {
                            self.write(follower, &frame, to);
                        }
                    }
                    to.push(FleetDo::Agreed(agreed));
                }
                VoterDo::Line(line) => to.push(FleetDo::Line(line)),
            }
        }
    }

    /// As [`Fleet::carry`]; and a voter whose disk has failed meanwhile follows from now on.
    fn carry_voter(&mut self, said: Vec<VoterDo>, now: TenthMillis, to: &mut Vec<FleetDo>) {
        if said.is_empty() {
            return;
        }
        let steps_down = self.is_stopped() && !self.dials.is_one_enough();
        self.carry(said, to);
        if steps_down {
            // The others are to hear it as what it now is.
            let open: Vec<u64> = self.open.values().copied().collect();
            open.into_iter()
                .for_each(|number| self.close(number, "this voter's disk has failed", to));
            self.dial(now);
        }
    }
}
