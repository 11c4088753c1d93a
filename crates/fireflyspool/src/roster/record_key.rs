//! Name of a record of the roster.

use crate::ids;

/// Which record a change concerned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RecordKey {
    /// An entry VM.
    Member(ids::NodeId),
    /// A backend server.
    Server(ids::ServerName),
    /// A suspect.
    Suspect(ids::Fingerprint),
}
