//! What one coordinator observed, or what many observed together.

use std::collections::BTreeMap;

use linenthread_frames::{Decoder, Encoder};
use snafu::ensure;

use crate::error::{FormatError, InconsistentCountsSnafu};
use crate::zone_index::{ZoneIndex, ZonePair};

/// The most observers that are added up: a thousand coordinators, some of whose reports arrive twice.
const MAX_OBSERVERS: u32 = 100_000;

/// What the clients of a zone asked for within a span of time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Coordinators that report.
    pub observers: u32,
    /// Sub-requests that their queries needed.
    pub sub_requests: u32,
}

/// What happened on one route, from a zone of clients to a zone of replicas, within a span of time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouteStats {
    /// Observers that have an opinion on the zone of replicas.
    pub observers: u32,
    /// Of them, those that see it down.
    pub down: u32,
    /// Of them, those that see it slow.
    pub slow: u32,
    /// Sub-requests that were completed, in whatever way.
    pub completed: u32,
    /// Of them, those that succeeded.
    pub succeeded: u32,
    /// The latencies of those that succeeded, summed up, in milliseconds.
    pub latency_sum_ms: u64,
}

/// What one or many observers saw within a span of time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// By zone of clients.
    pub demand: BTreeMap<ZoneIndex, Demand>,
    /// By zone of clients and zone of replicas.
    pub routes: BTreeMap<ZonePair, RouteStats>,
}

impl Report {
    /// Whether it says nothing.
    pub fn is_empty(&self) -> bool {
        self.demand.is_empty() && self.routes.is_empty()
    }

    /// Adds another report to this one.
    pub fn add(&mut self, other: &Report) {
        for (zone, demand) in &other.demand {
            let sum = self.demand.entry(*zone).or_default();
            let observers = sum.observers.saturating_add(demand.observers);
            sum.observers = observers.min(MAX_OBSERVERS);
            sum.sub_requests = sum.sub_requests.saturating_add(demand.sub_requests);
        }
        for (route, stats) in &other.routes {
            self.routes.entry(*route).or_default().add(stats);
        }
    }

    /// The report's bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut encoder = Encoder::new();
        encoder.count(self.demand.len());
        for (zone, demand) in &self.demand {
            zone.encode(&mut encoder);
            encoder.u32(demand.observers);
            encoder.u32(demand.sub_requests);
        }
        encoder.count(self.routes.len());
        for (route, stats) in &self.routes {
            route.from.encode(&mut encoder);
            route.to.encode(&mut encoder);
            stats.encode(&mut encoder);
        }
        encoder.into_bytes()
    }

    /// The report of these bytes.
    ///
    /// # Errors
    /// They are no report.
    pub fn decode(bytes: &[u8]) -> Result<Report, FormatError> {
        let mut decoder = Decoder::new(bytes);
        let mut report = Report::default();
        for _ in 0..decoder.u16()? {
            let zone = ZoneIndex::decode(&mut decoder)?;
            let demand = Demand {
                observers: decoder.u32()?,
                sub_requests: decoder.u32()?,
            };
            report.demand.insert(zone, demand);
        }
        for _ in 0..decoder.u16()? {
            let route = ZonePair {
                from: ZoneIndex::decode(&mut decoder)?,
                to: ZoneIndex::decode(&mut decoder)?,
            };
            let stats = RouteStats::decode(&mut decoder)?;
            report.routes.insert(route, stats);
        }
        decoder.finish()?;
        Ok(report)
    }
}

impl RouteStats {
    fn add(&mut self, other: &RouteStats) {
        let observers = self.observers.saturating_add(other.observers);
        self.observers = observers.min(MAX_OBSERVERS);
        self.down = self.down.saturating_add(other.down).min(self.observers);
        self.slow = self.slow.saturating_add(other.slow).min(self.observers);
        self.completed = self.completed.saturating_add(other.completed);
        let succeeded = self.succeeded.saturating_add(other.succeeded);
        self.succeeded = succeeded.min(self.completed);
        self.latency_sum_ms = self.latency_sum_ms.saturating_add(other.latency_sum_ms);
    }

    fn encode(&self, encoder: &mut Encoder) {
        encoder.u32(self.observers);
        encoder.u32(self.down);
        encoder.u32(self.slow);
        encoder.u32(self.completed);
        encoder.u32(self.succeeded);
        encoder.u64(self.latency_sum_ms);
    }

    fn decode(decoder: &mut Decoder) -> Result<RouteStats, FormatError> {
        let stats = RouteStats {
            observers: decoder.u32()?,
            down: decoder.u32()?,
            slow: decoder.u32()?,
            completed: decoder.u32()?,
            succeeded: decoder.u32()?,
            latency_sum_ms: decoder.u64()?,
        };
        let is_consistent = stats.down <= stats.observers
            && stats.slow <= stats.observers
            && stats.succeeded <= stats.completed;
        ensure!(is_consistent, InconsistentCountsSnafu);
        Ok(stats)
    }
}
