//! The state's log over the modelled disk: crashes at any moment, full disks, compaction.

use std::cell::RefCell;
use std::rc::Rc;

use linenthread_control::{Epoch, OpenedState, StateLog, StateLogError};
use linenthread_messages::{Record, Value};
use linenthread_store::{DirectoryError, SimulatedDisk};
use oorandom::Rand64;

const COMPACT_ABOVE: u64 = 4_000;

type Disk = Rc<RefCell<SimulatedDisk>>;

fn open(disk: &Disk) -> OpenedState<Disk, impl FnMut() -> Result<Disk, DirectoryError> + use<>> {
    let disk = disk.clone();
    StateLog::open(move || Ok(disk.clone()), COMPACT_ABOVE).expect("a disk without damage opens")
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
fn written_state_outlasts_losses_of_power_and_compaction() {
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
            assert!(opened.log.bytes() < COMPACT_ABOVE + 400);
        }
        // The last write is interrupted by the loss of power.
        let syncs = usize::try_from(random.rand_range(0..3)).expect("a small number");
        disk.borrow_mut().syncs_until_failure = Some(syncs);
        let _ = opened.log.write(&[decided(synced + 1, 300)]);
        disk.borrow_mut().crash(&mut random);
    }
}

#[test]
fn a_full_disk_fails_and_everything_is_written_once_there_is_space() {
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
