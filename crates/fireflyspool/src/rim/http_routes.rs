//! Routes of the HTTP listener.

use std::sync;

use rocket::{http, serde::json};

use crate::{backend, control, directory, outcome, rim, traffic};

type Node = rocket::State<sync::Arc<traffic::EntryNode>>;

/// Content type of the response to `/metrics`.
const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Routes for callers, operators, backend servers and probes.
pub fn http_routes() -> Vec<rocket::Route> {
    rocket::routes![addresses, query, command, announce, live, ready, metrics]
}

/// Catchers that send a bare error status as plain text.
pub fn http_catchers() -> Vec<rocket::Catcher> {
    rocket::catchers![status_text]
}

#[rocket::get("/v1/addresses?<service>&<caller>")]
async fn addresses(
    service: &str,
    caller: Option<&str>,
    node: &Node,
) -> (http::Status, json::Json<directory::AddressList>) {
    let list = node.addresses(service, caller);
    let status = if list.addresses.is_empty() {
        http::Status::ServiceUnavailable
    } else {
        http::Status::Ok
    };
    (status, json::Json(list))
}

#[rocket::post("/v1/query", data = "<request>")]
async fn query(
    request: json::Json<rim::QueryRequest>,
    node: &Node,
) -> (http::Status, json::Json<outcome::Outcome>) {
    let outcome = sync::Arc::clone(node).query(request.into_inner()).await;
    (query_status(&outcome), json::Json(outcome))
}

#[rocket::post("/v1/command", data = "<request>")]
async fn command(
    _authorized: rim::Authorized,
    request: json::Json<rim::CommandRequest>,
    node: &Node,
) -> json::Json<traffic::CommandOutcome> {
    json::Json(node.command(request.into_inner()).await)
}

#[rocket::post("/v1/announce", data = "<announcement>")]
async fn announce(
    _authorized: rim::Authorized,
    announcement: json::Json<backend::Announcement>,
    node: &Node,
) -> http::Status {
    let event = control::Event::Announce(Box::new(announcement.into_inner()));
    match node.shared().mailbox.send(event) {
        Ok(()) => http::Status::NoContent,
        Err(_) => http::Status::ServiceUnavailable,
    }
}

#[rocket::get("/health/live")]
async fn live() -> &'static str {
    "live\n"
}

#[rocket::get("/health/ready")]
async fn ready(node: &Node) -> (http::Status, String) {
    match node.readiness() {
        Ok(()) => (http::Status::Ok, "ready\n".to_owned()),
        Err(reason) => (http::Status::ServiceUnavailable, format!("{reason}\n")),
    }
}

#[rocket::get("/metrics")]
async fn metrics(node: &Node) -> (http::ContentType, String) {
    let content_type = http::ContentType::parse_flexible(OPEN_METRICS);
    (
        content_type.unwrap_or(http::ContentType::Plain),
        node.metrics().await,
    )
}

#[rocket::catch(default)]
fn status_text(status: http::Status, _request: &rocket::Request<'_>) -> String {
    format!("{status}\n")
}

fn query_status(outcome: &outcome::Outcome) -> http::Status {
    match outcome {
        outcome::Outcome::Partial(_) => http::Status::PartialContent,
        outcome::Outcome::NotRun(refusal) => match refusal.reason {
            outcome::RefusalReason::Invalid | outcome::RefusalReason::TooOld => {
                http::Status::BadRequest
            }
            outcome::RefusalReason::Conflict => http::Status::Conflict,
            _ => http::Status::ServiceUnavailable,
        },
        outcome::Outcome::Unknown { .. } => http::Status::GatewayTimeout,
        _ => http::Status::Ok,
    }
}
