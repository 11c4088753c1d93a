//! Shares of all accounts at one control VM.

use std::time;

use crate::quota::share;
use crate::{configuration, ids, quota, sorted};

/// Uptime from which an account that was not known before starts with a full bucket.
///
/// Earlier, the account may be one for which this control VM granted tokens before it
/// restarted. The time exceeds the window over which quotas are counted (5 s), so that no
/// window contains grants from before the restart and a full bucket after it.
const SETTLING_TIME: time::Duration = time::Duration::from_secs(10);

/// Token buckets with this control VM's part of each account's quota.
#[derive(Debug)]
pub struct Shares {
    started: time::Instant,
    /// Accounts of the configuration in force.
    accounts: Vec<configuration::Account>,
    shares: sorted::SortedMap<ids::AccountName, share::Share>,
    /// Position of this control VM in the group, and the size of the group; `None` until it is
    /// a member of it.
    place: Option<(usize, usize)>,
}

impl Shares {
    /// Creates the shares of a control VM that has just started; it grants nothing yet.
    pub fn new(now: time::Instant) -> Self {
        Self {
            started: now,
            accounts: Vec::new(),
            shares: sorted::SortedMap::new(),
            place: None,
        }
    }

    /// Sets the position of this control VM in the control group, and the size of the group.
    pub fn set_place(&mut self, place: Option<(usize, usize)>, now: time::Instant) {
        if place != self.place {
            self.place = place;
            self.update(now);
        }
    }

    /// Sets the accounts of the configuration in force.
    pub fn set_accounts(&mut self, accounts: Vec<configuration::Account>, now: time::Instant) {
        self.accounts = accounts;
        self.update(now);
    }

    /// Takes tokens; the answers are in the order of `asks`, with `None` for an account that the
    /// configuration in force does not name.
    pub fn take(&mut self, asks: &[quota::Ask], now: time::Instant) -> Vec<Option<quota::Grant>> {
        let answers = asks.iter().map(|ask| {
            let share = self.shares.get_mut(&ask.account);
            let share = share.filter(|share| share.listed && self.place.is_some());
            share.map(|share| {
                share.put_back(ask.returned, now);
                share.take(ask.count, now)
            })
        });
        answers.collect()
    }

    /// Applies the accounts and the size of the group to the buckets.
    fn update(&mut self, now: time::Instant) {
        let Some((position, size)) = self.place else {
            return;
        };
        let hubs = size.max(1) as f64;
        let uptime = now.saturating_duration_since(self.started);
        for share in self.shares.values_mut() {
            share.listed = false;
        }
        for account in &self.accounts {
            if let Some(share) = self.shares.get_mut(&account.name) {
                share.set_limits(account, hubs, now);
                continue;
            }
            let level = match uptime >= SETTLING_TIME {
                true => f64::INFINITY,
                false => initial_level(account, (position, hubs), uptime),
            };
            let share = share::Share::new(account, hubs, level, now);
            self.shares.insert(account.name.clone(), share);
        }
        // The level of an account that was removed is kept until it would be full, so that
        // removing and adding it again yields no tokens.
        self.shares
            .retain(|_, share| share.listed || !share.is_full(now));
    }
}

/// Level of an account that is known since the start of this control VM.
///
/// Buckets are empty after a start but for a part of a token, which differs between the
/// positions in the group: control VMs that all start together have their first tokens one after
/// another at the rate of the account, and not all at once after n times as long.
fn initial_level(
    account: &configuration::Account,
    (position, hubs): (usize, f64),
    uptime: time::Duration,
) -> f64 {
    (position as f64 + 1.0) / hubs + uptime.as_secs_f64() * account.rate / hubs
}
