//! What a request tells a stand-in server about its caller.

/// Identity headers of one request, as a server received them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Identity {
    /// Id of the request.
    pub(crate) id: String,
    /// Name of the client account.
    pub(crate) account: Option<String>,
    /// Credentials, which no server may see.
    pub(crate) credentials: Option<String>,
}
