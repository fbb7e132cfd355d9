//! Membership by gossip: members find each other, and notice who is down, who has left and who is back.

use std::collections::VecDeque;
use std::net::SocketAddr;

use linenthread_fleet::{
    Members, MembersAction, MembersConfig, NodeIdentity, PeerAddress, ProcessIncarnation,
};
use linenthread_frames::Secrets;

const FIRST_PORT: u16 = 4_000;

fn config(n: u16, incarnation: u64) -> MembersConfig {
    let at = |n: u16| ([127, 0, 0, 1], FIRST_PORT + n).into();
    MembersConfig {
        local: NodeIdentity {
            incarnation: ProcessIncarnation(incarnation),
            zone: "z".into(),
            ..NodeIdentity::unknown(&format!("m{n}"), at(n))
        },
        seeds: vec![PeerAddress {
            name: "m0".into(),
            address: at(0),
        }],
        expected_members: 8,
        probe_interval: 5_000,
        secrets: Secrets::new(vec![vec![7; 16]]).unwrap(),
        random_seed: n.into(),
    }
}

/// Members on one clock whose datagrams arrive at once; `None` stands for one that is not there.
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

    /// Whether each member knows so many others within so many seconds.
    fn all_know(&mut self, others: usize, seconds: i64) -> bool {
        let end = self.now + seconds * 10_000;
        while self.now < end && !self.know(others) {
            self.step();
        }
        self.know(others)
    }

    fn know(&self, others: usize) -> bool {
        let mut members = self.members.iter().flatten();
        members.all(|member| member.alive().count() == others)
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

    /// Delivers a datagram, and once more with a change: what a member does for the first alone.
    fn deliver(&mut self, to: SocketAddr, datagram: &[u8]) -> Vec<MembersAction> {
        let mut answers = Vec::new();
        let index = usize::from(to.port() - FIRST_PORT);
        if let Some(Some(member)) = self.members.get_mut(index) {
            member
                .on_datagram(self.now, datagram, &mut answers)
                .unwrap();
            // A datagram that was changed on its way proves nothing.
            let mut changed = datagram.to_vec();
            changed[9] ^= 1;
            let refused = member.on_datagram(self.now, &changed, &mut answers);
            assert!(refused.is_err());
        }
        answers
    }
}

/// Eight members: all learn of all, one that falls silent is down for all within seconds, one that leaves at once.
#[test]
fn members_find_each_other_and_notice_who_is_down() {
    let mut fleet = Fleet::new(8);
    assert!(fleet.all_know(7, 20), "all know all");
    fleet.members[3] = None;
    assert!(
        fleet.all_know(6, 20),
        "one that fell silent is down for all"
    );
    let mut actions = Vec::new();
    let leaving = fleet.members[5].as_mut().unwrap();
    leaving.leave(1_000_000, &mut actions);
    let is_sent = |action: &MembersAction| matches!(action, MembersAction::Send { .. });
    assert!(actions.iter().any(is_sent));
    fleet.members[5] = None;
    assert!(fleet.all_know(5, 20), "one that left is down for all");
    // Back under its name, in a later incarnation.
    let later_start = MembersConfig {
        random_seed: 99,
        ..config(3, 2)
    };
    fleet.members[3] = Some(Members::new(later_start, 0));
    assert!(fleet.all_know(6, 30), "one that is back is known to all");
}
