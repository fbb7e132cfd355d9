//! Log files that an earlier version wrote: they open with the records that were written, and writing the same
//! records again gives the same bytes.
//!
//! The files under `tests/golden/` were written by commit 464716d. They must never be regenerated to make a test
//! pass: disks that were written before an upgrade hold such bytes.

use linenthread_golden::decode_hex;
use linenthread_store::{Directory, Files, Log, SimulatedDisk};

/// The only file of a log that was never rewritten.
const FIRST_FILE: &str = "0000000000000001.log";
/// The file after the first rewriting.
const SECOND_FILE: &str = "0000000000000002.log";
/// So many bytes of the records that did not fit were written before the disk was full: one record and a part of
/// the next.
const TORN_BYTES: usize = 55;

fn disk_with(name: &str, bytes: &[u8]) -> SimulatedDisk {
    let mut disk = SimulatedDisk::default();
    disk.append(name, bytes).expect("there is room");
    disk
}

/// The one file on the disk.
fn file(log: Log<SimulatedDisk>) -> (String, Vec<u8>) {
    let mut disk = log.into_files();
    let names = disk.list().expect("a folder");
    assert_eq!(names.len(), 1, "{names:?}");
    let bytes = disk.read(&names[0]).expect("a file");
    (names[0].clone(), bytes)
}

/// Records as they were added, one sync after each group.
fn groups() -> Vec<Vec<Vec<u8>>> {
    let long: Vec<u8> = (0..=255).chain(0..44).collect();
    vec![
        vec![b"first".to_vec()],
        vec![Vec::new(), long],
        vec![b"\x00\xff".to_vec(), b"last".to_vec()],
    ]
}

/// What a disk that had become full took in part.
fn torn_group() -> Vec<Vec<u8>> {
    vec![b"torn 1".to_vec(), b"torn 2".to_vec()]
}

/// What was added after the torn end was cut off.
const AFTER_TORN: &[u8] = b"after the torn end";

fn add(log: &mut Log<SimulatedDisk>, group: &[Vec<u8>]) {
    for record in group {
        log.append(record).expect("a short record");
    }
}

#[test]
fn a_log_of_version_464716d_opens_with_its_records() {
    let bytes = decode_hex(include_str!("golden/log.hex"));
    let opened = Log::open(disk_with(FIRST_FILE, &bytes)).expect("the log opens");
    assert_eq!(opened.torn_tail, None);
    assert_eq!(opened.records, groups().concat());
    assert_eq!(file(opened.log), (FIRST_FILE.to_owned(), bytes));
}

#[test]
fn a_log_of_version_464716d_opens_in_a_real_folder() {
    let path = std::env::temp_dir().join(format!("linenthread-golden-{}", std::process::id()));
    let bytes = decode_hex(include_str!("golden/log.hex"));
    std::fs::create_dir_all(&path).expect("a folder");
    std::fs::write(path.join(FIRST_FILE), &bytes).expect("there is room");
    let folder = Directory::open(&path).expect("the folder is free");
    let opened = Log::open(folder).expect("the log opens");
    assert_eq!(opened.records, groups().concat());
    drop(opened);
    assert_eq!(
        std::fs::read(path.join(FIRST_FILE)).expect("it is there"),
        bytes
    );
    std::fs::remove_dir_all(&path).expect("the folder is ours");
}

#[test]
fn adding_the_same_records_gives_the_bytes_of_version_464716d() {
    let mut log = Log::open(SimulatedDisk::default())
        .expect("an empty disk")
        .log;
    for group in groups() {
        add(&mut log, &group);
        log.sync().expect("there is room");
    }
    let bytes = decode_hex(include_str!("golden/log.hex"));
    assert_eq!(file(log), (FIRST_FILE.to_owned(), bytes));
}

#[test]
fn rewriting_gives_the_bytes_of_version_464716d() {
    let bytes = decode_hex(include_str!("golden/log.hex"));
    let opened = Log::open(disk_with(FIRST_FILE, &bytes)).expect("the log opens");
    let mut log = opened.log;
    let rest = &opened.records[2..];
    log.rewrite(rest).expect("there is room");
    let rewritten = decode_hex(include_str!("golden/log_rewritten.hex"));
    assert_eq!(file(log), (SECOND_FILE.to_owned(), rewritten.clone()));
    let reopened = Log::open(disk_with(SECOND_FILE, &rewritten)).expect("the log opens");
    assert_eq!(reopened.records, rest);
}

#[test]
fn a_disk_that_is_full_is_left_with_the_torn_end_of_version_464716d() {
    let bytes = decode_hex(include_str!("golden/log.hex"));
    let mut log = Log::open(disk_with(FIRST_FILE, &bytes))
        .expect("the log opens")
        .log;
    log.files().limit_free_bytes(TORN_BYTES);
    add(&mut log, &torn_group());
    log.sync().expect_err("the disk is full");
    let torn = decode_hex(include_str!("golden/log_torn.hex"));
    assert_eq!(file(log).1, torn);
}

#[test]
fn a_torn_end_of_version_464716d_is_cut_and_written_over_as_it_did() {
    let complete = decode_hex(include_str!("golden/log.hex"));
    let torn = decode_hex(include_str!("golden/log_torn.hex"));
    let opened = Log::open(disk_with(FIRST_FILE, &torn)).expect("the log opens");
    let mut records = groups().concat();
    records.push(torn_group().remove(0));
    assert_eq!(opened.records, records);
    let torn_tail = opened.torn_tail.expect("a torn end");
    assert_eq!(torn_tail.file, FIRST_FILE);
    assert_eq!(torn_tail.offset + torn_tail.bytes, torn.len() as u64);
    assert!(torn_tail.offset > complete.len() as u64);
    let mut log = opened.log;
    log.append(AFTER_TORN).expect("a short record");
    log.sync().expect("there is room");
    let after = decode_hex(include_str!("golden/log_after_torn.hex"));
    assert_eq!(file(log).1, after);
    let reopened = Log::open(disk_with(FIRST_FILE, &after)).expect("the log opens");
    records.push(AFTER_TORN.to_vec());
    assert_eq!(reopened.records, records);
}
