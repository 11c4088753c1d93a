//! The time of day.

use std::time;

/// Milliseconds since the Unix epoch; 0 before it.
pub fn wall_millis() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    let millis = since.unwrap_or_default().as_millis();
    u64::try_from(millis).unwrap_or(u64::MAX)
}
