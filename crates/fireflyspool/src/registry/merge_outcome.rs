//! Effect of a report.

/// What a report did to a registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// Older than what is known; without effect.
    Stale,
    /// A heartbeat without other news.
    Refreshed,
    /// Written to the change log.
    Changed,
}
