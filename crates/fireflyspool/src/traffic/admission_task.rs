//! The task that owns admission on one entry VM.

use std::{sync, time};

use tokio::sync::{mpsc, oneshot};

use crate::{admission, control, ids, sorted, timer, traffic};

/// Queue capacity of the admission task, in messages.
const QUEUE_CAPACITY: usize = 16_384;

/// Full load as reported to the leader, in permille.
const FULL_LOAD: u64 = 1_000;

/// Smallest change of the load that is reported, in permille.
const LOAD_STEP: u32 = 20;

/// Sending side of the admission task's queue.
pub type AdmissionSender = mpsc::Sender<traffic::AdmissionMessage>;

/// Feeds events to [`admission::Admission`] and executes its actions.
pub struct AdmissionTask {
    shared: sync::Arc<traffic::Shared>,
    admission: admission::Admission,
    waiting: sorted::SortedMap<ids::Ticket, oneshot::Sender<admission::Action>>,
    sender: mpsc::WeakSender<traffic::AdmissionMessage>,
    wake: timer::Alarm,
    reported: u32,
}

impl AdmissionTask {
    /// Starts the task.
    pub fn start(shared: sync::Arc<traffic::Shared>) -> AdmissionSender {
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
        let wake = timer::Alarm::new(shared.timer.clone());
        let task = Self {
            shared,
            admission: admission::Admission::new(),
            waiting: sorted::SortedMap::new(),
            sender: sender.downgrade(),
            wake,
            reported: 0,
        };
        tokio::spawn(task.run(receiver));
        sender
    }

    async fn run(mut self, mut receiver: mpsc::Receiver<traffic::AdmissionMessage>) {
        while let Some(message) = receiver.recv().await {
            let event = match message {
                traffic::AdmissionMessage::Arrived(event, reply) => {
                    if let admission::Event::Arrived { ticket, .. } = event {
                        self.waiting.insert(ticket, reply);
                    }
                    event
                }
                traffic::AdmissionMessage::Ended(ticket, end) => {
                    admission::Event::Ended { ticket, end }
                }
                traffic::AdmissionMessage::Timer => admission::Event::Timer,
            };
            self.handle(event);
            self.report_load();
            self.arm_timer();
        }
    }

    fn handle(&mut self, event: admission::Event) {
        let now = time::Instant::now();
        let limits = {
            let view = self.shared.view.load();
            let mut budgets = self.shared.budgets();
            admission::Limits::from_catalog(&view.catalog, budgets.peak.is_peak(now))
        };
        for action in self.admission.handle(event, &limits, now) {
            let (admission::Action::Start { ticket } | admission::Action::Refuse { ticket, .. }) =
                action;
            if let Some(reply) = self.waiting.remove(&ticket) {
                // A request whose receiver is dropped reports its end itself.
                let _ = reply.send(action);
            }
        }
    }

    /// Reports the used share of the limit, which directs callers to entry VMs.
    fn report_load(&mut self) {
        let waiting = self.admission.waiting() as u64;
        let running = self.admission.load();
        let used = (running + waiting) * FULL_LOAD / self.admission.limit().current().max(1);
        let load = u32::try_from(used.min(FULL_LOAD)).unwrap_or(u32::MAX);
        if load.abs_diff(self.reported) >= LOAD_STEP {
            self.reported = load;
            self.shared.tell_control(control::Event::Load(load));
        }
    }

    fn arm_timer(&mut self) {
        let next = self.admission.next_wake();
        let sender = self.sender.clone();
        self.wake.set(next, move || {
            if let Some(sender) = sender.upgrade() {
                // If the queue is full, its next message calls admission soon.
                let _ = sender.try_send(traffic::AdmissionMessage::Timer);
            }
        });
    }
}
