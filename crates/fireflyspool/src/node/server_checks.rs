//! Checks of backend servers that may end under attempts that were given up.
//!
//! [`crate::fleet`] decides which servers are checked and what follows. A check looks at the
//! connections that are kept first, so it opens one only to a server without any, where the
//! next request can use it.

use std::{sync, time};

use futures_util::StreamExt as _;

use crate::node;

/// Interval at which servers that are due are looked for while any is watched.
const INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Checks that wait for a server at the same time.
const MAX_CHECKS: usize = 8;

/// Checks servers for as long as any is watched.
pub(super) async fn run(forwarding: sync::Arc<node::Forwarding>) {
    let timer = forwarding.process.timer.clone();
    loop {
        let is_watching = forwarding.fleet().is_watching();
        tokio::select! {
            () = forwarding.watch_changed.notified() => {}
            () = timer.sleep(INTERVAL), if is_watching => {}
        }
        let checks = forwarding.fleet().due_checks(time::Instant::now());
        let checks = futures_util::stream::iter(checks);
        checks
            .for_each_concurrent(MAX_CHECKS, |check| {
                let forwarding = sync::Arc::clone(&forwarding);
                async move {
                    let accepts = forwarding.client.accepts(check.address, check.kept).await;
                    let mut fleet = forwarding.fleet();
                    fleet.record_check(&check, accepts, time::Instant::now());
                    forwarding.report_observations(&mut fleet);
                }
            })
            .await;
    }
}
