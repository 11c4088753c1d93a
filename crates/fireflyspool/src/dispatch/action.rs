//! What the driver of a dispatcher must do.

use std::{net, time};

use crate::{dispatch, ids};

/// Instruction to the driver; actions are executed in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends an attempt to a backend server.
    Send {
        /// Attempt, named by every later event about it.
        attempt: ids::AttemptId,
        /// Backend server.
        server: ids::ServerName,
        /// Address of its listener.
        address: net::SocketAddr,
        /// Body of the request.
        body: dispatch::Body,
        /// Time after which the driver gives up and closes the connection.
        timeout: time::Duration,
    },
    /// Asks the backend server to stop an attempt; the attempt itself stays open.
    CancelAttempt {
        /// Attempt to cancel.
        attempt: ids::AttemptId,
        /// Backend server that runs it.
        server: ids::ServerName,
        /// Address of its listener.
        address: net::SocketAddr,
    },
    /// Tells the coordinator the one result of a sub-request.
    Reply {
        /// Entry VM that coordinates the request.
        coordinator: ids::NodeId,
        /// Incarnation of that entry VM's process.
        incarnation: ids::Incarnation,
        /// Sub-request that ended.
        sub: ids::SubRequestId,
        /// Result.
        outcome: dispatch::SubOutcome,
    },
    /// Opens connections ahead of need; each one is reported separately.
    OpenConnections {
        /// Backend server.
        server: ids::ServerName,
        /// Incarnation of the backend server, returned in the report.
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
    /// Reports that this owner no longer uses a backend server.
    Released {
        /// Backend server.
        server: ids::ServerName,
    },
    /// Reports that a backend server crashed while it ran a request.
    ReportCrash {
        /// Content of the request.
        fingerprint: ids::Fingerprint,
        /// Backend server that crashed.
        server: ids::ServerName,
    },
    /// Writes a placement decision to the log.
    Log(dispatch::Decision),
}
