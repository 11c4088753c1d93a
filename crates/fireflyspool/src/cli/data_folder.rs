//! The `data` and `snapshot` subcommands.

use std::path;

use anyhow::Context;

use crate::{cli, storage};

/// Creates the data folder given in the settings.
pub(super) fn init(path: &path::Path, join: bool) -> anyhow::Result<cli::ExitCode> {
    let Some(settings) = cli::run::load(path)? else {
        return Ok(cli::ExitCode::Usage);
    };
    let folder = settings
        .data
        .as_deref()
        .context("the settings must name a data folder")?;
    let founder = settings
        .control
        .iter()
        .any(|peer| peer.node == settings.node);
    if founder == join {
        let message = if join {
            "the settings list this VM as a founding member; a replacement needs a new node number"
        } else {
            "the settings do not list this VM as a founding member; use --join"
        };
        anyhow::bail!(message);
    }
    let identity = storage::Identity {
        site: settings.site.clone(),
        node: settings.node,
        incarnation: rand::random(),
        joining: join,
    };
    storage::DataFolder::init(folder, &identity)?;
    println!(
        "initialized {} with incarnation {}",
        folder.display(),
        identity.incarnation
    );
    if join {
        println!(
            "next, as an operator: add control {} incarnation {} at {}",
            identity.node, identity.incarnation, settings.rpc
        );
    }
    Ok(cli::ExitCode::Success)
}

/// Prints a summary of a data folder.
pub(super) fn inspect(folder: &path::Path, json: bool) -> anyhow::Result<cli::ExitCode> {
    let summary = storage::DataFolder::inspect(folder)?;
    if json {
        println!("{}", serde_json::to_string_pretty(&summary)?);
        return Ok(cli::ExitCode::Success);
    }
    let number = |number: Option<u64>| number.map_or("none".to_owned(), |n| n.to_string());
    println!("site          {}", summary.identity.site);
    println!("vm            {}", summary.identity.node);
    println!("incarnation   {}", summary.identity.incarnation);
    println!("joining       {}", summary.identity.joining);
    println!("vote          {:?}", summary.vote);
    println!(
        "snapshot      {} ({} bytes)",
        number(summary.snapshot_index),
        summary.snapshot_bytes
    );
    println!(
        "log           {} to {}",
        number(summary.first_index),
        number(summary.last_index)
    );
    println!(
        "log size      {} bytes, {} torn",
        summary.log_bytes, summary.torn_bytes
    );
    Ok(cli::ExitCode::Success)
}
