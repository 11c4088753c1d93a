//! Services that handle the requests of a route.

use crate::{configuration, ids};

/// Choice of backend servers for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// One backend server of this service.
    Service(ids::ServiceName),
    /// One backend server of one of these services, in proportion to the weights.
    Split(Vec<configuration::SplitShare>),
    /// One backend server of each of these services.
    Gather(configuration::Gather),
}

impl Target {
    /// All services that the target names, in its order.
    pub fn services(&self) -> impl Iterator<Item = &ids::ServiceName> + Clone {
        let single = match self {
            Self::Service(service) => Some(service),
            _ => None,
        };
        let split = match self {
            Self::Split(shares) => shares.as_slice(),
            _ => &[],
        };
        let shards = match self {
            Self::Gather(gather) => gather.shards.as_slice(),
            _ => &[],
        };
        let split = split.iter().map(|share| &share.service);
        single.into_iter().chain(split).chain(shards)
    }
}
