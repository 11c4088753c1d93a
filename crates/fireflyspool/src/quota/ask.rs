//! Request for tokens of one account.

use crate::ids;

/// Number of tokens that an entry VM needs for an account.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Ask {
    /// Name of the account.
    pub account: ids::AccountName,
    /// Number of requests that wait for a token.
    pub count: u32,
    /// Tokens that this control VM granted a moment ago and no request used.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub returned: u32,
}

fn is_zero(value: &u32) -> bool {
    *value == 0
}
