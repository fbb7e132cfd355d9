//! Decodes the configuration of decisions.

use linenthread_core::conversion::to_count;
use linenthread_core::interface::{
    CoordinatorConfig, Idempotency, IndexConfig, Permissions, RetryBudget, ShardLayout, SlowStart,
    ValueGrowth,
};
use serde_json::Value;

use crate::error::{SettingsError, UnknownChoiceSnafu};
use crate::load_reports::reports_queue;
use crate::reader::{
    count, entries, find, flag, number, number_at, optional_number, required, time,
};
use crate::tenth_millis;

/// Decodes the configuration of decisions.
///
/// # Errors
///
/// [`SettingsError`] if a setting is missing, has the wrong type, or is an unknown choice.
pub fn coordinator_config(root: &Value) -> Result<CoordinatorConfig, SettingsError> {
    let classes = required(root, "classes", Value::as_array)?;
    let retry_budget = retry_budget(root)?;
    let coordinator_number = count(root, "me")?;
    let coordinator_count = count(root, "balancers")?.max(1);
    let indexes = classes
        .iter()
        .enumerate()
        .map(|(position, class)| index(root, position, class))
        .collect::<Result<_, _>>()?;
    let customer_quotas = entries(root, "accounts")
        .iter()
        .map(|account| number(account, "quota-rps"))
        .collect::<Result<_, _>>()?;
    Ok(CoordinatorConfig {
        coordinator_number,
        coordinator_count,
        indexes,
        customer_quotas,
        over_quota_value: optional_number(root, "over-share-worth").unwrap_or(1.0),
        value_growth: value_growth(root),
        layout: ShardLayout {
            replica_groups: count(root, "family-info.cells")?.max(1),
            replication_factor: count(root, "family-info.in-a-row")?,
        },
        permissions: permissions(root)?,
        slow_start: SlowStart {
            initial_share: number(root, "safety.cold-share")?,
            duration: time(root, "safety.warm-up-ms")?,
            budget_multiple: number(root, "safety.fall-multiple")?,
            window: time(root, "safety.tip-after-ms")?,
        },
        reports_queue_depth: reports_queue(root)?,
        bounded_queues: false,
        drain_grace: optional_number(root, "safety.drain-grace-ms").map_or(0, tenth_millis),
        retry_budget,
        watch_membership: required(root, "membership-mode", Value::as_str)? == "on_request",
    })
}

fn value_growth(root: &Value) -> ValueGrowth {
    match find(root, "counted-by").and_then(Value::as_str) {
        Some("work") => ValueGrowth::WithWork,
        _ => ValueGrowth::Constant,
    }
}

fn permissions(root: &Value) -> Result<Permissions, SettingsError> {
    Ok(Permissions {
        max_attempts: count(root, "allowed.max-attempts")?,
        hedging: flag(root, "allowed.second-copies")?,
        cancellation: flag(root, "allowed.cancel")?,
        health_probes: flag(root, "allowed.probes")?,
        max_retry_after: if flag(root, "allowed.retry-after")? {
            Some(time(root, "allowed.max-retry-after-ms")?)
        } else {
            None
        },
    })
}

/// Decodes the budget for retries and hedged requests; `None` if no ratio is set.
fn retry_budget(root: &Value) -> Result<Option<RetryBudget>, SettingsError> {
    let ratio = "safety.repeat-ratio";
    if find(root, ratio).is_none() {
        return Ok(None);
    }
    Ok(Some(RetryBudget {
        reserve: optional_number(root, "safety.free-resends").unwrap_or(0.0),
        ratio: number(root, ratio)?,
        window: time(root, "safety.budget-span-ms")?,
    }))
}

/// Decodes the index at a position of the classes. Some of its settings are in lists outside the classes.
fn index(root: &Value, position: usize, class: &Value) -> Result<IndexConfig, SettingsError> {
    let list_entry = |path: &str| number_at(root, path, position);
    Ok(IndexConfig {
        idempotency: idempotency(class)?,
        soft_deadline: time(class, "promise-ms")?,
        value: number(class, "worth")?,
        late_value_share: number(class, "late-share")?,
        complete_share: list_entry("family-info.need-by-class")?,
        min_share: list_entry("family-info.floor-by-class")?,
        partial_value: list_entry("family-info.incomplete-worth")?,
        fetch_sub_requests: to_count(list_entry("family-info.fetch-parts")?),
    })
}

fn idempotency(class: &Value) -> Result<Idempotency, SettingsError> {
    let path = "idempotency";
    match required(class, path, Value::as_str)? {
        "safe" => Ok(Idempotency::Idempotent),
        "keyed" => Ok(Idempotency::Deduplicated(time(class, "window-ms")?)),
        "unsafe" => Ok(Idempotency::AtMostOnce),
        value => UnknownChoiceSnafu { path, value }.fail(),
    }
}
