//! One version of the routing configuration.

use crate::{configuration, ids, sorted};

/// Routes, services and limits of one version.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Version that the operator gave; higher ones replace lower ones.
    pub version: ids::ConfigVersion,
    /// Routes in the order of the operator's text; no two match the same host and prefix.
    pub routes: Vec<configuration::Route>,
    /// Services that routes may name.
    pub services: sorted::SortedMap<ids::ServiceName, configuration::Service>,
    /// Client accounts; without any, requests need no key.
    pub accounts: Vec<configuration::Account>,
    /// Limits on what callers may send.
    pub limits: configuration::CallerLimits,
}

impl Configuration {
    /// Checks that every route is complete and that its services are defined.
    ///
    /// # Errors
    ///
    /// Returns the first error as a [`configuration::ConfigurationError`].
    pub fn validate(&self) -> Result<(), configuration::ConfigurationError> {
        let mut matches: Vec<(&str, &str)> = Vec::with_capacity(self.routes.len());
        for route in &self.routes {
            self.validate_route(route)?;
            matches.push((&route.host, &route.prefix));
        }
        self.validate_accounts()?;
        matches.sort_unstable();
        match matches.windows(2).find(|pair| pair[0] == pair[1]) {
            Some(pair) => Err(configuration::ConfigurationError::DuplicateRoute {
                host: pair[0].0.to_owned(),
                prefix: pair[0].1.to_owned(),
            }),
            None => Ok(()),
        }
    }

    fn validate_accounts(&self) -> Result<(), configuration::ConfigurationError> {
        let mut names = Vec::with_capacity(self.accounts.len());
        let mut keys = Vec::with_capacity(self.accounts.len());
        for account in &self.accounts {
            let name = || account.name.clone();
            if account.name.is_empty() {
                return Err(configuration::ConfigurationError::UnnamedAccount);
            }
            let is_valid = |figure: f64| figure.is_finite() && figure >= 0.0;
            if !is_valid(account.rate) || !is_valid(account.burst) {
                return Err(configuration::ConfigurationError::InvalidQuota { account: name() });
            }
            names.push(account.name.as_str());
            keys.extend(account.keys.iter().map(|key| (key, &account.name)));
        }
        names.sort_unstable();
        if let Some(pair) = names.windows(2).find(|pair| pair[0] == pair[1]) {
            let account = pair[0].to_owned();
            return Err(configuration::ConfigurationError::DuplicateAccount { account });
        }
        keys.sort_by_key(|(key, _)| key.prefix());
        let shared = keys.windows(2).find(|pair| pair[0].0 == pair[1].0);
        match shared {
            Some(pair) => Err(configuration::ConfigurationError::SharedKey {
                first: pair[0].1.clone(),
                second: pair[1].1.clone(),
            }),
            None => Ok(()),
        }
    }

    fn validate_route(
        &self,
        route: &configuration::Route,
    ) -> Result<(), configuration::ConfigurationError> {
        let name = || route.name.clone();
        if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
            return Err(configuration::ConfigurationError::InvalidPrefix { route: name() });
        }
        if route.timeout.is_zero() {
            return Err(configuration::ConfigurationError::NoTimeout { route: name() });
        }
        if let configuration::Target::Split(shares) = &route.target
            && !shares.iter().any(|share| share.weight > 0.0)
        {
            return Err(configuration::ConfigurationError::NoWeight { route: name() });
        }
        let mut services = route.target.services();
        if services.clone().next().is_none() {
            return Err(configuration::ConfigurationError::NoTarget { route: name() });
        }
        match services.find(|service| !self.services.contains_key(*service)) {
            Some(service) => Err(configuration::ConfigurationError::UnknownService {
                route: name(),
                service: service.clone(),
            }),
            None => Ok(()),
        }
    }
}
