//! HTTP requests of backend servers and operators.

use std::{sync, time};

use crate::configuration::Format as _;
use crate::platform::{control_call, heartbeat_answer, rollout_calls};
use crate::{configuration, node, platform, rim, state};

type Response = http::Response<rim::ResponseBody>;

/// Status and text of an error response.
pub(super) type Failure = (http::StatusCode, String);

/// Body of a successful response; `None` if it is empty.
pub(super) type Success = Option<Vec<u8>>;

/// Largest body of a heartbeat or departure.
const MAX_REPORT_BYTES: usize = 16 * 1024;

/// Largest body of a configuration.
const MAX_CONFIGURATION_BYTES: usize = 8 * 1024 * 1024;

/// Time after which an idle connection is closed; backend servers report far more often.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Translates between the platform's calls and the types of a control VM.
pub(super) struct ControlService {
    node: sync::Arc<node::Control>,
    bodies: sync::Arc<rim::RequestBodies>,
}

impl ControlService {
    /// `memory` is the number of bytes that large bodies may take together.
    pub(super) fn new(node: sync::Arc<node::Control>, memory: usize) -> Self {
        let bodies = rim::RequestBodies::new(node.process().timer.clone(), memory);
        let bodies = sync::Arc::new(bodies);
        Self { node, bodies }
    }
}

impl rim::CallerHandler for ControlService {
    fn handle(&self, request: http::Request<hyper::body::Incoming>) -> rim::ResponseFuture {
        let (node, bodies) = (sync::Arc::clone(&self.node), sync::Arc::clone(&self.bodies));
        Box::pin(async move {
            match serve(&node, &bodies, request).await {
                Ok(body) => success(body),
                Err((status, text)) => response(status, text.into_bytes()),
            }
        })
    }

    fn idle(&self) -> time::Duration {
        IDLE_TIMEOUT
    }
}

async fn serve(
    node: &node::Control,
    bodies: &rim::RequestBodies,
    request: http::Request<hyper::body::Incoming>,
) -> Result<Success, Failure> {
    let (head, body) = request.into_parts();
    let call = control_call::ControlCall::of(&head.method, head.uri.path());
    let call = call.ok_or_else(|| (http::StatusCode::NOT_FOUND, "no such call".to_owned()))?;
    match call {
        control_call::ControlCall::Heartbeat(server) => {
            let body = bodies.read(body, MAX_REPORT_BYTES).await;
            let body = body.map_err(|error| unread(&error))?;
            let report =
                platform::HeartbeatWire::decode(server, body.as_slice()).map_err(|error| {
                    slog::warn!(node.process().logger, "heartbeat refused"; "error" => %error);
                    invalid(&error)
                })?;
            acknowledge(node.report(report).await)
        }
        control_call::ControlCall::Departure(server) => {
            let body = bodies.read(body, MAX_REPORT_BYTES).await;
            let body = body.map_err(|error| unread(&error))?;
            let departure =
                platform::DepartureWire::decode(body.as_slice()).unwrap_or_else(|error| {
                    // The path names the server, so a departure counts even if its body is
                    // unreadable.
                    slog::warn!(node.process().logger, "departure without a readable start time";
                    "server" => &server, "error" => %error);
                    platform::DepartureWire::default()
                });
            acknowledge(node.depart(server, departure.born).await)
        }
        control_call::ControlCall::Replace => {
            let body = bodies.read(body, MAX_CONFIGURATION_BYTES).await;
            let body = body.map_err(|error| unread(&error))?;
            replace(node, body).await
        }
        control_call::ControlCall::Read => read(node).await,
        control_call::ControlCall::TakeOut(zone) => {
            let result = node.order(state::IdempotentCommand::TakeOutZone { zone, known: None });
            applied(&result.await)
        }
        control_call::ControlCall::BringBack(zone) => {
            let result = node.order(state::IdempotentCommand::BringBackZone { zone, known: None });
            applied(&result.await)
        }
        control_call::ControlCall::StartRollout => {
            let body = bodies.read(body, MAX_REPORT_BYTES).await;
            let body = body.map_err(|error| unread(&error))?;
            rollout_calls::start(node, body.as_slice()).await
        }
        control_call::ControlCall::ReadRollout(service) => rollout_calls::read(node, service).await,
    }
}

async fn replace(node: &node::Control, body: rim::RequestBody) -> Result<Success, Failure> {
    // The bytes count until the command has ended.
    let (bytes, _taken) = body.into_parts();
    let text = String::from_utf8(bytes.into()).map_err(|error| invalid(&error))?;
    let decoded = platform::ConfigurationFormat.decode(&text);
    let valid = decoded.and_then(|decoded| decoded.validate().map(|()| decoded.version));
    let version = valid.map_err(|error| {
        slog::info!(node.process().logger, "configuration refused"; "error" => %error);
        invalid(&error)
    })?;
    let text = text.into();
    let document = configuration::Document { version, text };
    let command = state::IdempotentCommand::Configure(document);
    applied(&node.execute(command).await)
}

async fn read(node: &node::Control) -> Result<Success, Failure> {
    match node.execute(state::IdempotentCommand::Read).await {
        node::CommandResult::Applied(state::IdempotentOutcome::Document(Some(document))) => {
            Ok(Some(document.text.as_bytes().to_vec()))
        }
        node::CommandResult::Applied(_) => Err(unavailable("there is no configuration yet")),
        node::CommandResult::Uncertain => {
            Err(unavailable("no majority of the control VMs answered"))
        }
    }
}

pub(super) fn applied(result: &node::CommandResult) -> Result<Success, Failure> {
    match result {
        node::CommandResult::Applied(_) => Ok(None),
        node::CommandResult::Uncertain => {
            Err(unavailable("no majority of the control VMs answered"))
        }
    }
}

fn acknowledge(acknowledgement: Option<node::Acknowledgement>) -> Result<Success, Failure> {
    let acknowledgement =
        acknowledgement.ok_or_else(|| unavailable("too few control VMs know of it"))?;
    let address = acknowledgement.address;
    let answer = heartbeat_answer::HeartbeatAnswer { address };
    let encoded = serde_json::to_vec(&answer).map_err(|error| unavailable(&error.to_string()))?;
    Ok(Some(encoded))
}

fn unread(error: &rim::BodyError) -> Failure {
    let status = match error {
        rim::BodyError::TooLarge { .. } | rim::BodyError::Broken(_) => {
            http::StatusCode::PAYLOAD_TOO_LARGE
        }
        rim::BodyError::TimedOut => http::StatusCode::REQUEST_TIMEOUT,
        rim::BodyError::NoRoom => http::StatusCode::SERVICE_UNAVAILABLE,
    };
    (status, error.to_string())
}

pub(super) fn invalid(error: &dyn std::error::Error) -> Failure {
    (http::StatusCode::BAD_REQUEST, error.to_string())
}

pub(super) fn unavailable(text: &str) -> Failure {
    (http::StatusCode::SERVICE_UNAVAILABLE, text.to_owned())
}

fn success(body: Success) -> Response {
    let is_json = body.is_some();
    let mut response = response(http::StatusCode::OK, body.unwrap_or_default());
    if is_json {
        let json = http::HeaderValue::from_static("application/json");
        response
            .headers_mut()
            .insert(http::header::CONTENT_TYPE, json);
    }
    response
}

fn response(status: http::StatusCode, body: Vec<u8>) -> Response {
    let body = http_body_util::Full::new(bytes::Bytes::from(body));
    let mut response = Response::new(rim::ResponseBody::Left(body));
    *response.status_mut() = status;
    response
}
