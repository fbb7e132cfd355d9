//! The difference between two configurations, as operators read it.

use linenthread_ctl::configuration_changes;

#[test]
fn a_difference_names_what_was_added_removed_and_changed() {
    let old = br#"{"revision":1,"route_table":[{"label":"a","n":1},{"label":"b"}],"backends":[]}"#;
    let new = br#"{"revision":2,"route_table":[{"label":"a","n":2},{"label":"c"}],"backends":[]}"#;
    let lines: Vec<String> = configuration_changes(Some(old), new)
        .unwrap()
        .iter()
        .map(ToString::to_string)
        .collect();
    let begin: Vec<&str> = lines.iter().map(|l| l.split(':').next().unwrap()).collect();
    assert_eq!(
        begin,
        [
            "~ route_table a",
            "+ route_table c",
            "- route_table b",
            "~ revision"
        ]
    );
    assert!(configuration_changes(Some(new), new).unwrap().is_empty());
}
