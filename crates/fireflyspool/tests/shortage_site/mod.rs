//! Load of a site with many entry VMs, played without a network.
//!
//! Callers, entry VMs and backend servers with slots and queues exchange events in one queue.
//! The entry VMs use the decisions of the crate: its fleets, exchanges and admission.

mod server;
mod site;
mod tally;

pub(crate) use server::Server;
pub(crate) use site::{Decisions, Site};
pub(crate) use tally::Tally;
