//! First connections of an entry VM to the services.
//!
//! A query over many shards that has to open a connection for each of them takes several
//! times as long as the next one, and its attempts look as if their backend servers were
//! slow. This task keeps a connection to each service that has become known and has had no
//! attempt, to the server that a first attempt would pick: after a start to all services,
//! and to those of a new set of shards before a configuration names them. It opens one at a
//! time, which leaves the processor to requests and spreads the load on the servers.

use std::{sync, time};

use crate::node;

/// Opens the connections whenever a view has been published.
pub(super) async fn open(forwarding: sync::Arc<node::Forwarding>) {
    let process = sync::Arc::clone(&forwarding.process);
    loop {
        process.view_changed.notified().await;
        let view = process.view.load_full();
        // Without a configuration no request comes, and idle connections expire.
        if view.table.is_none() {
            continue;
        }
        let now = time::Instant::now();
        let servers = {
            let mut fleet = forwarding.updated_fleet(&view);
            fleet.servers_to_open(rand::random(), now)
        };
        for address in servers {
            forwarding.client.open(address).await;
        }
    }
}
