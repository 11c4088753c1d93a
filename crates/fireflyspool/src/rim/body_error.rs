//! Errors of reading a request body.

/// Why a request body was not read.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum BodyError {
    /// The body has more bytes than its request may have.
    #[error("the body has more than {limit} bytes")]
    TooLarge {
        /// Bytes that are allowed.
        limit: usize,
    },
    /// The connection ended or the body is malformed.
    #[error("the body is incomplete")]
    Broken(#[source] hyper::Error),
    /// The body did not end in time.
    #[error("the body did not end in time")]
    TimedOut,
    /// Other bodies take the memory that is set aside.
    #[error("too many large bodies at a time")]
    NoRoom,
}
