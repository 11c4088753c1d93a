//! HTTP listener for callers whose requests are passed on unchanged.
//!
//! Rocket runs a handler to its end when the caller has gone and gives it a
//! normalized request. Requests that are passed on need neither, so this
//! listener uses hyper, on which Rocket stands: a closed connection drops the
//! handler with all its attempts, and the request target stays as it was sent.

use std::{convert, net, pin, sync, time};

use hyper::{body, server::conn::http1, service};
use hyper_util::rt;
use tokio::sync::watch;

use crate::rim::caller_activity;
use crate::{rim, timer};

/// Handler of one request.
pub type Handling =
    pin::Pin<Box<dyn Future<Output = http::Response<http_body_util::Full<bytes::Bytes>>> + Send>>;

/// Handler of requests.
pub trait CallerHandler: Send + Sync + 'static {
    /// Answers a request; dropped if the caller leaves.
    fn handle(&self, request: http::Request<body::Incoming>) -> Handling;

    /// Time after which an idle connection is closed.
    fn idle(&self) -> time::Duration;
}

/// Buffer of one connection in bytes; bounds the request head.
const BUFFER: usize = 64 * 1024;

/// Pause after an accept that failed, for example for lack of descriptors.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(20);

/// Accepts connections until `closing` becomes true, then lets them end.
///
/// # Errors
///
/// Returns a [`rim::RpcError`] if the address cannot be bound.
pub async fn caller_listener(
    address: net::SocketAddr,
    handler: sync::Arc<dyn CallerHandler>,
    (timer, logger): (timer::TimerService, slog::Logger),
    mut closing: watch::Receiver<bool>,
) -> Result<(), rim::RpcError> {
    let bound = tokio::net::TcpListener::bind(address).await;
    let listener = bound.map_err(|source| rim::RpcError::Bind { address, source })?;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|closing| *closing) => return Ok(()),
        };
        match accepted {
            Ok((stream, _)) => {
                // Without it, small answers wait for acknowledgements.
                let _ = stream.set_nodelay(true);
                let handler = sync::Arc::clone(&handler);
                tokio::spawn(serve(stream, handler, timer.clone(), closing.clone()));
            }
            Err(error) => {
                slog::warn!(logger, "a connection could not be accepted"; "error" => %error);
                timer.sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(
    stream: tokio::net::TcpStream,
    handler: sync::Arc<dyn CallerHandler>,
    timer: timer::TimerService,
    mut closing: watch::Receiver<bool>,
) {
    let activity = sync::Arc::new(caller_activity::CallerActivity::default());
    let answer = service::service_fn(|request| {
        let activity = sync::Arc::clone(&activity);
        let handling = handler.handle(request);
        async move {
            activity.begin();
            let response = handling.await;
            activity.end();
            Ok::<_, convert::Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .max_buf_size(BUFFER)
        .serve_connection(rt::TokioIo::new(stream), answer);
    let mut connection = pin::pin!(connection);
    let mut ending = false;
    loop {
        let idle_at = activity.idle_at(handler.idle());
        if !ending && (*closing.borrow() || idle_at <= time::Instant::now()) {
            connection.as_mut().graceful_shutdown();
            ending = true;
        }
        tokio::select! {
            // The caller broke off, or the connection ended; nothing is left to tell it.
            _ = &mut connection => return,
            _ = closing.changed(), if !ending => {}
            () = timer.sleep_until(idle_at), if !ending => {}
        }
    }
}
