//! Access of callers by the keys of client accounts.
//!
//! [`authorize`] decides from the route, the accounts, the credentials of the request and the
//! freshness of the view. It has no state of its own; the entry VM that received the request calls
//! it when the request arrives, and asks [`Grant::holds`] again before each attempt.
//!
//! A view is old when no majority of the control VMs has confirmed it for too long: a key may
//! have been withdrawn or added meanwhile. Then a known key and an unknown one are both refused
//! for a while ([`Decision::Unsure`]), and only what cannot be a key is denied.
//!
//! Keys appear in no debug output, log line or metric; [`Cause`] names why a request is refused.

mod authorize;
mod cause;
mod credentials;
mod decision;
mod freshness;
mod grant;

pub use authorize::authorize;
pub use cause::Cause;
pub use credentials::Credentials;
pub use decision::Decision;
pub use freshness::Freshness;
pub use grant::Grant;
