//! Schedules the periodic work of a control node.
//!
//! | work | how often |
//! | --- | --- |
//! | retries of work that waits for messages which may be lost | every [`RETRY_INTERVAL`] while there is such work |
//! | upkeep: time-outs, dialling, sending changed replicas to peers and writing them to disk | every [`UPKEEP_INTERVAL`] |
//! | heartbeats, then leases, quota grants and voter changes | with the first upkeep after [`PEER_HEARTBEAT_INTERVAL`] |

use std::time::Duration;

use linenthread_time::Instant;

use crate::timing::{PEER_HEARTBEAT_INTERVAL, RETRY_INTERVAL, UPKEEP_INTERVAL};

/// The time at which each kind of periodic work was last done.
pub(crate) struct TickSchedule {
    last_tick: Instant,
    last_upkeep: Instant,
    last_heartbeat: Instant,
}

impl TickSchedule {
    /// Creates a schedule by which all work is due immediately.
    pub(crate) fn new() -> TickSchedule {
        TickSchedule {
            last_tick: Instant::START,
            last_upkeep: Instant::START,
            last_heartbeat: Instant::START,
        }
    }

    /// Makes upkeep and heartbeats due immediately.
    pub(crate) fn expedite(&mut self) {
        self.last_heartbeat = Instant::START;
        self.last_upkeep = Instant::START;
    }

    /// Returns when the next tick is due. `awaits_messages` is true if any work waits for messages that may be lost.
    pub(crate) fn next_tick_at(&self, awaits_messages: bool) -> Instant {
        let retry_at = if awaits_messages {
            self.last_tick + RETRY_INTERVAL
        } else {
            Instant::NEVER
        };
        retry_at.min(self.last_upkeep + UPKEEP_INTERVAL)
    }

    /// Records the start of a tick, whichever work is due.
    pub(crate) fn on_tick(&mut self, now: Instant) {
        self.last_tick = now;
    }

    /// Reports whether upkeep is due, and if so records it as done.
    pub(crate) fn begin_upkeep(&mut self, now: Instant) -> bool {
        begin_if_due(&mut self.last_upkeep, now, UPKEEP_INTERVAL)
    }

    /// Reports whether heartbeats are due, and if so records them as sent.
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
