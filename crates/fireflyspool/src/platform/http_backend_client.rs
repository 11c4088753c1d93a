//! HTTP client for backend servers.

use std::{net, ops, sync, time};

use crate::platform::headers;
use crate::{backend, configuration, forward, node, platform, rim, timer};

type Response = http::Response<rim::ForwardBody>;
/// Status codes of final responses; any other means that the bytes are no response to the request.
const FINAL_STATUSES: ops::RangeInclusive<u16> = 200..=599;

type Ending = (forward::AttemptEnd, backend::Condition);

/// Sends requests to backend servers with the headers of the platform.
pub(super) struct HttpBackendClient {
    client: rim::ForwardClient,
    timer: timer::TimerService,
}

impl HttpBackendClient {
    /// Creates a client whose responses under way take up to `memory` bytes together.
    pub(super) fn new(timer: timer::TimerService, memory: usize) -> Self {
        let client = rim::ForwardClient::with_memory(timer.clone(), memory);
        Self { client, timer }
    }
}

impl node::BackendClient for HttpBackendClient {
    fn send(&self, send: forward::Send, message: sync::Arc<node::Message>) -> node::AttemptFuture {
        let client = self.client.clone();
        let sleep = self.timer.sleep_until(send.deadline);
        Box::pin(async move {
            let Some(request) = encode(&send, &message) else {
                // Nothing was sent; the failure must not count against the server.
                return (forward::AttemptEnd::Rejected, backend::Condition::default());
            };
            tokio::select! {
                ended = exchange(&client, &send, request, &message.id) => ended,
                () = sleep => (forward::AttemptEnd::TimedOut, backend::Condition::default()),
            }
        })
    }

    fn identify(&self, headers: &mut http::HeaderMap, account: Option<&configuration::Account>) {
        headers::identify(headers, account);
    }

    fn open(&self, address: net::SocketAddr) -> node::OpenFuture {
        let client = self.client.clone();
        Box::pin(async move {
            // The first attempt at the server meets the same error and reports it.
            let _ = client.open(address).await;
        })
    }

    fn accepts(&self, address: net::SocketAddr, kept: Option<usize>) -> node::AcceptsFuture {
        let client = self.client.clone();
        let kept = kept.unwrap_or(usize::MAX);
        Box::pin(async move { client.accepts(address, kept).await })
    }
}

/// Adds the remaining time and the name of the server; `None` if the target has no
/// path or the name is not a valid header value.
fn encode(
    send: &forward::Send,
    message: &node::Message,
) -> Option<http::Request<http_body_util::Full<bytes::Bytes>>> {
    let target = message.target.path_and_query()?.clone();
    let left = send
        .deadline
        .saturating_duration_since(time::Instant::now());
    let mut request = http::Request::builder()
        .method(message.method.clone())
        .uri(target)
        .body(http_body_util::Full::new(message.body.clone()))
        .ok()?;
    let head = request.headers_mut();
    *head = message.headers.clone();
    let millis = left.as_millis().max(1).to_string();
    head.insert(
        headers::DEADLINE,
        http::HeaderValue::from_str(&millis).ok()?,
    );
    let server = http::HeaderValue::from_str(&send.server).ok()?;
    head.insert(headers::EXPECTED_SERVER, server);
    Some(request)
}

async fn exchange(
    client: &rim::ForwardClient,
    send: &forward::Send,
    request: http::Request<http_body_util::Full<bytes::Bytes>>,
    id: &str,
) -> Ending {
    let (address, kept) = (send.address, send.kept.unwrap_or(usize::MAX));
    match client.send_keeping(address, kept, request).await {
        Ok(response) => decode(client, (address, kept), response, id).await,
        Err(rim::ForwardError::Connect(error)) => (
            forward::AttemptEnd::not_connected(&error),
            backend::Condition::default(),
        ),
        Err(_) => (
            interrupted(client, (address, kept)).await,
            backend::Condition::default(),
        ),
    }
}

/// End of an attempt whose connection broke before the whole response had arrived.
async fn interrupted(
    client: &rim::ForwardClient,
    (address, kept): (net::SocketAddr, usize),
) -> forward::AttemptEnd {
    // A server that goes on after a reset still listens.
    match client.is_refused(address, kept).await {
        true => forward::AttemptEnd::Crashed,
        false => forward::AttemptEnd::Broken,
    }
}

async fn decode(
    client: &rim::ForwardClient,
    (address, kept): (net::SocketAddr, usize),
    response: Response,
    id: &str,
) -> Ending {
    let (head, body) = response.into_parts();
    if !FINAL_STATUSES.contains(&head.status.as_u16()) {
        // Nothing in the head can be relied on; dropping the body closes the connection.
        return (forward::AttemptEnd::Broken, backend::Condition::default());
    }
    let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
    if text(headers::REQUEST_ID).is_some_and(|echoed| echoed != id) {
        // Dropping the body closes the connection, on which responses no longer match requests.
        return (forward::AttemptEnd::Broken, backend::Condition::default());
    }
    let wrong_server = head.status == http::StatusCode::MISDIRECTED_REQUEST;
    let condition = match wrong_server {
        // It is that of another server.
        true => backend::Condition::default(),
        false => platform::decode_condition(head.status, &head.headers),
    };
    let rejected = head.headers.contains_key(headers::NOT_EXECUTED);
    let signature = text(headers::SIGNATURE).map(str::to_owned);
    let Ok(body) = body.read().await else {
        // The head arrived whole, and its status and headers tell whether the request ran.
        return match (wrong_server, rejected) {
            (true, _) => (forward::AttemptEnd::WrongServer, condition),
            (_, true) => (forward::AttemptEnd::Rejected, condition),
            _ => (interrupted(client, (address, kept)).await, condition),
        };
    };
    let end = if wrong_server {
        forward::AttemptEnd::WrongServer
    } else if rejected {
        forward::AttemptEnd::Rejected
    } else if head.status.is_success() && signature.is_none() {
        forward::AttemptEnd::Broken
    } else {
        forward::AttemptEnd::Answered(forward::Response {
            status: head.status.as_u16(),
            headers: headers::forwarded_response(&head.headers),
            signature,
            body,
        })
    };
    (end, condition)
}
