//! Simulated group of replicas with simulated disks, network and time.

mod cluster;
mod cluster_actions;
mod cluster_checks;
mod mem_disk;
mod network;
mod node;
mod oracle;
mod splitmix;
mod step;

pub(crate) use cluster::Cluster;
pub(crate) use mem_disk::{MemDisk, Tail};
pub(crate) use network::Network;
pub(crate) use node::Node;
pub(crate) use oracle::Oracle;
pub(crate) use splitmix::Splitmix;
pub(crate) use step::{Direction, Step};
