//! Selection among several links to the same replica.

use linenthread_core::interface::{Phase, TenthMillis};
use linenthread_link::Member;
use linenthread_link::routing::{LinkStatus, merge_reports, select_link};

fn link(is_usable: bool, one_way: TenthMillis, in_flight: u64) -> Option<LinkStatus> {
    Some(LinkStatus {
        is_usable,
        one_way_latency: one_way,
        in_flight,
        capacity: 100,
    })
}

fn select(links: &[Option<LinkStatus>], last: Option<usize>) -> Option<usize> {
    let all: Vec<usize> = (0..links.len()).collect();
    select_link(&all, |index| links[index], last)
}

fn member(phase: Phase, age_ms: Option<u32>, slow_start_share: u16) -> Member {
    Member {
        id: "s".into(),
        zone: "m".into(),
        replica_group: 0,
        phase,
        age_ms,
        slow_start_share,
    }
}

#[test]
fn the_usable_link_with_the_lowest_cost_is_selected() {
    assert_eq!(
        select(&[link(true, 20, 0), link(true, 100, 0)], None),
        Some(0)
    );
    assert_eq!(
        select(&[link(false, 20, 0), link(true, 100, 0)], Some(0)),
        Some(1),
        "down"
    );
    assert_eq!(
        select(&[link(true, 20, 100), link(true, 100, 0)], Some(0)),
        Some(1),
        "full"
    );
    assert_eq!(
        select(&[link(true, 20, 90), link(true, 40, 0)], None),
        Some(1),
        "nearly full"
    );
    assert_eq!(
        select(&[link(true, 100, 0), link(true, 95, 0)], Some(0)),
        Some(0),
        "nearly equal: no change"
    );
    assert_eq!(
        select(&[link(true, 100, 0), link(true, 20, 0)], Some(0)),
        Some(1),
        "much better"
    );
    assert_eq!(select(&[link(false, 1, 0), None], Some(0)), None);
}

#[test]
fn merged_reports_have_the_most_conservative_values() {
    let a = member(Phase::Ready, None, 500);
    let b = member(Phase::Draining, Some(7), 250);
    assert_eq!(
        merge_reports([&a, &b].into_iter()),
        Some(member(Phase::Draining, Some(7), 250))
    );
    let removed = member(Phase::Removed, None, 0);
    assert_eq!(
        merge_reports([&removed, &a].into_iter()),
        Some(a),
        "one list is out of date"
    );
    assert_eq!(merge_reports([&removed].into_iter()), None);
}
