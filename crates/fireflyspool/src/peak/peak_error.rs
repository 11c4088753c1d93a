//! Errors of a stored peak record.

/// Why a stored record cannot be used.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum PeakError {
    /// The checksum does not match, so the record is damaged.
    #[error("the peak record is damaged")]
    Damaged,
    /// The content is not a peak record, or the record cannot be written as JSON.
    #[error("the peak record cannot be read or written as JSON")]
    Malformed(#[source] serde_json::Error),
}
