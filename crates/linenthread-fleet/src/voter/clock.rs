//! Raft's clock, in ticks, and the election timeout.

use linenthread_core::interface::TenthMillis;
use linenthread_store::Files;
use oorandom::Rand64;
use raft::StateRole;

use super::stage::State;
use super::{Voter, VoterAction};
use crate::random::random_index;

/// The interval of Raft's clock.
pub(super) const TICK: TenthMillis = 500;
/// Minimum election timeout, in ticks without a message from the leader; a random number below this is added to it.
const ELECTION_TICKS_U16: u16 = 20;
/// The minimum election timeout in ticks, in the type that Raft uses.
pub(super) const ELECTION_TICKS: usize = ELECTION_TICKS_U16 as usize;
/// The minimum election timeout as a time.
pub(super) const ELECTION_TIMEOUT: TenthMillis = TICK * ELECTION_TICKS_U16 as TenthMillis;
/// Interval of the leader's heartbeats, in ticks.
pub(super) const HEARTBEAT_TICKS: usize = 4;
/// Maximum number of missed ticks that a leader makes up for after a suspension: enough for two checks of its quorum,
/// after which it has stepped down.
const MAX_MISSED_LEADER_TICKS: usize = 2 * ELECTION_TICKS + 2;
/// Multiplier that mixes the term into the election seed (the golden ratio as a 64-bit fraction).
const TERM_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

impl<F: Files> Voter<F> {
    /// Returns the time by which [`Voter::wake`] must be called.
    pub fn wake_at(&self) -> TenthMillis {
        self.ticked_until + TICK
    }

    /// Advances Raft's clock to `now`.
    pub(super) fn run_clock(&mut self, now: TenthMillis, actions: &mut Vec<VoterAction>) {
        if !matches!(self.state, State::Active(_)) {
            self.ticked_until = now;
            return;
        }
        let missed = ((now - self.ticked_until) / TICK).max(0);
        self.ticked_until += missed * TICK;
        // A leader must notice that it was suspended before it acts as the leader again. Any other voter skips most of
        // the missed ticks, so that it does not start an election at once.
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

    /// Replaces Raft's random election timeout with one that depends only on the seed, the term and the role, so that
    /// runs are reproducible. Raft draws its own again whenever its term or role changes, so this must be called after
    /// each step that may change them.
    pub(super) fn set_election_timeout(&mut self) {
        if let State::Active(node) = &mut self.state {
            let term = node.raft.term.wrapping_mul(TERM_MULTIPLIER);
            let seed = self.election_seed ^ term ^ role_number(node.raft.state);
            let mut rng = Rand64::new(u128::from(seed));
            let timeout = ELECTION_TICKS + random_index(&mut rng, ELECTION_TICKS);
            node.raft.set_randomized_election_timeout(timeout);
        }
    }
}

fn role_number(role: StateRole) -> u64 {
    match role {
        StateRole::Follower => 0,
        StateRole::Candidate => 1,
        StateRole::Leader => 2,
        StateRole::PreCandidate => 3,
    }
}
