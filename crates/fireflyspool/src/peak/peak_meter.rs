//! Meter of the sub-requests of one entry VM.

use std::time;

use crate::{peak, state, view};

const MINUTE: time::Duration = time::Duration::from_secs(60);

/// Shortest part of a minute from which its total is projected; the first
/// seconds do not predict the rest.
const MIN_ELAPSED: time::Duration = time::Duration::from_secs(10);

/// Share of the reference at which a minute counts as a peak, in percent. The
/// last twentieth is left to first attempts of urgent and interactive requests.
const PEAK_PERCENT: u64 = 95;

/// Share of the previous month's peak that the new month is expected to reach, in
/// percent. Without it every busier minute of a month's first day would count as a peak.
const CARRYOVER_PERCENT: u64 = 75;

/// Lowest reference, in sub-requests per minute; an idle entry VM needs no pacing.
const MIN_REFERENCE: u64 = 6_000;

/// Counts sub-requests per minute and keeps the month's peak minute.
#[derive(Clone, Debug)]
pub struct PeakMeter {
    record: peak::PeakRecord,
    /// Limit of this entry VM, in sub-requests per minute; zero if none is set.
    limit: u64,
    /// Wall-clock time at the start, since the Unix epoch. Later times are derived
    /// from the monotonic clock.
    start_wall: time::Duration,
    start: time::Instant,
}

impl PeakMeter {
    /// Meter without history. `wall` is the wall-clock time at `now`.
    pub fn new(wall: time::SystemTime, now: time::Instant) -> Self {
        Self::resume(peak::PeakRecord::default(), wall, now)
    }

    /// Meter that continues from a stored record. `wall` is the wall-clock time at `now`.
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

    /// Bytes to store: a CRC-32 checksum and the record as JSON.
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

    /// Sets the limit: that of the tier from the catalog, divided among the live entry VMs.
    pub fn configure(&mut self, view: &view::View) {
        let limit = view.catalog.number(state::ConfigKey::PeakLimit);
        let members = u64::try_from(view.members.len()).unwrap_or(u64::MAX);
        self.limit = limit.div_ceil(members.max(1));
    }

    /// Counts sub-requests that are sent at `now`.
    pub fn count(&mut self, cause: peak::Cause, count: u64, now: time::Instant) {
        self.advance(now);
        self.record.counts[cause.index()] += count;
    }

    /// Whether the running minute is projected to come close to the limit or, if
    /// none is set, to the month's peak.
    pub fn is_peak(&mut self, now: time::Instant) -> bool {
        let elapsed = self.advance(now).max(MIN_ELAPSED);
        let total = u128::from(self.record.total());
        let projected = total * MINUTE.as_millis() / elapsed.as_millis();
        projected * 100 >= u128::from(self.reference()) * u128::from(PEAK_PERCENT)
    }

    /// Counts of the running minute and the peaks, as of `now`.
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
            start_wall: wall,
            start: now,
        };
        meter.advance(now);
        meter
    }

    /// Sub-requests per minute that the running minute is compared with.
    fn reference(&self) -> u64 {
        if self.limit > 0 {
            return self.limit;
        }
        let carried = self.record.previous / 100 * CARRYOVER_PERCENT;
        self.record.peak.max(carried).max(MIN_REFERENCE)
    }

    /// Moves to the minute of `now` and returns the time elapsed in it.
    fn advance(&mut self, now: time::Instant) -> time::Duration {
        let wall = self.start_wall + now.saturating_duration_since(self.start);
        self.record.advance(wall.as_secs() / MINUTE.as_secs());
        wall.saturating_sub(MINUTE * u32::try_from(self.record.minute).unwrap_or(u32::MAX))
    }
}
