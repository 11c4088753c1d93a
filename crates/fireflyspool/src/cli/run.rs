//! Execution of the command line.

use std::path;

use crate::{cli, platform, settings};

/// Runs the parsed command line.
///
/// # Errors
///
/// Returns the error that ended the run, for standard error; the exit code is
/// then [`cli::ExitCode::Failure`].
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
        cli::Arguments::Query(arguments) => block_on(cli::asking::query(arguments)),
        cli::Arguments::Command(arguments) => block_on(cli::asking::command(arguments)),
        cli::Arguments::Addresses {
            entry,
            service,
            caller,
        } => block_on(cli::asking::addresses(entry, service, caller)),
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

/// Loads settings; prints all faults and returns `None` if there are any.
pub(super) fn load(path: &path::Path) -> anyhow::Result<Option<settings::Settings>> {
    match settings::Settings::load(path) {
        Ok(settings) => Ok(Some(settings)),
        Err(settings::SettingsError::Invalid { path, faults }) => {
            eprintln!("{}: {} faults", path.display(), faults.len());
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
    let cut = match arguments {
        cli::PlatformArguments::Entry => platform::run_entry()?,
        cli::PlatformArguments::Control => {
            platform::run_control()?;
            0
        }
    };
    Ok(match cut {
        0 => cli::ExitCode::Success,
        _ => cli::ExitCode::Cut,
    })
}

fn block_on(
    work: impl Future<Output = anyhow::Result<cli::ExitCode>>,
) -> anyhow::Result<cli::ExitCode> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?
        .block_on(work)
}
