//! Encoding of groups between entry VMs.
//!
//! A group travels as the caller's own request, so the other VM forwards the same method,
//! target, headers and body; one header more describes the group. The body of the response
//! is a sequence of answers, each with a description and the merged records. Times are sent
//! as what is left of them, because clocks of two VMs differ.

use std::time;

use crate::{forward, ids, node};

/// Header that describes a group. Callers cannot use it: it is removed from what backend
/// servers get.
pub(super) const GROUP_HEADER: http::HeaderName =
    http::HeaderName::from_static("fireflyspool-group");

/// Limit on the times of a group, far above the timeout of any route; keeps sums of them
/// valid whatever arrives.
const MAX_TIME: time::Duration = time::Duration::from_secs(3_600);

/// Length of the two numbers before an answer: those of its description and of its records,
/// in bytes.
const PREFIX_BYTES: usize = 8;

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
    top_k: usize,
    services: Vec<ids::ServiceName>,
}

/// Description of an answer.
#[derive(serde::Serialize, serde::Deserialize)]
struct AnswerWire {
    id: ids::RequestId,
    /// Whether no further answer follows.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    last: bool,
    /// Position in the group and signature of each response.
    answered: Vec<(usize, String)>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    missing: Vec<forward::MissingShard>,
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

/// Encodes an answer to request `id`.
pub(super) fn encode_answer(answer: forward::GroupAnswer, id: &str, last: bool) -> bytes::Bytes {
    let wire = AnswerWire {
        id: id.to_owned(),
        last,
        answered: answer.answered,
        missing: answer.missing,
    };
    // Strings and numbers can always be encoded.
    let description = serde_json::to_vec(&wire).unwrap_or_default();
    let lengths = [description.len(), answer.body.len()];
    let mut encoded = Vec::with_capacity(PREFIX_BYTES + description.len() + answer.body.len());
    for length in lengths {
        let length = u32::try_from(length).unwrap_or(u32::MAX);
        encoded.extend_from_slice(&length.to_be_bytes());
    }
    encoded.extend_from_slice(&description);
    encoded.extend_from_slice(&answer.body);
    encoded.into()
}

/// Removes the first answer from the bytes that have arrived, if it is whole.
pub(super) fn split_answer(received: &mut bytes::BytesMut) -> Option<(bytes::Bytes, bytes::Bytes)> {
    let (prefix, _) = received.split_first_chunk::<PREFIX_BYTES>()?;
    let length = |bytes: [u8; 4]| usize::try_from(u32::from_be_bytes(bytes)).ok();
    let [a, b, c, d, e, f, g, h] = *prefix;
    let (description, body) = (length([a, b, c, d])?, length([e, f, g, h])?);
    let whole = PREFIX_BYTES.checked_add(description)?.checked_add(body)?;
    if received.len() < whole {
        return None;
    }
    let mut answer = received.split_to(whole).freeze();
    let _ = answer.split_to(PREFIX_BYTES);
    let description = answer.split_to(description);
    Some((description, answer))
}

/// Decodes an answer to a group of `shards` shards, and whether it is the last one; `None` if
/// it is not one to request `id`, or contradicts itself.
pub(super) fn decode_answer(
    (description, body): (&[u8], bytes::Bytes),
    (id, shards): (&str, usize),
) -> Option<(forward::GroupAnswer, bool)> {
    let wire: AnswerWire = serde_json::from_slice(description).ok()?;
    let answered = wire.answered.iter().map(|(position, _)| *position);
    let missing = wire.missing.iter().map(|shard| shard.position);
    let mut positions: Vec<_> = answered.chain(missing).collect();
    positions.sort_unstable();
    let count = positions.len();
    positions.dedup();
    let is_valid = positions.len() == count
        && positions.last().is_none_or(|position| *position < shards)
        && body.len() % forward::RECORD_BYTES == 0
        && wire.id == id;
    let answer = forward::GroupAnswer {
        answered: wire.answered,
        missing: wire.missing,
        body,
    };
    is_valid.then_some((answer, wire.last))
}

fn micros(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
