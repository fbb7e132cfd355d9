//! A control node as one state machine: it owns the tables, routes each message to one of them, and drives
//! the register and the leader lease.

use std::collections::VecDeque;

use linenthread_consensus::{
    DurableState, Effect as Agreed, JobId, LeaderLease, Outcome, Register,
};
use linenthread_messages::{
    DurableProgress, IngressSession, PeerMessage, QuotaGrants, Record, Replica, Value,
};
use linenthread_time::Instant;

use crate::dialling::Addresses;
use crate::drains::Drains;
use crate::ingress_nodes::IngressNodes;
use crate::membership::Membership;
use crate::quota::QuotaAllocator;
use crate::requests::{Purpose, Requests, answer};
use crate::timing::{BATCH, SOON, STARTING, TICK, WRITE_REPLICAS};
use crate::{Effect, NodeConfig, ReplicaRegistry, RetryBudget};

/// One control node.
pub struct ControlNode {
    pub(crate) local: NodeConfig,
    pub(crate) register: Register,
    pub(crate) lease: LeaderLease,
    pub(crate) quota_allocator: QuotaAllocator,
    pub(crate) registry: ReplicaRegistry,
    pub(crate) fronts: IngressNodes,
    pub(crate) members: Membership,
    pub(crate) addresses: Addresses,
    pub(crate) requests: Requests,
    pub(crate) drains: Drains,
    pub(crate) began: u64,
    /// Since when it has been in contact with a majority of the voters.
    pub(crate) contact_since: Option<u64>,
    /// When it last ran anything.
    pub(crate) active: u64,
    /// Since when it is to end.
    pub(crate) leaving: Option<u64>,
    /// What its own disk is known to hold.
    pub(crate) durable: DurableProgress,
    /// A change of the voters is on its way.
    pub(crate) changes_voters: bool,
    /// Its disk votes, by the newest value.
    votes: bool,
    /// For so many ticks in a row a value has been in doubt.
    doubts: u32,
    own_messages: VecDeque<PeerMessage>,
    /// It has listened for so long that what it does not know is not there.
    settled: bool,
    /// The place in the log up to which replicas are on disk, and when they were last written.
    written: (u64, u64),
    last_run: u64,
    last_batch: u64,
    last_tick: u64,
}

impl ControlNode {
    /// From what the disk holds; `genesis` is value 0 where all start for the first time.
    pub fn new(
        local: NodeConfig,
        id: u64,
        mut kept: DurableState,
        genesis: Option<Value>,
        now: u64,
    ) -> ControlNode {
        let replicas = std::mem::take(&mut kept.replicas);
        let budget = RetryBudget::new(local.retry_allowance, local.retry_window);
        let durable = DurableProgress {
            value_number: None,
            epoch: kept.epoch,
        };
        let mut control = ControlNode {
            lease: LeaderLease::new(
                id,
                local.incarnation,
                Instant::from_millis(now),
                local.is_genesis,
                kept.epoch,
            ),
            register: Register::new(id, kept, genesis, local.incarnation),
            quota_allocator: QuotaAllocator::new(budget, local.is_genesis),
            registry: ReplicaRegistry::default(),
            fronts: IngressNodes::new(local.incarnation),
            members: Membership::default(),
            addresses: Addresses::new(local.control_address.clone(), local.bootstrap.clone(), now),
            requests: Requests::default(),
            drains: Drains::default(),
            began: now,
            contact_since: None,
            active: now,
            leaving: None,
            durable,
            changes_voters: false,
            votes: false,
            doubts: 0,
            own_messages: VecDeque::new(),
            settled: false,
            written: (0, now),
            last_run: 0,
            last_batch: 0,
            last_tick: 0,
            local,
        };
        for voter in control.register.voters().to_vec() {
            control.addresses.learn(now, &voter.address);
        }
        control.votes = control.register.voters().iter().any(|voter| voter.id == id);
        if let Some(value) = control.register.decided() {
            control.lease.on_decided(value);
            control
                .lease
                .observe_epoch(Instant::from_millis(now), value.epoch, false);
        }
        // Replicas of before may be there still: they have as long as any to say so.
        for replica in &replicas {
            control.registry.observe(now, replica, &mut Vec::new());
        }
        control
    }

    /// The agreement as this node knows it.
    pub fn register(&self) -> &Register {
        &self.register
    }

    /// The replicas as this node knows them.
    pub fn registry(&self) -> &ReplicaRegistry {
        &self.registry
    }

    /// The epoch under which this node holds the leader lease.
    pub fn holds_lease(&self, now: u64) -> Option<u64> {
        self.lease.held_epoch(Instant::from_millis(now))
    }

    /// All fronts with a session anywhere, by name.
    pub fn ingress_sessions(&self) -> std::collections::BTreeMap<String, IngressSession> {
        self.fronts.all()
    }

    /// Number of the newest value; 0 also where there is none.
    pub(crate) fn value_number(&self) -> u64 {
        self.register.decided().map_or(0, |value| value.number)
    }

    // --- agreement ---

    /// What waited on the disk.
    pub fn synced(&mut self, now: u64, then: Vec<(u64, PeerMessage)>, effects: &mut Vec<Effect>) {
        self.awake(now, effects);
        for (to, message) in then {
            self.post(to, message, effects);
        }
        self.agree(now, |_, _| {}, effects);
    }

    /// To the machine of a disk, which may be this one.
    pub(crate) fn post(&mut self, to: u64, message: PeerMessage, effects: &mut Vec<Effect>) {
        if to == self.register.id() {
            self.own_messages.push_back(message);
        } else if let Some(link) = self.members.link_of(to) {
            effects.push(Effect::Send {
                session: link,
                message,
            });
        }
    }

    /// Hands a record to the disk, and asks to be told when a new epoch in it is synced.
    pub(crate) fn keep(
        &mut self,
        record: Record,
        mut then: Vec<(u64, PeerMessage)>,
        effects: &mut Vec<Effect>,
    ) {
        if record.epoch > 0 {
            let durable = DurableProgress {
                value_number: None,
                epoch: record.epoch,
            };
            then.push((self.register.id(), PeerMessage::DurableProgress(durable)));
        }
        effects.push(Effect::Persist { record, then });
    }

    /// Drives the register until it has nothing more to say.
    pub(crate) fn agree(
        &mut self,
        now: u64,
        first: impl FnOnce(&mut Register, &mut Vec<Agreed>),
        effects: &mut Vec<Effect>,
    ) {
        let mut agreed = Vec::new();
        first(&mut self.register, &mut agreed);
        loop {
            for effect in std::mem::take(&mut agreed) {
                self.carry_out(now, effect, effects);
            }
            let Some(message) = self.own_messages.pop_front() else {
                break;
            };
            self.on_own_message(now, message, &mut agreed, effects);
        }
        self.note_durable(now, effects);
    }

    fn carry_out(&mut self, now: u64, effect: Agreed, effects: &mut Vec<Effect>) {
        match effect {
            Agreed::Send { to, message: word } => self.post(to, word, effects),
            Agreed::Persist {
                record,
                after_sync: then,
            } => effects.push(Effect::Persist { record, then }),
            Agreed::Decided(value) => self.on_decided(now, &value, effects),
            Agreed::Reply { job, outcome } => self.on_outcome(now, job, outcome, effects),
        }
    }

    fn on_own_message(
        &mut self,
        now: u64,
        message: PeerMessage,
        agreed: &mut Vec<Agreed>,
        effects: &mut Vec<Effect>,
    ) {
        let own = self.register.id();
        match message {
            PeerMessage::LeaseVote(vote) => self.on_lease_vote(now, own, &vote, effects),
            PeerMessage::LeaseRelease(release) => drop(self.lease.on_release(own, &release)),
            PeerMessage::DurableProgress(durable) => {
                self.durable.epoch = self.durable.epoch.max(durable.epoch);
            }
            message => self
                .register
                .on_message(Instant::from_millis(now), own, message, agreed),
        }
    }

    fn on_decided(&mut self, now: u64, value: &Value, effects: &mut Vec<Effect>) {
        effects.push(Effect::Log(format!(
            "event=value_decided number={} revision={} voters={}",
            value.number,
            value.revision,
            value.voters.len()
        )));
        for voter in &value.voters {
            self.addresses.learn(now, &voter.address);
        }
        // The lease is asked for anew, of those who vote now, before another value is in doubt.
        self.hurry();
        let votes = value
            .voters
            .iter()
            .any(|voter| voter.id == self.register.id());
        let counts_anew = votes && (!self.votes || self.lease.skips_voter_change(value));
        self.lease.on_decided(value);
        self.lease
            .observe_epoch(Instant::from_millis(now), value.epoch, counts_anew);
        self.votes = votes;
        for link in self.members.links() {
            self.send_value(link, effects);
        }
        for link in self.fronts.links() {
            self.update_ingress_node(now, link, effects);
        }
    }

    /// A job has ended. What one peer has told may be true and the newest there is; but out of contact with a
    /// majority nothing is confirmed, and nothing refused.
    fn on_outcome(&mut self, now: u64, job: JobId, outcome: Outcome, effects: &mut Vec<Effect>) {
        let outcome = if self.in_contact(now) {
            outcome
        } else {
            Outcome::Unknown
        };
        match self.requests.take(job) {
            Some(Purpose::Call(call)) => {
                effects.push(Effect::Respond {
                    call,
                    response: answer(outcome),
                });
            }
            Some(Purpose::Confirmation(link)) => {
                if let Some(front) = self.fronts.get_mut(link) {
                    front.confirming = false;
                    front.confirmed |= matches!(outcome, Outcome::Newest(_));
                    self.update_ingress_node(now, link, effects);
                }
            }
            Some(Purpose::Voters) => {
                self.changes_voters = false;
                // Who leaves waits to hear of it.
                self.hurry();
                // An order was decided first: at once again, before the next one.
                if let Some(epoch) = self.lease.held_epoch(Instant::from_millis(now)) {
                    self.keep_voters(now, epoch, effects);
                }
            }
            None => {}
        }
    }

    // --- time ---

    /// All that is due at the next tick is due at once.
    pub(crate) fn hurry(&mut self) {
        (self.last_tick, self.last_batch) = (0, 0);
    }

    /// It has just started, and has not found a majority yet.
    fn searches(&self, now: u64) -> bool {
        now < self.began + STARTING && !self.in_contact(now)
    }

    /// When [`ControlNode::tick`] is due at the latest.
    pub fn next_tick_at(&self, now: u64) -> u64 {
        let waits = self.leaving.is_some() || self.register.is_busy() || !self.drains.is_empty();
        let soon = if waits || self.searches(now) {
            self.last_run + SOON
        } else {
            u64::MAX
        };
        soon.min(self.last_batch + BATCH)
    }

    /// All that is due by time.
    pub fn tick(&mut self, now: u64, effects: &mut Vec<Effect>) {
        self.awake(now, effects);
        self.last_run = now;
        self.agree(
            now,
            |register, agreed| register.tick(Instant::from_millis(now), agreed),
            effects,
        );
        self.settle_drains(now, effects);
        self.release_when_free(now, effects);
        if self.searches(now) {
            self.dial(now, effects);
        }
        if now < self.last_batch + BATCH {
            return;
        }
        self.last_batch = now;
        self.batch(now, effects);
        if now < self.last_tick + TICK {
            return;
        }
        self.last_tick = now;
        self.full_tick(now, effects);
    }

    fn batch(&mut self, now: u64, effects: &mut Vec<Effect>) {
        for link in self
            .members
            .silent(now)
            .into_iter()
            .chain(self.fronts.silent(now))
        {
            self.drop_session(now, link, effects);
        }
        self.note_contact(now, effects);
        self.expire_replicas(now, effects);
        self.dial(now, effects);
        self.flush(now, effects);
        self.write_replicas(now, effects);
    }

    /// Silence counts only where it could have been heard.
    fn expire_replicas(&mut self, now: u64, effects: &mut Vec<Effect>) {
        let silence = 3 * self.local.heartbeat_interval + 1_000;
        let settled = self
            .contact_since
            .is_some_and(|since| now > since + silence);
        if settled && !self.settled {
            // From now on what is not named is not there.
            self.fronts.start_over();
        }
        self.settled = settled;
        if !settled {
            return;
        }
        for ident in self.registry.expire(now, silence) {
            effects.push(Effect::Log(format!(
                "event=replica_timed_out ident={ident}"
            )));
            self.fronts.changes.add(&ident);
        }
    }

    pub(crate) fn is_settled(&self) -> bool {
        self.settled
    }

    fn full_tick(&mut self, now: u64, effects: &mut Vec<Effect>) {
        self.send_heartbeats(now, effects);
        self.send_sessions(effects);
        let registry = &self.registry;
        self.drains.retain(|ident| registry.get(ident).is_some());
        for link in self.fronts.links() {
            self.confirm(now, link, effects);
        }
        self.complete_what_is_in_doubt(now, effects);
        self.ask_for_lease(now, effects);
        if let Some(epoch) = self.lease.held_epoch(Instant::from_millis(now)) {
            let quota_grants = self.quota_allocator.allot(now, epoch, &self.fronts.all());
            self.send_quota_grants(
                QuotaGrants {
                    grants: quota_grants,
                },
                effects,
            );
            self.keep_voters(now, epoch, effects);
        }
    }

    /// What stays in doubt is decided one way or the other: no lease is voted for meanwhile.
    fn complete_what_is_in_doubt(&mut self, now: u64, effects: &mut Vec<Effect>) {
        self.doubts = if self.register.has_undecided() {
            self.doubts + 1
        } else {
            0
        };
        if self.doubts > 1 {
            self.complete(now, effects);
        }
    }

    pub(crate) fn complete(&mut self, now: u64, effects: &mut Vec<Effect>) {
        self.agree(
            now,
            |register, agreed| {
                register.complete_undecided();
                register.tick(Instant::from_millis(now), agreed);
            },
            effects,
        );
    }

    /// Replicas are on disk so that a start of all machines at once need not wait for their heartbeats.
    fn write_replicas(&mut self, now: u64, effects: &mut Vec<Effect>) {
        let place = self.fronts.changes.offset();
        if place == self.written.0 || now < self.written.1 + WRITE_REPLICAS {
            return;
        }
        self.written = (place, now);
        let here = self.registry.iter().filter(|known| !known.replica.removed);
        let replicas: Vec<Replica> = here
            .map(|known| Replica {
                age_ms: 0,
                warmup_ms: 0,
                ..known.snapshot(now)
            })
            .collect();
        effects.push(Effect::Persist {
            record: Record {
                replicas,
                ..Record::default()
            },
            then: Vec::new(),
        });
    }

    fn dial(&mut self, now: u64, effects: &mut Vec<Effect>) {
        let (members, voters) = (&self.members, self.register.voters());
        let is_linked = |address: &str| {
            members
                .iter()
                .any(|(_, peer)| peer.hello.control_address == address)
        };
        let is_voter = |address: &str| voters.iter().any(|voter| voter.address == address);
        let dial = self.addresses.dial(now, is_linked, is_voter);
        effects.extend(dial.into_iter().map(Effect::Dial));
    }
}
