//! What a request costs by its operation's rule, and why it does not fit.

use crate::rule::{Place, Rule};
use std::fmt;

/// A request that does not fit its operation: to be answered 400.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Misfit {
    /// A parameter that tells the cost is missing.
    Missing(String),
    /// It comes more than once, and others may read another one.
    Twice(String),
    /// It is no whole number within its bounds.
    Outside(String, u32, u32),
}

impl fmt::Display for Misfit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing(name) => write!(f, "the parameter {name} is missing"),
            Self::Twice(name) => write!(f, "the parameter {name} comes more than once"),
            Self::Outside(name, least, most) => {
                write!(f, "the parameter {name} is no whole number from {least} to {most}")
            }
        }
    }
}

impl std::error::Error for Misfit {}

/// A name or value of a query as it is meant; none if it is no text.
fn decoded(text: &str) -> Option<String> {
    let mut out = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        out.push(match byte {
            b'+' => b' ',
            b'%' => {
                let mut digit = || char::from(bytes.next()?).to_digit(16);
                (digit()? * 16 + digit()?) as u8
            }
            byte => byte,
        });
    }
    String::from_utf8(out).ok()
}

/// The units of a request: the greatest of the rule's constant and its parameters' values, and one at least.
///
/// `path` holds the matched parameters, `query` what is behind the question mark, and `header` gives all values of a header by
/// its name in lower case.
///
/// # Errors
/// When a parameter is missing, comes twice, or is outside of its bounds. Names in a query are compared as they are meant,
/// so that no other way of writing one hides a value.
pub fn cost(
    rule: &Rule, path: &[(String, String)], query: &str, header: impl Fn(&str) -> Vec<String>,
) -> Result<u32, Misfit> {
    let mut units = rule.units.least.max(1);
    for (parameter, (least, most)) in &rule.units.by {
        let name = &parameter.name;
        let values = match parameter.place {
            Place::Path => path.iter().filter(|(n, _)| n == name).map(|(_, v)| v.clone()).collect(),
            Place::Header => header(name),
            Place::Query => {
                let pairs = query.split('&').map(|pair| pair.split_once('=').unwrap_or((pair, "")));
                let ours = pairs.filter(|(n, _)| decoded(n).as_ref() == Some(name));
                ours.map(|(_, value)| decoded(value).unwrap_or_default()).collect()
            }
        };
        let value = match values.as_slice() {
            [] => return Err(Misfit::Missing(name.clone())),
            [value] => value,
            _ => return Err(Misfit::Twice(name.clone())),
        };
        let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
        let number = value.parse::<u32>().ok().filter(|n| digits && (least..=most).contains(&n));
        units = units.max(number.ok_or(Misfit::Outside(name.clone(), *least, *most))?);
    }
    Ok(units)
}
