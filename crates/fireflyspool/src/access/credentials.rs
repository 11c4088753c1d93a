//! Credentials of a request.

use std::fmt;

use crate::access;

/// Scheme of the credentials that carry a key; compared without regard to case, as RFC 9110
/// requires.
const SCHEME: &[u8] = b"bearer";

/// Values of the authorization headers of a request, in their order.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Credentials(Vec<bytes::Bytes>);

impl Credentials {
    /// Takes the values as they were received.
    pub fn new(values: Vec<bytes::Bytes>) -> Self {
        Self(values)
    }

    /// The key.
    ///
    /// # Errors
    ///
    /// Returns the [`access::Cause`] if there is not exactly one well-formed key.
    pub fn key(&self) -> Result<&[u8], access::Cause> {
        let value = match self.0.as_slice() {
            [] => return Err(access::Cause::Missing),
            [value] => value,
            _ => return Err(access::Cause::Repeated),
        };
        let end = value.iter().position(|byte| *byte == b' ');
        let (scheme, rest) = value.split_at(end.unwrap_or(value.len()));
        if !scheme.eq_ignore_ascii_case(SCHEME) {
            return Err(access::Cause::OtherScheme);
        }
        let key = rest.get(1..).unwrap_or_default();
        match !key.is_empty() && key.iter().all(u8::is_ascii_graphic) {
            true => Ok(key),
            false => Err(access::Cause::Malformed),
        }
    }
}

/// Shows no key.
impl fmt::Debug for Credentials {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Credentials({})", self.0.len())
    }
}
