//! First connections of an entry VM to the services.
//!
//! A query over many shards that has to open a connection for each of them takes several
//! times as long as the next one, and its attempts look as if their backend servers were
//! slow. After a start this task keeps a connection to each service that has had no
//! attempt, to the server that a first attempt would pick. It opens one at a time, which
//! leaves the processor to requests and spreads the load on the servers.

use std::{sync, time};

use crate::node;

/// Time from the first configuration after which no connections are opened ahead: an entry
/// VM without requests for that long is not needed now.
const OPENING_WINDOW: time::Duration = time::Duration::from_secs(20);

/// Opens the connections whenever a view has been published, until the window ends.
pub(super) async fn open(forwarding: sync::Arc<node::Forwarding>) {
    let process = sync::Arc::clone(&forwarding.process);
    let mut end = None;
    loop {
        process.view_changed.notified().await;
        let view = process.view.load_full();
        // Without a configuration no request comes, and idle connections expire.
        if view.table.is_none() {
            continue;
        }
        let now = time::Instant::now();
        if now > *end.get_or_insert(now + OPENING_WINDOW) {
            return;
        }
        let unused = {
            let fleet = forwarding.updated_fleet(&view);
            fleet.unused_servers(rand::random(), now)
        };
        for address in unused {
            forwarding.client.open(address).await;
        }
    }
}
