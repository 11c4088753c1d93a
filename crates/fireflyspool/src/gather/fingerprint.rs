//! Fingerprint of the content of a request.

use crate::ids;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hash (64-bit FNV-1a) of a service name and the content that it is to run.
///
/// It must be the same on every entry VM and for every resend, so it depends
/// neither on the request id nor on the process.
pub fn fingerprint(service: &str, content: &str) -> ids::Fingerprint {
    // A zero byte separates the parts, because no service name contains one.
    let bytes = service.bytes().chain([0]).chain(content.bytes());
    bytes.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}
