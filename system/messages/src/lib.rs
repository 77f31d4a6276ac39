//! What the processes of the system say to each other: `bitcode` values in frames.
//!
//! A frame is its length in four bytes (little end first), not counting these, then the version of the words, then the
//! value. Whoever hears a version or a value that it does not know closes the connection: processes of one deployment are
//! of one build, and a wrong word must not be guessed at.
//!
//! Machines are known by their IPv4 address ([`Host`]): an empty machine at another address is another machine. Lives are
//! told apart by a number drawn at the start of each process.

pub mod feed;
pub mod registry;
pub mod session;
pub mod store;

use bitcode::{Decode, Encode};
use std::fmt;
use std::net::{IpAddr, Ipv4Addr};
use thiserror::Error;

/// The version of the words; raised with every change of one.
pub const PROTOCOL_VERSION: u8 = 6;
/// The longest frame. A whole configuration of ten thousand routes fits; what is longer is no word of ours.
pub const MAX_FRAME_LENGTH: usize = 16 << 20;

/// A machine, by its address.
#[derive(Clone, Copy, Debug, Decode, Encode, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Host(pub u32);

impl Host {
    /// The machine at an address; none if that is not IPv4.
    pub fn from_ip(ip: IpAddr) -> Option<Self> {
        match ip {
            IpAddr::V4(ip) => Some(Self(ip.to_bits())),
            IpAddr::V6(_) => None,
        }
    }

    /// Its address.
    pub fn ip(self) -> IpAddr {
        Ipv4Addr::from_bits(self.0).into()
    }
}

impl fmt::Display for Host {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.ip().fmt(f)
    }
}

/// A frame that cannot be read.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum FrameError {
    /// It is longer than any.
    #[error("a frame of {0} bytes")]
    TooLong(usize),
    /// Its words are of another version.
    #[error("words of version {0}")]
    Version(u8),
    /// It holds no such value.
    #[error("a frame that holds no word")]
    Malformed,
}

/// A value as a frame.
pub fn encode_frame<T: Encode>(value: &T) -> Vec<u8> {
    let body = bitcode::encode(value);
    let mut frame = Vec::with_capacity(body.len() + 5);
    frame.extend_from_slice(&(body.len() as u32 + 1).to_le_bytes());
    frame.push(PROTOCOL_VERSION);
    frame.extend_from_slice(&body);
    frame
}

/// How long the frame that begins here is, without the four bytes that say so.
///
/// # Errors
/// When it is too long.
pub fn frame_length(head: [u8; 4]) -> Result<usize, FrameError> {
    let length = u32::from_le_bytes(head) as usize;
    if length == 0 || length > MAX_FRAME_LENGTH { Err(FrameError::TooLong(length)) } else { Ok(length) }
}

/// The value of a frame, without the four bytes of its length.
///
/// # Errors
/// When there is none in it.
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

/// Spreads the bits of a number.
pub fn mix(mut z: u64) -> u64 {
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

#[cfg(test)]
mod tests;
