//! HTTP listener for callers whose requests are forwarded unchanged.
//!
//! Rocket runs a handler to completion even after the caller has disconnected,
//! and normalizes the request. Forwarding must do neither, so this listener uses
//! hyper, on which Rocket is built: a closed connection drops the handler with
//! all its attempts, and the request target stays as it was sent.

use std::{convert, net, pin, sync, time};

use futures_util::stream;
use hyper::{body, server::conn::http1, service};
use hyper_util::rt;
use tokio::{sync::watch, task};

use crate::rim::connection_activity;
use crate::{rim, timer};

/// Body of a response that is written piece by piece; dropped if the caller disconnects.
pub type StreamedBody = http_body_util::StreamBody<
    stream::BoxStream<'static, Result<body::Frame<bytes::Bytes>, convert::Infallible>>,
>;

/// Body of a response, whole or streamed.
pub type ResponseBody = http_body_util::Either<http_body_util::Full<bytes::Bytes>, StreamedBody>;

/// Future of the response to one request.
pub type ResponseFuture = pin::Pin<Box<dyn Future<Output = http::Response<ResponseBody>> + Send>>;

/// Answers the requests that a [`caller_listener()`] accepts.
pub trait CallerHandler: Send + Sync + 'static {
    /// Answers a request; the future is dropped if the caller disconnects.
    fn handle(&self, request: http::Request<body::Incoming>) -> ResponseFuture;

    /// Time after which an idle connection is closed.
    fn idle(&self) -> time::Duration;
}

/// Read buffer of one connection; bounds the request head.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(20);

/// Accepts connections until `closing` becomes true, then shuts them down gracefully and
/// returns when all have ended.
///
/// While the last ones end, new connections still get one answer each: a listener that is
/// closed earlier resets those that wait to be accepted.
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
    let mut connections = task::JoinSet::new();
    loop {
        let is_closing = *closing.borrow();
        if is_closing && connections.is_empty() {
            return Ok(());
        }
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
            _ = closing.wait_for(|closing| *closing), if !is_closing => continue,
        };
        match accepted {
            Ok((stream, _)) => {
                // With Nagle's algorithm, small responses wait for acknowledgements.
                let _ = stream.set_nodelay(true);
                let handler = sync::Arc::clone(&handler);
                connections.spawn(serve(stream, handler, timer.clone(), closing.clone()));
            }
            Err(error) => {
                slog::warn!(logger, "a connection could not be accepted"; "error" => %error);
                timer.sleep(ACCEPT_RETRY_DELAY).await;
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
    let activity = sync::Arc::new(connection_activity::ConnectionActivity::default());
    let service = service::service_fn(|request| {
        let activity = sync::Arc::clone(&activity);
        let response = handler.handle(request);
        async move {
            activity.begin();
            let response = response.await;
            activity.end();
            Ok::<_, convert::Infallible>(response)
        }
    });
    // A connection that is accepted while the others end has not had its one answer.
    let is_late = *closing.borrow();
    let connection = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .keep_alive(!is_late)
        .serve_connection(rt::TokioIo::new(stream), service);
    let mut connection = pin::pin!(connection);
    let mut shutting_down = false;
    loop {
        let idle_at = activity.idle_at(handler.idle());
        let is_closing = !is_late && *closing.borrow();
        if !shutting_down && (is_closing || idle_at <= time::Instant::now()) {
            connection.as_mut().graceful_shutdown();
            shutting_down = true;
        }
        tokio::select! {
            // The connection ended; an error could not be reported to the caller.
            _ = &mut connection => return,
            _ = closing.changed(), if !shutting_down && !is_late => {}
            () = timer.sleep_until(idle_at), if !shutting_down => {}
        }
    }
}
