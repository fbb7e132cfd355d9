//! The tenants of a configuration: validation, lookup by key, and error and debug texts without keys.

use std::error::Error;
use std::rc::Rc;

use linenthread_config::{
    Configuration, ConfigurationError, Credentials, RoutingTable, Tenant, UnknownKey,
};
use yare::parameterized;

/// The key that errors and debug output must not contain.
const KEY: &str = "prymh2rrytapjsujqurt";

/// Returns a configuration with a route that needs a key, a public one and one without the field, followed by further
/// fields such as `clients`.
fn configuration(clients: &str) -> String {
    let route = |name: &str, rest: &str| {
        format!(
            r#"{{"label":"{name}","host":"h","path_prefix":"/{name}/","mode":"idempotent","limit_ms":600,
                "rank":3,"backend":"s1"{rest}}}"#
        )
    };
    let routes = [
        route("closed", r#","public":false"#),
        route("open", r#","public":true"#),
        route("unmarked", ""),
    ]
    .join(",");
    format!(
        r#"{{"revision":3,"route_table":[{routes}],"backends":[{{"label":"s1"}}],"constraints":{{}}{clients}}}"#
    )
}

/// Returns a configuration with these tenants.
fn with_clients(clients: &str) -> String {
    configuration(&format!(r#","clients":{clients}"#))
}

/// Returns all texts of an error and its sources that operators or logs may show, in lower case.
fn texts(error: &ConfigurationError) -> String {
    let mut texts = format!("{error} {error:?} {error:#?}");
    let mut source = error.source();
    while let Some(cause) = source {
        texts.push_str(&format!(" {cause} {cause:?}"));
        source = cause.source();
    }
    texts.to_lowercase()
}

// Guards against attributing requests to the tenant that was read last: a key must identify one tenant.
#[parameterized(
    same_spelling = { r#"[{"label":"a","credentials":["prymh2rrytapjsujqurt"]},{"label":"b","credentials":["x","prymh2rrytapjsujqurt"]}]"# },
    different_escapes = { r#"[{"label":"a","credentials":["x","prymh2rrytapjsujqurt"]},{"label":"b","credentials":["y","\u0070rymh2rrytapjsujqur\u0074"]}]"# },
)]
fn a_key_shared_by_two_tenants_is_rejected(clients: &str) {
    let error = Configuration::parse(with_clients(clients).as_bytes()).unwrap_err();
    assert_eq!(
        error.to_string(),
        "/clients/1/credentials/1: is a key of /clients/0 too"
    );
    assert!(!texts(&error).contains(KEY), "{error}");
}

// Guards against tenants that can't be distinguished, or whose names can't be sent to replicas as a header.
#[parameterized(
    same_name = { r#"[{"label":"a","credentials":[]},{"label":"b","credentials":[]},{"label":"a","credentials":["k"]}]"#,
        "/clients/2/label", "/clients/0" },
    same_name_with_escapes = { r#"[{"label":"a","credentials":["x"]},{"label":"\u0061","credentials":["y"]}]"#,
        "/clients/1/label", "/clients/0" },
    empty_name = { r#"[{"label":"","credentials":["k"]}]"#, "/clients/0/label", "shorter" },
    name_with_line_end = { r#"[{"label":"a\r\nX-Admin: 1","credentials":["k"]}]"#, "/clients/0/label", "printable" },
    name_with_tab = { r#"[{"label":"a\tb","credentials":["k"]}]"#, "/clients/0/label", "printable" },
    name_with_null = { r#"[{"label":"a\u0000","credentials":["k"]}]"#, "/clients/0/label", "printable" },
    name_beyond_ascii = { r#"[{"label":"donazione è","credentials":["k"]}]"#, "/clients/0/label", "printable" },
    name_with_leading_space = { r#"[{"label":" a","credentials":["k"]}]"#, "/clients/0/label", "space" },
    name_with_trailing_space = { r#"[{"label":"a ","credentials":["k"]}]"#, "/clients/0/label", "space" },
    no_name = { r#"[{"credentials":["k"]}]"#, "/clients/0", "label" },
    empty_key = { r#"[{"label":"a","credentials":["k",""]}]"#, "/clients/0/credentials/1", "shorter" },
    no_keys = { r#"[{"label":"a"}]"#, "/clients/0", "credentials" },
    null = { "null", "/clients", "array" },
)]
fn invalid_tenants_are_rejected_with_their_json_path(clients: &str, path: &str, cause: &str) {
    let error = Configuration::parse(with_clients(clients).as_bytes()).unwrap_err();
    let text = error.to_string();
    assert!(text.starts_with(path) && text.contains(cause), "{text}");
}

#[test]
fn the_public_field_of_a_route_must_be_a_boolean() {
    let document = configuration("").replace(r#""public":true"#, r#""public":"yes""#);
    let error = Configuration::parse(document.as_bytes()).unwrap_err();
    assert_eq!(
        error.to_string(),
        r#"/route_table/1/public: "yes" is not of type "boolean""#
    );
}

#[parameterized(
    none = { "[]", 0 },
    without_keys = { r#"[{"label":"a","credentials":[]}]"#, 1 },
    a_key_twice_in_one_tenant = { r#"[{"label":"a","credentials":["k","k"]}]"#, 1 },
    a_key_like_a_name = { r#"[{"label":"a","credentials":["b"]},{"label":"b","credentials":["a"]}]"#, 2 },
    names_in_other_case = { r#"[{"label":"a","credentials":["k"]},{"label":"A","credentials":["K"]}]"#, 2 },
    name_of_two_words = { r#"[{"label":"a b","credentials":["k"]}]"#, 1 },
    a_key_that_no_client_can_send = { r#"[{"label":"a","credentials":["k\r\n\u0000è"]}]"#, 1 },
    unknown_fields = { r#"[{"label":"a","credentials":["k"],"contact":7}]"#, 1 },
)]
fn valid_tenants_are_accepted(clients: &str, expected: usize) {
    let read = Configuration::parse(with_clients(clients).as_bytes()).unwrap();
    assert_eq!(read.clients.map(|clients| clients.len()), Some(expected));
}

// Guards against keys in operators' terminals and in logs. Error messages for other fields quote the invalid value.
#[parameterized(
    in_place_of_the_list = { with_clients(r#""prymh2rrytapjsujqurt""#) },
    as_a_field = { with_clients(r#"{"prymh2rrytapjsujqurt":"a"}"#) },
    in_place_of_a_tenant = { with_clients(r#"["prymh2rrytapjsujqurt"]"#) },
    in_place_of_the_keys = { with_clients(r#"[{"label":"a","credentials":"prymh2rrytapjsujqurt"}]"#) },
    in_place_of_the_rank = { with_clients(r#"[{"label":"a","credentials":[],"rank":"prymh2rrytapjsujqurt"}]"#) },
    in_an_invalid_name = { with_clients(r#"[{"label":"prymh2rrytapjsujqurt\n","credentials":[]}]"#) },
    in_a_repeated_name = {
        with_clients(
            r#"[{"label":"prymh2rrytapjsujqurt","credentials":[]},{"label":"prymh2rrytapjsujqurt","credentials":[]}]"#
        )
    },
    of_an_invalid_tenant = { with_clients(r#"[{"label":7,"credentials":["prymh2rrytapjsujqurt"]}]"#) },
    beside_an_invalid_key = { with_clients(r#"[{"label":"a","credentials":["prymh2rrytapjsujqurt",7]}]"#) },
    below_a_key = { with_clients(r#"[{"label":"a","credentials":[["prymh2rrytapjsujqurt"]]}]"#) },
    list_alone = { r#"[{"label":"a","credentials":["prymh2rrytapjsujqurt"]}]"#.into() },
    string_alone = { r#""prymh2rrytapjsujqurt""#.into() },
    tenants_at_another_place = {
        with_clients("[]").replace(r#""backends":["#, r#""backends":{"clients":["prymh2rrytapjsujqurt"]},"x":["#)
    },
    list_given_twice = { with_clients(r#""prymh2rrytapjsujqurt","clients":[]"#) },
    keys_given_twice = {
        with_clients(r#"[{"label":"a","credentials":"prymh2rrytapjsujqurt","credentials":[]}]"#)
    },
    rank_given_twice = { with_clients(r#"[{"label":"a","credentials":[],"rank":"prymh2rrytapjsujqurt","rank":1}]"#) },
    rank_too_high = { with_clients(r#"[{"label":"a","credentials":["prymh2rrytapjsujqurt"],"rank":1e30}]"#) },
    unclosed_string = { with_clients(r#"[{"label":"a","credentials":["prymh2rrytapjsujqurt"#) },
    missing_comma = { with_clients(r#"[{"label":"a","credentials":["prymh2rrytapjsujqurt" "x"]}]"#) },
    missing_quotes = { with_clients(r#"[{"label":"a","credentials":[prymh2rrytapjsujqurt]}]"#) },
    invalid_escape = { with_clients(r#"[{"label":"a","credentials":["prymh2rrytapjsujqurt\x"]}]"#) },
)]
fn no_error_shows_a_key(document: String) {
    let parsed = Configuration::parse(document.as_bytes()).unwrap_err();
    assert!(!texts(&parsed).contains(KEY), "{parsed}");
    if let Err(decoded) = Configuration::decode(document.as_bytes()) {
        assert!(!texts(&decoded).contains(KEY), "{decoded}");
    }
}

#[test]
fn no_debug_output_shows_a_key() {
    let document = with_clients(r#"[{"label":"a","credentials":["prymh2rrytapjsujqurt"]}]"#);
    let read = Configuration::parse(document.as_bytes()).unwrap();
    assert!(!format!("{read:?} {read:#?}").contains(KEY));
    let table = RoutingTable::new(read);
    assert!(!format!("{table:?} {table:#?}").contains(KEY));
    let credentials = Credentials::Bearer(KEY.as_bytes());
    assert_eq!(format!("{credentials:?}"), "Bearer(..)");
}

/// The tenants `a`, with a priority and two keys, and `b`, with another key and no priority.
const TWO_TENANTS: &str =
    r#"[{"label":"a","credentials":["k1","k2"],"rank":-2},{"label":"b","credentials":["k3"]}]"#;

/// Authorizes a request with these credentials on a route of a configuration with these tenants.
fn authorize(
    clients: Option<&str>,
    path: &str,
    credentials: Credentials<'_>,
) -> Result<Option<Rc<Tenant>>, UnknownKey> {
    let document = clients.map_or_else(|| configuration(""), with_clients);
    let table = RoutingTable::new(Configuration::decode(document.as_bytes()).unwrap());
    let resolved = Rc::clone(table.find("h", path).unwrap());
    table.authorize(&resolved.route, credentials)
}

fn tenant(name: &str, priority: Option<i64>) -> Option<Rc<Tenant>> {
    let name = Rc::from(name);
    Some(Rc::new(Tenant { name, priority }))
}

// Guards against accepting requests without a valid key, rejecting requests with one, and attributing requests to the
// wrong tenant.
#[parameterized(
    known = { Some(TWO_TENANTS), "/closed/", Credentials::Bearer(b"k1"), Ok(tenant("a", Some(-2))) },
    another_key_of_the_tenant = { Some(TWO_TENANTS), "/closed/", Credentials::Bearer(b"k2"), Ok(tenant("a", Some(-2))) },
    of_another_tenant = { Some(TWO_TENANTS), "/closed/", Credentials::Bearer(b"k3"), Ok(tenant("b", None)) },
    unknown = { Some(TWO_TENANTS), "/closed/", Credentials::Bearer(b"k4"), Err(UnknownKey) },
    part = { Some(TWO_TENANTS), "/closed/", Credentials::Bearer(b"k"), Err(UnknownKey) },
    in_other_case = { Some(TWO_TENANTS), "/closed/", Credentials::Bearer(b"K1"), Err(UnknownKey) },
    with_a_space = { Some(TWO_TENANTS), "/closed/", Credentials::Bearer(b"k1 "), Err(UnknownKey) },
    empty = { Some(TWO_TENANTS), "/closed/", Credentials::Bearer(b""), Err(UnknownKey) },
    not_utf_8 = { Some(TWO_TENANTS), "/closed/", Credentials::Bearer(b"\xff"), Err(UnknownKey) },
    missing = { Some(TWO_TENANTS), "/closed/", Credentials::None, Err(UnknownKey) },
    invalid = { Some(TWO_TENANTS), "/closed/", Credentials::Invalid, Err(UnknownKey) },
    not_public_by_default = { Some(TWO_TENANTS), "/unmarked/", Credentials::None, Err(UnknownKey) },
    public_and_known = { Some(TWO_TENANTS), "/open/", Credentials::Bearer(b"k1"), Ok(tenant("a", Some(-2))) },
    public_and_unknown = { Some(TWO_TENANTS), "/open/", Credentials::Bearer(b"k4"), Ok(None) },
    public_and_missing = { Some(TWO_TENANTS), "/open/", Credentials::None, Ok(None) },
    public_and_invalid = { Some(TWO_TENANTS), "/open/", Credentials::Invalid, Ok(None) },
    no_tenants = { Some("[]"), "/closed/", Credentials::Bearer(b"k1"), Err(UnknownKey) },
    no_tenants_and_public = { Some("[]"), "/open/", Credentials::Bearer(b"k1"), Ok(None) },
    tenants_absent = { None, "/closed/", Credentials::Bearer(b"k1"), Ok(None) },
    tenants_absent_and_missing = { None, "/closed/", Credentials::None, Ok(None) },
)]
fn requests_are_authorized_by_their_key(
    clients: Option<&str>,
    path: &str,
    credentials: Credentials<'_>,
    expected: Result<Option<Rc<Tenant>>, UnknownKey>,
) {
    assert_eq!(authorize(clients, path, credentials), expected);
}

// Guards against faults with documents in state directories: earlier versions accepted them without validating
// `clients`.
#[parameterized(
    shared_key = { r#"[{"label":"a","credentials":["k"]},{"label":"b","credentials":["k"]}]"#, Ok(tenant("a", None)) },
    name_with_line_end = { r#"[{"label":"a\r\nX-Admin: 1","credentials":["k"]}]"#, Err(UnknownKey) },
)]
fn unvalidated_tenants_are_indexed_safely(
    clients: &str,
    expected: Result<Option<Rc<Tenant>>, UnknownKey>,
) {
    let actual = authorize(Some(clients), "/closed/", Credentials::Bearer(b"k"));
    assert_eq!(actual, expected);
}
