//! The differences between the tenants of two configurations. Keys are counted but never shown.

use std::collections::HashSet;
use std::fmt;

use serde_json::Value;

/// The key of the tenants in the document.
const TENANTS_KEY: &str = "clients";

/// One difference between the tenants of two configurations.
#[derive(Clone, Debug, PartialEq)]
pub enum TenantChange {
    /// A tenant that only the new configuration has.
    Added {
        /// The tenant's name.
        name: String,
        /// The number of its keys.
        keys: usize,
    },
    /// A tenant that only the old configuration has.
    Removed {
        /// The tenant's name.
        name: String,
    },
    /// A tenant whose keys or rank differ.
    Modified {
        /// The tenant's name.
        name: String,
        /// The number of keys that only the new configuration has.
        keys_added: usize,
        /// The number of keys that only the old configuration has.
        keys_removed: usize,
        /// The old and the new rank, if they differ.
        rank: Option<(Option<i64>, Option<i64>)>,
    },
    /// Only the new configuration requires keys.
    KeysRequired,
    /// Only the old configuration requires keys.
    KeysNotRequired,
}

impl fmt::Display for TenantChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TenantChange::Added { name, keys } => write!(f, "+ {TENANTS_KEY} {name}: {keys} keys"),
            TenantChange::Removed { name } => write!(f, "- {TENANTS_KEY} {name}"),
            TenantChange::Modified {
                name,
                keys_added,
                keys_removed,
                rank,
            } => {
                write!(
                    f,
                    "~ {TENANTS_KEY} {name}: {keys_added} keys added, {keys_removed} removed"
                )?;
                match rank {
                    Some((old, new)) => {
                        write!(f, ", rank {} -> {}", format_rank(*old), format_rank(*new))
                    }
                    None => Ok(()),
                }
            }
            TenantChange::KeysRequired => write!(f, "~ {TENANTS_KEY}: absent -> given"),
            TenantChange::KeysNotRequired => write!(f, "~ {TENANTS_KEY}: given -> absent"),
        }
    }
}

fn format_rank(rank: Option<i64>) -> String {
    rank.map_or_else(|| "none".to_owned(), |rank| rank.to_string())
}

struct Tenant<'a> {
    name: &'a str,
    keys: HashSet<&'a str>,
    rank: Option<i64>,
}

impl Tenant<'_> {
    /// Returns the change from the same tenant in the old document, if there is any.
    fn change_since(&self, old: &Tenant<'_>) -> Option<TenantChange> {
        let keys_added = self.keys.difference(&old.keys).count();
        let keys_removed = old.keys.difference(&self.keys).count();
        let rank = (old.rank != self.rank).then_some((old.rank, self.rank));
        let is_same = keys_added == 0 && keys_removed == 0 && rank.is_none();
        (!is_same).then(|| TenantChange::Modified {
            name: self.name.to_owned(),
            keys_added,
            keys_removed,
            rank,
        })
    }
}

/// Returns the differences between the tenants of two documents, compared by name.
pub(crate) fn tenant_changes(old: &Value, new: &Value) -> Vec<TenantChange> {
    let (old, new) = (&old[TENANTS_KEY], &new[TENANTS_KEY]);
    let (old_tenants, new_tenants) = (tenants(old), tenants(new));
    let mut changes = Vec::new();
    for tenant in &new_tenants {
        match find(&old_tenants, tenant.name) {
            Some(old) => changes.extend(tenant.change_since(old)),
            None => changes.push(TenantChange::Added {
                name: tenant.name.to_owned(),
                keys: tenant.keys.len(),
            }),
        }
    }
    let removed = old_tenants
        .iter()
        .filter(|tenant| find(&new_tenants, tenant.name).is_none());
    changes.extend(removed.map(|tenant| TenantChange::Removed {
        name: tenant.name.to_owned(),
    }));
    match (old.is_null(), new.is_null()) {
        (true, false) => changes.push(TenantChange::KeysRequired),
        (false, true) => changes.push(TenantChange::KeysNotRequired),
        _ => {}
    }
    changes
}

fn find<'a, 'b>(tenants: &'b [Tenant<'a>], name: &str) -> Option<&'b Tenant<'a>> {
    tenants.iter().find(|tenant| tenant.name == name)
}

/// Returns the tenants of a document. Skips invalid ones, since earlier versions accepted documents without validating
/// the tenants.
fn tenants(clients: &Value) -> Vec<Tenant<'_>> {
    let clients = clients.as_array().into_iter().flatten();
    clients.filter_map(tenant).collect()
}

fn tenant(client: &Value) -> Option<Tenant<'_>> {
    let keys = client["credentials"].as_array().into_iter().flatten();
    Some(Tenant {
        name: client["label"].as_str()?,
        keys: keys.filter_map(Value::as_str).collect(),
        rank: client["rank"].as_i64(),
    })
}
