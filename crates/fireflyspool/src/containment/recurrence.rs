//! Contents under which several incarnations have ended.

use std::time;

use crate::{containment, ids, sorted};

/// Most contents kept; the one that ended fewest incarnations, and of these the first, makes room.
const MAX_CONTENTS: usize = 1_024;

/// Time after the latest end after which a content is forgotten.
const RETENTION: time::Duration = time::Duration::from_secs(60);

/// Ends of incarnations under one content.
#[derive(Clone, Copy, Debug)]
struct Ends {
    count: u32,
    latest: time::Instant,
}

/// How often incarnations have ended under attempts of a content that were given up.
///
/// Few contents become suspect in a second. If a server ends under many attempts, those of the
/// content that was there most often come first, so that innocent ones cannot hide it.
#[derive(Clone, Debug, Default)]
pub(super) struct Recurrence {
    contents: sorted::SortedMap<ids::Fingerprint, Ends>,
}

impl Recurrence {
    /// Counts the end of an incarnation under some attempts, and puts those first whose content
    /// has recurred most often.
    pub(super) fn order(&mut self, attempts: &mut [containment::GivenUp], now: time::Instant) {
        self.contents
            .retain(|_, ends| now < ends.latest + RETENTION);
        for attempt in attempts.iter() {
            let make = || Ends {
                count: 0,
                latest: now,
            };
            let ends = self.contents.get_or_insert_with(attempt.content, make);
            ends.count += 1;
            ends.latest = now;
        }
        let count = |content| self.contents.get(&content).map_or(0, |ends| ends.count);
        attempts.sort_by_key(|attempt| std::cmp::Reverse(count(attempt.content)));
        self.shrink();
    }

    fn shrink(&mut self) {
        let Some(excess) = self.contents.len().checked_sub(MAX_CONTENTS) else {
            return;
        };
        let mut ranks: Vec<_> = self
            .contents
            .iter()
            .map(|(content, ends)| (ends.count, ends.latest, *content))
            .collect();
        ranks.sort_unstable();
        for (_, _, content) in ranks.into_iter().take(excess) {
            self.contents.remove(&content);
        }
    }
}
