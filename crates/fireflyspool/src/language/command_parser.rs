//! Grammar of operator commands.

use std::time;

use winnow::{Parser, combinator};

use crate::{
    ids,
    language::{self, lexical},
    state,
};

pub(super) fn command(input: &mut &str) -> Result<language::CommandStatement, lexical::Failure> {
    let operation = operation(input)?;
    let expected = combinator::opt(combinator::preceded(
        (lexical::keyword("expecting"), lexical::required("revision")),
        lexical::value("a revision"),
    ))
    .parse_next(input)?;
    Ok(language::CommandStatement {
        operation,
        expected,
    })
}

fn operation(input: &mut &str) -> Result<language::Operation, lexical::Failure> {
    combinator::alt((
        create.map(language::Operation::Change),
        alter.map(language::Operation::Change),
        drop_object.map(language::Operation::Change),
        define.map(language::Operation::Change),
        take_out.map(language::Operation::Change),
        bring_back.map(language::Operation::Change),
        set_value.map(language::Operation::Change),
        add_control,
        remove_control,
    ))
    .parse_next(input)
}

fn create(input: &mut &str) -> Result<state::Change, lexical::Failure> {
    lexical::keyword("create").parse_next(input)?;
    lexical::required("collection").parse_next(input)?;
    let collection = collection_name(input)?;
    lexical::required("version").parse_next(input)?;
    let version = lexical::value("an index version").parse_next(input)?;
    lexical::required("shards").parse_next(input)?;
    let shards = lexical::value("a number of shards").parse_next(input)?;
    lexical::required("services").parse_next(input)?;
    let services = service_names(input)?;
    Ok(state::Change::CreateCollection {
        collection,
        version,
        shards,
        services,
    })
}

fn alter(input: &mut &str) -> Result<state::Change, lexical::Failure> {
    lexical::keyword("alter").parse_next(input)?;
    lexical::required("collection").parse_next(input)?;
    let collection = collection_name(input)?;
    match choice(
        input,
        &["add", "retire", "services"],
        "add, retire or services",
    )? {
        "add" => {
            lexical::required("version").parse_next(input)?;
            let version = lexical::value("an index version").parse_next(input)?;
            lexical::required("shards").parse_next(input)?;
            let shards = lexical::value("a number of shards").parse_next(input)?;
            Ok(state::Change::AddVersion {
                collection,
                version,
                shards,
            })
        }
        "retire" => {
            lexical::required("version").parse_next(input)?;
            let version = lexical::value("an index version").parse_next(input)?;
            Ok(state::Change::RetireVersion {
                collection,
                version,
            })
        }
        _ => {
            let services = service_names(input)?;
            Ok(state::Change::SetServices {
                collection,
                services,
            })
        }
    }
}

fn drop_object(input: &mut &str) -> Result<state::Change, lexical::Failure> {
    lexical::keyword("drop").parse_next(input)?;
    match choice(input, &["collection", "service"], "collection or service")? {
        "collection" => {
            let collection = collection_name(input)?;
            Ok(state::Change::DropCollection { collection })
        }
        _ => {
            let service = service_name(input)?;
            Ok(state::Change::DropService { service })
        }
    }
}

fn define(input: &mut &str) -> Result<state::Change, lexical::Failure> {
    lexical::keyword("define").parse_next(input)?;
    lexical::required("service").parse_next(input)?;
    let service = service_name(input)?;
    lexical::required("slots").parse_next(input)?;
    let slots = lexical::value("a number of slots").parse_next(input)?;
    lexical::required("connections").parse_next(input)?;
    let connections = lexical::value("a number of connections").parse_next(input)?;
    let setup = combinator::opt(combinator::preceded(
        lexical::keyword("setup"),
        lexical::duration(),
    ))
    .parse_next(input)?;
    let setup = setup.unwrap_or(time::Duration::ZERO);
    Ok(state::Change::DefineService {
        service,
        slots,
        connections,
        setup,
    })
}

fn take_out(input: &mut &str) -> Result<state::Change, lexical::Failure> {
    lexical::keyword("take").parse_next(input)?;
    lexical::required("out").parse_next(input)?;
    match choice(input, &["zone", "server"], "zone or server")? {
        "zone" => Ok(state::Change::TakeOutZone {
            zone: zone_name(input)?,
        }),
        _ => Ok(state::Change::TakeOutServer {
            server: server_name(input)?,
        }),
    }
}

fn bring_back(input: &mut &str) -> Result<state::Change, lexical::Failure> {
    lexical::keyword("bring").parse_next(input)?;
    lexical::required("back").parse_next(input)?;
    match choice(input, &["zone", "server"], "zone or server")? {
        "zone" => Ok(state::Change::BringBackZone {
            zone: zone_name(input)?,
        }),
        _ => Ok(state::Change::BringBackServer {
            server: server_name(input)?,
        }),
    }
}

fn set_value(input: &mut &str) -> Result<state::Change, lexical::Failure> {
    lexical::keyword("set").parse_next(input)?;
    let key = lexical::name("a configuration key").parse_next(input)?;
    lexical::required("to").parse_next(input)?;
    let value = lexical::name("a value").parse_next(input)?;
    Ok(state::Change::SetValue { key, value })
}

fn add_control(input: &mut &str) -> Result<language::Operation, lexical::Failure> {
    lexical::keyword("add").parse_next(input)?;
    lexical::required("control").parse_next(input)?;
    let node = lexical::value("the number of a VM").parse_next(input)?;
    lexical::required("incarnation").parse_next(input)?;
    let incarnation = lexical::value("the number that data init printed").parse_next(input)?;
    lexical::required("at").parse_next(input)?;
    let rpc = lexical::value("an address such as 127.0.0.1:7201").parse_next(input)?;
    Ok(language::Operation::AddControl {
        node,
        incarnation,
        rpc,
    })
}

fn remove_control(input: &mut &str) -> Result<language::Operation, lexical::Failure> {
    lexical::keyword("remove").parse_next(input)?;
    lexical::required("control").parse_next(input)?;
    let node = lexical::value("the number of a VM").parse_next(input)?;
    Ok(language::Operation::RemoveControl { node })
}

fn collection_name(input: &mut &str) -> Result<ids::CollectionName, lexical::Failure> {
    lexical::name("the name of a collection").parse_next(input)
}

fn service_name(input: &mut &str) -> Result<ids::ServiceName, lexical::Failure> {
    lexical::name("the name of a service").parse_next(input)
}

fn zone_name(input: &mut &str) -> Result<ids::ZoneName, lexical::Failure> {
    lexical::name("the name of a zone").parse_next(input)
}

fn server_name(input: &mut &str) -> Result<ids::ServerName, lexical::Failure> {
    lexical::name("the name of a backend server").parse_next(input)
}

fn service_names(input: &mut &str) -> Result<Vec<ids::ServiceName>, lexical::Failure> {
    let comma = (',', lexical::spaces);
    combinator::separated(1.., lexical::name("the name of a service"), comma).parse_next(input)
}

fn choice(
    input: &mut &str,
    words: &'static [&'static str],
    description: &'static str,
) -> Result<&'static str, lexical::Failure> {
    lexical::choice(words, description).parse_next(input)
}
