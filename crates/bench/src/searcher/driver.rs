//! Task that owns a machine.

use std::{net, time};

use fireflyspool::{backend, ids, sorted};
use tokio::sync::{mpsc, oneshot, watch};

use crate::searcher;

type Answers = sorted::SortedMap<ids::Ticket, oneshot::Sender<searcher::Verdict>>;

/// Feeds events to a machine and executes its actions.
#[derive(Debug)]
pub struct Driver {
    /// Machine.
    pub machine: searcher::Machine,
    /// Address to announce.
    pub address: net::SocketAddr,
    /// Events.
    pub mailbox: mpsc::Receiver<searcher::Message>,
    /// Announcements; the flag asks to send to every entry address.
    pub announcements: mpsc::Sender<(backend::Announcement, bool)>,
    /// Increased to close all connections.
    pub closings: watch::Sender<u64>,
}

impl Driver {
    /// Runs until the machine ends or nobody can send events any more.
    pub async fn run(mut self) {
        let mut answers = Answers::new();
        let mut event = Some(searcher::Event::Timer);
        loop {
            if let Some(event) = event.take() {
                let now = time::Instant::now();
                for action in self.machine.handle(event, rand::random(), now) {
                    if matches!(action, searcher::Action::End) {
                        return;
                    }
                    self.execute(action, &mut answers, now);
                }
            }
            let next = self.machine.next_time().map(tokio::time::Instant::from_std);
            let timer = async {
                match next {
                    Some(time) => tokio::time::sleep_until(time).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = timer => event = Some(searcher::Event::Timer),
                message = self.mailbox.recv() => {
                    let Some(message) = message else { return };
                    if let (Some(ticket), Some(answer)) = (message.event.ticket(), message.answer) {
                        answers.insert(ticket, answer);
                    }
                    event = Some(message.event);
                }
            }
        }
    }

    fn execute(&mut self, action: searcher::Action, answers: &mut Answers, now: time::Instant) {
        match action {
            searcher::Action::Reply {
                ticket,
                verdict,
                delay,
            } => {
                let Some(answer) = answers.remove(&ticket) else {
                    return;
                };
                if delay.is_zero() {
                    // The receiver is gone if the caller has disconnected.
                    drop(answer.send(verdict));
                } else {
                    tokio::spawn(async move {
                        tokio::time::sleep(delay).await;
                        drop(answer.send(verdict));
                    });
                }
            }
            searcher::Action::Abandon(ticket) => drop(answers.remove(&ticket)),
            searcher::Action::CloseConnections => {
                self.closings.send_modify(|count| *count += 1);
            }
            searcher::Action::Announce { everywhere } => {
                if let Some(announcement) = self.machine.announcement(self.address, now) {
                    // A full queue means that no entry VM answers; the next interval tries again.
                    drop(self.announcements.try_send((announcement, everywhere)));
                }
            }
            searcher::Action::End => {}
        }
    }
}
