//! Identity of a data folder.

use crate::ids;

/// Replica that a data folder belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Identity {
    /// Name of the site.
    pub site: String,
    /// Number of the VM.
    pub node: ids::NodeId,
    /// Random number drawn when the folder was initialized.
    pub incarnation: ids::Incarnation,
    /// Whether the folder was made to join an existing group; if so, it takes no part in bootstrap.
    pub joining: bool,
}
