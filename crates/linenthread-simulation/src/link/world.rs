//! The state of a schedule: the two ends, the network between them, and the records of calls.

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

/// The state of a schedule.
pub(super) struct World {
    pub(super) now: TenthMillis,
    pub(super) rng: Rand64,
    pub(super) events: EventQueue<Event>,
    pub(super) client: LinkClient,
    pub(super) server: LinkServer,
    pub(super) server_seed: u64,
    /// The number of restarts of the server. Calls started by an earlier incarnation don't complete.
    pub(super) server_incarnation: u64,
    pub(super) connections: Connections,
    pub(super) records: BTreeMap<u64, CallRecord>,
    pub(super) calls: BTreeMap<CallId, u64>,
    /// The minimum one-way latency of a frame.
    latency: TenthMillis,
    /// The probability that a frame is much slower.
    pub(super) slow_probability: f64,
    /// The probability that a frame arrives twice.
    pub(super) duplicate_probability: f64,
    pub(super) violation: Option<Violation>,
    pub(super) false_alarms: usize,
    pub(super) detection_times: Vec<TenthMillis>,
}

impl World {
    /// Creates the state before the first event.
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

    /// Schedules an event `after` the current time.
    pub(super) fn schedule(&mut self, after: TenthMillis, event: Event) {
        self.events.push(self.now + after, event);
    }

    /// Draws a time below the bound.
    pub(super) fn draw_below(&mut self, bound: TenthMillis) -> TenthMillis {
        random::time_below(&mut self.rng, bound)
    }

    /// Records a violation, if it is the first.
    pub(super) fn record_violation(&mut self, invariant: Invariant, details: &str) {
        self.violation
            .get_or_insert_with(|| Violation::new(invariant, details));
    }

    /// Draws the one-way latency of a frame, which is much longer with the probability `slow_probability`.
    pub(super) fn draw_latency(&mut self) -> TenthMillis {
        let usual = self.latency + self.draw_below(self.latency / 2 + 1);
        if self.rng.rand_float() < self.slow_probability {
            usual + self.draw_below(600 * MILLISECOND)
        } else {
            usual
        }
    }
}
