//! Membership by gossip: members find each other, and notice who is down, who has left and who is back.

use std::collections::VecDeque;

use linenthread_fleet::{
    Members, MembersAction, MembersConfig, NodeIdentity, PeerAddress, ProcessIncarnation,
};
use linenthread_frames::Secrets;

fn config(n: u16, incarnation: u64) -> MembersConfig {
    let at = |n: u16| ([127, 0, 0, 1], 4_000 + n).into();
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

fn member(n: u16, now: i64) -> Members {
    Members::new(config(n, 1), now)
}

/// Eight members: all learn of all, one that falls silent is down for all within seconds, one that leaves at once.
#[test]
fn members_find_each_other_and_notice_who_is_down() {
    let mut now = 0;
    let mut all: Vec<Option<Members>> = (0..8).map(|n| Some(member(n, now))).collect();
    let mut datagrams = VecDeque::new();
    let mut run = |all: &mut Vec<Option<Members>>,
                   seconds: i64,
                   until: &dyn Fn(&[Option<Members>]) -> bool| {
        let end = now + seconds * 10_000;
        while now < end && !until(all) {
            now += 500;
            for one in all.iter_mut().flatten() {
                let mut to = Vec::new();
                one.wake(now, &mut to);
                datagrams.extend(to);
            }
            while let Some(one) = datagrams.pop_front() {
                let MembersAction::Send { to, bytes } = one else {
                    continue;
                };
                if let Some(Some(member)) = all.get_mut(usize::from(to.port()) - 4_000) {
                    let mut answers = Vec::new();
                    member.on_datagram(now, &bytes, &mut answers).unwrap();
                    // A datagram that was changed on its way proves nothing.
                    let mut spoilt = bytes.clone();
                    spoilt[9] ^= 1;
                    assert!(member.on_datagram(now, &spoilt, &mut answers).is_err());
                    datagrams.extend(answers);
                }
            }
        }
        until(all)
    };
    let known = |n: usize| {
        move |all: &[Option<Members>]| all.iter().flatten().all(|m| m.alive().count() == n)
    };
    assert!(run(&mut all, 20, &known(7)), "all know all");
    all[3] = None;
    assert!(
        run(&mut all, 20, &known(6)),
        "one that fell silent is down for all"
    );
    let mut to = Vec::new();
    all[5].as_mut().unwrap().leave(1_000_000, &mut to);
    assert!(
        to.iter()
            .any(|one| matches!(one, MembersAction::Send { .. }))
    );
    all[5] = None;
    assert!(
        run(&mut all, 20, &known(5)),
        "one that left is down for all"
    );
    // Back under its name, in a later incarnation.
    let later_start = MembersConfig {
        random_seed: 99,
        ..config(3, 2)
    };
    all[3] = Some(Members::new(later_start, 0));
    assert!(
        run(&mut all, 30, &known(6)),
        "one that is back is known to all"
    );
}
