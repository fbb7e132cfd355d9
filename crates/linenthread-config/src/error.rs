//! Errors in settings files and configurations. The messages are shown to operators and logged, so none of them quotes
//! a tenant's key.

use std::net::AddrParseError;
use std::num::{ParseFloatError, ParseIntError};

use snafu::Snafu;

/// The reason why a configuration is rejected, with the position in the document.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConfigurationError {
    /// The document is not JSON.
    #[snafu(display("line {line} column {column}: {source}"))]
    Syntax {
        /// Line of the error, from 1.
        line: usize,
        /// Column of the error, from 1.
        column: usize,
        /// The error of the JSON parser.
        source: serde_json::Error,
    },
    /// The document violates the schema.
    #[snafu(display("{path}: {reason}"))]
    Schema {
        /// JSON pointer to the invalid value.
        path: String,
        /// The violated rule, with the invalid value unless it may contain a key.
        reason: String,
    },
    /// The document can't be decoded. The decoder's message is left out, since it may quote a key.
    #[snafu(display("line {line} column {column}: unexpected field or value"))]
    Decode {
        /// Line of the error, from 1.
        line: usize,
        /// Column of the error, from 1.
        column: usize,
    },
    /// Two backends have the same name.
    #[snafu(display("/backends/{index}: duplicate backend name {name}"))]
    DuplicateBackend {
        /// Index of the second one.
        index: usize,
        /// Their name.
        name: String,
    },
    /// A route refers to a backend that isn't listed.
    #[snafu(display("/route_table/{index}: no backend is named {backend}"))]
    UnknownBackend {
        /// Index of the route.
        index: usize,
        /// The name that isn't listed.
        backend: String,
    },
    /// Two routes have the same host and path prefix.
    #[snafu(display("/route_table/{index}: host {host} has prefix {path_prefix} twice"))]
    DuplicateRoute {
        /// Index of the second one.
        index: usize,
        /// Their host.
        host: String,
        /// Their path prefix.
        path_prefix: String,
    },
    /// A route splits its traffic, but no backend has a positive weight.
    #[snafu(display("/route_table/{index}: the shares sum to 0"))]
    ZeroWeights {
        /// Index of the route.
        index: usize,
    },
    /// A route fans out requests that must not be repeated.
    #[snafu(display("/route_table/{index}: a route with fanout must be idempotent"))]
    MutatingFanOut {
        /// Index of the route.
        index: usize,
    },
    /// The name of a tenant can't be sent as a header value.
    #[snafu(display(
        "/clients/{index}/label: must be printable ASCII without leading or trailing spaces"
    ))]
    InvalidClientName {
        /// Index of the tenant.
        index: usize,
    },
    /// Two tenants have the same name.
    #[snafu(display("/clients/{index}/label: same name as /clients/{first}"))]
    DuplicateClient {
        /// Index of the second one.
        index: usize,
        /// Index of the first one.
        first: usize,
    },
    /// Two tenants have the same key.
    #[snafu(display("/clients/{index}/credentials/{key_index}: is a key of /clients/{first} too"))]
    SharedKey {
        /// Index of the second tenant.
        index: usize,
        /// Index of the key in the second tenant's list.
        key_index: usize,
        /// Index of the first tenant.
        first: usize,
    },
}

/// The reason why a settings file is rejected, with the line or the field.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// A line has no `=`.
    #[snafu(display("line {line}: not field=value"))]
    NotFieldAndValue {
        /// Line of the file, from 1.
        line: usize,
    },
    /// A field is given twice.
    #[snafu(display("line {line}: {field} is given twice"))]
    DuplicateField {
        /// Line of the second one, from 1.
        line: usize,
        /// Name of the field.
        field: String,
    },
    /// A field's value violates the schema, or a rule that a schema can't express.
    #[snafu(display("line {line}, {field}: {reason}"))]
    InvalidValue {
        /// Line of the field, from 1.
        line: usize,
        /// Name of the field.
        field: String,
        /// The violated rule, with the invalid value.
        reason: String,
    },
    /// A required field is missing.
    #[snafu(display("{reason}"))]
    Incomplete {
        /// The violated rule, which names the field.
        reason: String,
    },
    /// A value is not an IP address, or not an address with a port.
    #[snafu(display("line {line}: {field}: {value} is no address"))]
    InvalidAddress {
        /// Line of the field, from 1.
        line: usize,
        /// Name of the field.
        field: &'static str,
        /// Its value.
        value: String,
        /// The error of the address parser.
        source: AddrParseError,
    },
    /// A value is not a number.
    #[snafu(display("line {line}: {field}: {source}"))]
    InvalidNumber {
        /// Line of the field, from 1.
        line: usize,
        /// Name of the field.
        field: &'static str,
        /// The error of the number parser.
        source: ParseFloatError,
    },
    /// A bound of the port range is not a port.
    #[snafu(display("line {line}: port_range: {source}"))]
    InvalidPort {
        /// Line of the field, from 1.
        line: usize,
        /// The error of the number parser.
        source: ParseIntError,
    },
    /// The port range contains no port: it starts at 0 or ends before its start.
    #[snafu(display("line {line}: port_range: contains no port"))]
    EmptyPortRange {
        /// Line of the field, from 1.
        line: usize,
    },
    /// The process would be neither an ingress node nor a control node.
    #[snafu(display("neither bind.ingress nor bind.control_plane is set: nothing to serve"))]
    NothingToServe,
    /// A control node has no directory for its state.
    #[snafu(display("state_dir: needed when bind.control_plane is set"))]
    MissingStateDir,
}
