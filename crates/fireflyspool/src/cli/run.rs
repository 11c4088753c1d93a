//! Execution of the command line.

use std::{net, path, time};

use anyhow::Context;

use crate::{cli, directory, language, outcome, platform, rim, settings, storage, traffic};

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
        cli::Arguments::Query(arguments) => block_on(query(arguments)),
        cli::Arguments::Command(arguments) => block_on(command(arguments)),
        cli::Arguments::Addresses {
            entry,
            service,
            caller,
        } => block_on(addresses(entry, service, caller)),
        cli::Arguments::Data(cli::DataArguments::Init { settings, join }) => init(&settings, join),
        cli::Arguments::Explain { request, files } => cli::explain::explain(&request, &files),
        cli::Arguments::Platform(arguments) => run_platform(arguments),
        cli::Arguments::Snapshot(cli::SnapshotArguments::Inspect { folder, json }) => {
            inspect(&folder, json)
        }
    }
}

/// Loads settings; prints all faults and returns `None` if there are any.
fn load(path: &path::Path) -> anyhow::Result<Option<settings::Settings>> {
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

fn init(path: &path::Path, join: bool) -> anyhow::Result<cli::ExitCode> {
    let Some(settings) = load(path)? else {
        return Ok(cli::ExitCode::Usage);
    };
    let folder = settings
        .data
        .as_deref()
        .context("the settings name no data folder")?;
    let founder = settings
        .control
        .iter()
        .any(|peer| peer.node == settings.node);
    if founder == join {
        let message = if join {
            "this VM is a founding member of its settings; a replacement needs a new number"
        } else {
            "this VM is no founding member of its settings; use --join"
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

fn inspect(folder: &path::Path, json: bool) -> anyhow::Result<cli::ExitCode> {
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

async fn addresses(
    entry: net::SocketAddr,
    service: String,
    caller: String,
) -> anyhow::Result<cli::ExitCode> {
    let answer = cli::Client::new()?
        .addresses(entry, &service, &caller)
        .await?;
    println!("service {} for {} ms", answer.service, answer.lifetime_ms);
    for address in &answer.addresses {
        println!("{address}");
    }
    let known = !answer.addresses.is_empty();
    Ok(if known {
        cli::ExitCode::Success
    } else {
        cli::ExitCode::NotRun
    })
}

async fn query(arguments: cli::QueryArguments) -> anyhow::Result<cli::ExitCode> {
    let service = match language::parse(&arguments.statement) {
        Ok(language::Statement::Search(statement)) => statement.service,
        Ok(language::Statement::Submit(statement)) => statement.service,
        Ok(_) => {
            eprintln!("expected search or submit; see the command subcommand");
            return Ok(cli::ExitCode::Usage);
        }
        Err(error) => {
            eprintln!("{error}");
            return Ok(cli::ExitCode::Usage);
        }
    };
    let client = cli::Client::new()?;
    let answer = client
        .addresses(arguments.entry, &service, &arguments.caller)
        .await?;
    let request = rim::QueryRequest {
        statement: arguments.statement,
        request: None,
        caller: Some(arguments.caller),
    };
    let (address, outcome) = try_addresses(&client, arguments.entry, &answer, &request).await?;
    let (text, code) = cli::render::outcome(&outcome);
    if arguments.json {
        println!("{}", serde_json::to_string(&outcome)?);
    } else {
        print!("asked {address}\n{text}");
    }
    Ok(code)
}

/// Sends a request to the named addresses in order, until one takes it.
///
/// Only an address that was not reached, or that says the request was not run
/// for a reason of its own, is followed by the next one.
async fn try_addresses(
    client: &cli::Client,
    entry: net::SocketAddr,
    answer: &directory::AddressAnswer,
    request: &rim::QueryRequest,
) -> anyhow::Result<(net::SocketAddr, outcome::Outcome)> {
    let mut targets = answer.addresses.clone();
    if targets.is_empty() {
        targets.push(entry);
    }
    let last = targets.len() - 1;
    for (position, address) in targets.into_iter().enumerate() {
        match client.query(address, request).await {
            Ok(outcome::Outcome::NotRun(refusal))
                if position < last && !refusal.addresses.is_empty() => {}
            Ok(outcome) => return Ok((address, outcome)),
            Err(cli::ClientError::Connect { .. }) if position < last => {}
            Err(error) => return Err(error.into()),
        }
    }
    anyhow::bail!("no address was named")
}

async fn command(arguments: cli::CommandArguments) -> anyhow::Result<cli::ExitCode> {
    if let Err(error) = language::parse(&arguments.statement) {
        eprintln!("{error}");
        return Ok(cli::ExitCode::Usage);
    }
    let key = settings::SharedKey::load(&arguments.key_file)?;
    let wait = if arguments.wait {
        rim::CommandWait::InForce
    } else {
        rim::CommandWait::Accepted
    };
    let request = rim::CommandRequest {
        operator: arguments.operator,
        number: arguments.number.unwrap_or_else(clock_number),
        statement: arguments.statement,
        wait,
    };
    let outcome = cli::Client::new()?
        .command(arguments.entry, &key, &request)
        .await?;
    let (text, code) = cli::render::command(&outcome);
    if arguments.json {
        println!("{}", serde_json::to_string(&outcome)?);
    } else {
        print!("{text}");
    }
    if matches!(outcome, traffic::CommandOutcome::Unknown { .. }) {
        eprintln!(
            "to ask again: --operator {} --number {}",
            request.operator, request.number
        );
    }
    Ok(code)
}

/// Number for a command that names none: microseconds since the Unix epoch,
/// which grow from one command of an operator to the next.
fn clock_number() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_micros()).unwrap_or(u64::MAX)
}
