//! Startup and shutdown of the processes on the platform.

use std::{net, sync, time};

use anyhow::Context as _;
use rocket::config;
use tokio::{sync::watch, task};

use crate::platform::{
    caller_service, control_service, directory_routes, http_backend_client, ready_routes, signals,
};
use crate::{node, platform, rim};

/// Time for which the callers' connections may write their last answers; they have no
/// running requests.
const CLOSE_LIMIT: time::Duration = time::Duration::from_millis(300);

/// Seconds that Rocket waits for open connections when the process ends.
const CLOSE_GRACE_S: u32 = 1;

/// Runs an entry VM until it is told to stop; returns how many requests were cut short.
///
/// `ranked` has it admit requests by kind during a shortage of capacity.
///
/// # Errors
///
/// Fails if the settings are not valid or an address cannot be bound.
pub fn run_entry(ranked: bool) -> anyhow::Result<usize> {
    let settings = platform::ProcessSettings::from_environment()?;
    runtime()?.block_on(entry(settings, ranked))
}

/// Runs a control VM until it is told to stop.
///
/// # Errors
///
/// Fails if the settings are not valid or an address cannot be bound.
pub fn run_control() -> anyhow::Result<()> {
    let settings = platform::ProcessSettings::from_environment()?;
    runtime()?.block_on(control(settings))
}

/// Creates a runtime with one traffic thread, because a VM has less than one core.
fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .max_blocking_threads(2)
        .thread_name("traffic")
        .enable_all()
        .build()
}

async fn entry(settings: platform::ProcessSettings, ranked: bool) -> anyhow::Result<usize> {
    let signals = signals::Signals::install()?;
    let own = node::EntrySettings {
        ranked,
        ..settings.entry()?
    };
    let (callers, listener) = (own.callers, own.listener);
    let (logger, _guard, dropped) = node::start_logger(own.callers);
    let timer = crate::timer::TimerService::start()?;
    let client =
        http_backend_client::HttpBackendClient::new(timer.clone(), settings.message_memory());
    let format = sync::Arc::new(platform::ConfigurationFormat);
    let node = node::Entry::start(
        own,
        format,
        sync::Arc::new(client),
        (logger.clone(), dropped),
    )?;
    let (closing, closed) = watch::channel(false);
    let handler = caller_service::CallerService::new(sync::Arc::clone(&node));
    let callers = rim::caller_listener(
        callers,
        sync::Arc::new(handler),
        (timer.clone(), logger.clone()),
        closed.clone(),
    );
    let groups = rim::caller_listener(
        listener,
        sync::Arc::new(rim::GroupService::new(sync::Arc::clone(&node))),
        (timer, logger.clone()),
        closed,
    );
    // Both or none: the control VMs tell others of the listener for groups.
    let listeners = async { tokio::try_join!(callers, groups).map(drop) };
    let mut listeners = tokio::spawn(listeners);
    if let Some(address) = settings.readiness() {
        let routes = ready_routes::ready_routes();
        watch_listener(serve(address, routes, &node), "readiness", &logger);
    }
    let metrics = serve(settings.metrics(), ready_routes::metrics_routes(), &node);
    watch_listener(metrics, "metrics", &logger);
    slog::info!(logger, "started"; "vm" => settings.name(), "role" => "entry");
    wait_for_stop(signals, &mut listeners, &logger).await?;
    node.start_drain().await;
    let cut = node.finish_drain().await;
    // Sending fails if the listener and all connections have ended already.
    let _ = closing.send(true);
    if tokio::time::timeout(CLOSE_LIMIT, listeners).await.is_err() {
        slog::warn!(logger, "connections are still open"; "limit_ms" => CLOSE_LIMIT.as_millis() as u64);
    }
    slog::info!(logger, "stopped"; "cut_requests" => cut);
    Ok(cut)
}

async fn control(settings: platform::ProcessSettings) -> anyhow::Result<()> {
    let signals = signals::Signals::install()?;
    let own = settings.control()?;
    let address = own.control;
    let (logger, _guard, _) = node::start_logger(own.rpc);
    let format = sync::Arc::new(platform::ConfigurationFormat);
    let node = node::Control::start(own, format, logger.clone()).await?;
    let (closing, closed) = watch::channel(false);
    let handler =
        control_service::ControlService::new(sync::Arc::clone(&node), settings.message_memory());
    let timer = node.process().timer.clone();
    let mut listener = tokio::spawn(rim::caller_listener(
        address,
        sync::Arc::new(handler),
        (timer, logger.clone()),
        closed,
    ));
    if let Some(address) = settings.directory() {
        let routes = directory_routes::directory_routes();
        watch_listener(serve(address, routes, &node), "addresses", &logger);
    }
    slog::info!(logger, "started"; "vm" => settings.name(), "role" => "control");
    wait_for_stop(signals, &mut listener, &logger).await?;
    node.leave().await;
    // Sending fails if the listener has ended already.
    let _ = closing.send(true);
    if tokio::time::timeout(CLOSE_LIMIT, listener).await.is_err() {
        slog::info!(logger, "connections are still open"; "limit_ms" => CLOSE_LIMIT.as_millis() as u64);
    }
    slog::info!(logger, "stopped");
    Ok(())
}

/// Waits for the signal to stop, or for a listener that ends by itself.
async fn wait_for_stop<E>(
    mut signals: signals::Signals,
    listener: &mut task::JoinHandle<Result<(), E>>,
    logger: &slog::Logger,
) -> anyhow::Result<()>
where
    E: std::error::Error + Send + Sync + 'static,
{
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => return Ok(()),
            // The settings that may change in the file are read only at the start.
            _ = signals.reload.recv() => slog::info!(logger, "reload"; "effect" => "at the next start"),
            ended = &mut *listener => {
                ended.context("the listener panicked")??;
                anyhow::bail!("the listener ended without a signal to stop");
            }
        }
    }
}

/// Logs the failure of a listener without which the process can go on.
fn watch_listener(
    listener: task::JoinHandle<Result<(), rocket::Error>>,
    purpose: &'static str,
    logger: &slog::Logger,
) {
    let logger = logger.clone();
    tokio::spawn(async move {
        if let Ok(Err(error)) = listener.await {
            slog::error!(logger, "listener failed"; "purpose" => purpose, "error" => %error);
        }
    });
}

/// Starts an HTTP listener with these routes in a task of its own.
fn serve<T: Send + Sync + 'static>(
    address: net::SocketAddr,
    routes: Vec<rocket::Route>,
    node: &sync::Arc<T>,
) -> task::JoinHandle<Result<(), rocket::Error>> {
    let shutdown = config::Shutdown {
        ctrlc: false,
        signals: Default::default(),
        grace: CLOSE_GRACE_S,
        mercy: CLOSE_GRACE_S,
        ..config::Shutdown::default()
    };
    let config = rocket::Config {
        address: address.ip(),
        port: address.port(),
        log_level: config::LogLevel::Off,
        cli_colors: false,
        ident: config::Ident::none(),
        shutdown,
        ..rocket::Config::release_default()
    };
    let rocket = rocket::custom(config)
        .manage(sync::Arc::clone(node))
        .mount("/", routes);
    tokio::spawn(async move { rocket.launch().await.map(drop) })
}
