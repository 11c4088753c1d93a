//! Claim of a non-idempotent request.

use crate::ids;

/// Exclusive right to send a non-idempotent request once.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Claim {
    /// Id of the request, `<unix-ms>-<text>`.
    pub request: ids::RequestId,
    /// Random number of the claimant, which sends the request once if the claim is granted.
    ///
    /// A repeated claim of one claimant is granted again: the first reply may
    /// have been lost, and nothing is sent before a reply.
    pub claimant: u64,
    /// Hash of the content of the request.
    pub digest: ids::Fingerprint,
    /// Time at the leader when it proposed the entry, in milliseconds since the Unix epoch.
    ///
    /// The leader overwrites what it received: this is the time base for pruning.
    pub issued: u64,
}

impl Claim {
    /// Issue time that a request id carries, in milliseconds since the Unix epoch.
    ///
    /// ```
    /// use fireflyspool::state;
    ///
    /// assert_eq!(state::Claim::issue_time("1700000000000-desk7"), Some(1_700_000_000_000));
    /// assert_eq!(state::Claim::issue_time("desk7"), None);
    /// ```
    pub fn issue_time(request: &str) -> Option<u64> {
        let (time, text) = request.split_once('-')?;
        // A sign or a leading zero would give one instant several spellings.
        let plain = time.bytes().all(|byte| byte.is_ascii_digit()) && !time.starts_with('0');
        if !plain || text.is_empty() {
            return None;
        }
        time.parse().ok()
    }
}
