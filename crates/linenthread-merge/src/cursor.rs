//! Cursors for the next page: how far each shard was read, signed, so that any coordinator can go on.
//!
//! The bytes, before they are written in base64 (URL alphabet, no padding):
//!
//! | bytes | what |
//! | --- | --- |
//! | 1 | version, 1 |
//! | 8 | when it was issued, seconds since 1970 |
//! | 16 | the query: index, order, customer, key and text, hashed |
//! | 16 | the shards: how many there are and which are queried, hashed |
//! | 1, then 2 + n each | positions: how many, then each one's length and bytes |
//! | 1 each | for each shard, in ascending order: 0 for its first row, else the position's number from 1 |
//! | 16 | the first bytes of HMAC-SHA-256 over all before them |

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

/// The bytes of a shortened HMAC.
const SIGNATURE_BYTES: usize = 16;
/// The longest cursor in characters; a longer one is neither issued nor read.
const MAX_LENGTH: usize = 8 * 1024;
/// How far the clocks of two coordinators may differ, in seconds.
const MAX_CLOCK_SKEW_SECONDS: u64 = 60;
/// The shortest secret in bytes; a shorter one could be guessed.
pub const MIN_SECRET_BYTES: usize = 16;

/// A shortened SHA-256.
pub(crate) type Hash = [u8; 16];

/// Why secrets cannot sign cursors.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum SecretError {
    /// There is no secret, or one that is too short.
    #[snafu(display("a secret needs {MIN_SECRET_BYTES} bytes or more"))]
    TooShort,
}

/// Issues and verifies cursors.
#[derive(Clone, PartialEq)]
pub struct CursorSigner {
    /// The one that signs, then others that are still accepted.
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

/// What a cursor is valid for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CursorScope {
    pub(crate) query: Hash,
    pub(crate) shards: Hash,
}

/// Hashes texts so that the boundaries between them count.
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
    /// Signs with the first secret and accepts all; cursors are valid for the lifetime, in whole seconds.
    ///
    /// # Errors
    ///
    /// There is no secret, or one that is shorter than [`MIN_SECRET_BYTES`].
    pub fn new(secrets: Vec<Vec<u8>>, lifetime: Duration) -> Result<CursorSigner, SecretError> {
        let all_long = secrets.iter().all(|s| s.len() >= MIN_SECRET_BYTES);
        ensure!(all_long && !secrets.is_empty(), TooShortSnafu);
        Ok(CursorSigner { secrets, lifetime })
    }

    /// A cursor for shards read up to these positions; `None` where it would be too long.
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

    /// The positions in a cursor, of so many shards.
    ///
    /// # Errors
    ///
    /// It was not issued with one of the secrets, or for another scope, or is too old.
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
        self.verify_head(&mut reader, scope, unix_seconds)?;
        reader.positions(shard_count).context(UnknownSnafu)
    }

    /// The bytes before the signature, if that is valid.
    fn signed_bytes<'b>(&self, bytes: &'b [u8]) -> Option<&'b [u8]> {
        let length = bytes.len().checked_sub(SIGNATURE_BYTES)?;
        let (signed, signature) = bytes.split_at(length);
        let is_signed_with = |secret: &Vec<u8>| {
            mac(secret, signed).is_some_and(|mac| mac.verify_truncated_left(signature).is_ok())
        };
        self.secrets.iter().any(is_signed_with).then_some(signed)
    }

    fn verify_head(
        &self,
        reader: &mut Reader,
        scope: &CursorScope,
        unix_seconds: u64,
    ) -> Result<(), CursorError> {
        let head = reader.head().context(UnknownSnafu)?;
        let version = head.version;
        ensure!(version == CURSOR_VERSION, UnknownVersionSnafu { version });
        let expires_at = head.issued_at.saturating_add(self.lifetime.as_secs());
        let is_valid =
            head.issued_at <= unix_seconds + MAX_CLOCK_SKEW_SECONDS && unix_seconds <= expires_at;
        ensure!(is_valid, ExpiredSnafu);
        ensure!(head.scope.query == scope.query, OtherQuerySnafu);
        ensure!(head.scope.shards == scope.shards, OtherShardsSnafu);
        Ok(())
    }
}

fn mac(secret: &[u8], bytes: &[u8]) -> Option<Hmac<Sha256>> {
    let mut mac = <Hmac<Sha256> as KeyInit>::new_from_slice(secret).ok()?;
    mac.update(bytes);
    Some(mac)
}

/// A position's number among the sorted ones, from 1; 0 for a shard's first row.
fn position_number(position: Option<&SortKey>, sorted: &[&SortKey]) -> Option<u8> {
    match position.and_then(|position| sorted.binary_search(&position).ok()) {
        None => Some(0),
        Some(index) => u8::try_from(index + 1).ok(),
    }
}

struct Head {
    version: u8,
    /// Seconds since 1970.
    issued_at: u64,
    scope: CursorScope,
}

/// Takes fields off the front of a cursor's bytes.
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

    fn head(&mut self) -> Option<Head> {
        Some(Head {
            version: u8::from_be_bytes(self.array()?),
            issued_at: u64::from_be_bytes(self.array()?),
            scope: CursorScope {
                query: self.array()?,
                shards: self.array()?,
            },
        })
    }

    /// All that follows the head.
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
