//! What goes into a [`Coordinator`](crate::Coordinator) and the [`Writer`] its decisions go to.
//!
//! Replicas, lookups and parts are small indices handed out by the caller. A replica keeps its index while
//! the roster has it. After that, once every lookup taken before it was told as gone is released and no
//! probe of it is out, the index may be listed with another id: nothing known of the first is held to the
//! second. A lookup's index may be handed out again once [`Writer::release`] has named it. The parts of a
//! lookup are numbered from 0 in the order they came, those of a second step after those of the first.

/// A moment or a length of time, in tenths of a millisecond.
pub type Tenths = i64;

/// Whether a part, or a whole lookup, may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Idempotent,
    /// A repeat is dropped by the replicas for this long after the first part call that may have run.
    Fingerprinted(Tenths),
    OnceOnly,
}

/// One index: a sort of lookup.
#[derive(Clone, Debug, PartialEq)]
pub struct Index {
    pub effect: Effect,
    pub soft_deadline: Tenths,
    pub gain: f64,
    /// Share of the gain that an answer after the soft deadline still earns.
    pub late_share: f64,
    /// Share of the parts' weight that makes a whole answer.
    pub need: f64,
    /// Share of the parts' weight under which no answer may be given.
    pub floor: f64,
    /// What an answer that is not whole earns, times the share that is in.
    pub partial_gain: f64,
    /// Parts that a first answer brings; 0 where there is one step only.
    pub second_step: usize,
}

/// Where the shards lie.
#[derive(Clone, Debug, PartialEq)]
pub struct Layout {
    pub cells: usize,
    /// Shard s lies in cells s, s + 1, ... (so many, round the ring).
    pub in_a_row: usize,
}

impl Layout {
    /// Whether the replicas of a cell hold a shard.
    pub fn holds(&self, cell: usize, shard: usize) -> bool {
        (cell + self.cells - shard % self.cells) % self.cells < self.in_a_row
    }
}

/// What the deployment permits.
#[derive(Clone, Debug, PartialEq)]
pub struct Allowance {
    pub calls_a_part: usize,
    pub second_copies: bool,
    pub withdraw: bool,
    pub probes: bool,
    /// The longest wait that clients heed, where retry advice reaches them.
    pub retry_advice: Option<Tenths>,
}

/// How a replica that has just started is to be treated.
#[derive(Clone, Debug, PartialEq)]
pub struct ColdStart {
    pub share: f64,
    pub warm_up: Tenths,
    pub multiple: f64,
    pub window: Tenths,
}

/// The further part calls permitted in any window.
#[derive(Clone, Debug, PartialEq)]
pub struct FurtherCalls {
    pub free: f64,
    pub share: f64,
    pub window: Tenths,
}

/// All that a co-ordinator is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// This co-ordinator's number among them, from 0.
    pub own_number: usize,
    pub co_ordinators: usize,
    pub indexes: Vec<Index>,
    /// Lookups a second that each customer's share allows, over all co-ordinators.
    pub customer_quotas: Vec<f64>,
    pub over_share_gain: f64,
    /// A lookup's gain grows with the work of its parts; else it is the same whatever its size.
    pub gain_by_work: bool,
    pub layout: Layout,
    pub allowance: Allowance,
    pub cold: ColdStart,
    /// Replicas tell how many parts wait at them, in answers or to probes.
    pub queue_told: bool,
    /// Replicas hold few parts that wait and turn the others away, so that nothing piles up there.
    pub short_queues: bool,
    /// Nothing new may go to a replica later than this after it was told as draining or gone.
    pub drain_grace: Tenths,
    pub further_calls: Option<FurtherCalls>,
    /// The roster sends changes only to those who watch it.
    pub watch_roster: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    Ready,
    Draining,
    #[default]
    Gone,
}

/// One replica as the roster lists it.
#[derive(Clone, Debug, Default)]
pub struct Listed {
    pub replica: usize,
    /// The replica's original id, the same at every co-ordinator.
    pub id: u64,
    pub cell: usize,
    /// Where it stands.
    pub site: usize,
    pub phase: Phase,
    /// When it last started; `None` for long ago.
    pub started: Option<Tenths>,
    /// What share of this co-ordinator's part in its cold budget may be used; `None` for all of it. Who
    /// reaches it through a gateway is told by that how much others leave.
    pub cold_share: Option<f64>,
}

/// News from the roster, in the order it came.
#[derive(Clone, Debug)]
pub enum RosterNews {
    Changes(Vec<Listed>),
    /// The whole list; what it leaves out is gone.
    Whole(Vec<Listed>),
    /// The list as last held, of any age.
    Remembered(Vec<Listed>),
    Failed,
}

#[derive(Clone, Debug)]
pub struct NewPart {
    pub lookup: usize,
    pub shard: usize,
    pub weight: f64,
}

#[derive(Clone, Debug)]
pub struct NewLookup {
    pub lookup: usize,
    pub index: usize,
    pub customer: usize,
    /// `None` where the lookup carries no key.
    pub key: Option<u64>,
    /// The lookup's own number, which stands in for a key it lacks.
    pub number: u64,
    /// When the client gives this try up.
    pub hard_deadline: Tenths,
}

/// How a part call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Answered,
    Errored,
    /// Turned away unseen: full or draining.
    TurnedAway,
    TimedOut,
    Unconnected,
    Broken,
    Withdrawn,
    /// Never left this side.
    Unsent,
}

impl Ending {
    /// The part call is known not to have run.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Ending::TurnedAway | Ending::Unconnected | Ending::Unsent
        )
    }
}

#[derive(Clone, Debug)]
pub struct Return {
    pub lookup: usize,
    pub part: usize,
    /// The part call's number, from 0 in the order the part's calls were made.
    pub call: usize,
    pub ending: Ending,
    pub took: Tenths,
    /// Parts that the replica says it has waiting, where it does.
    pub queue: Option<f64>,
}

#[derive(Clone, Debug)]
pub struct ProbeReturn {
    pub replica: usize,
    pub ending: Ending,
    pub queue: Option<f64>,
}

/// How a site is to be used from here, by the table that all co-ordinators act on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WayTo {
    /// What stands for the site in hashes, the same at every co-ordinator.
    pub id: u64,
    /// 0 is nearest.
    pub distance: u8,
    /// To how many keys of a thousand it is open; as the number changes the same ones go and come back.
    pub open: u16,
}

/// All that came in for one co-ordinator since its last round.
#[derive(Clone, Debug, Default)]
pub struct Arrivals {
    pub now: Tenths,
    pub roster: Vec<RosterNews>,
    /// A new table, by site; an empty one where there is none any more. A site it does not have is farthest.
    pub ways: Option<Vec<WayTo>>,
    pub lookups: Vec<NewLookup>,
    pub parts: Vec<NewPart>,
    pub returns: Vec<Return>,
    /// Lookups and their parts that are answered and wanted once more, since their answer brought less than
    /// the lookup needs. It is for the module to say whether that can be had; the answer in hand stays good.
    pub onward: Vec<(usize, usize)>,
    pub probes: Vec<ProbeReturn>,
    /// Lookups whose client has left.
    pub lapsed: Vec<usize>,
}

/// Why a lookup is turned away or given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// Its time is up.
    Late,
    /// It may be what brings replicas down.
    Fells,
    /// No further part call can bring what an answer needs.
    Hopeless,
    /// Its slowest part is expected too late.
    Slow,
    /// Too much is out from here, at a shard's holders or in all.
    Full,
}

/// Where decisions go, in the order they are taken.
pub trait Writer {
    /// The cause of the nack or abort that comes next.
    fn given_up(&mut self, _lookup: usize, _why: Why) {}
    fn call(&mut self, lookup: usize, part: usize, replica: usize, time_out: Tenths);
    fn withdraw(&mut self, lookup: usize, part: usize, call: usize);
    /// Answer from the parts that are in. With a second step to come this is not yet the final answer.
    fn satisfy(&mut self, lookup: usize, whole: bool);
    /// Turned away: asking again is harmless.
    fn nack(&mut self, lookup: usize, retry_after: Option<Tenths>);
    /// Given up, with no promise.
    fn abort(&mut self, lookup: usize);
    /// The lookup has ended and nothing of it is out: its index may be used again.
    fn release(&mut self, lookup: usize);
    fn probe(&mut self, replica: usize);
    /// Close the connections to this replica on which nothing is out.
    fn close(&mut self, replica: usize);
    fn watch_roster(&mut self);
    fn wake_at(&mut self, at: Tenths);
}
