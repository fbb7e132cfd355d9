//! Handles Raft's output: persists, sends and applies.

use linenthread_frames::Decoder;
use linenthread_store::Files;
use raft::Ready;
use raft::eraftpb::{Entry, EntryType, Message, Snapshot};

use super::stage::State;
use super::{Voter, VoterAction};
use crate::error::StorageError;
use crate::event::FleetEvent;
use crate::frame::Frame;
use crate::state_table::{ConditionalWrite, StateTable};
use crate::storage::VoterStorage;

impl<F: Files> Voter<F> {
    /// Handles all of Raft's pending output. No message is sent before the records that it relies on are synced.
    pub(super) fn drive(&mut self, actions: &mut Vec<VoterAction>) {
        loop {
            match &self.state {
                State::Active(node) if node.has_ready() => {}
                State::Active(_) => break,
                State::Empty(_) | State::Founded(_) | State::Stopped(_) => return,
            }
            if let Err(cause) = self.handle_ready(actions) {
                return self.stop(cause, actions);
            }
        }
        self.update_leadership(actions);
    }

    /// Handles one `Ready` in the order that the raft library requires: persist, then advance, and only then send and
    /// apply. A value that is reported as committed is never undone (*committed-lasts*), because no message that
    /// relies on this voter's disk is sent before the disk is synced.
    fn handle_ready(&mut self, actions: &mut Vec<VoterAction>) -> Result<(), StorageError> {
        let State::Active(node) = &mut self.state else {
            return Ok(());
        };
        let mut ready = node.ready();
        let mut messages = ready.take_messages();
        let snapshot = (!ready.snapshot().is_empty()).then(|| ready.snapshot().clone());
        persist(node.mut_store(), &ready, snapshot.clone())?;
        let read_states = ready.take_read_states();
        messages.extend(ready.take_persisted_messages());
        let mut committed = ready.take_committed_entries();
        let mut light_ready = node.advance(ready);
        if let Some(commit) = light_ready.commit_index() {
            node.mut_store().set_commit(commit);
        }
        committed.extend(light_ready.take_committed_entries());
        messages.extend(light_ready.take_messages());
        self.send_all(messages, actions);
        for response in &read_states {
            self.lease.on_response(response);
        }
        if let Some(snapshot) = snapshot {
            self.restore(&snapshot, actions);
        }
        for entry in &committed {
            self.apply(entry, actions);
        }
        self.finish_applying()?;
        self.set_election_timeout();
        Ok(())
    }

    fn send_all(&self, messages: Vec<Message>, actions: &mut Vec<VoterAction>) {
        for message in messages {
            if let Some(name) = self.voter_name(message.to) {
                actions.push(VoterAction::Send {
                    to: name.to_owned(),
                    frame: Frame::Raft(Box::new(message)),
                });
            }
        }
    }

    /// Reports all values as committed, because it is not known which of them the caller has already received.
    pub(super) fn report_all_values(&self, actions: &mut Vec<VoterAction>) {
        let committed = self.table.committed_values();
        actions.extend(committed.map(VoterAction::Committed));
    }

    /// Replaces the replicated state with that of a leader's snapshot.
    fn restore(&mut self, snapshot: &Snapshot, actions: &mut Vec<VoterAction>) {
        let metadata = snapshot.get_metadata();
        self.conf_state = metadata.get_conf_state().clone();
        self.applied = metadata.index;
        self.table = StateTable::decode(&snapshot.data).unwrap_or_default();
        self.report_all_values(actions);
    }

    /// Applies one committed entry. A write that is not based on the current value has no effect, at all voters alike.
    fn apply(&mut self, entry: &Entry, actions: &mut Vec<VoterAction>) {
        self.applied = entry.index;
        if entry.entry_type == EntryType::EntryConfChange {
            self.apply_change(entry, actions);
        } else if !entry.data.is_empty()
            && let Ok(write) = ConditionalWrite::decode(&mut Decoder::new(&entry.data))
            && let Some(committed) = self.table.apply(write)
        {
            actions.push(VoterAction::Committed(committed));
        }
    }

    /// Reports the applied index to Raft, and compacts the log if it is long or a voter was added.
    fn finish_applying(&mut self) -> Result<(), StorageError> {
        let State::Active(node) = &mut self.state else {
            return Ok(());
        };
        node.advance_apply_to(self.applied);
        let voter_added = std::mem::take(&mut self.voter_added);
        if voter_added || node.store().needs_compaction(self.applied) {
            let storage = node.mut_store();
            storage.compact(self.applied, &self.conf_state, &self.table)?;
        }
        Ok(())
    }

    /// Logs that this process has become the leader or is no longer the leader, and resets its lease then.
    fn update_leadership(&mut self, actions: &mut Vec<VoterAction>) {
        let is_leader = self.has_leader_role();
        if is_leader == self.was_leader {
            return;
        }
        self.was_leader = is_leader;
        self.lease.reset();
        let term = self.term();
        actions.push(VoterAction::Log(if is_leader {
            FleetEvent::LeadershipAcquired { term }
        } else {
            FleetEvent::LeadershipLost { term }
        }));
    }
}

fn persist<F: Files>(
    storage: &mut VoterStorage<F>,
    ready: &Ready,
    snapshot: Option<Snapshot>,
) -> Result<(), StorageError> {
    if let Some(snapshot) = snapshot {
        storage.install(snapshot)?;
    }
    storage.append(ready.entries())?;
    if let Some(hard_state) = ready.hs() {
        storage.set_hard_state(hard_state)?;
    }
    if ready.must_sync() {
        storage.sync()?;
    }
    Ok(())
}
