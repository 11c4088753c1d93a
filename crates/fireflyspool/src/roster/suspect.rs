//! Fingerprint under which backend servers crashed.

use std::time;

use crate::ids;

/// Crashes counted per fingerprint; further ones would not change any decision.
const MAX_CRASHES: usize = 8;

/// Crashes under one fingerprint.
#[derive(Clone, Debug)]
pub(super) struct Suspect {
    /// Crashes reported in this term.
    reported: Vec<(ids::ServerName, ids::Incarnation)>,
    /// Count known from earlier terms, plus crashes reported since; 0 if none is known.
    inherited: u32,
    pub(super) last_crash: time::Instant,
    /// Sequence of the latest change of the published count.
    pub(super) changed: u64,
}

impl Suspect {
    pub(super) fn new(now: time::Instant) -> Self {
        Self {
            reported: Vec::new(),
            inherited: 0,
            last_crash: now,
            changed: 0,
        }
    }

    /// Crashes reported in this term, or the count inherited from earlier ones if greater.
    pub(super) fn crashes(&self) -> u32 {
        let reported = u32::try_from(self.reported.len()).unwrap_or(u32::MAX);
        self.inherited.max(reported)
    }

    /// Counts a crash once; returns whether the count changed.
    ///
    /// Inherited counts do not name the crashes, so one that is reported again after a
    /// change of leader may count twice. The count then errs on the safe side.
    pub(super) fn add_crash(&mut self, server: &str, incarnation: ids::Incarnation) -> bool {
        let already_counted = self
            .reported
            .iter()
            .any(|(name, known)| name == server && *known == incarnation);
        if already_counted || self.reported.len() >= MAX_CRASHES {
            return false;
        }
        let before = self.crashes();
        self.reported.push((server.to_owned(), incarnation));
        if self.inherited > 0 {
            self.inherited = self.inherited.saturating_add(1);
        }
        self.crashes() != before
    }

    /// Takes over the count of an earlier term; returns whether the count changed.
    pub(super) fn inherit(&mut self, crashes: u32) -> bool {
        let before = self.crashes();
        self.inherited = self.inherited.max(crashes);
        self.crashes() != before
    }
}
