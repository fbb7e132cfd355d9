//! The log. Each generation is one file that records are appended to; compaction writes a new generation.

use snafu::{ResultExt, ensure};

use crate::error::{DamagedSnafu, DiskSnafu, RecordTooLongSnafu, StoppedSnafu};
use crate::format::{
    BASE, DATA, MAX_RECORD_BYTES, Record, encode_file_header, file_name, generation_of,
};
use crate::generation::Generation;
use crate::{Files, LogError};

/// An incomplete write at the end of a log, left by a crash and truncated.
#[derive(Clone, Debug, PartialEq)]
pub struct TornTail {
    /// Name of the file.
    pub file: String,
    /// The length, in bytes, that the file was truncated to.
    pub offset: u64,
    /// Number of bytes that were removed.
    pub bytes: u64,
}

/// A log that was opened, with its contents.
pub struct OpenedLog<F> {
    /// The log, ready for more records.
    pub log: Log<F>,
    /// All records, oldest first.
    pub records: Vec<Vec<u8>>,
    /// The incomplete write that was truncated, if there was one.
    pub torn_tail: Option<TornTail>,
}

/// A log whose records survive a crash once they are synced.
#[derive(Debug)]
pub struct Log<F> {
    files: F,
    generation: u64,
    /// Number of the next record; numbering continues across generations.
    next_number: u64,
    /// Number of the last synced record.
    synced_number: u64,
    /// Encoded records that are not yet written.
    buffer: Vec<u8>,
    /// Length of this generation's file, including the buffered bytes.
    file_bytes: u64,
    stopped: bool,
}

impl<F: Files> Log<F> {
    /// Opens the existing log, or creates a new one.
    ///
    /// # Errors
    ///
    /// Synced bytes are damaged, the log is of another version, or the disk fails. The records are unchanged then,
    /// except that a torn tail may have been truncated.
    pub fn open(mut files: F) -> Result<OpenedLog<F>, LogError> {
        let mut generations: Vec<u64> = files
            .list()
            .context(disk_error("listing", "the directory"))?
            .iter()
            .filter_map(|name| generation_of(name))
            .collect();
        generations.sort_unstable();
        match newest_complete(&mut files, &generations)? {
            Some(newest) => Log::resume(files, &generations, newest),
            None => Log::create(files, &generations),
        }
    }

    /// Creates a new log where no generation is complete.
    fn create(mut files: F, generations: &[u64]) -> Result<OpenedLog<F>, LogError> {
        // Each generation but the first is written while the previous one still exists.
        if let Some(&lost) = generations.iter().find(|generation| **generation > 1) {
            return DamagedSnafu {
                file: file_name(lost),
                offset: 0_u64,
                reason: "the compacted records in it are incomplete, and there is no earlier file",
            }
            .fail();
        }
        // Nothing was ever synced here: an existing file is an incomplete first generation.
        remove_all(&mut files, generations.iter().copied())?;
        let mut log = Log {
            files,
            generation: 0,
            next_number: 1,
            synced_number: 0,
            buffer: Vec::new(),
            file_bytes: 0,
            stopped: false,
        };
        log.rewrite(&[])?;
        Ok(OpenedLog {
            log,
            records: Vec::new(),
            torn_tail: None,
        })
    }

    /// Resumes the newest complete generation and removes the other files.
    fn resume(
        mut files: F,
        generations: &[u64],
        newest: NewestGeneration,
    ) -> Result<OpenedLog<F>, LogError> {
        let NewestGeneration {
            generation,
            content,
            file_bytes,
        } = newest;
        let others = generations
            .iter()
            .copied()
            .filter(|other| *other != generation);
        remove_all(&mut files, others)?;
        let file = file_name(generation);
        let intact_bytes = content.intact_bytes as u64;
        let torn_tail = truncate_torn_tail(&mut files, &file, intact_bytes, file_bytes)?;
        // The records that were read may not have been synced before the crash, but the caller relies on them from now
        // on.
        files.sync(&file).context(disk_error("syncing", &file))?;
        files
            .sync_directory()
            .context(disk_error("syncing the directory of", &file))?;
        let log = Log {
            files,
            generation,
            next_number: content.next_number,
            synced_number: content.next_number - 1,
            buffer: Vec::new(),
            file_bytes: intact_bytes,
            stopped: false,
        };
        Ok(OpenedLog {
            log,
            records: content.records,
            torn_tail,
        })
    }

    /// Appends a record, which is durable once [`Log::sync`] has succeeded.
    ///
    /// # Errors
    ///
    /// The log has stopped, or the record is too long; nothing is appended then.
    pub fn append(&mut self, data: &[u8]) -> Result<(), LogError> {
        self.check_append(data)?;
        self.buffer_record(DATA, data);
        Ok(())
    }

    /// Makes all appended records durable; returns once they are.
    ///
    /// # Errors
    ///
    /// The disk failed or is full: the log accepts nothing more and has to be opened again.
    pub fn sync(&mut self) -> Result<(), LogError> {
        if self.buffer.is_empty() && !self.stopped {
            return Ok(());
        }
        let file = file_name(self.generation);
        self.write(|files, buffer| write_file(files, &file, buffer))
    }

    /// Replaces all records with these, in a new generation; returns once that is durable.
    ///
    /// # Errors
    ///
    /// As [`Log::sync`], or a record is too long. After a crash before it has returned, the log holds either the old or
    /// the new records.
    pub fn rewrite(&mut self, records: &[Vec<u8>]) -> Result<(), LogError> {
        for data in records {
            self.check_append(data)?;
        }
        let old_file = file_name(self.generation);
        self.generation += 1;
        self.buffer = encode_file_header(self.generation, self.next_number);
        self.file_bytes = self.buffer.len() as u64;
        for data in records {
            self.buffer_record(DATA, data);
        }
        self.buffer_record(BASE, &[]);
        let file = file_name(self.generation);
        self.write(|files, buffer| {
            write_file(files, &file, buffer)?;
            files
                .sync_directory()
                .context(disk_error("syncing the directory of", &file))?;
            let names = files
                .list()
                .context(disk_error("listing", "the directory"))?;
            if names.contains(&old_file) {
                files
                    .remove(&old_file)
                    .context(disk_error("removing", &old_file))?;
            }
            Ok(())
        })
    }

    /// Returns the length of the log's file in bytes, including those that are not written yet.
    pub fn file_bytes(&self) -> u64 {
        self.file_bytes
    }

    /// Reports whether a write or sync has failed, so that the log accepts nothing more.
    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// Returns the underlying files.
    pub fn files(&mut self) -> &mut F {
        &mut self.files
    }

    /// Closes the log and returns the underlying files. Records that were not synced may be lost.
    pub fn into_files(self) -> F {
        self.files
    }

    fn check_append(&self, data: &[u8]) -> Result<(), LogError> {
        ensure!(!self.stopped, StoppedSnafu);
        let bytes = data.len();
        ensure!(bytes <= MAX_RECORD_BYTES, RecordTooLongSnafu { bytes });
        Ok(())
    }

    fn buffer_record(&mut self, kind: u8, data: &[u8]) {
        let record = Record {
            number: self.next_number,
            synced: self.synced_number,
            kind,
            data,
        };
        self.next_number += 1;
        self.file_bytes += record.encoded_len() as u64;
        self.buffer.extend(record.encode());
    }

    /// Writes the buffer with `write`; all writes to an open log go through here. A failure is final, because which
    /// bytes are on the disk is unknown then (*failed-sync-is-final*).
    fn write(
        &mut self,
        write: impl FnOnce(&mut F, &[u8]) -> Result<(), LogError>,
    ) -> Result<(), LogError> {
        ensure!(!self.stopped, StoppedSnafu);
        let buffer = std::mem::take(&mut self.buffer);
        let result = write(&mut self.files, &buffer);
        match result {
            Ok(()) => self.synced_number = self.next_number - 1,
            Err(_) => self.stopped = true,
        }
        result
    }
}

struct NewestGeneration {
    generation: u64,
    content: Generation,
    file_bytes: u64,
}

/// Reads the newest complete generation. An incomplete one was being written when the process stopped, and the previous
/// one still exists.
fn newest_complete<F: Files>(
    files: &mut F,
    generations: &[u64],
) -> Result<Option<NewestGeneration>, LogError> {
    for &generation in generations.iter().rev() {
        let file = file_name(generation);
        let bytes = files.read(&file).context(disk_error("reading", &file))?;
        let content = Generation::read(&file, &bytes, generation)?;
        if content.is_complete {
            let file_bytes = bytes.len() as u64;
            return Ok(Some(NewestGeneration {
                generation,
                content,
                file_bytes,
            }));
        }
    }
    Ok(None)
}

/// Truncates the incomplete write that a crash left after the intact records.
fn truncate_torn_tail<F: Files>(
    files: &mut F,
    file: &str,
    intact_bytes: u64,
    file_bytes: u64,
) -> Result<Option<TornTail>, LogError> {
    if intact_bytes >= file_bytes {
        return Ok(None);
    }
    files
        .truncate(file, intact_bytes)
        .context(disk_error("truncating", file))?;
    Ok(Some(TornTail {
        file: file.to_owned(),
        offset: intact_bytes,
        bytes: file_bytes - intact_bytes,
    }))
}

fn remove_all<F: Files>(
    files: &mut F,
    generations: impl Iterator<Item = u64>,
) -> Result<(), LogError> {
    for generation in generations {
        let file = file_name(generation);
        files.remove(&file).context(disk_error("removing", &file))?;
    }
    Ok(())
}

fn write_file<F: Files>(files: &mut F, file: &str, bytes: &[u8]) -> Result<(), LogError> {
    files
        .append(file, bytes)
        .context(disk_error("writing", file))?;
    files.sync(file).context(disk_error("syncing", file))
}

fn disk_error(step: &'static str, file: &str) -> DiskSnafu<&'static str, String> {
    DiskSnafu {
        step,
        file: file.to_owned(),
    }
}
