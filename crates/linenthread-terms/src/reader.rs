//! Reads individual settings by their path.

use linenthread_core::interface::TenthMillis;
use serde_json::Value;
use snafu::{OptionExt, ResultExt};

use crate::error::{
    InvalidSnafu, MissingSnafu, ParseSnafu, SettingsError, TooShortSnafu, UnnamedSnafu,
};
use crate::tenth_millis;

/// Parses the text of settings.
///
/// # Errors
///
/// [`SettingsError::Parse`] if it is not JSON.
pub fn parse_settings(text: &[u8]) -> Result<Value, SettingsError> {
    serde_json::from_slice(text).context(ParseSnafu)
}

/// Returns the value at a dotted path; `None` if it is absent or null.
pub(crate) fn find<'a>(root: &'a Value, path: &str) -> Option<&'a Value> {
    path.split('.')
        .try_fold(root, |value, key| value.get(key))
        .filter(|value| !value.is_null())
}

/// Returns the required value at a dotted path, converted by `read`, which returns `None` for a wrong type.
pub(crate) fn required<'a, T>(
    root: &'a Value,
    path: &str,
    read: impl Fn(&'a Value) -> Option<T>,
) -> Result<T, SettingsError> {
    let value = find(root, path).context(MissingSnafu { path })?;
    read(value).context(InvalidSnafu {
        path,
        value: value.clone(),
    })
}

/// Returns a required number.
pub(crate) fn number(root: &Value, path: &str) -> Result<f64, SettingsError> {
    required(root, path, Value::as_f64)
}

/// Returns a required duration, which is set in milliseconds.
pub(crate) fn time(root: &Value, path: &str) -> Result<TenthMillis, SettingsError> {
    number(root, path).map(tenth_millis)
}

/// Returns a required non-negative integer.
pub(crate) fn count(root: &Value, path: &str) -> Result<usize, SettingsError> {
    required(root, path, |value| usize::try_from(value.as_u64()?).ok())
}

/// Returns a required boolean.
pub(crate) fn flag(root: &Value, path: &str) -> Result<bool, SettingsError> {
    required(root, path, Value::as_bool)
}

/// Returns a number; `None` if it is absent or not a number.
pub(crate) fn optional_number(root: &Value, path: &str) -> Option<f64> {
    find(root, path).and_then(Value::as_f64)
}

/// Returns the entry at a position of a required list of numbers.
pub(crate) fn number_at(root: &Value, path: &str, position: usize) -> Result<f64, SettingsError> {
    let numbers: Vec<f64> = required(root, path, |value| {
        value.as_array()?.iter().map(Value::as_f64).collect()
    })?;
    numbers
        .get(position)
        .copied()
        .context(TooShortSnafu { path })
}

/// Returns the entries of a list; none if it is absent or not a list.
pub(crate) fn entries<'a>(root: &'a Value, path: &str) -> &'a [Value] {
    find(root, path)
        .and_then(Value::as_array)
        .map_or(&[], Vec::as_slice)
}

/// Returns the names of the entries of a list; none if it is absent or not a list.
pub(crate) fn names(
    root: &Value,
    path: &str,
    name_of: impl Fn(&Value) -> Option<&str>,
) -> Result<Vec<String>, SettingsError> {
    entries(root, path)
        .iter()
        .map(|entry| {
            name_of(entry)
                .map(str::to_owned)
                .context(UnnamedSnafu { path })
        })
        .collect()
}
