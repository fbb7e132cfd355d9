//! `<fleet>`: this program's membership in the fleet, and the members that vote on its decisions.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crate::InstallationError;
use crate::attributes::{parse_address, secret_files};
use crate::document::{FleetSection, VoterSection};
use crate::xml::Element;

/// The allowed numbers of voters. They are odd, because one more voter would raise the majority without tolerating
/// another failure.
const VOTER_COUNTS: [usize; 3] = [3, 5, 7];

/// This program's membership in the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// The address at which other members reach this program, by TCP and by UDP.
    pub address: SocketAddr,
    /// The address on which this program listens.
    pub listen: SocketAddr,
    /// The file of the secret in use, then that of the previous one, which is still accepted.
    pub secret_files: Vec<PathBuf>,
    /// The machine that this program runs on.
    pub machine: String,
    /// This program's zone.
    pub zone: String,
    /// This program's region.
    pub region: String,
    /// The directory of the durable state, if this program is a voter.
    pub folder: Option<PathBuf>,
    /// The approximate number of members.
    pub expected_members: u32,
    /// The time between two health checks of other members.
    pub probe_interval: Duration,
    /// The members that vote.
    pub voters: Vec<Voter>,
}

/// A member that votes.
#[derive(Clone, Debug, PartialEq)]
pub struct Voter {
    /// The voter's name.
    pub name: String,
    /// The address at which other members reach the voter.
    pub address: SocketAddr,
    /// The voter's zone.
    pub zone: String,
    /// The voter's region.
    pub region: String,
}

impl Fleet {
    pub(crate) fn check(
        section: FleetSection,
        element: &Element,
    ) -> Result<Fleet, InstallationError> {
        let voters = check_voters(section.voters, element)?;
        check_zone_loss(&voters, element)?;
        check_region_partition(&voters, section.winning_region.as_deref(), element)?;
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
        let cause = format!(
            "there are {} voters, but there must be 3, 5 or 7",
            voters.len()
        );
        return Err(element.error(cause));
    }
    Ok(voters)
}

/// Checks that the other voters have a majority if a zone is lost.
fn check_zone_loss(voters: &[Voter], element: &Element) -> Result<(), InstallationError> {
    let zones = count_voters(voters, |voter| &voter.zone);
    match zones.first() {
        Some(largest) if 2 * largest.voters > voters.len() => Err(element.error(format!(
            "most voters are in zone {}: without it there is no majority",
            largest.name
        ))),
        _ => Ok(()),
    }
}

/// Checks that `wins` names the region with the majority if there are exactly two regions, and is absent otherwise.
///
/// Two regions can't distinguish a partition between them from the loss of one of them. The region with the majority
/// continues, and the operator must confirm it in the file.
fn check_region_partition(
    voters: &[Voter],
    winning: Option<&str>,
    element: &Element,
) -> Result<(), InstallationError> {
    let regions = count_voters(voters, |voter| &voter.region);
    let largest = regions.first().map_or("", |region| region.name);
    match (regions.len(), winning) {
        (2, None) => Err(element.error(format!(
            "all voters are in two regions: set wins=\"{largest}\", the region that continues if the two are \
             partitioned from each other, or add a voter in a third region"
        ))),
        (2, Some(winning)) if winning != largest => Err(element.error(format!(
            "wins=\"{winning}\" is not possible: most voters are in region {largest}"
        ))),
        (2, Some(_)) | (_, None) => Ok(()),
        (_, Some(_)) => Err(element.error("wins is allowed only if the voters are in two regions")),
    }
}

/// The number of voters in a zone or region.
struct VoterCount<'v> {
    name: &'v str,
    voters: usize,
}

/// Counts the voters in each zone or region, and returns the one with the most voters first.
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
