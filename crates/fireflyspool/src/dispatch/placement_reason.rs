//! Reasons of placement decisions.

use crate::dispatch;

/// Why a sub-request was placed now, or not at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementReason {
    /// First in the queue order: hedge, kind, deadline.
    First,
    /// Ahead of the queue order, because its kind had received less than its guaranteed share.
    LowShare,
    /// Not placed, for this cause.
    Skipped(dispatch::SkipCause),
}
