//! Calls of operators about rollouts.

use crate::configuration::Format as _;
use crate::platform::control_service::{Failure, Success, invalid, unavailable};
use crate::platform::{rollout_answer, rollout_wire};
use crate::{configuration, ids, node, platform, rim, state};

/// Starts a rollout; it is acknowledged once the replicated log contains it.
pub(super) async fn start(node: &node::Control, body: &[u8]) -> Result<Success, Failure> {
    let wire: rollout_wire::RolloutWire =
        serde_json::from_slice(body).map_err(|error| match is_out_of_range(&error) {
            true => unprocessable("the duration is not finite"),
            false => invalid(&error),
        })?;
    let duration = wire
        .duration()
        .ok_or_else(|| unprocessable("the duration is not above zero and at most a day"))?;
    if wire.target.is_empty() {
        return Err(unprocessable("the target version is empty"));
    }
    let configuration = configuration(node).await?;
    let known = configuration.is_some_and(|known| known.services.contains_key(&wire.service));
    if !known {
        return Err(unprocessable("the configuration names no such service"));
    }
    let result = node.start_rollout(wire.service, wire.target, duration);
    match result.await {
        node::CommandResult::Applied(state::IdempotentOutcome::Accepted) => Ok(None),
        node::CommandResult::Applied(state::IdempotentOutcome::RolloutInProgress) => Err((
            http::StatusCode::CONFLICT,
            "another rollout of the service is in progress".to_owned(),
        )),
        node::CommandResult::Applied(_) => Err(unavailable("there is no room for more rollouts")),
        node::CommandResult::Uncertain => {
            Err(unavailable("no majority of the control VMs answered"))
        }
    }
}

/// Reads the latest rollout of a service.
pub(super) async fn read(
    node: &node::Control,
    service: ids::ServiceName,
) -> Result<Success, Failure> {
    let command = state::IdempotentCommand::ReadRollout { service };
    match node.execute(command).await {
        node::CommandResult::Applied(state::IdempotentOutcome::Rollout(Some(rollout))) => {
            let answer = rollout_answer::RolloutAnswer::of(&rollout, rim::wall_millis());
            let encoded = serde_json::to_vec(&answer);
            encoded
                .map(Some)
                .map_err(|error| unavailable(&error.to_string()))
        }
        node::CommandResult::Applied(_) => Err((
            http::StatusCode::NOT_FOUND,
            "there was no rollout of the service".to_owned(),
        )),
        node::CommandResult::Uncertain => {
            Err(unavailable("no majority of the control VMs answered"))
        }
    }
}

/// The configuration in force; `None` if there is none yet.
async fn configuration(
    node: &node::Control,
) -> Result<Option<configuration::Configuration>, Failure> {
    match node.execute(state::IdempotentCommand::Read).await {
        node::CommandResult::Applied(state::IdempotentOutcome::Document(Some(document))) => {
            let decoded = platform::ConfigurationFormat.decode(&document.text);
            decoded
                .map(Some)
                .map_err(|error| unavailable(&error.to_string()))
        }
        node::CommandResult::Applied(_) => Ok(None),
        node::CommandResult::Uncertain => {
            Err(unavailable("no majority of the control VMs answered"))
        }
    }
}

/// Whether a number is valid JSON and too large for a float. The parser has no other sign of it
/// than its message.
fn is_out_of_range(error: &serde_json::Error) -> bool {
    error.to_string().starts_with("number out of range")
}

fn unprocessable(text: &str) -> Failure {
    (http::StatusCode::UNPROCESSABLE_ENTITY, text.to_owned())
}
