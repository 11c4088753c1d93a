//! Listener of the announced address.

use std::net;

use tokio::{io, net as tokio_net, sync::watch};

use crate::searcher;

/// Accepts connections within the limit and forwards their bytes to rocket.
#[derive(Debug)]
pub struct Gate {
    /// Listener of the announced address.
    pub listener: tokio_net::TcpListener,
    /// Address of the rocket instance.
    pub inner: net::SocketAddr,
    /// Driver of the searcher.
    pub handle: searcher::Handle,
    /// Changes when all connections are to be closed.
    pub closings: watch::Receiver<u64>,
}

impl Gate {
    /// Accepts connections until the searcher has ended.
    pub async fn run(mut self) {
        loop {
            tokio::select! {
                accepted = self.listener.accept() => {
                    let Ok((stream, _)) = accepted else { continue };
                    let handle = self.handle.clone();
                    let mut closings = self.closings.clone();
                    closings.mark_unchanged();
                    tokio::spawn(serve(stream, self.inner, handle, closings));
                }
                closing = self.closings.changed() => {
                    if closing.is_err() {
                        return;
                    }
                }
            }
        }
    }
}

async fn serve(
    mut stream: tokio_net::TcpStream,
    inner: net::SocketAddr,
    handle: searcher::Handle,
    mut closings: watch::Receiver<u64>,
) {
    let connect = |ticket| searcher::Event::Connect { ticket };
    let Some(searcher::Verdict::Admitted { incarnation, setup }) = handle.ask(connect).await else {
        return;
    };
    let forward = async {
        tokio::time::sleep(setup).await;
        let mut served = tokio_net::TcpStream::connect(inner).await?;
        // Small JSON messages must not wait for more data.
        served.set_nodelay(true)?;
        stream.set_nodelay(true)?;
        io::copy_bidirectional(&mut stream, &mut served).await
    };
    tokio::select! {
        // A broken connection needs no report; the counters show it as closed.
        result = forward => drop(result),
        _ = closings.changed() => {}
    }
    handle
        .tell(searcher::Event::Disconnect { incarnation })
        .await;
}
