//! Actions of a scenario.

use fireflyspool::ids;

use crate::{load, searcher};

/// What happens in a step.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(tag = "do", rename_all = "snake_case")]
pub enum StepAction {
    /// Sends a statement as the operator and waits until it is in force.
    Command {
        /// Statement.
        statement: String,
    },
    /// Instructs searchers.
    Control {
        /// Searchers.
        #[serde(default)]
        select: load::Selection,
        /// Instruction.
        instruction: searcher::Control,
    },
    /// Lets searchers host another index version of the shards that they host.
    HostVersion {
        /// Searchers.
        #[serde(default)]
        select: load::Selection,
        /// Collection.
        collection: ids::CollectionName,
        /// Index version.
        version: ids::IndexVersion,
    },
    /// Signals a process named on the command line.
    Signal {
        /// Name from `--process NAME=ID`.
        process: String,
        /// Signal.
        signal: load::Signal,
    },
}
