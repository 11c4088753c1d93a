//! Causes for which a backend server was passed over.

/// Why a backend server was not chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PassCause {
    /// It could have taken the request; another one was preferred.
    NotPreferred,
    /// All its permits are in use.
    Busy,
    /// It is in slow start, and its permits are in use or it is in a pause.
    Warming,
    /// It is leaving or being released by this owner.
    Leaving,
    /// It is taken out of service or not ready.
    NotEligible,
    /// It sheds load and asked for a backoff.
    Shedding,
    /// It is ejected after failures.
    Ejected,
    /// The coordinator excluded it, or it refused this request before.
    Excluded,
}
