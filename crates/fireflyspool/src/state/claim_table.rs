//! Retained claims.

use std::time;

use crate::{ids, sorted, state};

/// Time after its issue during which a request id can be claimed.
pub const CLAIM_RETENTION: time::Duration = time::Duration::from_secs(24 * 3600);

/// How far the issue time of an id may lie ahead of the leader's clock.
///
/// Ids from the far future would be retained until their time has passed.
pub const MAX_CLAIM_SKEW: time::Duration = time::Duration::from_secs(300);

/// Most claims retained; about 20 MB of memory on every control VM.
const MAX_CLAIMS: usize = 100_000;

/// Claims evicted at once when there are too many, because an eviction moves the whole vector.
const EVICTION_BATCH: usize = 1_024;

/// Age beyond [`CLAIM_RETENTION`] at which claims are evicted, so that each eviction removes many.
const EVICTION_SLACK_MS: u64 = 60_000;

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
struct Record {
    claimant: u64,
    digest: ids::Fingerprint,
    outcome: Option<String>,
}

/// Claims by issue time and id.
///
/// `floor` only rises, and an id issued at or below it is refused before any
/// look-up. Only claims at or below it are evicted, so an evicted id never runs
/// again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ClaimTable {
    /// Latest time of a leader in an applied entry, in milliseconds since the Unix epoch.
    clock: u64,
    /// Issue time up to which ids are refused, in milliseconds since the Unix epoch.
    floor: u64,
    records: sorted::SortedMap<(u64, ids::RequestId), Record>,
}

impl ClaimTable {
    /// Number of retained claims.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no claim is retained.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Advances the clock to the leader's time in an entry; an earlier time is ignored.
    pub(super) fn advance_clock(&mut self, stamped: u64) {
        self.clock = self.clock.max(stamped);
        let retained = millis(CLAIM_RETENTION);
        self.floor = self.floor.max(self.clock.saturating_sub(retained));
        let first = self.records.first().map(|((issued, _), _)| *issued);
        if first.is_some_and(|issued| issued.saturating_add(EVICTION_SLACK_MS) <= self.floor) {
            self.evict_below_floor();
        }
    }

    /// Decides on a claim and records it if granted.
    pub(super) fn claim(&mut self, claim: &state::Claim) -> state::ClaimReply {
        self.advance_clock(claim.issued);
        let Some(issued) = state::Claim::issue_time(&claim.request) else {
            return state::ClaimReply::Invalid;
        };
        if issued <= self.floor {
            return state::ClaimReply::TooOld;
        }
        let key = (issued, claim.request.clone());
        if let Some(record) = self.records.get(&key) {
            return match &record.outcome {
                _ if record.digest != claim.digest => state::ClaimReply::Conflict,
                Some(receipt) => state::ClaimReply::Known {
                    receipt: receipt.clone(),
                },
                None if record.claimant == claim.claimant => state::ClaimReply::Granted,
                None => state::ClaimReply::Unknown,
            };
        }
        if issued > self.clock.saturating_add(millis(MAX_CLAIM_SKEW)) {
            return state::ClaimReply::Invalid;
        }
        let record = Record {
            claimant: claim.claimant,
            digest: claim.digest,
            outcome: None,
        };
        self.records.insert(key, record);
        self.evict_excess();
        state::ClaimReply::Granted
    }

    /// Records how a claimed request ended; the first outcome stays.
    ///
    /// Only its claimant releases a claim: a repeated release must not free the
    /// claim of a later claimant.
    pub(super) fn record(&mut self, outcome: &state::ClaimOutcome) {
        let Some(issued) = state::Claim::issue_time(&outcome.request) else {
            return;
        };
        let key = (issued, outcome.request.clone());
        let Some(record) = self.records.get_mut(&key) else {
            return;
        };
        match &outcome.end {
            state::ClaimEnd::Ran { receipt } => {
                record.outcome.get_or_insert_with(|| receipt.clone());
            }
            state::ClaimEnd::NotRun => {
                if record.claimant == outcome.claimant && record.outcome.is_none() {
                    self.records.remove(&key);
                }
            }
        }
    }

    fn evict_excess(&mut self) {
        if self.records.len() > MAX_CLAIMS {
            let newest_evicted = self.records.keys().nth(EVICTION_BATCH - 1);
            let issued = newest_evicted.map_or(0, |(issued, _)| *issued);
            self.floor = self.floor.max(issued);
            self.evict_below_floor();
        }
    }

    fn evict_below_floor(&mut self) {
        let floor = self.floor;
        self.records.retain(|(issued, _), _| *issued > floor);
    }
}

fn millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
