//! `<gateway>` and `<peers>`: links between sites.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;

use crate::Fault;
use crate::tree::Node;

/// This program as a gateway. Times are milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Gateway {
    pub listen: SocketAddr,
    /// The secret that is used, then the one before, which is still taken.
    pub secrets: Vec<PathBuf>,
    pub window: u64,
    pub window_bytes: u64,
    pub keep: u64,
    pub sessions: usize,
    /// What each session may use of a cold replica's budget, in thousandths.
    pub cold_share: u16,
}

/// A gateway that replicas are reached through. Times are milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    pub name: String,
    pub address: SocketAddr,
    pub secrets: Vec<PathBuf>,
    pub most_out: usize,
    pub keep: u64,
    pub beat: u64,
    pub hold: u64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct GatewaySection {
    #[serde(rename = "@listen")]
    listen: String,
    #[serde(rename = "@secret")]
    secret: PathBuf,
    #[serde(rename = "@secret-before")]
    before: Option<PathBuf>,
    #[serde(rename = "@window", default = "window")]
    window: u64,
    #[serde(rename = "@window-bytes", default = "window_bytes")]
    window_bytes: u64,
    #[serde(rename = "@keep", default = "far_keep")]
    keep: u64,
    #[serde(rename = "@sessions", default = "sessions")]
    sessions: usize,
    #[serde(rename = "@cold-share", default = "cold_share")]
    cold_share: u16,
}

fn window() -> u64 {
    512
}

fn window_bytes() -> u64 {
    4_194_304
}

fn far_keep() -> u64 {
    5_000
}

fn sessions() -> usize {
    16
}

fn cold_share() -> u16 {
    250
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct PeersSection {
    peer: Vec<PeerSection>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PeerSection {
    #[serde(rename = "@name")]
    name: String,
    #[serde(rename = "@address")]
    address: String,
    #[serde(rename = "@secret")]
    secret: PathBuf,
    #[serde(rename = "@secret-before")]
    before: Option<PathBuf>,
    #[serde(rename = "@most-out", default = "most_out")]
    most_out: usize,
    #[serde(rename = "@keep", default = "near_keep")]
    keep: u64,
    #[serde(rename = "@beat", default = "beat")]
    beat: u64,
    #[serde(rename = "@hold", default = "beat")]
    hold: u64,
}

fn most_out() -> usize {
    2_048
}

fn near_keep() -> u64 {
    3_000
}

fn beat() -> u64 {
    250
}

pub(crate) fn address(text: &str, node: &Node) -> Result<SocketAddr, Fault> {
    text.parse()
        .map_err(|_| Fault::new(node.line, format!("{text} is not an address with its port")))
}

/// Checks what the schema can't say.
pub(crate) fn gateway(said: GatewaySection, node: &Node) -> Result<Gateway, Fault> {
    Ok(Gateway {
        listen: address(&said.listen, node)?,
        secrets: std::iter::once(said.secret).chain(said.before).collect(),
        window: said.window,
        window_bytes: said.window_bytes,
        keep: said.keep,
        sessions: said.sessions,
        cold_share: said.cold_share,
    })
}

/// Checks what the schema can't say.
pub(crate) fn peers(said: PeersSection, node: &Node) -> Result<Vec<Peer>, Fault> {
    let mut peers: Vec<Peer> = Vec::new();
    for (said, node) in said.peer.into_iter().zip(node.all("peer")) {
        let address = address(&said.address, node)?;
        if peers
            .iter()
            .any(|p| p.name == said.name || p.address == address)
        {
            return Err(Fault::new(
                node.line,
                format!("the peer {} or its address stands twice", said.name),
            ));
        }
        peers.push(Peer {
            name: said.name,
            address,
            secrets: std::iter::once(said.secret).chain(said.before).collect(),
            most_out: said.most_out,
            keep: said.keep,
            beat: said.beat,
            hold: said.hold,
        });
    }
    Ok(peers)
}
