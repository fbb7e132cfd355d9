//! Configurations that cannot be right are rejected before anything starts.

use linenthread_fleet::{
    ConfigError, Fleet, FleetConfig, NodeIdentity, OpenError, PeerAddress, Voter, VoterConfig,
};
use linenthread_frames::Secrets;
use linenthread_store::SimulatedDisk;

type Disk = std::rc::Rc<std::cell::RefCell<SimulatedDisk>>;

fn fleet_config(voters: &[&str]) -> FleetConfig {
    let address = ([127, 0, 0, 1], 4_000).into();
    let voter = |name: &&str| PeerAddress {
        name: (*name).to_owned(),
        address,
    };
    FleetConfig {
        local: NodeIdentity::unknown("catania", address),
        voters: voters.iter().map(voter).collect(),
        expected_members: 3,
        probe_interval: 5_000,
        secrets: Secrets::new(vec![vec![7; 16]]).expect("it is long enough"),
        seed: 1,
    }
}

fn voter_config(voters: &[&str]) -> VoterConfig {
    VoterConfig {
        name: "catania".to_owned(),
        voters: voters.iter().map(|name| (*name).to_owned()).collect(),
        seed: 1,
    }
}

#[test]
fn a_fleet_needs_a_probe_interval_and_different_voters() {
    let good = fleet_config(&["catania", "messina", "palermo"]);
    assert_eq!(good.validate(), Ok(()));
    let idle = FleetConfig {
        probe_interval: 0,
        ..good
    };
    assert_eq!(idle.validate(), Err(ConfigError::NoProbeInterval));
    let twice = fleet_config(&["catania", "messina", "messina"]);
    let name = "messina".to_owned();
    assert_eq!(twice.validate(), Err(ConfigError::DuplicateVoter { name }));
    let started = Fleet::<Disk>::new(twice, None, 0, &mut Vec::new());
    assert!(matches!(started, Err(OpenError::InvalidConfig { .. })));
}

#[test]
fn a_voter_must_be_among_the_voters() {
    let good = voter_config(&["catania", "messina", "palermo"]);
    assert_eq!(good.validate(), Ok(()));
    let other = voter_config(&["messina", "palermo"]);
    let name = "catania".to_owned();
    assert_eq!(other.validate(), Err(ConfigError::NotAmongVoters { name }));
    let opened = Voter::new(other, Disk::default(), 0, &mut Vec::new());
    assert!(matches!(opened, Err(OpenError::InvalidConfig { .. })));
}
