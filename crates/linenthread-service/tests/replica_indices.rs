//! Assignment, release and reuse of replica indices.

use linenthread_core::interface::ReplicaIndex;
use linenthread_service::replica_indices::ReplicaIndices;

#[test]
fn an_index_is_reused_only_when_its_replica_has_no_open_probe_query_or_connection() {
    let mut indices = ReplicaIndices::default();
    assert_eq!(
        (
            indices.get_or_assign("a"),
            indices.get_or_assign("b"),
            indices.get_or_assign("a")
        ),
        (ReplicaIndex(0), ReplicaIndex(1), ReplicaIndex(0))
    );
    indices.start_probe(ReplicaIndex(0));
    indices.set_removed(ReplicaIndex(0), 7);
    indices.release_unused(7, |_| true);
    assert_eq!(
        indices.get_or_assign("c"),
        ReplicaIndex(2),
        "a probe of index 0 is in flight"
    );
    indices.finish_probe(ReplicaIndex(0));
    indices.release_unused(6, |_| true);
    indices.release_unused(7, |replica| replica != ReplicaIndex(0));
    assert_eq!(
        indices.get_or_assign("d"),
        ReplicaIndex(3),
        "an earlier query or a connection of index 0 is open"
    );
    indices.release_unused(7, |_| true);
    assert_eq!(
        (
            indices.get_or_assign("e"),
            indices.get_or_assign("a"),
            indices.get_or_assign("b")
        ),
        (ReplicaIndex(0), ReplicaIndex(4), ReplicaIndex(1))
    );
    // The number of indices does not grow with the number of replicas that are added and removed over time.
    for n in 0..1_000 {
        let replica = indices.get_or_assign(&format!("n{n}"));
        indices.set_removed(replica, n);
        indices.release_unused(n, |_| true);
    }
    assert_eq!(indices.count(), 6);
    let assigned: Vec<_> = (0..6)
        .filter_map(|index| indices.id(ReplicaIndex(index)))
        .collect();
    assert_eq!(assigned, ["e", "b", "c", "d", "a"]);
    assert!(assigned.iter().all(|id| indices.get(id).is_some()));
    assert!((0..1_000).all(|n| indices.get(&format!("n{n}")).is_none()));
}
