//! Wall-clock time.

use std::time;

/// Milliseconds since the Unix epoch; 0 if the clock is set before it.
pub fn wall_millis() -> u64 {
    let elapsed = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    let millis = elapsed.unwrap_or_default().as_millis();
    u64::try_from(millis).unwrap_or(u64::MAX)
}
