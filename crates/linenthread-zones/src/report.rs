//! Reports of what one or many coordinators observed.

use std::collections::BTreeMap;

use linenthread_frames::{Decoder, Encoder};
use snafu::ensure;

use crate::error::{FormatError, InconsistentCountsSnafu};
use crate::zone_index::{ZoneIndex, ZonePair};

/// Limit of the number of observers in a sum: enough for a thousand coordinators, some of whose reports arrive twice.
const MAX_OBSERVERS: u32 = 100_000;

/// The demand of a zone's clients within an interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// The coordinators that report.
    pub observers: u32,
    /// The sub-requests that their queries needed.
    pub sub_requests: u32,
}

/// Counts of one route, from a zone of clients to a zone of replicas, within an interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouteStats {
    /// Observers that have an opinion of the zone of replicas.
    pub observers: u32,
    /// Those of them that consider it down.
    pub down: u32,
    /// Those of them that consider it slow.
    pub slow: u32,
    /// Sub-requests that ended, without those that [`ZoneObserver::on_outcome`](crate::ZoneObserver::on_outcome)
    /// ignores.
    pub completed: u32,
    /// Those of them that succeeded.
    pub succeeded: u32,
    /// The sum of the latencies of those that succeeded, in milliseconds.
    pub latency_sum_ms: u64,
}

/// The observations of one or many coordinators in an interval.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// By zone of clients.
    pub demand: BTreeMap<ZoneIndex, Demand>,
    /// By zone of clients and zone of replicas.
    pub routes: BTreeMap<ZonePair, RouteStats>,
}

impl Report {
    /// Reports whether it contains neither demand nor counts.
    pub fn is_empty(&self) -> bool {
        self.demand.is_empty() && self.routes.is_empty()
    }

    /// Adds another report to this one; sums saturate instead of overflowing.
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

    /// Encodes the report for the network.
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

    /// Decodes a report.
    ///
    /// # Errors
    /// The bytes are not a valid report.
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
