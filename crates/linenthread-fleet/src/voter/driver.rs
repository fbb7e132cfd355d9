//! Raft's clock and its requests: persist, send, apply.

use linenthread_core::interface::TenthMillis;
use linenthread_frames::Decoder;
use linenthread_store::Files;
use oorandom::Rand64;
use raft::eraftpb::{Entry, EntryType, Message, Snapshot};
use raft::{RawNode, Ready, Storage};
use snafu::ResultExt;

use super::{CommittedValue, ELECTION_TICKS, HEARTBEAT_TICKS, State, TICK, Voter, VoterAction};
use crate::error::{RaftSnafu, StartError, StateSnafu, StorageError};
use crate::event::FleetEvent;
use crate::frame::Frame;
use crate::state_table::{ConditionalWrite, StateTable};
use crate::storage::VoterStorage;

/// The most bytes of entries in one message.
const MAX_MESSAGE_BYTES: u64 = 128 * 1024;
/// The most messages with entries that are under way to one voter.
const MAX_MESSAGES_IN_FLIGHT: usize = 64;
/// The most bytes of proposals that wait to be committed.
const MAX_UNCOMMITTED_BYTES: u64 = 1024 * 1024;
/// The most bytes of entries that are applied at once.
const MAX_APPLIED_BYTES: u64 = 512 * 1024;
/// A leader that was suspended catches up with so many ticks: after two checks of its quorum it has stepped down.
const MAX_MISSED_LEADER_TICKS: usize = 2 * ELECTION_TICKS + 2;
/// Mixes a term into an election seed (the golden ratio as a 64-bit fraction).
const TERM_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

impl<F: Files> Voter<F> {
    /// Begins to take part with what is on the disk.
    pub(super) fn start_raft(&mut self, actions: &mut Vec<VoterAction>) {
        let starting = State::Stopped("it begins".into());
        let State::Waiting(storage) = std::mem::replace(&mut self.state, starting) else {
            return;
        };
        let Some(identity) = storage.identity() else {
            return;
        };
        let config = raft::Config {
            id: identity.id(),
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            applied: storage.applied(),
            max_size_per_msg: MAX_MESSAGE_BYTES,
            max_inflight_msgs: MAX_MESSAGES_IN_FLIGHT,
            check_quorum: true,
            pre_vote: true,
            max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
            max_committed_size_per_ready: MAX_APPLIED_BYTES,
            ..raft::Config::default()
        };
        match self.start_node(&config, *storage) {
            Ok((table, node)) => {
                self.table = table;
                self.state = State::Active(Box::new(node));
                self.report_all_values(actions);
                self.drive(actions);
            }
            Err(source) => self.stop(StorageError::Start { source }, actions),
        }
    }

    fn start_node(
        &mut self,
        config: &raft::Config,
        storage: VoterStorage<F>,
    ) -> Result<(StateTable, RawNode<VoterStorage<F>>), StartError> {
        let table = storage.state().context(StateSnafu)?;
        self.conf_state = storage.initial_state().context(RaftSnafu)?.conf_state;
        self.applied = storage.applied();
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(config, storage, &logger).context(RaftSnafu)?;
        Ok((table, node))
    }

    /// Reports all values as committed, as after a snapshot.
    fn report_all_values(&self, actions: &mut Vec<VoterAction>) {
        actions.extend(self.table.values().map(|(topic, number, value)| {
            VoterAction::Committed(CommittedValue {
                topic: topic.to_owned(),
                number,
                value: value.to_vec(),
            })
        }));
    }

    /// Sets a random election time-out of its own. It depends on the seed, the term and the role only, so that a seed
    /// always gives the same.
    pub(super) fn set_election_timeout(&mut self) {
        if let State::Active(node) = &mut self.state {
            let term = node.raft.term.wrapping_mul(TERM_MULTIPLIER);
            let seed = self.election_seed ^ term ^ node.raft.state as u64;
            let mut rng = Rand64::new(u128::from(seed));
            let random_ticks = rng.rand_range(0..ELECTION_TICKS as u64) as usize;
            let timeout = ELECTION_TICKS + random_ticks;
            node.raft.set_randomized_election_timeout(timeout);
        }
    }

    /// Lets Raft's clock catch up with the time.
    pub(super) fn run_clock(&mut self, now: TenthMillis, actions: &mut Vec<VoterAction>) {
        if !matches!(self.state, State::Active(_)) {
            self.ticked_until = now;
            return;
        }
        let missed = ((now - self.ticked_until) / TICK).max(0);
        self.ticked_until += missed * TICK;
        // One that follows need not hurry to an election.
        let max_ticks = if self.has_leader_role() {
            MAX_MISSED_LEADER_TICKS
        } else {
            HEARTBEAT_TICKS
        };
        let ticks = usize::try_from(missed).map_or(max_ticks, |missed| missed.min(max_ticks));
        for _ in 0..ticks {
            if let State::Active(node) = &mut self.state {
                node.tick();
            }
            self.set_election_timeout();
            self.drive(actions);
        }
    }

    /// Does what Raft requests, and sends nothing that relies on a record before that is synced.
    pub(super) fn drive(&mut self, actions: &mut Vec<VoterAction>) {
        loop {
            match &self.state {
                State::Active(node) if node.has_ready() => {}
                State::Active(_) => break,
                State::Waiting(_) | State::Stopped(_) => return,
            }
            if let Err(cause) = self.handle_ready(actions) {
                return self.stop(cause, actions);
            }
        }
        self.note_leadership(actions);
    }

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
        for message in messages {
            self.send(message, actions);
        }
        for answer in &read_states {
            self.lease.on_answer(answer);
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

    fn send(&self, message: Message, actions: &mut Vec<VoterAction>) {
        if let Some(name) = self.voter_name(message.to) {
            actions.push(VoterAction::Send {
                to: name.to_owned(),
                frame: Frame::Raft(Box::new(message)),
            });
        }
    }

    /// Takes over the state of a leader's snapshot.
    fn restore(&mut self, snapshot: &Snapshot, actions: &mut Vec<VoterAction>) {
        let metadata = snapshot.get_metadata();
        self.conf_state = metadata.get_conf_state().clone();
        self.applied = metadata.index;
        self.table = StateTable::decode(&snapshot.data).unwrap_or_default();
        self.report_all_values(actions);
    }

    /// Applies one committed entry.
    fn apply(&mut self, entry: &Entry, actions: &mut Vec<VoterAction>) {
        self.applied = entry.index;
        if entry.entry_type == EntryType::EntryConfChange {
            self.apply_change(entry, actions);
        } else if !entry.data.is_empty()
            && let Ok(write) = ConditionalWrite::decode(&mut Decoder::new(&entry.data))
        {
            self.apply_write(write, actions);
        }
    }

    fn apply_write(&mut self, write: ConditionalWrite, actions: &mut Vec<VoterAction>) {
        let (topic, value) = (write.topic.clone(), write.value.clone());
        if let Some(number) = self.table.apply(write) {
            actions.push(VoterAction::Committed(CommittedValue {
                topic,
                number,
                value,
            }));
        }
    }

    /// Tells Raft how far entries are applied, and compacts the log where it is long.
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

    /// Notes whether this process has begun or ceased to lead.
    fn note_leadership(&mut self, actions: &mut Vec<VoterAction>) {
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
