//! Commands and `show` statements of operators.

use crate::{control, language, rim, state, traffic};

impl traffic::EntryNode {
    /// Runs a command or `show` statement of an operator.
    pub async fn command(&self, request: rim::CommandRequest) -> traffic::CommandOutcome {
        let statement = match language::parse(&request.statement) {
            Ok(language::Statement::Command(statement)) => statement,
            Ok(language::Statement::Show(show)) => return self.show(show).await,
            Ok(_) => {
                let detail = "expected a command or show; requests go to /v1/query".to_owned();
                return traffic::CommandOutcome::Invalid { detail };
            }
            Err(error) => {
                return traffic::CommandOutcome::Invalid {
                    detail: error.to_string(),
                };
            }
        };
        let command = state::Command {
            operator: request.operator,
            number: request.number,
            expected: statement.expected,
            change: operation(statement.operation),
        };
        let reply = self.control.propose(&command).await;
        match reply {
            Ok(control::ProposeReply::Decided { receipt }) => {
                let in_force = self.await_in_force(&receipt, request.wait).await;
                traffic::CommandOutcome::Decided { receipt, in_force }
            }
            Ok(other) => traffic::CommandOutcome::NotRun {
                detail: format!("{other:?}"),
            },
            Err(false) => {
                let detail = "no leader of the control group could be reached".to_owned();
                traffic::CommandOutcome::NotRun { detail }
            }
            Err(true) => {
                let detail = "the answer was lost; send the command again with its number";
                traffic::CommandOutcome::Unknown {
                    detail: detail.to_owned(),
                }
            }
        }
    }

    pub(super) async fn show(&self, show: language::Show) -> traffic::CommandOutcome {
        let view = self.shared.view.load_full();
        let table = match show {
            language::Show::Members | language::Show::History => self.control.show(show).await,
            _ => Some(traffic::show_view(show, &view)),
        };
        match table {
            Some(table) => traffic::CommandOutcome::Shown { table },
            None => {
                let detail = "no leader of the control group could be reached".to_owned();
                traffic::CommandOutcome::NotRun { detail }
            }
        }
    }

    pub(super) async fn await_in_force(
        &self,
        receipt: &state::Receipt,
        wait: rim::CommandWait,
    ) -> bool {
        match (receipt, wait) {
            (state::Receipt::Accepted { revision }, rim::CommandWait::InForce) => {
                self.control.await_in_force(*revision).await
            }
            _ => false,
        }
    }
}

fn operation(requested: language::Operation) -> state::Operation {
    match requested {
        language::Operation::Change(change) => state::Operation::Change(change),
        language::Operation::AddControl {
            node,
            incarnation,
            rpc,
        } => state::Operation::AddControl {
            node,
            incarnation,
            rpc,
        },
        language::Operation::RemoveControl { node } => state::Operation::RemoveControl { node },
    }
}
