//! The state log on a simulated disk: crashes at any point, full disks, and compaction.

use std::cell::RefCell;
use std::rc::Rc;

use linenthread_control::{Epoch, OpenedState, StateLog, StateLogError};
use linenthread_messages::{Record, Value};
use linenthread_store::{DirectoryError, Log, SimulatedDisk};
use oorandom::Rand64;

const COMPACT_ABOVE: u64 = 4_000;
/// Greater than the length of any log in these tests.
const NEVER_COMPACT: u64 = u64::MAX;
/// Length of every entry of a long record except its last, including the marker.
const PART_ENTRY_BYTES: usize = linenthread_store::MAX_RECORD_BYTES / 2 + 1;
/// First byte of such an entry.
const PART_MARKER: u8 = 0;
/// First byte of the last entry of a record.
const LAST_PART_MARKER: u8 = 1;
/// Length of a document whose record takes two entries.
const TWO_ENTRY_BYTES: usize = 600_000;
/// Length of a document whose record takes three entries.
const THREE_ENTRY_BYTES: usize = 1_100_000;

type Disk = Rc<RefCell<SimulatedDisk>>;

fn open(disk: &Disk) -> OpenedState<Disk, impl FnMut() -> Result<Disk, DirectoryError> + use<>> {
    open_with(disk, COMPACT_ABOVE)
}

fn open_with(
    disk: &Disk,
    compact_above: u64,
) -> OpenedState<Disk, impl FnMut() -> Result<Disk, DirectoryError> + use<>> {
    let disk = disk.clone();
    StateLog::open(move || Ok(disk.clone()), compact_above).expect("a disk without damage opens")
}

fn decided(number: u64, bytes: usize) -> Record {
    let document = vec![number.to_le_bytes()[0]; bytes].into();
    Record {
        decided: Some(Value {
            number,
            document,
            ..Value::default()
        }),
        ..Record::default()
    }
}

fn number(opened: &OpenedState<Disk, impl FnMut() -> Result<Disk, DirectoryError>>) -> u64 {
    opened.state.records()[0]
        .decided
        .as_ref()
        .map_or(0, |value| value.number)
}

#[test]
fn written_state_survives_power_loss_and_compaction() {
    let (disk, mut random) = (Disk::default(), Rand64::new(7));
    let mut synced = 0;
    for round in 0..300 {
        let mut opened = open(&disk);
        assert!(number(&opened) >= synced, "round {round}");
        synced = number(&opened);
        for _ in 0..random.rand_range(1..9) {
            opened
                .log
                .write(&[decided(synced + 1, 300)])
                .expect("there is room");
            synced += 1;
            assert!(opened.log.file_bytes() < COMPACT_ABOVE + 400);
        }
        // A loss of power interrupts the last write.
        let syncs = usize::try_from(random.rand_range(0..3)).expect("a small number");
        disk.borrow_mut().syncs_until_failure = Some(syncs);
        let _ = opened.log.write(&[decided(synced + 1, 300)]);
        disk.borrow_mut().crash(&mut random);
    }
}

#[test]
fn everything_is_written_once_a_full_disk_has_space_again() {
    let disk = Disk::default();
    let mut opened = open(&disk);
    opened.log.write(&[decided(1, 300)]).expect("there is room");
    disk.borrow_mut().capacity = Some(0);
    for number in 2..5 {
        let refused = opened.log.write(&[decided(number, 300)]);
        assert!(matches!(refused, Err(StateLogError::Log { .. })));
    }
    disk.borrow_mut().capacity = None;
    opened
        .log
        .write(&[Record {
            epoch: 3,
            ..Record::default()
        }])
        .expect("there is room again");
    drop(opened);
    let opened = open(&disk);
    assert_eq!((number(&opened), opened.state.epoch), (4, Epoch::new(3)));
}

#[test]
fn a_record_longer_than_an_entry_is_read_completely() {
    let disk = Disk::default();
    let record = decided(1, 3 * linenthread_store::MAX_RECORD_BYTES);
    open(&disk)
        .log
        .write(std::slice::from_ref(&record))
        .expect("there is room");
    assert_eq!(open(&disk).state.records()[0].decided, record.decided);
}

/// Returns the log entries of a record.
fn entries(record: &Record) -> Vec<Vec<u8>> {
    let disk = Disk::default();
    open(&disk)
        .log
        .write(std::slice::from_ref(record))
        .expect("there is room");
    Log::open(disk).expect("a disk without damage").records
}

/// Returns a disk whose log consists of these entries.
fn disk_with(entries: &[Vec<u8>]) -> Disk {
    let disk = Disk::default();
    let mut log = Log::open(disk.clone()).expect("an empty disk").log;
    for entry in entries {
        log.append(entry).expect("an entry");
    }
    log.sync().expect("there is room");
    disk
}

#[test]
fn a_record_after_an_interrupted_one_is_not_joined_with_it() {
    for interrupted in [TWO_ENTRY_BYTES, THREE_ENTRY_BYTES] {
        let abandoned = entries(&decided(2, interrupted));
        for written_parts in 1..abandoned.len() {
            for next in [300, TWO_ENTRY_BYTES, THREE_ENTRY_BYTES] {
                let mut on_disk = entries(&decided(1, 300));
                on_disk.extend_from_slice(&abandoned[..written_parts]);
                let disk = disk_with(&on_disk);
                let mut opened = open_with(&disk, NEVER_COMPACT);
                assert_eq!(number(&opened), 1, "the interrupted record is ignored");
                opened
                    .log
                    .write(&[decided(3, next)])
                    .expect("there is room");
                opened.log.write(&[decided(4, 300)]).expect("there is room");
                drop(opened);
                assert_eq!(
                    number(&open(&disk)),
                    4,
                    "{interrupted} {written_parts} {next}"
                );
            }
        }
    }
}

#[test]
fn acknowledged_records_that_an_earlier_version_joined_are_recovered() {
    for interrupted in [TWO_ENTRY_BYTES, THREE_ENTRY_BYTES] {
        let abandoned = entries(&decided(2, interrupted));
        for written_parts in 1..abandoned.len() {
            for next in [300, TWO_ENTRY_BYTES, THREE_ENTRY_BYTES] {
                let acknowledged = decided(3, next);
                let mut on_disk = entries(&decided(1, 300));
                on_disk.extend_from_slice(&abandoned[..written_parts]);
                on_disk.extend(entries(&acknowledged));
                on_disk.extend(entries(&Record {
                    epoch: 5,
                    ..Record::default()
                }));
                let disk = disk_with(&on_disk);
                for _ in 0..2 {
                    let mut opened = open_with(&disk, NEVER_COMPACT);
                    assert_eq!(
                        opened.state.records()[0].decided,
                        acknowledged.decided,
                        "{interrupted} {written_parts} {next}"
                    );
                    assert_eq!(opened.state.epoch, Epoch::new(5));
                    opened
                        .log
                        .write(&[Record::default()])
                        .expect("there is room");
                }
            }
        }
    }
}

#[test]
fn entries_that_do_not_decode_are_an_error() {
    let part = |marker: u8, bytes: usize| {
        let mut entry = vec![0xff; bytes];
        entry[0] = marker;
        entry
    };
    for on_disk in [
        vec![part(LAST_PART_MARKER, 40)],
        vec![
            part(PART_MARKER, PART_ENTRY_BYTES),
            part(LAST_PART_MARKER, 40),
        ],
    ] {
        let disk = disk_with(&on_disk);
        let opened = StateLog::open(move || Ok(disk.clone()), COMPACT_ABOVE);
        assert!(matches!(opened, Err(StateLogError::Decode { .. })));
    }
}

#[test]
fn long_records_survive_crashes_at_any_byte_and_full_disks() {
    let (disk, mut random) = (Disk::default(), Rand64::new(11));
    let (mut acknowledged, mut next) = (0, 1);
    for round in 0..30 {
        let mut opened = open_with(&disk, NEVER_COMPACT);
        assert!(number(&opened) >= acknowledged, "round {round}");
        for _ in 0..random.rand_range(0..3) {
            let bytes = [300, TWO_ENTRY_BYTES][usize::from(random.rand_range(0..3) == 0)];
            opened
                .log
                .write(&[decided(next, bytes)])
                .expect("there is room");
            (acknowledged, next) = (next, next + 1);
        }
        let is_full = random.rand_range(0..2) == 0;
        if is_full {
            let free_bytes =
                usize::try_from(random.rand_range(0..THREE_ENTRY_BYTES as u64)).expect("small");
            disk.borrow_mut().limit_free_bytes(free_bytes);
        } else {
            disk.borrow_mut().syncs_until_failure = Some(0);
        }
        if opened
            .log
            .write(&[decided(next, THREE_ENTRY_BYTES)])
            .is_ok()
        {
            acknowledged = next;
        }
        next += 1;
        drop(opened);
        if is_full {
            // The process exits, and the bytes that fitted on the disk remain.
            disk.borrow_mut().capacity = None;
        } else {
            disk.borrow_mut().crash(&mut random);
        }
    }
}
