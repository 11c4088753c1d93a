//! Simulated group of replicas on simulated disks, network and time.
//!
//! Everything is derived from a schedule, so a seed reproduces a run exactly.

mod cluster;
mod cluster_checks;
mod mem_disk;
mod network;
mod node;
mod oracle;
mod schedule;
mod splitmix;
mod step;

pub(crate) use cluster::Cluster;
pub(crate) use mem_disk::{MemDisk, Tail};
pub(crate) use network::Network;
pub(crate) use node::Node;
pub(crate) use oracle::Oracle;
pub(crate) use schedule::Schedule;
pub(crate) use splitmix::Splitmix;
pub(crate) use step::{Cut, Step};
