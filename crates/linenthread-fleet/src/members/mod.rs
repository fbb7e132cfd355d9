//! Membership by gossip with suspicion and refutation (SWIM), over authenticated datagrams.

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
use crate::error::{DatagramError, GossipSnafu, TooShortSnafu, UnauthenticatedSnafu};
use crate::node_identity::NodeIdentity;
use crate::random::{random_index, random_time};
use codec::GossipCodec;
use runtime::{Gossip, GossipRng, Requests, Timers, gossip_config};

/// Proof domain of datagrams. The proofs cover these bytes.
const GOSSIP: ProofDomain = *b"linenthread goss";
const PROOF_BYTES: usize = size_of::<Proof>();
/// Interval of announcements, to which a member replies with the list of all others, while no other member is known. Up
/// to half of it is added at random.
const JOIN_INTERVAL: TenthMillis = 10_000;
/// The same interval while other members are known.
const REFRESH_INTERVAL: TenthMillis = 40_000;
/// The first announcement follows at a random time no later than this after the start.
const MAX_JOIN_DELAY: TenthMillis = 500;

/// An action for the caller, or a notification; they must be handled in order.
#[derive(Clone, Debug, PartialEq)]
pub enum MembersAction {
    /// Send a datagram.
    Send {
        /// The address to send it to.
        to: SocketAddr,
        /// The datagram.
        bytes: Vec<u8>,
    },
    /// A member is alive, or has returned under a new identity.
    Up(NodeIdentity),
    /// A member is down or has left.
    Down(NodeIdentity),
    /// This process was declared down by other members and has refuted it.
    DownRefuted,
}

/// This process's view of the members.
pub struct Members {
    gossip: Gossip,
    secrets: Secrets,
    /// Members to announce to in order to join, without this process.
    seeds: Vec<PeerAddress>,
    rng: Rand64,
    timers: Timers,
    /// All other members that are considered alive, by name.
    alive: BTreeMap<String, NodeIdentity>,
    /// Time of the next announcement.
    announce_at: TenthMillis,
    /// This process has left: it neither sends nor accepts gossip any more.
    left: bool,
}

impl Members {
    /// Joins the membership; the first announcement is sent by [`Members::wake`].
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

    /// Returns all other members that are considered alive.
    pub fn alive_members(&self) -> impl Iterator<Item = &NodeIdentity> {
        self.alive.values()
    }

    /// Returns this process's current identity, which changes when it refutes that it is down.
    pub fn local(&self) -> &NodeIdentity {
        self.gossip.identity()
    }

    /// Returns the time by which [`Members::wake`] must be called.
    pub fn wake_at(&self) -> TenthMillis {
        self.timers.next_deadline().min(self.announce_at)
    }

    /// Performs everything that is due.
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

    /// Announces this process to a member, which replies with the list of all others.
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

    /// Selects the member to announce to: a random seed that is not known to be alive, so that two partitions that have
    /// declared each other down merge again. If all seeds are alive, a random member: after this process had to renew
    /// its identity, the members that it knows may not accept it, and foca's own timers do not run until it receives
    /// something.
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
                .map(|member| NodeIdentity::unknown(&member.name, member.gossip_address))
                .collect();
        }
        let index = random_index(&mut self.rng, candidates.len());
        candidates.into_iter().nth(index)
    }

    /// Handles a datagram. One that is rejected changes nothing.
    ///
    /// # Errors
    /// The datagram is not authenticated, or foca rejects it.
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
            .context(UnauthenticatedSnafu)?;
        if self.left {
            return Ok(());
        }
        let mut result = Ok(());
        self.run(now, actions, |gossip, requests| {
            result = match gossip.handle_data(message, requests) {
                // Sent by this process under its current or a former identity: not an error.
                Err(foca::Error::DataFromOurselves) => Ok(()),
                other => other,
            };
            Ok(())
        });
        result.context(GossipSnafu)
    }

    /// Leaves permanently, and notifies the other members, so that they need not detect it by probing.
    pub fn leave(&mut self, now: TenthMillis, actions: &mut Vec<MembersAction>) {
        if !self.left {
            self.run(now, actions, |gossip, requests| {
                gossip.leave_cluster(requests)
            });
            self.left = true;
        }
    }

    /// Calls foca and performs its requests.
    fn run(
        &mut self,
        now: TenthMillis,
        actions: &mut Vec<MembersAction>,
        call: impl FnOnce(&mut Gossip, &mut Requests) -> Result<(), foca::Error>,
    ) {
        let mut requests = Requests::default();
        // An error means that foca did not complete the call; its timers are not affected.
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
            actions.push(MembersAction::DownRefuted);
        }
        if requests.members_changed {
            self.update_alive(actions);
        }
    }

    /// Reports the difference between the members before and after a call. foca's notifications are not used for this,
    /// since they may be out of date by the end of the call.
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
