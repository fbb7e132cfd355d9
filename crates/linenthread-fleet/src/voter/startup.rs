//! Starts Raft from the stored state.

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

/// Maximum total size of the entries in a message, in bytes.
const MAX_MESSAGE_BYTES: u64 = 128 * 1024;
/// Maximum number of messages with entries in flight to a voter.
const MAX_MESSAGES_IN_FLIGHT: usize = 64;
/// Maximum total size of proposals that wait to be committed, in bytes.
const MAX_UNCOMMITTED_BYTES: u64 = 1024 * 1024;
/// Maximum total size of the entries that are applied at once, in bytes.
const MAX_APPLIED_BYTES: u64 = 512 * 1024;

/// A started Raft node, and the replicated state in its storage's snapshot.
struct StartedNode<F: Files> {
    node: RawNode<VoterStorage<F>>,
    table: StateTable,
}

impl<F: Files> Voter<F> {
    /// Starts to participate in Raft from the stored state.
    pub(super) fn start_raft(&mut self, actions: &mut Vec<VoterAction>) {
        let Some(storage) = self.state.take_inactive_storage() else {
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

/// Returns Raft's configuration. With pre-vote and check-quorum, a partitioned voter neither disrupts the others when
/// it reconnects nor continues to act as the leader.
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
