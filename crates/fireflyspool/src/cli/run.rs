//! Dispatch of subcommands.

use std::path;

use crate::{cli, platform, settings};

/// Runs the subcommand.
///
/// # Errors
///
/// Returns the error that `main` prints to standard error before it exits
/// with [`cli::ExitCode::Failure`].
pub fn run(arguments: cli::Arguments) -> anyhow::Result<cli::ExitCode> {
    match arguments {
        cli::Arguments::Serve {
            settings,
            log_level,
        } => {
            let Some(settings) = load(&settings)? else {
                return Ok(cli::ExitCode::Usage);
            };
            cli::serve::serve(settings, log_level)
        }
        cli::Arguments::Check { settings } => check(&settings),
        cli::Arguments::Query(arguments) => block_on(cli::requests::query(arguments)),
        cli::Arguments::Command(arguments) => block_on(cli::requests::command(arguments)),
        cli::Arguments::Addresses {
            entry,
            service,
            caller,
        } => block_on(cli::requests::addresses(entry, service, caller)),
        cli::Arguments::Data(cli::DataArguments::Init { settings, join }) => {
            cli::data_folder::init(&settings, join)
        }
        cli::Arguments::Explain { request, files } => cli::explain::explain(&request, &files),
        cli::Arguments::Platform(arguments) => run_platform(arguments),
        cli::Arguments::Snapshot(cli::SnapshotArguments::Inspect { folder, json }) => {
            cli::data_folder::inspect(&folder, json)
        }
    }
}

/// Loads the settings; if they are invalid, prints every fault to standard
/// error and returns `None`.
pub(super) fn load(path: &path::Path) -> anyhow::Result<Option<settings::Settings>> {
    match settings::Settings::load(path) {
        Ok(settings) => Ok(Some(settings)),
        Err(settings::SettingsError::Invalid { path, faults }) => {
            eprintln!(
                "{}: {} faults in the settings",
                path.display(),
                faults.len()
            );
            for fault in faults {
                eprintln!("  {fault}");
            }
            Ok(None)
        }
        Err(error) => Err(error.into()),
    }
}

fn check(path: &path::Path) -> anyhow::Result<cli::ExitCode> {
    let Some(settings) = load(path)? else {
        return Ok(cli::ExitCode::Usage);
    };
    settings::SharedKey::load(&settings.key_file)?;
    print!("{}", serde_saphyr::to_string(&settings)?);
    Ok(cli::ExitCode::Success)
}

fn run_platform(arguments: cli::PlatformArguments) -> anyhow::Result<cli::ExitCode> {
    let aborted = match arguments {
        cli::PlatformArguments::Entry { rank_requests } => platform::run_entry(rank_requests)?,
        cli::PlatformArguments::Control => {
            platform::run_control()?;
            0
        }
    };
    Ok(match aborted {
        0 => cli::ExitCode::Success,
        _ => cli::ExitCode::Aborted,
    })
}

fn block_on(
    future: impl Future<Output = anyhow::Result<cli::ExitCode>>,
) -> anyhow::Result<cli::ExitCode> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?
        .block_on(future)
}
