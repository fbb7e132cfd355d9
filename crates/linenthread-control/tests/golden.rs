//! State directories written by an earlier version: they open with the state that was written, and writing the same
//! records again produces the same bytes.
//!
//! The files under `tests/golden/` were written by commit 464716d. They must never be regenerated to make a test pass:
//! the disks of control nodes that are being upgraded contain such bytes.

use std::cell::RefCell;
use std::rc::Rc;

use linenthread_consensus::DurableState;
use linenthread_control::{OpenedState, StateLog};
use linenthread_golden::decode_hex;
use linenthread_messages::{
    Accepted, Ballot, DocumentDigest, OrderIdentity, Record, Replica, Value, Voter,
};
use linenthread_store::{DirectoryError, Files, SimulatedDisk};

/// Name of the only file of a log that was never compacted.
const FIRST_FILE: &str = "0000000000000001.log";
/// Name of the file after the first compaction.
const SECOND_FILE: &str = "0000000000000002.log";
/// Greater than the length of any log in these tests.
const NEVER_COMPACT: u64 = u64::MAX;
/// Number of bytes that were written, before the disk was full, of the record that did not fit.
const TORN_BYTES: usize = 60;
/// Length of a document whose record takes two entries of the log.
const LONG_DOCUMENT: usize = 600_000;

type Disk = Rc<RefCell<SimulatedDisk>>;

fn open(
    disk: &Disk,
    compact_above: u64,
) -> OpenedState<Disk, impl FnMut() -> Result<Disk, DirectoryError> + use<>> {
    let disk = disk.clone();
    StateLog::open(move || Ok(disk.clone()), compact_above).expect("the directory opens")
}

fn disk_with(name: &str, bytes: &[u8]) -> Disk {
    let disk = Disk::default();
    disk.borrow_mut()
        .append(name, bytes)
        .expect("there is room");
    disk
}

/// Returns the name and the contents of the only file on the disk.
fn file(disk: &Disk) -> (String, Vec<u8>) {
    let names = disk.borrow_mut().list().expect("a directory");
    assert_eq!(names.len(), 1, "{names:?}");
    let bytes = disk.borrow_mut().read(&names[0]).expect("a file");
    (names[0].clone(), bytes)
}

fn order(revision: u64) -> OrderIdentity {
    OrderIdentity {
        revision,
        base: revision - 2,
        digest: DocumentDigest {
            high: 0x0102_0304_0506_0708 + revision,
            low: 0x1112_1314_1516_1718 + revision,
        },
    }
}

fn voter(id: u64, address: &str) -> Voter {
    Voter {
        id,
        address: address.to_owned(),
    }
}

fn value(number: u64, document: Vec<u8>) -> Value {
    Value {
        number,
        revision: 2 * number,
        document: document.into(),
        voters: vec![
            voter(0xa1a2_a3a4_a5a6_a7a8, "10.0.0.1:7100"),
            voter(2, "10.0.0.2:7200"),
            voter(3, "[fd00::3]:7300"),
        ],
        epoch: 4,
        order_count: number,
        recent_orders: vec![order(2 * number - 2), order(2 * number)],
        voters_since: 1,
        usage: None,
    }
}

fn ballot(round: u64) -> Ballot {
    Ballot {
        round,
        proposer: 0xb1b2_b3b4_b5b6_b7b8,
    }
}

fn replica(id: &str) -> Replica {
    Replica {
        id: id.to_owned(),
        backend: "shard-7".to_owned(),
        address: "10.1.2.3:9000".to_owned(),
        zone: "zone-c".to_owned(),
        revision: "r2026.05".to_owned(),
        capacity: 48,
        call_count: 987_654,
        draining: true,
        timed_out_or_ended: false,
        age_ms: 1_234,
        warmup_ms: 56_789,
        ended: false,
        // The version that wrote the files did not have this field.
        unconfirmed: false,
    }
}

/// Returns the records that a control node wrote, call by call: its identity, decided values, orders, replicas, a vote
/// for the leader lease, a promise, and an accepted value that is not decided.
fn writes() -> Vec<Vec<Record>> {
    let identity = Record {
        id: Some(0xa1a2_a3a4_a5a6_a7a8),
        ..Record::default()
    };
    let decided = |number| Record {
        decided: Some(value(number, b"{\"routes\":[]}".to_vec())),
        ..Record::default()
    };
    let orders = Record {
        order_log: vec![order(5), order(3), order(7)],
        ..Record::default()
    };
    let vote = Record {
        epoch: 45,
        ..Record::default()
    };
    let replicas = Record {
        replicas: vec![replica("replica-1"), replica("replica-2")],
        ..Record::default()
    };
    let promise = Record {
        number: 13,
        promised: Some(ballot(7)),
        ..Record::default()
    };
    let accepted = Record {
        number: 13,
        promised: Some(ballot(8)),
        accepted: Some(Accepted {
            ballot: ballot(8),
            value: value(13, b"{\"routes\":[1]}".to_vec()),
        }),
        ..Record::default()
    };
    vec![
        vec![identity],
        vec![decided(11), orders],
        vec![vote, replicas, decided(12)],
        vec![promise],
        vec![accepted],
    ]
}

/// Returns a record of which only the beginning fitted on the disk.
fn torn_write() -> Record {
    Record {
        decided: Some(value(13, b"{\"routes\":[1]}".to_vec())),
        ..Record::default()
    }
}

/// Returns the record that is written after the torn tail was truncated.
fn write_after_torn() -> Record {
    Record {
        number: 13,
        promised: Some(ballot(9)),
        ..Record::default()
    }
}

fn long_write(number: u64) -> Record {
    Record {
        decided: Some(value(number, vec![0xab; LONG_DOCUMENT])),
        ..Record::default()
    }
}

/// Returns the state that results from these records.
fn state_of(records: impl IntoIterator<Item = Record>) -> DurableState {
    let mut state = DurableState::default();
    records.into_iter().for_each(|record| state.add(record));
    state
}

/// Returns the two records into which the state of [`writes`] is compacted, spelled out: the consensus starts from
/// them.
fn expected_records() -> Vec<Record> {
    let compacted = Record {
        id: Some(0xa1a2_a3a4_a5a6_a7a8),
        decided: Some(value(12, b"{\"routes\":[]}".to_vec())),
        epoch: 45,
        replicas: vec![replica("replica-1"), replica("replica-2")],
        order_log: [3, 5, 7, 20, 22, 24].map(order).to_vec(),
        ..Record::default()
    };
    let accepted = writes().pop().expect("writes").pop().expect("a record");
    vec![compacted, accepted]
}

#[test]
fn a_state_directory_of_version_464716d_opens_with_its_state() {
    let bytes = decode_hex(include_str!("golden/state.hex"));
    let opened = open(&disk_with(FIRST_FILE, &bytes), NEVER_COMPACT);
    assert_eq!(opened.torn_tail, None);
    assert_eq!(opened.state, state_of(writes().into_iter().flatten()));
    assert_eq!(opened.state.records(), expected_records());
}

#[test]
fn writing_the_same_records_produces_the_bytes_of_version_464716d() {
    let disk = Disk::default();
    let mut opened = open(&disk, NEVER_COMPACT);
    for records in writes() {
        opened.log.write(&records).expect("there is room");
    }
    let bytes = decode_hex(include_str!("golden/state.hex"));
    assert_eq!(file(&disk), (FIRST_FILE.to_owned(), bytes));
}

#[test]
fn compaction_produces_the_bytes_of_version_464716d() {
    let disk = disk_with(FIRST_FILE, &decode_hex(include_str!("golden/state.hex")));
    open(&disk, 0).log.write(&[]).expect("there is room");
    let compacted = decode_hex(include_str!("golden/state_compacted.hex"));
    assert_eq!(file(&disk), (SECOND_FILE.to_owned(), compacted.clone()));
    let opened = open(&disk_with(SECOND_FILE, &compacted), NEVER_COMPACT);
    assert_eq!(opened.state.records(), expected_records());
}

#[test]
fn a_torn_tail_of_version_464716d_is_truncated_and_overwritten_with_the_same_bytes() {
    let complete = decode_hex(include_str!("golden/state.hex"));
    let torn = decode_hex(include_str!("golden/state_torn.hex"));
    let disk = disk_with(FIRST_FILE, &torn);
    let mut opened = open(&disk, NEVER_COMPACT);
    let torn_tail = opened.torn_tail.as_ref().expect("a torn tail");
    assert_eq!(torn_tail.file, FIRST_FILE);
    assert_eq!(torn_tail.offset, complete.len() as u64);
    assert_eq!(torn_tail.bytes, TORN_BYTES as u64);
    assert_eq!(opened.state.records(), expected_records());
    assert_eq!(file(&disk).1, complete);
    let written = opened.log.write(&[write_after_torn()]);
    written.expect("there is room");
    let after = decode_hex(include_str!("golden/state_after_torn.hex"));
    assert_eq!(file(&disk).1, after);
    let state = open(&disk, NEVER_COMPACT).state;
    let promised = state.records()[1].promised;
    assert_eq!(promised, Some(ballot(9)));
}

#[test]
fn a_full_disk_has_the_torn_tail_of_version_464716d() {
    let complete = decode_hex(include_str!("golden/state.hex"));
    let disk = disk_with(FIRST_FILE, &complete);
    let mut opened = open(&disk, NEVER_COMPACT);
    disk.borrow_mut().limit_free_bytes(TORN_BYTES);
    opened
        .log
        .write(&[torn_write()])
        .expect_err("the disk is full");
    let torn = decode_hex(include_str!("golden/state_torn.hex"));
    assert_eq!(file(&disk).1, torn);
}

#[test]
fn a_record_in_several_parts_has_the_bytes_of_version_464716d() {
    let bytes = decode_hex(include_str!("golden/state_pieces.hex"));
    let opened = open(&disk_with(FIRST_FILE, &bytes), NEVER_COMPACT);
    assert_eq!(opened.state, state_of([long_write(11)]));
    let disk = Disk::default();
    let written = open(&disk, NEVER_COMPACT).log.write(&[long_write(11)]);
    written.expect("there is room");
    assert!(file(&disk).1 == bytes, "the bytes differ");
}

#[test]
fn a_record_of_which_version_464716d_wrote_only_the_first_part_is_ignored() {
    let bytes = decode_hex(include_str!("golden/state_first_piece.hex"));
    let opened = open(&disk_with(FIRST_FILE, &bytes), NEVER_COMPACT);
    assert!(opened.torn_tail.is_some());
    assert_eq!(opened.state, state_of([long_write(11)]));
}
