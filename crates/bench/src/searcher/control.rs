//! Instructions to a running searcher.

use fireflyspool::{backend, ids};

use crate::searcher;

/// Instruction sent by `POST /control`.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(tag = "control", rename_all = "snake_case")]
pub enum Control {
    /// Replaces fields of the behaviour.
    Set {
        /// JSON object with the fields to replace.
        behaviour: serde_json::Value,
    },
    /// Replaces the whole behaviour.
    Behave(Box<searcher::Behaviour>),
    /// Hosts one more shard of an index version.
    AddVersion(backend::HostedShard),
    /// Drops all shards of an index version.
    DropVersion {
        /// Collection.
        collection: ids::CollectionName,
        /// Index version to drop.
        version: ids::IndexVersion,
    },
    /// Turns cold without a word.
    Cold,
    /// Starts to leave.
    Drain,
    /// Stops answering and announcing, as a stopped process does.
    Pause,
    /// Goes on after a pause.
    Resume,
    /// Closes all connections and comes back cold after the restart time.
    Crash,
    /// Ends at once.
    Stop,
}
