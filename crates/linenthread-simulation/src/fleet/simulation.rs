//! A schedule from start to end, event by event.

use linenthread_core::interface::TenthMillis;
use linenthread_fleet::Fleet;

use super::event::Event;
use super::invariant::Invariant;
use super::world::{MAX_VIOLATIONS, World};
use super::{FAULTS_END, Outcome, RECOVERY_TIME, SECOND, STABLE_TIME};

/// The minimum time between two checks of [`World::run_until`] whether to stop.
const STOP_CHECK_INTERVAL: TenthMillis = 1_000;

impl World {
    /// Runs the schedule and returns its outcome.
    pub(super) fn run(mut self) -> Outcome {
        for index in 0..self.processes.len() {
            let wait = self.random_time(0..20_000);
            self.schedule(wait, Event::Start(index));
        }
        self.schedule(SECOND, Event::Propose);
        // Faults may be injected even while the fleet is being bootstrapped.
        let first = self.random_time(0..100_000);
        self.schedule(first, Event::Fault);
        self.run_until(FAULTS_END, |_| false);
        self.end_faults();
        self.run_recovery();
        if self.proposals > 0 && self.committed.is_empty() {
            self.record_violation(Invariant::Commits, "no value was ever committed");
        }
        Outcome {
            violations: self.violations,
            totals: self.totals,
        }
    }

    /// Runs after the end of all faults until the fleet is complete and stays complete for [`STABLE_TIME`].
    fn run_recovery(&mut self) {
        let started_at = self.now;
        let mut complete_since = None;
        let recovered = self.run_until(started_at + RECOVERY_TIME, |world| {
            complete_since = match world.why_incomplete() {
                None => complete_since.or(Some(world.now)),
                Some(_) => None,
            };
            complete_since.is_some_and(|since| world.now >= since + STABLE_TIME)
        });
        self.totals.recovered_after = self.now - started_at;
        if !recovered && self.violations.is_empty() {
            let cause = self.why_incomplete();
            let cause = cause.unwrap_or_else(|| "it does not last".into());
            let seconds = RECOVERY_TIME / SECOND;
            self.record_violation(
                Invariant::Recovers,
                &format!("not complete {seconds} s after all faults ended: {cause}"),
            );
        }
    }

    /// Handles events until `end` or until `stop` returns true. Returns whether `stop` did.
    pub(super) fn run_until(
        &mut self,
        end: TenthMillis,
        mut stop: impl FnMut(&World) -> bool,
    ) -> bool {
        let mut checked_at = self.now;
        while let Some((at, event)) = self.events.pop_by(end) {
            self.now = at;
            self.handle(event);
            if self.violations.len() > MAX_VIOLATIONS {
                return false;
            }
            if self.now >= checked_at + STOP_CHECK_INTERVAL {
                checked_at = self.now;
                if stop(self) {
                    return true;
                }
            }
        }
        false
    }

    /// Handles an event, or keeps it for later if the receiving process is paused.
    pub(super) fn handle(&mut self, event: Event) {
        let receiver = self.receiver(&event);
        if let Some(index) = receiver.filter(|index| self.processes[*index].is_paused) {
            self.processes[index].waiting.push(event);
            return;
        }
        match event {
            Event::Wake(index, timer) => {
                if self.processes[index].timer == timer {
                    self.processes[index].wake_at = TenthMillis::MAX;
                    self.call_process(index, Fleet::wake);
                }
            }
            Event::Connect {
                from,
                connection,
                to,
            } => self.on_connect(from, connection, to),
            Event::Bytes { link, side, bytes } => self.on_bytes(link, side, &bytes),
            Event::Closed { link, side } => self.on_closed(link, side),
            Event::Datagram { to, bytes } => {
                self.call_process(to, |fleet, now, actions| {
                    fleet.on_datagram(now, &bytes, actions);
                });
            }
            Event::Start(index) => self.start(index),
            Event::Resume(index) => self.resume(index),
            Event::Restart => self.restart_random(),
            Event::Heal => self.network.partitions.clear(),
            Event::Fault => self.inject_fault(),
            Event::Propose => self.propose(),
        }
    }
}
