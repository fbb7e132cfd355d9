//! Invalid configurations are rejected before anything starts.

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
        secrets: Secrets::new(vec![vec![7; 16]]).expect("the secret is long enough"),
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
fn a_fleet_config_needs_a_probe_interval_and_distinct_voters() {
    let valid = fleet_config(&["catania", "messina", "palermo"]);
    assert_eq!(valid.validate(), Ok(()));
    let without_interval = FleetConfig {
        probe_interval: 0,
        ..valid
    };
    assert_eq!(
        without_interval.validate(),
        Err(ConfigError::NoProbeInterval)
    );
    let duplicate = fleet_config(&["catania", "messina", "messina"]);
    let name = "messina".to_owned();
    assert_eq!(
        duplicate.validate(),
        Err(ConfigError::DuplicateVoter { name })
    );
    let started = Fleet::<Disk>::new(duplicate, None, 0, &mut Vec::new());
    assert!(matches!(started, Err(OpenError::InvalidConfig { .. })));
}

#[test]
fn a_voter_must_be_among_the_voters() {
    let valid = voter_config(&["catania", "messina", "palermo"]);
    assert_eq!(valid.validate(), Ok(()));
    let without_itself = voter_config(&["messina", "palermo"]);
    let name = "catania".to_owned();
    assert_eq!(
        without_itself.validate(),
        Err(ConfigError::NotAmongVoters { name })
    );
    let opened = Voter::new(without_itself, Disk::default(), 0, &mut Vec::new());
    assert!(matches!(opened, Err(OpenError::InvalidConfig { .. })));
}
