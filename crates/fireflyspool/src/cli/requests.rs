//! The subcommands that send requests to a running site: `addresses`, `query`
//! and `command`.

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
    let found = !answer.addresses.is_empty();
    Ok(if found {
        cli::ExitCode::Success
    } else {
        cli::ExitCode::NotRun
    })
}

/// Runs a search or submit statement as a caller.
pub(super) async fn query(arguments: cli::QueryArguments) -> anyhow::Result<cli::ExitCode> {
    let service = match language::parse(&arguments.statement) {
        Ok(language::Statement::Search(statement)) => statement.service,
        Ok(language::Statement::Submit(statement)) => statement.service,
        Ok(_) => {
            eprintln!(
                "expected a search or submit statement; for operators' commands use `fireflyspool command`"
            );
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
    let (address, outcome) = query_addresses(&client, arguments.entry, &answer, &request).await?;
    let (text, code) = cli::render::outcome(&outcome);
    if arguments.json {
        println!("{}", serde_json::to_string(&outcome)?);
    } else {
        print!("asked {address}\n{text}");
    }
    Ok(code)
}

/// Sends a request to the listed addresses in order until one handles it; uses
/// `entry` if the list is empty.
///
/// Tries the next address only if the connection failed or if the VM refused
/// the request and named other addresses: the request has then not run.
async fn query_addresses(
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
    anyhow::bail!("no address handled the request")
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
        number: arguments.number.unwrap_or_else(timestamp_number),
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
            "to retry without applying the command twice: --operator {} --number {}",
            request.operator, request.number
        );
    }
    Ok(code)
}

/// Default command number: microseconds since the Unix epoch, which increase
/// from one command of an operator to the next.
fn timestamp_number() -> u64 {
    let elapsed = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    u64::try_from(elapsed.unwrap_or_default().as_micros()).unwrap_or(u64::MAX)
}
