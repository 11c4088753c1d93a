//! Lookup of client accounts by key.

use std::sync;

use crate::configuration;

/// Client accounts of a configuration, indexed by the digests of their keys.
#[derive(Debug, Default)]
pub struct Accounts {
    accounts: Vec<sync::Arc<configuration::Account>>,
    /// Digest and index of its account, ascending by the prefix of the digest.
    keys: Vec<(configuration::KeyDigest, usize)>,
}

impl Accounts {
    /// Indexes accounts that were validated.
    pub fn new(accounts: Vec<configuration::Account>) -> Self {
        let accounts: Vec<_> = accounts.into_iter().map(sync::Arc::new).collect();
        let pairs = |(index, account): (usize, &sync::Arc<configuration::Account>)| {
            let keys = account.keys.iter().map(move |key| (*key, index));
            keys.collect::<Vec<_>>()
        };
        let mut keys: Vec<_> = accounts.iter().enumerate().flat_map(pairs).collect();
        keys.sort_by_key(|(key, _)| key.prefix());
        Self { accounts, keys }
    }

    /// Whether the configuration has no accounts; requests need no key then.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// All accounts, in the order of the configuration.
    pub fn iter(&self) -> impl Iterator<Item = &sync::Arc<configuration::Account>> {
        self.accounts.iter()
    }

    /// Account that holds a key.
    pub fn find(&self, key: &[u8]) -> Option<&sync::Arc<configuration::Account>> {
        self.holder(&configuration::KeyDigest::of(key))
    }

    /// Account that holds the key with this digest.
    pub fn holder(
        &self,
        digest: &configuration::KeyDigest,
    ) -> Option<&sync::Arc<configuration::Account>> {
        let prefix = digest.prefix();
        let first = self.keys.partition_point(|(key, _)| key.prefix() < prefix);
        let mut same = self.keys[first..].iter();
        let (_, index) = same
            .by_ref()
            .take_while(|(key, _)| key.prefix() == prefix)
            .find(|(key, _)| key == digest)?;
        self.accounts.get(*index)
    }
}
