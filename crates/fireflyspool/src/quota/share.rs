//! Share of one account at one control VM.

use std::time;

use crate::{configuration, quota};

/// Longest stated time; bounds the figures for accounts with a very low rate.
const MAX_WAIT: time::Duration = time::Duration::from_secs(3_600);

/// Token bucket with this control VM's part of an account's quota.
#[derive(Clone, Debug)]
pub(super) struct Share {
    /// Tokens per second of the account over all control VMs; 0 means no limit.
    total_rate: f64,
    /// Tokens per second of this control VM.
    rate: f64,
    capacity: f64,
    level: f64,
    /// When `level` was computed.
    updated: time::Instant,
    /// Requests that were denied since the last grant.
    denied: u32,
    /// Whether the configuration in force names the account.
    pub(super) listed: bool,
}

impl Share {
    /// Bucket with `level` tokens, or with as many as it holds.
    pub(super) fn new(
        account: &configuration::Account,
        hubs: f64,
        level: f64,
        now: time::Instant,
    ) -> Self {
        let mut share = Self {
            total_rate: 0.0,
            rate: 0.0,
            capacity: f64::INFINITY,
            level,
            updated: now,
            denied: 0,
            listed: true,
        };
        share.set_limits(account, hubs, now);
        share
    }

    /// Changes the limits; the smaller one of level and new capacity is kept.
    pub(super) fn set_limits(
        &mut self,
        account: &configuration::Account,
        hubs: f64,
        now: time::Instant,
    ) {
        self.refill(now);
        self.total_rate = account.rate;
        self.rate = account.rate / hubs;
        // Requests need whole tokens. With its part of the burst alone, a share of about one token
        // refuses 2% of the requests below the limit while all shares together hold several.
        // The sum over the group exceeds the burst by one token for each control VM, which the
        // slack of the users' bound (20) covers.
        self.capacity = account.burst / hubs + 1.0;
        self.level = self.level.min(self.capacity);
        self.listed = true;
    }

    /// Whether the bucket is full, so that dropping it and creating it again changes nothing.
    pub(super) fn is_full(&mut self, now: time::Instant) -> bool {
        self.refill(now);
        self.level >= self.capacity
    }

    /// Puts tokens back that were granted and not used.
    pub(super) fn put_back(&mut self, count: u32, now: time::Instant) {
        self.refill(now);
        self.level = (self.level + f64::from(count)).min(self.capacity);
    }

    /// Takes up to `count` tokens.
    pub(super) fn take(&mut self, count: u32, now: time::Instant) -> quota::Grant {
        let all = quota::Grant {
            granted: count,
            next_ms: 0,
            retry_ms: 0,
        };
        if self.total_rate <= 0.0 {
            return all;
        }
        self.refill(now);
        // The bucket holds whole tokens and a part of the next; the cast cuts the part off.
        let granted = count.min(self.level as u32);
        self.level -= f64::from(granted);
        if granted > 0 {
            self.denied = 0;
        }
        if granted == count {
            return all;
        }
        let next = (1.0 - self.level).max(0.0) / self.rate;
        let retry = next + f64::from(self.denied) / self.total_rate;
        self.denied = self.denied.saturating_add(count - granted);
        quota::Grant {
            granted,
            next_ms: millis(next),
            retry_ms: millis(retry),
        }
    }

    fn refill(&mut self, now: time::Instant) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.level = (self.level + elapsed * self.rate).min(self.capacity);
        self.updated = self.updated.max(now);
    }
}

/// Whole milliseconds, rounded up: a caller that returns a moment early is refused again.
fn millis(seconds: f64) -> u64 {
    let bounded = seconds.min(MAX_WAIT.as_secs_f64());
    (bounded * 1_000.0).ceil() as u64
}
