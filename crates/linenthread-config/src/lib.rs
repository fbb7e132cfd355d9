//! What the system is told: the settings file of each process, and the operator's configuration. Both are
//! held to a schema file that stands beside the code, then to what no schema says, and each fault names its
//! place.
#![expect(
    missing_docs,
    reason = "public items of this package are not all documented yet"
)]

mod configuration;
mod settings;

pub use configuration::{
    Backend, Configuration, Constraints, Mode, Plan, Planned, Route, Share, Target,
};
pub use settings::Settings;

use snafu::Snafu;

/// Why something that was told cannot be used: the place and the cause.
#[derive(Debug, Snafu)]
#[snafu(display("{place}: {cause}"))]
pub struct Fault {
    pub place: String,
    pub cause: String,
}

pub(crate) fn fault(place: impl Into<String>, cause: impl Into<String>) -> Fault {
    Fault {
        place: place.into(),
        cause: cause.into(),
    }
}

/// Holds a document to a schema; the first fault found is told, with its path.
pub(crate) fn hold(schema: &Schema, document: &serde_json::Value) -> Result<(), Fault> {
    schema.validate(document).map_err(|e| {
        let mut cause = e.to_string();
        if cause.len() > 200 {
            let cut = (0..=200)
                .rev()
                .find(|&i| cause.is_char_boundary(i))
                .unwrap_or(0);
            cause.truncate(cut);
            cause.push_str(" ...");
        }
        fault(e.instance_path().to_string(), cause)
    })
}

pub(crate) type Schema = jsonschema::Validator;

/// A schema file of this package.
pub(crate) fn schema(text: &str) -> Schema {
    let value = serde_json::from_str(text).expect("a schema file of ours is JSON");
    jsonschema::validator_for(&value).expect("a schema file of ours is a schema")
}
