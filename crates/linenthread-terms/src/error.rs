//! Errors of decoding settings.

use serde_json::Value;
use snafu::Snafu;

/// The reason why settings are rejected. Each message is a single line and contains the path of the setting, if the
/// error concerns one.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// The settings are not JSON.
    #[snafu(display("settings do not parse: {source}"))]
    Parse {
        /// The parser's error.
        source: serde_json::Error,
    },
    /// A required setting is missing.
    #[snafu(display("settings lack {path}"))]
    Missing {
        /// The path of the setting.
        path: String,
    },
    /// A setting has the wrong type.
    #[snafu(display("settings: {path} cannot be {value}"))]
    Invalid {
        /// The path of the setting.
        path: String,
        /// The rejected value.
        value: Value,
    },
    /// A setting is none of the permitted words.
    #[snafu(display("settings: {path} cannot be {value}"))]
    UnknownChoice {
        /// The path of the setting.
        path: String,
        /// The rejected word.
        value: String,
    },
    /// A list has fewer entries than there are indexes.
    #[snafu(display("settings: {path} is too short"))]
    TooShort {
        /// The path of the list.
        path: String,
    },
    /// A list has an entry without a name.
    #[snafu(display("settings: {path} has an entry with no name"))]
    Unnamed {
        /// The path of the list.
        path: String,
    },
}
