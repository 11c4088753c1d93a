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
    /// It is in slow start and its permits are in use or it pauses.
    Warming,
    /// It is leaving or its ownership is being given up.
    Leaving,
    /// It is taken out of service or not ready.
    NotEligible,
    /// It asked for a rest.
    Shedding,
    /// It is ejected after failures.
    Ejected,
    /// The coordinator excluded it, or it refused this request before.
    Excluded,
}
