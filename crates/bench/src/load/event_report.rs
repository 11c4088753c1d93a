//! Result of one step of a scenario.

/// What became of a step.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EventReport {
    /// Begin, in milliseconds from the start of the run.
    pub at_ms: u64,
    /// Step.
    pub step: String,
    /// Time until its result, in milliseconds.
    pub took_ms: u64,
    /// Whether it succeeded.
    pub succeeded: bool,
    /// Response or error.
    pub result: String,
}
