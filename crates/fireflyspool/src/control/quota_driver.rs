//! Tokens of client accounts at a control VM, on the control thread.

use std::{net, sync, time};

use crate::{configuration, quota};

/// Applies the replicated log to this VM's shares of the quotas.
pub struct QuotaDriver {
    format: sync::Arc<dyn configuration::Format>,
    shares: quota::Shares,
    /// Whether a configuration was decoded.
    configured: bool,
    logger: slog::Logger,
}

impl QuotaDriver {
    /// Creates a driver that grants nothing until there is a configuration.
    pub fn new(
        format: sync::Arc<dyn configuration::Format>,
        logger: slog::Logger,
        now: time::Instant,
    ) -> Self {
        Self {
            format,
            shares: quota::Shares::new(now),
            configured: false,
            logger,
        }
    }

    /// Decodes a new version of the configuration and applies its quotas.
    pub(super) fn set_document(&mut self, document: &configuration::Document, now: time::Instant) {
        match self.format.decode(&document.text) {
            Ok(decoded) => {
                let limited = decoded.accounts.iter();
                let limited = limited.filter(|account| account.is_limited()).count();
                slog::info!(self.logger, "quotas in force"; "version" => document.version,
                    "accounts" => decoded.accounts.len(), "limited" => limited);
                self.shares.set_accounts(decoded.accounts, now);
                self.configured = true;
            }
            Err(error) => {
                // Entry VMs keep the former version as well.
                slog::error!(self.logger,
                    "configuration cannot be used; the former quotas stay in force";
                    "version" => document.version, "error" => %error);
            }
        }
    }

    /// Sets the listeners of the control group; this VM has a share if `own` is among them.
    ///
    /// A replica that has not applied all of the log may lack listeners of the group's
    /// `members`; its share would be too large without them.
    pub(super) fn set_group(
        &mut self,
        group: &[net::SocketAddr],
        members: usize,
        own: net::SocketAddr,
        now: time::Instant,
    ) {
        let position = group.iter().filter(|listener| **listener < own).count();
        let is_member = group.contains(&own);
        let place = is_member.then_some((position, group.len().max(members)));
        self.shares.set_place(place, now);
    }

    /// Takes tokens; `None` if there is no configuration yet.
    pub(super) fn take(
        &mut self,
        asks: &[quota::Ask],
        now: time::Instant,
    ) -> Option<Vec<Option<quota::Grant>>> {
        self.configured.then(|| self.shares.take(asks, now))
    }
}
