//! Paths as they are routed and forwarded: settled once, the same way for both.
//!
//! Percent-encoded unreserved characters are decoded and the hexadecimal digits of all others written large. What servers are known
//! to read in more than one way is refused and not guessed: empty and dot segments, an encoded slash or backslash,
//! control characters, bytes that are not UTF-8, a percent sign without its two digits.

use std::fmt;

/// Why a path is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unclear {
    /// It does not begin with a slash.
    NoSlash,
    /// Two slashes in a row.
    EmptySegment,
    /// A segment `.` or `..`, plain or encoded.
    DotSegment,
    /// An encoded slash or backslash, or a backslash.
    HiddenSlash,
    /// A percent sign without two hexadecimal digits.
    BadEncoding,
    /// A control character, plain or encoded.
    Control,
    /// Encoded bytes that are not UTF-8.
    NotUtf8,
}

impl fmt::Display for Unclear {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoSlash => "the path does not begin with a slash",
            Self::EmptySegment => "the path has an empty segment (//)",
            Self::DotSegment => "the path has a segment . or ..",
            Self::HiddenSlash => "the path has a backslash or an encoded slash",
            Self::BadEncoding => "the path has a percent sign without two hexadecimal digits",
            Self::Control => "the path has a control character",
            Self::NotUtf8 => "the path has encoded bytes that are not UTF-8",
        })
    }
}

impl std::error::Error for Unclear {}

const fn is_unreserved(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_' | b'~')
}

/// The one way in which a path is written. A slash at the end stays: it tells two paths apart.
///
/// # Errors
/// When the path could be read in more than one way.
pub fn settle(path: &str) -> Result<String, Unclear> {
    if !path.starts_with('/') {
        return Err(Unclear::NoSlash);
    }
    let mut out = String::with_capacity(path.len());
    // All bytes as they are meant, to see whether they make up a text.
    let mut meant = Vec::with_capacity(path.len());
    let mut bytes = path.bytes();
    while let Some(byte) = bytes.next() {
        let encoded = byte == b'%';
        let byte = if encoded {
            let digit = |b: Option<u8>| b.and_then(|b| char::from(b).to_digit(16));
            match (digit(bytes.next()), digit(bytes.next())) {
                (Some(high), Some(low)) => (high * 16 + low) as u8,
                _ => return Err(Unclear::BadEncoding),
            }
        } else {
            byte
        };
        match byte {
            b'\\' => return Err(Unclear::HiddenSlash),
            b'/' if encoded => return Err(Unclear::HiddenSlash),
            0..=0x1f | 0x7f => return Err(Unclear::Control),
            _ => {}
        }
        meant.push(byte);
        if is_unreserved(byte) || !encoded && byte.is_ascii() {
            out.push(char::from(byte));
        } else {
            out.push_str(&format!("%{byte:02X}"));
        }
    }
    if std::str::from_utf8(&meant).is_err() {
        return Err(Unclear::NotUtf8);
    }
    let segments: Vec<&str> = out[1..].split('/').collect();
    if segments.iter().rev().skip(1).any(|s| s.is_empty()) {
        return Err(Unclear::EmptySegment);
    }
    if segments.iter().any(|s| matches!(*s, "." | "..")) {
        return Err(Unclear::DotSegment);
    }
    Ok(out)
}
