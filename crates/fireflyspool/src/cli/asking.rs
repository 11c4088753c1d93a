//! The subcommands that ask a running site.

use std::{net, time};

use crate::{cli, directory, language, outcome, rim, settings, traffic};

/// Prints the addresses that a caller of a service should use.
pub(super) async fn addresses(
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

/// Searches or submits as a caller.
pub(super) async fn query(arguments: cli::QueryArguments) -> anyhow::Result<cli::ExitCode> {
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
    answer: &directory::AddressList,
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

/// Runs an operator's command.
pub(super) async fn command(arguments: cli::CommandArguments) -> anyhow::Result<cli::ExitCode> {
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
