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
//!
//! [`ControlState`] applies an [`Entry`] and returns the result for its proposer
//! ([`Applied`]). Operators number their commands; a resend gets the recorded
//! [`Receipt`]. A [`Claim`] is granted once and protects a non-idempotent
//! request from running twice. Receipts and claims are bounded in number, and
//! what was evicted can never run again: see [`ReceiptTable`] and [`ClaimTable`].
//!
//! A change of the control group is made by the driver. It proposes the command
//! after the membership change is committed, so that an accepted receipt is
//! never recorded for a change that was lost with the leader; a resend before
//! that makes the same change again, which has no further effect.

mod applied;
mod catalog;
mod catalog_changes;
mod catalog_limits;
mod change;
mod change_error;
mod claim;
mod claim_end;
mod claim_outcome;
mod claim_reply;
mod claim_table;
mod collection;
mod command;
mod config_key;
mod control_group;
mod control_record;
mod control_state;
mod decode_error;
mod departure_table;
mod entry;
mod history;
mod idempotent_command;
mod idempotent_outcome;
mod operation;
mod receipt;
mod receipt_table;
mod revision_record;
mod rollout_table;
mod service;
mod zone_changes;

pub use applied::Applied;
pub use catalog::Catalog;
pub use change::Change;
pub use change_error::ChangeError;
pub use claim::Claim;
pub use claim_end::ClaimEnd;
pub use claim_outcome::ClaimOutcome;
pub use claim_reply::ClaimReply;
pub use claim_table::{CLAIM_RETENTION, ClaimTable, MAX_CLAIM_SKEW};
pub use collection::Collection;
pub use command::Command;
pub use config_key::ConfigKey;
pub use control_group::ControlGroup;
pub use control_record::ControlRecord;
pub use control_state::ControlState;
pub use decode_error::DecodeError;
pub use departure_table::DepartureTable;
pub use entry::Entry;
pub use history::{HISTORY_LIMIT, History};
pub use idempotent_command::IdempotentCommand;
pub use idempotent_outcome::IdempotentOutcome;
pub use operation::Operation;
pub use receipt::Receipt;
pub use receipt_table::{RECEIPT_WINDOW, ReceiptTable};
pub use revision_record::RevisionRecord;
pub use rollout_table::RolloutTable;
pub use service::Service;
pub use zone_changes::ZoneChanges;
