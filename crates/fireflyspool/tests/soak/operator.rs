//! An operator who changes the configuration and reads it back.

use std::{sync, time};

use super::{random::Random, stage::Stage};

/// Works until the run is stopped.
pub(crate) async fn operate(stage: sync::Arc<Stage>, mut random: Random) {
    let http = Stage::client();
    let mut pending: Option<u64> = None;
    while !stage.is_stopped() {
        tokio::time::sleep(random.millis(50, 700)).await;
        let control = stage.controls[random.index(stage.controls.len())].address();
        if random.chance(60) {
            // What is not acknowledged is sent again, to any control VM.
            let version = match pending {
                Some(version) if random.chance(70) => version,
                _ => stage.ledger.next_version(1 + random.below(3)),
            };
            pending = Some(version);
            let url = format!("http://{control}/fireflyspool/Config.Replace");
            let body = stage.site.configuration(version, 1_500);
            match http.post(url).body(body).send().await {
                Ok(answer) if answer.status().is_success() => {
                    stage.ledger.acknowledge(version);
                    stage
                        .ledger
                        .tell(format!("configuration {version} acknowledged"));
                    pending = None;
                }
                Ok(answer) if answer.status().as_u16() < 500 => {
                    let status = answer.status();
                    stage
                        .ledger
                        .violate(format!("configuration {version} got {status}"));
                }
                _ => {}
            }
        } else {
            let (newest, _) = stage.ledger.versions();
            if let Some(version) = read(&http, control).await {
                check(&stage, version, newest);
            }
        }
    }
}

/// Sends the first configuration until it is acknowledged.
pub(crate) async fn install(stage: &Stage, patience: time::Duration) {
    let http = Stage::client();
    let start = time::Instant::now();
    let version = stage.ledger.next_version(1);
    for turn in 0.. {
        let control = stage.controls[turn % stage.controls.len()].address();
        let url = format!("http://{control}/fireflyspool/Config.Replace");
        let body = stage.site.configuration(version, 1_500);
        let answer = http.post(url).body(body).send().await;
        if answer.is_ok_and(|answer| answer.status().is_success()) {
            return stage.ledger.acknowledge(version);
        }
        if start.elapsed() > patience {
            let line = format!("no configuration was acknowledged in {patience:?}");
            return stage.ledger.violate(line);
        }
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
}

/// Reads the configuration until a control VM is sure of it.
pub(crate) async fn read_back(stage: &Stage, patience: time::Duration) {
    let http = Stage::client();
    let start = time::Instant::now();
    let (newest, _) = stage.ledger.versions();
    for turn in 0.. {
        if start.elapsed() > patience {
            let line = format!("no configuration was read in {patience:?}");
            return stage.ledger.violate(line);
        }
        let control = stage.controls[turn % stage.controls.len()].address();
        if let Some(version) = read(&http, control).await {
            return check(stage, version, newest);
        }
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
}

fn check(stage: &Stage, version: u64, newest: u64) {
    let (_, sent) = stage.ledger.versions();
    if version < newest || version > sent {
        let line = format!("version {version} was read, {newest} acknowledged, {sent} sent");
        stage.ledger.violate(line);
    }
}

async fn read(http: &reqwest::Client, control: std::net::SocketAddr) -> Option<u64> {
    let url = format!("http://{control}/fireflyspool/Config.Get");
    let answer = http.get(url).send().await.ok()?;
    if !answer.status().is_success() {
        return None;
    }
    let document: serde_json::Value = answer.json().await.ok()?;
    document["Version"].as_u64()
}
