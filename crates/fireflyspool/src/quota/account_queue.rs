//! Requests of one account that wait for tokens.

use std::{collections, net, time};

use crate::quota::{emptiness, waiting};
use crate::{ids, quota, sorted};

/// Longest time for which an answer that a share is empty is relied on: limits may be raised,
/// and a control VM learns it later than others.
const MAX_KNOWN_EMPTY: time::Duration = time::Duration::from_secs(1);

/// Pause before a control VM is asked again that did not know the account.
const UNKNOWN_PAUSE: time::Duration = time::Duration::from_millis(100);

/// Age of a grant beyond which an unused token is lost: returned later, it could run in another
/// window than the one for which it was granted.
const RETURN_LIMIT: time::Duration = time::Duration::from_millis(200);

/// Time after which a caller may return that was refused because no control VM answered.
const UNAVAILABLE_RETRY: time::Duration = time::Duration::from_millis(300);

/// Time over which refused callers are spread beyond the stated time.
const RETURN_SPREAD: time::Duration = time::Duration::from_millis(20);

/// Waiting requests of an account, oldest first, and which shares are empty.
#[derive(Clone, Debug, Default)]
pub(super) struct AccountQueue {
    /// Requests per second and burst of the account.
    pub(super) limits: (f64, f64),
    pub(super) waiting: collections::VecDeque<waiting::Waiting>,
    /// Tokens in calls in flight whose answers are not overdue.
    pub(super) asked: usize,
    /// Granted tokens that no request used, by the control VM to which they go back.
    pub(super) surplus: sorted::SortedMap<net::SocketAddr, u32>,
    pub(super) empty: sorted::SortedMap<net::SocketAddr, emptiness::Emptiness>,
    /// Requests that were refused since the last answer of a control VM.
    denied: u32,
}

impl AccountQueue {
    /// Number of tokens that no call asks for yet.
    pub(super) fn need(&self) -> usize {
        self.waiting.len().saturating_sub(self.asked)
    }

    /// Whether nothing about the account must be kept.
    pub(super) fn is_idle(&self, now: time::Instant) -> bool {
        let is_empty = |empty: &emptiness::Emptiness| now < empty.until;
        self.waiting.is_empty()
            && self.asked == 0
            && self.surplus.is_empty()
            && !self.empty.values().any(is_empty)
    }

    /// Changes the limits; the shares may not be empty any more.
    pub(super) fn set_limits(&mut self, limits: (f64, f64)) {
        if limits != self.limits {
            self.limits = limits;
            self.empty.clear();
        }
    }

    /// Whether a control VM is known to have no token.
    pub(super) fn is_empty(&self, hub: net::SocketAddr, now: time::Instant) -> bool {
        self.empty.get(&hub).is_some_and(|empty| now < empty.until)
    }

    /// Number of control VMs that are asked together.
    ///
    /// One after the other would take longer than an urgent request may wait. All at once would
    /// take the tokens of all control VMs until the unused ones are back, and the requests of
    /// other entry VMs would be refused meanwhile (2% of the requests below the limit).
    pub(super) fn width(&self, now: time::Instant) -> usize {
        let known = self.empty.values().filter(|empty| now < empty.until);
        (2 * known.count()).max(1)
    }

    /// Handles the answer of a control VM to `count` requests, asked at `sent`.
    pub(super) fn answered(
        &mut self,
        (hub, count): (net::SocketAddr, u32),
        grant: Option<quota::Grant>,
        sent: time::Instant,
        now: time::Instant,
    ) -> Vec<quota::Action> {
        let granted = grant.map_or(0, |grant| grant.granted.min(count));
        let fed = self.waiting.len().min(granted as usize);
        let unused = granted - u32::try_from(fed).unwrap_or(granted);
        if unused > 0 && now.saturating_duration_since(sent) <= RETURN_LIMIT {
            *self.surplus.get_or_insert_with(hub, || 0) += unused;
        }
        let finished = self.waiting.drain(..fed).map(|waiting| waiting.ticket);
        let actions = finished.map(|ticket| quota::Action::Finish {
            ticket,
            result: Ok(()),
        });
        let actions = actions.collect();
        match grant {
            Some(grant) if granted < count => {
                let next = time::Duration::from_millis(grant.next_ms).min(MAX_KNOWN_EMPTY);
                let retry = now + time::Duration::from_millis(grant.retry_ms);
                let (until, retry) = (now + next, Some(retry));
                self.denied = 0;
                self.empty
                    .insert(hub, emptiness::Emptiness { until, retry });
            }
            // An answer that only confirms returned tokens says nothing about others.
            Some(_) if count == 0 => {}
            Some(_) => {
                self.empty.remove(&hub);
            }
            None => {
                let until = now + UNKNOWN_PAUSE;
                let retry = None;
                self.empty
                    .insert(hub, emptiness::Emptiness { until, retry });
            }
        }
        actions
    }

    /// Refuses the requests whose time is over.
    pub(super) fn expire(&mut self, now: time::Instant) -> Vec<quota::Action> {
        if !self.waiting.iter().any(|waiting| waiting.deadline <= now) {
            return Vec::new();
        }
        let (over, kept) = self
            .waiting
            .drain(..)
            .partition(|waiting| waiting.deadline <= now);
        self.waiting = kept;
        self.refuse(over, now)
    }

    /// Refuses the youngest `count` requests.
    pub(super) fn deny(&mut self, count: usize, now: time::Instant) -> Vec<quota::Action> {
        let kept = self.waiting.len().saturating_sub(count);
        let denied = self.waiting.split_off(kept);
        self.refuse(denied, now)
    }

    fn refuse(
        &mut self,
        requests: collections::VecDeque<waiting::Waiting>,
        now: time::Instant,
    ) -> Vec<quota::Action> {
        let refused = requests.into_iter().map(|waiting| {
            let denial = self.denial(&waiting, now);
            quota::Action::Finish {
                ticket: waiting.ticket,
                result: Err(denial),
            }
        });
        refused.collect()
    }

    fn denial(&mut self, waiting: &waiting::Waiting, now: time::Instant) -> quota::Denial {
        let known = self.empty.values().filter(|empty| now < empty.until);
        let Some(retry) = known.filter_map(|empty| empty.retry).min() else {
            let retry_after = UNAVAILABLE_RETRY.mul_f64(1.0 + waiting.spread);
            return quota::Denial::Unavailable { retry_after };
        };
        // The stated time is that of one token; each further caller needs another one.
        let ahead = f64::from(self.denied) / self.limits.0.max(f64::MIN_POSITIVE);
        let ahead = time::Duration::try_from_secs_f64(ahead).unwrap_or(time::Duration::MAX);
        self.denied = self.denied.saturating_add(1);
        let retry_after = retry
            .saturating_duration_since(now)
            .saturating_add(ahead)
            .saturating_add(RETURN_SPREAD.mul_f64(waiting.spread));
        quota::Denial::Exhausted { retry_after }
    }

    /// Removes a request that its caller has abandoned.
    pub(super) fn cancel(&mut self, ticket: ids::Ticket) {
        self.waiting.retain(|waiting| waiting.ticket != ticket);
    }
}
