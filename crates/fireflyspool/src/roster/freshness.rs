//! Order of an announcement among those seen before.

/// What an announcement is compared with those of the same backend server seen before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// It is not newer, belongs to an older incarnation, or contradicts `leaving`.
    Stale,
    /// It is the newest one of the known incarnation.
    Newer,
    /// It starts a new incarnation.
    NewIncarnation,
}
