//! Fingerprint of a request's content.

use crate::ids;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hash of a service and the content for it (64-bit FNV-1a).
///
/// It must be the same on every entry VM and for every resend, so it depends
/// neither on the request id nor on a process.
pub fn fingerprint(service: &str, content: &str) -> ids::Fingerprint {
    // The zero byte separates the parts: no name contains it.
    let bytes = service.bytes().chain([0]).chain(content.bytes());
    bytes.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}
