//! Backend servers as they announce themselves.
//!
//! A backend server sends a [`Report`] with each heartbeat and when it leaves.
//! A [`Registry`] merges reports that arrive late, twice or in another order:
//! the later incarnation of a server wins, within one the higher sequence number
//! wins, and a server that started to leave never becomes [`Phase::Serving`]
//! again. An address belongs to the server that was born last.
//!
//! Control VMs exchange their changes and entry VMs follow one of them, so the
//! same rules are applied wherever a [`Record`] arrives. A registry writes
//! every change to a bounded log; a follower that is too far behind gets all
//! records.

mod change_set;
mod known;
mod merge_outcome;
mod phase;
mod record;
mod refresh;
#[allow(clippy::module_inception, reason = "a file is named after its type")]
mod registry;
mod report;

pub use change_set::ChangeSet;
pub use merge_outcome::MergeOutcome;
pub use phase::Phase;
pub use record::Record;
pub use refresh::Refresh;
pub use registry::Registry;
pub use report::Report;
