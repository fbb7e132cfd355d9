//! The log through crashes at any moment, full and failing disks and damage, judged by what was promised.

use linenthread_store::{
    Directory, DirectoryError, Files, Log, LogError, MAX_RECORD_BYTES, SimulatedDisk,
};
use oorandom::Rand64;
use proptest::prelude::*;

/// The first generation's file.
const FIRST: &str = "0000000000000001.log";

fn content(n: u64) -> Vec<u8> {
    let length = Rand64::new(u128::from(n)).rand_range(0..150) as usize;
    n.to_be_bytes()
        .into_iter()
        .chain(std::iter::repeat_n(n as u8, length))
        .collect()
}

/// One life after the other over one disk: each begins with what was promised and a beginning of the rest.
fn lives(seed: u64) {
    let mut chance = Rand64::new(u128::from(seed));
    let mut disk = SimulatedDisk::default();
    // What the log held when it was last synced, and all that was added since.
    let (mut promised, mut added, mut number) = (Vec::<Vec<u8>>::new(), Vec::<Vec<u8>>::new(), 0);
    for life in 0..6 {
        let opened = Log::open(disk).unwrap_or_else(|e| panic!("seed {seed}, life {life}: {e}"));
        let (mut log, records) = (opened.log, opened.records);
        let whole: Vec<_> = promised.iter().chain(&added).cloned().collect();
        assert!(
            records.len() >= promised.len(),
            "seed {seed}, life {life}: promised ones are lost"
        );
        assert!(
            whole.starts_with(&records),
            "seed {seed}, life {life}: what is there was never added so"
        );
        (promised, added) = (records, Vec::new());
        if chance.rand_range(0..4) == 0 {
            log.files().syncs_until_failure = Some(chance.rand_range(0..4) as usize);
        }
        if chance.rand_range(0..4) == 0 {
            let room = log.bytes() as usize + chance.rand_range(0..600) as usize;
            log.files().capacity = Some(room);
        }
        for _ in 0..chance.rand_range(0..25) {
            let done = match chance.rand_range(0..8) {
                0..5 => {
                    number += 1;
                    let done = log.append(&content(number));
                    added.extend(done.is_ok().then(|| content(number)));
                    done
                }
                5..7 => {
                    let done = log.sync();
                    if done.is_ok() {
                        promised.append(&mut added);
                    }
                    done
                }
                _ => {
                    let rest: Vec<_> = promised.iter().chain(&added).skip(3).cloned().collect();
                    match log.rewrite(&rest) {
                        Ok(()) => {
                            (promised, added) = (rest, Vec::new());
                            Ok(())
                        }
                        // It may have been done or not: the next life's records are one of the two.
                        Err(_) => {
                            disk = log.into_files();
                            disk.crash(&mut chance);
                            let records = Log::open(disk.clone()).unwrap().records;
                            assert!(
                                records == rest || records == promised,
                                "seed {seed}, life {life}"
                            );
                            (promised, added) = (records, Vec::new());
                            log = Log::open(disk).unwrap().log;
                            Ok(())
                        }
                    }
                }
            };
            if done.is_err() {
                assert!(log.is_stopped());
                assert!(matches!(log.append(&[]), Err(LogError::Stopped)));
                assert!(
                    matches!(log.sync(), Err(LogError::Stopped)),
                    "seed {seed}: a failed sync is tried again"
                );
                break;
            }
        }
        disk = log.into_files();
        disk.crash(&mut chance);
    }
}

#[test]
fn what_was_synced_is_there_after_any_crash() {
    (0..3_000).for_each(lives);
}

/// A bit turned in what was synced is named by its file, unless it lies in the last sync's records, which
/// nothing behind them vouches for; then they are cut off, and that is said.
#[test]
fn damage_is_named_and_never_passed_over() {
    let (mut named, mut cut) = (0, 0);
    for seed in 0..500 {
        let mut chance = Rand64::new(seed);
        let mut log = Log::open(SimulatedDisk::default()).unwrap().log;
        let records: Vec<_> = (0..12).map(content).collect();
        for data in &records {
            log.append(data).unwrap();
            log.sync().unwrap();
        }
        let last = log.bytes() - (25 + records[11].len()) as u64;
        let mut disk = log.into_files();
        let (file, at) = disk.flip_bit(&mut chance).unwrap();
        match Log::open(disk) {
            Err(LogError::Damaged {
                file: said,
                offset: from,
                ..
            }) => {
                assert!(
                    said == file && from <= at as u64,
                    "seed {seed}: {from} for {at}"
                );
                named += 1;
            }
            Err(other) => panic!("seed {seed}: {other}"),
            Ok(opened) => {
                assert!(
                    at as u64 >= last && opened.torn_tail.is_some(),
                    "seed {seed}: damage at {at} passed over"
                );
                assert_eq!(opened.records, records[..11]);
                cut += 1;
            }
        }
    }
    assert!(named > 400 && cut > 5, "{named} named, {cut} cut");
}

#[test]
fn a_folder_is_held_by_one_and_its_log_survives() {
    let folder = std::env::temp_dir().join(format!("linenthread-store-{}", std::process::id()));
    std::fs::remove_dir_all(&folder).ok();
    let mut log = Log::open(Directory::open(&folder).unwrap()).unwrap().log;
    let said = Directory::open(&folder).unwrap_err();
    assert!(
        matches!(&said, DirectoryError::Locked { path } if *path == folder)
            && said.to_string().contains("another process has this folder"),
        "{said}"
    );
    log.append(b"one").unwrap();
    log.sync().unwrap();
    assert!(matches!(
        log.append(&vec![0; MAX_RECORD_BYTES + 1]),
        Err(LogError::RecordTooLong { bytes }) if bytes == MAX_RECORD_BYTES + 1
    ));
    log.append(b"never synced").unwrap();
    drop(log);
    let opened = Log::open(Directory::open(&folder).unwrap()).unwrap();
    assert_eq!(
        (opened.records, opened.torn_tail),
        (vec![b"one".to_vec()], None)
    );
    let mut log = opened.log;
    log.rewrite(&[b"two".to_vec(), b"three".to_vec()]).unwrap();
    let mut files = log.into_files();
    assert_eq!(files.list().unwrap().len(), 1);
    // A torn end, as a crash in the midst of a write leaves it.
    let name = files.list().unwrap().remove(0);
    files.append(&name, &[0, 0, 0, 9, 1, 2]).unwrap();
    drop(files);
    let opened = Log::open(Directory::open(&folder).unwrap()).unwrap();
    assert_eq!(opened.records, [b"two".to_vec(), b"three".to_vec()]);
    assert_eq!(opened.torn_tail.unwrap().bytes, 6);
    // A file of a later version is refused as that, whatever else stands in it.
    let mut files = opened.log.into_files();
    let mut later = b"LTLG\x07".to_vec();
    later.extend([0; 16]);
    later.extend(crc32fast::hash(&later).to_be_bytes());
    files.append("00000000000000ff.log", &later).unwrap();
    let Err(said) = Log::open(files).map(|_| ()) else {
        panic!("it was read")
    };
    assert_eq!(
        said.to_string(),
        "00000000000000ff.log is of version 7, this program reads 1"
    );
    std::fs::remove_dir_all(&folder).unwrap();
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever lies in the folder, opening ends with a log or with one plain error.
    #[test]
    fn any_bytes_are_read_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..400), good in any::<bool>()) {
        let mut disk = SimulatedDisk::default();
        let mut log = Log::open(SimulatedDisk::default()).unwrap().log;
        log.append(b"good").unwrap();
        log.sync().unwrap();
        let mut whole = log.into_files();
        let start = if good { whole.read(FIRST).unwrap() } else { Vec::new() };
        disk.append(FIRST, &[start, bytes].concat()).unwrap();
        disk.append("notes.txt", b"somebody's").unwrap();
        if let Ok(opened) = Log::open(disk) {
            prop_assert_eq!(opened.records.len(), usize::from(good));
        }
    }
}
