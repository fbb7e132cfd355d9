//! The dispatcher of services that are asked together: it owns their decision module, hands in what came and
//! carries out what is decided.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use linenthread_config::{Destination, ResolvedRoute, Settings};
use linenthread_core::Coordinator;
use linenthread_core::interface::{
    AttemptOutcome, AttemptResult, IndexConfig, Inputs, MembershipEntry, MembershipUpdate,
    NewQuery, NewSubRequest, Phase, TenthMillis,
};
use smallvec::SmallVec;
use tokio::sync::{Notify, oneshot};
use tokio::task::spawn_local;

use crate::action::{Action, Actions, GivenUp};
use crate::outcome::{SendState, may_send_again};
use crate::pass_through::PassThrough;
use crate::pool::{Answer, ReplicaPool, Request, SubRequestOutcome};
use crate::reply::{PartsIn, Reply};
use crate::transport::{Connector, TcpConnector};
use crate::zones::Zones;
use crate::{clock, terms};

/// A sub-request has so long at least.
const SHORTEST: TenthMillis = 10;
const MICROS_A_TENTH: u64 = 100;

/// One part of a request and its sub-requests.
#[derive(Default)]
struct Part {
    answer: Option<Answer>,
    calls: usize,
    /// Sub-requests of which it is not known that they did not run; those that are out count.
    may_have_run: usize,
}

impl Part {
    /// How far any of its sub-requests got at most.
    fn sent(&self) -> SendState {
        match (self.may_have_run, self.calls) {
            (0, 0) => SendState::NeverLeft,
            (0, _) => SendState::Rejected,
            _ => SendState::MayHaveRun,
        }
    }
}

/// A request that has not ended.
struct OpenLookup {
    /// How manieth it is.
    number: u64,
    reply: Option<oneshot::Sender<Reply>>,
    request: Rc<Request>,
    planned: Rc<ResolvedRoute>,
    parts: SmallVec<[Part; 4]>,
    /// A replica's own failure, passed on where nothing better comes.
    failure: Option<Answer>,
}

/// Which lookup: its place, which is used again after its end, and its number, which is not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LookupId {
    place: usize,
    number: u64,
}

/// Which sub-request: its lookup, its part, and its number among those of the part.
#[derive(Clone, Copy)]
struct SubRequestId {
    lookup: LookupId,
    part: usize,
    call: usize,
}

struct State<C: Connector> {
    coordinator: Coordinator,
    /// Decides in its place while something is measured.
    stand_in: Option<PassThrough>,
    indexes: Vec<IndexConfig>,
    arrivals: Inputs,
    pools: Vec<Rc<ReplicaPool<C>>>,
    numbers: HashMap<String, usize>,
    /// Numbers of replicas that are gone, and how many lookups had been taken by then; and those free again.
    gone: Vec<(usize, u64)>,
    spare: Vec<usize>,
    lookups: Vec<Option<OpenLookup>>,
    free: Vec<usize>,
    actions: Actions,
}

/// Hands requests to the decision module and its decisions to the replicas' pools.
pub struct Dispatcher<C: Connector = TcpConnector> {
    /// What is asked together, by name.
    pub services: Rc<[Rc<str>]>,
    state: RefCell<State<C>>,
    notify: Notify,
    open: Cell<usize>,
    taken: Cell<u64>,
}

impl<C: Connector> Dispatcher<C> {
    /// Starts the task that runs the module; within a `LocalSet`.
    pub fn new(
        services: Rc<[Rc<str>]>,
        tries: usize,
        settings: &Settings,
        seed: u64,
    ) -> Rc<Dispatcher<C>> {
        let deployment = terms::deployment(services.len(), tries, settings);
        let dispatcher = Rc::new(Dispatcher {
            services,
            state: RefCell::new(State {
                coordinator: Coordinator::new(deployment, seed),
                stand_in: settings.pass_through.then(PassThrough::default),
                indexes: Vec::new(),
                arrivals: Inputs::default(),
                pools: Vec::new(),
                numbers: HashMap::new(),
                gone: Vec::new(),
                spare: Vec::new(),
                lookups: Vec::new(),
                free: Vec::new(),
                actions: Actions::default(),
            }),
            notify: Notify::new(),
            open: Cell::new(0),
            taken: Cell::new(0),
        });
        spawn_local(run(dispatcher.clone()));
        dispatcher
    }

    /// So many further tries are free, and this front is one of so many.
    pub fn allot(&self, free: f64, own: usize, fronts: usize) {
        self.state
            .borrow_mut()
            .coordinator
            .set_retry_quota(free, own, fronts);
    }

    /// News of replicas of these services.
    pub fn list(&self, pools: &[Rc<ReplicaPool<C>>], zones: &Zones) {
        let mut state = self.state.borrow_mut();
        let listed: Vec<MembershipEntry> = pools
            .iter()
            .filter_map(|pool| {
                let cell = self.services.iter().position(|s| *s == pool.backend)?;
                let replica = state.number(pool)?;
                state.gone.retain(|(number, _)| *number != replica);
                if pool.gone.get() {
                    state.gone.push((replica, self.taken.get()));
                }
                Some(listed(pool, replica, cell, zones))
            })
            .collect();
        if listed.is_empty() {
            return;
        }
        state
            .arrivals
            .membership
            .push(MembershipUpdate::Delta(listed));
        state.arrivals.zone_routes = Some(zones.ways());
        drop(state);
        self.notify.notify_one();
    }

    /// Takes a request in; its number, and where its reply comes.
    pub fn take(
        &self,
        request: Rc<Request>,
        planned: &Rc<ResolvedRoute>,
        key: u64,
        hard_deadline: TenthMillis,
    ) -> (LookupId, oneshot::Receiver<Reply>) {
        let (reply, answer) = oneshot::channel();
        let mut state = self.state.borrow_mut();
        let index = state.index(terms::index(planned));
        let lookup = state.free_lookup();
        self.taken.set(self.taken.get() + 1);
        let number = self.taken.get();
        let new = NewQuery {
            query: lookup,
            index,
            customer: 0,
            key: Some(key),
            sequence_number: number,
            hard_deadline,
        };
        state.arrivals.queries.push(new);
        let parts = self.services.len();
        state
            .arrivals
            .sub_requests
            .extend((0..parts).map(|shard| NewSubRequest {
                query: lookup,
                shard,
                weight: 1.0,
            }));
        state.lookups[lookup] = Some(OpenLookup {
            number,
            reply: Some(reply),
            request,
            planned: planned.clone(),
            parts: (0..parts).map(|_| Part::default()).collect(),
            failure: None,
        });
        self.open.set(self.open.get() + 1);
        self.notify.notify_one();
        (
            LookupId {
                place: lookup,
                number,
            },
            answer,
        )
    }

    /// Numbers of replicas that are gone are free again when every lookup taken before that has ended.
    pub fn tidy(&self) {
        let mut state = self.state.borrow_mut();
        let given_up = std::mem::take(&mut state.actions.given_up);
        if given_up != GivenUp::default() {
            let GivenUp {
                late,
                fells,
                hopeless,
                slow,
                full,
            } = given_up;
            let service = self.services.first().map_or("", |s| s);
            log::info!(service = service, of = self.services.len(), late = late, fells = fells,
                hopeless = hopeless, slow = slow, full = full; "event=request_abandoned");
        }
        if !state.gone.is_empty() {
            state.free_numbers();
        }
    }

    /// The client has left.
    pub fn lapse(&self, lookup: LookupId) {
        let mut state = self.state.borrow_mut();
        if state.open(lookup).is_some() {
            state.arrivals.abandoned.push(lookup.place);
            self.notify.notify_one();
        }
    }

    /// A sub-request has ended.
    fn ended(&self, id: SubRequestId, took: TenthMillis, outcome: SubRequestOutcome) {
        let SubRequestId { lookup, part, call } = id;
        let mut state = self.state.borrow_mut();
        let Some(open) = state.open(lookup) else {
            log::error!(lookup = lookup.number; "event=orphaned_outcome");
            return;
        };
        let to = &mut open.parts[part];
        if outcome.sent != SendState::MayHaveRun {
            to.may_have_run -= 1;
        }
        match outcome.answer {
            Some(answer) if outcome.ending == AttemptOutcome::Success => {
                to.answer.get_or_insert(answer);
            }
            Some(answer) => open.failure = Some(answer),
            None => {}
        }
        let ending = outcome.ending;
        let lookup = lookup.place;
        state.arrivals.results.push(AttemptResult {
            query: lookup,
            sub_request: part,
            attempt: call,
            outcome: ending,
            elapsed: took,
            queue_depth: None,
        });
        self.notify.notify_one();
    }

    /// One round of the module, and what it decided.
    fn round(self: &Rc<Self>) -> Option<TenthMillis> {
        let mut state = self.state.borrow_mut();
        for action in state.decide() {
            match action {
                Action::Call {
                    lookup,
                    part,
                    replica,
                    time_out,
                } => {
                    self.call(&mut state, (lookup, part), replica, time_out);
                }
                Action::Satisfy { lookup } => state.reply(lookup, satisfied),
                Action::Nack { lookup, after } => state.reply(lookup, |open| given_up(open, after)),
                Action::Abort { lookup } => state.reply(lookup, |open| given_up(open, None)),
                Action::Release { lookup } => {
                    if state.lookups[lookup].take().is_some() {
                        state.free.push(lookup);
                        self.open.set(self.open.get() - 1);
                    }
                }
                Action::Close { replica } => state.pools[replica].close_idle(),
            }
        }
        state.actions.wake
    }

    /// Sends a sub-request, unless an earlier one of the part may have run and it may not be repeated.
    fn call(
        self: &Rc<Self>,
        state: &mut State<C>,
        (lookup, part): (usize, usize),
        replica: usize,
        time_out: TenthMillis,
    ) {
        let Some(Some(open)) = state.lookups.get_mut(lookup) else {
            return;
        };
        let to = &mut open.parts[part];
        let lookup_id = LookupId {
            place: lookup,
            number: open.number,
        };
        let id = SubRequestId {
            lookup: lookup_id,
            part,
            call: to.calls,
        };
        let permitted = may_send_again(open.planned.route.mode, to.sent());
        to.calls += 1;
        if !permitted {
            log::error!(route = open.planned.route.name; "event=retry_rejected");
            let ending = AttemptOutcome::NotSent;
            state.arrivals.results.push(AttemptResult {
                query: lookup,
                sub_request: part,
                attempt: id.call,
                outcome: ending,
                elapsed: 0,
                queue_depth: None,
            });
            self.notify.notify_one();
            return;
        }
        to.may_have_run += 1;
        let (pool, request) = (state.pools[replica].clone(), open.request.clone());
        let time = Duration::from_micros(time_out.max(SHORTEST) as u64 * MICROS_A_TENTH);
        let dispatcher = self.clone();
        spawn_local(async move {
            let began = clock::tenths();
            let outcome = pool.call(&request, time).await;
            dispatcher.ended(id, clock::tenths() - began, outcome);
        });
    }
}

impl<C: Connector> State<C> {
    /// The number of a replica, which is given one if it is new and there.
    fn number(&mut self, pool: &Rc<ReplicaPool<C>>) -> Option<usize> {
        if let Some(known) = self.numbers.get(&pool.ident) {
            return Some(*known);
        }
        if pool.gone.get() {
            return None;
        }
        let replica = self.spare.pop().unwrap_or(self.pools.len());
        if replica == self.pools.len() {
            self.pools.push(pool.clone());
        }
        self.pools[replica] = pool.clone();
        self.numbers.insert(pool.ident.clone(), replica);
        Some(replica)
    }

    /// Numbers of replicas that were gone before the oldest open lookup was taken are free again.
    fn free_numbers(&mut self) {
        let oldest = self
            .lookups
            .iter()
            .flatten()
            .map(|open| open.number)
            .min()
            .unwrap_or(u64::MAX);
        let (pools, numbers, spare) = (&self.pools, &mut self.numbers, &mut self.spare);
        self.gone.retain(|&(replica, taken)| {
            let over = taken < oldest;
            if over {
                numbers.remove(&pools[replica].ident);
                spare.push(replica);
            }
            !over
        });
    }

    /// A lookup that has not ended.
    fn open(&mut self, id: LookupId) -> Option<&mut OpenLookup> {
        let open = self.lookups.get_mut(id.place)?.as_mut()?;
        (open.number == id.number).then_some(open)
    }

    /// The number of a sort of lookup.
    fn index(&mut self, index: IndexConfig) -> usize {
        if let Some(known) = self.indexes.iter().position(|i| *i == index) {
            return known;
        }
        self.indexes.push(index.clone());
        self.coordinator.add_index(index)
    }

    fn free_lookup(&mut self) -> usize {
        self.free.pop().unwrap_or_else(|| {
            self.lookups.push(None);
            self.lookups.len() - 1
        })
    }

    /// Hands in all that came.
    fn decide(&mut self) -> Vec<Action> {
        self.arrivals.now = clock::tenths();
        let arrivals = std::mem::take(&mut self.arrivals);
        self.actions.wake = None;
        match &mut self.stand_in {
            None => self.coordinator.step(&arrivals, &mut self.actions),
            Some(stand_in) => stand_in.round(&arrivals, &mut self.actions),
        }
        std::mem::take(&mut self.actions.list)
    }

    /// Replies to a lookup's client, if that has not been done.
    fn reply(&mut self, lookup: usize, make: impl FnOnce(&mut OpenLookup) -> Reply) {
        if let Some(Some(open)) = self.lookups.get_mut(lookup)
            && let Some(reply) = open.reply.take()
        {
            let _ = reply.send(make(open));
        }
    }
}

/// A replica in the module's terms.
fn listed<C: Connector>(
    pool: &ReplicaPool<C>,
    replica: usize,
    cell: usize,
    zones: &Zones,
) -> MembershipEntry {
    let phase = match (pool.gone.get(), pool.draining.get()) {
        (true, _) => Phase::Removed,
        (_, true) => Phase::Draining,
        _ => Phase::Ready,
    };
    let id = linenthread_consensus::fnv1a_64(pool.ident.as_bytes());
    let site = zones.number_of(&pool.zone);
    MembershipEntry {
        replica,
        id,
        replica_group: cell,
        zone: site,
        phase,
        started_at: None,
        slow_start_share: None,
    }
}

/// Rounds of the module, whenever something came or it asked to be woken.
async fn run<C: Connector>(dispatcher: Rc<Dispatcher<C>>) {
    let mut wake: Option<TenthMillis> = None;
    loop {
        match wake.filter(|_| dispatcher.open.get() > 0) {
            Some(at) => {
                let at = clock::at_tenths(at).into();
                let _ = tokio::time::timeout_at(at, dispatcher.notify.notified()).await;
            }
            None => dispatcher.notify.notified().await,
        }
        // The module says when it is to be woken only if its last wish is past.
        let next = dispatcher.round();
        wake = next.or(wake.filter(|at| *at > clock::tenths()));
    }
}

/// The replica's answer as it came, or the greatest records of the parts that are in.
fn satisfied(open: &mut OpenLookup) -> Reply {
    if let Destination::Weighted(_) = open.planned.destination {
        return match open.parts[0].answer.take() {
            Some(answer) => Reply::passed_on(answer),
            None => given_up(open, None),
        };
    }
    let parts: PartsIn = open
        .parts
        .iter()
        .filter_map(|part| part.answer.as_ref())
        .collect();
    if parts.is_empty() {
        drop(parts);
        return given_up(open, None);
    }
    Reply::gathered(
        &open.request.attempt,
        &parts,
        open.parts.len(),
        open.planned.route.result_limit,
    )
}

/// A replica's own failure if there was one, else what may be promised.
fn given_up(open: &mut OpenLookup, after: Option<TenthMillis>) -> Reply {
    if let Some(failure) = open.failure.take() {
        return Reply::passed_on(failure);
    }
    Reply::given_up(open.parts.iter().any(|part| part.may_have_run > 0), after)
}
