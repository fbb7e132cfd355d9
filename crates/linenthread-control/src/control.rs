use std::collections::{BTreeMap, BTreeSet, VecDeque};

use linenthread_consensus::{Change, DurableState, Job, LeaderLease, Outcome, Register};
use linenthread_messages::{
    Allotment, Allotments, ControlUpdate, Durable, FrontUpdate, Heard as Receipt, Heartbeat, Hello,
    LeaseRelease, LeaseRequest, PeerMessage, Record, Replica, Session, VERSION, Value, Voter,
};

use crate::budget::LEASE;
use crate::reconfiguration::{
    Holder, Leave, LeaveView, Presence, VoterState, VotersView, next_step_of_leaving, next_voters,
};
use crate::replicas::{Beat, Heard, Phase};
use crate::{Budget, ChangeLog, Link, ReplicaRegistry, Token};

/// A word at least so often, both ways, and the end of a session that hears nothing for so long.
pub const TICK: u64 = 500;
pub const SILENT: u64 = 1_600;
/// A peer is in contact for so long from a heartbeat of ours that it is known to have heard.
pub const CONTACT: u64 = 2_000;
/// A process that ran nothing for so long was frozen: what it knew of its peers is stale.
const PAUSE: u64 = SILENT;
/// How long a call of the operator or a replica is worked on before it is told to go elsewhere.
const CALL: u64 = 900;
/// What waits for words that may be lost is looked at this often.
const SOON: u64 = 25;
/// Signs of life go to the other hubs in batches.
const BATCH: u64 = 200;
/// So long from its start machines still find each other.
const STARTING: u64 = 3_000;
/// A counted machine that is out of touch for so long gives way to one that stands by.
const LOST: u64 = 1_500;
/// An address of a hub that nobody answers at is tried less and less often, and forgotten after so long.
const FORGET: u64 = 20_000;
/// Places that the log of changes remembers.
const PLACES: usize = 4_096;
/// How often replicas are written to disk at most.
const WRITTEN: u64 = 1_000;
/// How often whole tables go to a hub that knows something else.
const SWEEP: u64 = 1_500;

/// Who this hub is.
#[derive(Clone, Debug)]
pub struct Local {
    pub name: String,
    pub zone: String,
    pub life: u64,
    /// Its address for control calls.
    pub control: String,
    /// Its disk may be counted.
    pub counts: bool,
    /// Never fewer disks count: what may be lost together is borne by so many.
    pub least: usize,
    pub heartbeat: u64,
    pub bootstrap: Vec<String>,
    /// The system starts for the first time, and its disk was empty.
    pub first_of_all: bool,
    pub retry_allowance: f64,
    pub retry_window: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Acknowledged; where later beats may go.
    Heard(Option<String>),
    Taken(u64),
    Document(Value),
    Conflict(u64),
    /// This hub can't say; another may.
    NotNow(&'static str),
    /// This hub is about to end; the one at this address takes calls.
    Elsewhere(String),
}

#[derive(Debug)]
pub enum Effect {
    Send {
        link: Link,
        word: PeerMessage,
    },
    /// To be synced; [`Control::synced`] is called with what waits on it.
    Keep {
        record: Record,
        then: Vec<(u64, PeerMessage)>,
    },
    Answer {
        token: Token,
        answer: Answer,
    },
    Dial(String),
    Drop(Link),
    Note(String),
}

struct Peer {
    hello: Hello,
    hub: bool,
    heard: u64,
    /// Hubs: it is in touch with more than half. Fronts: it has the newest value.
    whole: bool,
    /// The newest value that it has, as far as is known: a hub's by number, a front's by revision.
    value: u64,
    /// Hubs: the newest value that its disk holds.
    durable: Option<u64>,
    /// Hubs: it is about to end.
    leaving: bool,
    /// Hubs: it leads, and is about to change the voters.
    reconfiguring: bool,
    /// Hubs: when, by this machine's clock, the last heartbeat was said that it is known to have heard.
    reached: Option<u64>,
    /// Hubs: when, by its clock, its last heartbeat was said.
    echo: Option<u64>,
    place: Option<u64>,
    hubs: u64,
    confirmed: bool,
    confirming: bool,
    asked: u64,
    revision: u64,
    /// Replicas to tell a hub of with the next batch.
    dirty: BTreeSet<String>,
    swept: u64,
    differs: u32,
}

impl Peer {
    /// A round trip was made of late: it hears this machine and is heard by it.
    fn in_contact(&self, now: u64) -> bool {
        self.hub && self.reached.is_some_and(|reached| now <= reached + CONTACT)
    }
}

enum Wanted {
    Call(Token),
    Confirmed(Link),
    Voters,
}

struct Drain {
    token: Token,
    ident: String,
    receipt: u64,
    until: u64,
    got: BTreeSet<u64>,
}

struct Seen {
    disk: u64,
    counts: bool,
    at: u64,
}

struct Try {
    next: u64,
    wait: u64,
    since: u64,
}

pub struct Control {
    local: Local,
    register: Register,
    lease: LeaderLease,
    budget: Budget,
    registry: ReplicaRegistry,
    changes: ChangeLog,
    peers: BTreeMap<Link, Peer>,
    /// Addresses of all hubs that are known, and when they are dialled.
    hubs: BTreeMap<String, Try>,
    hubs_version: u64,
    /// When the machine at each address was last in touch, with which disk.
    seen: BTreeMap<String, Seen>,
    /// Sessions of fronts that other hubs hold.
    sessions: BTreeMap<Link, Vec<Session>>,
    wanted: BTreeMap<Job, Wanted>,
    jobs: Job,
    drains: Vec<Drain>,
    /// Drains that more than half of the hubs know of.
    safe: BTreeSet<String>,
    receipts: u64,
    began: u64,
    /// Since when it has been in touch with more than half of the counted disks.
    whole_since: Option<u64>,
    last: u64,
    ticked: u64,
    batched: u64,
    voting: bool,
    /// Its disk counts, by the newest value.
    counted: bool,
    /// For so many ticks in a row a value has been in doubt.
    doubts: u32,
    /// The epoch under which this life last held the duty.
    held: Option<u64>,
    given: BTreeMap<(String, u64), u64>,
    own_words: VecDeque<PeerMessage>,
    /// The place in the log up to which replicas are on disk, and when they were last written.
    written: (u64, u64),
    settled: bool,
    /// Since when it is to end.
    leaving: Option<u64>,
    /// What its own disk has confirmed.
    durable: Durable,
    /// Hubs that ended after they had said that they would, and the newest value that their disks held.
    departed: BTreeMap<u64, u64>,
    /// When it last ran anything.
    active: u64,
}

impl Control {
    pub fn new(local: Local, id: u64, mut kept: DurableState, genesis: Option<Value>, now: u64) -> Control {
        let replicas = std::mem::take(&mut kept.replicas);
        let durable = Durable { value: None, epoch: kept.epoch };
        let budget = Budget::new(local.retry_allowance, local.retry_window);
        let mut control = Control {
            lease: LeaderLease::new(id, local.life, now, local.first_of_all, kept.epoch),
            register: Register::new(id, kept, genesis, local.life),
            budget,
            registry: ReplicaRegistry::default(),
            changes: ChangeLog::new(PLACES),
            peers: BTreeMap::new(),
            hubs: BTreeMap::new(),
            hubs_version: 1,
            seen: BTreeMap::new(),
            sessions: BTreeMap::new(),
            wanted: BTreeMap::new(),
            jobs: 0,
            drains: Vec::new(),
            safe: BTreeSet::new(),
            receipts: 0,
            began: now,
            whole_since: None,
            last: 0,
            ticked: 0,
            batched: 0,
            voting: false,
            counted: false,
            doubts: 0,
            held: None,
            given: BTreeMap::new(),
            own_words: VecDeque::new(),
            written: (0, now),
            settled: false,
            leaving: None,
            durable,
            departed: BTreeMap::new(),
            active: now,
            local,
        };
        for address in control.local.bootstrap.clone() {
            control.learn_hub(now, &address);
        }
        for voter in control.register.voters().to_vec() {
            control.learn_hub(now, &voter.address);
        }
        control.counted = control.register.voters().iter().any(|v| v.id == id);
        let floor = control.register.decided().map_or(0, |d| d.epoch);
        control.lease.decided(now, floor, false);
        // Replicas of before may be there still: they have as long as any to say so.
        for replica in &replicas {
            control.registry.observe(now, replica, &mut Vec::new());
        }
        control
    }

    pub fn register(&self) -> &Register {
        &self.register
    }

    pub fn registry(&self) -> &ReplicaRegistry {
        &self.registry
    }

    /// The epoch under which this hub holds the duty.
    pub fn holds_lease(&self, now: u64) -> Option<u64> {
        self.lease.holds(now)
    }

    /// What this hub knows of machines, for operators.
    pub fn members(&self, now: u64) -> serde_json::Value {
        let hub = |p: &Peer| {
            serde_json::json!({"name": p.hello.name, "zone": p.hello.zone, "control": p.hello.control,
                "whole": p.whole, "value": p.value, "heard_ms": now.saturating_sub(p.heard)})
        };
        let front = |s: &Session| serde_json::json!({"name": s.name, "zone": s.zone, "revision": s.revision});
        let decided = self.register.decided();
        serde_json::json!({
            "name": self.local.name,
            "zone": self.local.zone,
            "whole": self.in_contact(now),
            "leaving": self.leaving.is_some(),
            "duty_epoch": self.lease.holds(now),
            "value": self.value_number(),
            "revision": decided.map_or(0, |d| d.revision),
            "counted": self.register.voters().iter().map(|v| &v.address).collect::<Vec<_>>(),
            "hubs": self.live_hubs().map(|(_, p)| hub(p)).collect::<Vec<_>>(),
            "fronts": self.fronts().values().map(front).collect::<Vec<_>>(),
        })
    }

    /// What this hub knows of replicas, for operators.
    pub fn replicas(&self, now: u64) -> serde_json::Value {
        let one = |r: Replica| {
            let phase = match (r.ended, r.gone, r.draining) {
                (true, _, _) => "ended",
                (_, true, _) => "silent",
                (_, _, true) => "draining",
                _ => "available",
            };
            serde_json::json!({"ident": r.ident, "backend": r.backend, "address": r.address, "zone": r.zone,
                "phase": phase, "heard_ms": r.age_ms})
        };
        serde_json::Value::Array(self.registry.iter().map(|k| one(k.tell(now))).collect())
    }

    // --- leaving ---

    /// A planned end was asked for. Asked again it changes nothing.
    pub fn leave(&mut self, now: u64, out: &mut Vec<Effect>) {
        if self.leaving.is_some() {
            return;
        }
        self.leaving = Some(now);
        out.push(Effect::Note("event=leaving".into()));
        self.drop_fronts(now, out);
        self.send_heartbeats(now, out);
        self.agree(now, |register, outs| (register.complete(), register.tick(now, outs)).1, out);
        self.ticked = 0;
    }

    /// Whether this control node may end now: others hold durably what it holds, and it leads no more.
    pub fn may_leave(&self, now: u64) -> bool {
        self.leaving.is_some() && self.next_step_of_leaving(now) == Leave::Go
    }

    /// Why it may not end yet, for the log.
    pub fn leave_waits_for(&self, now: u64) -> &'static str {
        match self.next_step_of_leaving(now) {
            Leave::Wait(cause) => cause,
            Leave::Release => "the leader lease is to be released",
            Leave::Go => "nothing",
        }
    }

    fn next_step_of_leaving(&self, now: u64) -> Leave {
        let Some(number) = self.register.decided().map(|value| value.number) else { return Leave::Go };
        let of =
            |disk: u64| self.live_hubs().map(|(_, p)| p).find(|p| p.hello.disk == disk && p.in_contact(now));
        let holder = |voter: &Voter| match (of(voter.id), self.departed.get(&voter.id)) {
            (Some(peer), _) => Holder {
                disk: voter.id,
                durable: peer.durable >= Some(number),
                presence: if peer.leaving { Presence::Leaving } else { Presence::InContact },
            },
            (None, Some(durable)) => {
                Holder { disk: voter.id, durable: *durable >= number, presence: Presence::Departed }
            }
            (None, None) => Holder { disk: voter.id, durable: false, presence: Presence::Absent },
        };
        let calls = self.wanted.values().any(|wanted| matches!(wanted, Wanted::Call(_)));
        next_step_of_leaving(&LeaveView {
            disk: self.register.id(),
            voters: self.register.voters().iter().map(holder).collect(),
            // Also one that does not hold all yet: what it lacks it is about to have.
            standby: !self.standbys(now, None).is_empty(),
            least: self.local.least,
            // Who has answered has said as well whether it leaves itself, and whether it changes the voters.
            unanswered: self.contacts(now).any(|p| p.reached < self.leaving),
            reconfiguring: self.reconfigures(now) || self.contacts(now).any(|p| p.reconfiguring),
            in_doubt: self.register.in_doubt(),
            busy: calls || self.voting || !self.drains.is_empty(),
            leads: self.lease.holds(now).is_some(),
        })
    }

    /// Its voters may support another at once.
    fn release_lease(&mut self, now: u64, out: &mut Vec<Effect>) {
        let Some(release) = self.lease.release(now) else { return };
        out.push(Effect::Note(format!("event=lease_released epoch={}", release.epoch)));
        let voters: Vec<u64> = self.register.voters().iter().map(|v| v.id).collect();
        for voter in voters {
            self.post(voter, PeerMessage::LeaseRelease(release.clone()), out);
        }
        self.agree(now, |_, _| {}, out);
    }

    fn drop_fronts(&mut self, now: u64, out: &mut Vec<Effect>) {
        let fronts: Vec<Link> = self.peers.iter().filter(|(_, p)| !p.hub).map(|(l, _)| *l).collect();
        for link in fronts {
            self.closed(now, link, out);
            out.push(Effect::Drop(link));
        }
    }

    /// Calls that come while it leaves go to another control node.
    fn sent_on(&self, now: u64) -> Answer {
        let stays = |p: &&Peer| p.in_contact(now) && p.whole && !p.leaving;
        let other = self.live_hubs().map(|(_, p)| p).find(stays);
        other.map_or(Answer::NotNow("about to end"), |p| Answer::Elsewhere(p.hello.control.clone()))
    }

    /// Why a call is not taken at all, if so: this machine leaves, or is out of contact with a majority.
    fn refusal(&self, now: u64) -> Option<Answer> {
        if self.leaving.is_some() {
            return Some(self.sent_on(now));
        }
        (!self.in_contact(now)).then_some(Answer::NotNow("no contact with more than half of the voters"))
    }

    /// The same for calls that are settled by a round of the voters: while it starts that may come in time.
    fn refusal_of_round(&self, now: u64) -> Option<Answer> {
        self.refusal(now).filter(|_| self.leaving.is_some() || now >= self.began + STARTING)
    }

    // --- contact ---

    /// Runs before all that comes: after a pause everything that rests on contact is stale, so all sessions end
    /// and what waited is answered as unclear before anything else is.
    fn awake(&mut self, now: u64, out: &mut Vec<Effect>) {
        let paused = now.saturating_sub(self.active);
        self.active = now;
        if paused <= PAUSE {
            return;
        }
        out.push(Effect::Note(format!("event=woken paused_ms={paused}")));
        let links: Vec<Link> = self.peers.keys().copied().collect();
        for link in links {
            self.closed(now, link, out);
            out.push(Effect::Drop(link));
        }
        self.whole_since = None;
        self.settle_drains(now, out);
        self.agree(now, |register, outs| register.tick(now, outs), out);
    }

    fn heartbeat(&self, now: u64, echo: Option<u64>) -> PeerMessage {
        PeerMessage::Heartbeat(Heartbeat {
            asked: self.value_number(),
            whole: self.in_contact(now) && self.leaving.is_none(),
            digest: self.registry.digest(),
            revision: 0,
            durable: self.durable.value,
            reconfiguring: self.reconfigures(now),
            sent: now,
            echo,
            leaving: self.leaving.is_some(),
        })
    }

    fn send_heartbeats(&self, now: u64, out: &mut Vec<Effect>) {
        let one =
            |(link, peer): (&Link, &Peer)| Effect::Send { link: *link, word: self.heartbeat(now, peer.echo) };
        out.extend(self.peers.iter().map(one));
    }

    /// From no contact to contact: fronts that came before may be told now.
    fn note_contact(&mut self, now: u64, out: &mut Vec<Effect>) {
        match (self.in_contact(now), self.whole_since) {
            (true, None) => {
                self.whole_since = Some(now);
                let fronts: Vec<Link> = self.peers.iter().filter(|(_, p)| !p.hub).map(|(l, _)| *l).collect();
                for link in fronts {
                    self.confirm(now, link, out);
                    self.tell(now, link, out);
                }
            }
            (false, Some(_)) => {
                self.whole_since = None;
                out.push(Effect::Note("event=contact_lost".into()));
                self.drop_fronts(now, out);
            }
            _ => {}
        }
    }

    // --- durability ---

    /// Tells the others as soon as the own disk holds all that this node knows.
    fn note_durable(&mut self, now: u64, out: &mut Vec<Effect>) {
        let value = self.register.holds_all_durably().then(|| self.value_number());
        if value <= self.durable.value {
            return;
        }
        self.durable.value = value;
        let word = PeerMessage::Durable(Durable { value, epoch: 0 });
        for (link, _) in self.live_hubs() {
            out.push(Effect::Send { link: *link, word: word.clone() });
        }
        self.voters_may_change(now);
    }

    fn on_durable(&mut self, now: u64, link: Link, durable: &Durable) {
        let Some(peer) = self.peers.get_mut(&link) else { return };
        peer.durable = peer.durable.max(durable.value);
        self.voters_may_change(now);
    }

    /// A standby that has become ready need not wait for the next tick.
    fn voters_may_change(&mut self, now: u64) {
        if self.lease.holds(now).is_some() && !self.standbys(now, Some(self.value_number())).is_empty() {
            (self.ticked, self.batched) = (0, 0);
        }
    }

    /// Hands a record to the disk, and asks to be told when a new epoch in it is synced.
    fn keep(&mut self, record: Record, mut then: Vec<(u64, PeerMessage)>, out: &mut Vec<Effect>) {
        if record.epoch > 0 {
            let durable = Durable { value: None, epoch: record.epoch };
            then.push((self.register.id(), PeerMessage::Durable(durable)));
        }
        out.push(Effect::Keep { record, then });
    }

    // --- links ---

    /// A connection with a peer stands, whoever opened it.
    pub fn opened(&mut self, link: Link, out: &mut Vec<Effect>) {
        let hello = Hello {
            version: VERSION,
            name: self.local.name.clone(),
            zone: self.local.zone.clone(),
            life: self.local.life,
            control: self.local.control.clone(),
            disk: self.register.id(),
            counts: self.local.counts,
            log: self.local.life,
            place: self.changes.place(),
            value: self.value_number(),
        };
        out.push(Effect::Send { link, word: PeerMessage::Hello(hello) });
    }

    pub fn closed(&mut self, now: u64, link: Link, out: &mut Vec<Effect>) {
        self.sessions.remove(&link);
        if let Some(peer) = self.peers.remove(&link) {
            out.push(Effect::Note(format!("event=session_ended peer={} hub={}", peer.hello.name, peer.hub)));
            if peer.hub {
                if peer.leaving {
                    let durable = peer.durable.unwrap_or_default();
                    self.departed.insert(peer.hello.disk, durable);
                }
                if let Some(seen) = self.seen.get_mut(&peer.hello.control).filter(|_| peer.in_contact(now)) {
                    seen.at = now.min(peer.heard + TICK);
                }
                // What it knew may have gone with it.
                self.drains.iter_mut().for_each(|d| _ = d.got.remove(&peer.hello.disk));
            }
        }
    }

    /// An address could not be reached.
    pub fn unreached(&mut self, now: u64, address: &str) {
        if let Some(hub) = self.hubs.get_mut(address) {
            // Machines that start together find each other soon.
            let most = if now < self.began + STARTING { 100 } else { 1_600 };
            hub.wait = (hub.wait * 2).clamp(50, most);
            hub.next = now + hub.wait;
        }
    }

    fn learn_hub(&mut self, now: u64, address: &str) {
        if address != self.local.control && !address.is_empty() && !self.hubs.contains_key(address) {
            // The one with the lower address opens the connection, the other later if need be.
            let wait = if self.local.control.as_str() < address { 0 } else { 300 };
            self.hubs.insert(address.to_owned(), Try { next: now + wait, wait: 50, since: now });
            self.hubs_version += 1;
        }
    }

    fn value_number(&self) -> u64 {
        self.register.decided().map_or(0, |d| d.number)
    }

    fn live_hubs(&self) -> impl Iterator<Item = (&Link, &Peer)> {
        self.peers.iter().filter(|(_, p)| p.hub)
    }

    /// Control nodes in contact.
    fn contacts(&self, now: u64) -> impl Iterator<Item = &Peer> {
        self.live_hubs().map(|(_, p)| p).filter(move |p| p.in_contact(now))
    }

    /// Disks in contact, this one too.
    fn disks(&self, now: u64) -> Vec<u64> {
        let others = self.live_hubs().filter(|(_, p)| p.in_contact(now)).map(|(_, p)| p.hello.disk);
        others.chain([self.register.id()]).collect()
    }

    /// More than half of the voters, this machine among them or not, hear it and are heard by it.
    pub fn in_contact(&self, now: u64) -> bool {
        self.register.is_most(self.disks(now))
    }

    fn link_of(&self, disk: u64) -> Option<Link> {
        self.live_hubs().filter(|(_, p)| p.hello.disk == disk).map(|(l, _)| *l).last()
    }

    pub fn on_message(&mut self, now: u64, link: Link, word: PeerMessage, out: &mut Vec<Effect>) {
        self.awake(now, out);
        if let PeerMessage::Hello(hello) = word {
            self.on_hello(now, link, hello, out);
            return;
        }
        let Some(peer) = self.peers.get_mut(&link) else {
            out.push(Effect::Drop(link));
            return;
        };
        peer.heard = now;
        let (hub, disk) = (peer.hub, peer.hello.disk);
        match word {
            PeerMessage::Heartbeat(tick) => self.on_heartbeat(now, link, &tick, out),
            PeerMessage::ControlUpdate(gossip) if hub => self.on_control_update(now, link, gossip, out),
            PeerMessage::Durable(durable) if hub => self.on_durable(now, link, &durable),
            PeerMessage::Heard(receipt) if hub => self.on_receipt(disk, &receipt, out),
            PeerMessage::Allotments(grants) if hub => self.pass_grants(grants, out),
            PeerMessage::LeaseRequest(w) if hub => self.support(now, disk, &w, out),
            PeerMessage::LeaseRelease(release) if hub => self.on_lease_release(disk, &release),
            PeerMessage::LeaseVote(w) if hub => self.on_lease_vote(now, disk, &w, out),
            word if hub => {
                if let PeerMessage::Decided(value) = &word {
                    let peer = self.peers.get_mut(&link).expect("is there");
                    peer.value = peer.value.max(value.number);
                }
                self.agree(now, |register, outs| register.on_message(now, disk, word, outs), out);
            }
            _ => {}
        }
    }

    fn on_hello(&mut self, now: u64, link: Link, hello: Hello, out: &mut Vec<Effect>) {
        if hello.version != VERSION || hello.life == self.local.life || self.peers.contains_key(&link) {
            out.push(Effect::Drop(link));
            return;
        }
        let hub = !hello.control.is_empty();
        if !hub && self.leaving.is_some() {
            out.push(Effect::Drop(link));
            return;
        }
        // An earlier life of the same machine is over, whatever its connection says.
        let same = |p: &Peer| p.hello.name == hello.name && (p.hello.life != hello.life || p.hub);
        let old = |p: &Peer| same(p) && (!hub || p.hello.life != hello.life);
        let old: Vec<Link> = self.peers.iter().filter(|(_, p)| old(p)).map(|(l, _)| *l).collect();
        for old in old {
            self.closed(now, old, out);
            out.push(Effect::Drop(old));
        }
        out.push(Effect::Note(format!("event=session peer={} zone={} hub={hub}", hello.name, hello.zone)));
        let place = Some(hello.place).filter(|_| hello.log == self.local.life);
        let peer = Peer {
            hub,
            heard: now,
            whole: false,
            value: hello.value,
            durable: None,
            leaving: false,
            reconfiguring: false,
            reached: None,
            echo: None,
            place,
            hubs: 0,
            confirmed: false,
            confirming: false,
            asked: 0,
            revision: 0,
            dirty: BTreeSet::new(),
            swept: 0,
            differs: 0,
            hello,
        };
        let hello = peer.hello.clone();
        self.peers.insert(link, peer);
        if hub {
            self.learn_hub(now, &hello.control);
            self.departed.remove(&hello.disk);
            self.seen.insert(hello.control.clone(), Seen { disk: hello.disk, counts: hello.counts, at: now });
            out.push(Effect::Send { link, word: self.heartbeat(now, None) });
            self.gossip_whole(now, link, out);
            self.send_value(link, out);
        } else {
            self.confirm(now, link, out);
            self.tell(now, link, out);
        }
    }

    /// Reads what is newest for a front that has just come.
    fn confirm(&mut self, now: u64, link: Link, out: &mut Vec<Effect>) {
        if !self.in_contact(now) {
            return;
        }
        if let Some(peer) = self.peers.get_mut(&link).filter(|p| !p.hub && !p.confirmed && !p.confirming) {
            peer.confirming = true;
            self.jobs += 1;
            let job = self.jobs;
            self.wanted.insert(job, Wanted::Confirmed(link));
            self.agree(now, |register, outs| register.read(now, job, now + CALL, outs), out);
        }
    }

    fn send_value(&mut self, link: Link, out: &mut Vec<Effect>) {
        let Some(value) = self.register.decided().cloned() else { return };
        // The first value of all has the number that stands for none as well.
        let lacks = |p: &&mut Peer| p.value < value.number || value.number == 0 && p.durable.is_none();
        if let Some(peer) = self.peers.get_mut(&link).filter(lacks) {
            peer.value = value.number;
            out.push(Effect::Send { link, word: PeerMessage::Decided(value) });
        }
    }

    fn on_heartbeat(&mut self, now: u64, link: Link, tick: &Heartbeat, out: &mut Vec<Effect>) {
        let digest = self.registry.digest();
        let Some(peer) = self.peers.get_mut(&link) else { return };
        if !peer.hub {
            (peer.asked, peer.revision) = (tick.asked, tick.revision);
            return;
        }
        peer.whole = tick.whole;
        peer.value = tick.asked;
        peer.durable = peer.durable.max(tick.durable);
        let begins_to_leave = tick.leaving && !peer.leaving;
        peer.leaving = tick.leaving;
        peer.reconfiguring = tick.reconfiguring;
        // What it says it heard was said before now.
        peer.reached = peer.reached.max(tick.echo.map(|echo| echo.min(now)));
        let first = peer.echo.replace(tick.sent).is_none();
        peer.differs = if tick.digest == digest { 0 } else { peer.differs + 1 };
        if let Some(seen) = self.seen.get_mut(&peer.hello.control).filter(|_| peer.in_contact(now)) {
            seen.at = now;
        }
        let sweep = peer.differs >= 2 && now >= peer.swept + SWEEP;
        if first || begins_to_leave {
            // It learns at once that it is heard.
            out.push(Effect::Send { link, word: self.heartbeat(now, Some(tick.sent)) });
        }
        self.note_contact(now, out);
        if sweep {
            self.gossip_whole(now, link, out);
        }
        self.send_value(link, out);
    }

    // --- replicas ---

    /// A replica's beat.
    pub fn beat(&mut self, now: u64, token: Token, ident: &str, beat: Beat, out: &mut Vec<Effect>) {
        self.awake(now, out);
        if let Some(answer) = self.refusal(now) {
            out.push(Effect::Answer { token, answer });
            return;
        }
        let draining = beat.phase == Phase::Draining;
        let said = Replica {
            ident: ident.to_owned(),
            backend: beat.backend,
            address: beat.address,
            zone: beat.zone,
            revision: beat.revision,
            capacity: beat.capacity,
            call_count: beat.call_count,
            draining,
            warmup_ms: beat.warmup_ms,
            ..Replica::default()
        };
        let mut also = Vec::new();
        let heard = self.registry.observe(now, &said, &mut also);
        self.spread(ident, heard, &also);
        let drains = self.registry.get(ident).is_some_and(|k| k.told.draining || k.told.ended);
        if draining && drains && !self.safe.contains(ident) {
            self.await_receipts(now, token, ident, out);
        } else {
            let answer = Answer::Heard(self.report_to(now, &said.zone));
            out.push(Effect::Answer { token, answer });
        }
        if heard == Heard::Changed {
            self.flush(now, out);
        }
    }

    pub fn departure(&mut self, now: u64, token: Token, ident: &str, out: &mut Vec<Effect>) {
        self.awake(now, out);
        if let Some(answer) = self.refusal(now) {
            out.push(Effect::Answer { token, answer });
            return;
        }
        let departs = self.registry.depart(now, ident);
        // It ended before, and too few others have said so far that they know.
        let unknown = self.registry.get(ident).is_some() && !self.safe.contains(ident);
        if departs || unknown {
            self.safe.remove(ident);
            self.spread(ident, Heard::Changed, &[]);
            self.await_receipts(now, token, ident, out);
            self.flush(now, out);
        } else {
            out.push(Effect::Answer { token, answer: Answer::Heard(None) });
        }
    }

    /// One that drains no more must be made known anew when it drains again.
    fn unsafe_again(&mut self, ident: &str) {
        if self.registry.get(ident).is_some_and(|k| !k.told.draining && !k.told.ended) {
            self.safe.remove(ident);
        }
    }

    /// The call is acknowledged when more than half of the counted disks' machines have said that they know.
    fn await_receipts(&mut self, now: u64, token: Token, ident: &str, out: &mut Vec<Effect>) {
        self.receipts += 1;
        let got = BTreeSet::from([self.register.id()]);
        let drain = Drain { token, ident: ident.to_owned(), receipt: self.receipts, until: now + CALL, got };
        let replicas: Vec<Replica> = self.registry.get(ident).iter().map(|k| k.tell(now)).collect();
        let gossip = ControlUpdate { replicas, receipt: self.receipts, ..ControlUpdate::default() };
        for (link, _) in self.live_hubs() {
            out.push(Effect::Send { link: *link, word: PeerMessage::ControlUpdate(gossip.clone()) });
        }
        self.drains.push(drain);
        self.settle_drains(now, out);
    }

    fn on_receipt(&mut self, disk: u64, receipt: &Receipt, out: &mut Vec<Effect>) {
        for drain in self.drains.iter_mut().filter(|d| d.receipt == receipt.receipt) {
            drain.got.insert(disk);
        }
        self.settle_drains(0, out);
    }

    fn settle_drains(&mut self, now: u64, out: &mut Vec<Effect>) {
        let (register, safe) = (&self.register, &mut self.safe);
        self.drains.retain(|drain| {
            let answer = if register.is_most(drain.got.iter().copied()) {
                safe.insert(drain.ident.clone());
                Answer::Heard(None)
            } else if now >= drain.until {
                Answer::NotNow("too few others know of it")
            } else {
                return true;
            };
            out.push(Effect::Answer { token: drain.token, answer });
            false
        });
    }

    /// Notes who is to be told what.
    fn spread(&mut self, ident: &str, heard: Heard, also: &[String]) {
        if heard == Heard::Late {
            return;
        }
        self.unsafe_again(ident);
        let all = || also.iter().map(String::as_str).chain([ident]);
        for peer in self.peers.values_mut().filter(|p| p.hub) {
            peer.dirty.extend(all().map(str::to_owned));
        }
        if heard == Heard::Changed {
            all().for_each(|i| self.changes.add(i));
        }
    }

    /// The control address of the first hub of a zone that is in touch; else this one's.
    fn report_to(&self, now: u64, zone: &str) -> Option<String> {
        if self.local.zone == zone {
            return Some(self.local.control.clone());
        }
        let takes = |p: &Peer| p.hello.zone == zone && p.whole && !p.leaving && p.in_contact(now);
        let of_zone = self.live_hubs().filter(|(_, p)| takes(p));
        of_zone.map(|(_, p)| &p.hello.control).min().cloned()
    }

    // --- between hubs ---

    fn gossip_whole(&mut self, now: u64, link: Link, out: &mut Vec<Effect>) {
        let replicas = self.registry.iter().map(|k| k.tell(now)).collect();
        let sessions = self.own_sessions();
        let hubs = self.hub_addresses();
        let Some(peer) = self.peers.get_mut(&link) else { return };
        peer.dirty.clear();
        (peer.swept, peer.hubs) = (now, self.hubs_version);
        let gossip = ControlUpdate { replicas, sessions, has_sessions: true, hubs, receipt: 0, whole: true };
        out.push(Effect::Send { link, word: PeerMessage::ControlUpdate(gossip) });
    }

    fn hub_addresses(&self) -> Vec<String> {
        self.hubs.keys().cloned().chain([self.local.control.clone()]).collect()
    }

    fn own_sessions(&self) -> Vec<Session> {
        let of = |p: &Peer| Session {
            name: p.hello.name.clone(),
            zone: p.hello.zone.clone(),
            life: p.hello.life,
            asked: p.asked,
            address: String::new(),
            revision: p.revision,
        };
        self.peers.values().filter(|p| !p.hub).map(of).collect()
    }

    fn on_control_update(&mut self, now: u64, link: Link, gossip: ControlUpdate, out: &mut Vec<Effect>) {
        let mut changed = false;
        for said in &gossip.replicas {
            let mut also = Vec::new();
            let heard = self.registry.observe(now, said, &mut also);
            self.unsafe_again(&said.ident);
            // What a hub has said goes on to fronts, not to further hubs: each tells all.
            if heard == Heard::Changed {
                also.iter()
                    .map(String::as_str)
                    .chain([said.ident.as_str()])
                    .for_each(|i| self.changes.add(i));
                changed = true;
            }
        }
        for hub in &gossip.hubs {
            self.learn_hub(now, hub);
        }
        if gossip.has_sessions {
            self.sessions.insert(link, gossip.sessions);
        }
        if gossip.receipt > 0 {
            out.push(Effect::Send { link, word: PeerMessage::Heard(Receipt { receipt: gossip.receipt }) });
        }
        if changed {
            self.flush(now, out);
        }
    }

    /// All fronts with a session anywhere, by name: the newest asked word counts.
    pub fn fronts(&self) -> BTreeMap<String, Session> {
        let mut all: BTreeMap<String, Session> = BTreeMap::new();
        let own = self.own_sessions();
        for session in own.iter().chain(self.sessions.values().flatten()) {
            let newer =
                all.get(&session.name).is_none_or(|s| s.life != session.life || s.asked <= session.asked);
            if newer {
                all.insert(session.name.clone(), session.clone());
            }
        }
        all
    }

    // --- fronts ---

    /// Tells a front all that it lacks: nothing while out of contact with a majority, and the configuration
    /// only once it was read anew for this session.
    fn tell(&mut self, now: u64, link: Link, out: &mut Vec<Effect>) {
        if !self.in_contact(now) {
            return;
        }
        let place = self.changes.place();
        let hubs = self.hub_addresses();
        let Some(peer) = self.peers.get_mut(&link).filter(|p| !p.hub) else { return };
        let since = peer.place.and_then(|p| self.changes.since(p));
        let whole = since.is_none();
        let replicas: Vec<Replica> = match since {
            Some(idents) => idents.iter().filter_map(|i| self.registry.get(i)).map(|k| k.tell(now)).collect(),
            None => self.registry.iter().map(|k| k.tell(now)).collect(),
        };
        let newer = |d: &&Value| peer.confirmed && d.revision > peer.value;
        let value = self.register.decided().filter(newer).cloned();
        let confirmed = peer.confirmed && !peer.whole;
        let new_hubs = peer.hubs != self.hubs_version;
        if !whole && replicas.is_empty() && value.is_none() && !confirmed && !new_hubs {
            return;
        }
        (peer.value, peer.place) = (value.as_ref().map_or(peer.value, |v| v.revision), Some(place));
        (peer.whole, peer.hubs) = (peer.confirmed, self.hubs_version);
        let news = FrontUpdate {
            log: self.local.life,
            place,
            whole,
            replicas,
            value,
            hubs: if new_hubs { hubs } else { Vec::new() },
            confirmed: peer.confirmed,
            settled: self.settled,
        };
        out.push(Effect::Send { link, word: PeerMessage::FrontUpdate(news) });
    }

    /// What fronts and hubs must know at once.
    fn flush(&mut self, now: u64, out: &mut Vec<Effect>) {
        let links: Vec<(Link, bool)> = self.peers.iter().map(|(l, p)| (*l, p.hub)).collect();
        for (link, hub) in links {
            if hub {
                let peer = self.peers.get_mut(&link).expect("is there");
                if peer.dirty.is_empty() {
                    continue;
                }
                let dirty = std::mem::take(&mut peer.dirty);
                let replicas =
                    dirty.iter().filter_map(|i| self.registry.get(i)).map(|k| k.tell(now)).collect();
                out.push(Effect::Send {
                    link,
                    word: PeerMessage::ControlUpdate(ControlUpdate { replicas, ..ControlUpdate::default() }),
                });
            } else {
                self.tell(now, link, out);
            }
        }
    }

    fn pass_grants(&mut self, grants: Allotments, out: &mut Vec<Effect>) {
        for grant in grants.grants {
            let own = |p: &Peer| !p.hub && p.hello.name == grant.name && p.hello.life == grant.life;
            if let Some((link, _)) = self.peers.iter().find(|(_, p)| own(p)) {
                let word = PeerMessage::Allotments(Allotments { grants: vec![grant.clone()] });
                out.push(Effect::Send { link: *link, word });
            }
        }
    }

    /// The holder's shares for all fronts that have asked since they were last given.
    fn give(&mut self, now: u64, epoch: u64, out: &mut Vec<Effect>) {
        let fronts = self.fronts();
        let many = fronts.len();
        let mut grants = Vec::new();
        for (own, session) in fronts.values().enumerate() {
            let key = (session.name.clone(), session.life);
            if session.asked == 0 || self.given.get(&key) == Some(&session.asked) {
                continue;
            }
            let share = self.budget.give(now, &session.name, session.life, many);
            self.given.insert(key, session.asked);
            grants.push(Allotment {
                name: session.name.clone(),
                life: session.life,
                asked: session.asked,
                epoch,
                share,
                lease_ms: LEASE as u32,
                fronts: many as u32,
                own: own as u32,
            });
        }
        self.given.retain(|(name, life), _| fronts.get(name).is_some_and(|s| s.life == *life));
        if grants.is_empty() {
            return;
        }
        let grants = Allotments { grants };
        for (link, _) in self.live_hubs() {
            out.push(Effect::Send { link: *link, word: PeerMessage::Allotments(grants.clone()) });
        }
        self.pass_grants(grants, out);
    }

    // --- the operator ---

    pub fn replace(
        &mut self,
        now: u64,
        token: Token,
        base: u64,
        revision: u64,
        document: Vec<u8>,
        out: &mut Vec<Effect>,
    ) {
        self.awake(now, out);
        if let Some(answer) = self.refusal_of_round(now) {
            out.push(Effect::Answer { token, answer });
            return;
        }
        self.jobs += 1;
        let job = self.jobs;
        self.wanted.insert(job, Wanted::Call(token));
        let until = now + CALL + document.len() as u64 / 1_000;
        let change = Change::Document { base, revision, document };
        self.agree(now, |register, outs| register.propose(now, job, change, until, outs), out);
    }

    pub fn read(&mut self, now: u64, token: Token, out: &mut Vec<Effect>) {
        self.awake(now, out);
        if let Some(answer) = self.refusal_of_round(now) {
            out.push(Effect::Answer { token, answer });
            return;
        }
        self.jobs += 1;
        let job = self.jobs;
        self.wanted.insert(job, Wanted::Call(token));
        self.agree(now, |register, outs| register.read(now, job, now + CALL, outs), out);
    }

    // --- agreement ---

    /// What waited on the disk.
    pub fn synced(&mut self, now: u64, then: Vec<(u64, PeerMessage)>, out: &mut Vec<Effect>) {
        self.awake(now, out);
        for (to, word) in then {
            self.post(to, word, out);
        }
        self.agree(now, |_, _| {}, out);
    }

    fn post(&mut self, to: u64, word: PeerMessage, out: &mut Vec<Effect>) {
        if to == self.register.id() {
            self.own_words.push_back(word);
        } else if let Some(link) = self.link_of(to) {
            out.push(Effect::Send { link, word });
        }
    }

    /// Drives the register until it has nothing more to say.
    fn agree(
        &mut self,
        now: u64,
        first: impl FnOnce(&mut Register, &mut Vec<linenthread_consensus::Effect>),
        out: &mut Vec<Effect>,
    ) {
        let mut outs = Vec::new();
        first(&mut self.register, &mut outs);
        loop {
            for o in std::mem::take(&mut outs) {
                match o {
                    linenthread_consensus::Effect::Send { to, word } => self.post(to, word, out),
                    linenthread_consensus::Effect::Keep { record, then } => {
                        out.push(Effect::Keep { record, then })
                    }
                    linenthread_consensus::Effect::Decided(value) => self.decided(now, &value, out),
                    linenthread_consensus::Effect::Reply { job, outcome } => {
                        self.reply(now, job, outcome, out)
                    }
                }
            }
            let Some(word) = self.own_words.pop_front() else { break };
            let id = self.register.id();
            match word {
                PeerMessage::LeaseVote(say) => self.on_lease_vote(now, id, &say, out),
                PeerMessage::LeaseRelease(release) => drop(self.lease.on_release(id, &release)),
                PeerMessage::Durable(durable) => {
                    self.durable.epoch = self.durable.epoch.max(durable.epoch);
                }
                word => self.register.on_message(now, id, word, &mut outs),
            }
        }
        self.note_durable(now, out);
    }

    fn decided(&mut self, now: u64, value: &Value, out: &mut Vec<Effect>) {
        out.push(Effect::Note(format!(
            "event=decided number={} revision={} counted={}",
            value.number,
            value.revision,
            value.voters.len()
        )));
        for voter in &value.voters {
            self.learn_hub(now, &voter.address);
        }
        // The duty is asked for anew, of those who count now.
        self.ticked = 0;
        let counts = value.voters.iter().any(|v| v.id == self.register.id());
        self.lease.follow(value);
        self.lease.decided(now, value.epoch, counts && !self.counted);
        self.counted = counts;
        let links: Vec<(Link, bool)> = self.peers.iter().map(|(l, p)| (*l, p.hub)).collect();
        for (link, hub) in links {
            if hub { self.send_value(link, out) } else { self.tell(now, link, out) }
        }
    }

    fn reply(&mut self, now: u64, job: Job, outcome: Outcome, out: &mut Vec<Effect>) {
        match self.wanted.remove(&job) {
            Some(Wanted::Call(token)) => {
                let answer = match outcome {
                    Outcome::Taken(revision) => Answer::Taken(revision),
                    Outcome::Conflict(revision) => Answer::Conflict(revision),
                    Outcome::Newest(value) => Answer::Document(value),
                    Outcome::Unclear => Answer::NotNow("no word of more than half of the counted disks"),
                };
                out.push(Effect::Answer { token, answer });
            }
            Some(Wanted::Confirmed(link)) => {
                if let Some(peer) = self.peers.get_mut(&link) {
                    peer.confirming = false;
                    peer.confirmed |= matches!(outcome, Outcome::Newest(_));
                    self.tell(now, link, out);
                }
            }
            Some(Wanted::Voters) => {
                self.voting = false;
                // Who leaves waits to hear of it.
                (self.ticked, self.batched) = (0, 0);
                // An order was decided first: at once again, before the next one.
                if let Some(epoch) = self.lease.holds(now) {
                    self.keep_voters(now, epoch, out);
                }
            }
            None => {}
        }
    }

    /// Supports who asks for the duty, or not; a new epoch is on disk before it is said.
    fn support(&mut self, now: u64, from: u64, ask: &LeaseRequest, out: &mut Vec<Effect>) {
        let number = Some(self.value_number()).filter(|_| !self.register.in_doubt());
        let say = PeerMessage::LeaseVote(self.lease.on_lease_request(now, from, ask, number));
        let epoch = self.lease.epoch();
        if epoch > self.durable.epoch {
            self.keep(Record { epoch, ..Record::default() }, vec![(from, say)], out);
        } else {
            self.post(from, say, out);
            self.agree(now, |_, _| {}, out);
        }
    }

    fn on_lease_release(&mut self, disk: u64, release: &LeaseRelease) {
        if self.lease.on_release(disk, release) {
            // Whoever is next need not wait for its tick.
            (self.ticked, self.batched) = (0, 0);
        }
    }

    fn on_lease_vote(
        &mut self,
        now: u64,
        disk: u64,
        w: &linenthread_messages::LeaseVote,
        out: &mut Vec<Effect>,
    ) {
        let (register, number, before) = (&self.register, self.value_number(), self.lease.holds(now));
        if self.lease.on_lease_vote(now, disk, w, number, |ids| register.is_most(ids)) {
            // What it has to do does not wait for the next tick.
            self.ticked = 0;
            // Held already, or the words came so late that it has ended.
            let Some(epoch) = self.lease.holds(now).filter(|_| before.is_none()) else { return };
            // Under the very next epoch nobody can have held it in between: what this hub gave is all there is.
            if self.held != Some(epoch - 1) {
                self.budget.begin(now, self.local.first_of_all && epoch == 1);
            }
            self.held = Some(epoch);
            self.given.clear();
            out.push(Effect::Note(format!("event=duty_taken epoch={epoch}")));
        }
    }

    /// Whether no counted machine before this one, by the order of value n, is in contact and stays.
    fn is_first(&self, now: u64) -> bool {
        if self.leaving.is_some() {
            return false;
        }
        let mut disks = self.disks(now);
        disks.retain(|disk| !self.live_hubs().any(|(_, p)| p.hello.disk == *disk && p.leaving));
        let first = self.register.voters().iter().find(|v| disks.contains(&v.id));
        first.is_some_and(|v| v.id == self.register.id())
    }

    /// The holder of the duty keeps the set of counted disks to the machines that are there: one change at a
    /// time.
    fn keep_voters(&mut self, now: u64, epoch: u64, out: &mut Vec<Effect>) {
        if self.voting || !self.in_contact(now) || !self.lease.holds_on(now, self.value_number()) {
            return;
        }
        let Some(on) = self.register.decided().map(|value| value.number) else { return };
        let Some(next) = next_voters(&self.voters_view(now, on)) else { return };
        self.voting = true;
        self.jobs += 1;
        let job = self.jobs;
        self.wanted.insert(job, Wanted::Voters);
        let names: Vec<&str> = next.iter().map(|v| v.address.as_str()).collect();
        out.push(Effect::Note(format!("event=counted_change on={on} counted={}", names.join(","))));
        let change = Change::Voters { on, voters: next, epoch };
        self.agree(now, |register, outs| register.propose(now, job, change, now + 3 * CALL, outs), out);
    }

    /// It leads, and changes the voters, or will as soon as a standby holds all.
    fn reconfigures(&self, now: u64) -> bool {
        let changes = |number| next_voters(&self.voters_view(now, number)).is_some();
        let wants = || !self.standbys(now, None).is_empty() || changes(self.value_number());
        self.lease.holds(now).is_some() && (self.voting || wants())
    }

    /// Machines in contact that may vote, do not yet, and stay; with a number only those that may take a vote at
    /// once, since they hold the value of this number on their disks.
    fn standbys(&self, now: u64, number: Option<u64>) -> Vec<Voter> {
        let ready = |p: &&Peer| p.in_contact(now) && p.hello.counts && !p.leaving && p.durable >= number;
        let others = self.live_hubs().map(|(_, p)| p).filter(ready);
        let others = others.map(|p| Voter { id: p.hello.disk, address: p.hello.control.clone() });
        let own_ready = self.local.counts && self.leaving.is_none() && self.durable.value >= number;
        let own = Voter { id: self.register.id(), address: self.local.control.clone() };
        let mut standbys: Vec<Voter> = others.chain(own_ready.then_some(own)).collect();
        standbys.retain(|s| !self.register.voters().iter().any(|v| v.id == s.id));
        standbys
    }

    fn voters_view(&self, now: u64, number: u64) -> VotersView {
        let disks = self.disks(now);
        let replaced = |v: &Voter| self.seen.get(&v.address).is_some_and(|s| s.disk != v.id && s.counts);
        let lost = |v: &Voter| {
            let at = self.seen.get(&v.address).map_or(self.began, |s| s.at);
            !disks.contains(&v.id) && now > at.max(self.whole_since.unwrap_or(now)) + LOST
        };
        let leaving = |v: &Voter| match v.id == self.register.id() {
            true => self.leaving.is_some(),
            false => {
                self.departed.contains_key(&v.id)
                    || self.live_hubs().any(|(_, p)| p.hello.disk == v.id && p.leaving)
            }
        };
        let state = |v: &Voter| VoterState {
            voter: v.clone(),
            in_contact: disks.contains(&v.id),
            replaced: replaced(v),
            lost: lost(v),
            leaving: leaving(v),
        };
        VotersView {
            voters: self.register.voters().iter().map(state).collect(),
            standbys: self.standbys(now, Some(number)),
            least: self.local.least,
        }
    }

    /// When [`Control::tick`] is due at the latest.
    pub fn due(&self, now: u64) -> u64 {
        let begins = now < self.began + STARTING && !self.in_contact(now);
        let leaves = self.leaving.is_some();
        let soon = if begins || leaves || self.register.is_busy() || !self.drains.is_empty() {
            self.last + SOON
        } else {
            u64::MAX
        };
        soon.min(self.batched + BATCH)
    }

    /// All that is due by time.
    pub fn tick(&mut self, now: u64, out: &mut Vec<Effect>) {
        self.awake(now, out);
        self.last = now;
        self.agree(now, |register, outs| register.tick(now, outs), out);
        self.settle_drains(now, out);
        if self.leaving.is_some() && self.next_step_of_leaving(now) == Leave::Release {
            self.release_lease(now, out);
        }
        if now < self.began + STARTING && !self.in_contact(now) {
            self.dial(now, out);
        }
        if now < self.batched + BATCH {
            return;
        }
        self.batched = now;
        let silent: Vec<Link> =
            self.peers.iter().filter(|(_, p)| now > p.heard + SILENT).map(|(l, _)| *l).collect();
        for link in silent {
            self.closed(now, link, out);
            out.push(Effect::Drop(link));
        }
        self.note_contact(now, out);
        // Silence counts only where it could have been heard.
        let silence = 3 * self.local.heartbeat + 1_000;
        let settled = self.whole_since.is_some_and(|since| now > since + silence);
        if settled && !self.settled {
            // From now on what is not named is not there: all fronts hear everything once more.
            self.peers.values_mut().filter(|p| !p.hub).for_each(|p| p.place = None);
        }
        self.settled = settled;
        if settled {
            let gone = self.registry.expire(now, silence);
            for ident in &gone {
                out.push(Effect::Note(format!("event=replica_silent ident={ident}")));
                self.changes.add(ident);
            }
        }
        self.dial(now, out);
        self.flush(now, out);
        self.write_replicas(now, out);
        if now < self.ticked + TICK {
            return;
        }
        self.ticked = now;
        self.send_heartbeats(now, out);
        let sessions = self.own_sessions();
        let hubs = self.hub_addresses();
        for (link, peer) in &mut self.peers {
            if peer.hub {
                let hubs = if peer.hubs == self.hubs_version { Vec::new() } else { hubs.clone() };
                peer.hubs = self.hubs_version;
                let sessions = sessions.clone();
                let gossip = ControlUpdate { sessions, has_sessions: true, hubs, ..ControlUpdate::default() };
                out.push(Effect::Send { link: *link, word: PeerMessage::ControlUpdate(gossip) });
            }
        }
        let (safe, registry) = (&mut self.safe, &self.registry);
        safe.retain(|ident| registry.get(ident).is_some());
        let fronts: Vec<Link> = self.peers.iter().filter(|(_, p)| !p.hub).map(|(l, _)| *l).collect();
        fronts.into_iter().for_each(|link| self.confirm(now, link, out));
        // What stays in doubt is decided one way or the other: nobody is supported meanwhile.
        self.doubts = if self.register.in_doubt() { self.doubts + 1 } else { 0 };
        if self.doubts > 1 {
            self.agree(now, |register, outs| (register.complete(), register.tick(now, outs)).1, out);
        }
        let first = self.is_first(now);
        if let Some(ask) = self.lease.tick(now, first, self.value_number()) {
            for (link, _) in self.live_hubs() {
                out.push(Effect::Send { link: *link, word: PeerMessage::LeaseRequest(ask.clone()) });
            }
            self.support(now, self.register.id(), &ask, out);
        }
        if let Some(epoch) = self.lease.holds(now) {
            self.give(now, epoch, out);
            self.keep_voters(now, epoch, out);
        }
    }

    /// Replicas are on disk so that a start of all machines at once need not wait for their beats.
    fn write_replicas(&mut self, now: u64, out: &mut Vec<Effect>) {
        let place = self.changes.place();
        if place == self.written.0 || now < self.written.1 + WRITTEN {
            return;
        }
        self.written = (place, now);
        let here = self.registry.iter().filter(|k| !k.told.gone);
        let replicas: Vec<Replica> =
            here.map(|k| Replica { age_ms: 0, warmup_ms: 0, ..k.tell(now) }).collect();
        out.push(Effect::Keep { record: Record { replicas, ..Record::default() }, then: Vec::new() });
    }

    fn dial(&mut self, now: u64, out: &mut Vec<Effect>) {
        let linked: BTreeSet<String> = self.live_hubs().map(|(_, p)| p.hello.control.clone()).collect();
        let counted: Vec<String> = self.register.voters().iter().map(|v| v.address.clone()).collect();
        let bootstrap = &self.local.bootstrap;
        let mut forgotten = false;
        self.hubs.retain(|address, hub| {
            if linked.contains(address) {
                (hub.since, hub.wait, hub.next) = (now, 50, now + 300);
                return true;
            }
            let keep = now < hub.since + FORGET || counted.contains(address) || bootstrap.contains(address);
            forgotten |= !keep;
            if keep && now >= hub.next {
                hub.next = now + hub.wait.max(600);
                out.push(Effect::Dial(address.clone()));
            }
            keep
        });
        self.hubs_version += u64::from(forgotten);
    }
}
