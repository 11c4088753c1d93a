//! Connection for forwarded requests.
//!
//! The task that sends a request drives its connection, so a response wakes one
//! task. Nothing drives an idle connection: whether its server has closed it is
//! found out when it is taken for the next request.

use std::{
    future, net, pin, sync,
    task::{self, Poll},
    time,
};

use hyper::{body, client::conn::http1};
use hyper_util::rt;

use crate::rim::{allowance, bounded_stream, receive_pool, send_failure};
use crate::{rim, timer};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// Largest response head.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Body of a forwarded request.
pub(super) type RequestBody = http_body_util::Full<bytes::Bytes>;

/// Head of a response, its body and the connection that delivers it.
type Received = (
    http::response::Parts,
    body::Incoming,
    ForwardConnection<Receiving>,
);

type Stream = rt::TokioIo<bounded_stream::BoundedStream>;

/// State of a connection without a request.
pub(super) struct Idle {
    since: time::Instant,
}

/// State of a connection on which a request can be sent.
pub(super) struct Open;

/// State of a connection on which a response is received.
pub(super) struct Receiving;

/// Connection to a backend server, with its typestate `S`; dropping it closes it.
pub(super) struct ForwardConnection<S> {
    sender: http1::SendRequest<RequestBody>,
    driver: Driver,
    allowance: sync::Arc<allowance::Allowance>,
    state: S,
}

/// Reads and writes of a connection.
struct Driver {
    connection: http1::Connection<Stream, RequestBody>,
    ended: bool,
}

impl Driver {
    /// Reads and writes what is possible now.
    fn poll(&mut self, context: &mut task::Context<'_>) {
        if !self.ended {
            // The request that is under way gets the error, if there is one.
            self.ended = pin::Pin::new(&mut self.connection).poll(context).is_ready();
        }
    }
}

impl<S> ForwardConnection<S> {
    fn with_state<T>(self, state: T) -> ForwardConnection<T> {
        ForwardConnection {
            sender: self.sender,
            driver: self.driver,
            allowance: self.allowance,
            state,
        }
    }

    fn is_open(&self) -> bool {
        !self.driver.ended && self.sender.is_ready()
    }
}

impl ForwardConnection<Open> {
    /// Opens a connection.
    pub(super) async fn connect(
        address: net::SocketAddr,
        timer: &timer::TimerService,
        pool: &sync::Arc<receive_pool::ReceivePool>,
    ) -> Result<Self, rim::ForwardError> {
        let stream = tokio::select! {
            stream = tokio::net::TcpStream::connect(address) => stream,
            () = timer.sleep(CONNECT_TIMEOUT) => Err(std::io::ErrorKind::TimedOut.into()),
        };
        let stream = stream.map_err(rim::ForwardError::Connect)?;
        // With Nagle's algorithm, a request waits for the acknowledgement of the last one.
        stream
            .set_nodelay(true)
            .map_err(rim::ForwardError::Connect)?;
        let allowance = allowance::Allowance::new(sync::Arc::clone(pool));
        let allowance = sync::Arc::new(allowance);
        let stream = bounded_stream::BoundedStream::new(stream, sync::Arc::clone(&allowance));
        let opened = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(rt::TokioIo::new(stream))
            .await;
        let (sender, connection) = opened.map_err(rim::ForwardError::Broken)?;
        Ok(Self {
            sender,
            driver: Driver {
                connection,
                ended: false,
            },
            allowance,
            state: Open,
        })
    }

    /// Keeps the connection for a later request.
    pub(super) fn rest(self) -> ForwardConnection<Idle> {
        let since = time::Instant::now();
        self.with_state(Idle { since })
    }

    /// Sends a request and receives the head of its response.
    pub(super) async fn send(
        mut self,
        request: http::Request<RequestBody>,
    ) -> Result<Received, send_failure::SendFailure> {
        self.allowance.renew();
        let mut response = pin::pin!(self.sender.try_send_request(request));
        let received = future::poll_fn(|context| {
            self.driver.poll(context);
            response.as_mut().poll(context)
        });
        match received.await {
            Ok(response) => {
                let (head, body) = response.into_parts();
                Ok((head, body, self.with_state(Receiving)))
            }
            Err(mut error) => Err(send_failure::SendFailure {
                unsent: error.take_message(),
                source: error.into_error(),
            }),
        }
    }
}

impl ForwardConnection<Receiving> {
    /// Receives the next frame of the body.
    pub(super) fn poll_frame(
        &mut self,
        body: &mut body::Incoming,
        context: &mut task::Context<'_>,
    ) -> Poll<Option<Result<body::Frame<bytes::Bytes>, hyper::Error>>> {
        use body::Body as _;
        match pin::Pin::new(&mut *body).poll_frame(context) {
            Poll::Ready(frame) => Poll::Ready(frame),
            Poll::Pending => {
                self.driver.poll(context);
                pin::Pin::new(body).poll_frame(context)
            }
        }
    }

    /// Ends the response; `None` if the connection cannot be used again.
    pub(super) async fn finish(mut self) -> Option<ForwardConnection<Idle>> {
        poll_once(&mut self.driver).await;
        self.allowance.renew();
        let since = time::Instant::now();
        self.is_open().then(|| self.with_state(Idle { since }))
    }
}

impl ForwardConnection<Idle> {
    /// Whether its server has neither closed it nor sent anything.
    pub(super) fn is_alive(&mut self) -> bool {
        let waker = task::Waker::noop();
        self.driver.poll(&mut task::Context::from_waker(waker));
        self.is_open()
    }

    /// When the last response ended.
    pub(super) fn idle_since(&self) -> time::Instant {
        self.state.since
    }

    /// Takes the connection for a request; `None` if its server has closed it or sent
    /// bytes that belong to no request.
    pub(super) async fn open(mut self) -> Option<ForwardConnection<Open>> {
        poll_once(&mut self.driver).await;
        self.is_open().then(|| self.with_state(Open))
    }
}

async fn poll_once(driver: &mut Driver) {
    future::poll_fn(|context| {
        driver.poll(context);
        Poll::Ready(())
    })
    .await;
}
