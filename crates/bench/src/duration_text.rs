//! Durations written with their unit, such as `20ms`, in YAML and JSON.

use std::time;

use serde::{Deserialize as _, de};

/// Reads a duration with its unit.
///
/// # Errors
///
/// Returns the deserializer's error if the text is no duration with a unit.
pub fn deserialize<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<time::Duration, D::Error> {
    let text = String::deserialize(deserializer)?;
    humantime::parse_duration(&text).map_err(de::Error::custom)
}

/// Writes a duration with its unit.
///
/// # Errors
///
/// Returns the serializer's error.
pub fn serialize<S: serde::Serializer>(
    duration: &time::Duration,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_str(&humantime::format_duration(*duration))
}
