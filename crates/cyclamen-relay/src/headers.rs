//! Headers that concern one connection, and those that are passed on.

use trillium_http::{HeaderName, Headers, KnownHeaderName};

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [KnownHeaderName; 9] = [
    KnownHeaderName::Connection,
    KnownHeaderName::KeepAlive,
    KnownHeaderName::ProxyAuthenticate,
    KnownHeaderName::ProxyAuthorization,
    KnownHeaderName::Te,
    KnownHeaderName::Trailer,
    KnownHeaderName::TransferEncoding,
    KnownHeaderName::Upgrade,
    KnownHeaderName::ProxyConnection,
];

/// The headers without those that concern one connection, and without the length.
///
/// The length is set anew by whoever sends the body.
pub fn end_to_end(headers: &Headers) -> Headers {
    let mut kept = headers.clone();
    let named: Vec<String> = headers
        .get_values(KnownHeaderName::Connection)
        .into_iter()
        .flat_map(|values| values.iter())
        .filter_map(|value| value.as_str())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_string())
        .collect();
    for name in named {
        kept.remove(HeaderName::from(name));
    }
    kept.remove_all(CONNECTION_HEADERS);
    kept.remove(KnownHeaderName::ContentLength);
    kept.remove(KnownHeaderName::Expect);
    kept
}

/// Whether a message gives its length in two ways.
pub fn is_framed_twice(headers: &Headers) -> bool {
    let chunked = headers.has_header(KnownHeaderName::TransferEncoding);
    let lengths = headers
        .get_values(KnownHeaderName::ContentLength)
        .map_or(0, |values| values.len());
    lengths > 1 || (chunked && lengths > 0)
}
