//! Registry of backend servers, built from their own reports.
//!
//! A backend server sends a [`Report`] with each heartbeat and when it leaves.
//! A [`Registry`] merges reports that arrive late, twice or out of order: the
//! latest incarnation of a server wins, within it the highest sequence number, and
//! an incarnation that is [`Phase::Leaving`] never becomes [`Phase::Serving`]
//! again. An address belongs to the server that started last.
//!
//! Control VMs exchange their changes and entry VMs follow one of them; the same
//! rules apply wherever a [`Record`] arrives. A registry writes every change to a
//! bounded log; a follower that is too far behind gets all records.

mod change_set;
mod departure;
mod entry;
mod merge_outcome;
mod phase;
mod record;
mod refresh;
#[allow(clippy::module_inception, reason = "a file is named after its type")]
mod registry;
mod report;

pub use change_set::ChangeSet;
pub use departure::Departure;
pub use merge_outcome::MergeOutcome;
pub use phase::Phase;
pub use record::Record;
pub use refresh::Refresh;
pub use registry::Registry;
pub use report::Report;
