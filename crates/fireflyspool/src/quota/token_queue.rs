//! State machine of an entry VM that obtains tokens.

use std::{net, time};

use crate::quota::{account_queue, hub_call, hub_state, waiting};
use crate::{configuration, ids, quota, sorted};

/// Time after which another control VM is asked; several round trips between zones.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(15);

/// Time for which other control VMs are preferred to one that did not answer.
const SILENCE_PAUSE: time::Duration = time::Duration::from_secs(1);

/// Share of the objective that a request may wait for its token.
const OBJECTIVE_DIVISOR: u32 = 3;

/// Longest time that a request may wait for its token.
const MAX_WAIT: time::Duration = time::Duration::from_millis(100);

/// What an account does next for the requests for which no call asks yet.
enum Choice {
    /// Ask these control VMs together.
    Ask(Vec<net::SocketAddr>),
    /// Wait for the end of a call in flight.
    Wait,
    /// No control VM can have a token.
    Deny,
}

/// Requests that wait for tokens, and the control VMs that are asked for them.
///
/// At most one call is in flight to each control VM, with the needs of all accounts. Accounts
/// do not wait for one another. The first control VM in the order is asked alone; then twice as
/// many are asked together as are known to have no token. Tokens beyond the need go back.
#[derive(Debug, Default)]
pub struct TokenQueue {
    /// Control VMs in the order in which they are asked.
    order: Vec<net::SocketAddr>,
    hubs: sorted::SortedMap<net::SocketAddr, hub_state::HubState>,
    accounts: sorted::SortedMap<ids::AccountName, account_queue::AccountQueue>,
}

impl TokenQueue {
    /// Sets the control VMs in the order in which they are asked.
    pub fn set_hubs(&mut self, order: &[net::SocketAddr], now: time::Instant) {
        if self.order == order {
            return;
        }
        self.order = order.to_vec();
        self.hubs
            .retain(|hub, state| state.call.is_some() || order.contains(hub));
        for account in self.accounts.values_mut() {
            account.empty.retain(|hub, _| order.contains(hub));
            account.surplus.retain(|hub, _| order.contains(hub));
        }
        self.accounts.retain(|_, account| !account.is_idle(now));
    }

    /// Adds a request; [`quota::Action::Finish`] with its ticket ends it.
    ///
    /// `spread` is a random number in `0.0..1.0`.
    pub fn request(
        &mut self,
        ticket: ids::Ticket,
        account: &configuration::Account,
        objective: time::Duration,
        spread: f64,
        now: time::Instant,
    ) -> Vec<quota::Action> {
        let deadline = now + (objective / OBJECTIVE_DIVISOR).min(MAX_WAIT);
        if !self.accounts.contains_key(&account.name) {
            let queue = account_queue::AccountQueue::default();
            self.accounts.insert(account.name.clone(), queue);
        }
        if let Some(queue) = self.accounts.get_mut(&account.name) {
            queue.set_limits((account.rate, account.burst));
            queue.waiting.push_back(waiting::Waiting {
                ticket,
                deadline,
                spread,
            });
        }
        self.advance(now)
    }

    /// Removes a request that its caller has abandoned; tokens that are granted for it go to
    /// other requests of the account.
    pub fn cancel(&mut self, account: &str, ticket: ids::Ticket) {
        if let Some(queue) = self.accounts.get_mut(account) {
            queue.cancel(ticket);
        }
    }

    /// Handles the end of a call; `grants` is `None` if there is no answer.
    pub fn call_ended(
        &mut self,
        hub: net::SocketAddr,
        grants: Option<Vec<Option<quota::Grant>>>,
        now: time::Instant,
    ) -> Vec<quota::Action> {
        // A request that waited too long, perhaps because this VM was suspended, must not run
        // with a token of an earlier window.
        let mut actions = self.expire(now);
        let state = self.hubs.get_mut(&hub);
        let Some(call) = state.and_then(|state| state.call.take()) else {
            return actions;
        };
        let grants = grants.filter(|grants| grants.len() == call.asks.len());
        if let Some(state) = self.hubs.get_mut(&hub) {
            state.failed_until = grants.is_none().then_some(now + SILENCE_PAUSE);
        }
        let mut grants = grants.into_iter().flatten();
        for ask in call.asks {
            let Some(queue) = self.accounts.get_mut(&ask.account) else {
                continue;
            };
            if !call.overdue {
                queue.asked = queue.asked.saturating_sub(ask.count as usize);
            }
            if let Some(grant) = grants.next() {
                let asked = (hub, ask.count);
                actions.extend(queue.answered(asked, grant, call.sent, now));
            }
        }
        actions.extend(self.advance(now));
        actions
    }

    /// When [`Self::wake`] must be called; `None` if nothing waits.
    pub fn next_wake(&self) -> Option<time::Instant> {
        let calls = self.hubs.values().filter_map(|state| state.call.as_ref());
        let calls = calls.filter(|call| !call.overdue);
        let overdue = calls.map(|call| call.sent + ANSWER_TIMEOUT);
        let queues = self.accounts.values();
        let waiting = queues.flat_map(|queue| queue.waiting.iter());
        overdue.chain(waiting.map(|waiting| waiting.deadline)).min()
    }

    /// Handles overdue answers and requests whose time is over.
    pub fn wake(&mut self, now: time::Instant) -> Vec<quota::Action> {
        for state in self.hubs.values_mut() {
            let Some(call) = &mut state.call else {
                continue;
            };
            if call.overdue || now < call.sent + ANSWER_TIMEOUT {
                continue;
            }
            call.overdue = true;
            state.slow_until = Some(now + SILENCE_PAUSE);
            for ask in &call.asks {
                if let Some(queue) = self.accounts.get_mut(&ask.account) {
                    queue.asked = queue.asked.saturating_sub(ask.count as usize);
                }
            }
        }
        self.accounts.retain(|_, account| !account.is_idle(now));
        self.advance(now)
    }

    /// Number of requests that wait for a token.
    pub fn waiting(&self) -> usize {
        self.accounts
            .values()
            .map(|queue| queue.waiting.len())
            .sum()
    }

    fn expire(&mut self, now: time::Instant) -> Vec<quota::Action> {
        let queues = self.accounts.values_mut();
        queues.flat_map(|queue| queue.expire(now)).collect()
    }

    /// Adds unused tokens to the calls, and calls of their own where none is due.
    fn return_surplus(&mut self, calls: &mut sorted::SortedMap<net::SocketAddr, Vec<quota::Ask>>) {
        for (name, queue) in self.accounts.iter_mut() {
            queue.surplus.retain(|hub, count| {
                if self.hubs.get(hub).is_none_or(|state| state.call.is_some()) {
                    return true;
                }
                let asks = calls.get_or_insert_with(*hub, Vec::new);
                match asks.iter_mut().find(|ask| ask.account == *name) {
                    Some(ask) => ask.returned = *count,
                    None => asks.push(quota::Ask {
                        account: name.clone(),
                        count: 0,
                        returned: *count,
                    }),
                }
                false
            });
        }
    }

    /// Asks for the tokens that are needed, and refuses the requests that can get none.
    fn advance(&mut self, now: time::Instant) -> Vec<quota::Action> {
        let mut actions = self.expire(now);
        let mut calls: sorted::SortedMap<net::SocketAddr, Vec<quota::Ask>> =
            sorted::SortedMap::new();
        for (name, queue) in self.accounts.iter_mut() {
            let need = queue.need();
            if need == 0 {
                continue;
            }
            match choose(&self.order, &self.hubs, queue, now) {
                Choice::Wait => {}
                Choice::Deny => actions.extend(queue.deny(need, now)),
                Choice::Ask(hubs) => {
                    let count = match hubs.len() {
                        1 => need,
                        // Shares differ, so each is asked for more than an equal part.
                        several => (2 * need).div_ceil(several),
                    };
                    queue.asked += count * hubs.len();
                    for hub in hubs {
                        let ask = quota::Ask {
                            account: name.clone(),
                            count: u32::try_from(count).unwrap_or(u32::MAX),
                            returned: 0,
                        };
                        calls.get_or_insert_with(hub, Vec::new).push(ask);
                    }
                }
            }
        }
        self.return_surplus(&mut calls);
        for (hub, asks) in calls {
            let state = self
                .hubs
                .get_or_insert_with(hub, hub_state::HubState::default);
            state.call = Some(hub_call::HubCall {
                sent: now,
                asks: asks.clone(),
                overdue: false,
            });
            actions.push(quota::Action::Call { hub, asks });
        }
        actions
    }
}

/// The control VMs that may have a token; slow ones are the last resort.
fn choose(
    order: &[net::SocketAddr],
    hubs: &sorted::SortedMap<net::SocketAddr, hub_state::HubState>,
    queue: &account_queue::AccountQueue,
    now: time::Instant,
) -> Choice {
    let (mut ready, mut slow) = (Vec::new(), Vec::new());
    // Whether the end of a call in flight may help.
    let mut pending = queue.asked > 0;
    let width = queue.width(now);
    for hub in order.iter().filter(|hub| !queue.is_empty(**hub, now)) {
        let state = hubs.get(hub);
        let is_slow = state.is_some_and(|state| state.is_slow(now));
        if state.is_some_and(|state| state.is_failed(now)) {
            continue;
        }
        if state.is_some_and(|state| state.call.is_some()) {
            pending = true;
            // Requests that arrive meanwhile share the next call to it.
            if !is_slow && ready.is_empty() && width == 1 {
                return Choice::Wait;
            }
        } else if is_slow {
            slow.push(*hub);
        } else {
            ready.push(*hub);
        }
    }
    let mut chosen = if ready.is_empty() { slow } else { ready };
    chosen.truncate(width);
    match chosen.is_empty() {
        false => Choice::Ask(chosen),
        true if pending => Choice::Wait,
        true => Choice::Deny,
    }
}
