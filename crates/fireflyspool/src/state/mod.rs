//! Replicated control state.
//!
//! The state machine is deterministic: every control VM applies the same
//! entries of the replicated log in the same order and reaches the same state.
//! Nothing here reads a clock; where time matters the leader stamps it into
//! the entry before it is replicated.
//!
//! [`Catalog`] is the part that entry VMs hold too. It changes only by
//! [`Change`], and each accepted change raises the revision by one, so an
//! entry VM that applies the same changes in order holds the same catalog.

mod catalog;
mod change;
mod change_error;
mod collection;
mod revision_record;
mod service;
mod value;

pub use catalog::Catalog;
pub use change::Change;
pub use change_error::ChangeError;
pub use collection::Collection;
pub use revision_record::RevisionRecord;
pub use service::Service;
pub use value::Value;
