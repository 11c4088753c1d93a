//! Commands that create a site.

use std::path;

use fireflyspool_bench::load;

/// Arguments of `commands`.
#[derive(Debug)]
#[derive(clap::Args)]
pub(crate) struct CommandsArguments {
    /// YAML file with the settings of the load tool.
    #[arg(long)]
    settings: path::PathBuf,
    /// Scale of the site.
    #[arg(long)]
    scale: Option<f64>,
}

impl CommandsArguments {
    /// Prints one statement a line: the services first, then their collections.
    pub(crate) fn run(self) -> anyhow::Result<()> {
        let mut site = load::Settings::read(&self.settings)?.site;
        site.scale = self.scale.unwrap_or(site.scale);
        for service in &site.services {
            let limits = &service.behaviour;
            println!(
                "define service {} slots {} connections {} setup {}",
                service.name,
                limits.slots,
                limits.connections,
                humantime::format_duration(limits.setup)
            );
        }
        for (service, (snapshot, shards)) in site.services.iter().zip(site.versions()) {
            println!(
                "create collection {} version {} shards {shards} services {}",
                snapshot.collection, snapshot.version, service.name
            );
        }
        Ok(())
    }
}
