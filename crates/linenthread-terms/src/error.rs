//! What can be wrong with settings.

use serde_json::Value;
use snafu::Snafu;

/// Why settings cannot be used. Each message is one line and names the setting by its path.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// They are not JSON.
    #[snafu(display("settings do not parse: {source}"))]
    Parse {
        /// What is wrong with the JSON text.
        source: serde_json::Error,
    },
    /// A required setting is missing.
    #[snafu(display("settings lack {path}"))]
    Missing {
        /// The setting.
        path: String,
    },
    /// A setting has another type than it should.
    #[snafu(display("settings: {path} cannot be {value}"))]
    Invalid {
        /// The setting.
        path: String,
        /// Its value.
        value: Value,
    },
    /// A setting that has to be one of several words is none of them.
    #[snafu(display("settings: {path} cannot be {value}"))]
    UnknownChoice {
        /// The setting.
        path: String,
        /// Its value.
        value: String,
    },
    /// A list has fewer entries than there are indexes.
    #[snafu(display("settings: {path} is too short"))]
    TooShort {
        /// The list.
        path: String,
    },
    /// A list has an entry without a name.
    #[snafu(display("settings: {path} has an entry with no name"))]
    Unnamed {
        /// The list.
        path: String,
    },
}
