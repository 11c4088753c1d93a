//! Encoding of groups between entry VMs.
//!
//! A group travels as the caller's own request, so the other VM forwards the same method,
//! target, headers and body; one header more describes the group. Times are sent as what is
//! left of them, because clocks of two VMs differ.

use std::time;

use crate::{forward, ids, node};

/// Header that describes a group; a caller's own header of this name is lost when its request
/// is delegated.
pub(super) const GROUP_HEADER: http::HeaderName =
    http::HeaderName::from_static("fireflyspool-group");

/// Limit on the times of a group, far above the timeout of any route; keeps sums of them
/// valid whatever arrives.
const MAX_TIME: time::Duration = time::Duration::from_secs(3_600);

/// Description of a group in the header of its request.
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct GroupWire {
    /// Identifier that the caller gave its request.
    pub(super) id: ids::RequestId,
    route: String,
    objective_us: u64,
    /// Time until the cutoff of the answer to the caller.
    cutoff_us: u64,
    /// Time until the attempts time out.
    deadline_us: u64,
    /// 0 in requests of earlier releases.
    #[serde(default)]
    content: ids::Fingerprint,
    top_k: usize,
    services: Vec<ids::ServiceName>,
}

impl GroupWire {
    /// Describes a group of a request that is sent at `now`.
    pub(super) fn new(group: &forward::Group, id: &str, now: time::Instant) -> Self {
        let left = |at: time::Instant| micros(at.saturating_duration_since(now));
        Self {
            id: id.to_owned(),
            route: group.route.clone(),
            objective_us: micros(group.objective),
            cutoff_us: left(group.cutoff),
            deadline_us: left(group.deadline),
            content: group.content,
            top_k: group.top_k,
            services: group.services.clone(),
        }
    }

    /// Reads the description from the header of a request.
    pub(super) fn from_headers(headers: &http::HeaderMap) -> Option<Self> {
        serde_json::from_slice(headers.get(GROUP_HEADER)?.as_bytes()).ok()
    }

    /// The group, received at `now`.
    pub(super) fn into_group(self, now: time::Instant) -> forward::Group {
        let limited = |us| time::Duration::from_micros(us).min(MAX_TIME);
        forward::Group {
            route: self.route,
            objective: limited(self.objective_us),
            cutoff: now + limited(self.cutoff_us),
            deadline: now + limited(self.deadline_us),
            content: self.content,
            top_k: self.top_k,
            services: self.services,
        }
    }
}

/// Encodes the request for a group; `None` if the description is no valid header value.
pub(super) fn encode_request(
    wire: &GroupWire,
    message: &node::Message,
) -> Option<http::Request<http_body_util::Full<bytes::Bytes>>> {
    let header = serde_json::to_vec(wire).ok()?;
    let header = http::HeaderValue::from_maybe_shared(bytes::Bytes::from(header)).ok()?;
    let mut request = http::Request::builder()
        .method(message.method.clone())
        .uri(message.target.path_and_query()?.clone())
        .body(http_body_util::Full::new(message.body.clone()))
        .ok()?;
    let headers = request.headers_mut();
    *headers = message.headers.clone();
    headers.insert(GROUP_HEADER, header);
    Some(request)
}

fn micros(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
