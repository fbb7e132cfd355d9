//! Rounds of random faults.

use std::ops::Range;
use std::thread::sleep;
use std::time::Duration;

use oorandom::Rand64;

use super::steps::{lose_zone, others, restore_zone, start_serving, stop, with_seed};
use super::{ALL_ZONES, ZONES};
use crate::random::random_index;
use crate::rig::{Rig, RigConfig};

/// Returns a random duration within a range of milliseconds.
fn random_duration(rng: &mut Rand64, milliseconds: Range<u64>) -> Duration {
    Duration::from_millis(rng.rand_range(milliseconds))
}

/// A kind of random fault. [`rounds`] prints its index in [`Fault::ALL`].
#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill,
    KillAndDeleteRecord,
    Stop,
    LoseZone,
    PartitionZones,
    IsolateProcess,
    Restart,
    Degrade,
}

impl Fault {
    /// All kinds of faults, by number.
    const ALL: [Fault; 8] = [
        Fault::Kill,
        Fault::KillAndDeleteRecord,
        Fault::Stop,
        Fault::LoseZone,
        Fault::PartitionZones,
        Fault::IsolateProcess,
        Fault::Restart,
        Fault::Degrade,
    ];

    /// Injects the fault for a random time. The caller must heal the network afterwards.
    fn inject(self, rig: &mut Rig, rng: &mut Rand64, process: usize, zone: usize) {
        match self {
            Fault::Kill => kill_and_restart(rig, rng, process, false),
            Fault::KillAndDeleteRecord => kill_and_restart(rig, rng, process, true),
            Fault::Stop => {
                stop(rig, process);
                sleep(random_duration(rng, 1_000..10_000));
                rig.signal(process, "-CONT");
                rig.set_queried(process, true);
            }
            Fault::LoseZone => {
                lose_zone(rig, zone);
                sleep(random_duration(rng, 500..6_000));
                restore_zone(rig, zone);
            }
            Fault::PartitionZones => {
                let other = (zone + 1) % ZONES;
                rig.network
                    .partition(&rig.nodes_in_zone(zone), &rig.nodes_in_zone(other));
                sleep(random_duration(rng, 500..6_000));
            }
            Fault::IsolateProcess => {
                rig.network
                    .partition_one_way(&[process], &others(rig, &[process]));
                sleep(random_duration(rng, 500..6_000));
            }
            Fault::Restart => {
                rig.terminate(process);
                rig.start(process);
            }
            Fault::Degrade => {
                let delay = random_duration(rng, 1..60);
                rig.network.degrade(delay, rng.rand_range(0..400));
                sleep(random_duration(rng, 500..4_000));
            }
        }
    }
}

fn kill_and_restart(rig: &mut Rig, rng: &mut Rand64, process: usize, delete_record: bool) {
    rig.kill(process, delete_record);
    sleep(random_duration(rng, 50..3_000));
    rig.start(process);
}

/// The outcome of the queries that were sent while random faults were injected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RandomFaultsReport {
    /// The number of queries.
    pub queries: usize,
    /// The violations of the rules.
    pub violations: Vec<String>,
}

/// Injects one random fault in each round. At the end of a round, heals the network and waits until all zones serve
/// queries.
///
/// # Panics
///
/// If an expected event does not happen in time.
pub fn rounds(exe: &str, rounds: usize, seed: u64) -> RandomFaultsReport {
    let mut rng = Rand64::new(u128::from(seed));
    let mut rig = start_serving(
        exe,
        RigConfig {
            coordinators: if seed.is_multiple_of(2) { 1 } else { 2 },
            ..with_seed(seed)
        },
    );
    for round in 0..rounds {
        let process = random_index(&mut rng, rig.process_count());
        let zone = random_index(&mut rng, ZONES);
        let number = random_index(&mut rng, Fault::ALL.len());
        println!("round {round}: fault {number}, process {process}, zone {zone}");
        Fault::ALL[number].inject(&mut rig, &mut rng, process, zone);
        rig.network.heal();
        rig.wait_for_leader();
        rig.wait_until_serving(&ALL_ZONES, 15);
    }
    let violations = rig.stop_and_check();
    RandomFaultsReport {
        queries: rig.outcomes().len(),
        violations,
    }
}
