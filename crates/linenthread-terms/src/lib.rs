//! Decodes the settings a co-ordinator is handed at its start: what the decisions need into a [`Deployment`],
//! what only its connections need into [`Surroundings`].
#![expect(
    missing_docs,
    reason = "public items of this package are not all documented yet"
)]

use linenthread_core::interface::{
    Allowance, ColdStart, Deployment, Effect, FurtherCalls, Index, Layout, Tenths,
};
use serde_json::Value;

pub fn tenths(ms: f64) -> Tenths {
    (ms * 10.0).round() as Tenths
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

fn time(root: &Value, path: &str) -> Result<Tenths, String> {
    number(root, path).map(tenths)
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

fn index(root: &Value, i: usize, class: &Value) -> Result<Index, String> {
    let of = |path: &str| {
        numbers(root, path)?
            .get(i)
            .copied()
            .ok_or_else(|| format!("settings: {path} is too short"))
    };
    let effect = match need(class, "idempotency", Value::as_str)? {
        "safe" => Effect::Idempotent,
        "keyed" => Effect::Fingerprinted(time(class, "window-ms")?),
        "unsafe" => Effect::OnceOnly,
        other => return Err(format!("settings: idempotency cannot be {other}")),
    };
    Ok(Index {
        effect,
        soft_deadline: time(class, "promise-ms")?,
        gain: number(class, "worth")?,
        late_share: number(class, "late-share")?,
        need: of("family-info.need-by-class")?,
        floor: of("family-info.floor-by-class")?,
        partial_gain: of("family-info.incomplete-worth")?,
        second_step: of("family-info.fetch-parts")? as usize,
    })
}

/// What a deployment calls its own, and what connections to its replicas may do.
#[derive(Clone, Debug, PartialEq)]
pub struct Surroundings {
    pub indexes: Vec<String>,
    pub customers: Vec<String>,
    pub sites: Vec<String>,
    pub shards: usize,
    /// Parts that one call to a replica carries at most.
    pub parts_a_call: usize,
    /// Calls that one connection carries at once.
    pub streams: usize,
    pub connect_time_out: Tenths,
    /// A connection idle for so long is closed by the replica.
    pub idle: Tenths,
}

pub fn parse(text: &[u8]) -> Result<Value, String> {
    serde_json::from_slice(text).map_err(|e| format!("settings do not parse: {e}"))
}

/// Where among the values of a load report the waiting parts stand, if they are told.
pub fn queue_at(root: &Value) -> Option<usize> {
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

pub fn surroundings(root: &Value) -> Result<Surroundings, String> {
    Ok(Surroundings {
        indexes: names(root, "classes", |v| v.get("name")?.as_str())?,
        customers: names(root, "accounts", |v| v.get("name")?.as_str())?,
        sites: names(root, "dcs", Value::as_str)?,
        shards: count(root, "family-info.ranges")?,
        parts_a_call: count(root, "family-info.parts-a-call")?.max(1),
        streams: count(root, "allowed.streams-per-conn")?.max(1),
        connect_time_out: time(root, "allowed.connect-timeout-ms")?,
        idle: time(root, "allowed.conn-idle-ms")?,
    })
}

pub fn deployment(root: &Value) -> Result<Deployment, String> {
    let classes = need(root, "classes", Value::as_array)?;
    let further_calls = match find(root, "safety.repeat-ratio") {
        None => None,
        Some(_) => Some(FurtherCalls {
            free: find(root, "safety.free-resends")
                .and_then(Value::as_f64)
                .unwrap_or(0.0),
            share: number(root, "safety.repeat-ratio")?,
            window: time(root, "safety.budget-span-ms")?,
        }),
    };
    Ok(Deployment {
        own_number: count(root, "me")?,
        co_ordinators: count(root, "balancers")?.max(1),
        indexes: classes
            .iter()
            .enumerate()
            .map(|(i, c)| index(root, i, c))
            .collect::<Result<_, _>>()?,
        customer_quotas: listed(root, "accounts")
            .iter()
            .map(|account| number(account, "quota-rps"))
            .collect::<Result<_, _>>()?,
        over_share_gain: find(root, "over-share-worth")
            .and_then(Value::as_f64)
            .unwrap_or(1.0),
        gain_by_work: find(root, "counted-by").and_then(Value::as_str) == Some("work"),
        layout: Layout {
            cells: count(root, "family-info.cells")?.max(1),
            in_a_row: count(root, "family-info.in-a-row")?,
        },
        allowance: Allowance {
            calls_a_part: count(root, "allowed.max-attempts")?,
            second_copies: flag(root, "allowed.second-copies")?,
            withdraw: flag(root, "allowed.cancel")?,
            probes: flag(root, "allowed.probes")?,
            retry_advice: match flag(root, "allowed.retry-after")? {
                true => Some(time(root, "allowed.max-retry-after-ms")?),
                false => None,
            },
        },
        cold: ColdStart {
            share: number(root, "safety.cold-share")?,
            warm_up: time(root, "safety.warm-up-ms")?,
            multiple: number(root, "safety.fall-multiple")?,
            window: time(root, "safety.tip-after-ms")?,
        },
        queue_told: queue_told(root)?,
        short_queues: false,
        drain_grace: find(root, "safety.drain-grace-ms")
            .and_then(Value::as_f64)
            .map_or(0, tenths),
        further_calls,
        watch_roster: need(root, "membership-mode", Value::as_str)? == "on_request",
    })
}
