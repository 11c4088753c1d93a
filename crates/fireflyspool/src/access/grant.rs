//! Permission of a request to run.

use std::sync;

use crate::{access, configuration};

/// Account that a request runs for, with the digest of the key that it showed.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    account: sync::Arc<configuration::Account>,
    key: configuration::KeyDigest,
}

impl Grant {
    pub(super) fn new(
        account: sync::Arc<configuration::Account>,
        key: configuration::KeyDigest,
    ) -> Self {
        Self { account, key }
    }

    /// Account as it was when the request arrived.
    pub fn account(&self) -> &sync::Arc<configuration::Account> {
        &self.account
    }

    /// Whether the key still belongs to the account in a view of this freshness.
    pub fn holds(&self, accounts: &configuration::Accounts, freshness: access::Freshness) -> bool {
        let holder = accounts.holder(&self.key);
        let same = holder.is_some_and(|holder| holder.name == self.account.name);
        // Without accounts, no request needs a key.
        accounts.is_empty() || same && freshness.may_serve()
    }
}
