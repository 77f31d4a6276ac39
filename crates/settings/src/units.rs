//! Quantities in TOML files: always a text with its unit, so that seconds are never taken for milliseconds.

use serde::de::{self, Deserialize, Deserializer, SeqAccess, Visitor};
use std::fmt;
use std::marker::PhantomData;

/// A kind of quantity: how it is written, and the unit in which the program holds it.
pub trait Unit {
    /// What an error says was expected.
    const EXPECTED: &'static str;
    /// Suffixes and what one of each is in the program's unit.
    const SUFFIXES: &'static [(&'static str, f64)];
}

/// A span of time, held in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Time;
/// A part of a whole, held as a fraction of 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share;
/// How often something happens, held as a number a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate;

impl Unit for Time {
    const EXPECTED: &'static str = "a time with its unit, such as \"250ms\", \"4s\" or \"1min\"";
    const SUFFIXES: &'static [(&'static str, f64)] = &[("ms", 1.0), ("min", 60_000.0), ("s", 1000.0)];
}

impl Unit for Share {
    const EXPECTED: &'static str = "a share in percent, such as \"43%\"";
    const SUFFIXES: &'static [(&'static str, f64)] = &[("%", 0.01)];
}

impl Unit for Rate {
    const EXPECTED: &'static str = "a rate a second, such as \"120/s\"";
    const SUFFIXES: &'static [(&'static str, f64)] = &[("/s", 1.0)];
}

fn parse<U: Unit>(text: &str) -> Option<f64> {
    let (suffix, factor) = U::SUFFIXES.iter().find(|(suffix, _)| text.ends_with(suffix))?;
    let digits = text.strip_suffix(suffix)?.trim_end();
    let plain = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    digits.parse::<f64>().ok().filter(|_| plain).map(|value| value * factor)
}

/// One quantity, never negative and always finite.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quantity<U>(pub f64, PhantomData<U>);

impl<U> Quantity<U> {
    /// A quantity in the program's unit.
    pub const fn of(value: f64) -> Self {
        Self(value, PhantomData)
    }
}

struct QuantityVisitor<U>(PhantomData<U>);

impl<U: Unit> Visitor<'_> for QuantityVisitor<U> {
    type Value = Quantity<U>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(U::EXPECTED)
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Self::Value, E> {
        parse::<U>(text).map(Quantity::of).ok_or_else(|| E::invalid_value(de::Unexpected::Str(text), &self))
    }
}

impl<'de, U: Unit> Deserialize<'de> for Quantity<U> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_str(QuantityVisitor(PhantomData))
    }
}

/// A range from which one value is drawn; written as one value or as `[low, high]`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Range<U> {
    /// The least.
    pub low: f64,
    /// The most.
    pub high: f64,
    unit: PhantomData<U>,
}

impl<U> Range<U> {
    /// A range in the program's unit.
    pub const fn of(low: f64, high: f64) -> Self {
        Self { low, high, unit: PhantomData }
    }

    /// The value at a part of the way, from 0 to 1.
    pub fn at(&self, part: f64) -> f64 {
        self.low + (self.high - self.low) * part
    }
}

struct RangeVisitor<U>(PhantomData<U>);

impl<'de, U: Unit> Visitor<'de> for RangeVisitor<U> {
    type Value = Range<U>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}, or a range [low, high] of two", U::EXPECTED)
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Self::Value, E> {
        let value = QuantityVisitor::<U>(PhantomData).visit_str::<E>(text)?.0;
        Ok(Range::of(value, value))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
        let low: Quantity<U> = seq.next_element()?.ok_or_else(|| de::Error::invalid_length(0, &self))?;
        let high: Quantity<U> = seq.next_element()?.ok_or_else(|| de::Error::invalid_length(1, &self))?;
        if seq.next_element::<Quantity<U>>()?.is_some() {
            return Err(de::Error::invalid_length(3, &self));
        }
        if low.0 > high.0 {
            return Err(de::Error::custom("the low end of the range is above its high end"));
        }
        Ok(Range::of(low.0, high.0))
    }
}

impl<'de, U: Unit> Deserialize<'de> for Range<U> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_any(RangeVisitor(PhantomData))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn quantities_need_their_unit_and_nothing_else() {
        assert_eq!(parse::<Time>("250ms"), Some(250.0));
        assert_eq!(parse::<Time>("1.5 s"), Some(1500.0));
        assert_eq!(parse::<Time>("2min"), Some(120_000.0));
        assert_eq!(parse::<Rate>("120/s"), Some(120.0));
        for bad in ["250", "", "s", "-1s", "1e3s", "nan s", "infs", "4 sec", "4s "] {
            assert_eq!(parse::<Time>(bad), None, "{bad:?}");
        }
        assert_eq!(parse::<Share>("0.43"), None);
        assert!((parse::<Share>("43%").unwrap_or(0.0) - 0.43).abs() < 1e-12);
    }
}
