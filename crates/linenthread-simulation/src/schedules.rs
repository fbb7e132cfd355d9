//! Runs schedules on all processors.

use std::num::NonZero;
use std::ops::Range;

use crate::number;

/// Runs one schedule for each seed and returns their results, ordered by the seed modulo the number of processors and
/// then by the seed.
pub(crate) fn run_all<T: Send>(seeds: Range<u64>, run: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let threads = number::to_u64(std::thread::available_parallelism().map_or(1, NonZero::get));
    std::thread::scope(|scope| {
        let run_part = |thread: u64| {
            let part = seeds.clone().filter(move |seed| seed % threads == thread);
            let run = &run;
            scope.spawn(move || part.map(run).collect::<Vec<T>>())
        };
        let parts: Vec<_> = (0..threads).map(run_part).collect();
        let parts = parts.into_iter();
        parts
            .flat_map(|part| part.join().expect("a schedule panicked"))
            .collect()
    })
}
