//! The differences between two configurations.

use std::fmt;

use serde_json::Value;

use crate::tenant_difference::{TenantChange, tenant_changes};

/// A list in a configuration whose entries have names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Section {
    /// The routes.
    Routes,
    /// The backends.
    Backends,
}

impl Section {
    const ALL: [Section; 2] = [Section::Routes, Section::Backends];

    /// Returns the key of the section in the document.
    pub fn key(self) -> &'static str {
        match self {
            Section::Routes => "route_table",
            Section::Backends => "backends",
        }
    }
}

/// Keys outside the sections, whose values are compared as a whole.
const UNSECTIONED_KEYS: [&str; 2] = ["revision", "constraints"];
/// The key of an entry's name, which identifies the entry in both configurations.
const NAME_KEY: &str = "label";

/// One difference between two configurations.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// An entry that only the new configuration has.
    Added(Section, Value),
    /// An entry that only the old configuration has.
    Removed(Section, Value),
    /// An entry whose content differs.
    Modified {
        /// The section of the entry.
        section: Section,
        /// The old entry.
        old: Value,
        /// The new entry.
        new: Value,
    },
    /// A changed value outside the sections.
    Replaced {
        /// Its key in the document.
        key: &'static str,
        /// The old value; null for none.
        old: Value,
        /// The new value; null for none.
        new: Value,
    },
    /// A difference between the tenants.
    Tenant(TenantChange),
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Change::Added(section, entry) => write!(f, "+ {} {}", section.key(), name(entry)),
            Change::Removed(section, entry) => write!(f, "- {} {}", section.key(), name(entry)),
            Change::Modified { section, old, new } => {
                write!(f, "~ {} {}: {old} -> {new}", section.key(), name(new))
            }
            Change::Replaced { key, old, new } => write!(f, "~ {key}: {old} -> {new}"),
            Change::Tenant(change) => change.fmt(f),
        }
    }
}

/// Returns the differences: first the entries of the sections and the tenants, compared by name, then the remaining
/// keys.
///
/// # Errors
/// Fails if a document is not JSON.
pub fn configuration_changes(
    old: Option<&[u8]>,
    new: &[u8],
) -> Result<Vec<Change>, serde_json::Error> {
    let old = old.map_or(Ok(Value::Null), serde_json::from_slice)?;
    let new: Value = serde_json::from_slice(new)?;
    let mut changes = Vec::new();
    for section in Section::ALL {
        let key = section.key();
        changes.extend(entry_changes(
            section,
            entries(&old[key]),
            entries(&new[key]),
        ));
    }
    changes.extend(tenant_changes(&old, &new).into_iter().map(Change::Tenant));
    let replaced = UNSECTIONED_KEYS
        .into_iter()
        .filter(|key| old[key] != new[key]);
    changes.extend(replaced.map(|key| Change::Replaced {
        key,
        old: old[key].clone(),
        new: new[key].clone(),
    }));
    Ok(changes)
}

fn entry_changes(section: Section, old: &[Value], new: &[Value]) -> Vec<Change> {
    let find_by_name = |all: &[Value], entry: &Value| {
        all.iter()
            .find(|other| other[NAME_KEY] == entry[NAME_KEY])
            .cloned()
    };
    let mut changes = Vec::new();
    for entry in new {
        match find_by_name(old, entry) {
            None => changes.push(Change::Added(section, entry.clone())),
            Some(old) if old != *entry => changes.push(Change::Modified {
                section,
                old,
                new: entry.clone(),
            }),
            Some(_) => {}
        }
    }
    let removed = old
        .iter()
        .filter(|entry| find_by_name(new, entry).is_none());
    changes.extend(removed.map(|entry| Change::Removed(section, entry.clone())));
    changes
}

fn entries(section: &Value) -> &[Value] {
    section.as_array().map_or(&[], Vec::as_slice)
}

/// Returns the name of an entry, without quotes.
fn name(entry: &Value) -> String {
    let name = &entry[NAME_KEY];
    name.as_str()
        .map_or_else(|| name.to_string(), str::to_owned)
}
