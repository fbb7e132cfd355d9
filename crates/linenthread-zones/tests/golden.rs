//! The bytes of tables and reports, held fast by bytes that an earlier version wrote.
//!
//! The file under `tests/golden/` was written by commit 464716d. It must never be regenerated to make a test pass:
//! tables lie in the fleet's record, on disks, and reports come from processes that may run an older version.

use std::collections::BTreeMap;

use linenthread_zones::{Reason, Report, Row, Table, Way};

/// The lines of a golden file: a name, a space, and bytes in hexadecimal.
fn golden(text: &str) -> BTreeMap<&str, Vec<u8>> {
    text.lines()
        .map(|line| {
            let (name, hex) = line.rsplit_once(' ').expect("a name and its bytes");
            let byte = |at| u8::from_str_radix(&hex[at..at + 2], 16).expect("two digits");
            (name, (0..hex.len()).step_by(2).map(byte).collect())
        })
        .collect()
}

/// A table in which each reason stands.
fn table() -> Table {
    let rows = [
        [(1_000, Reason::Sound), (0, Reason::Down), (1, Reason::Cut)],
        [
            (0, Reason::Drained),
            (150, Reason::Returning),
            (730, Reason::Room),
        ],
        [
            (400, Reason::Slow),
            (1_000, Reason::Sound),
            (999, Reason::Room),
        ],
    ];
    Table {
        from_ms: 1_700_000_000_123,
        zones: ["catania", "messina", "paler\u{e9}mo"]
            .map(str::to_owned)
            .to_vec(),
        rows: rows
            .map(|open| Row {
                open: open.to_vec(),
            })
            .to_vec(),
    }
}

/// A report with each number set to a value of its own.
fn report() -> Report {
    let way = |voices| Way {
        voices,
        down: 2,
        slow: 3,
        ended: 1_000_004,
        answered: 1_000_003,
        time_ms: 5_000_000_005,
    };
    Report {
        asked: BTreeMap::from([(0, (6, 7_000_007)), (2, (8, 9))]),
        ways: BTreeMap::from([((0, 1), way(10)), ((2, 0), way(11)), ((2, 2), way(12))]),
    }
}

#[test]
fn tables_have_the_bytes_of_version_464716d() {
    let golden = golden(include_str!("golden/bytes.hex"));
    assert_eq!(table().encode(), golden["table"]);
    assert_eq!(Table::decode(&golden["table"]).as_ref(), Ok(&table()));
}

#[test]
fn reports_have_the_bytes_of_version_464716d() {
    let golden = golden(include_str!("golden/bytes.hex"));
    assert_eq!(report().encode(), golden["report"]);
    assert_eq!(Report::decode(&golden["report"]).as_ref(), Ok(&report()));
}
