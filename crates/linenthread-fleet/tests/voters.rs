//! Voters whose messages are delivered immediately: founding of a fleet, crashes, lost disks, leases and invalid
//! messages. The simulation of fleets covers random schedules; these tests cover single edge cases.

mod cluster;

use linenthread_fleet::frame::Frame;
use linenthread_fleet::{NumberedValue, ProposeError, Stage, Voter, VoterAction, VoterIncarnation};
use raft::eraftpb::{Entry, Message, MessageType};

use cluster::{Cluster, Disk, FromVoter, NAMES, write};

fn numbered(number: u64, value: &[u8]) -> NumberedValue {
    NumberedValue {
        number,
        value: value.to_vec(),
    }
}

/// Partitions a voter from all others, in place of any earlier partitions.
fn isolate(cluster: &mut Cluster, name: &str) {
    let others = NAMES.iter().filter(|other| **other != name);
    let pairs = others.map(|other| ((*other).to_owned(), name.to_owned()));
    cluster.partitions = pairs.collect();
}

/// Returns the voters' log lines.
fn log(cluster: &Cluster) -> Vec<String> {
    let line = |event: &FromVoter<_>| format!("{}: {}", event.voter, event.item);
    cluster.events.iter().map(line).collect()
}

fn last_log_line(cluster: &Cluster) -> String {
    log(cluster).pop().expect("a log line")
}

/// Returns a fleet with one committed value.
fn founded() -> Cluster {
    let mut cluster = Cluster::new();
    for name in NAMES {
        cluster.start(name).unwrap();
    }
    cluster.run(5);
    assert_eq!(cluster.leaders().len(), 1, "{:?}", log(&cluster));
    cluster.propose("table", 0, b"first").unwrap();
    cluster.run(1);
    for voter in cluster.voters.values() {
        assert_eq!(voter.table().value("table"), Some(&numbered(1, b"first")));
    }
    cluster
}

#[test]
fn a_fleet_is_founded_only_by_all_its_voters() {
    let mut cluster = Cluster::new();
    cluster.start("catania").unwrap();
    cluster.start("messina").unwrap();
    cluster.run(30);
    assert!(
        cluster
            .voters
            .values()
            .all(|voter| voter.stage() == Stage::Empty),
        "{:?}",
        log(&cluster)
    );
    cluster.start("palermo").unwrap();
    cluster.run(5);
    assert_eq!(cluster.leaders().len(), 1);
    // Only one of two writes based on the same number is applied.
    cluster.propose("table", 0, b"one").unwrap();
    cluster.propose("table", 0, b"other").unwrap();
    cluster.propose("table", 1, b"two").unwrap();
    cluster.run(1);
    assert_eq!(cluster.committed.len(), 2);
    assert_eq!(cluster.committed[&("table".into(), 2)], b"two");
}

#[test]
fn the_state_survives_a_crash_of_all_voters_and_a_minority_commits_nothing() {
    let mut cluster = founded();
    let leader = cluster.leaders()[0].to_owned();
    isolate(&mut cluster, &leader);
    cluster.run(3);
    // The partitioned leader's lease has expired, so it rejects a proposal without waiting for Raft's next quorum
    // check.
    let new = cluster.leaders();
    assert!(new.len() == 1 && new[0] != leader, "{new:?}");
    let mut result = Ok(());
    cluster.act(&leader, |voter, now, actions| {
        result = voter.propose(now, &write("table", 1, b"alone"), actions);
    });
    let error = result.unwrap_err();
    assert!(matches!(error, ProposeError::NotLeader));
    assert_eq!(error.to_string(), "this process is not the leader");
    cluster.propose("table", 1, b"second").unwrap();
    for name in NAMES {
        cluster.stop(name);
    }
    let mut rng = oorandom::Rand64::new(5);
    for disk in cluster.disks.values() {
        disk.borrow_mut().crash(&mut rng);
    }
    cluster.partitions.clear();
    // Two of three voters are enough once the fleet exists.
    cluster.start("messina").unwrap();
    cluster.start("palermo").unwrap();
    cluster.run(5);
    assert_eq!(cluster.leaders().len(), 1, "{:?}", log(&cluster));
    for voter in cluster.voters.values() {
        assert_eq!(voter.table().value("table"), Some(&numbered(2, b"second")));
    }
}

#[test]
fn a_lost_disk_gives_a_new_identity_and_a_failed_disk_does_not_count_as_empty() {
    let mut cluster = founded();
    cluster.stop("catania");
    cluster.disks.insert("catania".into(), Disk::default());
    cluster.start("catania").unwrap();
    cluster.run(10);
    let incarnation = cluster.voters["catania"].incarnation().unwrap();
    assert_ne!(
        incarnation,
        VoterIncarnation::FOUNDER,
        "new-disk-new-identity"
    );
    assert!(
        cluster.voters["catania"].is_voting_member(),
        "{:?}",
        log(&cluster)
    );
    // The disks of both other voters fail, then this voter loses its disk again. The failed disks may hold committed
    // entries, so no new fleet is founded.
    for name in ["messina", "palermo"] {
        cluster.disks[name].borrow_mut().syncs_until_failure = Some(0);
    }
    for number in 0..40 {
        cluster.propose("table", number, b"more").ok();
        cluster.run(1);
        let is_stopped = |voter: &&Voter<Disk>| matches!(voter.stage(), Stage::Stopped(_));
        if cluster.voters.values().filter(is_stopped).count() == 2 {
            break;
        }
    }
    let log_lines = log(&cluster);
    let is_stop = |line: &String| line.contains("voter stopped: the disk failed");
    assert!(log_lines.iter().any(is_stop), "{log_lines:?}");
    cluster.stop("catania");
    cluster.disks.insert("catania".into(), Disk::default());
    cluster.start("catania").unwrap();
    cluster.run(20);
    assert_eq!(
        cluster.voters["catania"].stage(),
        Stage::Empty,
        "{:?}",
        log(&cluster)
    );
    assert!(cluster.leaders().is_empty());
}

#[test]
fn a_suspended_leader_does_not_lead_when_it_resumes() {
    let mut cluster = founded();
    let leader = cluster.leaders()[0].to_owned();
    let suspended = cluster.voters.remove(&leader).unwrap();
    cluster.run(10);
    let new = cluster.leaders()[0].to_owned();
    cluster.voters.insert(leader.clone(), suspended);
    // It is not the leader even before it receives a message, by its own clock alone.
    assert!(!cluster.voters[&leader].is_leader(cluster.now));
    isolate(&mut cluster, &leader);
    cluster.act(&leader, Voter::wake);
    let line = last_log_line(&cluster);
    assert!(line.contains("lost leadership"), "{line}");
    cluster.partitions.clear();
    cluster.run(2);
    assert_eq!(cluster.leaders(), [new]);
}

/// A voter that restarts has no record that it confirmed the leader's lease. While another voter, partitioned from the
/// leader, requests its vote repeatedly, it must not help to elect a second leader before that lease has expired,
/// whenever it restarts.
#[test]
fn a_restarted_voter_does_not_vote_while_a_lease_may_last() {
    for offset in 0..30 {
        let mut cluster = founded();
        let leader = cluster.leaders()[0].to_owned();
        let others: Vec<&str> = NAMES.into_iter().filter(|n| *n != leader).collect();
        cluster.partitions = vec![(leader.clone(), others[0].to_owned())];
        cluster.steps(160 + 2 * offset);
        assert_eq!(cluster.leaders(), [leader.as_str()]);
        cluster.stop(others[1]);
        cluster.start(others[1]).unwrap();
        isolate(&mut cluster, &leader);
        for _ in 0..40 {
            cluster.steps(1);
            assert!(
                cluster.leaders().len() < 2,
                "one-leader, {offset}: {:?}",
                cluster.leaders()
            );
        }
        cluster.run(5);
        assert!(cluster.leaders().len() == 1 && others.contains(&cluster.leaders()[0]));
    }
}

#[test]
fn a_damaged_directory_or_one_of_another_voter_is_not_opened() {
    let mut cluster = founded();
    for number in 1..5 {
        cluster.propose("table", number, b"next").unwrap();
        cluster.run(1);
    }
    cluster.stop("catania");
    let mut rng = oorandom::Rand64::new(3);
    cluster.disks["catania"]
        .borrow_mut()
        .flip_bit(&mut rng)
        .unwrap();
    let error = cluster.start("catania").unwrap_err().to_string();
    assert!(error.contains("is damaged at byte"), "{error}");
    cluster
        .disks
        .insert("catania".into(), cluster.disks["messina"].clone());
    let error = cluster.start("catania").unwrap_err().to_string();
    assert_eq!(
        error,
        "the folder belongs to the voter messina, not to catania"
    );
}

/// Proposes a second value at the leader, and returns the append message that it sends to another voter.
fn append_message(cluster: &mut Cluster, leader: &str, to_voter: &str) -> Message {
    let mut sent = None;
    cluster.act(leader, |voter, now, actions| {
        voter
            .propose(now, &write("table", 1, b"x"), actions)
            .unwrap();
        sent = actions.iter().find_map(|action| match action {
            VoterAction::Send {
                to,
                frame: Frame::Raft(message),
            } if to == to_voter => Some(message.clone()),
            _ => None,
        });
    });
    *sent.unwrap()
}

/// Messages that no correct voter sends neither panic nor change what was committed.
#[test]
fn invalid_raft_messages_are_rejected() {
    let mut cluster = founded();
    let leader = cluster.leaders()[0];
    let receiver = NAMES.into_iter().find(|name| *name != leader).unwrap();
    let term = cluster.voters[receiver].term().0;
    let valid = append_message(&mut cluster, leader, receiver);
    let commit_beyond_log = Message {
        msg_type: MessageType::MsgHeartbeat,
        term,
        commit: 1_000_000,
        ..valid.clone()
    };
    let entry = Entry {
        index: 2,
        term: 1,
        ..Entry::default()
    };
    let contradicts_committed = Message {
        index: 1,
        log_term: 1,
        entries: vec![entry].into(),
        ..valid.clone()
    };
    let mut index_gap = valid;
    index_gap.entries[0].index += 7;
    for (message, reason) in [
        (commit_beyond_log, "is beyond the last entry"),
        (contradicts_committed, "does not fit the log"),
        (index_gap, "does not fit the log"),
    ] {
        cluster.act(receiver, |voter, now, actions| {
            voter.on_frame(now, leader, Frame::Raft(Box::new(message)), actions);
        });
        let line = last_log_line(&cluster);
        assert!(line.contains(reason), "{line}");
    }
    cluster.run(2);
    cluster.propose("table", 2, b"goes on").unwrap();
    cluster.run(1);
    assert_eq!(cluster.voters[receiver].table().number("table"), 3);
}
