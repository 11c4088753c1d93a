//! The `serve` subcommand.

use std::{sync, time};

use anyhow::Context;
use tokio::{signal::unix, sync::oneshot};

use crate::{
    cli, consensus, control, lease, rim, roster, settings, shutdown, sorted, state, storage,
    telemetry, timer, traffic, view,
};

/// Interval at which a shutdown checks for running requests.
const DRAIN_POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Time that other entry VMs have to take over the backend servers of this one.
const HANDOVER_LIMIT: time::Duration = time::Duration::from_secs(5);

/// Runs the server until a signal or a fault ends it.
pub(super) fn serve(
    settings: settings::Settings,
    level: telemetry::LogLevel,
) -> anyhow::Result<cli::ExitCode> {
    let key = settings::SharedKey::load(&settings.key_file)?;
    let (logger, _guard, dropped) =
        telemetry::start_logger(settings.node, level, settings.log_queue);
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    if settings.traffic_threads > 0 {
        builder.worker_threads(settings.traffic_threads);
    }
    let runtime = builder.thread_name("traffic").enable_all().build()?;
    let timer = timer::TimerService::start()?;
    let (mailbox, receiver) = control::Mailbox::new();
    let shared = traffic::Shared::new(
        settings,
        rand::random(),
        timer,
        mailbox,
        logger.clone(),
        dropped,
    );
    let code = runtime.block_on(run(sync::Arc::new(shared), key, receiver))?;
    slog::info!(logger, "stopped"; "exit_code" => code as u8);
    runtime.shutdown_timeout(time::Duration::from_secs(1));
    Ok(code)
}

async fn run(
    shared: sync::Arc<traffic::Shared>,
    key: settings::SharedKey,
    receiver: sync::mpsc::Receiver<control::Event>,
) -> anyhow::Result<cli::ExitCode> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    let node = sync::Arc::new(traffic::EntryNode::new(sync::Arc::clone(&shared), key));
    let mut failed = start_control(&node, receiver)?;
    let _rpc = rim::rpc_listener(sync::Arc::clone(&node)).await?;
    let http = rim::http_listener(sync::Arc::clone(&node)).ignite().await;
    let http = http.map_err(|error| anyhow::anyhow!("cannot start the HTTP listener: {error}"))?;
    let stop_http = http.shutdown();
    let mut http = tokio::spawn(http.launch());
    let settings = &shared.settings;
    slog::info!(shared.logger, "started";
        "site" => &settings.site, "zone" => &settings.zone,
        "roles" => ?settings.roles, "http" => %settings.http, "rpc" => %settings.rpc);
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        error = &mut failed => {
            let error = error.context("the control thread ended")?;
            return Err(error).context("the control thread failed");
        }
        ended = &mut http => {
            let ended = ended.context("the HTTP listener panicked")?;
            anyhow::bail!("the HTTP listener ended: {:?}", ended.err().map(|e| e.to_string()));
        }
    }
    let aborted = tokio::select! {
        aborted = drain(&node) => aborted,
        _ = terminate.recv() => node.running(),
        _ = interrupt.recv() => node.running(),
    };
    slog::info!(shared.logger, "drained"; "cut_requests" => aborted);
    stop_http.notify();
    // The wait is bounded: the listener limits how long idle connections stay.
    let _ = http.await;
    shared.tell_control(control::Event::Stop);
    Ok(if aborted == 0 {
        cli::ExitCode::Success
    } else {
        cli::ExitCode::Aborted
    })
}

/// Runs the phases of a graceful shutdown; returns the number of aborted requests.
async fn drain(node: &sync::Arc<traffic::EntryNode>) -> usize {
    let shared = node.shared();
    let settings = node.settings();
    if !settings.has(settings::Role::Entry) {
        return 0;
    }
    let now = time::Instant::now();
    let lifetime = shared
        .view
        .load()
        .catalog
        .number(state::ConfigKey::AddressLifetime);
    let lifetime = state::ConfigKey::as_duration(lifetime);
    // Other entry VMs may act on a view that is up to one lease duration old.
    node.set_drain(
        node.drain()
            .announce(settings.lease_duration, lifetime, now),
    );
    shared.tell_control(control::Event::Leave);
    slog::info!(shared.logger, "leaving"; "address_lifetime_ms" => lifetime.as_millis() as u64);
    loop {
        let running = node.running() + node.attempts().await;
        let now = time::Instant::now();
        let limit = settings.deadline_limit + HANDOVER_LIMIT;
        let next = node.drain().advance(running, limit, now);
        if next != node.drain() {
            slog::info!(shared.logger, "shutdown phase"; "phase" => ?next);
            node.set_drain(next);
        }
        if let shutdown::AnyDrain::Closed(closed) = next {
            return closed.aborted();
        }
        sleep(&shared.timer, DRAIN_POLL_INTERVAL).await;
    }
}

async fn sleep(timer: &timer::TimerService, duration: time::Duration) {
    let (sender, receiver) = oneshot::channel();
    timer.subscribe(time::Instant::now() + duration, move || {
        // Fails if a second signal has cancelled the waiting task.
        let _ = sender.send(());
    });
    let _ = receiver.await;
}

fn start_control(
    node: &sync::Arc<traffic::EntryNode>,
    receiver: sync::mpsc::Receiver<control::Event>,
) -> anyhow::Result<oneshot::Receiver<control::ControlError>> {
    let shared = node.shared();
    let settings = node.settings();
    let now = time::Instant::now();
    let outlet = rim::ControlOutlet::new(sync::Arc::clone(node), tokio::runtime::Handle::current());
    let voter = match settings.has(settings::Role::Control) {
        true => Some(open_voter(settings, &shared.logger, &outlet, now)?),
        false => None,
    };
    let entry = settings.has(settings::Role::Entry).then(|| {
        let member = view::Member {
            node: settings.node,
            incarnation: shared.incarnation,
            zone: settings.zone.clone(),
            http: settings.http,
            rpc: settings.rpc,
            leaving: false,
            load: 0,
        };
        let holder = lease::Holder::new(member, lease::Config::default());
        control::LeaseDriver::new(holder, settings.lease_renewal, now)
    });
    let (sender, failed) = oneshot::channel();
    let control = shared.control_addresses();
    let logger = shared.logger.clone();
    control::ControlThread::new(outlet, receiver, voter, entry, control, logger).start(
        move |error| {
            // Fails only if the process is already exiting.
            let _ = sender.send(error);
        },
    )?;
    Ok(failed)
}

fn open_voter(
    settings: &settings::Settings,
    logger: &slog::Logger,
    outlet: &rim::ControlOutlet,
    now: time::Instant,
) -> anyhow::Result<control::Voter> {
    let folder = settings
        .data
        .as_deref()
        .context("the settings of a control VM must name a data folder")?;
    let opened = storage::DataFolder::open(folder, &settings.site, settings.node)
        .with_context(|| format!("cannot use the data folder {}", folder.display()))?;
    let founding: sorted::SortedMap<_, _> = settings
        .control
        .iter()
        .map(|peer| (peer.node, peer.rpc))
        .collect();
    let identity = opened.0.identity();
    let members = match identity.joining {
        true => Vec::new(),
        false => founding.keys().copied().collect(),
    };
    let config = consensus::Config::new(settings.node, identity.incarnation, members);
    let logger = logger.clone();
    let lease = roster::Config {
        lease: settings.lease_duration,
        ..roster::Config::default()
    };
    let voter = control::Voter::new(config, opened, lease, founding, logger, outlet, now);
    Ok(voter?)
}
