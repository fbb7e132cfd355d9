//! How replicas process the attempts that arrive.

use linenthread_core::interface::AttemptOutcome;

use super::event::{AttemptIndex, Event};
use super::world::{Attempt, World};
use super::{CORES, SERVICE_TIME};
use crate::number;

impl World {
    /// Handles the arrival of an attempt at its replica. A replica that is down refuses the connection; one that warms
    /// up may fail from overload.
    pub(super) fn on_arrival(&mut self, attempt: AttemptIndex) {
        let replica = self.attempts[attempt].replica;
        if !self.replicas[replica].is_up {
            return self.respond(attempt, AttemptOutcome::ConnectFailed);
        }
        self.attempts[attempt].queue_depth = number::to_u32(self.replicas[replica].queue.len());
        self.replicas[replica].queue.push_back(attempt);
        let speed = self.speed(replica);
        if self.replicas[replica].fails_on_arrival(self.now, speed) {
            self.totals.failed_replicas += 1;
            self.stop_replica(replica);
        }
        self.process_queue(replica);
    }

    /// Starts to process queued attempts while the replica has free cores.
    fn process_queue(&mut self, replica: usize) {
        let speed = self.speed(replica);
        while self.replicas[replica].processing.len() < CORES
            && let Some(attempt) = self.replicas[replica].queue.pop_front()
        {
            // Attempts that are over for the coordinator, such as cancelled ones, are skipped.
            if self.attempts[attempt].is_over {
                continue;
            }
            let duration = SERVICE_TIME / speed * (0.5 + self.rng.rand_float());
            self.replicas[replica].processing.push(attempt);
            let processed = Event::Processed {
                replica,
                attempt,
                incarnation: self.replicas[replica].incarnation,
            };
            self.schedule(number::time_from_f64(duration), processed);
        }
    }

    /// Completes an attempt at a replica. A partition drops the response.
    pub(super) fn on_processed(&mut self, replica: usize, attempt: AttemptIndex) {
        let processing = &mut self.replicas[replica].processing;
        processing.retain(|other| *other != attempt);
        if !self.is_unreachable(self.attempts[attempt].coordinator, replica) {
            self.respond(attempt, AttemptOutcome::Success);
        }
        self.process_queue(replica);
    }

    /// Stops a replica. The connections of all its attempts, queued or in processing, are lost.
    pub(super) fn stop_replica(&mut self, replica: usize) {
        for attempt in self.replicas[replica].stop() {
            self.respond(attempt, AttemptOutcome::ConnectionLost);
        }
    }

    /// Sends the outcome to the attempt's coordinator.
    fn respond(&mut self, attempt: AttemptIndex, outcome: AttemptOutcome) {
        let Attempt {
            coordinator,
            replica,
            ..
        } = self.attempts[attempt];
        let latency = self.latency(coordinator, replica);
        self.schedule(latency, Event::Respond { attempt, outcome });
    }
}
