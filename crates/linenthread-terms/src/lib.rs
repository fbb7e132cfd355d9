//! Decodes the settings a co-ordinator is handed at its start: what the decisions need into a [`Deployment`],
//! what only its connections need into [`Surroundings`].
#![expect(
    missing_docs,
    reason = "public items of this package are not all documented yet"
)]

use linenthread_core::interface::{
    CoordinatorConfig, Idempotency, IndexConfig, Permissions, RetryBudget, ShardLayout, SlowStart,
    TenthMillis,
};
use serde_json::Value;

pub fn tenth_millis(ms: f64) -> TenthMillis {
    (ms * 10.0).round() as TenthMillis
}

/// The value at a dotted path, where there is one.
fn find<'a>(root: &'a Value, path: &str) -> Option<&'a Value> {
    path.split('.')
        .try_fold(root, |v, key| v.get(key))
        .filter(|v| !v.is_null())
}

fn need<'a, T>(
    root: &'a Value,
    path: &str,
    read: impl Fn(&'a Value) -> Option<T>,
) -> Result<T, String> {
    let value = find(root, path).ok_or_else(|| format!("settings lack {path}"))?;
    read(value).ok_or_else(|| format!("settings: {path} cannot be {value}"))
}

fn number(root: &Value, path: &str) -> Result<f64, String> {
    need(root, path, Value::as_f64)
}

fn time(root: &Value, path: &str) -> Result<TenthMillis, String> {
    number(root, path).map(tenth_millis)
}

fn count(root: &Value, path: &str) -> Result<usize, String> {
    need(root, path, Value::as_u64).map(|n| n as usize)
}

fn flag(root: &Value, path: &str) -> Result<bool, String> {
    need(root, path, Value::as_bool)
}

fn numbers(root: &Value, path: &str) -> Result<Vec<f64>, String> {
    need(root, path, |v| {
        v.as_array()?.iter().map(Value::as_f64).collect()
    })
}

fn index(root: &Value, i: usize, class: &Value) -> Result<IndexConfig, String> {
    let of = |path: &str| {
        numbers(root, path)?
            .get(i)
            .copied()
            .ok_or_else(|| format!("settings: {path} is too short"))
    };
    let effect = match need(class, "idempotency", Value::as_str)? {
        "safe" => Idempotency::Idempotent,
        "keyed" => Idempotency::Deduplicated(time(class, "window-ms")?),
        "unsafe" => Idempotency::AtMostOnce,
        other => return Err(format!("settings: idempotency cannot be {other}")),
    };
    Ok(IndexConfig {
        idempotency: effect,
        soft_deadline: time(class, "promise-ms")?,
        value: number(class, "worth")?,
        late_value_share: number(class, "late-share")?,
        complete_share: of("family-info.need-by-class")?,
        min_share: of("family-info.floor-by-class")?,
        partial_value: of("family-info.incomplete-worth")?,
        fetch_sub_requests: of("family-info.fetch-parts")? as usize,
    })
}

/// What a deployment calls its own, and what connections to its replicas may do.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterConfig {
    pub index_names: Vec<String>,
    pub customer_names: Vec<String>,
    pub zone_names: Vec<String>,
    pub shard_count: usize,
    /// Parts that one call to a replica carries at most.
    pub max_sub_requests_per_call: usize,
    /// Calls that one connection carries at once.
    pub max_streams: usize,
    pub connect_timeout: TenthMillis,
    /// A connection idle for so long is closed by the replica.
    pub idle_timeout: TenthMillis,
}

pub fn parse_settings(text: &[u8]) -> Result<Value, String> {
    serde_json::from_slice(text).map_err(|e| format!("settings do not parse: {e}"))
}

/// Where among the values of a load report the waiting parts stand, if they are told.
pub fn queue_position(root: &Value) -> Option<usize> {
    find(root, "telemetry.names")?
        .as_array()?
        .iter()
        .position(|name| name == "queue")
}

/// Whether replicas tell how many parts wait at them. Settings that say nothing of load reports are taken as
/// those of before this was asked, where they always did.
fn queue_told(root: &Value) -> Result<bool, String> {
    if find(root, "telemetry").is_none() {
        return Ok(true);
    }
    let names = need(root, "telemetry.names", |v| {
        v.as_array()?
            .iter()
            .map(Value::as_str)
            .collect::<Option<Vec<_>>>()
    })?;
    match need(root, "telemetry.source", Value::as_str)? {
        "none" => Ok(false),
        "answers" | "probe" => Ok(names.contains(&"queue")),
        other => Err(format!("settings: telemetry.source cannot be {other}")),
    }
}

/// The things listed at a path; there may be no such list.
fn listed<'a>(root: &'a Value, path: &str) -> &'a [Value] {
    find(root, path)
        .and_then(Value::as_array)
        .map_or(&[], Vec::as_slice)
}

/// The names of the things listed at a path.
fn names(
    root: &Value,
    path: &str,
    of: impl Fn(&Value) -> Option<&str>,
) -> Result<Vec<String>, String> {
    let name = |v| {
        of(v)
            .map(str::to_owned)
            .ok_or_else(|| format!("settings: {path} has an entry with no name"))
    };
    listed(root, path).iter().map(name).collect()
}

pub fn cluster_config(root: &Value) -> Result<ClusterConfig, String> {
    Ok(ClusterConfig {
        index_names: names(root, "classes", |v| v.get("name")?.as_str())?,
        customer_names: names(root, "accounts", |v| v.get("name")?.as_str())?,
        zone_names: names(root, "dcs", Value::as_str)?,
        shard_count: count(root, "family-info.ranges")?,
        max_sub_requests_per_call: count(root, "family-info.parts-a-call")?.max(1),
        max_streams: count(root, "allowed.streams-per-conn")?.max(1),
        connect_timeout: time(root, "allowed.connect-timeout-ms")?,
        idle_timeout: time(root, "allowed.conn-idle-ms")?,
    })
}

pub fn coordinator_config(root: &Value) -> Result<CoordinatorConfig, String> {
    let classes = need(root, "classes", Value::as_array)?;
    let further_calls = match find(root, "safety.repeat-ratio") {
        None => None,
        Some(_) => Some(RetryBudget {
            reserve: find(root, "safety.free-resends")
                .and_then(Value::as_f64)
                .unwrap_or(0.0),
            ratio: number(root, "safety.repeat-ratio")?,
            window: time(root, "safety.budget-span-ms")?,
        }),
    };
    Ok(CoordinatorConfig {
        coordinator_number: count(root, "me")?,
        coordinator_count: count(root, "balancers")?.max(1),
        indexes: classes
            .iter()
            .enumerate()
            .map(|(i, c)| index(root, i, c))
            .collect::<Result<_, _>>()?,
        customer_quotas: listed(root, "accounts")
            .iter()
            .map(|account| number(account, "quota-rps"))
            .collect::<Result<_, _>>()?,
        over_quota_value: find(root, "over-share-worth")
            .and_then(Value::as_f64)
            .unwrap_or(1.0),
        value_by_work: find(root, "counted-by").and_then(Value::as_str) == Some("work"),
        layout: ShardLayout {
            replica_groups: count(root, "family-info.cells")?.max(1),
            replication_factor: count(root, "family-info.in-a-row")?,
        },
        permissions: Permissions {
            max_attempts: count(root, "allowed.max-attempts")?,
            hedging: flag(root, "allowed.second-copies")?,
            cancellation: flag(root, "allowed.cancel")?,
            health_probes: flag(root, "allowed.probes")?,
            max_retry_after: match flag(root, "allowed.retry-after")? {
                true => Some(time(root, "allowed.max-retry-after-ms")?),
                false => None,
            },
        },
        slow_start: SlowStart {
            initial_share: number(root, "safety.cold-share")?,
            duration: time(root, "safety.warm-up-ms")?,
            budget_multiple: number(root, "safety.fall-multiple")?,
            window: time(root, "safety.tip-after-ms")?,
        },
        reports_queue: queue_told(root)?,
        short_queues: false,
        drain_grace: find(root, "safety.drain-grace-ms")
            .and_then(Value::as_f64)
            .map_or(0, tenth_millis),
        retry_budget: further_calls,
        watch_membership: need(root, "membership-mode", Value::as_str)? == "on_request",
    })
}
