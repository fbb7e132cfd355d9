//! Where the module is asked: owns it, its clock and the indices that stand for outside ids. All that came
//! in since the last round goes into the next, and each decision goes to its lookup's task.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

use linenthread_core::interface::{
    AttemptOutcome, AttemptResult, Inputs, MembershipEntry, MembershipUpdate, NewQuery,
    NewSubRequest, Phase, ProbeResult, TenthMillis,
};
use linenthread_core::{Coordinator, DecisionSink};
use linenthread_link::{Member, routing};
use linenthread_protocol::{hash_id, membership};
use linenthread_zones::{Report, RoutingTable, Topology};
use tokio::sync::{Notify, mpsc};
use tokio::time::sleep_until;
use tracing::{info, warn};

use crate::carriers::link::News;
use crate::carriers::{Carriers, Place};
use crate::clock::Clock;
use crate::config::Config;
use crate::near::Near;

/// What was decided for one lookup.
#[derive(Debug)]
pub(crate) enum Decision {
    Call {
        part: usize,
        replica: usize,
        time_out: TenthMillis,
    },
    Withdraw {
        part: usize,
        call: usize,
    },
    Satisfy {
        whole: bool,
    },
    Nack {
        retry_after: Option<TenthMillis>,
    },
    Abort,
}

/// A lookup to be handed in, already checked.
pub(crate) struct HandedIn {
    pub index: usize,
    pub customer: usize,
    pub key: Option<u64>,
    pub number: u64,
    pub expires_in: TenthMillis,
    /// Shards and weights.
    pub parts: Vec<(usize, f64)>,
}

/// The way to an open lookup's task.
struct Task {
    to: mpsc::UnboundedSender<Decision>,
    /// How many lookups were handed in before it.
    before: u64,
}

/// A replica that has an index.
struct Held {
    id: String,
    /// Probes of it that are out, or answered and not yet gone into a round.
    probes: usize,
    /// It was told as gone when so many lookups had been handed in. Once these are over, nothing is open to
    /// it and no probe of it is out, its index stands for nothing any more.
    gone: Option<u64>,
}

/// The replicas' indices.
#[derive(Default)]
struct Indices {
    of: HashMap<String, usize>,
    held: Vec<Option<Held>>,
}

impl Indices {
    /// The index of an id; one that has none gets one that stands for nothing.
    fn take(&mut self, id: &str) -> usize {
        if let Some(known) = self.of.get(id) {
            return *known;
        }
        let spare = self
            .held
            .iter()
            .position(Option::is_none)
            .unwrap_or(self.held.len());
        self.held
            .resize_with(self.held.len().max(spare + 1), || None);
        self.held[spare] = Some(Held {
            id: id.to_owned(),
            probes: 0,
            gone: None,
        });
        self.of.insert(id.to_owned(), spare);
        spare
    }

    fn get(&mut self, replica: usize) -> Option<&mut Held> {
        self.held.get_mut(replica)?.as_mut()
    }

    /// The one place where an index is given back: all lookups are over that were among the first so many.
    fn give_back(&mut self, over: u64, is_vacant: impl Fn(usize) -> bool) {
        for (replica, entry) in self.held.iter_mut().enumerate() {
            let done = |h: &mut Held| {
                h.gone.is_some_and(|gone| gone <= over) && h.probes == 0 && is_vacant(replica)
            };
            if let Some(held) = entry.take_if(done) {
                self.of.remove(&held.id);
            }
        }
    }
}

struct State {
    coordinator: Coordinator,
    arrivals: Inputs,
    /// The way to each open lookup's task; the lookup is over when it is dropped.
    lookups: Vec<Option<Task>>,
    free: Vec<usize>,
    handed_in: u64,
    indices: Indices,
    sites: Vec<String>,
    wake_at: Option<TenthMillis>,
    /// What the roster lists, for those who reach it through this program.
    local: BTreeMap<String, Member>,
    /// What lies behind each peer, and whether it can be reached now.
    peers: Vec<Behind>,
    /// Where zones are decided on in common.
    near: Option<Near>,
    /// Replicas behind peers as the module was last told of them.
    far: BTreeMap<String, (Vec<usize>, Member)>,
}

#[derive(Default)]
struct Behind {
    up: bool,
    members: BTreeMap<String, Member>,
}

struct Inner {
    clock: Clock,
    state: RefCell<State>,
    came: Notify,
    roster_wanted: Notify,
    /// The roster's list has changed.
    listed: Notify,
    carriers: Carriers,
    /// Cells of the layout.
    cells: usize,
}

#[derive(Clone)]
pub(crate) struct Desk(Rc<Inner>);

/// Routes decisions to the lookups' tasks.
struct Routes<'a> {
    desk: &'a Desk,
    lookups: &'a mut Vec<Option<Task>>,
    free: &'a mut Vec<usize>,
    indices: &'a mut Indices,
    wake_at: &'a mut Option<TenthMillis>,
}

impl Routes<'_> {
    fn to(&mut self, lookup: usize, decision: Decision) {
        if let Some(Some(task)) = self.lookups.get(lookup) {
            task.to.send(decision).ok();
        }
    }
}

impl DecisionSink for Routes<'_> {
    fn send(&mut self, lookup: usize, part: usize, replica: usize, time_out: TenthMillis) {
        self.to(
            lookup,
            Decision::Call {
                part,
                replica,
                time_out,
            },
        );
    }

    fn cancel(&mut self, lookup: usize, part: usize, call: usize) {
        self.to(lookup, Decision::Withdraw { part, call });
    }

    fn respond(&mut self, lookup: usize, whole: bool) {
        self.to(lookup, Decision::Satisfy { whole });
    }

    fn reject(&mut self, lookup: usize, retry_after: Option<TenthMillis>) {
        self.to(lookup, Decision::Nack { retry_after });
    }

    fn fail(&mut self, lookup: usize) {
        self.to(lookup, Decision::Abort);
    }

    fn release(&mut self, lookup: usize) {
        if self
            .lookups
            .get_mut(lookup)
            .and_then(Option::take)
            .is_some()
        {
            self.free.push(lookup);
        }
    }

    fn probe(&mut self, replica: usize) {
        let desk = self.desk.clone();
        if let Some(held) = self.indices.get(replica) {
            held.probes += 1;
        }
        actix_rt::spawn(async move {
            let sent = desk.0.clock.now();
            let (ending, queue) = desk.0.carriers.probe(replica).await;
            desk.saw(replica, ending, desk.0.clock.now() - sent);
            desk.arrive(|arrivals| {
                arrivals.probes.push(ProbeResult {
                    replica,
                    outcome: ending,
                    queue_depth: queue,
                });
            });
        });
    }

    fn close_idle(&mut self, replica: usize) {
        self.desk.0.carriers.close(replica);
    }

    fn watch_membership(&mut self) {
        self.desk.0.roster_wanted.notify_one();
    }

    fn wake_at(&mut self, at: TenthMillis) {
        *self.wake_at = Some(at);
    }
}

impl Desk {
    /// `near` makes what is kept of zones, from the sites' names in their order; the operators' zones that the
    /// settings do not name come after those they do.
    pub(crate) fn new(
        config: &Config,
        carriers: Carriers,
        zones: &[String],
        near: impl FnOnce(&[String]) -> Option<Near>,
    ) -> Self {
        let mut sites = config.surroundings.zone_names.clone();
        let further: Vec<String> = zones
            .iter()
            .filter(|z| !sites.contains(z))
            .cloned()
            .collect();
        sites.extend(further);
        let near = near(&sites);
        let desk = Desk(Rc::new(Inner {
            clock: Clock::new(),
            state: RefCell::new(State {
                coordinator: Coordinator::new(config.deployment.clone(), config.seed),
                arrivals: Inputs::default(),
                lookups: Vec::new(),
                free: Vec::new(),
                handed_in: 0,
                indices: Indices::default(),
                sites,
                wake_at: None,
                local: BTreeMap::new(),
                peers: Vec::new(),
                near,
                far: BTreeMap::new(),
            }),
            came: Notify::new(),
            roster_wanted: Notify::new(),
            listed: Notify::new(),
            carriers,
            cells: config.deployment.layout.replica_groups,
        }));
        let listed = desk.listed(&config.remembered);
        desk.hear_roster(MembershipUpdate::Cached(listed));
        desk.tell_ways();
        desk
    }

    pub(crate) fn clock(&self) -> Clock {
        self.0.clock
    }

    /// Rounds for as long as the program runs.
    pub(crate) async fn run(self) {
        loop {
            let wake_at = self.0.state.borrow().wake_at;
            tokio::select! {
                () = self.0.came.notified() => {}
                () = sleep_until(self.0.clock.at(wake_at.unwrap_or(0))), if wake_at.is_some() => {
                    self.0.state.borrow_mut().wake_at = None;
                }
            }
            self.round();
        }
    }

    fn round(&self) {
        let mut state = self.0.state.borrow_mut();
        let State {
            coordinator,
            arrivals,
            lookups,
            free,
            indices,
            wake_at,
            ..
        } = &mut *state;
        arrivals.now = self.0.clock.now();
        coordinator.step(
            arrivals,
            &mut Routes {
                desk: self,
                lookups,
                free,
                indices,
                wake_at,
            },
        );
        let Inputs {
            now: _,
            membership: roster,
            zone_routes: ways,
            queries: lookups,
            sub_requests: parts,
            results: returns,
            continuations: onward,
            probes,
            abandoned: lapsed,
        } = arrivals;
        onward.clear();
        *ways = None;
        roster.clear();
        lookups.clear();
        parts.clear();
        returns.clear();
        for ProbeResult { replica, .. } in probes.drain(..) {
            if let Some(held) = indices.get(replica) {
                held.probes -= 1;
            }
        }
        lapsed.clear();
    }

    /// Puts what came in into the next round.
    fn arrive(&self, put: impl FnOnce(&mut Inputs)) {
        put(&mut self.0.state.borrow_mut().arrivals);
        self.0.came.notify_one();
    }

    /// Takes a lookup on: its index, and where decisions on it come. They end when it is over and nothing
    /// of it is out.
    pub(crate) fn hand_in(&self, new: HandedIn) -> (usize, mpsc::UnboundedReceiver<Decision>) {
        let (to, decisions) = mpsc::unbounded_channel();
        let mut state = self.0.state.borrow_mut();
        let before = state.handed_in;
        state.handed_in += 1;
        let lookup = state.free.pop().unwrap_or_else(|| {
            state.lookups.push(None);
            state.lookups.len() - 1
        });
        state.lookups[lookup] = Some(Task { to, before });
        let HandedIn {
            index,
            customer,
            key,
            number,
            expires_in,
            parts,
        } = new;
        if let Some(near) = &mut state.near {
            near.asked(parts.len());
        }
        let hard_deadline = self.0.clock.now() + expires_in;
        state.arrivals.queries.push(NewQuery {
            query: lookup,
            index,
            customer,
            key,
            sequence_number: number,
            hard_deadline,
        });
        let parts = parts.into_iter().map(|(shard, weight)| NewSubRequest {
            query: lookup,
            shard,
            weight,
        });
        state.arrivals.sub_requests.extend(parts);
        self.0.came.notify_one();
        (lookup, decisions)
    }

    /// A part call ended.
    pub(crate) fn give_back(&self, back: AttemptResult) {
        self.arrive(|arrivals| arrivals.results.push(back));
    }

    /// Answered parts of a lookup are wanted once more; said before the round that hears of their answers.
    pub(crate) fn ask_on(&self, lookup: usize, parts: &[usize]) {
        self.arrive(|arrivals| {
            arrivals
                .continuations
                .extend(parts.iter().map(|&part| (lookup, part)));
        });
    }

    /// A replica's id, for the log.
    pub(crate) fn name(&self, replica: usize) -> String {
        self.0
            .state
            .borrow_mut()
            .indices
            .get(replica)
            .map_or_else(String::new, |held| held.id.clone())
    }

    /// A lookup's client has left.
    pub(crate) fn lapse(&self, lookup: usize) {
        self.arrive(|arrivals| arrivals.abandoned.push(lookup));
    }

    /// News of the roster; `None` where it could not be had.
    pub(crate) fn roster(&self, list: Option<&membership::MembershipList>) {
        self.hear_roster(match list {
            None => MembershipUpdate::Unavailable,
            Some(list) if list.complete => MembershipUpdate::Snapshot(self.listed(list)),
            Some(list) => MembershipUpdate::Delta(self.listed(list)),
        });
    }

    /// Waits until the module wants the roster asked.
    pub(crate) async fn roster_wanted(&self) {
        self.0.roster_wanted.notified().await;
    }

    /// The ways that the module goes by, where there are zones.
    fn tell_ways(&self) {
        let ways = self.0.state.borrow().near.as_ref().map(Near::ways);
        if let Some(ways) = ways {
            self.arrive(|arrivals| arrivals.zone_routes = Some(ways));
        }
    }

    /// All act on this table from now on; whether this program does.
    pub(crate) fn take_table(&self, table: RoutingTable) -> bool {
        let now = self.0.clock.now();
        let taken = self
            .0
            .state
            .borrow_mut()
            .near
            .as_mut()
            .is_some_and(|near| near.take(table, now));
        if taken {
            self.tell_ways();
        }
        taken
    }

    /// What was seen of zones since the last time, and what there is.
    pub(crate) fn seen(&self) -> Option<(Report, Topology)> {
        let now = self.0.clock.now();
        if self.0.state.borrow_mut().near.as_mut()?.ends(now) {
            warn!("no word of the table for its life: all ways are open again, the nearest first");
            self.tell_ways();
        }
        Some(self.0.state.borrow_mut().near.as_mut()?.report())
    }

    /// A part call or a probe to a replica has ended so.
    pub(crate) fn saw(&self, replica: usize, ending: AttemptOutcome, took: TenthMillis) {
        if let Some(near) = &mut self.0.state.borrow_mut().near {
            near.ended(replica, ending, took);
        }
    }

    fn hear_roster(&self, news: MembershipUpdate) {
        if let Some(near) = &mut self.0.state.borrow_mut().near {
            near.hear(&news);
        }
        self.arrive(|arrivals| arrivals.membership.push(news));
    }

    /// Turns a list's ids into indices, and tells where its replicas are found.
    fn listed(&self, list: &membership::MembershipList) -> Vec<MembershipEntry> {
        let mut state = self.0.state.borrow_mut();
        let State {
            lookups,
            indices,
            sites,
            handed_in,
            local,
            far,
            ..
        } = &mut *state;
        let over = lookups
            .iter()
            .flatten()
            .map(|task| task.before)
            .min()
            .unwrap_or(*handed_in);
        indices.give_back(over, |replica| self.0.carriers.is_vacant(replica));
        if list.complete {
            local.clear();
        }
        let mut named = vec![false; indices.held.len()];
        let mut listed = Vec::with_capacity(list.replicas.len());
        for r in &list.replicas {
            let gone = r.phase == Phase::Removed;
            self.0.keep_local(local, r);
            // What the roster lists is reached directly, whoever else lists it.
            far.remove(&r.id);
            if gone && !indices.of.contains_key(&r.id) {
                continue;
            }
            let replica = indices.take(&r.id);
            named.resize(named.len().max(replica + 1), false);
            named[replica] = true;
            if let Some(held) = indices.get(replica) {
                held.gone = gone.then_some(*handed_in);
            }
            self.0
                .carriers
                .place(replica, (!gone).then_some(Place::At(r.address)));
            listed.push(MembershipEntry {
                replica,
                id: hash_id(&r.id),
                replica_group: r.replica_group,
                // Sites that the settings don't name are one.
                zone: sites
                    .iter()
                    .position(|s| *s == r.zone)
                    .unwrap_or(sites.len()),
                phase: r.phase,
                started_at: (r.started_at_ms > 0.0).then(|| self.0.clock.of_unix(r.started_at_ms)),
                slow_start_share: None,
            });
        }
        if list.complete {
            // A whole list leaves out what only peers reach.
            for (id, (ways, member)) in far.iter() {
                let entry = self.entry(indices, sites, *handed_in, id, Some(ways), member);
                named.resize(named.len().max(entry.replica + 1), false);
                named[entry.replica] = true;
                listed.push(entry);
            }
        }
        self.0.listed.notify_one();
        for replica in (0..named.len()).filter(|r| list.complete && !named[*r]) {
            if let Some(held) = indices.get(replica) {
                held.gone = held.gone.or(Some(*handed_in));
            }
            self.0.carriers.place(replica, None);
        }
        listed
    }

    /// One more peer; its number.
    pub(crate) fn add_peer(&self) -> usize {
        let mut state = self.0.state.borrow_mut();
        state.peers.push(Behind::default());
        state.peers.len() - 1
    }

    /// What a peer's link tells.
    pub(crate) fn hear_peer(&self, peer: usize, news: News) {
        if let Some(behind) = self.0.state.borrow_mut().peers.get_mut(peer) {
            match news {
                News::Up(up) => behind.up = up,
                News::Members(whole, members) => {
                    let (sound, bad): (Vec<_>, Vec<_>) =
                        members.into_iter().partition(|m| m.is_valid(self.0.cells));
                    if let Some(bad) = bad.first() {
                        warn!(
                            replica = bad.id,
                            cell = bad.replica_group,
                            "a gateway lists what can be no replica here"
                        );
                    }
                    if whole {
                        behind.members.clear();
                    }
                    // No gateway has more to list than a roster may; what is known of those listed always counts.
                    for member in sound {
                        let fits = behind.members.len() < membership::MAX_REPLICAS;
                        match member.phase {
                            Phase::Removed => drop(behind.members.remove(&member.id)),
                            _ if fits || behind.members.contains_key(&member.id) => {
                                behind.members.insert(member.id.clone(), member);
                            }
                            _ => {}
                        }
                    }
                }
            }
        }
        self.tell_far();
    }

    /// Tells the module what has changed behind links: a link that is down takes all with it that no other
    /// reaches, and none of these replicas has to be learnt as failing by itself.
    fn tell_far(&self) {
        let mut state = self.0.state.borrow_mut();
        let State {
            indices,
            sites,
            handed_in,
            local,
            peers,
            far,
            ..
        } = &mut *state;
        let up = || peers.iter().enumerate().filter(|(_, behind)| behind.up);
        let ids: BTreeSet<&String> = up()
            .flat_map(|(_, b)| b.members.keys())
            .filter(|id| !local.contains_key(*id))
            .collect();
        let mut now: BTreeMap<String, (Vec<usize>, Member)> = BTreeMap::new();
        for id in ids {
            let said = || up().filter_map(|(peer, b)| Some((peer, b.members.get(id)?)));
            if let Some(member) = routing::merge_reports(said().map(|(_, member)| member)) {
                let ways = said()
                    .filter(|(_, m)| m.phase != Phase::Removed)
                    .map(|(peer, _)| peer)
                    .collect();
                now.insert(id.clone(), (ways, member));
            }
        }
        let mut listed = Vec::new();
        for (id, (ways, member)) in &now {
            match far.get(id) {
                Some((known, same)) if same == member && known == ways => {}
                // The module need not know by which way.
                Some((_, same)) if same == member => {
                    let replica = indices.take(id);
                    self.0.carriers.place(
                        replica,
                        Some(Place::Behind(ways.clone(), id.as_str().into())),
                    );
                }
                _ => listed.push(self.entry(indices, sites, *handed_in, id, Some(ways), member)),
            }
        }
        for (id, (_, member)) in far.iter().filter(|(id, _)| !now.contains_key(*id)) {
            let gone = Member {
                phase: Phase::Removed,
                ..member.clone()
            };
            listed.push(self.entry(indices, sites, *handed_in, id, None, &gone));
        }
        let count = now.len();
        *far = now;
        drop(state);
        if !listed.is_empty() {
            info!(far = count, "replicas behind links");
            self.hear_roster(MembershipUpdate::Delta(listed));
        }
    }

    /// A replica behind a peer, or that is gone there.
    fn entry(
        &self,
        indices: &mut Indices,
        sites: &[String],
        handed_in: u64,
        id: &str,
        ways: Option<&Vec<usize>>,
        member: &Member,
    ) -> MembershipEntry {
        let replica = indices.take(id);
        if let Some(held) = indices.get(replica) {
            held.gone = ways.is_none().then_some(handed_in);
        }
        self.0.carriers.place(
            replica,
            ways.map(|ways| Place::Behind(ways.clone(), id.into())),
        );
        MembershipEntry {
            replica,
            id: hash_id(id),
            replica_group: member.replica_group as usize,
            zone: sites
                .iter()
                .position(|s| *s == member.zone)
                .unwrap_or(sites.len()),
            phase: member.phase,
            started_at: member
                .age_ms
                .map(|age| self.0.clock.now() - TenthMillis::from(age) * 10),
            slow_start_share: Some(f64::from(member.slow_start_share) / 1000.0),
        }
    }

    /// Waits until the roster's list has changed.
    pub(crate) async fn local_changed(&self) {
        self.0.listed.notified().await;
    }

    /// What the roster lists, for those behind a link.
    pub(crate) fn local(&self) -> Vec<Member> {
        self.0.state.borrow().local.values().cloned().collect()
    }

    /// The index of a replica that is reached from here directly.
    pub(crate) fn direct(&self, id: &str) -> Option<usize> {
        let state = self.0.state.borrow();
        let replica = *state
            .indices
            .of
            .get(id)
            .filter(|_| state.local.contains_key(id))?;
        self.0.carriers.is_direct(replica).then_some(replica)
    }
}

impl Inner {
    fn keep_local(&self, local: &mut BTreeMap<String, Member>, r: &membership::Member) {
        if r.phase == Phase::Removed {
            local.remove(&r.id);
            return;
        }
        let age = |ms: f64| (self.clock.now() - self.clock.of_unix(ms)).max(0) / 10;
        let member = Member {
            id: r.id.clone(),
            zone: r.zone.clone(),
            replica_group: r.replica_group as u32,
            phase: r.phase,
            age_ms: (r.started_at_ms > 0.0)
                .then(|| age(r.started_at_ms).min(TenthMillis::from(u32::MAX - 1)) as u32),
            slow_start_share: 1_000,
        };
        local.insert(r.id.clone(), member);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_index_comes_back_once_nothing_of_its_replica_is_open() {
        let mut indices = Indices::default();
        assert_eq!(
            (indices.take("a"), indices.take("b"), indices.take("a")),
            (0, 1, 0)
        );
        *indices.get(0).unwrap() = Held {
            id: "a".into(),
            probes: 1,
            gone: Some(7),
        };
        indices.give_back(7, |_| true);
        assert_eq!(indices.take("c"), 2, "a probe of it is out");
        indices.get(0).unwrap().probes = 0;
        indices.give_back(6, |_| true);
        indices.give_back(7, |replica| replica != 0);
        assert_eq!(
            indices.take("d"),
            3,
            "a lookup taken before is open, or a connection"
        );
        indices.give_back(7, |_| true);
        assert_eq!(
            (indices.take("e"), indices.take("a"), indices.take("b")),
            (0, 4, 1)
        );
        // However many come and go, no more indices are used than are needed at once.
        for n in 0..1_000 {
            let replica = indices.take(&format!("n{n}"));
            indices.get(replica).unwrap().gone = Some(n);
            indices.give_back(n, |_| true);
        }
        assert_eq!((indices.held.len(), indices.of.len()), (6, 5));
    }
}
