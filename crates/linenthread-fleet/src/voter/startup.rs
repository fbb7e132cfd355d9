//! The start of Raft with what is on the disk.

use linenthread_store::Files;
use raft::{RawNode, Storage};
use snafu::ResultExt;

use super::clock::{ELECTION_TICKS, HEARTBEAT_TICKS};
use super::stage::State;
use super::{Voter, VoterAction};
use crate::error::{RaftSnafu, StartError, StateSnafu, StorageError};
use crate::state_table::StateTable;
use crate::storage::VoterStorage;
use crate::voter_identity::{RaftId, VoterIdentity};

/// The most bytes of entries in one message.
const MAX_MESSAGE_BYTES: u64 = 128 * 1024;
/// The most messages with entries that are under way to one voter.
const MAX_MESSAGES_IN_FLIGHT: usize = 64;
/// The most bytes of proposals that wait to be committed.
const MAX_UNCOMMITTED_BYTES: u64 = 1024 * 1024;
/// The most bytes of entries that are applied at once.
const MAX_APPLIED_BYTES: u64 = 512 * 1024;

/// Raft with its disk, and the state that the disk's snapshot holds.
struct StartedNode<F: Files> {
    node: RawNode<VoterStorage<F>>,
    table: StateTable,
}

impl<F: Files> Voter<F> {
    /// Begins to take part with what is on the disk.
    pub(super) fn start_raft(&mut self, actions: &mut Vec<VoterAction>) {
        let Some(storage) = self.state.take_waiting_storage() else {
            return;
        };
        let Some(id) = storage.identity().map(VoterIdentity::id) else {
            return;
        };
        match self.start_node(id, *storage) {
            Ok(StartedNode { node, table }) => {
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
        id: RaftId,
        storage: VoterStorage<F>,
    ) -> Result<StartedNode<F>, StartError> {
        let table = storage.state().context(StateSnafu)?;
        self.conf_state = storage.initial_state().context(RaftSnafu)?.conf_state;
        self.applied = storage.snapshot_index();
        let config = raft_config(id, self.applied);
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&config, storage, &logger).context(RaftSnafu)?;
        Ok(StartedNode { node, table })
    }
}

/// With a pre-vote and a check of the quorum, a voter that is cut off neither disturbs the others when it comes back
/// nor believes that it leads.
fn raft_config(id: RaftId, applied: u64) -> raft::Config {
    raft::Config {
        id,
        election_tick: ELECTION_TICKS,
        heartbeat_tick: HEARTBEAT_TICKS,
        applied,
        max_size_per_msg: MAX_MESSAGE_BYTES,
        max_inflight_msgs: MAX_MESSAGES_IN_FLIGHT,
        check_quorum: true,
        pre_vote: true,
        max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
        max_committed_size_per_ready: MAX_APPLIED_BYTES,
        ..raft::Config::default()
    }
}
