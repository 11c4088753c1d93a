//! Results of orders.

use crate::configuration;

/// What became of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IdempotentOutcome {
    /// In the log, whether or not it changed anything.
    Accepted,
    /// The number of the VM was retired; it must join under a new one.
    Retired,
    /// Result of a read.
    Document(Option<configuration::Document>),
}
