//! Result of merging a report.

/// Effect of a report on a registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// Could not be recorded, so it must not be acknowledged.
    Unrecorded,
    /// Older than the known state; no effect.
    Stale,
    /// Newer heartbeat that changes nothing else.
    Refreshed,
    /// Changed the state; written to the change log.
    Changed,
}
