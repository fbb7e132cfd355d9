//! Who is a member and alive: gossip with suspicion and refutation, over datagrams that prove the secret.

mod codec;
mod runtime;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use foca::Foca;
use linenthread_core::interface::TenthMillis;
use linenthread_frames::{Proof, ProofDomain, SecretIndex, Secrets};
use oorandom::Rand64;
use snafu::{OptionExt, ResultExt};

use crate::config::{MembersConfig, PeerAddress};
use crate::error::{DatagramError, GossipSnafu, TooShortSnafu, UnprovenSnafu};
use crate::node_identity::NodeIdentity;
use crate::random::{random_index, random_time};
use codec::GossipCodec;
use runtime::{Gossip, GossipRng, Requests, Timers, gossip_config};

/// The domain of the proofs of datagrams. These bytes go into the proof.
const GOSSIP: ProofDomain = *b"linenthread goss";
const PROOF_BYTES: usize = size_of::<Proof>();
/// How often a member is asked for all others while none is known; up to half as much is added at random.
const JOIN_INTERVAL: TenthMillis = 10_000;
/// The same once others are known.
const REFRESH_INTERVAL: TenthMillis = 40_000;
/// The first time is random, no later than this after the start.
const MAX_JOIN_DELAY: TenthMillis = 500;

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

/// This process's view of the members.
pub struct Members {
    gossip: Gossip,
    secrets: Secrets,
    /// Members that are asked for all others at first, without this process.
    seeds: Vec<PeerAddress>,
    rng: Rand64,
    timers: Timers,
    /// All others that are believed to be alive, by name.
    alive: BTreeMap<String, NodeIdentity>,
    /// When a member is next asked for all others.
    announce_at: TenthMillis,
    /// This process has left: nothing is sent or received any more.
    left: bool,
}

impl Members {
    /// Joins.
    pub fn new(config: MembersConfig, now: TenthMillis) -> Members {
        let gossip_config = gossip_config(&config);
        let mut rng = Rand64::new(u128::from(config.random_seed));
        let gossip_rng = GossipRng(Rand64::new(rng.rand_u64().into()));
        let announce_at = now + random_time(&mut rng, MAX_JOIN_DELAY);
        let mut seeds = config.seeds;
        seeds.retain(|seed| seed.name != config.local.name);
        let codec = GossipCodec::default();
        Members {
            gossip: Foca::new(config.local, gossip_config, gossip_rng, codec),
            secrets: config.secrets,
            seeds,
            rng,
            timers: Timers::default(),
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
        self.timers.next_deadline().min(self.announce_at)
    }

    /// Does what is due.
    pub fn wake(&mut self, now: TenthMillis, actions: &mut Vec<MembersAction>) {
        if self.announce_at <= now {
            self.announce(now, actions);
        }
        while let Some(timer) = self.timers.pop_expired(now) {
            if !self.left {
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
        self.announce_at = now + interval + random_time(&mut self.rng, interval / 2);
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
        let is_missing = |seed: &&PeerAddress| !self.alive.contains_key(&seed.name);
        let mut candidates: Vec<NodeIdentity> = self
            .seeds
            .iter()
            .filter(is_missing)
            .map(|seed| NodeIdentity::unknown(&seed.name, seed.address))
            .collect();
        if candidates.is_empty() {
            let members = self.alive.values();
            candidates = members
                .map(|member| NodeIdentity::unknown(&member.name, member.gossip))
                .collect();
        }
        let index = random_index(&mut self.rng, candidates.len());
        candidates.into_iter().nth(index)
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

    /// Leaves for good: the others are notified and need not find out.
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
            let proof = self.secrets.prove(SecretIndex::FIRST, GOSSIP, &[], &bytes);
            bytes.extend(proof);
            actions.push(MembersAction::Send { to, bytes });
        }
        for (after, timer) in requests.timers {
            self.timers.set(now, after, timer);
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
