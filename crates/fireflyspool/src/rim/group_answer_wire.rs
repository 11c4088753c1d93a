//! Encoding of the answers to a group.
//!
//! The body of a response is a sequence of answers, each with a description and the merged
//! records.

use crate::{forward, ids};

/// Length of the two numbers before an answer: those of its description and of its records,
/// in bytes.
const PREFIX_BYTES: usize = 8;

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

/// Encodes an answer to request `id`.
pub(super) fn encode(answer: forward::GroupAnswer, id: &str, last: bool) -> bytes::Bytes {
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
pub(super) fn split_first(received: &mut bytes::BytesMut) -> Option<(bytes::Bytes, bytes::Bytes)> {
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

/// Decodes an answer to a group of `shards` shards with up to `top_k` records, and whether it is
/// the last one; `None` if it is not one to request `id`, or contradicts itself.
pub(super) fn decode(
    (description, body): (&[u8], bytes::Bytes),
    id: &str,
    (shards, top_k): (usize, usize),
) -> Option<(forward::GroupAnswer, bool)> {
    let wire: AnswerWire = serde_json::from_slice(description).ok()?;
    let answer = forward::GroupAnswer {
        answered: wire.answered,
        missing: wire.missing,
        body,
    };
    let is_valid = wire.id == id && answer.is_consistent(shards, top_k);
    is_valid.then_some((answer, wire.last))
}
