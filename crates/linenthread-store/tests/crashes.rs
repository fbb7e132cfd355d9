//! Tests of the log with crashes at random points, full and failing disks, and damaged files: synced records survive,
//! and damage is reported.

use linenthread_store::{
    Directory, DirectoryError, Files, Log, LogError, MAX_RECORD_BYTES, SimulatedDisk,
};
use oorandom::Rand64;
use proptest::prelude::*;

/// The first generation's file.
const FIRST_FILE: &str = "0000000000000001.log";

/// Returns a random number below `bound`.
fn random_below(random: &mut Rand64, bound: u64) -> usize {
    usize::try_from(random.rand_range(0..bound)).expect("bounds are small")
}

fn record_data(n: u64) -> Vec<u8> {
    let length = random_below(&mut Rand64::new(u128::from(n)), 150);
    let bytes = n.to_be_bytes();
    bytes
        .into_iter()
        .chain(std::iter::repeat_n(bytes[7], length))
        .collect()
}

/// A log that is used and crashes repeatedly on one disk, with the records that it should hold.
struct CrashScenario {
    seed: u64,
    random: Rand64,
    /// The log's records as of its last sync.
    synced: Vec<Vec<u8>>,
    /// The records appended since.
    unsynced: Vec<Vec<u8>>,
    /// Number of the last record that was appended.
    number: u64,
}

impl CrashScenario {
    fn new(seed: u64) -> CrashScenario {
        CrashScenario {
            seed,
            random: Rand64::new(u128::from(seed)),
            synced: Vec::new(),
            unsynced: Vec::new(),
            number: 0,
        }
    }

    /// Opens, uses and crashes the log six times; each time it must open with all synced records and a prefix of the
    /// unsynced ones.
    fn run(&mut self) {
        let mut disk = SimulatedDisk::default();
        for incarnation in 0..6 {
            let mut log = self.open(incarnation, disk);
            self.inject_random_faults(&mut log);
            for _ in 0..self.random.rand_range(0..25) {
                let result;
                (log, result) = self.step(incarnation, log);
                if result.is_err() {
                    self.check_stopped(&mut log);
                    break;
                }
            }
            disk = log.into_files();
            disk.crash(&mut self.random);
        }
    }

    fn open(&mut self, incarnation: u32, disk: SimulatedDisk) -> Log<SimulatedDisk> {
        let seed = self.seed;
        let opened = Log::open(disk)
            .unwrap_or_else(|e| panic!("seed {seed}, incarnation {incarnation}: {e}"));
        let (log, records) = (opened.log, opened.records);
        let all: Vec<_> = self.synced.iter().chain(&self.unsynced).cloned().collect();
        assert!(
            records.len() >= self.synced.len(),
            "seed {seed}, incarnation {incarnation}: synced records are lost"
        );
        assert!(
            all.starts_with(&records),
            "seed {seed}, incarnation {incarnation}: the records differ from those appended"
        );
        (self.synced, self.unsynced) = (records, Vec::new());
        log
    }

    fn inject_random_faults(&mut self, log: &mut Log<SimulatedDisk>) {
        if self.random.rand_range(0..4) == 0 {
            log.files().syncs_until_failure = Some(random_below(&mut self.random, 4));
        }
        if self.random.rand_range(0..4) == 0 {
            let bytes = usize::try_from(log.file_bytes()).expect("a short log");
            log.files().capacity = Some(bytes + random_below(&mut self.random, 600));
        }
    }

    /// Appends, syncs or rewrites at random, and returns the log, which is reopened if the rewrite failed.
    fn step(
        &mut self,
        incarnation: u32,
        mut log: Log<SimulatedDisk>,
    ) -> (Log<SimulatedDisk>, Result<(), LogError>) {
        let result = match self.random.rand_range(0..8) {
            0..5 => {
                self.number += 1;
                let result = log.append(&record_data(self.number));
                self.unsynced
                    .extend(result.is_ok().then(|| record_data(self.number)));
                result
            }
            5..7 => {
                let result = log.sync();
                if result.is_ok() {
                    self.synced.append(&mut self.unsynced);
                }
                result
            }
            _ => {
                log = self.rewrite(incarnation, log);
                Ok(())
            }
        };
        (log, result)
    }

    fn rewrite(&mut self, incarnation: u32, mut log: Log<SimulatedDisk>) -> Log<SimulatedDisk> {
        let all = self.synced.iter().chain(&self.unsynced);
        let rest: Vec<_> = all.skip(3).cloned().collect();
        if log.rewrite(&rest).is_ok() {
            (self.synced, self.unsynced) = (rest, Vec::new());
            return log;
        }
        // A failed rewrite may or may not have taken effect: the reopened log holds either the new or the old records.
        let mut disk = log.into_files();
        disk.crash(&mut self.random);
        let records = Log::open(disk.clone()).unwrap().records;
        assert!(
            records == rest || records == self.synced,
            "seed {}, incarnation {incarnation}",
            self.seed
        );
        (self.synced, self.unsynced) = (records, Vec::new());
        Log::open(disk).unwrap().log
    }

    fn check_stopped(&self, log: &mut Log<SimulatedDisk>) {
        assert!(log.is_stopped());
        assert!(matches!(log.append(&[]), Err(LogError::Stopped)));
        assert!(
            matches!(log.sync(), Err(LogError::Stopped)),
            "seed {}: a failed sync was retried",
            self.seed
        );
    }
}

#[test]
fn synced_records_survive_any_crash() {
    (0..3_000).for_each(|seed| CrashScenario::new(seed).run());
}

/// A flipped bit in synced bytes is reported as damage, with the file. Only in the records of the last sync (here a
/// single record), which no later record proves to have been synced, is it treated as a torn write: they are
/// truncated, and that is reported.
#[test]
fn damage_is_reported_and_never_skipped() {
    let (mut reported, mut truncated) = (0, 0);
    for seed in 0..500 {
        let mut random = Rand64::new(seed);
        let mut log = Log::open(SimulatedDisk::default()).unwrap().log;
        let records: Vec<_> = (0..12).map(record_data).collect();
        for data in &records {
            log.append(data).unwrap();
            log.sync().unwrap();
        }
        let last = log.file_bytes() - (25 + records[11].len()) as u64;
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
                    "seed {seed}: damage at {at} was skipped"
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
fn a_directory_has_one_owner_and_its_log_survives_reopening() {
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
    // A torn tail, as a crash during a write leaves it.
    let name = files.list().unwrap().remove(0);
    files.append(&name, &[0, 0, 0, 9, 1, 2]).unwrap();
    drop(files);
    let opened = Log::open(Directory::open(&path).unwrap()).unwrap();
    assert_eq!(opened.records, [b"two".to_vec(), b"three".to_vec()]);
    assert_eq!(opened.torn_tail.unwrap().bytes, 6);
    // A file of a later version is rejected with its version, whatever else it contains.
    let mut files = opened.log.into_files();
    let mut later = b"LTLG\x07".to_vec();
    later.extend([0; 16]);
    later.extend(crc32fast::hash(&later).to_be_bytes());
    files.append("00000000000000ff.log", &later).unwrap();
    let Err(error) = Log::open(files).map(|_| ()) else {
        panic!("a file of version 7 was read")
    };
    assert_eq!(
        error.to_string(),
        "00000000000000ff.log is of version 7, this program reads 1"
    );
    std::fs::remove_dir_all(&path).unwrap();
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// With any bytes in the directory, opening gives a log or an error and does not panic.
    #[test]
    fn any_bytes_are_read_or_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..400), good in any::<bool>()) {
        let mut disk = SimulatedDisk::default();
        let mut log = Log::open(SimulatedDisk::default()).unwrap().log;
        log.append(b"good").unwrap();
        log.sync().unwrap();
        let mut good_disk = log.into_files();
        let start = if good { good_disk.read(FIRST_FILE).unwrap() } else { Vec::new() };
        disk.append(FIRST_FILE, &[start, bytes].concat()).unwrap();
        disk.append("notes.txt", b"somebody's").unwrap();
        if let Ok(opened) = Log::open(disk) {
            prop_assert_eq!(opened.records.len(), usize::from(good));
        }
    }
}
