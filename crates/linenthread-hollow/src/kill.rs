//! From the loss of a control node to the next acknowledgement, as a timeline.

use crate::scale::Scale;
use crate::world::{MEASURED_FROM, World};

/// An operator looks this often whether its change is acknowledged, and sends the next one after a rest.
const LOOK_EVERY: u64 = 50;
const REST: u64 = 500;
const WATCHED: u64 = 5_000;

/// How a node is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// The process ends and the kernel closes its connections.
    Killed,
    /// The machine is dark: nobody says anything.
    Dark,
}

#[derive(Debug)]
pub struct KillTimeline {
    pub loss: Loss,
    /// What happened, in milliseconds since the loss.
    pub lines: Vec<(i64, String)>,
    /// From the loss to the first acknowledgement of a change that was sent to a survivor after it.
    pub first_acknowledgement_ms: Option<u64>,
    /// From the loss until some survivor leads.
    pub next_leader_ms: Option<u64>,
}

/// Ends the leader of a small system and sends changes to the survivors from then on.
pub fn kill_timeline(scale: &Scale, loss: Loss) -> KillTimeline {
    let mut world = World::new(scale);
    world.run_until(MEASURED_FROM);
    world.trace = Some(Vec::new());
    let leads = |world: &World| {
        let now = world.now;
        world
            .nodes
            .iter()
            .position(|slot| slot.node.as_ref().is_some_and(|node| node.is_leader(now)))
    };
    let leader = leads(&world).unwrap_or(0);
    world.kill(leader, loss == Loss::Killed);
    let lost_at = world.now;
    // The first change goes out at once; each next one a while after the one before it is acknowledged.
    let (mut revision, mut next_leader) = (2, None);
    world.change_at(lost_at + 1, revision);
    let mut counted = world.acknowledged.len();
    while world.now < lost_at + WATCHED {
        let until = world.now + LOOK_EVERY;
        world.run_until(until);
        if next_leader.is_none() {
            next_leader = leads(&world).map(|_| world.now - lost_at);
        }
        if world.acknowledged.len() > counted {
            counted = world.acknowledged.len();
            revision += 1;
            world.change_at(world.now + REST, revision);
        }
    }
    let trace = world.trace.take().unwrap_or_default();
    let since = |at: u64| at as i64 - lost_at as i64;
    let first = trace.iter().find(|(_, line)| line.starts_with("operator:"));
    let first_acknowledgement_ms = first.map(|(at, _)| at - lost_at);
    let mut lines = vec![(
        0,
        format!("control-{leader:02}, which leads, is lost ({loss:?})"),
    )];
    lines.extend(trace.into_iter().map(|(at, line)| (since(at), line)));
    KillTimeline {
        loss,
        lines,
        first_acknowledgement_ms,
        next_leader_ms: next_leader,
    }
}
