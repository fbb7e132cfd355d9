//! `<fleet>`: the processes that decide in common, and this program among them.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crate::InstallationError;
use crate::attributes::{parse_address, secret_files};
use crate::document::{FleetSection, VoterSection};
use crate::xml::Element;

/// How many voters there may be: odd numbers, so that a majority is as small as it can be.
const VOTER_COUNTS: [usize; 3] = [3, 5, 7];

/// This program's membership in the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// Where the others reach it, by TCP and by UDP.
    pub address: SocketAddr,
    /// Where it listens.
    pub listen: SocketAddr,
    /// The file of the secret that is used, then that of the previous one, which is still accepted.
    pub secret_files: Vec<PathBuf>,
    /// The machine that it runs on.
    pub machine: String,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// The directory of a voter's durable state.
    pub folder: Option<PathBuf>,
    /// About how many members there are.
    pub expected_members: u32,
    /// The time between two health checks of other members.
    pub probe_interval: Duration,
    /// The members that vote.
    pub voters: Vec<Voter>,
}

/// A member that votes.
#[derive(Clone, Debug, PartialEq)]
pub struct Voter {
    /// Its name.
    pub name: String,
    /// Where the others reach it.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
}

impl Fleet {
    pub(crate) fn check(
        section: FleetSection,
        element: &Element,
    ) -> Result<Fleet, InstallationError> {
        let voters = check_voters(section.voters, element)?;
        check_loss_of_a_zone(&voters, element)?;
        check_partition_of_regions(&voters, section.winning_region.as_deref(), element)?;
        let address = parse_address(&section.address, element)?;
        let listen = match &section.listen {
            Some(listen) => parse_address(listen, element)?,
            None => address,
        };
        Ok(Fleet {
            address,
            listen,
            secret_files: secret_files(section.secret, section.previous_secret),
            machine: section.machine,
            zone: section.zone,
            region: section.region,
            folder: section.folder,
            expected_members: section.expected_members,
            probe_interval: Duration::from_millis(section.probe_interval_ms),
            voters,
        })
    }
}

impl Voter {
    fn check(section: VoterSection, element: &Element) -> Result<Voter, InstallationError> {
        let address = parse_address(&section.address, element)?;
        Ok(Voter {
            name: section.name,
            address,
            zone: section.zone,
            region: section.region,
        })
    }
}

fn check_voters(
    sections: Vec<VoterSection>,
    element: &Element,
) -> Result<Vec<Voter>, InstallationError> {
    let mut voters: Vec<Voter> = Vec::new();
    for (section, element) in sections.into_iter().zip(element.children("voter")) {
        let voter = Voter::check(section, element)?;
        let is_same = |other: &Voter| other.name == voter.name || other.address == voter.address;
        if voters.iter().any(is_same) {
            let cause = format!("the voter {} or its address is listed twice", voter.name);
            return Err(element.error(cause));
        }
        voters.push(voter);
    }
    if !VOTER_COUNTS.contains(&voters.len()) {
        let cause = format!("{} voters, not 3, 5 or 7", voters.len());
        return Err(element.error(cause));
    }
    Ok(voters)
}

/// The loss of one zone must not cost the majority.
fn check_loss_of_a_zone(voters: &[Voter], element: &Element) -> Result<(), InstallationError> {
    let zones = count_voters(voters, |voter| &voter.zone);
    match zones.first() {
        Some(largest) if 2 * largest.voters > voters.len() => Err(element.error(format!(
            "most voters are in zone {}: without it there is no majority",
            largest.name
        ))),
        _ => Ok(()),
    }
}

/// Two regions can't distinguish a partition between them from the loss of one: the one with the majority goes
/// on, and the file must name it.
fn check_partition_of_regions(
    voters: &[Voter],
    winning: Option<&str>,
    element: &Element,
) -> Result<(), InstallationError> {
    let regions = count_voters(voters, |voter| &voter.region);
    let largest = regions.first().map_or("", |region| region.name);
    match (regions.len(), winning) {
        (2, None) => Err(element.error(format!(
            "voters are in two regions only: set wins=\"{largest}\", the region that goes on when they are \
             partitioned from each other, or have a voter in a third"
        ))),
        (2, Some(winning)) if winning != largest => Err(element.error(format!(
            "{winning} cannot win: most voters are in {largest}"
        ))),
        (2, Some(_)) | (_, None) => Ok(()),
        (_, Some(_)) => Err(element.error("wins is only for voters in two regions")),
    }
}

/// How many voters are in a zone or region.
struct VoterCount<'v> {
    name: &'v str,
    voters: usize,
}

/// The voters of each zone or region, the one with the most first.
fn count_voters(voters: &[Voter], name: impl Fn(&Voter) -> &String) -> Vec<VoterCount<'_>> {
    let mut counts: Vec<VoterCount> = Vec::new();
    for voter in voters {
        let name = name(voter);
        match counts.iter_mut().find(|count| count.name == name) {
            Some(count) => count.voters += 1,
            None => counts.push(VoterCount { name, voters: 1 }),
        }
    }
    counts.sort_by_key(|count| Reverse(count.voters));
    counts
}
