//! Check of the shared key on the listener for other processes.

use crate::{rim, settings};

/// Wraps a service in a [`rim::KeyService`].
#[derive(Clone, Debug)]
pub struct KeyLayer {
    key: settings::SharedKey,
}

impl KeyLayer {
    /// Creates a layer that requires `key`.
    pub fn new(key: settings::SharedKey) -> Self {
        Self { key }
    }
}

impl<S> tower::Layer<S> for KeyLayer {
    type Service = rim::KeyService<S>;

    fn layer(&self, inner: S) -> Self::Service {
        rim::KeyService::new(inner, self.key.clone())
    }
}
