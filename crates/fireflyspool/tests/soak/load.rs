//! Callers that keep their connections and check every answer.

use std::{net, sync, time};

use super::{context::Context, random::Random};
use crate::platform_site::Caller;

/// Longest time for any answer: the deadline of the caller's requests, and some
/// for a busy machine.
const LIMIT: time::Duration = time::Duration::from_millis(4_500);

/// Time after which a caller asks for addresses again, as the platform's callers do.
const LOOK_UP: time::Duration = time::Duration::from_secs(2);

/// Calls until the run is stopped.
pub(crate) async fn call(context: sync::Arc<Context>, name: String, mut random: Random) {
    let mut caller = Caller::named(&name);
    let mut known: Vec<net::SocketAddr> = context.entries.keys().copied().collect();
    let mut asked = time::Instant::now();
    while !context.is_stopped() {
        if asked.elapsed() > LOOK_UP {
            asked = time::Instant::now();
            let control = u8::try_from(1 + random.index(context.controls.len())).expect("few");
            let named = caller.look_up(&context.site, control).await;
            known = named.filter(|named| !named.is_empty()).unwrap_or(known);
        }
        let entry = known[random.index(known.len())];
        let Some(relay) = context.entries.get(&entry) else {
            context.checker.violation(format!(
                "{entry} is in an address answer but is no entry VM"
            ));
            return;
        };
        let start = time::Instant::now();
        if random.chance(70) {
            let missing = caller.gather(relay.address()).await;
            context.checker.gathered(missing);
        } else {
            let (id, status) = caller.fetch_named(relay.address()).await;
            context.checker.single(id, status);
        }
        if start.elapsed() > LIMIT {
            let held = start.elapsed();
            context
                .checker
                .suspect(entry, start, format!("held a request for {held:?}"));
        } else if caller.take_cut() {
            context
                .checker
                .suspect(entry, start, "cut a request".to_owned());
        }
        tokio::time::sleep(random.millis(5, 40)).await;
    }
}
