//! Decides which control node is tried next, and after which delay.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use linenthread_time::Instant;
use oorandom::Rand64;

/// The initial delay between two sessions, in milliseconds.
const MIN_BACKOFF_MS: u64 = 50;
/// The maximum delay between two sessions, in milliseconds.
const MAX_BACKOFF_MS: u64 = 800;
/// A session that lasted longer than this resets the backoff.
const STABLE_SESSION: Duration = Duration::from_secs(5);

/// The history of sessions from which the next control node and the delay are chosen.
pub(super) struct SessionSchedule {
    random: Rand64,
    /// When the last session with each control node ended.
    ended_at: HashMap<SocketAddr, Instant>,
    backoff: Backoff,
}

impl SessionSchedule {
    pub(super) fn new(seed: u64) -> SessionSchedule {
        SessionSchedule {
            random: Rand64::new(u128::from(seed)),
            ended_at: HashMap::new(),
            backoff: Backoff::new(),
        }
    }

    /// Sorts control nodes in the order in which to try them: first the one whose last session ended longest ago. Ties
    /// are broken in favour of the local zone, then at random.
    pub(super) fn sort_by_preference(
        &mut self,
        control_nodes: &mut [SocketAddr],
        is_remote: impl Fn(&SocketAddr) -> bool,
    ) {
        control_nodes.sort_by_cached_key(|address| {
            let ended_at = self.ended_at.get(address).copied();
            (
                ended_at.unwrap_or(Instant::START),
                is_remote(address),
                self.random.rand_u64(),
            )
        });
    }

    /// Records a session that has ended. Returns the delay until the next one.
    pub(super) fn on_session_ended(&mut self, session: &EndedSession) -> Duration {
        self.ended_at.insert(session.control_node, session.ended_at);
        let was_stable = session.ended_at > session.started_at + STABLE_SESSION;
        // While sessions have ended with at most half of the control nodes, the delay stays at the minimum, so that the
        // others are tried soon.
        let has_untried = self.ended_at.len() <= session.candidates / 2;
        if was_stable || has_untried {
            self.backoff.reset();
        } else {
            self.backoff.increase();
        }
        self.backoff.random_delay(&mut self.random)
    }
}

/// A session that has ended or could not be established.
pub(super) struct EndedSession {
    pub(super) control_node: SocketAddr,
    pub(super) started_at: Instant,
    pub(super) ended_at: Instant,
    /// The number of known control nodes.
    pub(super) candidates: usize,
}

/// The delay between two sessions, which grows exponentially while sessions fail.
struct Backoff {
    delay_ms: u64,
}

impl Backoff {
    fn new() -> Backoff {
        Backoff {
            delay_ms: MIN_BACKOFF_MS,
        }
    }

    fn reset(&mut self) {
        self.delay_ms = MIN_BACKOFF_MS;
    }

    fn increase(&mut self) {
        self.delay_ms = (self.delay_ms * 2).min(MAX_BACKOFF_MS);
    }

    /// Returns a random delay of at least half and at most all of the current backoff, so that nodes that lost their
    /// sessions at the same time do not reconnect at the same time.
    fn random_delay(&self, random: &mut Rand64) -> Duration {
        let half = self.delay_ms / 2;
        Duration::from_millis(half + random.rand_range(0..half + 1))
    }
}
