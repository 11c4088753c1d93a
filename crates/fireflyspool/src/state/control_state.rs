//! The replicated state machine.

use crate::{configuration, ids, state};

/// Everything that the replicated log determines.
///
/// Equal sequences of entries lead to equal states, and a state restored with
/// [`Self::decode`] gives the same results as the one that was encoded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ControlState {
    /// Part of the state that entry VMs hold too.
    pub catalog: state::Catalog,
    /// Accepted changes of the catalog.
    pub history: state::History,
    /// Desired membership of the control group.
    pub group: state::ControlGroup,
    /// Receipts of operators' commands.
    pub receipts: state::ReceiptTable,
    /// Claims of non-idempotent requests.
    pub claims: state::ClaimTable,
    /// Last change of each zone by an order.
    #[serde(default)]
    pub zone_changes: state::ZoneChanges,
    /// Acknowledged departures of backend servers.
    #[serde(default)]
    pub departures: state::DepartureTable,
    /// Latest rollout of each service.
    #[serde(default)]
    pub rollouts: state::RolloutTable,
    /// Routing configuration in force.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub document: Option<configuration::Document>,
}

impl ControlState {
    /// Applies a committed entry.
    pub fn apply(&mut self, entry: &state::Entry) -> state::Applied {
        match entry {
            state::Entry::Command { command, stamped } => {
                self.claims.advance_clock(*stamped);
                state::Applied::Command(self.apply_command(command))
            }
            state::Entry::Claims(claims) => {
                let replies = claims.iter().map(|claim| self.claims.claim(claim));
                state::Applied::Claims(replies.collect())
            }
            state::Entry::ClaimOutcomes(outcomes) => {
                for outcome in outcomes {
                    self.claims.record(outcome);
                }
                state::Applied::ClaimOutcomes
            }
            state::Entry::Idempotent(command) => {
                state::Applied::Idempotent(self.apply_idempotent(command))
            }
        }
    }

    /// Snapshot of the state.
    pub fn encode(&self) -> Vec<u8> {
        // No field has a fallible serializer or a map with other than string keys.
        serde_json::to_vec(self).expect("the control state has a JSON form")
    }

    /// Restores a snapshot made by [`Self::encode`].
    ///
    /// # Errors
    ///
    /// Returns a [`state::DecodeError`] if the bytes are no such snapshot.
    pub fn decode(bytes: &[u8]) -> Result<Self, state::DecodeError> {
        Ok(serde_json::from_slice(bytes)?)
    }

    fn apply_idempotent(&mut self, command: &state::IdempotentCommand) -> state::IdempotentOutcome {
        match command {
            state::IdempotentCommand::Configure(document) => {
                let version = self.document.as_ref().map_or(0, |held| held.version);
                if document.version > version {
                    self.document = Some(document.clone());
                }
            }
            state::IdempotentCommand::TakeOutZone { zone, known } => {
                let change = state::Change::TakeOutZone { zone: zone.clone() };
                return self.change_zone(zone, *known, &change);
            }
            state::IdempotentCommand::BringBackZone { zone, known } => {
                let change = state::Change::BringBackZone { zone: zone.clone() };
                return self.change_zone(zone, *known, &change);
            }
            state::IdempotentCommand::Join {
                node,
                incarnation,
                rpc,
            } => return self.group.join(*node, *incarnation, *rpc),
            state::IdempotentCommand::Retire { node } => {
                // The group refuses only a VM that is removed already.
                let _ = self.group.remove(*node, 0);
            }
            state::IdempotentCommand::Leave { rpc } => self.group.leave(*rpc),
            state::IdempotentCommand::Resize { size } => self.group.resize(*size),
            state::IdempotentCommand::RecordDepartures {
                departures,
                stamped,
            } => {
                return match self.departures.record(departures, *stamped) {
                    Some(revision) => state::IdempotentOutcome::Recorded { revision },
                    None => state::IdempotentOutcome::Full,
                };
            }
            state::IdempotentCommand::StartRollout { service, start } => {
                return self.rollouts.start(service, start);
            }
            state::IdempotentCommand::AdvanceRollout {
                service,
                number,
                step,
                stamped,
            } => self.rollouts.advance(service, *number, *step, *stamped),
            state::IdempotentCommand::ReadRollout { service } => {
                let rollout = self.rollouts.get(service).cloned();
                return state::IdempotentOutcome::Rollout(rollout);
            }
            state::IdempotentCommand::Read => {
                return state::IdempotentOutcome::Document(self.document.clone());
            }
        }
        state::IdempotentOutcome::Accepted
    }

    /// Takes a zone out or brings it back, unless it was changed after the known revision.
    fn change_zone(
        &mut self,
        zone: &str,
        known: Option<ids::Revision>,
        change: &state::Change,
    ) -> state::IdempotentOutcome {
        if known.is_some_and(|known| self.zone_changes.revision(zone) > known) {
            let revision = self.catalog.revision;
            return state::IdempotentOutcome::Overtaken { revision };
        }
        // The catalog refuses only a zone that is as the order wants it.
        if let Ok(revision) = self.catalog.apply(change) {
            self.zone_changes.record(zone, revision);
        }
        state::IdempotentOutcome::Accepted
    }

    fn apply_command(&mut self, command: &state::Command) -> state::Receipt {
        if let Some(receipt) = self.receipts.find(command) {
            return receipt;
        }
        let receipt = self
            .check_expected(command.expected)
            .unwrap_or_else(|| self.execute(command));
        self.receipts.record(command, &receipt);
        receipt
    }

    /// Receipt of a command that expected another revision than the current one.
    fn check_expected(&self, expected: Option<ids::Revision>) -> Option<state::Receipt> {
        let expected = expected.filter(|revision| *revision != self.catalog.revision)?;
        if expected > self.catalog.revision {
            let cause = state::ChangeError::OutOfRange(format!("expected revision {expected}"));
            return Some(state::Receipt::Refused { cause });
        }
        // The change right after the expected revision came first; if it is no longer kept, the
        // oldest kept change is reported.
        let kept = self.history.iter();
        let earlier = kept.into_iter().find(|record| record.revision > expected)?;
        Some(state::Receipt::LostRace {
            operator: earlier.operator.clone(),
            number: earlier.number,
            revision: self.catalog.revision,
        })
    }

    fn execute(&mut self, command: &state::Command) -> state::Receipt {
        let revision = self.catalog.revision;
        let change = match &command.change {
            state::Operation::Change(change) => change,
            state::Operation::AddControl {
                node,
                incarnation,
                rpc,
            } => return group_receipt(self.group.add(*node, *incarnation, *rpc), revision),
            state::Operation::RemoveControl { node } => {
                return group_receipt(self.group.remove(*node, command.number), revision);
            }
        };
        match self.catalog.apply(change) {
            Ok(revision) => {
                self.history.push(state::RevisionRecord {
                    revision,
                    operator: command.operator.clone(),
                    number: command.number,
                    change: change.clone(),
                });
                state::Receipt::Accepted { revision }
            }
            Err(cause) => state::Receipt::Refused { cause },
        }
    }
}

fn group_receipt(
    result: Result<(), state::ChangeError>,
    revision: ids::Revision,
) -> state::Receipt {
    match result {
        Ok(()) => state::Receipt::Accepted { revision },
        Err(cause) => state::Receipt::Refused { cause },
    }
}
