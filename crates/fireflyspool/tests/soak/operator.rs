//! An operator who changes the configuration and reads it back.

use std::{net, sync, time};

use super::{context::Context, random::Random};

/// Replaces and reads the configuration at random until the run is stopped.
pub(crate) async fn operate(context: sync::Arc<Context>, mut random: Random) {
    let http = Context::client();
    let mut pending: Option<u64> = None;
    while !context.is_stopped() {
        tokio::time::sleep(random.millis(50, 700)).await;
        let control = context.any_control(&mut random);
        if random.chance(60) {
            // A version that was not acknowledged may be retried on any control VM.
            let version = match pending {
                Some(version) if random.chance(70) => version,
                _ => context.checker.next_version(1 + random.below(3)),
            };
            pending = Some(version);
            if replace_once(&context, &http, control, version).await {
                pending = None;
            }
        } else {
            let (newest, _) = context.checker.versions();
            if let Some(version) = read_version(&http, control).await {
                check_version(&context, version, newest);
            }
        }
    }
}

/// Sends the first configuration until it is acknowledged.
pub(crate) async fn install(context: &Context, timeout: time::Duration) {
    let http = Context::client();
    let start = time::Instant::now();
    let version = context.checker.next_version(1);
    for attempt in 0.. {
        let control = context.controls[attempt % context.controls.len()].address();
        if replace_once(context, &http, control, version).await {
            return;
        }
        if start.elapsed() > timeout {
            let line = format!("no configuration was acknowledged in {timeout:?}");
            return context.checker.record_violation(line);
        }
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
}

/// Sends a configuration once; returns whether it was acknowledged.
async fn replace_once(
    context: &Context,
    http: &reqwest::Client,
    control: net::SocketAddr,
    version: u64,
) -> bool {
    let body = context.site.configuration(version, 1_500);
    let status = Context::order(http, control, "Config.Replace", body).await;
    let accepted = status.is_some_and(|status| status.is_success());
    if accepted {
        context.checker.record_acknowledged(version);
        let line = format!("configuration {version} acknowledged");
        context.checker.log(line);
    } else if status.is_some_and(|status| status.is_client_error()) {
        let line = format!("configuration {version} was refused with {status:?}");
        context.checker.record_violation(line);
    }
    accepted
}

/// Reads the configuration until a control VM answers, and checks its version.
pub(crate) async fn read_back(context: &Context, timeout: time::Duration) {
    let http = Context::client();
    let start = time::Instant::now();
    let (newest, _) = context.checker.versions();
    for attempt in 0.. {
        if start.elapsed() > timeout {
            let line = format!("no configuration was read in {timeout:?}");
            return context.checker.record_violation(line);
        }
        let control = context.controls[attempt % context.controls.len()].address();
        if let Some(version) = read_version(&http, control).await {
            return check_version(context, version, newest);
        }
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
}

fn check_version(context: &Context, version: u64, newest: u64) {
    let (_, sent) = context.checker.versions();
    if version < newest || version > sent {
        let line = format!("version {version} was read, {newest} acknowledged, {sent} sent");
        context.checker.record_violation(line);
    }
}

async fn read_version(http: &reqwest::Client, control: net::SocketAddr) -> Option<u64> {
    let url = format!("http://{control}/fireflyspool/Config.Get");
    let answer = http.get(url).send().await.ok()?;
    if !answer.status().is_success() {
        return None;
    }
    let document: serde_json::Value = answer.json().await.ok()?;
    document["Version"].as_u64()
}
