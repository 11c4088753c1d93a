//! Outcomes of requests, as reported to callers.
//!
//! Every request ends in exactly one [`Outcome`]. Callers rely on the
//! difference between "not run" and "may have run": a request that was refused
//! as not run can safely be sent again, one with an unknown outcome cannot.

mod answer;
mod coverage;
mod hit;
mod kind;
#[expect(
    clippy::module_inception,
    reason = "one type a file, the file named after it"
)]
mod outcome;
mod refusal;
mod refusal_reason;
mod required_coverage;
mod snapshot;

pub use answer::Answer;
pub use coverage::Coverage;
pub use hit::Hit;
pub use kind::Kind;
pub use outcome::Outcome;
pub use refusal::Refusal;
pub use refusal_reason::RefusalReason;
pub use required_coverage::RequiredCoverage;
pub use snapshot::Snapshot;
