//! HTTP requests of callers.

use std::{sync, time};

use http_body_util::BodyExt as _;

use crate::platform::headers;
use crate::{forward, node, rim};

type Body = http_body_util::Full<bytes::Bytes>;
type Response = http::Response<Body>;

/// Translates between the platform's HTTP requests and the types of an entry VM.
pub(super) struct CallerService {
    node: sync::Arc<node::Entry>,
}

impl CallerService {
    pub(super) fn new(node: sync::Arc<node::Entry>) -> Self {
        Self { node }
    }
}

impl rim::CallerHandler for CallerService {
    fn handle(&self, request: http::Request<hyper::body::Incoming>) -> rim::ResponseFuture {
        let node = sync::Arc::clone(&self.node);
        Box::pin(async move {
            let mut response = serve(&node, request).await;
            if node.is_draining() {
                let close = http::HeaderValue::from_static("close");
                response
                    .headers_mut()
                    .insert(http::header::CONNECTION, close);
            }
            response.map(rim::ResponseBody::Left)
        })
    }

    fn idle(&self) -> time::Duration {
        self.node.limits().idle_timeout
    }
}

async fn serve(node: &node::Entry, request: http::Request<hyper::body::Incoming>) -> Response {
    let (head, body) = request.into_parts();
    let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
    let Some(id) = text(headers::REQUEST_ID).map(str::to_owned) else {
        return text_response(http::StatusCode::BAD_REQUEST, "the request has no id");
    };
    let millis = text(headers::DEADLINE).and_then(|value| value.parse::<f64>().ok());
    let timeout =
        millis.and_then(|millis| time::Duration::try_from_secs_f64(millis / 1_000.0).ok());
    let host = text("host").or_else(|| head.uri.host()).unwrap_or_default();
    let request = forward::Request {
        id: id.clone(),
        host: host.to_owned(),
        path: head.uri.path().to_owned(),
        timeout,
        credentials: headers::credentials(&head.headers),
        grant: None,
    };
    let limit = node.limits().body_bytes;
    let Ok(body) = http_body_util::Limited::new(body, limit).collect().await else {
        return text_response(http::StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
    };
    let message = node::Message {
        id: id.clone(),
        method: head.method,
        headers: headers::end_to_end(&head.headers),
        target: head.uri,
        body: body.to_bytes(),
    };
    encode(node.serve(request, message).await, &id)
}

fn encode(outcome: forward::Outcome, id: &str) -> Response {
    match outcome {
        forward::Outcome::Passed(passed) => {
            let status = http::StatusCode::from_u16(passed.status);
            let mut response = Response::new(Body::new(passed.body));
            *response.status_mut() = status.unwrap_or(http::StatusCode::BAD_GATEWAY);
            *response.headers_mut() = passed.headers;
            response
        }
        forward::Outcome::Gathered {
            signatures,
            missing,
            body,
        } => {
            let built = http::Response::builder()
                .header(headers::REQUEST_ID, id)
                .header(headers::PART_SIGNATURES, signatures.join(", "))
                .header(headers::MISSING_PARTS, missing)
                .body(Body::new(body));
            built.unwrap_or_else(|_| {
                text_response(http::StatusCode::BAD_GATEWAY, "unusable signature")
            })
        }
        forward::Outcome::Refused { retry_after } => {
            let response = text_response(http::StatusCode::SERVICE_UNAVAILABLE, "not run");
            with_retry_after(response, retry_after)
        }
        forward::Outcome::Limited { retry_after } => {
            let response = text_response(http::StatusCode::TOO_MANY_REQUESTS, "over the quota");
            with_retry_after(response, retry_after)
        }
        forward::Outcome::Unauthorized => {
            let mut response = text_response(http::StatusCode::UNAUTHORIZED, "no valid key");
            let challenge = http::HeaderValue::from_static("Bearer");
            let headers = response.headers_mut();
            headers.insert(http::header::WWW_AUTHENTICATE, challenge);
            response
        }
        forward::Outcome::NoRoute => text_response(http::StatusCode::NOT_FOUND, "no route"),
        forward::Outcome::Failed => {
            text_response(http::StatusCode::BAD_GATEWAY, "no usable answer")
        }
        forward::Outcome::TimedOut => {
            text_response(http::StatusCode::GATEWAY_TIMEOUT, "out of time")
        }
    }
}

fn with_retry_after(mut response: Response, retry_after: time::Duration) -> Response {
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = http::HeaderValue::from_str(&seconds) {
        let headers = response.headers_mut();
        headers.insert(http::header::RETRY_AFTER, value);
    }
    response
}

fn text_response(status: http::StatusCode, text: &'static str) -> Response {
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = status;
    response
}
