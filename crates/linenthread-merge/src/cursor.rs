//! Cursors for the next page: the signed positions up to which each shard was read, so that any coordinator can
//! continue.
//!
//! A cursor is the base64 encoding (URL alphabet, no padding) of these fields:
//!
//! | bytes | content |
//! | --- | --- |
//! | 1 | version, 1 |
//! | 8 | time of issue, in seconds since 1970 |
//! | 16 | hash of the query: index, order, customer, key and text |
//! | 16 | hash of the shards: how many there are and which are queried |
//! | 1, then 2 + n each | the number of distinct positions, then the length and bytes of each |
//! | 1 each | for each queried shard, in ascending order: 0 for its first row, otherwise the number of its position, from 1 |
//! | 16 | signature: the first bytes of the HMAC-SHA-256 of all fields before it |

use std::fmt;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD as BASE64;
use hmac::{Hmac, KeyInit, Mac};
use sha2::{Digest, Sha256};
use snafu::{OptionExt, Snafu, ensure};

use crate::CURSOR_VERSION;
use crate::error::{
    CursorError, ExpiredSnafu, OtherQuerySnafu, OtherShardsSnafu, UnknownSnafu, UnknownVersionSnafu,
};
use crate::sort_key::SortKey;

/// The length of a truncated HMAC in bytes.
const SIGNATURE_BYTES: usize = 16;
/// The maximum length of a cursor in characters; a longer one is neither issued nor accepted.
const MAX_LENGTH: usize = 8 * 1024;
/// The tolerated difference between the clocks of two coordinators, in seconds.
const MAX_CLOCK_SKEW_SECONDS: u64 = 60;
/// The minimum length of a secret in bytes; a shorter one could be guessed.
pub const MIN_SECRET_BYTES: usize = 16;

/// A truncated SHA-256 digest.
pub(crate) type Hash = [u8; 16];

/// The reason why secrets are rejected.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum SecretError {
    /// There is no secret, or one of them is too short.
    #[snafu(display("a secret needs {MIN_SECRET_BYTES} bytes or more"))]
    TooShort,
}

/// Issues and verifies cursors.
#[derive(Clone, PartialEq)]
pub struct CursorSigner {
    /// The secret that signs, then the others whose signatures are accepted.
    secrets: Vec<Vec<u8>>,
    lifetime: Duration,
}

impl fmt::Debug for CursorSigner {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter
            .debug_struct("CursorSigner")
            .field("secrets", &self.secrets.len())
            .field("lifetime", &self.lifetime)
            .finish()
    }
}

/// The query and the shards for which a cursor is valid, hashed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CursorScope {
    pub(crate) query: Hash,
    pub(crate) shards: Hash,
}

/// Hashes a list of texts, including their boundaries.
pub(crate) fn hash(texts: &[&[u8]]) -> Hash {
    let mut hasher = Sha256::new();
    for text in texts {
        hasher.update((text.len() as u64).to_be_bytes());
        hasher.update(text);
    }
    let digest: [u8; 32] = hasher.finalize().into();
    let mut hash = Hash::default();
    hash.copy_from_slice(&digest[..size_of::<Hash>()]);
    hash
}

impl CursorSigner {
    /// Creates a signer that signs with the first secret and accepts the signatures of all. Cursors are valid for
    /// `lifetime`, in whole seconds.
    ///
    /// # Errors
    ///
    /// There is no secret, or one is shorter than [`MIN_SECRET_BYTES`].
    pub fn new(secrets: Vec<Vec<u8>>, lifetime: Duration) -> Result<CursorSigner, SecretError> {
        let are_long_enough = secrets.iter().all(|s| s.len() >= MIN_SECRET_BYTES);
        ensure!(are_long_enough && !secrets.is_empty(), TooShortSnafu);
        Ok(CursorSigner { secrets, lifetime })
    }

    /// Issues a cursor for shards that were read up to these positions; `None` if it would be too long.
    pub(crate) fn issue(
        &self,
        scope: &CursorScope,
        positions: &[Option<SortKey>],
        unix_seconds: u64,
    ) -> Option<String> {
        let mut distinct: Vec<&SortKey> = positions.iter().flatten().collect();
        distinct.sort();
        distinct.dedup();
        let mut bytes = vec![CURSOR_VERSION];
        bytes.extend(unix_seconds.to_be_bytes());
        bytes.extend(scope.query);
        bytes.extend(scope.shards);
        bytes.push(u8::try_from(distinct.len()).ok()?);
        for position in &distinct {
            bytes.extend(u16::try_from(position.0.len()).ok()?.to_be_bytes());
            bytes.extend(&position.0);
        }
        for position in positions {
            bytes.push(position_number(position.as_ref(), &distinct)?);
        }
        let signature = mac(self.secrets.first()?, &bytes)?.finalize().into_bytes();
        bytes.extend(&signature[..SIGNATURE_BYTES]);
        let cursor = BASE64.encode(bytes);
        (cursor.len() <= MAX_LENGTH).then_some(cursor)
    }

    /// Verifies a cursor, and returns its positions of `shard_count` shards.
    ///
    /// # Errors
    ///
    /// The cursor is not signed with one of the secrets, was issued for another scope, has expired, or has an encoding
    /// of another version.
    pub(crate) fn verify(
        &self,
        cursor: &str,
        scope: &CursorScope,
        shard_count: usize,
        unix_seconds: u64,
    ) -> Result<Vec<Option<SortKey>>, CursorError> {
        ensure!(cursor.len() <= MAX_LENGTH, UnknownSnafu);
        let bytes = BASE64.decode(cursor).ok().context(UnknownSnafu)?;
        let signed = self.signed_bytes(&bytes).context(UnknownSnafu)?;
        let mut reader = Reader(signed);
        self.verify_header(&mut reader, scope, unix_seconds)?;
        reader.positions(shard_count).context(UnknownSnafu)
    }

    /// Returns the bytes before the signature, if the signature is valid.
    fn signed_bytes<'b>(&self, bytes: &'b [u8]) -> Option<&'b [u8]> {
        let length = bytes.len().checked_sub(SIGNATURE_BYTES)?;
        let (signed, signature) = bytes.split_at(length);
        let is_signed_with = |secret: &Vec<u8>| {
            mac(secret, signed).is_some_and(|mac| mac.verify_truncated_left(signature).is_ok())
        };
        self.secrets.iter().any(is_signed_with).then_some(signed)
    }

    fn verify_header(
        &self,
        reader: &mut Reader,
        scope: &CursorScope,
        unix_seconds: u64,
    ) -> Result<(), CursorError> {
        let header = reader.header().context(UnknownSnafu)?;
        let version = header.version;
        ensure!(version == CURSOR_VERSION, UnknownVersionSnafu { version });
        let expires_at = header.issued_at.saturating_add(self.lifetime.as_secs());
        let is_valid =
            header.issued_at <= unix_seconds + MAX_CLOCK_SKEW_SECONDS && unix_seconds <= expires_at;
        ensure!(is_valid, ExpiredSnafu);
        ensure!(header.scope.query == scope.query, OtherQuerySnafu);
        ensure!(header.scope.shards == scope.shards, OtherShardsSnafu);
        Ok(())
    }
}

fn mac(secret: &[u8], bytes: &[u8]) -> Option<Hmac<Sha256>> {
    let mut mac = <Hmac<Sha256> as KeyInit>::new_from_slice(secret).ok()?;
    mac.update(bytes);
    Some(mac)
}

/// Returns a position's number among the sorted ones, from 1; 0 stands for a shard's first row.
fn position_number(position: Option<&SortKey>, sorted: &[&SortKey]) -> Option<u8> {
    match position.and_then(|position| sorted.binary_search(&position).ok()) {
        None => Some(0),
        Some(index) => u8::try_from(index + 1).ok(),
    }
}

struct Header {
    version: u8,
    /// Seconds since 1970.
    issued_at: u64,
    scope: CursorScope,
}

/// Reads fields from the front of a cursor's bytes.
struct Reader<'b>(&'b [u8]);

impl<'b> Reader<'b> {
    fn take(&mut self, length: usize) -> Option<&'b [u8]> {
        let (taken, rest) = self.0.split_at_checked(length)?;
        self.0 = rest;
        Some(taken)
    }

    fn array<const N: usize>(&mut self) -> Option<[u8; N]> {
        self.take(N)?.try_into().ok()
    }

    fn header(&mut self) -> Option<Header> {
        Some(Header {
            version: u8::from_be_bytes(self.array()?),
            issued_at: u64::from_be_bytes(self.array()?),
            scope: CursorScope {
                query: self.array()?,
                shards: self.array()?,
            },
        })
    }

    /// Reads all fields after the header, up to the end.
    fn positions(mut self, shard_count: usize) -> Option<Vec<Option<SortKey>>> {
        let count = u8::from_be_bytes(self.array()?);
        let mut positions = Vec::new();
        for _ in 0..count {
            let length = u16::from_be_bytes(self.array()?);
            positions.push(SortKey(self.take(length.into())?.into()));
        }
        let numbers = self.take(shard_count)?;
        if !self.0.is_empty() {
            return None;
        }
        let position = |number: &u8| match number.checked_sub(1) {
            None => Some(None),
            Some(index) => positions.get(usize::from(index)).cloned().map(Some),
        };
        numbers.iter().map(position).collect()
    }
}
