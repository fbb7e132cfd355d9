//! Validation of documents against the JSON schemas of this crate.

use serde_json::Value;

/// Maximum length of a violation's reason, in bytes. Reasons quote the invalid value and must fit into a log line.
const MAX_REASON_BYTES: usize = 200;

/// A compiled schema.
pub(crate) struct Schema {
    validator: jsonschema::Validator,
    /// JSON pointer to a value that violations must not quote, nor any value below it.
    secret: Option<&'static str>,
}

/// The first violation of a schema in a document.
#[derive(Debug)]
pub(crate) struct Violation {
    /// JSON pointer to the invalid value; empty for the document itself.
    pub(crate) path: String,
    /// The violated rule, with the invalid value unless it may contain a secret.
    pub(crate) reason: String,
}

impl Schema {
    /// Compiles a schema file of this crate.
    ///
    /// # Panics
    /// Panics if the text is not a JSON schema. Any test that uses the schema detects this.
    pub(crate) fn compile(text: &str) -> Schema {
        let value = serde_json::from_str(text).expect("a schema file of this crate is JSON");
        let validator =
            jsonschema::validator_for(&value).expect("a schema file of this crate is a schema");
        Schema {
            validator,
            secret: None,
        }
    }

    /// Marks the value at a JSON pointer as secret: violations then quote neither that value nor anything below it.
    /// Nor do they quote any object, list or whole document, which may contain the secret at another position.
    pub(crate) fn with_secret(self, pointer: &'static str) -> Schema {
        Schema {
            secret: Some(pointer),
            ..self
        }
    }

    /// Returns the first violation in a document, if any, as an error.
    pub(crate) fn check(&self, document: &Value) -> Result<(), Violation> {
        self.validator.validate(document).map_err(|error| {
            let path = error.instance_path().to_string();
            let reason = if self.must_mask(&path, error.instance()) {
                error.masked().to_string()
            } else {
                error.to_string()
            };
            Violation {
                path,
                reason: truncated(reason),
            }
        })
    }

    /// Reports whether the value at this JSON pointer is secret, is below the secret value or may contain it.
    fn must_mask(&self, pointer: &str, value: &Value) -> bool {
        let is_below = |secret: &str| {
            let rest = pointer.strip_prefix(secret);
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
        };
        let may_contain_secret = pointer.is_empty() || value.is_object() || value.is_array();
        self.secret
            .is_some_and(|secret| may_contain_secret || is_below(secret))
    }
}

/// Truncates a text at a character boundary if it is longer than [`MAX_REASON_BYTES`].
fn truncated(mut text: String) -> String {
    if text.len() > MAX_REASON_BYTES {
        text.truncate(text.floor_char_boundary(MAX_REASON_BYTES));
        text.push_str(" ...");
    }
    text
}
