//! TCP stream that limits how much is read for one response.

use std::{
    io, pin, sync,
    task::{self, Poll},
};

use tokio::io as async_io;

use crate::rim::allowance;

/// Stream whose reads fail once its allowance is used up.
///
/// The limit covers everything that the peer sends: heads, interim responses,
/// chunk extensions, bodies and trailers.
pub(super) struct BoundedStream {
    stream: tokio::net::TcpStream,
    allowance: sync::Arc<allowance::Allowance>,
}

impl BoundedStream {
    /// Limits a stream; the owner of `allowance` renews it for each response.
    pub(super) fn new(
        stream: tokio::net::TcpStream,
        allowance: sync::Arc<allowance::Allowance>,
    ) -> Self {
        Self { stream, allowance }
    }
}

impl async_io::AsyncRead for BoundedStream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut async_io::ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = pin::Pin::new(&mut self.stream).poll_read(context, buffer);
        let read = buffer.filled().len() - before;
        match self.allowance.spend(read) {
            true => polled,
            false => Poll::Ready(Err(io::Error::other("the response is too long"))),
        }
    }
}

impl async_io::AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
