//! Reads the file of one generation.

use crate::LogError;
use crate::error::{DamagedSnafu, UnsupportedVersionSnafu};
use crate::format::{
    BASE, DATA, FILE_HEADER_BYTES, Record, decode_file_header, unsupported_version,
};

/// The contents of one generation's file.
#[derive(Default)]
pub(crate) struct Generation {
    pub(crate) records: Vec<Vec<u8>>,
    /// All records with which it replaced the previous generation are present.
    pub(crate) is_complete: bool,
    /// Number of the next record.
    pub(crate) next_number: u64,
    /// Length of the intact part at the start of the file, in bytes.
    pub(crate) intact_bytes: usize,
}

impl Generation {
    /// Reads a file's records up to the first that is not intact.
    ///
    /// # Errors
    ///
    /// The file is of another version; or a later record shows that the first record that is not intact had been
    /// synced, so that it is damaged and not just a torn write.
    pub(crate) fn read(file: &str, bytes: &[u8], generation: u64) -> Result<Generation, LogError> {
        let Some(first_number) = decode_file_header(bytes, generation) else {
            check_never_synced(file, bytes)?;
            return Ok(Generation::default());
        };
        let mut read = Generation {
            next_number: first_number,
            intact_bytes: FILE_HEADER_BYTES,
            ..Generation::default()
        };
        while let Some(record) = Record::decode(&bytes[read.intact_bytes..]) {
            read.push_record(file, &record)?;
        }
        // The rest is a torn tail, unless a later record shows that the unreadable one was synced before it.
        let was_synced = (read.intact_bytes..bytes.len())
            .filter_map(|offset| Record::decode(&bytes[offset..]))
            .any(|record| record.number > read.next_number && record.synced >= read.next_number);
        if was_synced {
            return damaged(
                file,
                read.intact_bytes,
                "a record that was synced is not readable",
            );
        }
        Ok(read)
    }

    fn push_record(&mut self, file: &str, record: &Record) -> Result<(), LogError> {
        if record.number != self.next_number {
            return damaged(
                file,
                self.intact_bytes,
                "a record is missing before this one",
            );
        }
        self.next_number = record.number + 1;
        self.intact_bytes += record.encoded_len();
        match record.kind {
            DATA => self.records.push(record.data.to_vec()),
            BASE => self.is_complete = true,
            _ => return damaged(file, self.intact_bytes, "a record of an unknown kind"),
        }
        Ok(())
    }
}

/// Checks that a file without an intact header was never synced.
///
/// # Errors
///
/// The file is of another version, or was synced.
fn check_never_synced(file: &str, bytes: &[u8]) -> Result<(), LogError> {
    if let Some(version) = unsupported_version(bytes) {
        return UnsupportedVersionSnafu { file, version }.fail();
    }
    // A record that was written after the generation's base record was synced shows that the header was synced too.
    let records = || (0..bytes.len()).filter_map(|offset| Record::decode(&bytes[offset..]));
    let base_number = records()
        .find(|record| record.kind == BASE)
        .map_or(u64::MAX, |record| record.number);
    if records().any(|record| record.synced >= base_number) {
        return damaged(file, 0, "the file header is not readable");
    }
    Ok(())
}

fn damaged<T>(file: &str, offset: usize, reason: &str) -> Result<T, LogError> {
    let offset = offset as u64;
    DamagedSnafu {
        file,
        offset,
        reason,
    }
    .fail()
}
