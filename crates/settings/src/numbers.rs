//! Deserializers for numbers with bounds. Checking the bounds during deserialization lets errors name the
//! key.

use serde::de::Error as _;
use serde::{Deserialize, Deserializer};

/// Deserializes a finite number that `is_valid` accepts; `requirement` describes the valid range in errors.
fn number<'de, D: Deserializer<'de>>(
    deserializer: D,
    is_valid: fn(f64) -> bool,
    requirement: &str,
) -> Result<f64, D::Error> {
    let value = f64::deserialize(deserializer)?;
    match value.is_finite() && is_valid(value) {
        true => Ok(value),
        false => Err(D::Error::custom(format!("{value} is out of range: it must be {requirement}"))),
    }
}

pub fn not_negative<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    number(deserializer, |value| value >= 0.0, "0 or more")
}

pub fn positive<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    number(deserializer, |value| value > 0.0, "above 0")
}

pub fn fraction<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    number(deserializer, |value| (0.0..=1.0).contains(&value), "from 0 to 1")
}

pub fn positive_fraction<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    number(deserializer, |value| value > 0.0 && value <= 1.0, "above 0 and at most 1")
}

pub fn positive_integer<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u32, D::Error> {
    match u32::deserialize(deserializer)? {
        0 => Err(D::Error::custom("0 is out of range: it must be above 0")),
        number => Ok(number),
    }
}

pub fn one() -> f64 {
    1.0
}

pub fn one_integer() -> u32 {
    1
}

pub fn unlimited_integer() -> u32 {
    u32::MAX
}

pub fn unlimited() -> f64 {
    f64::MAX
}
