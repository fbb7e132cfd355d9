//! The change log: which changes after an offset are retained.

use linenthread_control::{ChangeLog, ChangeLogOffset};
use yare::parameterized;

#[parameterized(
    from_the_start = { 0, None },
    no_longer_retained = { 1, None },
    oldest_retained = { 2, Some(3) },
    one_behind = { 4, Some(1) },
    up_to_date = { 5, Some(0) },
    beyond_the_end = { 6, None },
)]
fn the_change_log_returns_the_replicas_changed_after_an_offset(
    offset: u64,
    changes: Option<usize>,
) {
    let mut log = ChangeLog::new(3);
    ["a", "b", "c", "d", "e"]
        .iter()
        .for_each(|id| log.append(id));
    assert_eq!(
        log.since(ChangeLogOffset::new(offset)).map(|c| c.len()),
        changes
    );
}
