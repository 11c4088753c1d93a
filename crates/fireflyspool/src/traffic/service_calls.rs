//! Calls to the backend servers of one service.

use std::{net, sync, time};

use crate::{dispatch, ids, rim, telemetry, traffic};

/// Timeout of a cancellation; if it fails, the permit is held until the deadline
/// of the attempt.
const CANCEL_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Idle connections that a client keeps for cancellations, in addition to one
/// per slot of its server.
const SPARE_CONNECTIONS: usize = 2;

impl traffic::ServiceTask {
    pub(super) fn send(
        &mut self,
        attempt: ids::AttemptId,
        server: &str,
        address: net::SocketAddr,
        body: dispatch::Body,
        timeout: time::Duration,
    ) {
        let Some(sender) = self.sender.upgrade() else {
            return;
        };
        let Some(client) = self.client(server, address) else {
            let event = dispatch::Event::ConnectionLost {
                attempt,
                sent: false,
            };
            tokio::spawn(async move { sender.send(traffic::ServiceMessage::Event(event)).await });
            return;
        };
        let shared = sync::Arc::clone(&self.shared);
        tokio::spawn(async move {
            let event = match client.send(&body, timeout).await {
                rim::BackendReply::Searched(reply) => dispatch::Event::Answered { attempt, reply },
                rim::BackendReply::Submitted(reply) => {
                    dispatch::Event::Submitted { attempt, reply }
                }
                rim::BackendReply::Refused(status, reply) => dispatch::Event::Refused {
                    attempt,
                    status,
                    reply,
                },
                rim::BackendReply::Unreadable => dispatch::Event::InvalidReply { attempt },
                rim::BackendReply::Broken { sent } => {
                    dispatch::Event::ConnectionLost { attempt, sent }
                }
            };
            telemetry::Metrics::count(&shared.metrics.attempts, result_label(&event));
            // Fails only at process exit, when the service task has ended.
            let _ = sender.send(traffic::ServiceMessage::Event(event)).await;
        });
    }

    pub(super) fn cancel(
        &mut self,
        attempt: ids::AttemptId,
        server: &str,
        address: net::SocketAddr,
    ) {
        let Some(sender) = self.sender.upgrade() else {
            return;
        };
        let client = self.client(server, address);
        tokio::spawn(async move {
            let state = match client {
                Some(client) => client.cancel(attempt, CANCEL_TIMEOUT).await,
                None => None,
            };
            let event = match state {
                Some(state) => dispatch::Event::CancelAnswered { attempt, state },
                None => dispatch::Event::CancelFailed { attempt },
            };
            let _ = sender.send(traffic::ServiceMessage::Event(event)).await;
        });
    }

    pub(super) fn open(
        &mut self,
        server: &str,
        incarnation: ids::Incarnation,
        address: net::SocketAddr,
        count: u32,
    ) {
        let client = self.client(server, address);
        for _ in 0..count {
            let Some(sender) = self.sender.upgrade() else {
                return;
            };
            let client = client.clone();
            let server = server.to_owned();
            tokio::spawn(async move {
                let opened = match client {
                    Some(client) => client.open().await,
                    None => false,
                };
                let event = if opened {
                    dispatch::Event::ConnectionOpened {
                        server,
                        incarnation,
                    }
                } else {
                    dispatch::Event::ConnectionFailed {
                        server,
                        incarnation,
                    }
                };
                let _ = sender.send(traffic::ServiceMessage::Event(event)).await;
            });
        }
    }

    /// Client of a server; a server that restarts at another address gets a new client.
    pub(super) fn client(
        &mut self,
        server: &str,
        address: net::SocketAddr,
    ) -> Option<rim::BackendClient> {
        if let Some(client) = self.clients.get(server)
            && client.address() == address
        {
            return Some(client.clone());
        }
        let view = self.shared.view.load();
        let slots = view
            .servers
            .get(server)
            .map_or(1, |record| view.slots(record));
        let idle = slots as usize + SPARE_CONNECTIONS;
        match rim::BackendClient::new(address, idle) {
            Ok(client) => {
                self.clients.insert(server.to_owned(), client.clone());
                Some(client)
            }
            Err(error) => {
                slog::error!(self.shared.logger, "cannot create an HTTP client for a backend server"; "error" => %error);
                None
            }
        }
    }
}

fn result_label(event: &dispatch::Event) -> &'static str {
    match event {
        dispatch::Event::Answered { .. } => "answered",
        dispatch::Event::Submitted { .. } => "submitted",
        dispatch::Event::Refused { .. } => "refused",
        dispatch::Event::InvalidReply { .. } => "unreadable",
        dispatch::Event::ConnectionLost { sent: true, .. } => "broken",
        _ => "not_sent",
    }
}
