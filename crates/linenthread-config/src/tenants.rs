//! Lookup of tenants by the key that a request carries.
//!
//! Keys are stored and looked up as digests that are keyed with a random secret of the table. Nobody outside the
//! process can compute the digest of a guessed key, so the duration of a lookup reveals nothing about the stored keys.

use std::collections::HashMap;
use std::collections::hash_map::RandomState;
use std::fmt;
use std::hash::BuildHasher;
use std::rc::Rc;

use sha2::{Digest, Sha256};
use snafu::Snafu;

use crate::client::Client;

/// Length of a digest, in bytes.
const DIGEST_BYTES: usize = 16;
/// Length of the digest key, in bytes. With this length, a tenant's key of up to 23 bytes needs only one SHA-256 block.
const DIGEST_KEY_BYTES: usize = 32;

type KeyDigest = [u8; DIGEST_BYTES];

/// The tenant that sent a request.
#[derive(Debug, PartialEq, Eq)]
pub struct Tenant {
    /// The tenant's name, sent to replicas as a header.
    pub name: Rc<str>,
    /// Priority of the tenant's requests, which overrides the route's; absent: the route's priority applies.
    pub priority: Option<i64>,
}

/// The error for a request on a route that is not public if no tenant has the request's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("no tenant has the key of the request"))]
pub struct UnknownKey;

/// The credentials in a request's `Authorization` header.
#[derive(Clone, Copy)]
pub enum Credentials<'a> {
    /// The request has no credentials.
    None,
    /// One key, with the scheme `Bearer`.
    Bearer(&'a [u8]),
    /// Anything else, such as another scheme or several keys.
    Invalid,
}

/// The tenants, indexed by the digests of their keys.
pub(crate) struct Tenants {
    digest_key: [u8; DIGEST_KEY_BYTES],
    by_key: HashMap<KeyDigest, Rc<Tenant>>,
}

impl Tenants {
    /// Indexes the tenants. In a document that was not validated, a key that several tenants share belongs to the first
    /// of them, and a tenant whose name can't be sent to replicas is left out.
    pub(crate) fn new(clients: &[Client]) -> Tenants {
        let digest_key = random_digest_key();
        let mut by_key = HashMap::new();
        for client in clients.iter().filter(|client| client.has_valid_name()) {
            let tenant = Rc::new(Tenant {
                name: Rc::from(client.name.as_str()),
                priority: client.priority,
            });
            for key in &client.keys {
                by_key
                    .entry(digest(&digest_key, key.as_bytes()))
                    .or_insert_with(|| Rc::clone(&tenant));
            }
        }
        Tenants { digest_key, by_key }
    }

    /// Returns the tenant with these credentials.
    pub(crate) fn find(&self, credentials: Credentials<'_>) -> Option<&Rc<Tenant>> {
        match credentials {
            Credentials::Bearer(key) => self.by_key.get(&digest(&self.digest_key, key)),
            Credentials::None | Credentials::Invalid => None,
        }
    }
}

/// Prints neither the digests nor the digest key.
impl fmt::Debug for Tenants {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let keys = self.by_key.len();
        formatter
            .debug_struct("Tenants")
            .field("keys", &keys)
            .finish_non_exhaustive()
    }
}

/// Prints the kind of credentials, not the key.
impl fmt::Debug for Credentials<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Credentials::None => "None",
            Credentials::Bearer(_) => "Bearer(..)",
            Credentials::Invalid => "Invalid",
        })
    }
}

/// Generates a random digest key.
fn random_digest_key() -> [u8; DIGEST_KEY_BYTES] {
    let random = RandomState::new();
    let mut key = [0; DIGEST_KEY_BYTES];
    for (index, chunk) in key.chunks_exact_mut(size_of::<u64>()).enumerate() {
        chunk.copy_from_slice(&random.hash_one(index).to_be_bytes());
    }
    key
}

/// Returns the first bytes of the SHA-256 hash of the digest key followed by the tenant's key.
fn digest(digest_key: &[u8; DIGEST_KEY_BYTES], key: &[u8]) -> KeyDigest {
    let hash = Sha256::new()
        .chain_update(digest_key)
        .chain_update(key)
        .finalize();
    let mut digest = KeyDigest::default();
    digest.copy_from_slice(&hash[..DIGEST_BYTES]);
    digest
}
