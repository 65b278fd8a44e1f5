//! Hop-by-hop and end-to-end headers.

use trillium_http::{HeaderName, Headers, KnownHeaderName};

/// Headers that apply to a single connection.
const HOP_BY_HOP_HEADERS: [KnownHeaderName; 9] = [
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

/// Returns the headers without hop-by-hop headers, `Content-Length` and `Expect`.
///
/// The sender of the body sets the length again.
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
    kept.remove_all(HOP_BY_HOP_HEADERS);
    kept.remove(KnownHeaderName::ContentLength);
    kept.remove(KnownHeaderName::Expect);
    kept
}

/// Returns whether a message declares its length more than once.
pub fn has_ambiguous_length(headers: &Headers) -> bool {
    let chunked = headers.has_header(KnownHeaderName::TransferEncoding);
    let lengths = headers
        .get_values(KnownHeaderName::ContentLength)
        .map_or(0, |values| values.len());
    lengths > 1 || (chunked && lengths > 0)
}
