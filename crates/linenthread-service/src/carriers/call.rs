//! What every carrier takes and gives back, and what it may use.

use std::rc::Rc;
use std::time::Duration;

use linenthread_core::interface::AttemptOutcome;
use tokio::sync::mpsc;

/// How a part call ended, told to its lookup.
#[derive(Debug)]
pub(crate) struct Ended {
    pub part: usize,
    pub call: usize,
    pub ending: AttemptOutcome,
    pub queue: Option<f64>,
    pub value: String,
}

impl Ended {
    pub(crate) fn without_value(part: usize, call: usize, ending: AttemptOutcome) -> Ended {
        Ended {
            part,
            call,
            ending,
            queue: None,
            value: String::new(),
        }
    }
}

/// Ends parts that never left this side.
pub(crate) fn unsent<T>(asked: &[Asked], to: &mpsc::UnboundedSender<Ended>) -> Vec<Option<T>> {
    for Asked { part, call, .. } in asked {
        to.send(Ended::without_value(*part, *call, AttemptOutcome::NotSent))
            .ok();
    }
    asked.iter().map(|_| None).collect()
}

/// One part of a part call.
#[derive(Clone, Debug)]
pub(crate) struct Asked {
    pub part: usize,
    pub call: usize,
    pub shard: usize,
    /// How many times it was asked on before.
    pub round: u32,
    pub text: Rc<str>,
    /// What its lookup is worth, in thousandths: where a link is short of room the most goes first.
    pub gain: u32,
}

/// What connections may do.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    /// Part calls that one connection carries at once.
    pub streams: usize,
    /// Replicas may be told of parts that are given up.
    pub withdraw: bool,
    pub connect: Duration,
    pub probe: Duration,
    /// An idle connection is closed after so long, before the replica does.
    pub idle: Duration,
    /// Connections in all.
    pub connections: usize,
}
