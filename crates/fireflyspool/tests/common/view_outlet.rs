//! Outlet of the control thread that keeps the published view.

use std::{net, sync, time};

use fireflyspool::{consensus, control, ids, roster, view};

/// Keeps the view that was published last and ignores everything else.
#[derive(Default)]
pub(crate) struct ViewOutlet {
    view: sync::Mutex<Option<view::View>>,
}

impl ViewOutlet {
    /// The view that was published last.
    pub(crate) fn view(&self) -> view::View {
        let view = self.view.lock().expect("no panic while held").clone();
        view.expect("a published view")
    }
}

impl control::Outlet for ViewOutlet {
    fn send_envelope(&self, _: net::SocketAddr, _: consensus::Envelope) {}

    fn send_renewal(&self, _: ids::NodeId, _: net::SocketAddr, _: roster::RenewRequest) {}

    fn publish_view(&self, view: view::View) {
        *self.view.lock().expect("no panic while held") = Some(view);
    }

    fn release_servers(&self, _: Vec<ids::ServerName>) {}

    fn publish_control_addresses(&self, _: Vec<(ids::NodeId, net::SocketAddr)>) {}

    fn environment(&self) -> &dyn control::Environment {
        self
    }
}

impl control::Environment for ViewOutlet {
    fn wake_at(&self, _: time::Instant) {}

    fn entropy(&self) -> u64 {
        0
    }

    fn wall_clock(&self) -> u64 {
        0
    }
}
