//! Tests of the initial value of a cluster.

use linenthread_consensus::{NodeId, genesis_value};
use linenthread_messages::{Value, Voter};

#[test]
fn the_voters_are_the_nodes_at_the_bootstrap_addresses_in_their_order() {
    let addresses = ["10.0.0.2:8080".to_owned(), "10.0.0.1:8080".to_owned()];
    let voter = |address: &str| Voter {
        id: NodeId::genesis(address).0,
        address: address.to_owned(),
    };
    let expected = Value {
        voters: vec![voter("10.0.0.2:8080"), voter("10.0.0.1:8080")],
        ..Value::default()
    };
    assert_eq!(genesis_value(&addresses), expected);
}
