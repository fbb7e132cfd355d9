//! Alone in its process: the counting allocator counts all threads.

use linenthread_hollow::{Role, Scale, measure};

#[test]
fn heap_grows_with_the_number_of_replicas() {
    let few = Scale {
        ingress_nodes: 6,
        replicas: 200,
        seconds: 1,
        storm: 0,
        ..Scale::default()
    };
    let many = Scale {
        replicas: 2_000,
        ..few.clone()
    };
    let heap = |scale: &Scale, role| measure(scale).row(role).expect("is measured").heap_bytes;
    for role in [Role::Ingress, Role::Voter] {
        let (small, large) = (heap(&few, role), heap(&many, role));
        // A replica has five strings and two maps' entries: some hundreds of bytes, not tens or thousands.
        let each = (large - small) / 1_800.0;
        assert!(
            (100.0..1_500.0).contains(&each),
            "{each} bytes a replica at a {}",
            role.name()
        );
    }
}
