//! Compares encoded tables and reports with the bytes that an earlier version wrote.
//!
//! The file under `tests/golden/` was written by commit 464716d. It must never be regenerated to make a test pass:
//! tables are stored in the fleet's log on disk, and reports arrive from processes that may run an older version.

use std::collections::BTreeMap;

use linenthread_golden::named_bytes;
use linenthread_zones::{
    Demand, Reason, Report, Route, RouteStats, RoutingTable, Row, ZoneIndex, ZonePair,
};

/// Returns a table that contains each reason.
fn table() -> RoutingTable {
    let rows = [
        [
            (1_000, Reason::Healthy),
            (0, Reason::ZoneDown),
            (1, Reason::Partitioned),
        ],
        [
            (0, Reason::Drained),
            (150, Reason::Returning),
            (730, Reason::Capacity),
        ],
        [
            (400, Reason::Slow),
            (1_000, Reason::Healthy),
            (999, Reason::Capacity),
        ],
    ];
    RoutingTable {
        valid_from_ms: 1_700_000_000_123,
        zones: ["catania", "messina", "paler\u{e9}mo"]
            .map(str::to_owned)
            .to_vec(),
        rows: rows
            .map(|row| Row {
                routes: row.map(|(share, reason)| Route { share, reason }).to_vec(),
            })
            .to_vec(),
    }
}

fn zone(position: usize) -> ZoneIndex {
    ZoneIndex::new(position).expect("few zones")
}

fn route(from: usize, to: usize) -> ZonePair {
    ZonePair {
        from: zone(from),
        to: zone(to),
    }
}

/// Returns a report in which each field has a value of its own.
fn report() -> Report {
    let stats = |observers| RouteStats {
        observers,
        down: 2,
        slow: 3,
        completed: 1_000_004,
        succeeded: 1_000_003,
        latency_sum_ms: 5_000_000_005,
    };
    let demand = |observers, sub_requests| Demand {
        observers,
        sub_requests,
    };
    Report {
        demand: BTreeMap::from([(zone(0), demand(6, 7_000_007)), (zone(2), demand(8, 9))]),
        routes: BTreeMap::from([
            (route(0, 1), stats(10)),
            (route(2, 0), stats(11)),
            (route(2, 2), stats(12)),
        ]),
    }
}

#[test]
fn tables_have_the_bytes_of_version_464716d() {
    let golden = named_bytes(include_str!("golden/bytes.hex")).collect::<BTreeMap<_, _>>();
    assert_eq!(table().encode(), golden["table"]);
    assert_eq!(
        RoutingTable::decode(&golden["table"]).as_ref(),
        Ok(&table())
    );
}

#[test]
fn reports_have_the_bytes_of_version_464716d() {
    let golden = named_bytes(include_str!("golden/bytes.hex")).collect::<BTreeMap<_, _>>();
    assert_eq!(report().encode(), golden["report"]);
    assert_eq!(Report::decode(&golden["report"]).as_ref(), Ok(&report()));
}
