//! Executes the steps of a scenario.

use std::{net, time};

use fireflyspool::{backend, ids};

use crate::{load, searcher};

/// Longest wait for a command; a change of leader and a lease are well within it.
const COMMAND_TIMEOUT: time::Duration = time::Duration::from_secs(15);

/// Characters of a response that are kept.
const KEPT_CHARACTERS: usize = 300;

/// Sends commands, instructions to searchers and signals.
#[derive(Clone, Debug)]
pub struct Operator {
    /// HTTP client.
    pub client: reqwest::Client,
    /// Operator name.
    pub name: ids::OperatorName,
    /// Key of the site.
    pub key: String,
    /// Number of the next command.
    pub number: ids::CommandNumber,
    /// Entry addresses.
    pub seeds: Vec<net::SocketAddr>,
    /// Searchers.
    pub listings: Vec<searcher::Listing>,
    /// Processes that can be signalled.
    pub processes: Vec<(String, i32)>,
}

impl Operator {
    /// Executes the steps at their times.
    pub async fn run(
        mut self,
        steps: Vec<load::Step>,
        start: time::Instant,
    ) -> Vec<load::EventReport> {
        let mut reports = Vec::new();
        for step in steps {
            tokio::time::sleep_until((start + step.at).into()).await;
            let began = time::Instant::now();
            let result = self.execute(&step.action).await;
            let millis = |duration: time::Duration| u64::try_from(duration.as_millis());
            reports.push(load::EventReport {
                at_ms: millis(began - start).unwrap_or(u64::MAX),
                step: serde_json::json!(step.action).to_string(),
                took_ms: millis(began.elapsed()).unwrap_or(u64::MAX),
                succeeded: result.is_ok(),
                result: result.unwrap_or_else(|error| format!("{error:#}")),
            });
        }
        reports
    }

    /// Executes one action and returns its result.
    ///
    /// # Errors
    ///
    /// Returns an error if nobody accepted it.
    pub async fn execute(&mut self, action: &load::StepAction) -> anyhow::Result<String> {
        match action {
            load::StepAction::Command { statement } => self.command(statement).await,
            load::StepAction::Control {
                select,
                instruction,
            } => {
                let chosen = select.of(&self.listings);
                let orders = chosen
                    .iter()
                    .map(|listing| (listing.control, instruction.clone()));
                self.instruct(orders.collect()).await
            }
            load::StepAction::HostVersion {
                select,
                collection,
                version,
            } => {
                let mut orders = Vec::new();
                for listing in select.of(&self.listings) {
                    let hosted = listing.hosted.iter();
                    let hosted = hosted.filter(|shard| shard.collection == *collection);
                    orders.extend(hosted.map(|shard| {
                        let version = *version;
                        let shard = backend::HostedShard {
                            version,
                            ..shard.clone()
                        };
                        (listing.control, searcher::Control::AddVersion(shard))
                    }));
                }
                self.instruct(orders).await
            }
            load::StepAction::Signal { process, signal } => {
                let known = self.processes.iter().find(|known| known.0 == *process);
                let known = known.ok_or_else(|| anyhow::anyhow!("no process {process}"))?;
                signal.send(known.1)?;
                Ok(format!("{signal:?} sent to {}", known.1))
            }
        }
    }

    /// Sends a statement under one number until an entry VM responds.
    async fn command(&mut self, statement: &str) -> anyhow::Result<String> {
        self.number += 1;
        let body = serde_json::json!({
            "operator": self.name,
            "number": self.number,
            "statement": statement,
            "wait": "in_force",
        });
        let mut last = anyhow::anyhow!("no seed address");
        for seed in &self.seeds {
            let sent = self
                .client
                .post(format!("http://{seed}/v1/command"))
                .bearer_auth(&self.key)
                .timeout(COMMAND_TIMEOUT)
                .json(&body)
                .send()
                .await;
            match sent {
                Ok(response) => {
                    let status = response.status();
                    let text = response.text().await.unwrap_or_default();
                    anyhow::ensure!(status.is_success(), "status {status}: {text}");
                    return Ok(text.chars().take(KEPT_CHARACTERS).collect());
                }
                // A resend under the same number is recognized, so the next VM can be asked.
                Err(error) => last = error.into(),
            }
        }
        Err(last)
    }

    async fn instruct(
        &self,
        orders: Vec<(net::SocketAddr, searcher::Control)>,
    ) -> anyhow::Result<String> {
        let count = orders.len();
        anyhow::ensure!(count > 0, "no searcher is selected");
        for (address, control) in orders {
            let response = self
                .client
                .post(format!("http://{address}/control"))
                .timeout(COMMAND_TIMEOUT)
                .json(&control)
                .send()
                .await?;
            anyhow::ensure!(response.status().is_success(), "{}", response.text().await?);
        }
        Ok(format!("{count} instructions sent"))
    }
}
