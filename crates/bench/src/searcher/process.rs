//! Start of the searchers of one process.

use std::{net, time};

use tokio::sync::{mpsc, oneshot, watch};

use crate::searcher;

/// Events that wait for a driver; more make their senders wait.
const MAILBOX: usize = 4_096;

/// Runs all searchers of the settings until each has ended.
///
/// `listed` receives the addresses as soon as all listeners are open.
///
/// # Errors
///
/// Returns an error if a file cannot be read or written or a listener cannot be opened.
pub async fn run(
    settings: searcher::Settings,
    listed: impl FnOnce(&[searcher::Listing]),
) -> anyhow::Result<()> {
    let key = match &settings.key_file {
        Some(path) => std::fs::read_to_string(path)?.trim().to_owned(),
        None => String::new(),
    };
    let client = reqwest::Client::builder().no_proxy().build()?;
    let mut searchers = tokio::task::JoinSet::new();
    let mut listings = Vec::new();
    for (offset, profile) in settings.profiles().into_iter().enumerate() {
        let (sender, announcements) = mpsc::channel(4);
        let announcer = searcher::Announcer {
            client: client.clone(),
            entries: settings.entries.clone(),
            key: key.clone(),
            offset,
            announcements,
        };
        let (listing, driver) = open(profile, sender).await?;
        listings.push(listing);
        searchers.spawn(async move { tokio::join!(driver, announcer.run()) });
    }
    if let Some(path) = &settings.listing {
        std::fs::write(path, serde_json::to_vec(&listings)?)?;
    }
    listed(&listings);
    while let Some(ended) = searchers.join_next().await {
        ended?;
    }
    Ok(())
}

async fn open(
    profile: searcher::Profile,
    announcements: mpsc::Sender<(fireflyspool::backend::Announcement, bool)>,
) -> anyhow::Result<(searcher::Listing, impl Future<Output = ()>)> {
    let listener = tokio::net::TcpListener::bind(profile.address).await?;
    let address = listener.local_addr()?;
    let (sender, mailbox) = mpsc::channel(MAILBOX);
    let handle = searcher::Handle::new(sender);
    let (inner, rocket) = launch(handle.clone()).await?;
    let (closings, closed) = watch::channel(0);
    let gate = searcher::Gate {
        listener,
        inner,
        handle,
        closings: closed,
    };
    let listing = searcher::Listing {
        server: profile.name.clone(),
        service: profile.service.clone(),
        zone: profile.zone.clone(),
        address,
        control: inner,
        hosted: profile.hosted.clone(),
    };
    let now = time::Instant::now();
    let unix = time::SystemTime::now().duration_since(time::UNIX_EPOCH)?;
    let driver = searcher::Driver {
        machine: searcher::Machine::new(profile, searcher::Clock::new(now, unix), now),
        address,
        mailbox,
        announcements,
        closings,
    };
    let running = async move {
        let gate = tokio::spawn(gate.run());
        driver.run().await;
        gate.abort();
        rocket.notify();
    };
    Ok((listing, running))
}

/// Starts a rocket instance on a free loopback port.
async fn launch(handle: searcher::Handle) -> anyhow::Result<(net::SocketAddr, rocket::Shutdown)> {
    let config = rocket::Config {
        address: net::Ipv4Addr::LOCALHOST.into(),
        port: 0,
        log_level: rocket::config::LogLevel::Off,
        cli_colors: false,
        shutdown: rocket::config::Shutdown {
            ctrlc: false,
            signals: Default::default(),
            grace: 0,
            mercy: 0,
            ..rocket::config::Shutdown::default()
        },
        ..rocket::Config::release_default()
    };
    let (sender, port) = oneshot::channel();
    let sender = std::sync::Mutex::new(Some(sender));
    let report = rocket::fairing::AdHoc::on_liftoff("port", move |rocket| {
        let taken = sender.lock().ok().and_then(|mut sender| sender.take());
        if let Some(sender) = taken {
            // The receiver waits below, so the send succeeds.
            let _ = sender.send(rocket.config().port);
        }
        Box::pin(async {})
    });
    let rocket = rocket::custom(config)
        .manage(handle)
        .mount("/", super::routes::all())
        .attach(report)
        .ignite()
        .await?;
    let shutdown = rocket.shutdown();
    tokio::spawn(rocket.launch());
    let port = port.await?;
    Ok((
        net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port)),
        shutdown,
    ))
}
