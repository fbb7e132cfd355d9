//! `<fleet>` and `<zones>`: the processes that decide in common, and what is decided on.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;

use crate::Fault;
use crate::links::address;
use crate::tree::Node;

/// This program's place in the fleet. Times are milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// Where the others reach it, by TCP and by UDP, and where it listens.
    pub address: SocketAddr,
    pub listen: SocketAddr,
    /// The secret that is used, then the one before, which is still taken.
    pub secrets: Vec<PathBuf>,
    pub machine: String,
    pub zone: String,
    pub region: String,
    /// Where a voter keeps what it must not lose.
    pub folder: Option<PathBuf>,
    /// About how many members there are.
    pub members: u32,
    pub probe: u64,
    pub voters: Vec<Voter>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Voter {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub region: String,
}

/// How it is decided which zone serves whose keys. Times are milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Zones {
    /// For how long the last table is acted on without word of the record.
    pub life: u64,
    /// What share of its room a zone may be filled to by what is moved there, in thousandths.
    pub margin: u16,
    pub hold: u64,
    pub longest_hold: u64,
    pub step: u64,
    pub zones: Vec<Zone>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    pub name: String,
    pub region: String,
    /// Parts a second that one replica there takes; no way is closed for room that is not told.
    pub room: Option<u32>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct FleetSection {
    #[serde(rename = "@address")]
    address: String,
    #[serde(rename = "@listen")]
    listen: Option<String>,
    #[serde(rename = "@secret")]
    secret: PathBuf,
    #[serde(rename = "@secret-before")]
    before: Option<PathBuf>,
    #[serde(rename = "@machine")]
    machine: String,
    #[serde(rename = "@zone")]
    zone: String,
    #[serde(rename = "@region")]
    region: String,
    #[serde(rename = "@folder")]
    folder: Option<PathBuf>,
    #[serde(rename = "@members", default = "members")]
    members: u32,
    #[serde(rename = "@probe", default = "probe")]
    probe: u64,
    #[serde(rename = "@wins")]
    wins: Option<String>,
    voter: Vec<VoterSection>,
}

fn members() -> u32 {
    16
}

fn probe() -> u64 {
    500
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct VoterSection {
    #[serde(rename = "@name")]
    name: String,
    #[serde(rename = "@address")]
    address: String,
    #[serde(rename = "@zone")]
    zone: String,
    #[serde(rename = "@region")]
    region: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ZonesSection {
    #[serde(rename = "@life", default = "life")]
    life: u64,
    #[serde(rename = "@margin", default = "margin")]
    margin: u16,
    #[serde(rename = "@hold", default = "hold")]
    hold: u64,
    #[serde(rename = "@longest-hold", default = "longest_hold")]
    longest_hold: u64,
    #[serde(rename = "@step", default = "hold")]
    step: u64,
    zone: Vec<ZoneSection>,
}

fn life() -> u64 {
    60_000
}

fn margin() -> u16 {
    800
}

fn hold() -> u64 {
    5_000
}

fn longest_hold() -> u64 {
    300_000
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ZoneSection {
    #[serde(rename = "@name")]
    name: String,
    #[serde(rename = "@region")]
    region: String,
    #[serde(rename = "@room")]
    room: Option<u32>,
}

/// How many voters each name has, the largest first.
fn counts<'a>(names: impl Iterator<Item = &'a String>) -> Vec<(String, usize)> {
    let mut counts: Vec<(String, usize)> = Vec::new();
    for name in names {
        match counts.iter_mut().find(|(known, _)| known == name) {
            Some((_, count)) => *count += 1,
            None => counts.push((name.clone(), 1)),
        }
    }
    counts.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    counts
}

/// Checks what the schema can't say.
pub(crate) fn fleet(said: FleetSection, node: &Node) -> Result<Fleet, Fault> {
    let fault = |why: String| Err(Fault::new(node.line, why));
    let mut voters: Vec<Voter> = Vec::new();
    for (said, node) in said.voter.into_iter().zip(node.all("voter")) {
        let address = address(&said.address, node)?;
        if voters
            .iter()
            .any(|v| v.name == said.name || v.address == address)
        {
            return Err(Fault::new(
                node.line,
                format!("the voter {} or its address stands twice", said.name),
            ));
        }
        let VoterSection {
            name, zone, region, ..
        } = said;
        voters.push(Voter {
            name,
            address,
            zone,
            region,
        });
    }
    if ![3, 5, 7].contains(&voters.len()) {
        return fault(format!("{} voters: a record needs 3, 5 or 7", voters.len()));
    }
    let most = |counts: &[(String, usize)]| counts.first().cloned().unwrap_or_default();
    let (zone, count) = most(&counts(voters.iter().map(|v| &v.zone)));
    if 2 * count > voters.len() {
        return fault(format!(
            "most voters are in zone {zone}: with it nothing could be decided any more"
        ));
    }
    // Two regions can't tell a cut between them from the loss of one: who has most voters goes on, the other not.
    let regions = counts(voters.iter().map(|v| &v.region));
    let (region, _) = most(&regions);
    match (regions.len(), &said.wins) {
        (2, None) => {
            return fault(format!(
                "voters are in two regions only: say wins=\"{region}\", which goes on when they are cut from each \
                 other or {region} lives alone, or have a voter in a third"
            ));
        }
        (2, Some(wins)) if *wins != region => {
            return fault(format!("{wins} cannot win: most voters are in {region}"));
        }
        (2, Some(_)) | (_, None) => {}
        (_, Some(_)) => return fault("wins counts only where voters are in two regions".into()),
    }
    let reach = address(&said.address, node)?;
    Ok(Fleet {
        address: reach,
        listen: said
            .listen
            .map_or(Ok(reach), |listen| address(&listen, node))?,
        secrets: std::iter::once(said.secret).chain(said.before).collect(),
        machine: said.machine,
        zone: said.zone,
        region: said.region,
        folder: said.folder,
        members: said.members,
        probe: said.probe,
        voters,
    })
}

/// Checks what the schema can't say.
pub(crate) fn zones(
    said: ZonesSection,
    node: &Node,
    fleet: Option<&Fleet>,
) -> Result<Zones, Fault> {
    let Some(fleet) = fleet else {
        return Err(Fault::new(
            node.line,
            "zones are decided on by a <fleet>, and there is none",
        ));
    };
    let mut names = BTreeSet::new();
    for (zone, node) in said.zone.iter().zip(node.all("zone")) {
        if !names.insert(zone.name.clone()) {
            return Err(Fault::new(
                node.line,
                format!("the zone {} stands twice", zone.name),
            ));
        }
    }
    if !names.contains(&fleet.zone) {
        return Err(Fault::new(
            node.line,
            format!("the fleet's own zone {} is not among them", fleet.zone),
        ));
    }
    if said.longest_hold < said.hold {
        return Err(Fault::new(node.line, "longest-hold is shorter than hold"));
    }
    let zone = |ZoneSection { name, region, room }| Zone { name, region, room };
    Ok(Zones {
        life: said.life,
        margin: said.margin,
        hold: said.hold,
        longest_hold: said.longest_hold,
        step: said.step,
        zones: said.zone.into_iter().map(zone).collect(),
    })
}
