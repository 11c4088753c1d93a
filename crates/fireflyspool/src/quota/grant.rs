//! Answer to a request for tokens.

/// Tokens of one account that a control VM grants, and when it has more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Grant {
    /// Number of granted tokens, at most as many as were asked for.
    pub granted: u32,
    /// Milliseconds until this control VM has its next token; 0 if it granted all.
    pub next_ms: u64,
    /// Milliseconds until there is a token for the first request that got none, if those that
    /// were denied before it return first; 0 if it granted all.
    pub retry_ms: u64,
}
