//! Heads of requests: what of them goes on, and what they say of themselves.

use crate::backend_protocol::{DEADLINE, EXPECTED, REQUEST_ID, TENANT};
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderMap, HeaderName, HeaderValue, TE, TRAILER, TRANSFER_ENCODING,
    UPGRADE,
};
use std::time::Duration;

/// The key of a client.
pub const KEY: HeaderName = HeaderName::from_static("x-api-key");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");
const PROXY_AUTHORIZATION: HeaderName = HeaderName::from_static("proxy-authorization");

/// Headers of one connection, those that only this proxy sets, and the key.
fn stays(name: &HeaderName) -> bool {
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
        KEY,
        REQUEST_ID,
        DEADLINE,
        EXPECTED,
        TENANT,
    ]
    .contains(name)
}

/// The headers that go on with a request.
pub fn passed(headers: &HeaderMap) -> HeaderMap {
    let mut passed = HeaderMap::with_capacity(headers.len() + 4);
    // Headers that the connection's own header names stay too.
    let named: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(',').map(|n| n.trim().to_ascii_lowercase()))
        .filter(|name| !name.is_empty() && name != "close" && name != "keep-alive")
        .collect();
    for (name, value) in headers {
        if !stays(name) && !named.iter().any(|n| n == name.as_str()) {
            passed.append(name, value.clone());
        }
    }
    passed
}

/// The only value of a header. One given twice may be read differently by others: it is none.
pub fn single<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    values.next().is_none().then_some(value)
}

/// How long the client waits, by what it says.
pub fn patience(headers: &HeaderMap) -> Option<Duration> {
    let text = single(headers, &DEADLINE)?.to_str().ok()?;
    let millis = text.bytes().all(|b| b.is_ascii_digit()).then(|| text.parse::<u64>().ok())??;
    Some(Duration::from_millis(millis.min(600_000)))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_belongs_to_a_connection_or_to_this_proxy_does_not_go_on() {
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
        let passed = passed(&headers);
        let mut names: Vec<&str> = passed.keys().map(HeaderName::as_str).collect();
        names.sort_unstable();
        assert_eq!(names, ["accept", "cookie"]);
    }

    #[test]
    fn a_deadline_is_digits_given_once() {
        let of = |values: &[&'static str]| {
            let mut headers = HeaderMap::new();
            for value in values {
                headers.append(DEADLINE, HeaderValue::from_static(value));
            }
            patience(&headers)
        };
        assert_eq!(of(&["3000"]), Some(Duration::from_secs(3)));
        assert_eq!(of(&["3000", "1"]), None);
        assert_eq!(of(&["-3"]), None);
        assert_eq!(of(&["+3"]), None);
        assert_eq!(of(&[]), None);
    }
}
