//! Who is a member and alive: gossip with suspicion and refutation, over datagrams that prove the secret.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;

use bytes::{Buf, BufMut};
use foca::{Foca, Header, Message, Notification, PeriodicParams, State, Timer};
use linenthread_core::interface::TenthMillis;
use linenthread_frames::{Put, Secrets, Side, Take};
use oorandom::Rand64;
use rand::rand_core::{Infallible, TryRng};

use crate::who::Who;

const SIDE: Side = *b"linenthread goss";
/// A datagram at the most; its proof is beyond that.
const LONGEST: usize = 1_300;
const PROOF: usize = 32;
/// Names that are ever heard of, gone ones included; further ones are not taken.
const MOST_NAMES: usize = 4_096;
/// So often one is asked for all others, and half as much again by chance: while nobody is known, and else.
const JOIN: TenthMillis = 10_000;
const SEEK: TenthMillis = 40_000;
const JOIN_SOON: TenthMillis = 500;

/// How the fleet is watched.
#[derive(Clone, Debug)]
pub struct MembersTerms {
    pub own: Who,
    /// Who is asked for all others at first.
    pub ask: Vec<(String, SocketAddr)>,
    /// About how many members there are: it sets how long a suspicion lasts.
    pub expected: u32,
    /// How often one member by chance is asked for a sign of life.
    pub probe: TenthMillis,
}

#[derive(Clone, Debug, PartialEq)]
pub enum MembersDo {
    Send {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    Up(Who),
    Gone(Who),
    /// This process was taken for gone, and says that it is not.
    Refuted,
}

struct Chance(Rand64);

impl TryRng for Chance {
    type Error = Infallible;

    fn try_next_u32(&mut self) -> Result<u32, Infallible> {
        Ok(self.0.rand_u64() as u32)
    }

    fn try_next_u64(&mut self) -> Result<u64, Infallible> {
        Ok(self.0.rand_u64())
    }

    fn try_fill_bytes(&mut self, bytes: &mut [u8]) -> Result<(), Infallible> {
        bytes.iter_mut().for_each(|b| *b = self.0.rand_u64() as u8);
        Ok(())
    }
}

#[derive(Debug)]
struct Unfit(String);

impl std::fmt::Display for Unfit {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Unfit {}

/// The bytes of gossip. It knows all names so far, to bound them.
struct Words(BTreeSet<String>);

impl Words {
    /// Takes one item off the buffer's front.
    fn item<T>(
        mut buf: impl Buf,
        take: impl FnOnce(&mut Take) -> Result<T, String>,
    ) -> Result<T, Unfit> {
        let mut rest = Take(buf.chunk());
        let whole = rest.0.len();
        let item = take(&mut rest).map_err(Unfit)?;
        let took = whole - rest.0.len();
        buf.advance(took);
        Ok(item)
    }

    fn put(mut buf: impl BufMut, bytes: &[u8]) -> Result<(), Unfit> {
        if buf.remaining_mut() < bytes.len() {
            return Err(Unfit("no room".into()));
        }
        buf.put_slice(bytes);
        Ok(())
    }
}

impl foca::Codec<Who> for Words {
    type Error = Unfit;

    fn encode_header(&mut self, header: &Header<Who>, buf: impl BufMut) -> Result<(), Unfit> {
        let mut put = Put(Vec::new());
        header.src.put(&mut put);
        put.u16(header.src_incarnation);
        header.dst.put(&mut put);
        let (kind, number, other) = match &header.message {
            Message::Ping(number) => (1, *number, None),
            Message::Ack(number) => (2, *number, None),
            Message::PingReq {
                target,
                probe_number,
            } => (3, *probe_number, Some(target)),
            Message::IndirectPing {
                origin,
                probe_number,
            } => (4, *probe_number, Some(origin)),
            Message::IndirectAck {
                target,
                probe_number,
            } => (5, *probe_number, Some(target)),
            Message::ForwardedAck {
                origin,
                probe_number,
            } => (6, *probe_number, Some(origin)),
            Message::Announce => (7, 0, None),
            Message::Feed => (8, 0, None),
            Message::Gossip => (9, 0, None),
            Message::Broadcast => (10, 0, None),
            Message::TurnUndead => (11, 0, None),
        };
        put.0.extend([kind, number]);
        if let Some(other) = other {
            other.put(&mut put);
        }
        Words::put(buf, &put.0)
    }

    fn decode_header(&mut self, buf: impl Buf) -> Result<Header<Who>, Unfit> {
        Words::item(buf, |take| {
            let src = Who::take(take)?;
            let src_incarnation = take.u16()?;
            let dst = Who::take(take)?;
            let (kind, probe_number) = (take.u8()?, take.u8()?);
            let message = match kind {
                1 => Message::Ping(probe_number),
                2 => Message::Ack(probe_number),
                3 => Message::PingReq {
                    target: Who::take(take)?,
                    probe_number,
                },
                4 => Message::IndirectPing {
                    origin: Who::take(take)?,
                    probe_number,
                },
                5 => Message::IndirectAck {
                    target: Who::take(take)?,
                    probe_number,
                },
                6 => Message::ForwardedAck {
                    origin: Who::take(take)?,
                    probe_number,
                },
                7 => Message::Announce,
                8 => Message::Feed,
                9 => Message::Gossip,
                10 => Message::Broadcast,
                11 => Message::TurnUndead,
                other => return Err(format!("no gossip is of kind {other}")),
            };
            if self.0.len() >= MOST_NAMES && !self.0.contains(&src.name) {
                return Err("too many names".into());
            }
            self.0.insert(src.name.clone());
            Ok(Header {
                src,
                src_incarnation,
                dst,
                message,
            })
        })
    }

    fn encode_member(&mut self, member: &foca::Member<Who>, buf: impl BufMut) -> Result<(), Unfit> {
        let mut put = Put(Vec::new());
        member.id().put(&mut put);
        put.u16(member.incarnation());
        put.0.push(match member.state() {
            State::Alive => 1,
            State::Suspect => 2,
            State::Down => 3,
        });
        Words::put(buf, &put.0)
    }

    fn decode_member(&mut self, buf: impl Buf) -> Result<foca::Member<Who>, Unfit> {
        Words::item(buf, |take| {
            let who = Who::take(take)?;
            let incarnation = take.u16()?;
            let state = match take.u8()? {
                1 => State::Alive,
                2 => State::Suspect,
                3 => State::Down,
                other => return Err(format!("no state is {other}")),
            };
            if self.0.len() >= MOST_NAMES && !self.0.contains(&who.name) {
                return Err("too many names".into());
            }
            self.0.insert(who.name.clone());
            Ok(foca::Member::new(who, incarnation, state))
        })
    }
}

/// What the gossip wants done, gathered while it is called.
#[derive(Default)]
struct Wants {
    sends: Vec<(SocketAddr, Vec<u8>)>,
    timers: Vec<(Duration, Timer<Who>)>,
    changed: bool,
    refuted: bool,
}

impl foca::Runtime<Who> for &mut Wants {
    fn notify(&mut self, news: Notification<'_, Who>) {
        self.refuted |= matches!(news, Notification::Rejoin(_));
        self.changed |= matches!(
            news,
            Notification::MemberUp(_) | Notification::MemberDown(_) | Notification::Rename(..)
        );
    }

    fn send_to(&mut self, to: Who, data: &[u8]) {
        self.sends.push((to.gossip, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Who>, after: Duration) {
        self.timers.push((after, event));
    }
}

/// This process's view of the members.
pub struct Members {
    foca: Foca<Who, Words, Chance, foca::NoCustomBroadcast>,
    secrets: Secrets,
    ask: Vec<(String, SocketAddr)>,
    chance: Rand64,
    due: BinaryHeap<Reverse<(TenthMillis, u64)>>,
    timers: BTreeMap<u64, Timer<Who>>,
    numbers: u64,
    alive: BTreeMap<String, Who>,
    join_at: TenthMillis,
    left: bool,
}

fn span(tenths: TenthMillis) -> Duration {
    Duration::from_micros(tenths.max(1) as u64 * 100)
}

impl Members {
    pub fn new(terms: MembersTerms, secrets: Secrets, seed: u64, now: TenthMillis) -> Members {
        let expected = NonZeroU32::new(terms.expected.max(2)).unwrap_or(NonZeroU32::MIN);
        let mut config = foca::Config::new_lan(expected);
        let slower = terms.probe as f64 / 10_000.0;
        config.probe_period = span(terms.probe);
        config.probe_rtt = span(terms.probe * 2 / 5);
        config.suspect_to_down_after = config.suspect_to_down_after.mul_f64(slower);
        config.max_packet_size = NonZeroUsize::new(LONGEST).unwrap_or(NonZeroUsize::MIN);
        // Announcing is done from here: see `pick`.
        config.periodic_announce = None;
        let frequency = span(terms.probe * 10);
        config.periodic_announce_to_down_members = Some(PeriodicParams {
            frequency,
            num_members: NonZeroUsize::MIN,
        });
        let mut chance = Rand64::new(u128::from(seed));
        let foca = Foca::new(
            terms.own,
            config,
            Chance(Rand64::new(chance.rand_u64().into())),
            Words(BTreeSet::new()),
        );
        let join_at = now + (chance.rand_float() * JOIN_SOON as f64) as TenthMillis;
        let own = foca.identity().name.clone();
        let ask = terms
            .ask
            .into_iter()
            .filter(|(name, _)| *name != own)
            .collect();
        Members {
            foca,
            secrets,
            ask,
            chance,
            due: BinaryHeap::new(),
            timers: BTreeMap::new(),
            numbers: 0,
            alive: BTreeMap::new(),
            join_at,
            left: false,
        }
    }

    /// All that are taken for alive, but for this process.
    pub fn alive(&self) -> impl Iterator<Item = &Who> {
        self.alive.values()
    }

    pub fn own(&self) -> &Who {
        self.foca.identity()
    }

    pub fn wake_at(&self) -> TenthMillis {
        let timer = self
            .due
            .peek()
            .map_or(TenthMillis::MAX, |Reverse((at, _))| *at);
        timer.min(self.join_at)
    }

    /// Does what fell due.
    pub fn wake(&mut self, now: TenthMillis, to: &mut Vec<MembersDo>) {
        if self.join_at <= now {
            let wait = if self.alive.is_empty() { JOIN } else { SEEK };
            self.join_at =
                now + wait + (self.chance.rand_float() * wait as f64 / 2.0) as TenthMillis;
            if !self.left
                && let Some(stranger) = self.pick()
            {
                self.run(now, to, |foca, wants| foca.announce(stranger, wants));
            }
        }
        while let Some(Reverse((_, number))) = self
            .due
            .peek()
            .copied()
            .filter(|Reverse((at, _))| *at <= now)
        {
            self.due.pop();
            if let Some(timer) = self.timers.remove(&number).filter(|_| !self.left) {
                self.run(now, to, |foca, wants| foca.handle_timer(timer, wants));
            }
        }
    }

    /// Whom to ask for all others. Two halves that have taken each other for gone meet again at a voter, whatever
    /// either still knows. Where none is missing anyone is asked: one that had to come back under a new turn may
    /// not be heard by those it knows, and the gossip's own timers rest until somebody says a word to it.
    fn pick(&mut self) -> Option<Who> {
        let missing = |(name, _): &&(String, SocketAddr)| !self.alive.contains_key(name);
        let mut some: Vec<(&String, SocketAddr)> = self
            .ask
            .iter()
            .filter(missing)
            .map(|(name, at)| (name, *at))
            .collect();
        if some.is_empty() {
            some = self
                .alive
                .values()
                .map(|who| (&who.name, who.gossip))
                .collect();
        }
        let at = self.chance.rand_range(0..some.len().max(1) as u64) as usize;
        some.get(at)
            .map(|(name, address)| Who::stranger(name, *address))
    }

    /// Takes a datagram in; one that proves nothing, or is of no use, changes nothing.
    ///
    /// # Errors
    ///
    /// Why it was not taken.
    pub fn received(
        &mut self,
        now: TenthMillis,
        datagram: &[u8],
        to: &mut Vec<MembersDo>,
    ) -> Result<(), String> {
        let (said, proof) = datagram
            .split_last_chunk::<PROOF>()
            .ok_or("a datagram is too short to prove anything")?;
        if self.secrets.proven_by(SIDE, &[], said, proof).is_none() {
            return Err("a datagram does not prove the secret".into());
        }
        if self.left {
            return Ok(());
        }
        let mut why = Ok(());
        self.run(now, to, |foca, wants| {
            match foca.handle_data(said, wants) {
                // Said to one that this process no longer is, or by itself: nothing is wrong with it.
                Err(foca::Error::DataFromOurselves) | Ok(()) => {}
                Err(e) => why = Err(e.to_string()),
            }
            Ok(())
        });
        why
    }

    /// Leaves for good: the others are told, and need not find out.
    pub fn leave(&mut self, now: TenthMillis, to: &mut Vec<MembersDo>) {
        if !self.left {
            self.run(now, to, |foca, wants| foca.leave_cluster(wants));
            self.left = true;
        }
    }

    fn run(
        &mut self,
        now: TenthMillis,
        to: &mut Vec<MembersDo>,
        call: impl FnOnce(
            &mut Foca<Who, Words, Chance, foca::NoCustomBroadcast>,
            &mut Wants,
        ) -> Result<(), foca::Error>,
    ) {
        let mut wants = Wants::default();
        // What it can't do it says by an error and leaves undone; its timers go on by themselves.
        let _ = call(&mut self.foca, &mut wants);
        for (address, mut bytes) in wants.sends {
            let proof = self.secrets.prove(0, SIDE, &[], &bytes);
            bytes.extend(proof);
            to.push(MembersDo::Send { to: address, bytes });
        }
        for (after, timer) in wants.timers {
            self.numbers += 1;
            let at = now + (after.as_micros() / 100).max(1) as TenthMillis;
            self.timers.insert(self.numbers, timer);
            self.due.push(Reverse((at, self.numbers)));
        }
        if wants.refuted {
            to.push(MembersDo::Refuted);
        }
        if !wants.changed {
            return;
        }
        // What it tells on the way may be out of date by its end: what counts is who is there now.
        let alive: BTreeMap<String, Who> = self
            .foca
            .iter_members()
            .map(|m| (m.id().name.clone(), m.id().clone()))
            .collect();
        for (_, who) in self
            .alive
            .iter()
            .filter(|(name, _)| !alive.contains_key(*name))
        {
            to.push(MembersDo::Gone(who.clone()));
        }
        for (_, who) in alive
            .iter()
            .filter(|(name, who)| self.alive.get(*name) != Some(who))
        {
            to.push(MembersDo::Up(who.clone()));
        }
        self.alive = alive;
    }
}
