//! The change log: what is remembered after an offset.

use linenthread_control::{ChangeLog, ChangeLogOffset};
use yare::parameterized;

#[parameterized(
    from_the_start = { 0, None },
    forgotten = { 1, None },
    oldest = { 2, Some(3) },
    near = { 4, Some(1) },
    all = { 5, Some(0) },
    ahead = { 6, None },
)]
fn the_change_log_has_what_changed_after_an_offset(offset: u64, changes: Option<usize>) {
    let mut log = ChangeLog::new(3);
    ["a", "b", "c", "d", "e"]
        .iter()
        .for_each(|id| log.append(id));
    assert_eq!(
        log.since(ChangeLogOffset::new(offset)).map(|c| c.len()),
        changes
    );
}
