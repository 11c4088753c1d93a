//! Load balancing over backend servers, from reports and the entry VM's own attempts.
//!
//! The control thread publishes a [`View`]: configuration, backend servers and
//! zones as the control VMs report them. A [`Fleet`] on the traffic side adds
//! the statistics of this VM's own attempts: latency relative to what is typical
//! for the route, overdue attempts, failures and the load that servers report.
//!
//! [`Fleet::pick`] never returns a server that is leaving, silent, cold, in a
//! zone taken out, or suspended. A server is suspended when it cannot be
//! reached, because it may be restarting after a crash and cold afterwards; it
//! is used again once a control VM has received a later heartbeat from it.
//!
//! What a server states about itself in its responses binds this VM too: one that
//! leaves gets no request until a later incarnation reports, and one that asks for a
//! pause gets none until its end. Neither a heartbeat nor a new view ends that.
//!
//! Retries and hedges to each service draw on a [`RetryBudget`], this VM's share
//! of what all entry VMs may send together.
//!
//! Shards without a good server in this VM's zone are delegated in groups to entry VMs of
//! other zones, and so are those that are too many for one VM; [`Fleet::plan_groups`] decides
//! which ones go where.

mod attempt_result;
mod connection_limit;
mod delegate_state;
mod delegates;
mod failure_rate;
#[allow(clippy::module_inception, reason = "a file is named after its type")]
mod fleet;
mod fleet_groups;
mod fleet_shortage;
mod fleet_suspects;
mod fleet_watch;
mod known_server;
mod notice;
mod notices;
mod observations;
mod picked_server;
mod placed_shard;
mod planned_group;
mod pool;
mod pool_connections;
mod pool_rollout;
mod quantile;
mod retry_budget;
mod retry_limits;
mod route_latency;
mod server_score;
mod server_state;
mod shortage_meter;
mod split_state;
mod stated_pace;
mod suspects;
mod versions;
mod view;

pub use attempt_result::AttemptResult;
pub use fleet::Fleet;
pub use known_server::KnownServer;
pub use picked_server::PickedServer;
pub use planned_group::PlannedGroup;
pub use quantile::Quantile;
pub use retry_budget::RetryBudget;
pub use retry_limits::RetryLimits;
pub use view::View;
