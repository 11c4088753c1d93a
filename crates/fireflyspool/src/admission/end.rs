//! Ways in which a request ends.

/// How a request ended, as far as it says something about the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It ended by itself within its deadline.
    InTime,
    /// Its deadline cut it short.
    Late,
    /// Its caller went away, while it waited or ran.
    Gone,
}
