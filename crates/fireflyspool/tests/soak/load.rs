//! Callers that keep their connections and check every answer.

use std::{net, sync, time};

use super::{context::Context, random::Random};
use crate::platform_site::Caller;

/// Longest time for an answer: the deadline of the caller's requests, and a margin
/// for a busy machine.
const ANSWER_LIMIT: time::Duration = time::Duration::from_millis(4_500);

/// Time after which a caller resolves addresses again, as the platform's callers do.
const LOOKUP_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Sends queries and single requests until the run is stopped.
pub(crate) async fn call(context: sync::Arc<Context>, name: String, mut random: Random) {
    let mut caller = Caller::named(&name);
    let mut addresses: Vec<net::SocketAddr> = context.entries.keys().copied().collect();
    let mut resolved = time::Instant::now();
    while !context.is_stopped() {
        if resolved.elapsed() > LOOKUP_INTERVAL {
            resolved = time::Instant::now();
            let control = u8::try_from(1 + random.index(context.controls.len()))
                .expect("at most 255 control VMs");
            let listed = caller.resolve_once(&context.site, control).await;
            addresses = listed
                .filter(|listed| !listed.is_empty())
                .unwrap_or(addresses);
        }
        let entry = addresses[random.index(addresses.len())];
        let Some(relay) = context.entries.get(&entry) else {
            context.checker.record_violation(format!(
                "{entry} was resolved as an address but is no entry VM"
            ));
            return;
        };
        let start = time::Instant::now();
        if random.chance(70) {
            let missing = caller.query_shards(relay.address()).await;
            context.checker.record_query(missing);
        } else {
            let (id, status) = caller.send_single_with_id(relay.address()).await;
            context.checker.record_single(id, status);
        }
        if start.elapsed() > ANSWER_LIMIT {
            let elapsed = start.elapsed();
            context.checker.record_suspicion(
                entry,
                start,
                format!("took {elapsed:?} for a request"),
            );
        } else if caller.take_broken() {
            context.checker.record_suspicion(
                entry,
                start,
                "broke a connection during a request".to_owned(),
            );
        }
        tokio::time::sleep(random.millis(5, 40)).await;
    }
}
