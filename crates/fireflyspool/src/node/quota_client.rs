//! Tokens of client accounts on an entry VM.

use std::{net, sync, time};

use tokio::sync::{Notify, oneshot};

use crate::{configuration, ids, node, quota, rim, sorted, timer};

/// Time after which a call counts as failed. It is longer than the time after which other
/// control VMs are asked: an answer that is late on a VM without processor time still carries
/// tokens.
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(500);

type Answer = Result<(), quota::Denial>;

/// Obtains a token from the control VMs for each request of a limited account.
pub struct QuotaClient {
    process: sync::Arc<node::Process>,
    state: sync::Mutex<State>,
    /// Notified when the queue must be woken.
    due: sync::Arc<Notify>,
}

struct State {
    queue: quota::TokenQueue,
    requests: sorted::SortedMap<ids::Ticket, oneshot::Sender<Answer>>,
    last_ticket: ids::Ticket,
    /// Control VMs as last passed to the queue.
    hubs: sync::Arc<Vec<net::SocketAddr>>,
    alarm: timer::Alarm,
}

impl QuotaClient {
    /// Starts the task that handles overdue answers; it runs as long as the process.
    pub fn start(process: sync::Arc<node::Process>) -> sync::Arc<Self> {
        let state = State {
            queue: quota::TokenQueue::default(),
            requests: sorted::SortedMap::new(),
            last_ticket: 0,
            hubs: sync::Arc::default(),
            alarm: timer::Alarm::new(process.timer.clone()),
        };
        let client = sync::Arc::new(Self {
            process,
            state: sync::Mutex::new(state),
            due: sync::Arc::default(),
        });
        let task = sync::Arc::clone(&client);
        tokio::spawn(async move {
            loop {
                task.due.notified().await;
                task.update(|queue| queue.wake(time::Instant::now()));
            }
        });
        client
    }

    /// Takes a token for a request; an account without a limit needs none.
    ///
    /// Dropping the future withdraws the request. A token is not returned.
    ///
    /// # Errors
    ///
    /// Returns the [`quota::Denial`] if the request must not run: the account has used its
    /// quota, or no control VM has answered within a third of the objective.
    pub async fn take(
        self: &sync::Arc<Self>,
        account: &configuration::Account,
        objective: time::Duration,
    ) -> Answer {
        if !account.is_limited() {
            return Ok(());
        }
        let (sender, receiver) = oneshot::channel();
        let ticket = {
            let mut state = self.lock();
            let now = time::Instant::now();
            state.last_ticket += 1;
            let ticket = state.last_ticket;
            state.requests.insert(ticket, sender);
            let hubs = self.process.hubs.load_full();
            if !sync::Arc::ptr_eq(&hubs, &state.hubs) {
                state.queue.set_hubs(&hubs, now);
                state.hubs = hubs;
            }
            let spread = rand::random();
            let queue = &mut state.queue;
            let actions = queue.request(ticket, account, objective, spread, now);
            self.execute(&mut state, actions);
            ticket
        };
        let _withdrawal = Withdrawal {
            client: self,
            account: &account.name,
            ticket,
        };
        // The sender is dropped only together with the client.
        let unanswered = quota::Denial::Unavailable {
            retry_after: CALL_TIMEOUT,
        };
        receiver.await.unwrap_or(Err(unanswered))
    }

    /// Number of requests that wait for a token.
    pub fn waiting(&self) -> usize {
        self.lock().queue.waiting()
    }

    fn update(
        self: &sync::Arc<Self>,
        change: impl FnOnce(&mut quota::TokenQueue) -> Vec<quota::Action>,
    ) {
        let mut state = self.lock();
        let actions = change(&mut state.queue);
        self.execute(&mut state, actions);
    }

    fn execute(self: &sync::Arc<Self>, state: &mut State, actions: Vec<quota::Action>) {
        for action in actions {
            match action {
                quota::Action::Call { hub, asks } => self.call(hub, asks),
                quota::Action::Finish { ticket, result } => {
                    if let Some(sender) = state.requests.remove(&ticket) {
                        // The caller may have closed its connection.
                        let _ = sender.send(result);
                    }
                }
            }
        }
        let due = sync::Arc::clone(&self.due);
        let next = state.queue.next_wake();
        state.alarm.set(next, move || due.notify_one());
    }

    fn call(self: &sync::Arc<Self>, hub: net::SocketAddr, asks: Vec<quota::Ask>) {
        let client = sync::Arc::clone(self);
        tokio::spawn(async move {
            let peer = client.process.peer(hub);
            let method = rim::Method::TakeTokens;
            let called = peer.call::<_, Vec<Option<quota::Grant>>>(method, &asks, CALL_TIMEOUT);
            let grants = called.await;
            if let Err(error) = &grants {
                slog::info!(client.process.logger, "control VM granted no tokens";
                    "peer" => %hub, "accounts" => asks.len(), "error" => %error);
            }
            let grants = grants.ok();
            client.update(|queue| queue.call_ended(hub, grants, time::Instant::now()));
        });
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        // A panic under this lock loses at most the requests of one event.
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Withdraws a request whose caller stops waiting.
struct Withdrawal<'a> {
    client: &'a QuotaClient,
    account: &'a str,
    ticket: ids::Ticket,
}

impl Drop for Withdrawal<'_> {
    fn drop(&mut self) {
        let mut state = self.client.lock();
        if state.requests.remove(&self.ticket).is_some() {
            state.queue.cancel(self.account, self.ticket);
        }
    }
}
