//! A process of the simulated fleet.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use linenthread_core::interface::TenthMillis;
use linenthread_fleet::{
    Fleet, FleetConfig, NodeIdentity, PeerAddress, ProcessIncarnation, Stage, Voter,
    VoterIncarnation,
};
use linenthread_frames::Secrets;
use linenthread_store::SimulatedDisk;
use oorandom::Rand64;

use super::event::{Event, ProcessIndex};
use crate::number;
use crate::random;

/// A disk, which survives a crash of its process.
pub(super) type Disk = Rc<RefCell<SimulatedDisk>>;

const FIRST_PORT: u16 = 7_000;
/// The difference between the incarnations of successive starts.
const INCARNATION_STEP: u64 = 1_000_000;
const PROBE_INTERVAL: TenthMillis = 5_000;

/// A process, its disk and its clock.
pub(super) struct Process {
    pub(super) fleet: Option<Fleet<Disk>>,
    pub(super) disk: Disk,
    /// The rate of its clock relative to simulated time.
    clock_rate: f64,
    clock_offset: TenthMillis,
    /// Whether it is paused; events that arrive meanwhile are kept in `waiting`.
    pub(super) is_paused: bool,
    pub(super) waiting: Vec<Event>,
    /// The number of its newest timer; older timers are ignored.
    pub(super) timer: u64,
    /// When its newest timer expires; `TenthMillis::MAX` if none is set.
    pub(super) wake_at: TenthMillis,
    starts: u64,
    /// The incarnation that its voter had before the disk was lost, if the voter was active.
    pub(super) former_incarnation: Option<VoterIncarnation>,
}

pub(super) fn name(index: ProcessIndex) -> String {
    format!("m{index:02}")
}

pub(super) fn address(index: ProcessIndex) -> SocketAddr {
    (
        [127, 0, 0, 1],
        FIRST_PORT + u16::try_from(index).expect("the index fits into a port number"),
    )
        .into()
}

fn peer_address(index: ProcessIndex) -> PeerAddress {
    PeerAddress {
        name: name(index),
        address: address(index),
    }
}

/// Returns the process at an address, the inverse of [`address`].
pub(super) fn index(address: SocketAddr) -> ProcessIndex {
    usize::from(address.port() - FIRST_PORT)
}

fn secrets() -> Secrets {
    Secrets::new(vec![b"a secret of some length".to_vec()]).expect("the secret is long enough")
}

impl Process {
    /// Creates a process that has not started yet.
    pub(super) fn new(rng: &mut Rand64) -> Process {
        Process {
            fleet: None,
            disk: Rc::default(),
            clock_rate: 0.95 + 0.1 * rng.rand_float(),
            clock_offset: random::within(rng, 1_000_000..9_000_000),
            is_paused: false,
            waiting: Vec::new(),
            timer: 0,
            wake_at: TenthMillis::MAX,
            starts: 0,
            former_incarnation: None,
        }
    }

    /// Converts simulated time to the time of its own clock.
    pub(super) fn local_time(&self, now: TenthMillis) -> TenthMillis {
        self.clock_offset + number::time_from_f64(number::time_to_f64(now) * self.clock_rate)
    }

    /// Returns the first simulated time at which its own clock has reached `local`.
    pub(super) fn global_time(&self, local: TenthMillis) -> TenthMillis {
        number::time_from_f64(
            (number::time_to_f64(local - self.clock_offset) / self.clock_rate).ceil(),
        )
    }

    /// Counts a start and returns the configuration for it.
    pub(super) fn next_config(
        &mut self,
        index: ProcessIndex,
        voters: usize,
        processes: usize,
        seed: u64,
    ) -> FleetConfig {
        self.starts += 1;
        let local = NodeIdentity {
            machine: name(index),
            zone: format!("z{}", index % 3),
            region: "r".into(),
            version: 1,
            weight: 1_000,
            incarnation: ProcessIncarnation(INCARNATION_STEP * self.starts),
            ..NodeIdentity::unknown(&name(index), address(index))
        };
        FleetConfig {
            local,
            voters: (0..voters).map(peer_address).collect(),
            expected_members: number::to_u32(processes),
            probe_interval: PROBE_INTERVAL,
            secrets: secrets(),
            seed,
        }
    }

    /// Reports whether it runs and is the leader.
    pub(super) fn is_leader(&self, now: TenthMillis) -> bool {
        let local = self.local_time(now);
        let fleet = self.fleet.as_ref();
        fleet.is_some_and(|fleet| fleet.is_leader(local))
    }

    /// Reports whether it runs and, by its own knowledge, its voter votes.
    pub(super) fn votes(&self) -> bool {
        let voter = self.fleet.as_ref().and_then(Fleet::voter);
        voter.is_some_and(Voter::is_voting_member)
    }

    /// Returns the incarnation of its voter.
    pub(super) fn incarnation(&self) -> Option<VoterIncarnation> {
        self.fleet.as_ref()?.voter()?.incarnation()
    }

    /// Crashes the process, with or without the loss of its disk. Returns false if it was not running.
    pub(super) fn crash(&mut self, loses_disk: bool, rng: &mut Rand64) -> bool {
        let Some(fleet) = self.fleet.take() else {
            return false;
        };
        let active = fleet.voter().filter(|voter| voter.stage() == Stage::Active);
        let incarnation = active.and_then(Voter::incarnation);
        drop(fleet);
        self.is_paused = false;
        self.wake_at = TenthMillis::MAX;
        self.waiting.clear();
        if loses_disk {
            self.disk = Rc::default();
            self.former_incarnation = incarnation.or(self.former_incarnation);
        } else {
            self.disk.borrow_mut().crash(rng);
        }
        true
    }
}
