//! Loopback proxy with faults.

use std::{net, time};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream, tcp},
    sync::watch,
};

use super::link_fault::LinkFault;

/// Bytes that one read takes at most.
const CHUNK: usize = 16_384;

/// Proxy before one server.
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
                tokio::spawn(relay(client, server, current.clone()));
            }
        });
        Self { address, fault }
    }

    pub(crate) fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Keeps up a fault for a time.
    pub(crate) async fn hold(&self, fault: LinkFault, pause: time::Duration) {
        self.fault.send_replace(fault);
        tokio::time::sleep(pause).await;
        self.fault.send_replace(LinkFault::None);
    }
}

async fn relay(mut client: TcpStream, server: net::SocketAddr, fault: watch::Receiver<LinkFault>) {
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
        clean = pump(from_client, to_server, LinkFault::CutThere, fault.clone()) => clean,
        clean = pump(from_server, to_client, LinkFault::CutBack, fault) => clean,
    };
    if !clean {
        // A connection that does not exist any more has nothing to set.
        let _ = client.set_zero_linger();
        let _ = upstream.set_zero_linger();
    }
}

/// Passes bytes on until one side closes; returns whether nothing was lost.
async fn pump(
    mut from: tcp::ReadHalf<'_>,
    mut to: tcp::WriteHalf<'_>,
    cut: LinkFault,
    mut fault: watch::Receiver<LinkFault>,
) -> bool {
    let mut buffer = vec![0; CHUNK];
    let mut lost = false;
    loop {
        let length = tokio::select! {
            read = from.read(&mut buffer) => match read {
                Ok(0) | Err(_) => return !lost,
                Ok(length) => length,
            },
            changed = fault.changed() => {
                let now = *fault.borrow();
                // What a cut swallowed cannot be made up for, so the connection ends with it.
                if changed.is_err() || now == LinkFault::Reset || lost && now != cut {
                    return false;
                }
                continue;
            }
        };
        let now = *fault.borrow();
        match now {
            LinkFault::Delay(delay) => tokio::time::sleep(delay).await,
            LinkFault::Reset => return false,
            _ if now == cut => {
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
