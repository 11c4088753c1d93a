//! A fingerprint under which backend servers died.

use std::time;

use crate::ids;

/// Deaths counted per fingerprint; further ones do not change any decision.
const MAX_CRASHES: usize = 8;

/// Deaths under one fingerprint.
#[derive(Clone, Debug)]
pub(super) struct Suspect {
    reported: Vec<(ids::ServerName, ids::Incarnation)>,
    inherited: u32,
    pub(super) last: time::Instant,
    pub(super) changed: u64,
}

impl Suspect {
    pub(super) fn new(now: time::Instant) -> Self {
        Self {
            reported: Vec::new(),
            inherited: 0,
            last: now,
            changed: 0,
        }
    }

    /// Deaths counted here, or those known from an earlier term if they are more.
    pub(super) fn crashes(&self) -> u32 {
        let reported = u32::try_from(self.reported.len()).unwrap_or(u32::MAX);
        self.inherited.max(reported)
    }

    /// Counts a death once; returns whether the number changed.
    ///
    /// Deaths of earlier terms carry no names, so a death that is reported again
    /// after a change of leader may count twice. That errs on the safe side.
    pub(super) fn add(&mut self, server: &str, incarnation: ids::Incarnation) -> bool {
        let known = self
            .reported
            .iter()
            .any(|(name, known)| name == server && *known == incarnation);
        if known || self.reported.len() >= MAX_CRASHES {
            return false;
        }
        let before = self.crashes();
        self.reported.push((server.to_owned(), incarnation));
        if self.inherited > 0 {
            self.inherited = self.inherited.saturating_add(1);
        }
        self.crashes() != before
    }

    /// Takes over the number of an earlier term; returns whether the number changed.
    pub(super) fn inherit(&mut self, crashes: u32) -> bool {
        let before = self.crashes();
        self.inherited = self.inherited.max(crashes);
        self.crashes() != before
    }
}
