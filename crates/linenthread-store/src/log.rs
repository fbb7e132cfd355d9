//! The log: one file a generation, records added to its end, a new generation where the old has grown too long.

use std::fmt;
use std::io;

use crate::Files;

/// The format's version; another is refused.
const VERSION: u8 = 1;
/// A record's bytes at the most.
pub const LONGEST: usize = 1024 * 1024;
/// `LTLG`, version, the generation, its first record's number, checksum: it begins every file.
const HEAD: usize = 4 + 1 + 8 + 8 + 4;
/// Length, number, number that was synced when it was written, kind, checksum of all that and of the bytes.
const RECORD: usize = 4 + 8 + 8 + 1 + 4;
const DATA: u8 = 1;
/// Ends what a generation begins with: before it the generation does not count.
const BASE: u8 = 2;

/// Why a log cannot be opened, or takes nothing more.
#[derive(Clone, Debug, PartialEq)]
pub enum Trouble {
    /// What was there once is not readable any more: file and offset.
    Damaged { file: String, at: u64, why: String },
    /// Another version wrote it.
    Version { file: String, version: u8 },
    /// The disk failed or is full; what was being written may be there or not.
    Disk(String),
    /// It failed before and takes nothing until it is opened anew.
    Stopped,
    /// A record is too long to be kept.
    TooLong(usize),
}

impl fmt::Display for Trouble {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Trouble::Damaged { file, at, why } => {
                write!(f, "{file} is damaged at byte {at}: {why}")
            }
            Trouble::Version { file, version } => {
                write!(
                    f,
                    "{file} is of version {version}, this program reads {VERSION}"
                )
            }
            Trouble::Disk(why) => write!(f, "the disk failed: {why}"),
            Trouble::Stopped => write!(f, "the disk failed before"),
            Trouble::TooLong(bytes) => {
                write!(f, "a record of {bytes} bytes is too long to be kept")
            }
        }
    }
}

/// What a crash had left unfinished at a log's end, and was cut off.
#[derive(Clone, Debug, PartialEq)]
pub struct Cut {
    pub file: String,
    pub at: u64,
    pub bytes: u64,
}

/// A log as it was found.
pub struct Opened<F> {
    pub log: Log<F>,
    /// All records, oldest first.
    pub records: Vec<Vec<u8>>,
    pub cut: Option<Cut>,
}

/// Records that outlast a crash once they are synced.
#[derive(Debug)]
pub struct Log<F> {
    files: F,
    generation: u64,
    /// The next record's number, and the last one that a sync took; over all generations.
    next: u64,
    synced: u64,
    /// What was added and is not yet written.
    waiting: Vec<u8>,
    /// Bytes in this generation's file, with what waits.
    bytes: u64,
    stopped: bool,
}

fn name(generation: u64) -> String {
    format!("{generation:016x}.log")
}

fn generation(name: &str) -> Option<u64> {
    let digits = name
        .strip_suffix(".log")
        .filter(|digits| digits.len() == 16)?;
    u64::from_str_radix(digits, 16).ok()
}

fn head(generation: u64, first: u64) -> Vec<u8> {
    let mut bytes = b"LTLG".to_vec();
    bytes.push(VERSION);
    bytes.extend(generation.to_be_bytes());
    bytes.extend(first.to_be_bytes());
    bytes.extend(crc32fast::hash(&bytes).to_be_bytes());
    bytes
}

fn record(number: u64, synced: u64, kind: u8, data: &[u8]) -> Vec<u8> {
    let mut bytes = (data.len() as u32).to_be_bytes().to_vec();
    bytes.extend(number.to_be_bytes());
    bytes.extend(synced.to_be_bytes());
    bytes.push(kind);
    let mut sum = crc32fast::Hasher::new();
    sum.update(&bytes);
    sum.update(data);
    bytes.extend(sum.finalize().to_be_bytes());
    bytes.extend(data);
    bytes
}

struct Record<'a> {
    number: u64,
    synced: u64,
    kind: u8,
    data: &'a [u8],
}

/// The record at the beginning of these bytes, if they are one.
fn parse(bytes: &[u8]) -> Option<Record<'_>> {
    let head = bytes.first_chunk::<RECORD>()?;
    let length = u32::from_be_bytes(head[..4].try_into().ok()?) as usize;
    let data = bytes
        .get(RECORD..RECORD + length)
        .filter(|_| length <= LONGEST)?;
    let mut sum = crc32fast::Hasher::new();
    sum.update(&head[..RECORD - 4]);
    sum.update(data);
    (sum.finalize().to_be_bytes() == head[RECORD - 4..]).then_some(Record {
        number: u64::from_be_bytes(head[4..12].try_into().ok()?),
        synced: u64::from_be_bytes(head[12..20].try_into().ok()?),
        kind: head[20],
        data,
    })
}

/// What one generation's file holds.
struct Read {
    records: Vec<Vec<u8>>,
    /// What it begins with is all there.
    is_whole: bool,
    next: u64,
    /// So many bytes are good.
    good: usize,
}

/// Reads a file's records up to the first that is none.
///
/// # Errors
///
/// A later record says that a sync had taken the bad one: then it was promised, and is damaged.
fn read(file: &str, bytes: &[u8], of: u64) -> Result<Read, Trouble> {
    let damaged = |at: usize, why: &str| {
        Err(Trouble::Damaged {
            file: file.to_owned(),
            at: at as u64,
            why: why.to_owned(),
        })
    };
    let mut read = Read {
        records: Vec::new(),
        is_whole: false,
        next: 0,
        good: 0,
    };
    let first = bytes
        .get(13..21)
        .and_then(|n| n.try_into().ok())
        .map_or(0, u64::from_be_bytes);
    if bytes.get(..HEAD).is_none_or(|h| h != head(of, first)) {
        // The head of any version has its checksum there: one that is only spoilt is of no other version.
        let summed = bytes
            .get(..HEAD)
            .is_some_and(|h| crc32fast::hash(&h[..21]).to_be_bytes() == h[21..]);
        if summed && bytes.starts_with(b"LTLG") && bytes[4] != VERSION {
            return Err(Trouble::Version {
                file: file.to_owned(),
                version: bytes[4],
            });
        }
        // A record that was written after a sync had taken what the file begins with tells that it was there.
        let records = || (0..bytes.len()).filter_map(|at| parse(&bytes[at..]));
        let base = records()
            .find(|r| r.kind == BASE)
            .map_or(u64::MAX, |r| r.number);
        return match records().any(|r| r.synced >= base) {
            true => damaged(0, "its beginning is not readable"),
            false => Ok(read),
        };
    }
    (read.good, read.next) = (HEAD, first);
    while let Some(record) = parse(&bytes[read.good..]) {
        if record.number != read.next {
            return damaged(read.good, "a record is missing before this one");
        }
        read.next = record.number + 1;
        read.good += RECORD + record.data.len();
        match record.kind {
            DATA => read.records.push(record.data.to_vec()),
            BASE => read.is_whole = true,
            _ => return damaged(read.good, "a record of no known kind"),
        }
    }
    // What follows is torn, unless something behind it was written after a sync had taken it.
    let promised = |at: usize| {
        parse(&bytes[at..]).is_some_and(|r| r.number > read.next && r.synced >= read.next)
    };
    if (read.good..bytes.len()).any(promised) {
        return damaged(read.good, "a record that was synced is not readable");
    }
    Ok(read)
}

impl<F: Files> Log<F> {
    /// Opens what is there, or begins.
    ///
    /// # Errors
    ///
    /// Damage to what was synced, another version, or a disk that fails: nothing is changed then, but for a
    /// torn end that may be cut.
    pub fn open(mut files: F) -> Result<Opened<F>, Trouble> {
        let failed = |e: io::Error| Trouble::Disk(e.to_string());
        let mut generations: Vec<u64> = files
            .names()
            .map_err(failed)?
            .iter()
            .filter_map(|n| generation(n))
            .collect();
        generations.sort_unstable();
        let mut found: Option<(u64, Read, usize)> = None;
        // The newest generation that is whole counts: one that is not was under way when all stopped, and the
        // one before it is still there.
        for &of in generations.iter().rev() {
            let bytes = files.read(&name(of)).map_err(failed)?;
            let read = read(&name(of), &bytes, of)?;
            if read.is_whole {
                found = Some((of, read, bytes.len()));
                break;
            }
        }
        let Some((of, read, length)) = found else {
            // Every generation but the first is begun while the one before it is there.
            if let Some(&lost) = generations.iter().find(|of| **of > 1) {
                let why = "what it begins with is not whole, and no file before it is there".into();
                return Err(Trouble::Damaged {
                    file: name(lost),
                    at: 0,
                    why,
                });
            }
            // Nothing was ever promised here: what may lie here is a beginning.
            for of in generations {
                files.remove(&name(of)).map_err(failed)?;
            }
            let mut log = Log {
                files,
                generation: 0,
                next: 1,
                synced: 0,
                waiting: Vec::new(),
                bytes: 0,
                stopped: false,
            };
            log.rewrite(&[])?;
            return Ok(Opened {
                log,
                records: Vec::new(),
                cut: None,
            });
        };
        for other in generations.into_iter().filter(|other| *other != of) {
            files.remove(&name(other)).map_err(failed)?;
        }
        let cut = (read.good < length).then(|| Cut {
            file: name(of),
            at: read.good as u64,
            bytes: (length - read.good) as u64,
        });
        if cut.is_some() {
            files.cut(&name(of), read.good as u64).map_err(failed)?;
        }
        // What is read now is relied on from now on: it may not have been synced before the crash.
        files
            .sync(&name(of))
            .and_then(|()| files.sync_names())
            .map_err(failed)?;
        let log = Log {
            files,
            generation: of,
            next: read.next,
            synced: read.next - 1,
            waiting: Vec::new(),
            bytes: read.good as u64,
            stopped: false,
        };
        Ok(Opened {
            log,
            records: read.records,
            cut,
        })
    }

    fn add(&mut self, kind: u8, data: &[u8]) {
        let bytes = record(self.next, self.synced, kind, data);
        self.next += 1;
        self.bytes += bytes.len() as u64;
        self.waiting.extend(bytes);
    }

    fn fits(&self, data: &[u8]) -> Result<(), Trouble> {
        match (self.stopped, data.len() > LONGEST) {
            (true, _) => Err(Trouble::Stopped),
            (_, true) => Err(Trouble::TooLong(data.len())),
            _ => Ok(()),
        }
    }

    /// Adds a record; it is promised once [`Log::sync`] has returned.
    ///
    /// # Errors
    ///
    /// The log has stopped, or the record is too long; nothing is added then.
    pub fn append(&mut self, data: &[u8]) -> Result<(), Trouble> {
        self.fits(data)?;
        self.add(DATA, data);
        Ok(())
    }

    /// The one place where the disk is written to: a failure is final, for what it holds then is not known.
    fn write(
        &mut self,
        do_it: impl FnOnce(&mut F, &[u8]) -> io::Result<()>,
    ) -> Result<(), Trouble> {
        if self.stopped {
            return Err(Trouble::Stopped);
        }
        let waiting = std::mem::take(&mut self.waiting);
        match do_it(&mut self.files, &waiting) {
            Ok(()) => {
                self.synced = self.next - 1;
                Ok(())
            }
            Err(e) => {
                self.stopped = true;
                Err(Trouble::Disk(e.to_string()))
            }
        }
    }

    /// Returns well once all that was added is on the disk for good.
    ///
    /// # Errors
    ///
    /// The disk failed or is full: the log takes nothing more, and is to be opened anew.
    pub fn sync(&mut self) -> Result<(), Trouble> {
        if self.waiting.is_empty() && !self.stopped {
            return Ok(());
        }
        let file = name(self.generation);
        self.write(|files, waiting| {
            files.append(&file, waiting)?;
            files.sync(&file)
        })
    }

    /// Puts these records in the place of all there were, in a new file, and returns once that lasts.
    ///
    /// # Errors
    ///
    /// As [`Log::sync`]; after a crash in the midst the old ones are there.
    pub fn rewrite(&mut self, records: &[Vec<u8>]) -> Result<(), Trouble> {
        for data in records {
            self.fits(data)?;
        }
        let old = self.generation;
        self.waiting.clear();
        self.bytes = 0;
        self.generation += 1;
        self.waiting = head(self.generation, self.next);
        self.bytes = self.waiting.len() as u64;
        records.iter().for_each(|data| self.add(DATA, data));
        self.add(BASE, &[]);
        let (file, before) = (name(self.generation), name(old));
        self.write(|files, waiting| {
            files.append(&file, waiting)?;
            files.sync(&file)?;
            files.sync_names()?;
            match files.names()?.contains(&before) {
                true => files.remove(&before),
                false => Ok(()),
            }
        })
    }

    /// Bytes of the file, with what waits to be written.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// The disk below, for tests that break it.
    pub fn files(&mut self) -> &mut F {
        &mut self.files
    }

    pub fn into_files(self) -> F {
        self.files
    }
}
