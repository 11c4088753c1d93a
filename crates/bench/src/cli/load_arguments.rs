//! Flags of `load`.

use std::{net, path, time};

use fireflyspool_bench::load;

/// Sends load and reports.
#[derive(Debug)]
#[derive(clap::Args)]
pub(crate) struct LoadArguments {
    /// YAML file with the settings.
    #[arg(long)]
    settings: path::PathBuf,
    /// YAML file with timed steps.
    #[arg(long)]
    scenario: Option<path::PathBuf>,
    /// File that receives the report as JSON.
    #[arg(long)]
    report: Option<path::PathBuf>,
    /// Listing written by `searcher --listing`; may be repeated.
    #[arg(long)]
    listing: Vec<path::PathBuf>,
    /// Entry address, in place of those of the settings; may be repeated.
    #[arg(long)]
    seed_address: Vec<net::SocketAddr>,
    /// File with the key for commands.
    #[arg(long)]
    key_file: Option<path::PathBuf>,
    /// Process that the scenario may signal, as NAME=ID; may be repeated.
    #[arg(long, value_parser = parse_process)]
    process: Vec<(String, i32)>,
    /// Requests a second.
    #[arg(long)]
    rate: Option<f64>,
    /// Scale of the site.
    #[arg(long)]
    scale: Option<f64>,
    /// Time in which requests are sent.
    #[arg(long, value_parser = humantime::parse_duration)]
    duration: Option<time::Duration>,
    /// Seed of arrivals and request choice.
    #[arg(long)]
    seed: Option<u64>,
    /// Name of the run.
    #[arg(long)]
    label: Option<String>,
    /// Ignore the addresses that the tier advises.
    #[arg(long)]
    baseline: bool,
}

fn parse_process(text: &str) -> anyhow::Result<(String, i32)> {
    let parts = text.split_once('=');
    let (name, id) = parts.ok_or_else(|| anyhow::anyhow!("expected NAME=ID"))?;
    Ok((name.to_owned(), id.parse()?))
}

impl LoadArguments {
    /// Runs the load.
    pub(crate) async fn run(self) -> anyhow::Result<()> {
        let settings = self.settings()?;
        let steps = match &self.scenario {
            Some(path) => load::Step::read(path)?,
            None => Vec::new(),
        };
        let mut listings = Vec::new();
        for path in &self.listing {
            let text = std::fs::read_to_string(path)?;
            let more: Vec<_> = serde_json::from_str(&text)?;
            listings.extend(more);
        }
        let report = load::run(settings, steps, listings, self.process).await?;
        if let Some(path) = &self.report {
            report.write(path)?;
        }
        print!("{}", load::Table::of(&[&report]));
        for fault in &report.faults {
            println!("wrong response: {fault}");
        }
        Ok(())
    }

    fn settings(&self) -> anyhow::Result<load::Settings> {
        let mut settings = load::Settings::read(&self.settings)?;
        if !self.seed_address.is_empty() {
            settings.seed_addresses.clone_from(&self.seed_address);
        }
        if self.key_file.is_some() {
            settings.key_file.clone_from(&self.key_file);
        }
        settings.rate = self.rate.unwrap_or(settings.rate);
        settings.site.scale = self.scale.unwrap_or(settings.site.scale);
        settings.duration = self.duration.unwrap_or(settings.duration);
        settings.seed = self.seed.unwrap_or(settings.seed);
        if let Some(label) = &self.label {
            settings.label.clone_from(label);
        }
        settings.baseline |= self.baseline;
        Ok(settings)
    }
}
