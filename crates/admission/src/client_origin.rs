//! Whose a connection or a request is, by the word of a proxy that is believed: the PROXY protocol, versions 1 and 2
//! (HAProxy's specification, 2020/03/05), `Forwarded` (RFC 7239) and `X-Forwarded-For`.

use crate::networks::Networks;
use forwarded_header_value::{ForwardedHeaderValue, Identifier};
use ppp::{HeaderResult, PartialResult, v1, v2};
use std::net::IpAddr;

/// The longest header that is read: version 1 ends within 107 bytes, version 2 may carry more fields than anyone needs.
pub const MAX_HEADER_LENGTH: usize = 2048;
/// A line of version 1, with its end.
const LONGEST_LINE: usize = 107;
/// What one begins with.
const V1: &[u8] = b"PROXY ";
/// More steps than this are nobody's real way here.
const MOST_STEPS: usize = 32;

/// What a connection begins with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyHeader {
    /// More bytes are needed.
    Partial,
    /// A whole header.
    Complete {
        /// Its length in bytes: the client's own begin behind it.
        length: usize,
        /// The client; none where the proxy speaks for itself, as in its health checks.
        client: Option<IpAddr>,
    },
    /// Not a header, or a malformed one.
    Invalid,
}

/// Reads the first bytes of a connection from a proxy.
pub fn parse_proxy_header(bytes: &[u8]) -> ProxyHeader {
    // The library takes a line cut behind its third field for a malformed one.
    let open_line =
        (V1.starts_with(bytes) || bytes.starts_with(V1)) && !bytes.windows(2).any(|two| two == b"\r\n");
    if open_line {
        return if bytes.len() >= LONGEST_LINE { ProxyHeader::Invalid } else { ProxyHeader::Partial };
    }
    let result = HeaderResult::parse(bytes);
    if result.is_incomplete() {
        return if bytes.len() >= MAX_HEADER_LENGTH { ProxyHeader::Invalid } else { ProxyHeader::Partial };
    }
    match result {
        HeaderResult::V1(Ok(header)) => {
            let client = match header.addresses {
                v1::Addresses::Tcp4(a) => Some(a.source_address.into()),
                v1::Addresses::Tcp6(a) => Some(a.source_address.into()),
                v1::Addresses::Unknown => None,
            };
            ProxyHeader::Complete { length: header.header.len(), client }
        }
        HeaderResult::V2(Ok(header)) => {
            let client = match (header.command, header.addresses) {
                // What the proxy does for itself is to be taken by the connection's own address.
                (v2::Command::Local, _) => None,
                (v2::Command::Proxy, v2::Addresses::IPv4(a)) => Some(a.source_address.into()),
                (v2::Command::Proxy, v2::Addresses::IPv6(a)) => Some(a.source_address.into()),
                (v2::Command::Proxy, _) => None,
            };
            if header.len() > MAX_HEADER_LENGTH {
                return ProxyHeader::Invalid;
            }
            ProxyHeader::Complete { length: header.len(), client }
        }
        _ => ProxyHeader::Invalid,
    }
}

/// What is wrong with a request's word on where it comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedOrigin;

fn steps(
    values: &[&str], header: fn(&str) -> Option<ForwardedHeaderValue>,
) -> Result<Vec<Option<IpAddr>>, MalformedOrigin> {
    let mut all = Vec::new();
    for value in values {
        let parsed = header(value).ok_or(MalformedOrigin)?;
        for step in parsed {
            all.push(match step.forwarded_for {
                Some(Identifier::SocketAddr(at)) => Some(at.ip()),
                Some(Identifier::IpAddr(at)) => Some(at),
                _ => None,
            });
            if all.len() > MOST_STEPS {
                return Err(MalformedOrigin);
            }
        }
    }
    Ok(all)
}

/// The client that the values of `Forwarded`, in the order in which they came, name: from the last step back, those that are
/// proxies themselves are passed over. None where they name nobody: then the proxy speaks for itself.
///
/// # Errors
/// When they cannot be read, or the step before the last proxy is no address.
pub fn from_forwarded(values: &[&str], networks: &Networks) -> Result<Option<IpAddr>, MalformedOrigin> {
    client(steps(values, |v| ForwardedHeaderValue::from_forwarded(v).ok())?, networks)
}

/// The same for `X-Forwarded-For`.
///
/// # Errors
/// As for [`from_forwarded`].
pub fn from_x_forwarded_for(values: &[&str], networks: &Networks) -> Result<Option<IpAddr>, MalformedOrigin> {
    client(steps(values, |v| ForwardedHeaderValue::from_x_forwarded_for(v).ok())?, networks)
}

fn client(steps: Vec<Option<IpAddr>>, networks: &Networks) -> Result<Option<IpAddr>, MalformedOrigin> {
    let mut last = None;
    for step in steps.into_iter().rev() {
        // Hidden or unknown: to guess would be to let it choose its name.
        let address = step.ok_or(MalformedOrigin)?.to_canonical();
        last = Some(address);
        if networks.proxy(address).is_none() {
            break;
        }
    }
    Ok(last)
}
