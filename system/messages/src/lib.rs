//! Messages between the processes of the system: `bitcode` values in frames.
//!
//! A frame consists of a four-byte little-endian length, which does not count itself, the protocol version
//! and the value. A receiver that does not know the version or cannot decode the value closes the connection:
//! all processes of a deployment are of one build, and a malformed message must not be guessed at.
//!
//! Machines are identified by their IPv4 address ([`Host`]): an empty machine at another address is another
//! machine. Incarnations of a process are distinguished by a number drawn at its start.

#![cfg_attr(not(test), warn(clippy::unwrap_used, clippy::expect_used, clippy::panic))]

pub mod feed;
pub mod registry;
pub mod session;
pub mod store;

use bitcode::{Decode, Encode};
use std::fmt;
use std::net::{IpAddr, Ipv4Addr};
use thiserror::Error;

/// The version of the protocol; raised with every change of a message.
pub const PROTOCOL_VERSION: u8 = 6;
/// The longest frame, in bytes. A full configuration of ten thousand routes fits; anything longer is not a
/// valid frame.
pub const MAX_FRAME_LENGTH: usize = 16 << 20;

/// A machine, identified by its address.
#[derive(Clone, Copy, Debug, Decode, Encode, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Host(pub u32);

impl Host {
    /// The machine at an address; none if the address is not IPv4.
    pub fn from_ip(ip: IpAddr) -> Option<Self> {
        match ip {
            IpAddr::V4(ip) => Some(Self(ip.to_bits())),
            IpAddr::V6(_) => None,
        }
    }

    /// The address of the machine.
    pub fn ip(self) -> IpAddr {
        Ipv4Addr::from_bits(self.0).into()
    }
}

impl fmt::Display for Host {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.ip().fmt(f)
    }
}

/// Why a frame cannot be decoded.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum FrameError {
    /// Its length is zero or exceeds [`MAX_FRAME_LENGTH`].
    #[error("frame length of {0} bytes is out of range")]
    TooLong(usize),
    /// It has another protocol version.
    #[error("unsupported protocol version {0}")]
    Version(u8),
    /// It does not hold a value of the expected type.
    #[error("malformed message")]
    Malformed,
}

/// Encodes a value as a frame.
pub fn encode_frame<T: Encode>(value: &T) -> Vec<u8> {
    let body = bitcode::encode(value);
    let mut frame = Vec::with_capacity(body.len() + 5);
    frame.extend_from_slice(&(body.len() as u32 + 1).to_le_bytes());
    frame.push(PROTOCOL_VERSION);
    frame.extend_from_slice(&body);
    frame
}

/// Decodes the length of a frame from its first four bytes. The length does not count these.
///
/// # Errors
/// When the length is zero or exceeds [`MAX_FRAME_LENGTH`].
pub fn frame_length(head: [u8; 4]) -> Result<usize, FrameError> {
    let length = u32::from_le_bytes(head) as usize;
    if length == 0 || length > MAX_FRAME_LENGTH { Err(FrameError::TooLong(length)) } else { Ok(length) }
}

/// Decodes the value of a frame that is given without its four length bytes.
///
/// # Errors
/// When the protocol version is another one or the value cannot be decoded.
pub fn decode_frame<T: for<'a> Decode<'a>>(frame: &[u8]) -> Result<T, FrameError> {
    match frame.split_first() {
        Some((&PROTOCOL_VERSION, body)) => bitcode::decode(body).map_err(|_| FrameError::Malformed),
        Some((&version, _)) => Err(FrameError::Version(version)),
        None => Err(FrameError::Malformed),
    }
}

/// A hash that is the same on every machine and in every build (FNV-1a with a final mix).
pub fn hash(bytes: &[u8]) -> u64 {
    let mixed = bytes
        .iter()
        .fold(0xcbf2_9ce4_8422_2325, |h: u64, b| (h ^ u64::from(*b)).wrapping_mul(0x100_0000_01b3));
    mix(mixed)
}

/// Mixes the bits of a number, so that similar inputs give unrelated outputs.
pub fn mix(mut z: u64) -> u64 {
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

#[cfg(test)]
mod tests;
