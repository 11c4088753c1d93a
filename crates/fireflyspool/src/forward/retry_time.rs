//! When the caller of a refused request may try again.

use std::time;

use crate::{fleet, ids};

/// Time after which a refused caller may try again if the cause has no known end.
///
/// A suspended backend server is usable again after its next heartbeat, and
/// heartbeats arrive about once a second.
const DEFAULT_RETRY_AFTER: time::Duration = time::Duration::from_millis(300);

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
