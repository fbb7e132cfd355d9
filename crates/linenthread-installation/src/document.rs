//! The file's sections as decoded from the XML, before the checks. Names in the XML are mapped to field names here.
//!
//! The decoder accepts exactly what `schema/installation.xsd` allows, with the same defaults; `tests/schema.rs` checks
//! that they agree.

use std::path::PathBuf;

use serde::Deserialize;

/// The root element, `<installation>`.
#[derive(Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Document {
    /// Always 1; the schema checks it.
    #[serde(rename = "@version")]
    pub(crate) _version: String,
    pub(crate) merging: Option<MergingSection>,
    pub(crate) gateway: Option<GatewaySection>,
    pub(crate) peers: Option<PeersSection>,
    pub(crate) fleet: Option<FleetSection>,
    pub(crate) zones: Option<ZonesSection>,
}

/// `<merging>`.
#[derive(Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct MergingSection {
    #[serde(rename = "marks")]
    pub(crate) cursors: Option<CursorsSection>,
    #[serde(rename = "$value", default)]
    pub(crate) indexes: Vec<IndexSection>,
}

/// `<marks>`.
#[derive(Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct CursorsSection {
    #[serde(rename = "@life")]
    pub(crate) lifetime_seconds: u64,
    #[serde(rename = "@secret")]
    pub(crate) secret: PathBuf,
    #[serde(rename = "@secret-before")]
    pub(crate) previous_secret: Option<PathBuf>,
}

/// An index whose responses are merged.
#[derive(Debug, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum IndexSection {
    Totals(TotalsSection),
    Groups(GroupsSection),
    Rows(RowsSection),
}

/// `<totals>`.
#[derive(Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct TotalsSection {
    #[serde(rename = "@index")]
    pub(crate) index: String,
    #[serde(rename = "measure")]
    pub(crate) measures: Vec<MeasureSection>,
}

/// `<groups>`.
#[derive(Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct GroupsSection {
    #[serde(rename = "@index")]
    pub(crate) index: String,
    #[serde(rename = "@most")]
    pub(crate) max_groups: usize,
    #[serde(rename = "@first", default)]
    pub(crate) order: GroupOrderValue,
    #[serde(rename = "@held", default = "default_max_retained_groups")]
    pub(crate) max_retained: usize,
    #[serde(rename = "measure")]
    pub(crate) measures: Vec<MeasureSection>,
}

fn default_max_retained_groups() -> usize {
    10_000
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum GroupOrderValue {
    #[default]
    Name,
    Largest,
}

/// `<measure>`.
#[derive(Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct MeasureSection {
    #[serde(rename = "@field")]
    pub(crate) field: String,
    #[serde(rename = "@scale", default)]
    pub(crate) scale: u32,
    #[serde(rename = "@negative", default)]
    pub(crate) may_be_negative: YesNo,
    #[serde(rename = "@figures")]
    pub(crate) statistics: Vec<StatisticValue>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum YesNo {
    #[default]
    Yes,
    No,
}

#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum StatisticValue {
    Sum,
    Count,
    #[serde(rename = "least")]
    Min,
    #[serde(rename = "most")]
    Max,
    Mean,
}

/// `<rows>`.
#[derive(Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RowsSection {
    #[serde(rename = "@index")]
    pub(crate) index: String,
    #[serde(rename = "@page")]
    pub(crate) page_size: usize,
    #[serde(rename = "@most")]
    pub(crate) max_page_size: Option<usize>,
    #[serde(rename = "@pages", default)]
    pub(crate) paginated: YesNo,
    pub(crate) order: Vec<SortFieldSection>,
    pub(crate) identity: FieldSection,
    pub(crate) distinct: Option<FieldSection>,
}

/// `<identity>` and `<distinct>`.
#[derive(Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct FieldSection {
    #[serde(rename = "@field")]
    pub(crate) field: String,
}

/// `<order>`.
#[derive(Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct SortFieldSection {
    #[serde(rename = "@field")]
    pub(crate) field: String,
    #[serde(rename = "@kind", default)]
    pub(crate) field_type: FieldTypeValue,
    #[serde(rename = "@scale", default)]
    pub(crate) scale: u32,
    #[serde(rename = "@direction", default)]
    pub(crate) direction: Direction,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum FieldTypeValue {
    #[default]
    Text,
    Decimal,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Direction {
    #[default]
    Ascending,
    Descending,
}

/// `<gateway>`.
#[derive(Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct GatewaySection {
    #[serde(rename = "@listen")]
    pub(crate) listen: String,
    #[serde(rename = "@secret")]
    pub(crate) secret: PathBuf,
    #[serde(rename = "@secret-before")]
    pub(crate) previous_secret: Option<PathBuf>,
    #[serde(rename = "@window", default = "default_window_calls")]
    pub(crate) window_calls: u64,
    #[serde(rename = "@window-bytes", default = "default_window_bytes")]
    pub(crate) window_bytes: u64,
    #[serde(rename = "@keep", default = "default_gateway_session_timeout_ms")]
    pub(crate) session_timeout_ms: u64,
    #[serde(rename = "@sessions", default = "default_max_sessions")]
    pub(crate) max_sessions: usize,
    #[serde(rename = "@cold-share", default = "default_slow_start_share")]
    pub(crate) slow_start_share: u16,
}

fn default_window_calls() -> u64 {
    512
}

fn default_window_bytes() -> u64 {
    4_194_304
}

fn default_gateway_session_timeout_ms() -> u64 {
    5_000
}

fn default_max_sessions() -> usize {
    16
}

fn default_slow_start_share() -> u16 {
    250
}

/// `<peers>`.
#[derive(Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct PeersSection {
    #[serde(rename = "peer")]
    pub(crate) peers: Vec<PeerSection>,
}

/// `<peer>`.
#[derive(Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct PeerSection {
    #[serde(rename = "@name")]
    pub(crate) name: String,
    #[serde(rename = "@address")]
    pub(crate) address: String,
    #[serde(rename = "@secret")]
    pub(crate) secret: PathBuf,
    #[serde(rename = "@secret-before")]
    pub(crate) previous_secret: Option<PathBuf>,
    #[serde(rename = "@most-out", default = "default_max_in_flight")]
    pub(crate) max_in_flight: usize,
    #[serde(rename = "@keep", default = "default_peer_session_timeout_ms")]
    pub(crate) session_timeout_ms: u64,
    #[serde(rename = "@beat", default = "default_ping_interval_ms")]
    pub(crate) ping_interval_ms: u64,
    #[serde(rename = "@hold", default = "default_grace_period_ms")]
    pub(crate) grace_period_ms: u64,
}

fn default_max_in_flight() -> usize {
    2_048
}

fn default_peer_session_timeout_ms() -> u64 {
    3_000
}

fn default_ping_interval_ms() -> u64 {
    250
}

fn default_grace_period_ms() -> u64 {
    250
}

/// `<fleet>`.
#[derive(Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct FleetSection {
    #[serde(rename = "@address")]
    pub(crate) address: String,
    #[serde(rename = "@listen")]
    pub(crate) listen: Option<String>,
    #[serde(rename = "@secret")]
    pub(crate) secret: PathBuf,
    #[serde(rename = "@secret-before")]
    pub(crate) previous_secret: Option<PathBuf>,
    #[serde(rename = "@machine")]
    pub(crate) machine: String,
    #[serde(rename = "@zone")]
    pub(crate) zone: String,
    #[serde(rename = "@region")]
    pub(crate) region: String,
    #[serde(rename = "@folder")]
    pub(crate) folder: Option<PathBuf>,
    #[serde(rename = "@members", default = "default_expected_members")]
    pub(crate) expected_members: u32,
    #[serde(rename = "@probe", default = "default_probe_interval_ms")]
    pub(crate) probe_interval_ms: u64,
    #[serde(rename = "@wins")]
    pub(crate) winning_region: Option<String>,
    #[serde(rename = "voter")]
    pub(crate) voters: Vec<VoterSection>,
}

fn default_expected_members() -> u32 {
    16
}

fn default_probe_interval_ms() -> u64 {
    500
}

/// `<voter>`.
#[derive(Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct VoterSection {
    #[serde(rename = "@name")]
    pub(crate) name: String,
    #[serde(rename = "@address")]
    pub(crate) address: String,
    #[serde(rename = "@zone")]
    pub(crate) zone: String,
    #[serde(rename = "@region")]
    pub(crate) region: String,
}

/// `<zones>`.
#[derive(Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ZonesSection {
    #[serde(rename = "@life", default = "default_table_lifetime_ms")]
    pub(crate) table_lifetime_ms: u64,
    #[serde(rename = "@margin", default = "default_max_utilization")]
    pub(crate) max_utilization: u16,
    #[serde(rename = "@hold", default = "default_min_evacuation_ms")]
    pub(crate) min_evacuation_ms: u64,
    #[serde(rename = "@longest-hold", default = "default_max_evacuation_ms")]
    pub(crate) max_evacuation_ms: u64,
    #[serde(rename = "@step", default = "default_return_step_ms")]
    pub(crate) return_step_ms: u64,
    #[serde(rename = "zone")]
    pub(crate) zones: Vec<ZoneSection>,
}

fn default_table_lifetime_ms() -> u64 {
    60_000
}

fn default_max_utilization() -> u16 {
    800
}

fn default_min_evacuation_ms() -> u64 {
    5_000
}

fn default_max_evacuation_ms() -> u64 {
    300_000
}

fn default_return_step_ms() -> u64 {
    5_000
}

/// `<zone>`.
#[derive(Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ZoneSection {
    #[serde(rename = "@name")]
    pub(crate) name: String,
    #[serde(rename = "@region")]
    pub(crate) region: String,
    #[serde(rename = "@room")]
    pub(crate) replica_capacity: Option<u32>,
}
