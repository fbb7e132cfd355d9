//! From the loss of the leader to the next acknowledgement, as a timeline.

use std::time::Duration;

use linenthread_time::Instant;

use crate::loss::Loss;
use crate::scale::Scale;
use crate::world::{MEASURED_FROM, World, control_name};

/// How often the operator checks whether its change is acknowledged.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How long after an acknowledgement the operator sends the next change.
const CHANGE_DELAY: Duration = Duration::from_millis(500);
/// How long after the loss the system is watched.
const WATCHED: Duration = Duration::from_millis(5_000);
/// How long after the loss the first change is sent.
const FIRST_CHANGE_DELAY: Duration = Duration::from_millis(1);

/// A step of a [`LossTimeline`].
#[derive(Debug)]
pub struct TimelineStep {
    /// How long after the loss.
    pub since_loss: Duration,
    /// What happened.
    pub text: String,
}

/// What happened after the loss of the leader.
#[derive(Debug)]
pub struct LossTimeline {
    /// How it was lost.
    pub loss: Loss,
    /// What happened.
    pub steps: Vec<TimelineStep>,
    /// From the loss to the first acknowledgement of a change that was sent to a survivor after it.
    pub first_acknowledgement: Option<Duration>,
    /// From the loss until some survivor leads.
    pub next_leader: Option<Duration>,
}

/// Ends the leader of a small system and sends changes to the survivors from then on.
pub fn lose_leader(scale: &Scale, loss: Loss) -> LossTimeline {
    let mut world = World::new(scale);
    world.start();
    world.run_until(MEASURED_FROM);
    world.trace = Some(Vec::new());
    let leader = world.leader().unwrap_or(0);
    world.stop_control(leader, loss);
    let lost_at = world.now;
    let next_leader = watch(&mut world, lost_at);
    timeline(&mut world, loss, leader, lost_at, next_leader)
}

/// Sends a change at once, and each next one a while after the one before it is acknowledged. Returns when some
/// node led again.
fn watch(world: &mut World, lost_at: Instant) -> Option<Duration> {
    // Revision 1 is there already.
    let mut revision = 2;
    let mut next_leader = None;
    world.schedule_change(lost_at + FIRST_CHANGE_DELAY, revision);
    let mut acknowledged = world.acknowledged.len();
    while world.now < lost_at + WATCHED {
        world.run_until(world.now + CHECK_INTERVAL);
        if next_leader.is_none() && world.leader().is_some() {
            next_leader = Some(world.now.since(lost_at));
        }
        if world.acknowledged.len() > acknowledged {
            acknowledged = world.acknowledged.len();
            revision += 1;
            world.schedule_change(world.now + CHANGE_DELAY, revision);
        }
    }
    next_leader
}

fn timeline(
    world: &mut World,
    loss: Loss,
    leader: usize,
    lost_at: Instant,
    next_leader: Option<Duration>,
) -> LossTimeline {
    let trace = world.trace.take().unwrap_or_default();
    let first_acknowledgement = trace
        .iter()
        .find(|line| line.is_acknowledgement)
        .map(|line| line.at.since(lost_at));
    let loss_step = TimelineStep {
        since_loss: Duration::ZERO,
        text: format!("{}, which leads, is lost ({loss:?})", control_name(leader)),
    };
    let steps = trace.into_iter().map(|line| TimelineStep {
        since_loss: line.at.since(lost_at),
        text: line.text,
    });
    LossTimeline {
        loss,
        steps: std::iter::once(loss_step).chain(steps).collect(),
        first_acknowledgement,
        next_leader,
    }
}
