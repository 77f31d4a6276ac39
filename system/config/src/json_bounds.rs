//! Bounds on a JSON text, checked before it is parsed: the parser descends once for each level, and keeps far more for
//! each value than a short one has bytes.

use crate::InvalidConfig;

/// Maximum number of levels. Configurations need eight.
const MAX_DEPTH: usize = 64;
/// Maximum number of values. A call with as many items as it may have needs less than half of them.
const MAX_VALUES: usize = 1_000_000;

/// Checks the number of levels and of values in a text that need not be well-formed.
///
/// # Errors
/// If there are too many.
pub fn check(text: &str) -> Result<(), InvalidConfig> {
    let (mut depth, mut values) = (0_usize, 1_usize);
    let (mut in_string, mut is_escaped) = (false, false);
    for byte in text.bytes() {
        if in_string {
            in_string = is_escaped || byte != b'"';
            is_escaped = !is_escaped && byte == b'\\';
            continue;
        }
        match byte {
            b'"' => in_string = true,
            b'[' | b'{' => {
                depth += 1;
                values += 1;
            }
            b']' | b'}' => depth = depth.saturating_sub(1),
            b',' => values += 1,
            _ => {}
        }
        if depth > MAX_DEPTH {
            return Err(InvalidConfig(format!("values inside values, at most {MAX_DEPTH} deep")));
        }
        if values > MAX_VALUES {
            return Err(InvalidConfig(format!("more than {MAX_VALUES} values: send them in parts")));
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn levels_and_values_are_counted_outside_of_strings() {
        let nested = |depth: usize| format!("{}{}", "[".repeat(depth), "]".repeat(depth));
        assert!(check(&nested(MAX_DEPTH)).is_ok());
        assert!(check(&nested(MAX_DEPTH + 1)).is_err());
        assert!(check(&"[]".repeat(MAX_DEPTH + 1)).is_ok());
        assert!(check(&format!("\"{}\"", "[".repeat(MAX_DEPTH + 1))).is_ok());
        assert!(check(&format!(r#""\"{}""#, "[".repeat(MAX_DEPTH + 1))).is_ok());
        assert!(check(&format!(r#""\\"{}"#, "[".repeat(MAX_DEPTH + 1))).is_err());
        assert!(check(&",".repeat(MAX_VALUES - 1)).is_ok());
        assert!(check(&",".repeat(MAX_VALUES)).is_err());
    }
}
