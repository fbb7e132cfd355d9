//! Differences between configurations, as printed for operators.

use linenthread_ctl::configuration_changes;
use yare::parameterized;

#[test]
fn added_removed_and_modified_entries_are_listed() {
    let old = br#"{"revision":1,"route_table":[{"label":"a","n":1},{"label":"b"}],"backends":[]}"#;
    let new = br#"{"revision":2,"route_table":[{"label":"a","n":2},{"label":"c"}],"backends":[]}"#;
    let lines: Vec<String> = configuration_changes(Some(old), new)
        .unwrap()
        .iter()
        .map(ToString::to_string)
        .collect();
    let prefixes: Vec<&str> = lines.iter().map(|l| l.split(':').next().unwrap()).collect();
    assert_eq!(
        prefixes,
        [
            "~ route_table a",
            "+ route_table c",
            "- route_table b",
            "~ revision"
        ]
    );
    assert!(configuration_changes(Some(new), new).unwrap().is_empty());
}

/// Returns the lines of the difference between configurations with these tenants; for `None` the field is absent.
fn tenant_difference(old: Option<&str>, new: Option<&str>) -> Vec<String> {
    let document = |clients: Option<&str>| {
        let field = clients.map_or_else(String::new, |clients| format!(r#","clients":{clients}"#));
        format!(r#"{{"revision":1,"route_table":[],"backends":[]{field}}}"#)
    };
    let (old, new) = (document(old), document(new));
    let changes = configuration_changes(Some(old.as_bytes()), new.as_bytes()).unwrap();
    // Keys must not be shown in terminals or logs.
    assert!(!format!("{changes:?}").contains("secret"), "{changes:?}");
    changes.iter().map(ToString::to_string).collect()
}

const ONE_TENANT: &str = r#"[{"label":"a","credentials":["secret-1","secret-2"]}]"#;

// Guards against keys that are added or removed without a line in the difference, and against lines that show them.
#[parameterized(
    unchanged = { Some(ONE_TENANT), Some(ONE_TENANT), &[] },
    added = { Some("[]"), Some(ONE_TENANT), &["+ clients a: 2 keys"] },
    removed = { Some(ONE_TENANT), Some("[]"), &["- clients a"] },
    keys = {
        Some(ONE_TENANT), Some(r#"[{"label":"a","credentials":["secret-3","secret-2","secret-4"]}]"#),
        &["~ clients a: 2 keys added, 1 removed"]
    },
    rank = {
        Some(ONE_TENANT), Some(r#"[{"label":"a","credentials":["secret-2","secret-1"],"rank":2}]"#),
        &["~ clients a: 0 keys added, 0 removed, rank none -> 2"]
    },
    key_moved = {
        Some(r#"[{"label":"a","credentials":["secret-1"]},{"label":"b","credentials":[]}]"#),
        Some(r#"[{"label":"a","credentials":[]},{"label":"b","credentials":["secret-1"]}]"#),
        &["~ clients a: 0 keys added, 1 removed", "~ clients b: 1 keys added, 0 removed"]
    },
    keys_required = { None, Some("[]"), &["~ clients: absent -> given"] },
    keys_not_required = { Some(ONE_TENANT), None, &["- clients a", "~ clients: given -> absent"] },
    not_a_list = { Some(r#""secret-1""#), Some("[]"), &[] },
    not_objects = { Some(r#"["secret-1"]"#), Some("[]"), &[] },
)]
fn changed_keys_are_counted_and_not_shown(old: Option<&str>, new: Option<&str>, expected: &[&str]) {
    assert_eq!(tenant_difference(old, new), expected);
}
