//! What an entry VM knows about backend servers, and which one it prefers.
//!
//! The control thread publishes a [`View`]: configuration, backend servers and
//! zones as the control VMs report them. A [`Fleet`] on the traffic side adds
//! what this VM's own requests show: latency against what is typical for the
//! route, attempts that are overdue, failures and the load that servers tell.
//!
//! [`Fleet::pick`] never returns a server that is leaving, silent, cold, in a
//! zone taken out, or suspended. A server is suspended when it cannot be
//! reached, because it may be on its way back from a crash and cold; it is
//! used again once a control VM has heard it after that.
//!
//! Requests beyond the first to each service draw on a [`RepeatBudget`], this
//! VM's share of what all entry VMs may send together.

mod attempt_result;
#[allow(clippy::module_inception, reason = "a file is named after its type")]
mod fleet;
mod known_server;
mod limits;
mod loss_rate;
mod observations;
mod picked;
mod pool;
mod quantile;
mod repeat_budget;
mod route_latency;
mod split_state;
mod target;
mod target_score;
mod view;

pub use attempt_result::AttemptResult;
pub use fleet::Fleet;
pub use known_server::KnownServer;
pub use limits::Limits;
pub use picked::Picked;
pub use quantile::Quantile;
pub use repeat_budget::RepeatBudget;
pub use view::View;
