//! Crashes by content.

use std::time;

use crate::containment::suspect;
use crate::{containment, ids, sorted};

/// Most contents kept; the one that would be forgotten first makes room.
const MAX_SUSPECTS: usize = 256;

/// Most contents without a failed probe that are added in [`ADMISSION_INTERVAL`]. If servers
/// end under many contents at a time, it is not for the contents; and VMs tell each other of
/// each one.
const MAX_ADMISSIONS: usize = 4;
const ADMISSION_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Largest part of a refusal by which a VM prolongs it. VMs of a site prolong it by different
/// parts, so that the first one that probes tells the others of the result.
const MAX_DELAY: time::Duration = time::Duration::from_secs(30);

/// Crashes that a VM knows of, with a position that grows with each change.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    suspects: sorted::SortedMap<ids::Fingerprint, suspect::Suspect>,
    position: u64,
    /// Position of the latest change of a content with a failed probe.
    urgent: u64,
    /// When contents without a failed probe were added lately.
    admitted: Vec<time::Instant>,
}

impl Ledger {
    /// Position of the latest change; 0 if there was none.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Position of the latest change that others need at once: a probe has failed.
    pub fn urgent_position(&self) -> u64 {
        self.urgent
    }

    /// Whether no crash is known.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Number of contents with crashes.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Contents with crashes, ascending.
    pub fn contents(&self) -> impl Iterator<Item = ids::Fingerprint> {
        self.suspects.keys().copied()
    }

    /// Number of crashes under a content, as far as they are kept.
    pub fn crashes(&self, content: ids::Fingerprint) -> usize {
        let suspect = self.suspects.get(&content);
        suspect.map_or(0, |suspect| suspect.crashes.len())
    }

    /// Adds a crash that this VM noticed; returns whether that may change the verdict.
    pub fn add(
        &mut self,
        content: ids::Fingerprint,
        crash: containment::Crash,
        now: time::Instant,
    ) -> bool {
        self.add_all(content, [crash], now, now)
    }

    /// Adds the crashes that another VM knows of; returns whether any may change the verdict.
    pub fn merge(&mut self, record: containment::Record, now: time::Instant) -> bool {
        let age = time::Duration::from_millis(record.age_ms);
        let noticed = now.checked_sub(age).unwrap_or(now);
        self.add_all(record.content, record.crashes, noticed, now)
    }

    /// Decision on a request of a content. `spread`, 0 to 1, differs between the VMs of a site.
    pub fn verdict(
        &self,
        content: ids::Fingerprint,
        spread: f64,
        now: time::Instant,
    ) -> containment::Verdict {
        let suspect = self.suspects.get(&content);
        let Some(suspect) = suspect.filter(|suspect| now < suspect.forgotten_at()) else {
            return containment::Verdict::Accepted;
        };
        let delayed = |until| until + MAX_DELAY.mul_f64(spread);
        match suspect.refused_until().map(delayed) {
            Some(until) if now < until => containment::Verdict::Refused { until },
            _ => containment::Verdict::Probe,
        }
    }

    /// Contents that changed after a position, with all their crashes.
    pub fn since(&self, position: u64, now: time::Instant) -> Vec<containment::Record> {
        let suspects = self.suspects.iter();
        let changed = suspects.filter(|(_, suspect)| suspect.changed > position);
        let record = |(content, suspect): (&ids::Fingerprint, &suspect::Suspect)| {
            let age = now.saturating_duration_since(suspect.latest).as_millis();
            containment::Record {
                content: *content,
                crashes: suspect.crashes.clone(),
                age_ms: u64::try_from(age).unwrap_or(u64::MAX),
            }
        };
        changed.map(record).collect()
    }

    /// Removes contents that need not be remembered.
    pub fn expire(&mut self, now: time::Instant) {
        self.suspects
            .retain(|_, suspect| now < suspect.forgotten_at());
    }

    /// Whether one more content without a failed probe may be added now.
    fn admit(&mut self, now: time::Instant) -> bool {
        let age = |at: &time::Instant| now.saturating_duration_since(*at);
        self.admitted.retain(|at| age(at) < ADMISSION_INTERVAL);
        let admitted = self.admitted.len() < MAX_ADMISSIONS;
        if admitted {
            self.admitted.push(now);
        }
        admitted
    }

    fn add_all(
        &mut self,
        content: ids::Fingerprint,
        crashes: impl IntoIterator<Item = containment::Crash>,
        noticed: time::Instant,
        now: time::Instant,
    ) -> bool {
        let known = self.suspects.get(&content).cloned();
        let is_new = known.is_none();
        let mut suspect = known.unwrap_or_else(|| suspect::Suspect::new(noticed));
        let mut changed = false;
        for crash in crashes {
            changed |= suspect.add(crash, noticed);
        }
        if !changed || suspect.forgotten_at() <= now {
            return false;
        }
        let is_probed = suspect.is_probed();
        if is_new && !is_probed && !self.admit(now) {
            return false;
        }
        self.position += 1;
        suspect.changed = self.position;
        if is_probed {
            self.urgent = self.position;
        }
        self.suspects.insert(content, suspect);
        if self.suspects.len() > MAX_SUSPECTS {
            let first = self.suspects.iter().min_by_key(|(_, s)| s.forgotten_at());
            if let Some(first) = first.map(|(content, _)| *content) {
                self.suspects.remove(&first);
            }
        }
        true
    }
}
