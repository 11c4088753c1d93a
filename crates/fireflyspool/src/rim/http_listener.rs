//! HTTP listener for callers, operators and backend servers.

use std::{sync, time};

use rocket::{config, data};

use crate::{rim, traffic};

/// Time that Rocket waits for open connections on shutdown.
///
/// The drain has already waited for running requests, so this only limits how
/// long idle connections delay the shutdown.
const CLOSE_GRACE_SECONDS: u32 = 1;

/// Builds the Rocket instance that serves [`rim::http_routes()`].
///
/// Rocket's logger is off, so that standard output holds JSON lines only, and
/// its signal handling is off, because the drain decides when to stop.
pub fn http_listener(node: sync::Arc<traffic::EntryNode>) -> rocket::Rocket<rocket::Build> {
    let settings = node.settings();
    let body_limit = data::ByteUnit::from(settings.body_limit.bytes());
    let shutdown = config::Shutdown {
        ctrlc: false,
        signals: Default::default(),
        grace: CLOSE_GRACE_SECONDS,
        mercy: CLOSE_GRACE_SECONDS,
        ..config::Shutdown::default()
    };
    let config = rocket::Config {
        address: settings.http.ip(),
        port: settings.http.port(),
        log_level: config::LogLevel::Off,
        cli_colors: false,
        keep_alive: KEEP_ALIVE_SECONDS,
        ident: config::Ident::none(),
        limits: data::Limits::default()
            .limit("json", body_limit)
            .limit("bytes", body_limit)
            .limit("string", body_limit),
        shutdown,
        ..rocket::Config::release_default()
    };
    rocket::custom(config)
        .manage(node)
        .mount("/", rim::http_routes())
        .register("/", rim::http_catchers())
}

/// Time after which an idle connection is closed.
const KEEP_ALIVE_SECONDS: u32 = time::Duration::from_secs(60).as_secs() as u32;
