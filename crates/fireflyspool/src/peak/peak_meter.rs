//! Meter of the demand of one entry VM.

use std::time;

use crate::{peak, state, view};

const MINUTE: time::Duration = time::Duration::from_secs(60);

/// Shortest part of a minute from which its total is projected; the first
/// seconds say too little about the rest.
const MIN_ELAPSED: time::Duration = time::Duration::from_secs(10);

/// Share of the reference at which a minute counts as a peak, in percent. The
/// last twentieth is left to first attempts of urgent and interactive requests.
const NEAR_PERCENT: u64 = 95;

/// Share of the last month's peak that the new month is expected to reach, in
/// percent. Without it every busier minute of a month's first day would count as a peak.
const CARRY_PERCENT: u64 = 75;

/// Minutes below this count are never a peak; an idle entry VM needs no pacing.
const MIN_REFERENCE: u64 = 6_000;

/// Counts sub-requests per minute and knows the month's peak minute.
#[derive(Clone, Debug)]
pub struct PeakMeter {
    record: peak::PeakRecord,
    limit: u64,
    wall: time::Duration,
    anchor: time::Instant,
}

impl PeakMeter {
    /// A meter without history. `wall` is the time of day at `now`.
    pub fn new(wall: time::SystemTime, now: time::Instant) -> Self {
        Self::resume(peak::PeakRecord::default(), wall, now)
    }

    /// Reads a stored record and continues from it.
    ///
    /// # Errors
    ///
    /// Returns a [`peak::PeakError`] if the bytes are not what
    /// [`PeakMeter::encode`] wrote.
    pub fn decode(
        bytes: &[u8],
        wall: time::SystemTime,
        now: time::Instant,
    ) -> Result<Self, peak::PeakError> {
        let (sum, content) = bytes.split_at_checked(4).ok_or(peak::PeakError::Damaged)?;
        if crc32fast::hash(content).to_le_bytes() != sum {
            return Err(peak::PeakError::Damaged);
        }
        let record = serde_json::from_slice(content).map_err(peak::PeakError::Malformed)?;
        Ok(Self::resume(record, wall, now))
    }

    /// Bytes to store: a checksum and the record.
    ///
    /// # Errors
    ///
    /// Returns a [`peak::PeakError`] if the record cannot be written as JSON.
    pub fn encode(&self) -> Result<Vec<u8>, peak::PeakError> {
        let content = serde_json::to_vec(&self.record).map_err(peak::PeakError::Malformed)?;
        let mut bytes = crc32fast::hash(&content).to_le_bytes().to_vec();
        bytes.extend(content);
        Ok(bytes)
    }

    /// Takes the tier's limit from the catalog, divided among the live entry VMs.
    pub fn configure(&mut self, view: &view::View) {
        let limit = view.catalog.number(state::ConfigKey::PeakLimit);
        let members = u64::try_from(view.members.len()).unwrap_or(u64::MAX);
        self.limit = limit.div_ceil(members.max(1));
    }

    /// Counts sub-requests that leave now.
    pub fn count(&mut self, cause: peak::Cause, count: u64, now: time::Instant) {
        self.advance(now);
        self.record.counts[cause.index()] += count;
    }

    /// Whether the running minute is about to reach the limit or, without one,
    /// the month's peak.
    pub fn is_peak(&mut self, now: time::Instant) -> bool {
        let elapsed = self.advance(now).max(MIN_ELAPSED);
        let total = u128::from(self.record.total());
        let projected = total * MINUTE.as_millis() / elapsed.as_millis();
        projected * 100 >= u128::from(self.reference()) * u128::from(NEAR_PERCENT)
    }

    /// Counts of the running minute and the peaks.
    pub fn record(&mut self, now: time::Instant) -> &peak::PeakRecord {
        self.advance(now);
        &self.record
    }

    fn resume(record: peak::PeakRecord, wall: time::SystemTime, now: time::Instant) -> Self {
        let wall = wall
            .duration_since(time::SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let mut meter = Self {
            record,
            limit: 0,
            wall,
            anchor: now,
        };
        meter.advance(now);
        meter
    }

    fn reference(&self) -> u64 {
        if self.limit > 0 {
            return self.limit;
        }
        let carried = self.record.previous / 100 * CARRY_PERCENT;
        self.record.peak.max(carried).max(MIN_REFERENCE)
    }

    /// Moves to the minute of `now` and returns the time elapsed in it.
    fn advance(&mut self, now: time::Instant) -> time::Duration {
        let wall = self.wall + now.saturating_duration_since(self.anchor);
        self.record.advance(wall.as_secs() / MINUTE.as_secs());
        wall.saturating_sub(MINUTE * u32::try_from(self.record.minute).unwrap_or(u32::MAX))
    }
}
