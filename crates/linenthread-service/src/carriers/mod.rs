//! The ways on which part calls travel. A carrier ends each part call exactly once, and its ending says honestly
//! whether the part ran, may have run, or never left.

pub mod frames;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use linenthread_core::interface::Ending;
use tokio::sync::mpsc;

use frames::Replicas;

/// How a part call ended, told to its lookup.
#[derive(Debug)]
pub struct Ended {
    pub part: usize,
    pub call: usize,
    pub ending: Ending,
    pub queue: Option<f64>,
    pub value: String,
}

/// One part of a part call.
#[derive(Clone, Debug)]
pub struct Asked {
    pub part: usize,
    pub call: usize,
    pub shard: usize,
    /// How many times it was asked on before.
    pub round: u32,
    pub text: Rc<str>,
}

/// What connections may do.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
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

/// Every replica, whichever way it is reached.
#[derive(Clone)]
pub struct Carriers {
    frames: Replicas,
}

/// A part out at a replica. Dropping it gives the part up, unless it has ended.
pub enum PartOut {
    Frames(frames::PartOut),
}

impl PartOut {
    /// Its time is up: a connection on which nothing came meanwhile is not trusted with more.
    pub fn timed_out(&self) {
        match self {
            PartOut::Frames(out) => out.timed_out(),
        }
    }
}

impl Carriers {
    pub fn new(limits: Limits) -> Self {
        Carriers { frames: Replicas::new(limits) }
    }

    /// Where a replica is found from now on.
    pub fn place(&self, replica: usize, address: Option<SocketAddr>) {
        self.frames.place(replica, address);
    }

    /// Whether nothing is open to a replica that is found nowhere: then its index may stand for another.
    pub fn is_vacant(&self, replica: usize) -> bool {
        self.frames.is_vacant(replica)
    }

    /// Sends parts of one lookup to one replica as one part call.
    pub fn call(
        &self,
        replica: usize,
        lookup: &str,
        asked: &[Asked],
        wait_ms: u64,
        to: &mpsc::UnboundedSender<Ended>,
    ) -> Vec<Option<PartOut>> {
        let out = self.frames.call(replica, lookup, asked, wait_ms, to);
        out.into_iter().map(|out| out.map(PartOut::Frames)).collect()
    }

    /// Asks a replica how it fares.
    pub async fn probe(&self, replica: usize) -> (Ending, Option<f64>) {
        self.frames.probe(replica).await
    }
}
