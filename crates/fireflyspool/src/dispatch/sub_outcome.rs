//! End of a sub-request.

use std::time;

use crate::{dispatch, ids, outcome};

/// The one result that an owner gives for a sub-request.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum SubOutcome {
    /// The shard was searched in the requested version.
    Answered {
        /// Backend server that answered.
        server: ids::ServerName,
        /// Hits, best first.
        hits: Vec<outcome::Hit>,
        /// Time from sending to the answer.
        service_time: time::Duration,
        /// Sub-requests that wait at this owner for the same service.
        queued: u32,
    },
    /// The submission ran.
    Submitted {
        /// Backend server that ran it.
        server: ids::ServerName,
        /// Receipt of the backend server.
        receipt: String,
    },
    /// Nothing ran: no byte left, or the backend server stated that it refused before running.
    NotRun {
        /// Cause.
        cause: dispatch::SkipCause,
        /// When this owner can take such work again.
        retry_after: Option<time::Duration>,
    },
    /// It may have run.
    Failed {
        /// Backend server that it was sent to, if known.
        server: Option<ids::ServerName>,
        /// Cause.
        cause: dispatch::FailureCause,
    },
}
