//! Links between processes, partitions, loss and latency.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Index, IndexMut};

use linenthread_core::interface::TenthMillis;
use linenthread_fleet::ConnectionId;
use oorandom::Rand64;

use super::event::{LinkNumber, ProcessIndex, Side};
use crate::random;

/// A connection at a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct End {
    pub(super) process: ProcessIndex,
    /// The connection's number at the process.
    pub(super) connection: ConnectionId,
}

/// A value of each side of a link.
pub(super) struct Sides<T> {
    pub(super) connecting: T,
    pub(super) accepting: T,
}

impl<T: Copy> Sides<T> {
    fn both(value: T) -> Sides<T> {
        Sides {
            connecting: value,
            accepting: value,
        }
    }
}

impl<T> Sides<T> {
    fn as_array(&self) -> [&T; 2] {
        [&self.connecting, &self.accepting]
    }
}

impl<T> Index<Side> for Sides<T> {
    type Output = T;

    fn index(&self, side: Side) -> &T {
        match side {
            Side::Connecting => &self.connecting,
            Side::Accepting => &self.accepting,
        }
    }
}

impl<T> IndexMut<Side> for Sides<T> {
    fn index_mut(&mut self, side: Side) -> &mut T {
        match side {
            Side::Connecting => &mut self.connecting,
            Side::Accepting => &mut self.accepting,
        }
    }
}

/// A connection as the network has it. Bytes arrive in their order.
pub(super) struct Link {
    pub(super) ends: Sides<End>,
    /// By sending side, when the last bytes arrive at the other.
    last_arrival: Sides<TenthMillis>,
    /// By sending side: what it sends is lost from now on, since something was sent into a partition.
    is_dead: Sides<bool>,
    is_open: bool,
}

impl Link {
    /// A link that both processes have.
    fn open(ends: Sides<End>) -> Link {
        Link {
            ends,
            last_arrival: Sides::both(0),
            is_dead: Sides::both(false),
            is_open: true,
        }
    }

    /// A connection that could not be made.
    fn refused(ends: Sides<End>) -> Link {
        Link {
            is_dead: Sides::both(true),
            is_open: false,
            ..Link::open(ends)
        }
    }

    /// The side of a process.
    pub(super) fn side_of(&self, process: ProcessIndex) -> Side {
        if self.ends.connecting.process == process {
            Side::Connecting
        } else {
            Side::Accepting
        }
    }
}

/// The network between all processes.
#[derive(Default)]
pub(super) struct Network {
    links: BTreeMap<LinkNumber, Link>,
    /// The links of connections that processes still have.
    by_end: BTreeMap<End, LinkNumber>,
    /// Directed pairs between which nothing arrives.
    pub(super) partitions: BTreeSet<(ProcessIndex, ProcessIndex)>,
    /// The probability that a datagram is lost.
    pub(super) loss: f64,
    /// Random latency that is added to the usual one, at most.
    pub(super) extra_latency: TenthMillis,
}

impl Network {
    /// A random latency of one way.
    pub(super) fn latency(&self, rng: &mut Rand64) -> TenthMillis {
        let usual = 5 + random::time_below(rng, 20);
        if self.extra_latency > 0 {
            usual + random::time_below(rng, self.extra_latency)
        } else {
            usual
        }
    }

    /// Whether nothing arrives from one process at another.
    pub(super) fn is_partitioned(&self, from: ProcessIndex, to: ProcessIndex) -> bool {
        self.partitions.contains(&(from, to))
    }

    /// Adds a connection that both sides have.
    pub(super) fn add_link(&mut self, number: LinkNumber, ends: Sides<End>) {
        for end in ends.as_array() {
            self.by_end.insert(*end, number);
        }
        self.links.insert(number, Link::open(ends));
    }

    /// Adds a connection that only the connecting side has.
    pub(super) fn add_refused(&mut self, number: LinkNumber, ends: Sides<End>) {
        self.by_end.insert(ends.connecting, number);
        self.links.insert(number, Link::refused(ends));
    }

    pub(super) fn link(&self, number: LinkNumber) -> Option<&Link> {
        self.links.get(&number)
    }

    /// The link of a process's connection.
    pub(super) fn link_at(&self, end: End) -> Option<LinkNumber> {
        self.by_end.get(&end).copied()
    }

    /// The end of a link at a side, while the process there still has the connection.
    pub(super) fn current_end(&self, number: LinkNumber, side: Side) -> Option<End> {
        let end = self.link(number)?.ends[side];
        (self.link_at(end) == Some(number)).then_some(end)
    }

    pub(super) fn links_of(&self, process: ProcessIndex) -> Vec<LinkNumber> {
        let links = self.links.iter();
        let of_process = links.filter(|(_, link)| {
            link.ends
                .as_array()
                .iter()
                .any(|end| end.process == process)
        });
        of_process.map(|(number, _)| *number).collect()
    }

    /// When bytes that are sent now arrive at the other side, and at which; `None` if they are lost.
    pub(super) fn send(
        &mut self,
        number: LinkNumber,
        from: End,
        now: TenthMillis,
        latency: TenthMillis,
    ) -> Option<(TenthMillis, Side)> {
        let link = self.links.get_mut(&number)?;
        let side = if link.ends.connecting == from {
            Side::Connecting
        } else {
            Side::Accepting
        };
        let other = side.other();
        let pair = (from.process, link.ends[other].process);
        link.is_dead[side] |= self.partitions.contains(&pair);
        if link.is_dead[side] {
            return None;
        }
        let arrival = (now + latency).max(link.last_arrival[side] + 1);
        link.last_arrival[side] = arrival;
        Some((arrival, other))
    }

    /// A process closes a link. Returns the other side, if that will learn of it.
    pub(super) fn close(&mut self, number: LinkNumber, process: ProcessIndex) -> Option<Side> {
        let link = self.links.get_mut(&number)?;
        let side = link.side_of(process);
        let (end, other) = (link.ends[side], link.ends[side.other()]);
        link.is_open = false;
        self.by_end.remove(&end);
        (!self.is_partitioned(process, other.process)).then_some(side.other())
    }

    /// A process has learned that its connection is closed.
    pub(super) fn forget(&mut self, end: End) {
        self.by_end.remove(&end);
    }

    /// Removes a link that neither process has any more.
    pub(super) fn remove_if_over(&mut self, number: LinkNumber) {
        let Some(link) = self.links.get(&number) else {
            return;
        };
        let has_end = |end: &End| self.by_end.get(end) == Some(&number);
        if !link.is_open && !link.ends.as_array().into_iter().any(has_end) {
            self.links.remove(&number);
        }
    }

    /// Ends all faults of the network.
    pub(super) fn heal(&mut self) {
        self.partitions.clear();
        self.loss = 0.0;
        self.extra_latency = 0;
    }
}
