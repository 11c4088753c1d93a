//! End of one request.

use fireflyspool::outcome;

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Ending {
    /// The tier responded.
    Response(outcome::Outcome),
    /// No valid response came.
    Failed(String),
    /// The tool did not send it.
    Unsent(String),
}

impl Ending {
    /// Name in reports.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Response(outcome::Outcome::Partial(answer)) if !answer.sufficient => {
                "insufficient"
            }
            Self::Response(outcome) => outcome.name(),
            Self::Failed(_) => "failed",
            Self::Unsent(_) => "unsent",
        }
    }

    /// Whether it is what the caller asked for.
    pub fn is_answer(&self) -> bool {
        match self {
            Self::Response(outcome::Outcome::Partial(answer)) => answer.sufficient,
            Self::Response(
                outcome::Outcome::Complete(_)
                | outcome::Outcome::Submitted { .. }
                | outcome::Outcome::Known { .. },
            ) => true,
            _ => false,
        }
    }

    /// Covered share of the shards.
    pub fn covered_share(&self) -> f64 {
        match self {
            Self::Response(
                outcome::Outcome::Complete(answer) | outcome::Outcome::Partial(answer),
            ) => {
                let total = answer.coverage.total().max(1);
                answer.coverage.covered.len() as f64 / total as f64
            }
            _ => f64::from(self.is_answer()),
        }
    }
}
