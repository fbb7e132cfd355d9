//! Compatibility with log files of an earlier version: they open with the records that were written, and writing the
//! same records again gives the same bytes.
//!
//! The files under `tests/golden/` were written by commit 464716d. They must never be regenerated to make a test
//! pass: disks written before an upgrade hold these bytes.

use linenthread_golden::decode_hex;
use linenthread_store::{Directory, Files, Log, SimulatedDisk};

/// The file of a log that was never rewritten.
const FIRST_FILE: &str = "0000000000000001.log";
/// The file after the first rewrite.
const SECOND_FILE: &str = "0000000000000002.log";
/// Number of bytes that were written before the disk was full: one record and part of the next.
const TORN_BYTES: usize = 55;

fn disk_with(name: &str, bytes: &[u8]) -> SimulatedDisk {
    let mut disk = SimulatedDisk::default();
    disk.append(name, bytes).expect("there is room");
    disk
}

/// Returns the name and the bytes of the only file on the disk.
fn file(log: Log<SimulatedDisk>) -> (String, Vec<u8>) {
    let mut disk = log.into_files();
    let names = disk.list().expect("the directory is readable");
    assert_eq!(names.len(), 1, "{names:?}");
    let bytes = disk.read(&names[0]).expect("the file is readable");
    (names[0].clone(), bytes)
}

/// Returns the records in the order in which they were appended, with one sync after each group.
fn groups() -> Vec<Vec<Vec<u8>>> {
    let long: Vec<u8> = (0..=255).chain(0..44).collect();
    vec![
        vec![b"first".to_vec()],
        vec![Vec::new(), long],
        vec![b"\x00\xff".to_vec(), b"last".to_vec()],
    ]
}

/// Returns the records that were written only in part because the disk was full.
fn torn_group() -> Vec<Vec<u8>> {
    vec![b"torn 1".to_vec(), b"torn 2".to_vec()]
}

/// The record that was appended after the torn tail was truncated.
const AFTER_TORN: &[u8] = b"after the torn end";

fn append_all(log: &mut Log<SimulatedDisk>, group: &[Vec<u8>]) {
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
fn a_log_of_version_464716d_opens_in_a_real_directory() {
    let path = std::env::temp_dir().join(format!("linenthread-golden-{}", std::process::id()));
    let bytes = decode_hex(include_str!("golden/log.hex"));
    std::fs::create_dir_all(&path).expect("the directory can be created");
    std::fs::write(path.join(FIRST_FILE), &bytes).expect("there is room");
    let directory = Directory::open(&path).expect("the directory is not locked");
    let opened = Log::open(directory).expect("the log opens");
    assert_eq!(opened.records, groups().concat());
    drop(opened);
    assert_eq!(
        std::fs::read(path.join(FIRST_FILE)).expect("the file is readable"),
        bytes
    );
    std::fs::remove_dir_all(&path).expect("the directory can be removed");
}

#[test]
fn appending_the_same_records_gives_the_bytes_of_version_464716d() {
    let mut log = Log::open(SimulatedDisk::default())
        .expect("an empty disk")
        .log;
    for group in groups() {
        append_all(&mut log, &group);
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
fn a_full_disk_leaves_the_torn_tail_of_version_464716d() {
    let bytes = decode_hex(include_str!("golden/log.hex"));
    let mut log = Log::open(disk_with(FIRST_FILE, &bytes))
        .expect("the log opens")
        .log;
    log.files().limit_free_bytes(TORN_BYTES);
    append_all(&mut log, &torn_group());
    log.sync().expect_err("the disk is full");
    let torn = decode_hex(include_str!("golden/log_torn.hex"));
    assert_eq!(file(log).1, torn);
}

#[test]
fn a_torn_tail_of_version_464716d_is_truncated_and_overwritten_with_the_same_bytes() {
    let complete = decode_hex(include_str!("golden/log.hex"));
    let torn = decode_hex(include_str!("golden/log_torn.hex"));
    let opened = Log::open(disk_with(FIRST_FILE, &torn)).expect("the log opens");
    let mut records = groups().concat();
    records.push(torn_group().remove(0));
    assert_eq!(opened.records, records);
    let torn_tail = opened.torn_tail.expect("a torn tail");
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
