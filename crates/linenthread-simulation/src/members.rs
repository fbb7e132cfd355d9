//! Benchmark of fleet membership: fleets of 10 and 100 members that all join at once, in simulated time.
//!
//! Measures datagrams, bytes and CPU time per member, how long it takes until all members know all others, and how long
//! until all consider a member down that has stopped sending. It is a violation if either time exceeds [`MAX_WAIT`].

use std::net::SocketAddr;
use std::time::Instant;

use linenthread_core::interface::TenthMillis;
use linenthread_fleet::{
    Members, MembersAction, MembersConfig, NodeIdentity, PeerAddress, ProcessIncarnation,
};
use linenthread_frames::Secrets;

use crate::event_queue::EventQueue;
use crate::number::{self, SECOND};
use crate::run_summary::RunSummary;

/// The simulated time of a step.
const STEP: TenthMillis = 250;
/// The one-way latency of a datagram.
const LATENCY: TenthMillis = 10;
const PORT: u16 = 7_500;
/// The fleet sizes that are measured.
const SIZES: [usize; 2] = [10, 100];
/// The number of seed members, whose addresses all others know from the start.
const SEEDS: usize = 3;
const PROBE_INTERVAL: TenthMillis = 5_000;
/// The longest time in which a fleet of any size must agree on its members.
const MAX_WAIT: TenthMillis = 120 * SECOND;
/// The time after which the traffic of joining has ended and only the steady traffic is left.
const SETTLING_TIME: TenthMillis = 20 * SECOND;
/// How many seconds of simulated time the traffic is measured for.
const MEASURED_SECONDS: TenthMillis = 10;
/// The number of steps between two checks.
const STEPS_PER_CHECK: usize = 10;
const MICROSECONDS: f64 = 1e6;
/// Distance between the seeds of different runs, so that their members get different seeds.
const SEED_STRIDE: u64 = 10_007;

fn name(member: usize) -> String {
    format!("palermo-{member}")
}

fn address(member: usize) -> SocketAddr {
    let member = u16::try_from(member).expect("there are fewer than 65,280 members");
    let [high, low] = member.to_be_bytes();
    ([127, high + 1, low, 1], PORT).into()
}

fn peer_address(member: usize) -> PeerAddress {
    PeerAddress {
        name: name(member),
        address: address(member),
    }
}

/// Returns the member at an address, the inverse of [`address`].
fn member_at(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let [_, high, low, _] = address.ip().octets();
    Some(usize::from(high.checked_sub(1)?) << 8 | usize::from(low))
}

/// A datagram in flight to a member.
struct Datagram {
    to: usize,
    bytes: Vec<u8>,
}

/// A fleet in simulated time.
struct Simulation {
    now: TenthMillis,
    /// `None` for a member that has been stopped.
    members: Vec<Option<Members>>,
    in_flight: EventQueue<Datagram>,
    datagrams: usize,
    bytes: usize,
}

impl Simulation {
    fn new(count: usize, seed: u64) -> Simulation {
        let member = |number: usize| {
            let seed = seed.wrapping_mul(SEED_STRIDE) + number::to_u64(number);
            Some(Members::new(config(number, count, seed), 0))
        };
        Simulation {
            now: 0,
            members: (0..count).map(member).collect(),
            in_flight: EventQueue::default(),
            datagrams: 0,
            bytes: 0,
        }
    }

    /// Sends the datagrams among the actions.
    fn send(&mut self, actions: Vec<MembersAction>) {
        for action in actions {
            if let MembersAction::Send { to, bytes } = action
                && let Some(to) = member_at(to)
            {
                self.datagrams += 1;
                self.bytes += bytes.len();
                self.in_flight
                    .push(self.now + LATENCY, Datagram { to, bytes });
            }
        }
    }

    /// Advances time by one step: delivers datagrams and runs the timers that have expired.
    fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        for number in 0..self.members.len() {
            let mut actions = Vec::new();
            if let Some(member) = &mut self.members[number]
                && member.wake_at() <= self.now
            {
                member.wake(self.now, &mut actions);
            }
            self.send(actions);
        }
    }

    fn deliver(&mut self) {
        while let Some((_, datagram)) = self.in_flight.pop_by(self.now) {
            let mut actions = Vec::new();
            if let Some(Some(member)) = self.members.get_mut(datagram.to) {
                // A rejected datagram changes nothing.
                let _ = member.on_datagram(self.now, &datagram.bytes, &mut actions);
            }
            self.send(actions);
        }
    }

    fn run_for(&mut self, duration: TenthMillis) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until each member knows `others` other members, and returns how long that took; `None` after [`MAX_WAIT`].
    fn run_until_known(&mut self, others: usize) -> Option<TenthMillis> {
        let started_at = self.now;
        while self.now < started_at + MAX_WAIT {
            for _ in 0..STEPS_PER_CHECK {
                self.step();
            }
            let mut members = self.members.iter().flatten();
            if members.all(|member| member.alive_members().count() == others) {
                return Some(self.now - started_at);
            }
        }
        None
    }
}

fn config(number: usize, count: usize, random_seed: u64) -> MembersConfig {
    let local = NodeIdentity {
        machine: format!("rack-{number}"),
        zone: "palermo".into(),
        region: "sicily".into(),
        version: 1,
        weight: 1_000,
        incarnation: ProcessIncarnation(1_700_000_000_000),
        ..NodeIdentity::unknown(&name(number), address(number))
    };
    MembersConfig {
        local,
        seeds: (0..SEEDS).map(peer_address).collect(),
        expected_members: number::to_u32(count),
        probe_interval: PROBE_INTERVAL,
        secrets: Secrets::new(vec![b"a secret of some length".to_vec()])
            .expect("the secret is long enough"),
        random_seed,
    }
}

/// Measures all sizes and prints a table. It is a violation if members do not agree in time.
pub(crate) fn run(seed: u64) -> RunSummary {
    println!(
        "members    all joined  datagrams/s  bytes/s  CPU us/s       one removed   (per member, except the times)"
    );
    let violations = SIZES.map(|count| measure(count, seed)).into_iter().sum();
    RunSummary {
        checked: SIZES.len(),
        violations,
    }
}

/// Measures one size and returns how often its members did not agree in time.
fn measure(count: usize, seed: u64) -> usize {
    let mut simulation = Simulation::new(count, seed);
    let all_known = simulation.run_until_known(count - 1);
    simulation.run_for(SETTLING_TIME);
    let (datagrams, bytes) = (simulation.datagrams, simulation.bytes);
    let started_at = Instant::now();
    simulation.run_for(MEASURED_SECONDS * SECOND);
    let member_seconds = number::to_f64(count) * number::time_to_f64(MEASURED_SECONDS);
    let cpu = MICROSECONDS * started_at.elapsed().as_secs_f64() / member_seconds;
    let datagrams = number::to_f64(simulation.datagrams - datagrams) / member_seconds;
    let bytes = number::to_f64(simulation.bytes - bytes) / member_seconds;
    simulation.members[count / 2] = None;
    let one_down = simulation.run_until_known(count - 2);
    println!(
        "{count:7}  {:>12}  {datagrams:11.1}  {bytes:7.0}  {cpu:8.0}  {:>16}",
        seconds(all_known),
        seconds(one_down)
    );
    usize::from(all_known.is_none()) + usize::from(one_down.is_none())
}

fn seconds(time: Option<TenthMillis>) -> String {
    time.map_or("never".into(), |time| {
        format!("{:.1} s", number::seconds(time))
    })
}
