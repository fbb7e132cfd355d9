//! Checks what a response states about its shards.

use serde_json::Value;
use snafu::ensure;

use super::CheckError;
use super::error::{FinishedSnafu, ShardsSnafu, ShareSnafu, UnderFloorSnafu};

/// The maximum difference between a share in a response and the true one.
const SHARE_TOLERANCE: f64 = 1e-3;

/// A shard of a query and its weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShardWeight {
    /// The shard.
    pub shard: usize,
    /// Its weight in the query.
    pub weight: f64,
}

/// Returns the numbers in a JSON list.
pub(super) fn indexes(value: &Value) -> Vec<usize> {
    value
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(|index| usize::try_from(index.as_u64()?).ok())
        .collect()
}

/// Returns the numbers of the shards.
pub(super) fn shard_numbers(shards: &[ShardWeight]) -> Vec<usize> {
    shards.iter().map(|queried| queried.shard).collect()
}

/// Returns the total weight of the included shards.
fn weight_of(included: &[usize], shards: &[ShardWeight]) -> f64 {
    shards
        .iter()
        .filter(|queried| included.contains(&queried.shard))
        .map(|queried| queried.weight)
        .sum()
}

/// Checks what a response states about its shards against the query and the floor. Returns the shards that it includes.
///
/// # Errors
///
/// If the shards, their share or the completeness are wrong, or the share is less than the floor.
pub fn check_shards(
    shards: &[ShardWeight],
    floor: f64,
    response: &Value,
) -> Result<Vec<usize>, CheckError> {
    let actual = &response["slices"];
    let included = indexes(&actual["in"]);
    let missing = missing_shards(&actual["missing"]);
    let mut all = [included.clone(), missing.clone()].concat();
    all.sort_unstable();
    let mut queried = shard_numbers(shards);
    queried.sort_unstable();
    ensure!(
        all == queried,
        ShardsSnafu {
            included,
            missing,
            queried
        }
    );
    let share = weight_of(&included, shards) / weight_of(&queried, shards);
    check_share(share, floor, &actual["share"])?;
    let finished = &response["finished"];
    ensure!(
        finished.as_bool() == Some(missing.is_empty()),
        FinishedSnafu {
            actual: finished.to_string(),
            missing
        }
    );
    Ok(included)
}

/// Returns the missing shards, which a response lists by reason.
fn missing_shards(missing: &Value) -> Vec<usize> {
    missing
        .as_object()
        .into_iter()
        .flatten()
        .flat_map(|(_, shards)| indexes(shards))
        .collect()
}

fn check_share(share: f64, floor: f64, actual: &Value) -> Result<(), CheckError> {
    ensure!(
        share >= floor - SHARE_TOLERANCE,
        UnderFloorSnafu { share, floor }
    );
    let is_correct = actual
        .as_f64()
        .is_some_and(|actual| (actual - share).abs() <= SHARE_TOLERANCE);
    ensure!(
        is_correct,
        ShareSnafu {
            actual: actual.to_string(),
            share
        }
    );
    Ok(())
}
