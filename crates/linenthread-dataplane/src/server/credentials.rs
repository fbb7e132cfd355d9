//! Reads the tenant's key from a request.

use linenthread_config::Credentials;
use linenthread_http::Head;

const AUTHORIZATION: &str = "authorization";
/// The authentication scheme, in lower case; it is compared without regard to case.
const SCHEME: &[u8] = b"bearer";

/// Returns the credentials of a request. A repeated header is invalid.
pub(super) fn credentials(head: &Head) -> Credentials<'_> {
    let mut values = head.header_values(AUTHORIZATION);
    match (values.next(), values.next()) {
        (None, _) => Credentials::None,
        (Some(value), None) => bearer_key(value).map_or(Credentials::Invalid, Credentials::Bearer),
        (Some(_), Some(_)) => Credentials::Invalid,
    }
}

/// Returns the key of a header value of the form `Bearer KEY`.
fn bearer_key(value: &[u8]) -> Option<&[u8]> {
    let (scheme, rest) = value.split_at_checked(SCHEME.len())?;
    let key = rest.strip_prefix(b" ")?.trim_ascii();
    (scheme.eq_ignore_ascii_case(SCHEME) && !key.is_empty()).then_some(key)
}
