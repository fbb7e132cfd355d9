//! The gateway's side of all links that come to it.
//!
//! A session lives on its own, whatever connection it has at the moment; a call that came under a number of it
//! is run once, and its outcome is kept until the other side holds it, within bounds in number (the credit) and
//! in time (the keep).
//!
//! | connection | event | next |
//! | --- | --- | --- |
//! | new | - | challenged |
//! | challenged | hello that proves itself, of a session that is kept | its older connection is closed; welcome, outcomes again |
//! | challenged | hello that proves itself, of another | welcome to a new session, if there is room |
//! | challenged | anything else, or nothing in time | refused and closed |
//! | welcomed | a call, the next by number | run; credit counts it until its outcome is held |
//! | welcomed | a call whose number is not the next | closed: frames can't be missing within a connection |
//! | any | ends | the session stays for the keep |
//!
//! Named rules: *runs-once*, a number of a session is started at most once; *kept-until-held*, an outcome is
//! dropped only when acknowledged, withdrawn, or with its session.

use std::collections::BTreeMap;

use linenthread_core::interface::{AttemptOutcome, Phase, TenthMillis};
use linenthread_frames::{Nonce, Secrets};
use oorandom::Rand64;

use crate::frame::{Call, FAR, Frame, Member, NEAR, VERSION};

/// What a gateway keeps to. All times are tenths of a millisecond.
#[derive(Clone, Debug, PartialEq)]
pub struct FarTerms {
    pub name: String,
    /// Calls of a session that run or whose outcome is kept, and bytes of them, at the most.
    pub window: u64,
    pub window_bytes: u64,
    /// How long a session without a connection is kept.
    pub keep: TenthMillis,
    pub most_sessions: usize,
    /// A connection that has not proven itself by then is closed.
    pub greeting: TenthMillis,
    /// One on which nothing is heard for so long is closed.
    pub silence: TenthMillis,
}

/// What is to be done for the links.
#[derive(Clone, Debug, PartialEq)]
pub enum FarDo {
    Send {
        connection: u64,
        frame: Frame,
    },
    Close {
        connection: u64,
        why: String,
    },
    /// Send this call on, and tell its ending.
    Start {
        session: u64,
        number: u64,
        time_out: TenthMillis,
        call: Call,
    },
    /// A call is no longer waited for.
    Stop {
        session: u64,
        number: u64,
    },
    /// Ask a replica, and tell its answer.
    Probe {
        connection: u64,
        number: u64,
        replica: String,
    },
}

enum Held {
    Running,
    Done(Frame),
}

struct Session {
    /// Made up as it began: a session of the same number that was given up is another.
    epoch: u64,
    /// The newest hello's number.
    attempt: u64,
    connection: Option<u64>,
    /// The last call that came.
    received: u64,
    calls: BTreeMap<u64, (Held, u64)>,
    /// Bytes of all calls that came, and of those let go.
    bytes: u64,
    let_go: u64,
    told: (u64, u64),
    since: TenthMillis,
}

enum Connection {
    Challenged { nonce: Nonce, since: TenthMillis },
    Welcomed { session: u64, heard: TenthMillis },
}

pub struct Far {
    terms: FarTerms,
    secrets: Secrets,
    chance: Rand64,
    sessions: BTreeMap<u64, Session>,
    connections: BTreeMap<u64, Connection>,
    members: Vec<Member>,
    revision: u64,
    leaving: bool,
}

impl Far {
    /// A gateway that has just started. Its seed must be new with each start: the epochs of its sessions come
    /// from it, and tell them from those of an earlier life.
    pub fn new(terms: FarTerms, secrets: Secrets, seed: u64) -> Far {
        Far {
            terms,
            secrets,
            chance: Rand64::new(u128::from(seed)),
            sessions: BTreeMap::new(),
            connections: BTreeMap::new(),
            members: Vec::new(),
            revision: 0,
            leaving: false,
        }
    }

    /// Calls that run or whose outcome is kept, over all sessions.
    pub fn held(&self) -> usize {
        self.sessions.values().map(|s| s.calls.len()).sum()
    }

    pub fn sessions(&self) -> usize {
        self.sessions.len()
    }

    pub fn accepted(&mut self, now: TenthMillis, connection: u64, to: &mut Vec<FarDo>) {
        let mut nonce = Nonce::default();
        nonce
            .iter_mut()
            .for_each(|b| *b = self.chance.rand_u64() as u8);
        self.connections
            .insert(connection, Connection::Challenged { nonce, since: now });
        let frame = Frame::Challenge {
            least: VERSION,
            most: VERSION,
            nonce,
            name: self.terms.name.clone(),
        };
        to.push(FarDo::Send { connection, frame });
    }

    pub fn lost(&mut self, now: TenthMillis, connection: u64) {
        if let Some(Connection::Welcomed { session, .. }) = self.connections.remove(&connection)
            && let Some(session) = self.sessions.get_mut(&session)
            && session.connection == Some(connection)
        {
            (session.connection, session.since) = (None, now);
        }
    }

    fn close(&mut self, now: TenthMillis, connection: u64, why: &str, to: &mut Vec<FarDo>) {
        to.push(FarDo::Send {
            connection,
            frame: Frame::Refuse { why: why.into() },
        });
        to.push(FarDo::Close {
            connection,
            why: why.into(),
        });
        self.lost(now, connection);
    }

    /// What can be reached from here; all links are told what has changed of it.
    pub fn members(&mut self, members: Vec<Member>, to: &mut Vec<FarDo>) {
        if members == self.members {
            return;
        }
        // Those that are new or have changed, and those that are left out now.
        let mut changes: Vec<Member> = members
            .iter()
            .filter(|m| !self.members.contains(m))
            .cloned()
            .collect();
        let listed = |id: &str| members.iter().any(|m| m.id == id);
        let gone = self.members.iter().filter(|m| !listed(&m.id));
        changes.extend(gone.map(|m| Member {
            phase: Phase::Removed,
            ..m.clone()
        }));
        (self.members, self.revision) = (members, self.revision + 1);
        let revision = self.revision;
        for connection in self.sessions.values().filter_map(|s| s.connection) {
            let frame = Frame::Members {
                revision,
                whole: false,
                members: changes.clone(),
            };
            to.push(FarDo::Send { connection, frame });
        }
    }

    /// The whole list, to who has just come.
    fn tell_members(&self, connection: u64, to: &mut Vec<FarDo>) {
        let frame = Frame::Members {
            revision: self.revision,
            whole: true,
            members: self.members.clone(),
        };
        to.push(FarDo::Send { connection, frame });
    }

    /// Nothing new is taken from now on; what runs goes on.
    pub fn leave(&mut self, to: &mut Vec<FarDo>) {
        self.leaving = true;
        let up = self.sessions.values().filter_map(|s| s.connection);
        to.extend(up.map(|connection| FarDo::Send {
            connection,
            frame: Frame::Goodbye,
        }));
    }

    pub fn received(
        &mut self,
        now: TenthMillis,
        connection: u64,
        frame: Frame,
        to: &mut Vec<FarDo>,
    ) {
        match self.connections.get_mut(&connection) {
            None => {}
            Some(Connection::Challenged { nonce, .. }) => {
                let nonce = *nonce;
                self.hello(now, connection, &nonce, &frame, to);
            }
            Some(Connection::Welcomed { session, heard }) => {
                *heard = now;
                let session = *session;
                self.of_session(now, connection, session, frame, to);
            }
        }
    }

    fn hello(
        &mut self,
        now: TenthMillis,
        connection: u64,
        nonce: &Nonce,
        frame: &Frame,
        to: &mut Vec<FarDo>,
    ) {
        let Frame::Hello {
            version,
            nonce: theirs,
            session,
            attempt,
            epoch,
            proof,
            ..
        } = frame
        else {
            return self.close(now, connection, "a hello must come first", to);
        };
        if *version != VERSION {
            return self.close(now, connection, "no such version is spoken here", to);
        }
        let Some(secret) = self.secrets.proven_by(NEAR, nonce, &frame.said(), proof) else {
            return self.close(
                now,
                connection,
                "the hello does not prove that it knows the secret",
                to,
            );
        };
        if self
            .sessions
            .get(session)
            .is_some_and(|known| *attempt <= known.attempt)
        {
            // It was long on its way, and would take the session from a newer connection.
            return self.close(now, connection, "the session has said a newer hello", to);
        }
        let resumed = self
            .sessions
            .get(session)
            .is_some_and(|known| known.epoch == *epoch);
        if !resumed {
            self.forget(*session, to);
            if self.sessions.len() >= self.terms.most_sessions {
                return self.close(now, connection, "no room for a session", to);
            }
            let new = Session {
                epoch: self.chance.rand_u64().max(1),
                attempt: 0,
                connection: None,
                received: 0,
                calls: BTreeMap::new(),
                bytes: 0,
                let_go: 0,
                told: (0, 0),
                since: now,
            };
            self.sessions.insert(*session, new);
        }
        let Some(known) = self.sessions.get_mut(session) else {
            return;
        };
        // From now on nothing counts that the older connection may still bring.
        if let Some(old) = known.connection.replace(connection) {
            self.connections.remove(&old);
            to.push(FarDo::Close {
                connection: old,
                why: "the session goes on on another connection".into(),
            });
        }
        (known.told, known.attempt) = ((0, 0), *attempt);
        let (epoch, received, bytes) = (known.epoch, known.received, known.bytes);
        let again: Vec<Frame> = known
            .calls
            .values()
            .filter_map(|(held, _)| match held {
                Held::Done(outcome) => Some(outcome.clone()),
                Held::Running => None,
            })
            .collect();
        self.connections.insert(
            connection,
            Connection::Welcomed {
                session: *session,
                heard: now,
            },
        );
        let mut welcome = Frame::Welcome {
            epoch,
            resumed,
            received,
            bytes,
            proof: [0; 32],
        };
        let proven = self.secrets.prove(secret, FAR, theirs, &welcome.said());
        if let Frame::Welcome { proof, .. } = &mut welcome {
            *proof = proven;
        }
        to.push(FarDo::Send {
            connection,
            frame: welcome,
        });
        self.tell_members(connection, to);
        to.extend(
            again
                .into_iter()
                .map(|frame| FarDo::Send { connection, frame }),
        );
        if self.leaving {
            to.push(FarDo::Send {
                connection,
                frame: Frame::Goodbye,
            });
        }
        self.tell_credit(*session, to);
    }

    fn of_session(
        &mut self,
        now: TenthMillis,
        connection: u64,
        id: u64,
        frame: Frame,
        to: &mut Vec<FarDo>,
    ) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        match frame {
            Frame::Call {
                number,
                remaining_ms,
                call,
            } => {
                // A number that came before is not run again, whatever brings it a second time.
                if number <= session.received {
                    return;
                }
                let over = number != session.received + 1
                    || session.calls.len() as u64 >= self.terms.window
                    || session.bytes - session.let_go + call.size() > self.terms.window_bytes;
                if over {
                    return self.close(now, connection, "a call beyond its turn or its credit", to);
                }
                session.received = number;
                session.bytes += call.size();
                session.calls.insert(number, (Held::Running, call.size()));
                let time_out = TenthMillis::from(remaining_ms) * 10;
                if self.leaving {
                    return self.ended(
                        id,
                        number,
                        AttemptOutcome::Rejected,
                        None,
                        String::new(),
                        to,
                    );
                }
                to.push(FarDo::Start {
                    session: id,
                    number,
                    time_out,
                    call,
                });
            }
            Frame::Withdraw { number } => {
                if let Some((Held::Running, _)) = session.calls.get(&number) {
                    to.push(FarDo::Stop {
                        session: id,
                        number,
                    });
                }
                self.let_go(id, number, to);
            }
            Frame::Ack { numbers } => {
                let done = |n: &u64| matches!(session.calls.get(n), Some((Held::Done(_), _)));
                let numbers: Vec<u64> = numbers.into_iter().filter(done).collect();
                numbers
                    .into_iter()
                    .for_each(|number| self.let_go(id, number, to));
            }
            Frame::Ping { number } => to.push(FarDo::Send {
                connection,
                frame: Frame::Pong { number },
            }),
            Frame::Pong { .. } | Frame::Goodbye => {}
            Frame::Probe { number, replica } => to.push(FarDo::Probe {
                connection,
                number,
                replica,
            }),
            Frame::Refuse { why } => {
                to.push(FarDo::Close { connection, why });
                self.lost(now, connection);
            }
            _ => self.close(now, connection, "a frame that has no place here", to),
        }
    }

    /// A call that was started has ended.
    pub fn ended(
        &mut self,
        session: u64,
        number: u64,
        ending: AttemptOutcome,
        queue: Option<f64>,
        value: String,
        to: &mut Vec<FarDo>,
    ) {
        let Some(known) = self.sessions.get_mut(&session) else {
            return;
        };
        let Some((held @ Held::Running, _)) = known.calls.get_mut(&number) else {
            return;
        };
        let outcome = Frame::Outcome {
            number,
            ending,
            queue,
            value,
        };
        *held = Held::Done(outcome.clone());
        if let Some(connection) = known.connection {
            to.push(FarDo::Send {
                connection,
                frame: outcome,
            });
        }
    }

    /// The one place where a call is forgotten by itself; its room is given back.
    fn let_go(&mut self, id: u64, number: u64, to: &mut Vec<FarDo>) {
        if let Some(session) = self.sessions.get_mut(&id)
            && let Some((_, size)) = session.calls.remove(&number)
        {
            session.let_go += size;
            self.tell_credit(id, to);
        }
    }

    /// Tells the credit again once a quarter of the window has become free.
    fn tell_credit(&mut self, id: u64, to: &mut Vec<FarDo>) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let Some(connection) = session.connection else {
            return;
        };
        let free = self.terms.window - (session.calls.len() as u64).min(self.terms.window);
        let (number, bytes) = (
            session.received + free,
            session.let_go + self.terms.window_bytes,
        );
        let quarter = self.terms.window / 4;
        let (told, told_bytes) = session.told;
        if told == 0 || number > told + quarter || bytes > told_bytes + self.terms.window_bytes / 4
        {
            session.told = (number, bytes);
            to.push(FarDo::Send {
                connection,
                frame: Frame::Credit { number, bytes },
            });
        }
    }

    fn forget(&mut self, id: u64, to: &mut Vec<FarDo>) {
        let Some(session) = self.sessions.remove(&id) else {
            return;
        };
        let running = session
            .calls
            .iter()
            .filter(|(_, (held, _))| matches!(held, Held::Running));
        to.extend(running.map(|(number, _)| FarDo::Stop {
            session: id,
            number: *number,
        }));
        if let Some(connection) = session.connection {
            self.connections.remove(&connection);
            to.push(FarDo::Close {
                connection,
                why: "the session is given up".into(),
            });
        }
    }

    /// Time has come on: what is silent, late or kept for too long is let go.
    pub fn wake(&mut self, now: TenthMillis, to: &mut Vec<FarDo>) {
        let silent = |c: &Connection| match c {
            Connection::Challenged { since, .. } => now >= since + self.terms.greeting,
            Connection::Welcomed { heard, .. } => now >= heard + self.terms.silence,
        };
        let silent: Vec<u64> = self
            .connections
            .iter()
            .filter(|(_, c)| silent(c))
            .map(|(id, _)| *id)
            .collect();
        silent
            .into_iter()
            .for_each(|connection| self.close(now, connection, "nothing is heard", to));
        let keep = self.terms.keep;
        let over = |s: &Session| s.connection.is_none() && now >= s.since + keep;
        let over: Vec<u64> = self
            .sessions
            .iter()
            .filter(|(_, s)| over(s))
            .map(|(id, _)| *id)
            .collect();
        over.into_iter().for_each(|id| self.forget(id, to));
    }

    /// When it is to be woken.
    pub fn wake_at(&self) -> TenthMillis {
        let connections = self.connections.values().map(|c| match c {
            Connection::Challenged { since, .. } => since + self.terms.greeting,
            Connection::Welcomed { heard, .. } => heard + self.terms.silence,
        });
        let sessions = self.sessions.values().filter(|s| s.connection.is_none());
        connections
            .chain(sessions.map(|s| s.since + self.terms.keep))
            .min()
            .unwrap_or(TenthMillis::MAX)
    }
}
