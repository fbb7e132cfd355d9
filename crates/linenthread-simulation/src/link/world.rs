//! All state of a schedule: the two ends, the network between them, and the record of what ran.

use std::collections::BTreeMap;

use linenthread_core::interface::TenthMillis;
use linenthread_link::{CallId, LinkClient, LinkServer};
use oorandom::Rand64;

use super::call_record::CallRecord;
use super::ends::{new_client, new_server};
use super::event::Event;
use super::invariant::{Invariant, Violation};
use super::network::Connections;
use super::{MILLISECOND, START};
use crate::event_queue::EventQueue;
use crate::random;

/// One schedule.
pub(super) struct World {
    pub(super) now: TenthMillis,
    pub(super) rng: Rand64,
    pub(super) events: EventQueue<Event>,
    pub(super) client: LinkClient,
    pub(super) server: LinkServer,
    pub(super) server_seed: u64,
    /// Starts of the server: calls that an earlier incarnation has started don't end.
    pub(super) server_incarnation: u64,
    pub(super) connections: Connections,
    pub(super) records: BTreeMap<u64, CallRecord>,
    pub(super) calls: BTreeMap<CallId, u64>,
    /// The usual time of a frame one way.
    latency: TenthMillis,
    /// The probability that a frame takes much longer.
    pub(super) slow_probability: f64,
    /// The probability that a frame arrives twice.
    pub(super) duplicate_probability: f64,
    pub(super) violation: Option<Violation>,
    pub(super) false_alarms: usize,
    pub(super) detection_times: Vec<TenthMillis>,
}

impl World {
    /// A link on which nothing has happened yet.
    pub(super) fn new(seed: u64, resume: bool) -> World {
        let mut rng = Rand64::new(u128::from(seed));
        let client_seed = rng.rand_u64();
        let server_seed = rng.rand_u64();
        let latency = 1 + random::time_below(&mut rng, 300);
        let slow_probability = rng.rand_float() * 0.05;
        let duplicate_probability = rng.rand_float() * 0.02;
        World {
            now: START,
            rng,
            events: EventQueue::default(),
            client: new_client(client_seed, resume),
            server: new_server(server_seed),
            server_seed,
            server_incarnation: 0,
            connections: Connections::default(),
            records: BTreeMap::new(),
            calls: BTreeMap::new(),
            latency,
            slow_probability,
            duplicate_probability,
            violation: None,
            false_alarms: 0,
            detection_times: Vec::new(),
        }
    }

    /// Schedules an event.
    pub(super) fn schedule(&mut self, after: TenthMillis, event: Event) {
        self.events.push(self.now + after, event);
    }

    /// A random time below the bound.
    pub(super) fn draw_below(&mut self, bound: TenthMillis) -> TenthMillis {
        random::time_below(&mut self.rng, bound)
    }

    /// Records a violation, if it is the first.
    pub(super) fn violated(&mut self, invariant: Invariant, details: &str) {
        self.violation
            .get_or_insert_with(|| Violation::new(invariant, details));
    }

    /// How long a frame is on its way; now and then much longer than usual.
    pub(super) fn draw_latency(&mut self) -> TenthMillis {
        let usual = self.latency + self.draw_below(self.latency / 2 + 1);
        if self.rng.rand_float() < self.slow_probability {
            usual + self.draw_below(600 * MILLISECOND)
        } else {
            usual
        }
    }
}
