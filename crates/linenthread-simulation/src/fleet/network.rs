//! The network between processes: links, partitions, loss and latency.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Index, IndexMut};

use linenthread_core::interface::TenthMillis;
use linenthread_fleet::ConnectionId;
use oorandom::Rand64;

use super::event::{LinkNumber, ProcessIndex, Side};
use crate::random;

/// An end of a link: a process and its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LinkEnd {
    pub(super) process: ProcessIndex,
    /// The connection's id at the process.
    pub(super) connection: ConnectionId,
}

/// A value for each side of a link.
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

/// A connection between two processes. Bytes arrive in the order in which they were sent.
pub(super) struct Link {
    pub(super) ends: Sides<LinkEnd>,
    /// The arrival time of the last bytes that each side sent.
    last_arrival: Sides<TenthMillis>,
    /// Whether everything that a side sends is lost, because it has sent bytes into a partition.
    is_broken: Sides<bool>,
    is_open: bool,
}

impl Link {
    /// Creates a link that is open at both processes.
    fn open(ends: Sides<LinkEnd>) -> Link {
        Link {
            ends,
            last_arrival: Sides::both(0),
            is_broken: Sides::both(false),
            is_open: true,
        }
    }

    /// Creates the link of a connection that could not be opened.
    fn refused(ends: Sides<LinkEnd>) -> Link {
        Link {
            is_broken: Sides::both(true),
            is_open: false,
            ..Link::open(ends)
        }
    }

    /// Returns the side of the link that a process is on.
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
    /// The link of each connection that a process has not closed.
    by_end: BTreeMap<LinkEnd, LinkNumber>,
    /// The directed pairs of processes between which nothing arrives.
    pub(super) partitions: BTreeSet<(ProcessIndex, ProcessIndex)>,
    /// The probability that a datagram is lost.
    pub(super) loss: f64,
    /// The upper bound of the random latency that is added to the usual one.
    pub(super) extra_latency: TenthMillis,
}

impl Network {
    /// Draws a one-way latency.
    pub(super) fn latency(&self, rng: &mut Rand64) -> TenthMillis {
        let usual = 5 + random::time_below(rng, 20);
        if self.extra_latency > 0 {
            usual + random::time_below(rng, self.extra_latency)
        } else {
            usual
        }
    }

    /// Reports whether nothing that one process sends arrives at the other.
    pub(super) fn is_partitioned(&self, from: ProcessIndex, to: ProcessIndex) -> bool {
        self.partitions.contains(&(from, to))
    }

    /// Adds a connection that is open at both sides.
    pub(super) fn add_link(&mut self, number: LinkNumber, ends: Sides<LinkEnd>) {
        for end in ends.as_array() {
            self.by_end.insert(*end, number);
        }
        self.links.insert(number, Link::open(ends));
    }

    /// Adds a connection that could not be opened and that only the connecting side knows.
    pub(super) fn add_refused(&mut self, number: LinkNumber, ends: Sides<LinkEnd>) {
        self.by_end.insert(ends.connecting, number);
        self.links.insert(number, Link::refused(ends));
    }

    pub(super) fn link(&self, number: LinkNumber) -> Option<&Link> {
        self.links.get(&number)
    }

    /// Returns the link of a process's connection.
    pub(super) fn link_at(&self, end: LinkEnd) -> Option<LinkNumber> {
        self.by_end.get(&end).copied()
    }

    /// Returns the end at a side of a link, if the process there has not closed the connection.
    pub(super) fn current_end(&self, number: LinkNumber, side: Side) -> Option<LinkEnd> {
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

    /// Sends bytes over a link. Returns the arrival time and the receiving side; `None` if they are lost.
    pub(super) fn send(
        &mut self,
        number: LinkNumber,
        from: LinkEnd,
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
        link.is_broken[side] |= self.partitions.contains(&pair);
        if link.is_broken[side] {
            return None;
        }
        let arrival = (now + latency).max(link.last_arrival[side] + 1);
        link.last_arrival[side] = arrival;
        Some((arrival, other))
    }

    /// Closes a link for a process. Returns the other side if it can be notified.
    pub(super) fn close(&mut self, number: LinkNumber, process: ProcessIndex) -> Option<Side> {
        let link = self.links.get_mut(&number)?;
        let side = link.side_of(process);
        let (end, other) = (link.ends[side], link.ends[side.other()]);
        link.is_open = false;
        self.by_end.remove(&end);
        (!self.is_partitioned(process, other.process)).then_some(side.other())
    }

    /// Removes the end of a process that has been notified that its connection is closed.
    pub(super) fn remove_end(&mut self, end: LinkEnd) {
        self.by_end.remove(&end);
    }

    /// Removes a link that is closed and has no end left.
    pub(super) fn remove_if_closed(&mut self, number: LinkNumber) {
        let Some(link) = self.links.get(&number) else {
            return;
        };
        let has_end = |end: &LinkEnd| self.by_end.get(end) == Some(&number);
        if !link.is_open && !link.ends.as_array().into_iter().any(has_end) {
            self.links.remove(&number);
        }
    }

    /// Ends all partitions, loss and extra latency.
    pub(super) fn heal(&mut self) {
        self.partitions.clear();
        self.loss = 0.0;
        self.extra_latency = 0;
    }
}
