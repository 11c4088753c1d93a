//! Choice of the index version and the candidate owners of a query.
//!
//! [`plan`] pins one index version and lists, for every shard of that
//! version's shard map, the entry VMs that own eligible replicas of it.
//! [`crate::gather`] chooses among these candidates, because that choice
//! depends on the attempts under way.
//!
//! Collecting the owners visits every backend server; [`RouteCache`] does so
//! once per published view instead of once per query.
//!
//! The newest version whose shards all have a candidate is pinned, so a version
//! that is still being loaded is not used until every shard of it can answer.

mod candidate;
mod pin;
#[expect(
    clippy::module_inception,
    reason = "one type a file, the file named after it"
)]
mod plan;
mod plan_error;
mod route_cache;
mod routes;
mod search;

pub(crate) use pin::plan_excluding;

pub use candidate::Candidate;
pub use pin::plan;
pub use plan::Plan;
pub use plan_error::PlanError;
pub use route_cache::RouteCache;
pub use routes::Routes;
pub use search::Search;
