//! Checks decided values, and responses to changes and reads.

use linenthread_consensus::{Order, Revision, ValueNumber};
use linenthread_messages::Value;

use super::super::history::Commit;
use super::super::invariant::Invariant;
use super::super::world::World;

impl World {
    /// Checks [`Invariant::MonotonicState`] and [`Invariant::OneValuePerNumber`] for the newest decided value of a
    /// node.
    pub(in super::super) fn check_decided(&mut self, node: usize) {
        let machine = &mut self.machines[node];
        let decided = machine
            .control
            .as_ref()
            .and_then(|control| control.register().decided());
        let Some(decided) = decided.cloned() else {
            return;
        };
        let number = ValueNumber::of(&decided);
        let before = std::mem::replace(&mut machine.decided_number, number);
        if number < before {
            let details = format!("control node {node} had {before}, now {number}");
            self.violation(Invariant::MonotonicState, &details);
        }
        match self.history.values.get(&number) {
            Some(other) if *other != decided => {
                let details = format!("two values of number {number}, at control node {node}");
                self.violation(Invariant::OneValuePerNumber, &details);
            }
            Some(_) => {}
            None => self.add_value(decided),
        }
        self.check_catch_up(node, number);
    }

    /// Adds a decided value to the history, so that the checker knows what is committed even if no caller got a
    /// response.
    fn add_value(&mut self, value: Value) {
        let revision = Revision::of(&value);
        match self.history.add_value(value) {
            Commit::New(Some(change)) if self.history.was_rejected(&change) => {
                let details = format!("{revision} was rejected, and is committed now");
                self.violation(Invariant::CommittedIsNeverRejected, &details);
            }
            Commit::Conflict => {
                let details = format!("two configurations are decided under {revision}");
                self.violation(Invariant::OneChangePerRevision, &details);
            }
            Commit::New(_) | Commit::None => {}
        }
    }

    /// Checks [`Invariant::CommittedIsNeverRejected`] for a rejected change.
    pub(in super::super) fn check_rejection(&mut self, node: usize, change: &Order, later: usize) {
        if self.history.is_committed(change) {
            let revision = change.revision;
            let details = format!("{revision} is rejected by {node}, {later} changes later");
            self.violation(Invariant::CommittedIsNeverRejected, &details);
        }
    }

    /// Checks [`Invariant::OneChangePerRevision`]: an acknowledged change is the one decided under its revision.
    pub(in super::super) fn check_is_committed(&mut self, node: usize, change: &Order) {
        if !self.history.is_committed(change) {
            let revision = change.revision;
            let details = format!("{revision} is acknowledged by {node} and is not decided");
            self.violation(Invariant::OneChangePerRevision, &details);
        }
    }

    /// Records a violation of [`Invariant::OneChangePerRevision`]: a rival of a committed change was acknowledged.
    pub(in super::super) fn on_rival_acknowledged(&mut self, node: usize, change: &Order) {
        let revision = change.revision;
        let details = format!("another change of {revision} is acknowledged by {node}");
        self.violation(Invariant::OneChangePerRevision, &details);
    }

    /// Checks [`Invariant::OneChangePerRevision`] and [`Invariant::OneChangePerBase`] for a newly acknowledged change.
    pub(in super::super) fn check_acknowledgement(&mut self, node: usize, change: &Order) {
        self.report.coverage.acknowledgements += 1;
        self.check_is_committed(node, change);
        let (base, revision) = (change.base, change.revision);
        let other = self.history.acknowledged_on.insert(base, revision);
        if let Some(other) = other.filter(|other| *other != revision) {
            let details = format!("{other} and {revision} are both acknowledged on top of {base}");
            self.violation(Invariant::OneChangePerBase, &details);
        }
    }

    /// Checks [`Invariant::ReadsAreNewest`] and [`Invariant::AcknowledgedLasts`] for a read that returned `value` and
    /// was sent after `acknowledged` had been acknowledged.
    pub(in super::super) fn check_read(&mut self, acknowledged: Revision, value: &Value) {
        self.report.coverage.reads += 1;
        let revision = Revision::of(value);
        if revision < acknowledged {
            let details = format!("{revision} was read, {acknowledged} was acknowledged");
            self.violation(Invariant::ReadsAreNewest, &details);
        }
        let change = self.history.acknowledged.get(&revision);
        if change.is_some_and(|change| change.document != value.document) {
            let details = format!("{revision} reads back as another");
            self.violation(Invariant::AcknowledgedLasts, &details);
        }
    }
}
