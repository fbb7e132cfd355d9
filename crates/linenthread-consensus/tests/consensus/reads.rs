//! Tests of reads during undecided values and slow disks.

use linenthread_consensus::{
    AfterSync, DurableState, Effect, Incarnation, JobId, NodeId, Outcome, Register,
};
use linenthread_messages::{Accept, Ballot, PeerMessage, Value};

use crate::cluster::{committed, order};
use crate::fixtures::{at, value, voter};
use crate::trio::Trio;

#[test]
fn a_read_completes_an_undecided_value() {
    // Nodes 1 and 2 have accepted the value, and all further messages of its proposer were lost.
    let mut trio = Trio::new();
    let undecided = Value {
        revision: 3,
        document: "3".into(),
        ..value(1)
    };
    let ballot = Ballot {
        round: 1,
        proposer: 9,
    };
    for node in [1, 2] {
        let accept = Accept {
            ballot,
            value: undecided.clone(),
        };
        let mut effects = Vec::new();
        trio.register(node)
            .on_message(at(0), NodeId(9), PeerMessage::Accept(accept), &mut effects);
    }
    trio.isolated = vec![1];
    trio.read(3, 7);
    assert_eq!(
        trio.last_outcome(),
        &Outcome::NewestValue(Box::new(undecided))
    );
    assert_eq!(
        trio.register(3).decided().map(|value| value.number),
        Some(1)
    );
}

#[test]
fn a_read_sends_no_further_requests_while_a_disk_is_slow() {
    let genesis = Value {
        voters: vec![voter(1)],
        ..Value::default()
    };
    let mut register = Register::new(
        NodeId(1),
        DurableState::default(),
        Some(genesis),
        Incarnation::new(5),
    );
    let change = order(0, 3, "3");
    let (mut effects, mut requests, mut unsynced) = (Vec::new(), 0, Vec::new());
    register.propose(at(0), JobId(1), change, at(900), &mut effects);
    register.read(at(0), JobId(2), at(900), &mut effects);
    // Messages to the node itself arrive immediately; the acceptance waits for the disk.
    for _ in 0..100 {
        for effect in std::mem::take(&mut effects) {
            match effect {
                Effect::Send { message, .. } => {
                    requests += usize::from(matches!(message, PeerMessage::ReadRequest(_)));
                    register.on_message(at(0), NodeId(1), message, &mut effects);
                }
                Effect::Persist { after_sync, .. } => {
                    for next in after_sync {
                        match next {
                            AfterSync::Send {
                                message: message @ PeerMessage::AcceptAck(_),
                                ..
                            } => unsynced.push(message),
                            AfterSync::Send { message, .. } => {
                                register.on_message(at(0), NodeId(1), message, &mut effects);
                            }
                            AfterSync::RecordSynced(synced) => {
                                register.on_synced(at(0), synced, &mut effects);
                            }
                            AfterSync::EpochSynced(_) | AfterSync::SnapshotSynced(_) => {}
                        }
                    }
                }
                _ => {}
            }
        }
    }
    assert!(effects.is_empty() && requests <= 2, "{requests} requests");
    register.on_message(at(5), NodeId(1), unsynced.remove(0), &mut effects);
    assert!(effects.contains(&Effect::Reply {
        job: JobId(1),
        outcome: committed(3)
    }));
}
