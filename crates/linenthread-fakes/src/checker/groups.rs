//! Checks the totals of groups.

use std::collections::BTreeMap;

use serde_json::Value;
use snafu::{OptionExt, ensure};

use super::CheckError;
use super::error::{AbsentSnafu, GroupsSnafu, RestSnafu};
use super::figures::check_sum_and_count;
use super::shards::{ShardWeight, check_shards, shard_numbers};
use crate::row_store::{RowStore, SumAndCount};

/// Checks the groups by charity: at most `max_groups` are listed, the largest first, and all others are combined in the
/// rest.
///
/// # Errors
///
/// If the groups, their figures, or the statements on shards are wrong.
///
/// # Panics
///
/// If the store does not have one of the query's shards.
pub fn check_groups(
    store: &RowStore,
    shards: &[ShardWeight],
    floor: f64,
    max_groups: usize,
    response: &Value,
) -> Result<(), CheckError> {
    let included = check_shards(shards, floor, response)?;
    let queried = shard_numbers(shards);
    let partial = included.len() < queried.len();
    let (of_included, of_all) = (store.true_groups(&included), store.true_groups(&queried));
    let listed = largest(&of_included, max_groups);
    let groups = response["groups"]
        .as_array()
        .context(AbsentSnafu { name: "groups" })?;
    check_names(groups, &listed)?;
    for (group, name) in groups.iter().zip(&listed) {
        let figures = &group["totals"]["amount"];
        check_sum_and_count(figures, of_included[name], of_all[name], partial)?;
    }
    let rest = &response["rest"];
    let has_rest = of_included.len() > max_groups;
    ensure!(
        has_rest != rest.is_null(),
        RestSnafu {
            actual: rest.to_string()
        }
    );
    if !has_rest {
        return Ok(());
    }
    check_sum_and_count(
        &rest["totals"]["amount"],
        rest_of(&of_included, &listed),
        rest_of(&of_all, &listed),
        partial,
    )
}

/// Returns the names of the largest groups in order; groups of equal size are ordered by name.
fn largest(groups: &BTreeMap<String, SumAndCount>, max_groups: usize) -> Vec<String> {
    let mut by_size: Vec<_> = groups.iter().collect();
    by_size.sort_by_key(|(name, group)| (-group.sum, (*name).clone()));
    let largest = by_size.into_iter().take(max_groups);
    largest.map(|(name, _)| name.clone()).collect()
}

/// Checks that the groups of a response have these names in this order.
fn check_names(groups: &[Value], expected: &[String]) -> Result<(), CheckError> {
    let actual: Vec<String> = groups.iter().map(name_of).collect();
    ensure!(actual == expected, GroupsSnafu { actual, expected });
    Ok(())
}

/// Returns the name of a group. If it is not a string, returns its JSON text, which equals no real name.
fn name_of(group: &Value) -> String {
    let name = &group["of"];
    name.as_str()
        .map_or_else(|| name.to_string(), ToOwned::to_owned)
}

/// Returns the sum and count over all groups that are not listed.
fn rest_of(groups: &BTreeMap<String, SumAndCount>, listed: &[String]) -> SumAndCount {
    let mut rest = SumAndCount::default();
    for (_, group) in groups.iter().filter(|(name, _)| !listed.contains(name)) {
        rest.sum += group.sum;
        rest.count += group.count;
    }
    rest
}
