//! Detection of configuration fields that have no effect in this version.

use std::collections::BTreeSet;
use std::sync::LazyLock;

use serde_json::Value;

use crate::configuration::CONFIGURATION_SCHEMA;

static SCHEMA: LazyLock<Value> = LazyLock::new(|| {
    serde_json::from_str(CONFIGURATION_SCHEMA).expect("a schema file of this crate is JSON")
});

/// Schema keyword for a field whose only supported value is the given one.
const SUPPORTED_VALUE: &str = "x-supported";
/// Replaces the index of a list item in paths.
const ANY_INDEX: &str = "*";
/// Replaces names of unknown fields of tenants: such a name could be a misplaced key.
const WITHHELD_NAME: &str = "(name withheld)";
/// Path of the part of a document in which names of unknown fields are withheld.
const SECRET_PATH: &str = "/clients";

/// Returns the paths of the fields that the schema doesn't define or whose value is not supported, with `*` in place of
/// list indices.
///
/// A configuration with such fields is applied without them; callers report them, so that operators don't rely on them.
pub fn ignored_fields(document: &Value) -> BTreeSet<String> {
    let mut ignored = BTreeSet::new();
    collect(&SCHEMA, document, "", &mut ignored);
    ignored
}

fn collect(schema: &Value, value: &Value, path: &str, ignored: &mut BTreeSet<String>) {
    let schema = resolve(schema);
    let is_unsupported = schema
        .get(SUPPORTED_VALUE)
        .is_some_and(|supported| supported != value);
    if is_unsupported {
        ignored.insert(path.to_owned());
    }
    match value {
        Value::Array(items) => {
            let path = format!("{path}/{ANY_INDEX}");
            for item in items {
                collect(&schema["items"], item, &path, ignored);
            }
        }
        Value::Object(fields) => {
            let Some(known) = schema["properties"].as_object() else {
                return;
            };
            for (name, field) in fields {
                match known.get(name) {
                    Some(schema) => collect(schema, field, &format!("{path}/{name}"), ignored),
                    None => _ = ignored.insert(ignored_path(path, name)),
                }
            }
        }
        _ => {}
    }
}

fn ignored_path(parent: &str, name: &str) -> String {
    let name = if parent.starts_with(SECRET_PATH) {
        WITHHELD_NAME
    } else {
        name
    };
    format!("{parent}/{name}")
}

/// Returns the definition to which a `$ref` points, or the schema itself if it has no `$ref`.
fn resolve(schema: &Value) -> &Value {
    schema["$ref"]
        .as_str()
        .and_then(|reference| SCHEMA.pointer(reference.trim_start_matches('#')))
        .unwrap_or(schema)
}
