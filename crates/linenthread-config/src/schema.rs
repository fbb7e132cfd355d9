//! Checks of a document against one of the JSON schemas that are compiled into this crate.

use serde_json::Value;

/// A violation quotes the value at fault; beyond this many bytes it is cut off, so that it fits into a log line.
const MAX_REASON_BYTES: usize = 200;

/// A compiled schema.
pub(crate) struct Schema(jsonschema::Validator);

/// The first rule of a schema that a document violates.
#[derive(Debug)]
pub(crate) struct Violation {
    /// The JSON pointer of the value at fault; empty for the document itself.
    pub(crate) path: String,
    /// The rule, and the value that violates it.
    pub(crate) reason: String,
}

impl Schema {
    /// Compiles a schema file of this crate.
    ///
    /// # Panics
    /// If the file is not a JSON schema, which the first test that uses it shows.
    pub(crate) fn compile(text: &str) -> Schema {
        let value = serde_json::from_str(text).expect("a schema file of this crate is JSON");
        let validator =
            jsonschema::validator_for(&value).expect("a schema file of this crate is a schema");
        Schema(validator)
    }

    /// Checks a document.
    pub(crate) fn check(&self, document: &Value) -> Result<(), Violation> {
        self.0.validate(document).map_err(|error| Violation {
            path: error.instance_path().to_string(),
            reason: shortened(error.to_string()),
        })
    }
}

/// The text, cut at a character boundary if it is longer than [`MAX_REASON_BYTES`].
fn shortened(mut text: String) -> String {
    if text.len() > MAX_REASON_BYTES {
        text.truncate(text.floor_char_boundary(MAX_REASON_BYTES));
        text.push_str(" ...");
    }
    text
}
