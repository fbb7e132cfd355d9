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
    pub(super) fn is_running_leader(&self, index: ProcessIndex) -> bool {
        let process = &self.processes[index];
        !process.is_paused && process.is_leader(self.now)
    }

    /// Checks *one-leader* and *new-disk-new-identity*; called after each call of a process.
    pub(super) fn check_process(&mut self, index: ProcessIndex) {
        let leaders: Vec<String> = (0..self.voters)
            .filter(|&index| self.is_running_leader(index))
            .map(name)
            .collect();
        if leaders.len() > 1 {
            self.record_violation(Invariant::OneLeader, &leaders.join(" and "));
        }
        let former = self.processes[index].former_incarnation;
        let incarnation = self.processes[index].incarnation();
        if former.is_some() && incarnation == former {
            self.record_violation(
                Invariant::NewDiskNewIdentity,
                &format!("{} is {incarnation:?} again", name(index)),
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
        (0..self.processes.len()).find_map(|index| self.why_process_incomplete(index))
    }

    fn why_process_incomplete(&self, index: ProcessIndex) -> Option<String> {
        let Some(fleet) = &self.processes[index].fleet else {
            return Some(format!("{} does not run", name(index)));
        };
        if index < self.voters && !fleet.voter().is_some_and(Voter::is_voting_member) {
            return Some(format!(
                "{} does not vote: {:?}",
                name(index),
                fleet.stage()
            ));
        }
        self.unknown_members(index, fleet)
            .or_else(|| self.outdated_topic(index, fleet))
    }

    fn unknown_members(&self, index: ProcessIndex, fleet: &Fleet<Disk>) -> Option<String> {
        let count = self.processes.len();
        let known: BTreeSet<&str> = fleet
            .alive_members()
            .map(|member| member.name.as_str())
            .collect();
        let others = fleet.alive_members().count();
        if others + 1 == count {
            return None;
        }
        let unknown: Vec<String> = (0..count)
            .filter(|other| *other != index)
            .map(name)
            .filter(|other| !known.contains(other.as_str()))
            .collect();
        let unknown = unknown.join(" ");
        Some(format!(
            "{} knows {others} others, not {unknown}",
            name(index)
        ))
    }

    fn outdated_topic(&self, index: ProcessIndex, fleet: &Fleet<Disk>) -> Option<String> {
        let newest = |topic: &str| {
            let keys = self.committed.keys();
            let numbers = keys.filter(|(known, _)| known == topic);
            numbers.map(|(_, number)| *number).max().unwrap_or(0)
        };
        // Proposals continue, so the newest values may still be in flight.
        let is_outdated = |topic: &str| fleet.table().number(topic) + 2 < newest(topic);
        let topic = TOPICS.into_iter().find(|topic| is_outdated(topic))?;
        let (number, newest) = (fleet.table().number(topic), newest(topic));
        Some(format!("{} has {topic} {number} of {newest}", name(index)))
    }
}
