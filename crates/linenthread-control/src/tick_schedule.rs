//! When the periodic work of a control node is due.
//!
//! | work | how often |
//! | --- | --- |
//! | retries: what waits for messages that may be lost | every [`RETRY_INTERVAL`] while anything waits |
//! | upkeep: time-outs, dialling, changed replicas to peers and to the disk | every [`UPKEEP_INTERVAL`] |
//! | heartbeats, and what follows from them: leases, quota grants, voters | with the first upkeep after [`PEER_HEARTBEAT_INTERVAL`] |

use std::time::Duration;

use linenthread_time::Instant;

use crate::timing::{PEER_HEARTBEAT_INTERVAL, RETRY_INTERVAL, UPKEEP_INTERVAL};

/// When each kind of periodic work was last done.
pub(crate) struct TickSchedule {
    last_tick: Instant,
    last_upkeep: Instant,
    last_heartbeat: Instant,
}

impl TickSchedule {
    /// All is due at once.
    pub(crate) fn new() -> TickSchedule {
        TickSchedule {
            last_tick: Instant::START,
            last_upkeep: Instant::START,
            last_heartbeat: Instant::START,
        }
    }

    /// Makes upkeep and heartbeats due at once.
    pub(crate) fn expedite(&mut self) {
        self.last_heartbeat = Instant::START;
        self.last_upkeep = Instant::START;
    }

    /// When the next tick is due; `awaits_messages` if something waits for messages that may be lost.
    pub(crate) fn next_tick_at(&self, awaits_messages: bool) -> Instant {
        let retry_at = if awaits_messages {
            self.last_tick + RETRY_INTERVAL
        } else {
            Instant::NEVER
        };
        retry_at.min(self.last_upkeep + UPKEEP_INTERVAL)
    }

    /// A tick begins, whatever is due with it.
    pub(crate) fn on_tick(&mut self, now: Instant) {
        self.last_tick = now;
    }

    /// Whether upkeep is due; if so, it is noted as done.
    pub(crate) fn begin_upkeep(&mut self, now: Instant) -> bool {
        begin_if_due(&mut self.last_upkeep, now, UPKEEP_INTERVAL)
    }

    /// Whether heartbeats are due; if so, they are noted as sent.
    pub(crate) fn begin_heartbeat(&mut self, now: Instant) -> bool {
        begin_if_due(&mut self.last_heartbeat, now, PEER_HEARTBEAT_INTERVAL)
    }
}

fn begin_if_due(last: &mut Instant, now: Instant, interval: Duration) -> bool {
    let is_due = now >= *last + interval;
    if is_due {
        *last = now;
    }
    is_due
}
