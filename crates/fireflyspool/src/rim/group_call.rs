//! Call of another entry VM for a group of shards.

use std::{net, time};

use crate::rim::{group_answer_wire, group_wire};
use crate::{forward, node, rim, timer};

/// State of a call that is not sent yet.
pub struct Unsent {
    client: rim::ForwardClient,
    delegate: net::SocketAddr,
    request: Option<http::Request<http_body_util::Full<bytes::Bytes>>>,
}

/// State of a call whose answers are received.
pub struct Answering {
    body: rim::ForwardBody,
    received: bytes::BytesMut,
}

/// Call for a group, with its typestate `S`; dropping it cancels the group.
pub struct GroupCall<S> {
    id: String,
    shards: usize,
    top_k: usize,
    deadline: time::Instant,
    timer: timer::TimerService,
    state: S,
}

impl<S> GroupCall<S> {
    fn with_state<T>(self, state: T) -> GroupCall<T> {
        GroupCall {
            id: self.id,
            shards: self.shards,
            top_k: self.top_k,
            deadline: self.deadline,
            timer: self.timer,
            state,
        }
    }
}

impl GroupCall<Unsent> {
    /// Prepares a call; nothing is sent yet.
    pub fn new(
        (client, timer): (rim::ForwardClient, timer::TimerService),
        delegation: &forward::Delegation,
        message: &node::Message,
    ) -> Self {
        let group = &delegation.group;
        let wire = group_wire::GroupWire::new(group, &message.id, time::Instant::now());
        Self {
            id: message.id.clone(),
            shards: group.services.len(),
            top_k: group.top_k,
            deadline: group.deadline,
            timer,
            state: Unsent {
                client,
                delegate: delegation.delegate,
                request: group_wire::encode_request(&wire, message),
            },
        }
    }

    /// Sends the group and waits for the first answer.
    pub async fn send(mut self) -> rim::GroupProgress {
        let Some(request) = self.state.request.take() else {
            // Nothing was sent; the failure must not count against the other VM for long.
            return rim::GroupProgress::failed(forward::GroupEnd::Refused);
        };
        let sleep = self.timer.sleep_until(self.deadline);
        let sent = tokio::select! {
            sent = self.state.client.send(self.state.delegate, request) => sent,
            () = sleep => return rim::GroupProgress::failed(forward::GroupEnd::TimedOut),
        };
        let (head, body) = match sent {
            Ok(response) => response.into_parts(),
            Err(rim::ForwardError::Connect(_)) => {
                return rim::GroupProgress::failed(forward::GroupEnd::Unreachable);
            }
            Err(_) => return rim::GroupProgress::failed(forward::GroupEnd::Broken),
        };
        match head.status {
            http::StatusCode::OK => {
                let received = bytes::BytesMut::new();
                let answering = self.with_state(Answering { body, received });
                answering.next().await
            }
            http::StatusCode::SERVICE_UNAVAILABLE => {
                // Reading it whole keeps the connection.
                let _ = body.read().await;
                rim::GroupProgress::failed(forward::GroupEnd::Refused)
            }
            _ => rim::GroupProgress::failed(forward::GroupEnd::Broken),
        }
    }
}

impl GroupCall<Answering> {
    /// Waits for the next answer.
    pub async fn next(mut self) -> rim::GroupProgress {
        let mut sleep = self.timer.sleep_until(self.deadline);
        loop {
            if let Some((description, body)) =
                group_answer_wire::split_first(&mut self.state.received)
            {
                let bounds = (self.shards, self.top_k);
                let decoded = group_answer_wire::decode((&description, body), &self.id, bounds);
                return match decoded {
                    Some((answer, false)) => rim::GroupProgress::Answered(answer, Box::new(self)),
                    Some((answer, true)) => self.finish(answer).await,
                    None => rim::GroupProgress::failed(forward::GroupEnd::Broken),
                };
            }
            let chunk = tokio::select! {
                chunk = self.state.body.next_chunk() => chunk,
                () = &mut sleep => return rim::GroupProgress::failed(forward::GroupEnd::TimedOut),
            };
            match chunk {
                Ok(Some(chunk)) => self.state.received.extend_from_slice(&chunk),
                Ok(None) | Err(_) => return rim::GroupProgress::failed(forward::GroupEnd::Broken),
            }
        }
    }

    /// Ends the call after the last answer, and keeps the connection.
    async fn finish(self, answer: forward::GroupAnswer) -> rim::GroupProgress {
        let _ = self.state.body.read().await;
        rim::GroupProgress::Ended(Some(answer), forward::GroupEnd::Answered)
    }
}
