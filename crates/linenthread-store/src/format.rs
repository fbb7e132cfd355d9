//! The format of a log file: a header, then records. It is specified in `docs/store.md`.

/// Maximum length of a record's data, in bytes: limits how much is read if a length field is damaged.
pub const MAX_RECORD_BYTES: usize = 1024 * 1024;

/// Version of the format; files of other versions are rejected.
pub(crate) const VERSION: u8 = 1;

/// First bytes of every file.
pub(crate) const MAGIC: &[u8; 4] = b"LTLG";

/// Length of a checksum (CRC-32), in bytes.
const CHECKSUM_BYTES: usize = 4;

/// Length of a file's header, in bytes: magic, version, generation, number of its first record, checksum.
pub(crate) const FILE_HEADER_BYTES: usize = 4 + 1 + 8 + 8 + CHECKSUM_BYTES;

/// Length of a record's header, in bytes: length of the data, number, number of the last record that was synced when
/// this one was written, kind, checksum of these fields and the data.
pub(crate) const RECORD_HEADER_BYTES: usize = 4 + 8 + 8 + 1 + CHECKSUM_BYTES;

/// Kind of a record that the caller appended.
pub(crate) const DATA: u8 = 1;

/// Kind of the record that marks the end of the records with which a new generation replaces the previous one. A
/// generation without it is incomplete and is not used.
pub(crate) const BASE: u8 = 2;

/// Returns the name of a generation's file.
pub(crate) fn file_name(generation: u64) -> String {
    format!("{generation:016x}.log")
}

/// Returns the generation that a file's name encodes, if it is a log file.
pub(crate) fn generation_of(name: &str) -> Option<u64> {
    let digits = name
        .strip_suffix(".log")
        .filter(|digits| digits.len() == 16)?;
    u64::from_str_radix(digits, 16).ok()
}

pub(crate) fn encode_file_header(generation: u64, first_number: u64) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.push(VERSION);
    bytes.extend(generation.to_be_bytes());
    bytes.extend(first_number.to_be_bytes());
    bytes.extend(crc32fast::hash(&bytes).to_be_bytes());
    bytes
}

/// Returns the number of a file's first record from its header; `None` unless it is an intact header of this version
/// and generation.
pub(crate) fn decode_file_header(bytes: &[u8], generation: u64) -> Option<u64> {
    let header = bytes.get(..FILE_HEADER_BYTES)?;
    let first_number = u64::from_be_bytes(header[13..21].try_into().ok()?);
    (header == encode_file_header(generation, first_number)).then_some(first_number)
}

/// Returns the version in a file's header if the header is intact but of another version. All versions have the
/// checksum at the same position, so a damaged header is not mistaken for one of another version.
pub(crate) fn unsupported_version(bytes: &[u8]) -> Option<u8> {
    let header = bytes.get(..FILE_HEADER_BYTES)?;
    let (covered, checksum) = header.split_at(FILE_HEADER_BYTES - CHECKSUM_BYTES);
    let is_intact = crc32fast::hash(covered).to_be_bytes() == checksum && header.starts_with(MAGIC);
    let version = header[MAGIC.len()];
    (is_intact && version != VERSION).then_some(version)
}

pub(crate) struct Record<'a> {
    pub(crate) number: u64,
    /// Number of the last record that was synced when this one was written.
    pub(crate) synced: u64,
    pub(crate) kind: u8,
    pub(crate) data: &'a [u8],
}

impl Record<'_> {
    /// Encodes the record. The data must not be longer than [`MAX_RECORD_BYTES`].
    pub(crate) fn encode(&self) -> Vec<u8> {
        let length = u32::try_from(self.data.len()).unwrap_or(u32::MAX);
        let mut bytes = length.to_be_bytes().to_vec();
        bytes.extend(self.number.to_be_bytes());
        bytes.extend(self.synced.to_be_bytes());
        bytes.push(self.kind);
        let mut checksum = crc32fast::Hasher::new();
        checksum.update(&bytes);
        checksum.update(self.data);
        bytes.extend(checksum.finalize().to_be_bytes());
        bytes.extend(self.data);
        bytes
    }

    /// Decodes the record at the start of these bytes; `None` if there is no intact one.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Record<'_>> {
        let header = bytes.first_chunk::<RECORD_HEADER_BYTES>()?;
        let length = usize::try_from(u32::from_be_bytes(header[..4].try_into().ok()?)).ok()?;
        let data = bytes
            .get(RECORD_HEADER_BYTES..RECORD_HEADER_BYTES + length)
            .filter(|_| length <= MAX_RECORD_BYTES)?;
        let (covered, checksum) = header.split_at(RECORD_HEADER_BYTES - CHECKSUM_BYTES);
        let mut expected = crc32fast::Hasher::new();
        expected.update(covered);
        expected.update(data);
        (expected.finalize().to_be_bytes() == checksum).then_some(Record {
            number: u64::from_be_bytes(header[4..12].try_into().ok()?),
            synced: u64::from_be_bytes(header[12..20].try_into().ok()?),
            kind: header[20],
            data,
        })
    }

    /// Returns the length of the encoded record, in bytes.
    pub(crate) fn encoded_len(&self) -> usize {
        RECORD_HEADER_BYTES + self.data.len()
    }
}
