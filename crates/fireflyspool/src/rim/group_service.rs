//! Service that gathers groups for other entry VMs.

use std::{sync, time};

use futures_util::{StreamExt as _, stream};
use http_body_util::BodyExt as _;
use hyper::body;

use crate::rim::{group_answer_wire, group_wire};
use crate::{node, rim};

type Response = http::Response<rim::ResponseBody>;

/// Time after which an idle connection is closed; longer than its client keeps one, so that
/// a group rarely meets a connection that is being closed.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Handles the groups that other entry VMs delegate to this one.
pub struct GroupService {
    node: sync::Arc<node::Entry>,
}

impl GroupService {
    /// Creates a service that gathers groups by an entry VM.
    pub fn new(node: sync::Arc<node::Entry>) -> Self {
        Self { node }
    }
}

impl rim::CallerHandler for GroupService {
    fn handle(&self, request: http::Request<hyper::body::Incoming>) -> rim::ResponseFuture {
        let node = sync::Arc::clone(&self.node);
        Box::pin(async move { serve(&node, request).await })
    }

    fn idle(&self) -> time::Duration {
        IDLE_TIMEOUT
    }
}

async fn serve(node: &node::Entry, request: http::Request<hyper::body::Incoming>) -> Response {
    let received = time::Instant::now();
    let (mut head, body) = request.into_parts();
    let Some(wire) = group_wire::GroupWire::from_headers(&head.headers) else {
        return empty(http::StatusCode::BAD_REQUEST);
    };
    let limit = node.limits().body_bytes;
    let Ok(body) = http_body_util::Limited::new(body, limit).collect().await else {
        return empty(http::StatusCode::PAYLOAD_TOO_LARGE);
    };
    head.headers.remove(group_wire::GROUP_HEADER);
    head.headers.remove(http::header::CONTENT_LENGTH);
    let id = wire.id.clone();
    let message = node::Message {
        id: id.clone(),
        method: head.method,
        target: head.uri,
        headers: head.headers,
        body: body.to_bytes(),
    };
    match node.gather(&wire.into_group(received), message) {
        Some(task) => http::Response::new(answers(task, id)),
        None => empty(http::StatusCode::SERVICE_UNAVAILABLE),
    }
}

/// Body with the answers to a group, each written when it is due.
fn answers(task: node::GroupTask, id: String) -> rim::ResponseBody {
    let answers = stream::unfold((task, id), |(mut task, id)| async move {
        let (answer, last) = task.next().await?;
        let encoded = group_answer_wire::encode(answer, &id, last);
        Some((Ok(body::Frame::data(encoded)), (task, id)))
    });
    rim::ResponseBody::Right(http_body_util::StreamBody::new(answers.boxed()))
}

fn empty(status: http::StatusCode) -> Response {
    let body = http_body_util::Full::default();
    let mut response = Response::new(rim::ResponseBody::Left(body));
    *response.status_mut() = status;
    response
}
