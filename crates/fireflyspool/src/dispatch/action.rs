//! Output of a dispatcher, executed by its driver.

use std::{net, time};

use crate::{dispatch, ids};

/// Instruction to the driver, which executes actions in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends an attempt to a backend server.
    Send {
        /// Number of the attempt; every later event about it carries it.
        attempt: ids::AttemptId,
        /// Backend server.
        server: ids::ServerName,
        /// Address of its listener.
        address: net::SocketAddr,
        /// Body of the request.
        body: dispatch::Body,
        /// Time after which the driver closes the connection without an answer.
        timeout: time::Duration,
    },
    /// Sends a cancellation of an attempt; the attempt itself stays open.
    CancelAttempt {
        /// Attempt to cancel.
        attempt: ids::AttemptId,
        /// Backend server that runs it.
        server: ids::ServerName,
        /// Address of its listener.
        address: net::SocketAddr,
    },
    /// Sends the only result of a sub-request to its coordinator.
    Reply {
        /// Entry VM that coordinates the request.
        coordinator: ids::NodeId,
        /// Incarnation of that entry VM's process.
        incarnation: ids::Incarnation,
        /// Sub-request that ended.
        sub: ids::SubRequestId,
        /// Result of the sub-request.
        outcome: dispatch::SubOutcome,
    },
    /// Opens connections before requests need them; each one is reported by its own event.
    OpenConnections {
        /// Backend server.
        server: ids::ServerName,
        /// Incarnation of the backend server, returned in the event.
        incarnation: ids::Incarnation,
        /// Address of its listener.
        address: net::SocketAddr,
        /// Number of connections.
        count: u32,
    },
    /// Drops the client of a backend server, which closes its connections.
    CloseConnections {
        /// Backend server.
        server: ids::ServerName,
    },
    /// Reports that this owner no longer uses a backend server, so another VM may own it.
    Released {
        /// Backend server.
        server: ids::ServerName,
    },
    /// Reports that a backend server crashed while it ran a request.
    ReportCrash {
        /// Fingerprint of the request that ran.
        fingerprint: ids::Fingerprint,
        /// Backend server that crashed.
        server: ids::ServerName,
    },
    /// Logs a placement decision.
    Log(dispatch::Decision),
}
