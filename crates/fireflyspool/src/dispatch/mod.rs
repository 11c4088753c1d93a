//! Work of an owner: sending sub-requests to the backend servers it owns.
//!
//! Every backend server has one owner among the entry VMs. The owner holds all
//! its slots, so it alone decides what runs there and in which order. A
//! coordinator hands over a [`SubRequest`] and gets exactly one [`SubOutcome`].

mod failure_cause;
mod skip_cause;
mod sub_outcome;
mod sub_request;
mod work;

pub use failure_cause::FailureCause;
pub use skip_cause::SkipCause;
pub use sub_outcome::SubOutcome;
pub use sub_request::SubRequest;
pub use work::Work;
