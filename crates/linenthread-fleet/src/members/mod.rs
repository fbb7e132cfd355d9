//! Who is a member and alive: gossip with suspicion and refutation, over datagrams that prove the secret.

mod codec;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;

use foca::{Foca, Notification, PeriodicParams, Timer};
use linenthread_core::interface::TenthMillis;
use linenthread_frames::{Proof, ProofDomain, Secrets};
use oorandom::Rand64;
use rand::rand_core::{Infallible, TryRng};
use snafu::{OptionExt, ResultExt};

use crate::error::{DatagramError, GossipSnafu, TooShortSnafu, UnprovenSnafu};
use crate::node_identity::NodeIdentity;
use codec::GossipCodec;

/// The domain of the proofs of datagrams. These bytes go into the proof.
const GOSSIP: ProofDomain = *b"linenthread goss";
/// The secret by which datagrams are proven: the first that is configured.
const FIRST_SECRET: usize = 0;
/// The longest datagram in bytes, without its proof: it fits an Ethernet frame.
const MAX_DATAGRAM_BYTES: usize = 1_300;
const PROOF_BYTES: usize = size_of::<Proof>();
/// How often a member is asked for all others while none is known; up to half as much is added at random.
const JOIN_INTERVAL: TenthMillis = 10_000;
/// The same once others are known.
const REFRESH_INTERVAL: TenthMillis = 40_000;
/// The first time is random, no later than this after the start.
const MAX_JOIN_DELAY: TenthMillis = 500;
/// The probe interval that foca's own defaults are meant for.
const DEFAULT_PROBE_INTERVAL: f64 = 10_000.0;
/// Members that are down are told of the others once in so many probe intervals.
const DOWN_ANNOUNCE_INTERVALS: TenthMillis = 10;
const MICROS_PER_TENTH_MILLI: u64 = 100;

/// How a process takes part in the membership.
#[derive(Clone, Debug)]
pub struct MembersConfig {
    /// This process.
    pub local: NodeIdentity,
    /// Members that are asked for all others at first, by name and gossip address.
    pub seeds: Vec<(String, SocketAddr)>,
    /// About how many members there are: it sets how long a suspicion lasts.
    pub expected_members: u32,
    /// How often one random member is asked for a sign of life.
    pub probe_interval: TenthMillis,
}

/// What the caller has to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum MembersAction {
    /// Send a datagram.
    Send {
        /// Where to.
        to: SocketAddr,
        /// The datagram.
        bytes: Vec<u8>,
    },
    /// A member is alive, or has come back under another identity.
    Up(NodeIdentity),
    /// A member is down or has left.
    Down(NodeIdentity),
    /// This process was declared down, and has refuted it.
    Refuted,
}

/// foca's random numbers, from a seed.
struct GossipRng(Rand64);

impl TryRng for GossipRng {
    type Error = Infallible;

    fn try_next_u32(&mut self) -> Result<u32, Infallible> {
        Ok(self.0.rand_u64() as u32)
    }

    fn try_next_u64(&mut self) -> Result<u64, Infallible> {
        Ok(self.0.rand_u64())
    }

    fn try_fill_bytes(&mut self, bytes: &mut [u8]) -> Result<(), Infallible> {
        for byte in bytes {
            *byte = self.0.rand_u64() as u8;
        }
        Ok(())
    }
}

/// What foca wants done, gathered while it is called.
#[derive(Default)]
struct Requests {
    datagrams: Vec<(SocketAddr, Vec<u8>)>,
    timers: Vec<(Duration, Timer<NodeIdentity>)>,
    members_changed: bool,
    refuted: bool,
}

impl foca::Runtime<NodeIdentity> for &mut Requests {
    fn notify(&mut self, notification: Notification<'_, NodeIdentity>) {
        match notification {
            Notification::Rejoin(_) => self.refuted = true,
            Notification::MemberUp(_) | Notification::MemberDown(_) | Notification::Rename(..) => {
                self.members_changed = true;
            }
            _ => {}
        }
    }

    fn send_to(&mut self, to: NodeIdentity, data: &[u8]) {
        self.datagrams.push((to.gossip, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<NodeIdentity>, after: Duration) {
        self.timers.push((after, event));
    }
}

type Gossip = Foca<NodeIdentity, GossipCodec, GossipRng, foca::NoCustomBroadcast>;

/// This process's view of the members.
pub struct Members {
    gossip: Gossip,
    secrets: Secrets,
    seeds: Vec<(String, SocketAddr)>,
    rng: Rand64,
    deadlines: BinaryHeap<Reverse<(TenthMillis, u64)>>,
    timers: BTreeMap<u64, Timer<NodeIdentity>>,
    last_timer: u64,
    alive: BTreeMap<String, NodeIdentity>,
    /// When a member is next asked for all others.
    announce_at: TenthMillis,
    left: bool,
}

fn duration(tenth_millis: TenthMillis) -> Duration {
    Duration::from_micros(tenth_millis.max(1).unsigned_abs() * MICROS_PER_TENTH_MILLI)
}

fn tenth_millis(duration: Duration) -> TenthMillis {
    let tenths = duration.as_micros() / u128::from(MICROS_PER_TENTH_MILLI);
    TenthMillis::try_from(tenths.max(1)).unwrap_or(TenthMillis::MAX)
}

fn gossip_config(config: &MembersConfig) -> foca::Config {
    let expected = NonZeroU32::new(config.expected_members.max(2)).unwrap_or(NonZeroU32::MIN);
    let mut gossip = foca::Config::new_lan(expected);
    let interval = config.probe_interval;
    let slower = interval as f64 / DEFAULT_PROBE_INTERVAL;
    gossip.probe_period = duration(interval);
    gossip.probe_rtt = duration(interval * 2 / 5);
    gossip.suspect_to_down_after = gossip.suspect_to_down_after.mul_f64(slower);
    gossip.max_packet_size = NonZeroUsize::new(MAX_DATAGRAM_BYTES).unwrap_or(NonZeroUsize::MIN);
    // Announcing is done from here: see `announce_target`.
    gossip.periodic_announce = None;
    gossip.periodic_announce_to_down_members = Some(PeriodicParams {
        frequency: duration(interval * DOWN_ANNOUNCE_INTERVALS),
        num_members: NonZeroUsize::MIN,
    });
    gossip
}

impl Members {
    /// Joins; the seed determines all that is random.
    pub fn new(config: MembersConfig, secrets: Secrets, seed: u64, now: TenthMillis) -> Members {
        let gossip_config = gossip_config(&config);
        let mut rng = Rand64::new(u128::from(seed));
        let gossip_rng = GossipRng(Rand64::new(rng.rand_u64().into()));
        let local = config.local.name.clone();
        let gossip = Foca::new(
            config.local,
            gossip_config,
            gossip_rng,
            GossipCodec::default(),
        );
        let announce_at = now + (rng.rand_float() * MAX_JOIN_DELAY as f64) as TenthMillis;
        let mut seeds = config.seeds;
        seeds.retain(|(name, _)| *name != local);
        Members {
            gossip,
            secrets,
            seeds,
            rng,
            deadlines: BinaryHeap::new(),
            timers: BTreeMap::new(),
            last_timer: 0,
            alive: BTreeMap::new(),
            announce_at,
            left: false,
        }
    }

    /// All others that are believed to be alive.
    pub fn alive(&self) -> impl Iterator<Item = &NodeIdentity> {
        self.alive.values()
    }

    /// This process, under its current identity.
    pub fn local(&self) -> &NodeIdentity {
        self.gossip.identity()
    }

    /// When [`Members::wake`] is to be called at the latest.
    pub fn wake_at(&self) -> TenthMillis {
        let timer = self.deadlines.peek();
        timer
            .map_or(TenthMillis::MAX, |Reverse((at, _))| *at)
            .min(self.announce_at)
    }

    /// Does what is due.
    pub fn wake(&mut self, now: TenthMillis, actions: &mut Vec<MembersAction>) {
        if self.announce_at <= now {
            self.announce(now, actions);
        }
        while let Some(Reverse((at, number))) = self.deadlines.peek().copied() {
            if at > now {
                break;
            }
            self.deadlines.pop();
            let timer = self.timers.remove(&number);
            if let Some(timer) = timer.filter(|_| !self.left) {
                self.run(now, actions, |gossip, requests| {
                    gossip.handle_timer(timer, requests)
                });
            }
        }
    }

    /// Asks a member for all others.
    fn announce(&mut self, now: TenthMillis, actions: &mut Vec<MembersAction>) {
        let interval = if self.alive.is_empty() {
            JOIN_INTERVAL
        } else {
            REFRESH_INTERVAL
        };
        let random_part = (self.rng.rand_float() * interval as f64 / 2.0) as TenthMillis;
        self.announce_at = now + interval + random_part;
        if self.left {
            return;
        }
        if let Some(target) = self.announce_target() {
            self.run(now, actions, |gossip, requests| {
                gossip.announce(target, requests)
            });
        }
    }

    /// Whom to ask for all others: a seed that is missing, so that two halves that have declared each other down meet
    /// again there. Where none is missing, any member: one that had to renew its identity may not be accepted by
    /// those it knows, and foca's own timers rest until it receives something.
    fn announce_target(&mut self) -> Option<NodeIdentity> {
        let missing = |(name, _): &&(String, SocketAddr)| !self.alive.contains_key(name);
        let mut candidates: Vec<(&String, SocketAddr)> = self
            .seeds
            .iter()
            .filter(missing)
            .map(|(name, address)| (name, *address))
            .collect();
        if candidates.is_empty() {
            let members = self.alive.values();
            candidates = members
                .map(|member| (&member.name, member.gossip))
                .collect();
        }
        let index = self.rng.rand_range(0..candidates.len().max(1) as u64) as usize;
        let (name, address) = candidates.get(index)?;
        Some(NodeIdentity::unknown(name, *address))
    }

    /// Handles a datagram. One that is not accepted changes nothing.
    ///
    /// # Errors
    /// Why it was not accepted.
    pub fn on_datagram(
        &mut self,
        now: TenthMillis,
        datagram: &[u8],
        actions: &mut Vec<MembersAction>,
    ) -> Result<(), DatagramError> {
        let (message, proof) = datagram
            .split_last_chunk::<PROOF_BYTES>()
            .context(TooShortSnafu)?;
        self.secrets
            .verify(GOSSIP, &[], message, proof)
            .context(UnprovenSnafu)?;
        if self.left {
            return Ok(());
        }
        let mut result = Ok(());
        self.run(now, actions, |gossip, requests| {
            result = match gossip.handle_data(message, requests) {
                // Sent to a former identity of this process, or by itself: nothing is wrong with it.
                Err(foca::Error::DataFromOurselves) => Ok(()),
                other => other,
            };
            Ok(())
        });
        result.context(GossipSnafu)
    }

    /// Leaves for good: the others are told and need not find out.
    pub fn leave(&mut self, now: TenthMillis, actions: &mut Vec<MembersAction>) {
        if !self.left {
            self.run(now, actions, |gossip, requests| {
                gossip.leave_cluster(requests)
            });
            self.left = true;
        }
    }

    /// Calls foca and does what it requests.
    fn run(
        &mut self,
        now: TenthMillis,
        actions: &mut Vec<MembersAction>,
        call: impl FnOnce(&mut Gossip, &mut Requests) -> Result<(), foca::Error>,
    ) {
        let mut requests = Requests::default();
        // What foca cannot do it leaves undone; its timers go on by themselves.
        let _ = call(&mut self.gossip, &mut requests);
        for (to, mut bytes) in requests.datagrams {
            let proof = self.secrets.prove(FIRST_SECRET, GOSSIP, &[], &bytes);
            bytes.extend(proof);
            actions.push(MembersAction::Send { to, bytes });
        }
        for (after, timer) in requests.timers {
            self.last_timer += 1;
            self.timers.insert(self.last_timer, timer);
            let deadline = now + tenth_millis(after);
            self.deadlines.push(Reverse((deadline, self.last_timer)));
        }
        if requests.refuted {
            actions.push(MembersAction::Refuted);
        }
        if requests.members_changed {
            self.update_alive(actions);
        }
    }

    /// Compares with the members before. foca's notifications may be out of date by the end of a call: what counts is
    /// who is there now.
    fn update_alive(&mut self, actions: &mut Vec<MembersAction>) {
        let members = self.gossip.iter_members();
        let alive: BTreeMap<String, NodeIdentity> = members
            .map(|member| (member.id().name.clone(), member.id().clone()))
            .collect();
        let before = std::mem::replace(&mut self.alive, alive);
        for (name, member) in &before {
            if !self.alive.contains_key(name) {
                actions.push(MembersAction::Down(member.clone()));
            }
        }
        for (name, member) in &self.alive {
            if before.get(name) != Some(member) {
                actions.push(MembersAction::Up(member.clone()));
            }
        }
    }
}
