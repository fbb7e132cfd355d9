//! Membership by gossip: members discover each other and detect that a member is down, has left or has returned.

use std::collections::VecDeque;
use std::net::SocketAddr;

use linenthread_fleet::{
    Members, MembersAction, MembersConfig, NodeIdentity, PeerAddress, ProcessIncarnation,
};
use linenthread_frames::Secrets;

const FIRST_PORT: u16 = 4_000;

fn config(n: u16, incarnation: u64) -> MembersConfig {
    let address = |n: u16| ([127, 0, 0, 1], FIRST_PORT + n).into();
    MembersConfig {
        local: NodeIdentity {
            incarnation: ProcessIncarnation(incarnation),
            zone: "z".into(),
            ..NodeIdentity::unknown(&format!("m{n}"), address(n))
        },
        seeds: vec![PeerAddress {
            name: "m0".into(),
            address: address(0),
        }],
        expected_members: 8,
        probe_interval: 5_000,
        secrets: Secrets::new(vec![vec![7; 16]]).unwrap(),
        random_seed: n.into(),
    }
}

/// Members with a common clock whose datagrams are delivered immediately; `None` for a member that is not running.
struct Fleet {
    now: i64,
    members: Vec<Option<Members>>,
}

impl Fleet {
    fn new(count: u16) -> Fleet {
        let member = |n| Some(Members::new(config(n, 1), 0));
        Fleet {
            now: 0,
            members: (0..count).map(member).collect(),
        }
    }

    /// Reports whether each running member knows exactly `others` other members within `seconds`.
    fn all_know_within(&mut self, others: usize, seconds: i64) -> bool {
        let end = self.now + seconds * 10_000;
        while self.now < end && !self.all_know(others) {
            self.step();
        }
        self.all_know(others)
    }

    fn all_know(&self, others: usize) -> bool {
        let mut members = self.members.iter().flatten();
        members.all(|member| member.alive_members().count() == others)
    }

    fn step(&mut self) {
        self.now += 500;
        let mut pending = VecDeque::new();
        for member in self.members.iter_mut().flatten() {
            let mut actions = Vec::new();
            member.wake(self.now, &mut actions);
            pending.extend(actions);
        }
        while let Some(action) = pending.pop_front() {
            if let MembersAction::Send { to, bytes } = action {
                pending.extend(self.deliver(to, &bytes));
            }
        }
    }

    /// Delivers a datagram, and then a modified copy, which must be rejected. Returns the actions for the original.
    fn deliver(&mut self, to: SocketAddr, datagram: &[u8]) -> Vec<MembersAction> {
        let mut actions = Vec::new();
        let index = usize::from(to.port() - FIRST_PORT);
        if let Some(Some(member)) = self.members.get_mut(index) {
            member
                .on_datagram(self.now, datagram, &mut actions)
                .unwrap();
            // A datagram that was modified in transit is not authenticated.
            let mut modified = datagram.to_vec();
            modified[9] ^= 1;
            let result = member.on_datagram(self.now, &modified, &mut actions);
            assert!(result.is_err());
        }
        actions
    }
}

/// Eight members discover each other. One that stops without notice is down for all others within 20 s, and so is one
/// that leaves. One that restarts with a later incarnation is known to all again.
#[test]
fn members_discover_each_other_and_detect_departures_and_returns() {
    let mut fleet = Fleet::new(8);
    assert!(fleet.all_know_within(7, 20), "all members know each other");
    fleet.members[3] = None;
    assert!(
        fleet.all_know_within(6, 20),
        "the stopped member is down for all"
    );
    let mut actions = Vec::new();
    let leaving = fleet.members[5].as_mut().unwrap();
    leaving.leave(1_000_000, &mut actions);
    let is_sent = |action: &MembersAction| matches!(action, MembersAction::Send { .. });
    assert!(actions.iter().any(is_sent));
    fleet.members[5] = None;
    assert!(
        fleet.all_know_within(5, 20),
        "the member that left is down for all"
    );
    // The stopped member restarts under its name, with a later incarnation.
    let restarted = MembersConfig {
        random_seed: 99,
        ..config(3, 2)
    };
    fleet.members[3] = Some(Members::new(restarted, 0));
    assert!(
        fleet.all_know_within(6, 30),
        "the restarted member is known to all"
    );
}
