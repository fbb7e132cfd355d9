//! The data plane in simulated time: worlds of some sessions each, one seed a world.

use std::time::Instant;

use linenthread_dataplane_sim::judge::Counts;
use linenthread_dataplane_sim::world::{SESSIONS, Verdict, play};

/// How many breaches are printed.
const SHOWN: usize = 20;
/// Worlds are independent of each other and so are played side by side.
const THREADS: usize = 3;

/// What was asked for.
#[derive(Clone, Debug)]
pub(crate) struct Drill {
    pub sessions: usize,
    pub seed: u64,
    pub told: bool,
}

/// One world: its seed and how many sessions it has.
type World = (u64, usize);

impl Drill {
    /// Plays all; how many sessions were checked, and how many breaches there were.
    pub(crate) fn run(&self) -> (usize, usize) {
        let began = Instant::now();
        let worlds = self.worlds();
        let (mut counts, mut runs, mut digest, mut breaches) = (Counts::default(), 0, 0u64, 0);
        for (number, (seed, verdict)) in play_all(&worlds).into_iter().enumerate() {
            if breaches == 0 && !verdict.breaches.is_empty() {
                println!(
                    "the first breach came within {} sessions",
                    (number + 1) * SESSIONS
                );
            }
            for breach in &verdict.breaches {
                breaches += 1;
                if breaches <= SHOWN {
                    println!("breach: world {seed}: {breach}");
                }
            }
            add(&mut counts, &verdict.counts);
            runs += verdict.runs;
            digest = digest.rotate_left(1) ^ verdict.digest;
        }
        if self.told {
            println!("{counts:?}");
            println!(
                "{runs} runs, digest {digest:016x}, {:.1} s",
                began.elapsed().as_secs_f64()
            );
        }
        (self.sessions, breaches)
    }

    fn worlds(&self) -> Vec<World> {
        let count = self.sessions.div_ceil(SESSIONS);
        let of = |n: usize| (self.sessions - n * SESSIONS).min(SESSIONS);
        (0..count)
            .map(|n| (self.seed.wrapping_add(n as u64), of(n)))
            .collect()
    }
}

/// All verdicts, in the order of the worlds.
fn play_all(worlds: &[World]) -> Vec<(u64, Verdict)> {
    let share = worlds.len().div_ceil(THREADS).max(1);
    let play_some = |some: &[World]| -> Vec<(u64, Verdict)> {
        some.iter()
            .map(|&(seed, sessions)| (seed, play(seed, sessions)))
            .collect()
    };
    std::thread::scope(|scope| {
        let threads: Vec<_> = worlds
            .chunks(share)
            .map(|some| scope.spawn(move || play_some(some)))
            .collect();
        threads
            .into_iter()
            .flat_map(|thread| thread.join().expect("a world panicked"))
            .collect()
    })
}

fn add(sum: &mut Counts, one: &Counts) {
    sum.asked += one.asked;
    sum.whole += one.whole;
    sum.partial += one.partial;
    sum.failed += one.failed;
    sum.rejected += one.rejected;
    sum.left += one.left;
}
