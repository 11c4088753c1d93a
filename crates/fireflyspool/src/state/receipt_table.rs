//! Recorded receipts of operators.

use crate::{ids, sorted, state};

/// Receipts kept per operator.
pub const RECEIPT_WINDOW: usize = 1_024;

/// Most operators with receipts; bounds memory, because operators are never evicted.
const MAX_OPERATORS: usize = 1_024;

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
struct Record {
    command: state::Command,
    receipt: state::Receipt,
}

/// The last receipts of every operator, with the commands they belong to.
///
/// A full window drops its smallest number for each greater one, and a number
/// below a full window is refused. A dropped number is therefore never run again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ReceiptTable {
    operators: sorted::SortedMap<ids::OperatorName, sorted::SortedMap<ids::CommandNumber, Record>>,
}

impl ReceiptTable {
    /// Receipt of a command that must not run; `None` if it is new and may run.
    pub fn find(&self, command: &state::Command) -> Option<state::Receipt> {
        let Some(window) = self.operators.get(&command.operator) else {
            return (self.operators.len() >= MAX_OPERATORS).then(|| state::Receipt::Refused {
                cause: state::ChangeError::TooMany("operators".to_owned()),
            });
        };
        if let Some(record) = window.get(&command.number) {
            return Some(if record.command == *command {
                record.receipt.clone()
            } else {
                state::Receipt::Conflict
            });
        }
        let oldest = *window.first()?.0;
        (window.len() >= RECEIPT_WINDOW && command.number < oldest)
            .then_some(state::Receipt::TooOld { oldest })
    }

    /// Records the receipt of a new command.
    pub(super) fn record(&mut self, command: &state::Command, receipt: &state::Receipt) {
        let operator = command.operator.clone();
        let window = self
            .operators
            .get_or_insert_with(operator, sorted::SortedMap::new);
        let record = Record {
            command: command.clone(),
            receipt: receipt.clone(),
        };
        window.insert(command.number, record);
        if window.len() > RECEIPT_WINDOW {
            window.pop_first();
        }
    }
}
