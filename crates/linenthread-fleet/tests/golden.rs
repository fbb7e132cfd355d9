//! Compatibility of the fleet's wire and disk formats with bytes that an earlier version wrote.
//!
//! The files under `tests/golden/` were written by commit 464716d. They must never be regenerated to make a test pass:
//! processes of an earlier version send these bytes during a rolling upgrade, and existing disks of voters hold them.

mod cluster;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use linenthread_fleet::frame::{Frame, Hello, Progress, Role};
use linenthread_fleet::{
    CommittedValue, FoundersDigest, Members, MembersAction, MembersConfig, NodeIdentity,
    NumberedValue, PeerAddress, ProcessIncarnation, Term, VoterIncarnation,
};
use linenthread_frames::Secrets;
use linenthread_golden::named_bytes;
use linenthread_store::Files;
use raft::eraftpb::{Entry, EntryType, Message, MessageType, Snapshot};

use cluster::{Cluster, Disk, NAMES};

/// Returns the names and bytes in a golden file.
fn golden(text: &str) -> Vec<(String, Vec<u8>)> {
    named_bytes(text)
        .map(|(name, bytes)| (name.to_owned(), bytes))
        .collect()
}

// --- frames ---

fn entry(index: u64, entry_type: EntryType) -> Entry {
    Entry {
        index,
        term: 41,
        entry_type,
        context: vec![1, 2, 3].into(),
        data: b"entry".to_vec().into(),
        ..Entry::default()
    }
}

fn snapshot() -> Snapshot {
    let mut snapshot = Snapshot {
        data: b"snapshot".to_vec().into(),
        ..Snapshot::default()
    };
    let metadata = snapshot.mut_metadata();
    (metadata.index, metadata.term) = (900, 40);
    metadata.mut_conf_state().voters = vec![0x0102_0304_0506_0708, 2, 3];
    snapshot
}

fn message(msg_type: MessageType) -> Message {
    Message {
        msg_type,
        to: 0x1112_1314_1516_1718,
        from: 0x2122_2324_2526_2728,
        term: 42,
        log_term: 39,
        index: 1_000,
        commit: 999,
        commit_term: 38,
        request_snapshot: 950,
        reject: true,
        reject_hint: 980,
        priority: -5,
        context: b"context".to_vec().into(),
        ..Message::default()
    }
}

/// Returns `N` bytes that count up from `first`.
fn counting_from<const N: usize>(first: u8) -> [u8; N] {
    std::array::from_fn(|i| first + u8::try_from(i).expect("few bytes"))
}

/// Returns one frame of each kind with its name in the golden file.
fn frames() -> Vec<(String, Frame)> {
    let mut frames = handshake_frames();
    frames.extend([
        committed_frame(),
        (
            "report".to_owned(),
            Frame::Report {
                bytes: vec![9, 0, 8],
            },
        ),
        ("ping".to_owned(), Frame::Ping { number: 1_234_567 }),
        ("pong".to_owned(), Frame::Pong { number: 1_234_568 }),
    ]);
    frames.extend(progress_frames());
    frames.extend(raft_frames());
    frames
}

fn handshake_frames() -> Vec<(String, Frame)> {
    let nonce = counting_from(0x30);
    let proof = counting_from(0x80);
    let challenge = Frame::Challenge {
        min_version: 1,
        max_version: 3,
        nonce,
        name: "catania".to_owned(),
    };
    let hello = Frame::Hello(Hello {
        version: 2,
        name: "messina".to_owned(),
        role: Role::Voter,
        nonce,
        proof,
    });
    let refuse = Frame::Refuse {
        reason: "not \u{e9}xpected".to_owned(),
    };
    vec![
        ("challenge".to_owned(), challenge),
        ("hello".to_owned(), hello),
        ("welcome".to_owned(), Frame::Welcome { proof }),
        ("refuse".to_owned(), refuse),
    ]
}

fn committed_frame() -> (String, Frame) {
    let committed = CommittedValue {
        topic: "table".to_owned(),
        number: 77,
        value: vec![0, 0xff, 7],
    };
    ("agreed".to_owned(), Frame::Committed(committed))
}

fn progress_frames() -> Vec<(String, Frame)> {
    let progresses = [
        Progress::Empty,
        Progress::Founded,
        Progress::Active,
        Progress::Stopped,
    ];
    let frame = |(number, progress)| {
        let frame = Frame::Progress {
            progress,
            incarnation: VoterIncarnation(0x4142_4344_4546_4748),
            founders: FoundersDigest(0x5152_5354_5556_5758),
        };
        (format!("standing_{number}"), frame)
    };
    progresses.into_iter().enumerate().map(frame).collect()
}

/// Returns a message of each type, and one with entries and a snapshot.
fn raft_frames() -> Vec<(String, Frame)> {
    let kinds = [
        MessageType::MsgAppend,
        MessageType::MsgAppendResponse,
        MessageType::MsgRequestVote,
        MessageType::MsgRequestVoteResponse,
        MessageType::MsgSnapshot,
        MessageType::MsgHeartbeat,
        MessageType::MsgHeartbeatResponse,
        MessageType::MsgRequestPreVote,
        MessageType::MsgRequestPreVoteResponse,
        MessageType::MsgUnreachable,
    ];
    let frame = |kind| {
        let frame = Frame::Raft(Box::new(message(kind)));
        (format!("record_{kind:?}"), frame)
    };
    let mut frames: Vec<(String, Frame)> = kinds.into_iter().map(frame).collect();
    let mut full = message(MessageType::MsgAppend);
    full.entries = vec![
        entry(1_001, EntryType::EntryNormal),
        entry(1_002, EntryType::EntryConfChange),
    ]
    .into();
    full.set_snapshot(snapshot());
    frames.push(("record_full".to_owned(), Frame::Raft(Box::new(full))));
    frames
}

// --- voters' disks ---

/// Returns the names and bytes of all voters' files.
fn files(cluster: &Cluster) -> Vec<(String, Vec<u8>)> {
    let mut files = Vec::new();
    for (voter, disk) in &cluster.disks {
        let mut disk = disk.borrow_mut();
        for name in disk.list().expect("the directory is readable") {
            let bytes = disk.read(&name).expect("the file is readable");
            files.push((format!("{voter}/{name}"), bytes));
        }
    }
    files
}

fn start_all(cluster: &mut Cluster) {
    for name in NAMES {
        cluster.start(name).expect("the disk is not damaged");
    }
}

fn propose(cluster: &mut Cluster, topic: &str, expected_number: u64, value: &[u8]) {
    let result = cluster.propose(topic, expected_number, value);
    result.expect("there is a leader");
}

/// Returns a fleet that was founded and has committed some values.
fn founded() -> Cluster {
    let mut cluster = Cluster::new();
    start_all(&mut cluster);
    cluster.run(5);
    propose(&mut cluster, "table", 0, b"first");
    propose(&mut cluster, "members", 0, &[0xff; 300]);
    propose(&mut cluster, "table", 1, b"second");
    cluster.run(1);
    cluster
}

/// Returns a founded fleet in which one voter has lost its disk and returned under a new identity, and which has
/// committed enough values afterwards for the logs to be compacted.
fn compacted() -> Cluster {
    let mut cluster = founded();
    cluster.stop("catania");
    cluster.disks.insert("catania".to_owned(), Disk::default());
    cluster.start("catania").expect("an empty disk opens");
    cluster.run(10);
    for number in 2..280 {
        propose(&mut cluster, "table", number, &number.to_be_bytes());
    }
    cluster.run(1);
    cluster
}

/// Returns a cluster whose voters were started from these files.
fn restarted(files: Vec<(String, Vec<u8>)>) -> Cluster {
    let mut cluster = Cluster::new();
    for (path, bytes) in files {
        let (voter, name) = path.split_once('/').expect("a path of voter and file");
        let mut disk = cluster.disks[voter].borrow_mut();
        disk.append(name, &bytes).expect("there is space");
    }
    start_all(&mut cluster);
    cluster
}

/// The durable state of a voter, for comparing one that was started from a golden disk with one that wrote such a disk.
#[derive(Debug, PartialEq)]
struct DurableState {
    incarnation: Option<VoterIncarnation>,
    term: Term,
    votes: bool,
}

fn durable_state(cluster: &Cluster, name: &str) -> DurableState {
    let voter = &cluster.voters[name];
    DurableState {
        incarnation: voter.incarnation(),
        term: voter.term(),
        votes: voter.is_voting_member(),
    }
}

/// Returns the values in a voter's table, by topic.
fn values(cluster: &Cluster, name: &str) -> Vec<(String, NumberedValue)> {
    let values = cluster.voters[name].table().values();
    let values = values.map(|(topic, value)| (topic.to_owned(), value.clone()));
    values.collect()
}

// --- gossip ---

fn member(name: &str, gossip: &str, incarnation: u64) -> NodeIdentity {
    NodeIdentity {
        name: name.to_owned(),
        gossip_address: gossip.parse().expect("an address"),
        machine: "machine-1".to_owned(),
        zone: "zone-b".to_owned(),
        region: "region-c".to_owned(),
        version: 0x0102,
        weight: 750,
        incarnation: ProcessIncarnation(incarnation),
        renewals: 0x0a0b_0c0d,
    }
}

/// A datagram and the address that it goes to.
type SentDatagram = (String, Vec<u8>);

/// Members by address, with a common clock, whose datagrams are delivered immediately.
struct Gossip {
    members: BTreeMap<SocketAddr, Members>,
    sent: Vec<SentDatagram>,
}

impl Gossip {
    fn new(all: &[NodeIdentity]) -> Gossip {
        let secrets = Secrets::new(vec![b"a secret of this test".to_vec()])
            .expect("the secret is long enough");
        let seed = |member: &NodeIdentity| PeerAddress {
            name: member.name.clone(),
            address: member.gossip_address,
        };
        let member = |(random_seed, local): (u64, &NodeIdentity)| {
            let config = MembersConfig {
                local: local.clone(),
                seeds: all.iter().map(seed).collect(),
                expected_members: 3,
                probe_interval: 10_000,
                secrets: secrets.clone(),
                random_seed,
            };
            (local.gossip_address, Members::new(config, 0))
        };
        Gossip {
            members: (1..).zip(all).map(member).collect(),
            sent: Vec::new(),
        }
    }

    /// Wakes all members and delivers their datagrams, including those sent in response.
    fn step(&mut self, now: i64) {
        let mut pending = VecDeque::new();
        for member in self.members.values_mut() {
            let mut actions = Vec::new();
            member.wake(now, &mut actions);
            pending.extend(actions);
        }
        while let Some(action) = pending.pop_front() {
            let MembersAction::Send { to, bytes } = action else {
                continue;
            };
            if let Some(member) = self.members.get_mut(&to) {
                let mut actions = Vec::new();
                let result = member.on_datagram(now, &bytes, &mut actions);
                result.expect("the datagram is accepted");
                pending.extend(actions);
            }
            self.sent.push((to.to_string(), bytes));
        }
    }
}

/// Returns all datagrams that are sent while three members discover each other, and then one stops and is suspected and
/// declared down.
fn gossip() -> Vec<SentDatagram> {
    let all = [
        member("catania", "10.0.0.1:7001", 0x6162_6364_6566_6768),
        member("messina", "10.0.0.2:7002", 7),
        member("palermo", "[fd00::3]:7003", 8),
    ];
    let mut gossip = Gossip::new(&all);
    for now in (0..120_000).step_by(100) {
        if now == 30_000 {
            gossip.members.remove(&all[2].gossip_address);
        }
        gossip.step(now);
    }
    gossip.sent
}

#[test]
fn frames_have_the_bytes_of_version_464716d() {
    let golden = golden(include_str!("golden/frames.hex"));
    let frames = frames();
    assert_eq!(golden.len(), frames.len());
    for ((name, frame), (golden_name, bytes)) in frames.into_iter().zip(golden) {
        assert_eq!(name, golden_name);
        assert_eq!(frame.encode(), bytes, "{name} encodes");
        let mut buffer = bytes;
        let mut decoded = Vec::new();
        let result = Frame::drain(&mut buffer, |frame| decoded.push(frame));
        result.unwrap_or_else(|error| panic!("{name}: {error}"));
        assert!(buffer.is_empty(), "{name} leaves bytes behind");
        assert_eq!(decoded, [frame], "{name} decodes");
    }
}

#[test]
fn a_founded_fleet_writes_the_bytes_of_version_464716d() {
    let golden = golden(include_str!("golden/founded.hex"));
    let cluster = founded();
    assert!(files(&cluster) == golden, "the bytes differ");
    assert_eq!(
        cluster.voters["catania"].table().value("table"),
        Some(&NumberedValue {
            number: 2,
            value: b"second".to_vec(),
        })
    );
}

#[test]
fn a_fleet_that_replaced_a_voter_and_compacted_writes_the_bytes_of_version_464716d() {
    let golden = golden(include_str!("golden/grown.hex"));
    let cluster = compacted();
    assert!(files(&cluster) == golden, "the bytes differ");
    assert_ne!(
        cluster.voters["catania"].incarnation(),
        Some(VoterIncarnation::FOUNDER)
    );
}

#[test]
fn voters_start_from_disks_of_version_464716d() {
    for (text, expected) in [
        (include_str!("golden/founded.hex"), founded()),
        (include_str!("golden/grown.hex"), compacted()),
    ] {
        let mut cluster = restarted(golden(text));
        // All three voters have just started, so each still has the term on its disk.
        for name in NAMES {
            assert_eq!(
                durable_state(&cluster, name),
                durable_state(&expected, name),
                "{name}"
            );
        }
        cluster.run(10);
        for name in NAMES {
            assert_eq!(values(&cluster, name), values(&expected, name), "{name}");
        }
    }
}

#[test]
fn gossip_has_the_bytes_of_version_464716d() {
    let golden = golden(include_str!("golden/gossip.hex"));
    let sent = gossip();
    assert_eq!(sent.len(), golden.len());
    for (number, (datagram, expected)) in sent.into_iter().zip(golden).enumerate() {
        assert_eq!(datagram, expected, "datagram {number}");
    }
}
