//! The tenants of a configuration document and their API keys.

use std::collections::HashMap;
use std::fmt;

use serde::Deserialize;
use snafu::ensure;

use crate::error::{
    ConfigurationError, DuplicateClientSnafu, InvalidClientNameSnafu, SharedKeySnafu,
};

/// An API key, which identifies the tenant that sent a request. `Debug` output doesn't contain its text.
#[derive(Clone, Deserialize, PartialEq, Eq, Hash)]
#[serde(transparent)]
pub struct Key(String);

impl Key {
    /// Returns the key as clients send it.
    pub(crate) fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Key(..)")
    }
}

/// A tenant and the keys that identify its requests.
#[derive(Clone, Debug, Deserialize)]
pub struct Client {
    /// Name of the tenant, sent to replicas as a header.
    #[serde(rename = "label")]
    pub name: String,
    /// Its keys; a request may carry any of them.
    #[serde(rename = "credentials")]
    pub keys: Vec<Key>,
    /// Priority of its requests, which overrides the route's; absent: the route's priority applies.
    #[serde(default, rename = "rank")]
    pub priority: Option<i64>,
}

impl Client {
    /// Reports whether the name can be sent unchanged as a header value: non-empty printable ASCII that neither begins
    /// nor ends with a space.
    pub(crate) fn has_valid_name(&self) -> bool {
        let name = self.name.as_bytes();
        let is_printable = name.iter().all(|byte| matches!(byte, b' '..=b'~'));
        !name.is_empty() && is_printable && name.trim_ascii().len() == name.len()
    }
}

/// Checks that each tenant has a unique name that can be sent as a header, and that no two tenants share a key.
pub(crate) fn validate_clients(clients: &[Client]) -> Result<(), ConfigurationError> {
    let mut names = HashMap::new();
    let mut owners = HashMap::new();
    for (index, client) in clients.iter().enumerate() {
        ensure!(client.has_valid_name(), InvalidClientNameSnafu { index });
        let first = *names.entry(&client.name).or_insert(index);
        ensure!(first == index, DuplicateClientSnafu { index, first });
        for (key_index, key) in client.keys.iter().enumerate() {
            let first = *owners.entry(key).or_insert(index);
            ensure!(
                first == index,
                SharedKeySnafu {
                    index,
                    key_index,
                    first
                }
            );
        }
    }
    Ok(())
}
