//! When the caller of a refused request may try again.

use std::time;

use crate::{fleet, ids};

/// Time after which a refused caller may try again if the cause has no known end.
///
/// A suspended backend server is usable again after its next heartbeat, and
/// heartbeats arrive about once a second.
const DEFAULT_RETRY_AFTER: time::Duration = time::Duration::from_millis(300);

/// Typical time from the start of an entry VM until it has a configuration, when the control
/// VMs start at the same time and have to elect a leader first.
const START_TIME: time::Duration = time::Duration::from_millis(800);

/// Time over which the callers that were refused during a start are spread. All at once, they
/// would meet backend servers to which no connection is open yet.
const RETURN_SPREAD: time::Duration = time::Duration::from_millis(400);

/// When the caller of a request may try again that an entry VM without a configuration has
/// refused, `uptime` after its start.
///
/// Callers that return before the VM is ready are refused again, and most return only once.
pub fn retry_after_start(uptime: time::Duration, entropy: u64) -> time::Duration {
    let ready = START_TIME.saturating_sub(uptime);
    let random = (entropy >> 11) as f64 / (1_u64 << 53) as f64;
    ready.max(DEFAULT_RETRY_AFTER) + RETURN_SPREAD.mul_f64(random)
}

/// Time until `required` of the services have a usable backend server, if that is known
/// and before the deadline; a default otherwise.
pub(super) fn retry_after<'a>(
    services: impl IntoIterator<Item = &'a ids::ServiceName>,
    required: usize,
    fleet: &fleet::Fleet,
    deadline: time::Instant,
    now: time::Instant,
) -> time::Duration {
    let services = services.into_iter();
    let usable_at = |service: &ids::ServiceName| fleet.usable_at(service, now);
    let mut times: Vec<_> = services.filter_map(usable_at).collect();
    times.sort_unstable();
    let enough_at = required.checked_sub(1).and_then(|last| times.get(last));
    enough_at
        .filter(|at| now < **at && **at < deadline)
        .map_or(DEFAULT_RETRY_AFTER, |at| at.saturating_duration_since(now))
}
