//! TCP proxy that injects faults into connections.

use std::{net, time};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream, tcp},
    sync::watch,
};

use super::link_fault::LinkFault;

/// Most bytes that one read takes.
const READ_BYTES: usize = 16_384;

/// Proxy in front of one server, on a loopback port of its own.
pub(crate) struct Relay {
    address: net::SocketAddr,
    fault: watch::Sender<LinkFault>,
}

impl Relay {
    pub(crate) async fn start(server: net::SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (fault, current) = watch::channel(LinkFault::None);
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(proxy(client, server, current.clone()));
            }
        });
        Self { address, fault }
    }

    pub(crate) fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Applies a fault to all connections for `pause`.
    pub(crate) async fn inject(&self, fault: LinkFault, pause: time::Duration) {
        self.fault.send_replace(fault);
        tokio::time::sleep(pause).await;
        self.fault.send_replace(LinkFault::None);
    }
}

async fn proxy(mut client: TcpStream, server: net::SocketAddr, fault: watch::Receiver<LinkFault>) {
    if *fault.borrow() == LinkFault::Reset {
        let _ = client.set_zero_linger();
        return;
    }
    let Ok(mut upstream) = TcpStream::connect(server).await else {
        let _ = client.set_zero_linger();
        return;
    };
    let (from_client, to_client) = client.split();
    let (from_server, to_server) = upstream.split();
    let clean = tokio::select! {
        clean = forward(from_client, to_server, LinkFault::DropToServer, fault.clone()) => clean,
        clean = forward(from_server, to_client, LinkFault::DropToClient, fault) => clean,
    };
    if !clean {
        // Resets both sides; setting the option on a closed connection may fail.
        let _ = client.set_zero_linger();
        let _ = upstream.set_zero_linger();
    }
}

/// Forwards bytes until one side closes, dropping them while `drop_fault` is set.
///
/// Returns whether no bytes were lost.
async fn forward(
    mut from: tcp::ReadHalf<'_>,
    mut to: tcp::WriteHalf<'_>,
    drop_fault: LinkFault,
    mut fault: watch::Receiver<LinkFault>,
) -> bool {
    let mut buffer = vec![0; READ_BYTES];
    let mut lost = false;
    loop {
        let length = tokio::select! {
            read = from.read(&mut buffer) => match read {
                Ok(0) | Err(_) => return !lost,
                Ok(length) => length,
            },
            changed = fault.changed() => {
                let now = *fault.borrow();
                // Dropped bytes cannot be recovered, so the connection ends with the fault.
                if changed.is_err() || now == LinkFault::Reset || lost && now != drop_fault {
                    return false;
                }
                continue;
            }
        };
        let now = *fault.borrow();
        match now {
            LinkFault::Delay(delay) => tokio::time::sleep(delay).await,
            LinkFault::Reset => return false,
            _ if now == drop_fault => {
                lost = true;
                continue;
            }
            _ => {}
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return false;
        }
    }
}
