//! The log: one file a generation, records appended to it, and a new generation to compact it.

use snafu::{ResultExt, ensure};

use crate::error::{DamagedSnafu, DiskSnafu, RecordTooLongSnafu, StoppedSnafu};
use crate::format::{
    BASE, DATA, MAX_RECORD_BYTES, Record, encode_file_header, file_name, generation_of,
};
use crate::generation::Generation;
use crate::{Files, LogError};

/// What a crash left unfinished at the end of a log, which was truncated.
#[derive(Clone, Debug, PartialEq)]
pub struct TornTail {
    /// Name of the file.
    pub file: String,
    /// The offset, in bytes, that the file was truncated to.
    pub offset: u64,
    /// How many bytes were truncated.
    pub bytes: u64,
}

/// A log as it was found.
pub struct OpenedLog<F> {
    /// The log, ready for more records.
    pub log: Log<F>,
    /// All records, the oldest first.
    pub records: Vec<Vec<u8>>,
    /// What had to be truncated.
    pub torn_tail: Option<TornTail>,
}

/// Records that outlast a crash once they are synced.
#[derive(Debug)]
pub struct Log<F> {
    files: F,
    generation: u64,
    /// Number of the next record, counted over all generations.
    next_number: u64,
    /// Number of the last record that is synced.
    synced_number: u64,
    /// Bytes that were appended and are not yet written.
    buffer: Vec<u8>,
    /// Bytes of this generation's file, those in the buffer included.
    file_bytes: u64,
    stopped: bool,
}

impl<F: Files> Log<F> {
    /// Opens the log that is there, or begins one.
    ///
    /// # Errors
    ///
    /// What was synced is damaged, another version wrote it, or the disk fails. Nothing is changed then, except that a
    /// torn tail may have been truncated.
    pub fn open(mut files: F) -> Result<OpenedLog<F>, LogError> {
        let mut generations: Vec<u64> = files
            .list()
            .context(disk("listing", "the directory"))?
            .iter()
            .filter_map(|name| generation_of(name))
            .collect();
        generations.sort_unstable();
        match newest_complete(&mut files, &generations)? {
            Some(newest) => Log::resume(files, &generations, newest),
            None => Log::begin(files, &generations),
        }
    }

    /// Begins a log where no generation is complete.
    fn begin(mut files: F, generations: &[u64]) -> Result<OpenedLog<F>, LogError> {
        // Every generation but the first is begun while the one before it is there.
        if let Some(&lost) = generations.iter().find(|generation| **generation > 1) {
            return DamagedSnafu {
                file: file_name(lost),
                offset: 0_u64,
                reason: "what it carried over is not complete, and no file before it is there",
            }
            .fail();
        }
        // Nothing was ever synced here: what is there is an unfinished first generation.
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

    /// Goes on with the newest complete generation.
    fn resume(mut files: F, generations: &[u64], newest: Newest) -> Result<OpenedLog<F>, LogError> {
        let Newest {
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
        // What was read is relied on from now on, and may not have been synced before the crash.
        files.sync(&file).context(disk("syncing", &file))?;
        files
            .sync_directory()
            .context(disk("syncing the directory of", &file))?;
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

    /// Appends a record; it is durable once [`Log::sync`] has returned successfully.
    ///
    /// # Errors
    ///
    /// The log has stopped, or the record is too long; nothing is appended then.
    pub fn append(&mut self, data: &[u8]) -> Result<(), LogError> {
        self.check(data)?;
        self.buffer_record(DATA, data);
        Ok(())
    }

    /// Returns once all that was appended is durable.
    ///
    /// # Errors
    ///
    /// The disk failed or is full: the log accepts nothing more, and has to be opened again.
    pub fn sync(&mut self) -> Result<(), LogError> {
        if self.buffer.is_empty() && !self.stopped {
            return Ok(());
        }
        let file = file_name(self.generation);
        self.write(|files, buffer| write_file(files, &file, buffer))
    }

    /// Replaces all records by these, in a new generation, and returns once that is durable.
    ///
    /// # Errors
    ///
    /// As [`Log::sync`]; after a crash in the middle of it the old records are there.
    pub fn rewrite(&mut self, records: &[Vec<u8>]) -> Result<(), LogError> {
        for data in records {
            self.check(data)?;
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
                .context(disk("syncing the directory of", &file))?;
            let names = files.list().context(disk("listing", "the directory"))?;
            if names.contains(&old_file) {
                files
                    .remove(&old_file)
                    .context(disk("removing", &old_file))?;
            }
            Ok(())
        })
    }

    /// Bytes of the log's file, those included that are not written yet.
    pub fn bytes(&self) -> u64 {
        self.file_bytes
    }

    /// Whether a write or sync has failed, so that the log accepts nothing more.
    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// The disk below.
    pub fn files(&mut self) -> &mut F {
        &mut self.files
    }

    /// Closes the log and returns the disk below. What was not synced is lost.
    pub fn into_files(self) -> F {
        self.files
    }

    fn check(&self, data: &[u8]) -> Result<(), LogError> {
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

    /// The one place where the disk is written to: a failure is final, because what the disk holds is unknown then.
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

/// The newest generation that is complete.
struct Newest {
    generation: u64,
    content: Generation,
    file_bytes: u64,
}

/// Reads the newest complete generation. One that is not complete was being written when the process stopped, and the
/// one before it is still there.
fn newest_complete<F: Files>(
    files: &mut F,
    generations: &[u64],
) -> Result<Option<Newest>, LogError> {
    for &generation in generations.iter().rev() {
        let file = file_name(generation);
        let bytes = files.read(&file).context(disk("reading", &file))?;
        let content = Generation::read(&file, &bytes, generation)?;
        if content.is_complete {
            let file_bytes = bytes.len() as u64;
            return Ok(Some(Newest {
                generation,
                content,
                file_bytes,
            }));
        }
    }
    Ok(None)
}

/// Truncates what a crash left unfinished behind the intact records.
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
        .context(disk("truncating", file))?;
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
        files.remove(&file).context(disk("removing", &file))?;
    }
    Ok(())
}

fn write_file<F: Files>(files: &mut F, file: &str, bytes: &[u8]) -> Result<(), LogError> {
    files.append(file, bytes).context(disk("writing", file))?;
    files.sync(file).context(disk("syncing", file))
}

fn disk(step: &'static str, file: &str) -> DiskSnafu<&'static str, String> {
    DiskSnafu {
        step,
        file: file.to_owned(),
    }
}
