//! The ways on which part calls travel. A carrier ends each part call exactly once, and its ending says honestly
//! whether the part ran, may have run, or never left.

pub(crate) mod call;
pub(crate) mod frames;
pub(crate) mod link;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use linenthread_core::interface::AttemptOutcome;
use linenthread_link::routing;
use tokio::sync::mpsc;

use call::{Asked, Ended, Limits, unsent};
use frames::Replicas;

/// Where a replica is found.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Place {
    At(SocketAddr),
    /// Behind the peers of these numbers, under this id.
    Behind(Vec<usize>, Rc<str>),
}

/// Every replica, whichever way it is reached.
#[derive(Clone)]
pub(crate) struct Carriers(Rc<Inner>);

struct Inner {
    frames: Replicas,
    probe: Duration,
    peers: RefCell<Vec<link::Peer>>,
    /// Replicas that are reached over a link.
    behind: RefCell<BTreeMap<usize, Behind>>,
}

struct Behind {
    ways: Vec<usize>,
    id: Rc<str>,
    /// The way that was taken last.
    last: Option<usize>,
}

/// A part out at a replica. Dropping it gives the part up, unless it has ended.
pub(crate) enum PartOut {
    Frames(frames::PartOut),
    Link(#[allow(dead_code, reason = "held for its drop")] link::PartOut),
}

impl PartOut {
    /// Its time is up: a connection on which nothing came meanwhile is not trusted with more. A link judges
    /// itself by its beats.
    pub(crate) fn timed_out(&self) {
        match self {
            PartOut::Frames(out) => out.timed_out(),
            PartOut::Link(_) => {}
        }
    }
}

impl Carriers {
    pub(crate) fn new(limits: Limits) -> Self {
        Carriers(Rc::new(Inner {
            frames: Replicas::new(limits),
            probe: limits.probe,
            peers: RefCell::default(),
            behind: RefCell::default(),
        }))
    }

    /// One more peer's link; its number.
    pub(crate) fn add_peer(&self, peer: link::Peer) -> usize {
        self.0.peers.borrow_mut().push(peer);
        self.0.peers.borrow().len() - 1
    }

    /// Closes the connections to a replica on which nothing is out. A link judges its own by beats.
    pub(crate) fn close(&self, replica: usize) {
        self.0.frames.close(replica);
    }

    /// Where a replica is found from now on.
    pub(crate) fn place(&self, replica: usize, place: Option<Place>) {
        let mut behind = self.0.behind.borrow_mut();
        behind.remove(&replica);
        let address = match place {
            Some(Place::At(address)) => Some(address),
            Some(Place::Behind(ways, id)) => {
                behind.insert(
                    replica,
                    Behind {
                        ways,
                        id,
                        last: None,
                    },
                );
                None
            }
            None => None,
        };
        self.0.frames.place(replica, address);
    }

    /// Whether a replica is reached from here, and not over a link: what comes over one never goes back.
    pub(crate) fn is_direct(&self, replica: usize) -> bool {
        !self.0.behind.borrow().contains_key(&replica)
    }

    /// Whether nothing is open to a replica that is found nowhere: then its index may stand for another.
    pub(crate) fn is_vacant(&self, replica: usize) -> bool {
        self.is_direct(replica) && self.0.frames.is_vacant(replica)
    }

    /// Sends parts of one lookup to one replica as one part call.
    pub(crate) fn call(
        &self,
        replica: usize,
        lookup: &str,
        asked: &[Asked],
        wait_ms: u64,
        to: &mpsc::UnboundedSender<Ended>,
    ) -> Vec<Option<PartOut>> {
        match self.behind(replica) {
            None => {}
            Some((Some(peer), id)) => {
                let out = peer.call(&id, lookup, asked, Duration::from_millis(wait_ms), to);
                return out
                    .into_iter()
                    .map(|out| Some(PartOut::Link(out)))
                    .collect();
            }
            Some((None, _)) => return unsent(asked, to),
        }
        let out = self.0.frames.call(replica, lookup, asked, wait_ms, to);
        out.into_iter()
            .map(|out| out.map(PartOut::Frames))
            .collect()
    }

    /// Asks a replica how it fares.
    pub(crate) async fn probe(&self, replica: usize) -> (AttemptOutcome, Option<f64>) {
        match self.behind(replica) {
            Some((Some(peer), id)) => peer.probe(&id, self.0.probe).await,
            Some((None, _)) => (AttemptOutcome::NotSent, None),
            None => self.0.frames.probe(replica).await,
        }
    }

    /// The way to a replica that is reached over a link, if one is open.
    fn behind(&self, replica: usize) -> Option<(Option<link::Peer>, Rc<str>)> {
        let mut behind = self.0.behind.borrow_mut();
        let Behind { ways, id, last } = behind.get_mut(&replica)?;
        let peers = self.0.peers.borrow();
        let way = routing::select_link(ways, |way| peers.get(way).map(link::Peer::standing), *last);
        *last = way.or(*last);
        Some((way.and_then(|way| peers.get(way).cloned()), id.clone()))
    }
}
