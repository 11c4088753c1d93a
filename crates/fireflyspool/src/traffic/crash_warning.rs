//! Warnings about request content that crashes backend servers.

use std::{sync, time};

use tokio::task;

use crate::{control, ids, rim, roster, traffic};

/// Longest wait for the answers of members; a member that is frozen or partitioned
/// learns of the crashes with its next lease renewal.
const WARNING_WAIT: time::Duration = time::Duration::from_millis(100);

impl traffic::EntryNode {
    /// Warns all members about request content that crashed backend servers.
    ///
    /// Returns when all members have applied the warning, or after a bounded wait.
    pub async fn warn(&self, fingerprint: ids::Fingerprint, servers: &[ids::ServerName]) {
        let view = self.shared.view.load_full();
        let crash = |server: &ids::ServerName| {
            let record = view.servers.get(server)?;
            Some(roster::Crash {
                fingerprint,
                server: server.clone(),
                incarnation: record.announcement.incarnation,
            })
        };
        let crashes: sync::Arc<Vec<_>> = sync::Arc::new(servers.iter().filter_map(crash).collect());
        let mut calls = task::JoinSet::new();
        for (member, record) in view.members.iter() {
            if *member == self.shared.node {
                continue;
            }
            let peer = self.peers.get(*member, record.rpc);
            let crashes = sync::Arc::clone(&crashes);
            calls.spawn(async move {
                peer.call::<_, bool>(rim::Method::Warn, crashes.as_ref(), WARNING_WAIT)
                    .await
                    .is_ok_and(|warned| warned)
            });
        }
        let (reply, applied) = tokio::sync::oneshot::channel();
        let crashes = crashes.as_ref().clone();
        self.shared
            .tell_control(control::Event::CrashWarning { crashes, reply });
        let mut warned = usize::from(applied.await.is_ok());
        for answered in calls.join_all().await {
            warned += usize::from(answered);
        }
        slog::warn!(self.shared.logger, "content suspected of crashing backend servers";
            "fingerprint" => fingerprint, "servers" => ?servers,
            "members" => view.members.len(), "warned" => warned);
    }
}
