//! Result of a sub-request.

use std::time;

use crate::{dispatch, ids, outcome};

/// Result that an owner sends to the coordinator, exactly once per sub-request.
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
        /// Time between sending the attempt and its answer.
        service_time: time::Duration,
        /// Sub-requests that waited at this owner for the same service when the answer came.
        queued: u32,
    },
    /// The submission ran.
    Submitted {
        /// Backend server that ran it.
        server: ids::ServerName,
        /// Receipt of the backend server.
        receipt: String,
    },
    /// It did not run: no byte was sent, or the backend server refused it before running.
    NotRun {
        /// Why it did not run.
        cause: dispatch::SkipCause,
        /// Time until this owner may accept it; `None` if unknown.
        retry_after: Option<time::Duration>,
    },
    /// It may have run.
    Failed {
        /// Backend server that it was sent to, if known.
        server: Option<ids::ServerName>,
        /// Why there is no usable answer.
        cause: dispatch::FailureCause,
    },
}
