//! HTTP routes for backend servers and operators.

use std::sync;

use rocket::{data, http, response::content, serde::json};

use crate::configuration::Format as _;
use crate::platform::heartbeat_answer;
use crate::{configuration, node, platform, state};

type Node = rocket::State<sync::Arc<node::Control>>;

/// Status and text of an error response.
type Failure = (http::Status, String);

/// Largest body of a heartbeat or departure.
const MAX_REPORT_BYTES: u64 = 16 * 1024;

/// Largest body of a configuration.
const MAX_CONFIGURATION_BYTES: u64 = 8 * 1024 * 1024;

/// Routes of the control address.
pub(super) fn control_routes() -> Vec<rocket::Route> {
    rocket::routes![heartbeat, departure, replace, read, evacuate, return_zone]
}

#[rocket::post("/fireflyspool/Instances.Heartbeat/<server>", data = "<body>")]
async fn heartbeat(
    server: String,
    body: rocket::Data<'_>,
    node: &Node,
) -> Result<json::Json<heartbeat_answer::HeartbeatAnswer>, Failure> {
    let body = read_body(body, MAX_REPORT_BYTES).await?;
    let report = match platform::HeartbeatWire::decode(server, &body) {
        Ok(report) => report,
        Err(error) => {
            slog::warn!(node.process().logger, "heartbeat refused"; "error" => %error);
            return Err((http::Status::BadRequest, error.to_string()));
        }
    };
    acknowledge(node.report(report).await)
}

#[rocket::post("/fireflyspool/Instances.Deregister/<server>", data = "<body>")]
async fn departure(
    server: String,
    body: rocket::Data<'_>,
    node: &Node,
) -> Result<json::Json<heartbeat_answer::HeartbeatAnswer>, Failure> {
    let body = read_body(body, MAX_REPORT_BYTES).await?;
    let departure = platform::DepartureWire::decode(&body).unwrap_or_else(|error| {
        // The path names the server, so a departure counts even if its body is unreadable.
        slog::warn!(node.process().logger, "departure without a readable start time";
            "server" => &server, "error" => %error);
        platform::DepartureWire::default()
    });
    acknowledge(node.depart(server, departure.born).await)
}

#[rocket::post("/fireflyspool/Config.Replace", data = "<body>")]
async fn replace(body: rocket::Data<'_>, node: &Node) -> Result<(), Failure> {
    let body = read_body(body, MAX_CONFIGURATION_BYTES).await?;
    let text =
        String::from_utf8(body).map_err(|error| (http::Status::BadRequest, error.to_string()))?;
    let decoded = platform::ConfigurationFormat.decode(&text);
    let valid = decoded.and_then(|decoded| decoded.validate().map(|()| decoded.version));
    let version = match valid {
        Ok(version) => version,
        Err(error) => {
            slog::info!(node.process().logger, "configuration refused"; "error" => %error);
            return Err((http::Status::BadRequest, error.to_string()));
        }
    };
    let text = text.into();
    let document = configuration::Document { version, text };
    execute(node, state::IdempotentCommand::Configure(document)).await
}

#[rocket::get("/fireflyspool/Config.Get")]
async fn read(node: &Node) -> Result<content::RawJson<String>, Failure> {
    match node.execute(state::IdempotentCommand::Read).await {
        node::CommandResult::Applied(state::IdempotentOutcome::Document(Some(document))) => {
            Ok(content::RawJson(document.text.as_ref().to_owned()))
        }
        node::CommandResult::Applied(_) => Err(unavailable("there is no configuration yet")),
        node::CommandResult::Uncertain => {
            Err(unavailable("no majority of the control VMs answered"))
        }
    }
}

#[rocket::post("/fireflyspool/Evacuation.Start/<zone>")]
async fn evacuate(zone: String, node: &Node) -> Result<(), Failure> {
    execute(node, state::IdempotentCommand::TakeOutZone { zone }).await
}

#[rocket::post("/fireflyspool/Evacuation.Finish/<zone>")]
async fn return_zone(zone: String, node: &Node) -> Result<(), Failure> {
    execute(node, state::IdempotentCommand::BringBackZone { zone }).await
}

async fn execute(node: &Node, command: state::IdempotentCommand) -> Result<(), Failure> {
    match node.execute(command).await {
        node::CommandResult::Applied(_) => Ok(()),
        node::CommandResult::Uncertain => {
            Err(unavailable("no majority of the control VMs answered"))
        }
    }
}

fn acknowledge(
    acknowledgement: Option<node::Acknowledgement>,
) -> Result<json::Json<heartbeat_answer::HeartbeatAnswer>, Failure> {
    let acknowledgement =
        acknowledgement.ok_or_else(|| unavailable("too few control VMs know of it"))?;
    let address = acknowledgement.address;
    Ok(json::Json(heartbeat_answer::HeartbeatAnswer { address }))
}

fn unavailable(text: &str) -> Failure {
    (http::Status::ServiceUnavailable, text.to_owned())
}

async fn read_body(body: rocket::Data<'_>, limit: u64) -> Result<Vec<u8>, Failure> {
    let limit = data::ByteUnit::from(limit);
    let read = body.open(limit).into_bytes().await;
    let read = read.map_err(|error| (http::Status::BadRequest, error.to_string()))?;
    match read.is_complete() {
        true => Ok(read.into_inner()),
        false => {
            let text = "the body is too large".to_owned();
            Err((http::Status::PayloadTooLarge, text))
        }
    }
}
