//! The routing table that all coordinators act on.

use std::fmt;

use linenthread_frames::{DecodeError, Decoder, Encoder};
use snafu::{OptionExt, ensure};

use crate::error::{FormatError, ShareTooLargeSnafu, TooManyZonesSnafu, UnknownReasonSnafu};
use crate::{ALL_KEYS, MAX_ZONES};

/// The reason for the share of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Nothing is wrong; the route is open to all keys.
    Healthy,
    /// The zone was found down by a majority of its observers.
    ZoneDown,
    /// This pair of zones is partitioned; the zone itself is not down.
    Partitioned,
    /// An operator drains the zone.
    Drained,
    /// The zone, or the route, was closed and is being reopened step by step.
    Returning,
    /// The zone has no capacity for more load.
    Capacity,
    /// The zone is slow and therefore assumed to have less capacity.
    Slow,
}

/// The reasons, indexed by their code in an encoded table.
const REASONS: [Reason; 7] = [
    Reason::Healthy,
    Reason::ZoneDown,
    Reason::Partitioned,
    Reason::Drained,
    Reason::Returning,
    Reason::Capacity,
    Reason::Slow,
];

impl Reason {
    fn code(self) -> u8 {
        match self {
            Reason::Healthy => 0,
            Reason::ZoneDown => 1,
            Reason::Partitioned => 2,
            Reason::Drained => 3,
            Reason::Returning => 4,
            Reason::Capacity => 5,
            Reason::Slow => 6,
        }
    }
}

/// Writes the word that `linenthread zones show` prints.
impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Reason::Healthy => "healthy",
            Reason::ZoneDown => "down",
            Reason::Partitioned => "partitioned",
            Reason::Drained => "drained",
            Reason::Returning => "returning",
            Reason::Capacity => "capacity",
            Reason::Slow => "slow",
        })
    }
}

/// The route from a zone of clients to a zone of replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Route {
    /// The share of keys to which it is open, in thousandths.
    pub share: u16,
    /// The reason for this share.
    pub reason: Reason,
}

impl Route {
    /// The route that is open to all keys.
    pub const OPEN: Route = Route {
        share: ALL_KEYS,
        reason: Reason::Healthy,
    };

    /// Returns a route that is closed to all keys.
    pub const fn closed(reason: Reason) -> Route {
        Route { share: 0, reason }
    }
}

/// The routes of one zone of clients.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// The routes, by zone of replicas.
    pub routes: Vec<Route>,
}

/// A routing table.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingTable {
    /// The time from which it is valid, in milliseconds since 1970 by the clock of the leader that made it.
    pub valid_from_ms: u64,
    /// The names of the zones, in the order of their indices.
    pub zones: Vec<String>,
    /// The rows, by zone of clients.
    pub rows: Vec<Row>,
}

impl RoutingTable {
    /// Returns a table in which all routes are open.
    pub fn open(zones: Vec<String>) -> RoutingTable {
        let row = Row {
            routes: vec![Route::OPEN; zones.len()],
        };
        RoutingTable {
            valid_from_ms: 0,
            rows: vec![row; zones.len()],
            zones,
        }
    }

    /// Iterates over all routes, row by row.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.rows.iter().flat_map(|row| &row.routes)
    }

    /// Encodes the table.
    pub fn encode(&self) -> Vec<u8> {
        let mut encoder = Encoder::new();
        encoder.u64(self.valid_from_ms);
        encoder.u8(u8::try_from(self.zones.len()).unwrap_or(u8::MAX));
        for name in &self.zones {
            encoder.text(name);
        }
        for route in self.routes() {
            encoder.u16(route.share);
            encoder.u8(route.reason.code());
        }
        encoder.into_bytes()
    }

    /// Decodes a table.
    ///
    /// # Errors
    /// The bytes are not a valid table.
    pub fn decode(bytes: &[u8]) -> Result<RoutingTable, FormatError> {
        let mut decoder = Decoder::new(bytes);
        let valid_from_ms = decoder.u64()?;
        let count = usize::from(decoder.u8()?);
        ensure!(count <= MAX_ZONES, TooManyZonesSnafu { count });
        let zones = (0..count)
            .map(|_| decoder.text())
            .collect::<Result<Vec<String>, DecodeError>>()?;
        let mut rows = Vec::with_capacity(count);
        for _ in 0..count {
            let routes = (0..count).map(|_| decode_route(&mut decoder));
            rows.push(Row {
                routes: routes.collect::<Result<Vec<Route>, FormatError>>()?,
            });
        }
        decoder.finish()?;
        Ok(RoutingTable {
            valid_from_ms,
            zones,
            rows,
        })
    }

    /// Reports whether its zones or the shares of its routes differ from another table's, whatever the reasons.
    pub fn routes_differently(&self, other: &RoutingTable) -> bool {
        let shares = self.routes().map(|route| route.share);
        self.zones != other.zones || shares.ne(other.routes().map(|route| route.share))
    }
}

fn decode_route(decoder: &mut Decoder) -> Result<Route, FormatError> {
    let share = decoder.u16()?;
    let code = decoder.u8()?;
    let reason = REASONS.get(usize::from(code));
    let reason = *reason.context(UnknownReasonSnafu { code })?;
    ensure!(share <= ALL_KEYS, ShareTooLargeSnafu { share });
    Ok(Route { share, reason })
}
