//! Flags of `searcher`.

use std::{net, path, time};

use fireflyspool::{backend, ids};
use fireflyspool_bench::{load, searcher};

/// Flags of one searcher, or a settings file for many.
#[derive(Debug)]
#[derive(clap::Args)]
pub(crate) struct SearcherArguments {
    /// YAML file with many searchers; the flags below describe one more if `--name` is given.
    #[arg(long)]
    settings: Option<path::PathBuf>,
    /// Settings file of the load tool, whose site is hosted.
    #[arg(long)]
    site: Option<path::PathBuf>,
    /// Zone of the site to host, all if none is given; may be repeated.
    #[arg(long)]
    site_zone: Vec<ids::ZoneName>,
    /// Scale of the site, in place of the one of the settings file.
    #[arg(long)]
    scale: Option<f64>,
    /// Name.
    #[arg(long, requires_all = ["service", "zone"])]
    name: Option<ids::ServerName>,
    /// Service.
    #[arg(long)]
    service: Option<ids::ServiceName>,
    /// Availability zone.
    #[arg(long)]
    zone: Option<ids::ZoneName>,
    /// Loopback address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    address: net::SocketAddr,
    /// Collection of the hosted shards.
    #[arg(long)]
    collection: Option<ids::CollectionName>,
    /// Index version of the hosted shards.
    #[arg(long, default_value_t = 1)]
    version: ids::IndexVersion,
    /// Hosted shard; may be repeated.
    #[arg(long)]
    shard: Vec<ids::ShardNumber>,
    /// Requests that run at once.
    #[arg(long)]
    slots: Option<u32>,
    /// Connections accepted.
    #[arg(long)]
    connections: Option<u32>,
    /// Set-up time of a connection.
    #[arg(long, value_parser = humantime::parse_duration)]
    setup: Option<time::Duration>,
    /// Mean time to run one request.
    #[arg(long, value_parser = humantime::parse_duration)]
    service_time: Option<time::Duration>,
    /// Further behaviour as a JSON object, as in `POST /control`.
    #[arg(long)]
    behaviour: Option<String>,
    /// Entry address to announce to; may be repeated.
    #[arg(long)]
    entry: Vec<net::SocketAddr>,
    /// File with the key of the site.
    #[arg(long)]
    key_file: Option<path::PathBuf>,
    /// File that receives the addresses as a JSON array.
    #[arg(long)]
    listing: Option<path::PathBuf>,
}

impl SearcherArguments {
    /// Runs the searchers until they have ended.
    pub(crate) async fn run(self) -> anyhow::Result<()> {
        let settings = self.settings()?;
        searcher::run(settings, |listings| {
            for listing in listings {
                println!("{}", serde_json::json!(listing));
            }
        })
        .await
    }

    fn settings(self) -> anyhow::Result<searcher::Settings> {
        let mut settings = match &self.settings {
            Some(path) => searcher::Settings::read(path)?,
            None => searcher::Settings::default(),
        };
        settings.searchers.extend(self.profile()?);
        if let Some(path) = &self.site {
            let mut site = load::Settings::read(path)?.site;
            site.scale = self.scale.unwrap_or(site.scale);
            settings.searchers.extend(site.profiles(&self.site_zone));
        }
        settings.entries.extend(self.entry);
        settings.key_file = self.key_file.or(settings.key_file);
        settings.listing = self.listing.or(settings.listing);
        anyhow::ensure!(!settings.profiles().is_empty(), "no searcher is described");
        Ok(settings)
    }

    fn profile(&self) -> anyhow::Result<Option<searcher::Profile>> {
        let (Some(name), Some(service), Some(zone)) = (&self.name, &self.service, &self.zone)
        else {
            return Ok(None);
        };
        let shards = self.shard.iter();
        let hosted = shards.filter_map(|shard| {
            Some(backend::HostedShard {
                collection: self.collection.clone()?,
                version: self.version,
                shard: *shard,
            })
        });
        let mut behaviour = searcher::Behaviour::default();
        if let Some(patch) = &self.behaviour {
            behaviour = behaviour.patched(&serde_json::from_str(patch)?)?;
        }
        behaviour.slots = self.slots.unwrap_or(behaviour.slots);
        behaviour.connections = self.connections.unwrap_or(behaviour.connections);
        behaviour.setup = self.setup.unwrap_or(behaviour.setup);
        behaviour.service_time = self.service_time.unwrap_or(behaviour.service_time);
        Ok(Some(searcher::Profile {
            name: name.clone(),
            service: service.clone(),
            zone: zone.clone(),
            address: self.address,
            hosted: hosted.collect(),
            behaviour,
        }))
    }
}
