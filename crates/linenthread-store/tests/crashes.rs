//! The log through crashes at any moment, full and failing disks and damage, judged by what was synced.

use linenthread_store::{
    Directory, DirectoryError, Files, Log, LogError, MAX_RECORD_BYTES, SimulatedDisk,
};
use oorandom::Rand64;
use proptest::prelude::*;

/// The first generation's file.
const FIRST: &str = "0000000000000001.log";

/// A random number below `bound`.
fn below(random: &mut Rand64, bound: u64) -> usize {
    usize::try_from(random.rand_range(0..bound)).expect("bounds are small")
}

fn content(n: u64) -> Vec<u8> {
    let length = below(&mut Rand64::new(u128::from(n)), 150);
    let bytes = n.to_be_bytes();
    bytes
        .into_iter()
        .chain(std::iter::repeat_n(bytes[7], length))
        .collect()
}

/// One incarnation after another over one disk, and what its log should hold.
struct Incarnations {
    seed: u64,
    random: Rand64,
    /// What the log held when it was last synced.
    synced: Vec<Vec<u8>>,
    /// All that was added since.
    added: Vec<Vec<u8>>,
    /// Number of the last content that was appended.
    number: u64,
}

impl Incarnations {
    fn new(seed: u64) -> Incarnations {
        Incarnations {
            seed,
            random: Rand64::new(u128::from(seed)),
            synced: Vec::new(),
            added: Vec::new(),
            number: 0,
        }
    }

    /// Each incarnation begins with what was synced and a prefix of the rest.
    fn run(&mut self) {
        let mut disk = SimulatedDisk::default();
        for incarnation in 0..6 {
            let mut log = self.open(incarnation, disk);
            self.draw_faults(&mut log);
            for _ in 0..self.random.rand_range(0..25) {
                let done;
                (log, done) = self.step(incarnation, log);
                if done.is_err() {
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
        let all: Vec<_> = self.synced.iter().chain(&self.added).cloned().collect();
        assert!(
            records.len() >= self.synced.len(),
            "seed {seed}, incarnation {incarnation}: synced records are lost"
        );
        assert!(
            all.starts_with(&records),
            "seed {seed}, incarnation {incarnation}: what is there was never added so"
        );
        (self.synced, self.added) = (records, Vec::new());
        log
    }

    fn draw_faults(&mut self, log: &mut Log<SimulatedDisk>) {
        if self.random.rand_range(0..4) == 0 {
            log.files().syncs_until_failure = Some(below(&mut self.random, 4));
        }
        if self.random.rand_range(0..4) == 0 {
            let bytes = usize::try_from(log.bytes()).expect("a short log");
            log.files().capacity = Some(bytes + below(&mut self.random, 600));
        }
    }

    /// Appends, syncs or rewrites; the log is another one if the rewrite failed.
    fn step(
        &mut self,
        incarnation: u32,
        mut log: Log<SimulatedDisk>,
    ) -> (Log<SimulatedDisk>, Result<(), LogError>) {
        let done = match self.random.rand_range(0..8) {
            0..5 => {
                self.number += 1;
                let done = log.append(&content(self.number));
                self.added
                    .extend(done.is_ok().then(|| content(self.number)));
                done
            }
            5..7 => {
                let done = log.sync();
                if done.is_ok() {
                    self.synced.append(&mut self.added);
                }
                done
            }
            _ => {
                log = self.rewrite(incarnation, log);
                Ok(())
            }
        };
        (log, done)
    }

    fn rewrite(&mut self, incarnation: u32, mut log: Log<SimulatedDisk>) -> Log<SimulatedDisk> {
        let all = self.synced.iter().chain(&self.added);
        let rest: Vec<_> = all.skip(3).cloned().collect();
        if log.rewrite(&rest).is_ok() {
            (self.synced, self.added) = (rest, Vec::new());
            return log;
        }
        // It may have been done or not: the next incarnation's records are one of the two.
        let mut disk = log.into_files();
        disk.crash(&mut self.random);
        let records = Log::open(disk.clone()).unwrap().records;
        assert!(
            records == rest || records == self.synced,
            "seed {}, incarnation {incarnation}",
            self.seed
        );
        (self.synced, self.added) = (records, Vec::new());
        Log::open(disk).unwrap().log
    }

    fn check_stopped(&self, log: &mut Log<SimulatedDisk>) {
        assert!(log.is_stopped());
        assert!(matches!(log.append(&[]), Err(LogError::Stopped)));
        assert!(
            matches!(log.sync(), Err(LogError::Stopped)),
            "seed {}: a failed sync is tried again",
            self.seed
        );
    }
}

#[test]
fn what_was_synced_is_there_after_any_crash() {
    (0..3_000).for_each(|seed| Incarnations::new(seed).run());
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
