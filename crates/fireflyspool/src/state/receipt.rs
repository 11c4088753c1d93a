//! Result of a command.

use crate::{ids, state};

/// Result of a command, for its operator.
///
/// [`Self::Accepted`], [`Self::Refused`] and [`Self::LostRace`] are recorded
/// and returned again to every resend.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(tag = "receipt", rename_all = "snake_case")]
pub enum Receipt {
    /// The command was applied.
    Accepted {
        /// Revision of the catalog after it.
        revision: ids::Revision,
    },
    /// The catalog refused the change.
    Refused {
        /// Why it was refused.
        cause: state::ChangeError,
    },
    /// Another change came after the revision that the command expected.
    LostRace {
        /// Operator of the change that came first.
        operator: ids::OperatorName,
        /// Number of the command that made this change.
        number: ids::CommandNumber,
        /// Current revision.
        revision: ids::Revision,
    },
    /// The operator used this number for other content.
    Conflict,
    /// The number lies below the window of recorded receipts; the command was not run now.
    TooOld {
        /// Smallest number that is still recorded.
        oldest: ids::CommandNumber,
    },
}
