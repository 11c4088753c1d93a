//! Result of comparing an announcement with earlier ones.

/// How an announcement relates to earlier ones of the same backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Not newer, of an older incarnation, or no longer `leaving` although its incarnation was.
    Stale,
    /// The newest one of the known incarnation.
    Newer,
    /// The first one of a new incarnation.
    NewIncarnation,
}
