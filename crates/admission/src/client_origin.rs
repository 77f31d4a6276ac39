//! The client address of a connection or request as a trusted proxy reports it: PROXY protocol versions 1 and
//! 2 (HAProxy's specification, 2020/03/05), `Forwarded` (RFC 7239) and `X-Forwarded-For`.

use crate::networks::Networks;
use forwarded_header_value::{ForwardedHeaderValue, Identifier};
use ppp::{HeaderResult, PartialResult, v1, v2};
use std::net::IpAddr;

/// The longest accepted PROXY header. Version 1 ends within 107 bytes; version 2 could carry any number of
/// fields.
pub const MAX_HEADER_LENGTH: usize = 2048;
/// The longest line of version 1, including its line end.
const MAX_LINE_LENGTH: usize = 107;
/// The prefix of a version 1 header.
const V1_PREFIX: &[u8] = b"PROXY ";
/// Longer forwarding chains are rejected: no real request passes more proxies.
const MAX_STEPS: usize = 32;

/// The result of parsing the first bytes of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyHeader {
    /// More bytes are needed.
    Partial,
    /// A complete header.
    Complete {
        /// Its length in bytes; the client's data follow it.
        length: usize,
        /// The client; none if the proxy connects for itself, as in its health checks.
        client: Option<IpAddr>,
    },
    /// No header, or a malformed one.
    Invalid,
}

/// Parses the first bytes of a connection from a proxy.
pub fn parse_proxy_header(bytes: &[u8]) -> ProxyHeader {
    // The library treats a line that is cut after its third field as malformed.
    let incomplete_line = (V1_PREFIX.starts_with(bytes) || bytes.starts_with(V1_PREFIX))
        && !bytes.windows(2).any(|two| two == b"\r\n");
    if incomplete_line {
        return if bytes.len() >= MAX_LINE_LENGTH { ProxyHeader::Invalid } else { ProxyHeader::Partial };
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
                // A proxy's own connection counts for the connection's own address.
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

/// A forwarding header that cannot be parsed or names no usable address.
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
            if all.len() > MAX_STEPS {
                return Err(MalformedOrigin);
            }
        }
    }
    Ok(all)
}

/// The client according to the `Forwarded` values, in the order received: the last step that is not itself a
/// trusted proxy. None if there is no step: the proxy then sends the request for itself.
///
/// # Errors
/// If the values cannot be parsed, or the step before the last proxy is not an address.
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
        // Hidden or unknown: a guess would let the sender choose its identity.
        let address = step.ok_or(MalformedOrigin)?.to_canonical();
        last = Some(address);
        if networks.proxy(address).is_none() {
            break;
        }
    }
    Ok(last)
}
