//! Key of a roster record.

use crate::ids;

/// Identifies the record that a change concerns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RecordKey {
    /// An entry VM.
    Member(ids::NodeId),
    /// A backend server.
    Server(ids::ServerName),
    /// A suspect request, by the fingerprint of its content.
    Suspect(ids::Fingerprint),
}
