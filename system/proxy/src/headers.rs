//! Request headers: which of them are forwarded, and the values that the proxy reads.

use crate::backend_protocol::{DEADLINE, EXPECTED_INSTANCE, REQUEST_ID, TENANT};
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderMap, HeaderName, HeaderValue, TE, TRAILER, TRANSFER_ENCODING,
    UPGRADE,
};
use std::time::Duration;

/// The API key of a client.
pub const API_KEY: HeaderName = HeaderName::from_static("x-api-key");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");
const PROXY_AUTHORIZATION: HeaderName = HeaderName::from_static("proxy-authorization");

/// Whether a header is not forwarded: hop-by-hop headers, headers that only this proxy sets, and the API key.
fn is_not_forwarded(name: &HeaderName) -> bool {
    [
        CONNECTION,
        CONTENT_LENGTH,
        EXPECT,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
        KEEP_ALIVE,
        PROXY_CONNECTION,
        PROXY_AUTHORIZATION,
        API_KEY,
        REQUEST_ID,
        DEADLINE,
        EXPECTED_INSTANCE,
        TENANT,
    ]
    .contains(name)
}

/// The headers that are forwarded with a request.
pub fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::with_capacity(headers.len() + 4);
    // Headers that the Connection header lists are hop-by-hop too.
    let hop_by_hop: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(',').map(|n| n.trim().to_ascii_lowercase()))
        .filter(|name| !name.is_empty() && name != "close" && name != "keep-alive")
        .collect();
    for (name, value) in headers {
        if !is_not_forwarded(name) && !hop_by_hop.iter().any(|n| n == name.as_str()) {
            forwarded.append(name, value.clone());
        }
    }
    forwarded
}

/// The value of a header that is given exactly once. Other programs may read a repeated header differently,
/// so it counts as none.
pub fn single<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    values.next().is_none().then_some(value)
}

/// How long the client waits, by its deadline header.
pub fn client_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = single(headers, &DEADLINE)?.to_str().ok()?;
    let millis = text.bytes().all(|b| b.is_ascii_digit()).then(|| text.parse::<u64>().ok())??;
    Some(Duration::from_millis(millis.min(600_000)))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn hop_by_hop_headers_and_those_of_the_proxy_are_not_forwarded() {
        let mut headers = HeaderMap::new();
        for (name, value) in [
            ("accept", "a"),
            ("x-api-key", "k"),
            ("fennelscale-tenant-name", "forged"),
            ("fennelscale-expected-instance", "forged"),
            ("connection", "close, X-Mine"),
            ("x-mine", "1"),
            ("transfer-encoding", "chunked"),
            ("cookie", "c"),
        ] {
            headers.append(HeaderName::from_static(name), HeaderValue::from_static(value));
        }
        let forwarded = forwarded_headers(&headers);
        let mut names: Vec<&str> = forwarded.keys().map(HeaderName::as_str).collect();
        names.sort_unstable();
        assert_eq!(names, ["accept", "cookie"]);
    }

    #[test]
    fn a_deadline_is_digits_given_once() {
        let parse = |values: &[&'static str]| {
            let mut headers = HeaderMap::new();
            for value in values {
                headers.append(DEADLINE, HeaderValue::from_static(value));
            }
            client_timeout(&headers)
        };
        assert_eq!(parse(&["3000"]), Some(Duration::from_secs(3)));
        assert_eq!(parse(&["3000", "1"]), None);
        assert_eq!(parse(&["-3"]), None);
        assert_eq!(parse(&["+3"]), None);
        assert_eq!(parse(&[]), None);
    }
}
