//! What a test waits for in the logs of a rig's processes.

use std::thread::sleep;
use std::time::Instant;

use super::route::{Route, ZonePair, route};
use super::{POLL_INTERVAL, Rig, TABLE_IN_USE};
use crate::PATIENCE;

impl Rig {
    /// How many lines a process has logged so far, over all its incarnations.
    pub fn log_position(&self, process: usize) -> usize {
        self.processes[process].log.len()
    }

    /// Waits for a log line with this text since the process was last started.
    ///
    /// # Panics
    ///
    /// If none arrives in time.
    pub fn wait_for_log(&self, process: usize, text: &str) -> String {
        self.wait_for_log_after(process, self.processes[process].started_at, text)
    }

    /// Waits for a log line with this text from a position on.
    ///
    /// # Panics
    ///
    /// If none arrives in time.
    pub fn wait_for_log_after(&self, process: usize, position: usize, text: &str) -> String {
        self.wait_for_line(process, position, text, &|line| line.contains(text))
    }

    fn wait_for_line(
        &self,
        process: usize,
        position: usize,
        what: &str,
        matches: &dyn Fn(&str) -> bool,
    ) -> String {
        let logging = &self.processes[process];
        logging.log.wait_for(&logging.name, position, what, matches)
    }

    /// Waits until a process uses a routing table in which the route between two zones is as wanted.
    ///
    /// # Panics
    ///
    /// If it does not in time.
    pub fn wait_for_route(
        &self,
        process: usize,
        position: usize,
        zones: ZonePair,
        matches: impl Fn(&Route) -> bool,
    ) -> String {
        let ZonePair { from, to } = zones;
        let what = format!("a table with the wanted way from zone {from} to {to}");
        self.wait_for_line(process, position, &what, &|line| {
            line.contains(TABLE_IN_USE) && route(line, zones).is_some_and(|route| matches(&route))
        })
    }

    /// Waits until a process uses a routing table in which two zones are partitioned, in either direction.
    ///
    /// # Panics
    ///
    /// If it does not in time.
    pub fn wait_for_partition(&self, process: usize, position: usize, zones: ZonePair) -> String {
        let is_partitioned = |line: &str, zones| {
            route(line, zones).is_some_and(|route| route.is_left_for("Partitioned"))
        };
        self.wait_for_line(
            process,
            position,
            "a table with a pair of zones cut",
            &|line| {
                line.contains(TABLE_IN_USE)
                    && (is_partitioned(line, zones) || is_partitioned(line, zones.reversed()))
            },
        )
    }

    /// Waits until a single voter leads, by the last log line on leadership of each that runs.
    ///
    /// # Panics
    ///
    /// If none or several lead for too long.
    pub fn leader(&self) -> usize {
        let end = Instant::now() + 2 * PATIENCE;
        while Instant::now() < end {
            let leaders: Vec<usize> = (0..self.config.voters)
                .filter(|process| self.processes[*process].is_leader())
                .collect();
            if let [leader] = leaders[..] {
                return leader;
            }
            sleep(POLL_INTERVAL);
        }
        panic!("no single process leads");
    }
}
