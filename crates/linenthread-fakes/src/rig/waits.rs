//! Waits for events in the logs of a rig's processes.

use std::thread::sleep;
use std::time::Instant;

use super::route::{Route, ZonePair, route};
use super::{POLL_INTERVAL, Rig, TABLE_IN_USE};
use crate::EVENT_TIMEOUT;

impl Rig {
    /// Returns how many lines a process has logged so far, including those from before its restarts.
    pub fn log_position(&self, process: usize) -> usize {
        self.processes[process].log.len()
    }

    /// Waits for a log line that contains this text, among those logged since the process was last started.
    ///
    /// # Panics
    ///
    /// If no such line arrives in time.
    pub fn wait_for_log(&self, process: usize, text: &str) -> String {
        self.wait_for_log_after(process, self.processes[process].log_start, text)
    }

    /// Waits for a log line that contains this text, at or after a position.
    ///
    /// # Panics
    ///
    /// If no such line arrives in time.
    pub fn wait_for_log_after(&self, process: usize, position: usize, text: &str) -> String {
        self.wait_for_line(process, position, text, &|line| line.contains(text))
    }

    fn wait_for_line(
        &self,
        process: usize,
        position: usize,
        description: &str,
        matches: &dyn Fn(&str) -> bool,
    ) -> String {
        let logger = &self.processes[process];
        logger
            .log
            .wait_for(&logger.name, position, description, matches)
    }

    /// Waits until a process uses a routing table in which the route between two zones matches, and returns the log
    /// line.
    ///
    /// # Panics
    ///
    /// If no such line arrives in time.
    pub fn wait_for_route(
        &self,
        process: usize,
        position: usize,
        zones: ZonePair,
        matches: impl Fn(&Route) -> bool,
    ) -> String {
        let ZonePair { from, to } = zones;
        let description =
            format!("a routing table with the expected route from zone {from} to zone {to}");
        self.wait_for_line(process, position, &description, &|line| {
            line.contains(TABLE_IN_USE) && route(line, zones).is_some_and(|route| matches(&route))
        })
    }

    /// Waits until a process uses a routing table in which two zones are partitioned in at least one direction, and
    /// returns the log line.
    ///
    /// # Panics
    ///
    /// If no such line arrives in time.
    pub fn wait_for_partition(&self, process: usize, position: usize, zones: ZonePair) -> String {
        let is_partitioned = |line: &str, zones| {
            route(line, zones).is_some_and(|route| route.is_excluded_for("Partitioned"))
        };
        self.wait_for_line(
            process,
            position,
            "a routing table in which the two zones are partitioned",
            &|line| {
                line.contains(TABLE_IN_USE)
                    && (is_partitioned(line, zones) || is_partitioned(line, zones.reversed()))
            },
        )
    }

    /// Waits until exactly one running voter is the leader, according to the last log line about leadership of each,
    /// and returns its number.
    ///
    /// # Panics
    ///
    /// If there is no single leader within twice [`EVENT_TIMEOUT`].
    pub fn wait_for_leader(&self) -> usize {
        let end = Instant::now() + 2 * EVENT_TIMEOUT;
        while Instant::now() < end {
            let leaders: Vec<usize> = (0..self.config.voters)
                .filter(|process| self.processes[*process].is_leader())
                .collect();
            if let [leader] = leaders[..] {
                return leader;
            }
            sleep(POLL_INTERVAL);
        }
        panic!("no voter became the only leader in time");
    }
}
