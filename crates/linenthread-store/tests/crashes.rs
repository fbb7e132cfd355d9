//! The log through crashes at any moment, full and failing disks and damage, judged by what was synced.

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

/// One incarnation after another over one disk: each begins with what was synced and a prefix of the rest.
fn run_incarnations(seed: u64) {
    let mut random = Rand64::new(u128::from(seed));
    let mut disk = SimulatedDisk::default();
    // What the log held when it was last synced, and all that was added since.
    let (mut synced, mut added, mut number) = (Vec::<Vec<u8>>::new(), Vec::<Vec<u8>>::new(), 0);
    for incarnation in 0..6 {
        let opened = Log::open(disk)
            .unwrap_or_else(|e| panic!("seed {seed}, incarnation {incarnation}: {e}"));
        let (mut log, records) = (opened.log, opened.records);
        let all: Vec<_> = synced.iter().chain(&added).cloned().collect();
        assert!(
            records.len() >= synced.len(),
            "seed {seed}, incarnation {incarnation}: synced records are lost"
        );
        assert!(
            all.starts_with(&records),
            "seed {seed}, incarnation {incarnation}: what is there was never added so"
        );
        (synced, added) = (records, Vec::new());
        if random.rand_range(0..4) == 0 {
            log.files().syncs_until_failure = Some(random.rand_range(0..4) as usize);
        }
        if random.rand_range(0..4) == 0 {
            let room = log.bytes() as usize + random.rand_range(0..600) as usize;
            log.files().capacity = Some(room);
        }
        for _ in 0..random.rand_range(0..25) {
            let done = match random.rand_range(0..8) {
                0..5 => {
                    number += 1;
                    let done = log.append(&content(number));
                    added.extend(done.is_ok().then(|| content(number)));
                    done
                }
                5..7 => {
                    let done = log.sync();
                    if done.is_ok() {
                        synced.append(&mut added);
                    }
                    done
                }
                _ => {
                    let rest: Vec<_> = synced.iter().chain(&added).skip(3).cloned().collect();
                    match log.rewrite(&rest) {
                        Ok(()) => {
                            (synced, added) = (rest, Vec::new());
                            Ok(())
                        }
                        // It may have been done or not: the next incarnation's records are one of the two.
                        Err(_) => {
                            disk = log.into_files();
                            disk.crash(&mut random);
                            let records = Log::open(disk.clone()).unwrap().records;
                            assert!(
                                records == rest || records == synced,
                                "seed {seed}, incarnation {incarnation}"
                            );
                            (synced, added) = (records, Vec::new());
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
        disk.crash(&mut random);
    }
}

#[test]
fn what_was_synced_is_there_after_any_crash() {
    (0..3_000).for_each(run_incarnations);
}

/// A bit flipped in what was synced is reported with its file, unless it lies in the records of the last sync, which
/// no later record proves to have been synced; then they are truncated, and that is reported.
#[test]
fn damage_is_reported_and_never_skipped() {
    let (mut reported, mut truncated) = (0, 0);
    for seed in 0..500 {
        let mut random = Rand64::new(seed);
        let mut log = Log::open(SimulatedDisk::default()).unwrap().log;
        let records: Vec<_> = (0..12).map(content).collect();
        for data in &records {
            log.append(data).unwrap();
            log.sync().unwrap();
        }
        let last = log.bytes() - (25 + records[11].len()) as u64;
        let mut disk = log.into_files();
        let (file, at) = disk.flip_bit(&mut random).unwrap();
        match Log::open(disk) {
            Err(LogError::Damaged {
                file: reported_file,
                offset: from,
                ..
            }) => {
                assert!(
                    reported_file == file && from <= at as u64,
                    "seed {seed}: {from} for {at}"
                );
                reported += 1;
            }
            Err(other) => panic!("seed {seed}: {other}"),
            Ok(opened) => {
                assert!(
                    at as u64 >= last && opened.torn_tail.is_some(),
                    "seed {seed}: damage at {at} skipped"
                );
                assert_eq!(opened.records, records[..11]);
                truncated += 1;
            }
        }
    }
    assert!(
        reported > 400 && truncated > 5,
        "{reported} reported, {truncated} truncated"
    );
}

#[test]
fn a_directory_is_locked_by_one_and_its_log_survives() {
    let path = std::env::temp_dir().join(format!("linenthread-store-{}", std::process::id()));
    std::fs::remove_dir_all(&path).ok();
    let mut log = Log::open(Directory::open(&path).unwrap()).unwrap().log;
    let error = Directory::open(&path).unwrap_err();
    assert!(
        matches!(&error, DirectoryError::Locked { path: locked } if *locked == path)
            && error
                .to_string()
                .contains("another process uses this directory"),
        "{error}"
    );
    log.append(b"one").unwrap();
    log.sync().unwrap();
    assert!(matches!(
        log.append(&vec![0; MAX_RECORD_BYTES + 1]),
        Err(LogError::RecordTooLong { bytes }) if bytes == MAX_RECORD_BYTES + 1
    ));
    log.append(b"never synced").unwrap();
    drop(log);
    let opened = Log::open(Directory::open(&path).unwrap()).unwrap();
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
    let opened = Log::open(Directory::open(&path).unwrap()).unwrap();
    assert_eq!(opened.records, [b"two".to_vec(), b"three".to_vec()]);
    assert_eq!(opened.torn_tail.unwrap().bytes, 6);
    // A file of a later version is refused as that, whatever else stands in it.
    let mut files = opened.log.into_files();
    let mut later = b"LTLG\x07".to_vec();
    later.extend([0; 16]);
    later.extend(crc32fast::hash(&later).to_be_bytes());
    files.append("00000000000000ff.log", &later).unwrap();
    let Err(error) = Log::open(files).map(|_| ()) else {
        panic!("it was read")
    };
    assert_eq!(
        error.to_string(),
        "00000000000000ff.log is of version 7, this program reads 1"
    );
    std::fs::remove_dir_all(&path).unwrap();
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever lies in the directory, opening ends with a log or with one plain error.
    #[test]
    fn any_bytes_are_read_or_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..400), good in any::<bool>()) {
        let mut disk = SimulatedDisk::default();
        let mut log = Log::open(SimulatedDisk::default()).unwrap().log;
        log.append(b"good").unwrap();
        log.sync().unwrap();
        let mut good_disk = log.into_files();
        let start = if good { good_disk.read(FIRST).unwrap() } else { Vec::new() };
        disk.append(FIRST, &[start, bytes].concat()).unwrap();
        disk.append("notes.txt", b"somebody's").unwrap();
        if let Ok(opened) = Log::open(disk) {
            prop_assert_eq!(opened.records.len(), usize::from(good));
        }
    }
}
