//! The checks after each call of a process, and those after all faults have ended.

use std::collections::BTreeSet;

use linenthread_fleet::{Fleet, Voter};

use super::event::ProcessIndex;
use super::invariant::Invariant;
use super::process::{Disk, name};
use super::traffic::TOPICS;
use super::world::World;

impl World {
    /// Reports whether a process is the leader and is not paused.
    pub(super) fn is_running_leader(&self, at: ProcessIndex) -> bool {
        let process = &self.processes[at];
        !process.is_paused && process.is_leader(self.now)
    }

    /// Checks *one-leader* and *new-disk-new-identity*; called after each call of a process.
    pub(super) fn check(&mut self, at: ProcessIndex) {
        let leaders: Vec<String> = (0..self.voters)
            .filter(|&at| self.is_running_leader(at))
            .map(name)
            .collect();
        if leaders.len() > 1 {
            self.violated(Invariant::OneLeader, &leaders.join(" and "));
        }
        let former = self.processes[at].former_incarnation;
        let incarnation = self.processes[at].incarnation();
        if former.is_some() && incarnation == former {
            self.violated(
                Invariant::NewDiskNewIdentity,
                &format!("{} is {incarnation:?} again", name(at)),
            );
        }
    }

    /// Returns why the fleet is not complete; `None` if it has one leader, all voters vote, and all processes know all
    /// others and the newest values.
    pub(super) fn why_incomplete(&self) -> Option<String> {
        let leaders = self.processes[..self.voters].iter();
        let leaders = leaders
            .filter(|process| process.is_leader(self.now))
            .count();
        if leaders != 1 {
            return Some(format!("{leaders} leaders"));
        }
        (0..self.processes.len()).find_map(|at| self.why_process_incomplete(at))
    }

    fn why_process_incomplete(&self, at: ProcessIndex) -> Option<String> {
        let Some(fleet) = &self.processes[at].fleet else {
            return Some(format!("{} does not run", name(at)));
        };
        if at < self.voters && !fleet.voter().is_some_and(Voter::votes) {
            return Some(format!("{} does not vote: {:?}", name(at), fleet.stage()));
        }
        self.unknown_members(at, fleet)
            .or_else(|| self.outdated_topic(at, fleet))
    }

    fn unknown_members(&self, at: ProcessIndex, fleet: &Fleet<Disk>) -> Option<String> {
        let count = self.processes.len();
        let known: BTreeSet<&str> = fleet.alive().map(|member| member.name.as_str()).collect();
        let others = fleet.alive().count();
        if others + 1 == count {
            return None;
        }
        let unknown: Vec<String> = (0..count)
            .filter(|other| *other != at)
            .map(name)
            .filter(|other| !known.contains(other.as_str()))
            .collect();
        let unknown = unknown.join(" ");
        Some(format!("{} knows {others} others, not {unknown}", name(at)))
    }

    fn outdated_topic(&self, at: ProcessIndex, fleet: &Fleet<Disk>) -> Option<String> {
        let newest = |topic: &str| {
            let keys = self.committed.keys();
            let numbers = keys.filter(|(known, _)| known == topic);
            numbers.map(|(_, number)| *number).max().unwrap_or(0)
        };
        // Proposals continue, so the newest values may still be in flight.
        let is_outdated = |topic: &str| fleet.table().number(topic) + 2 < newest(topic);
        let topic = TOPICS.into_iter().find(|topic| is_outdated(topic))?;
        let (number, newest) = (fleet.table().number(topic), newest(topic));
        Some(format!("{} has {topic} {number} of {newest}", name(at)))
    }
}
