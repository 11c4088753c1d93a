//! Table of the running service tasks.

use std::sync;

use crate::{dispatch, ids, sorted, traffic};

/// Limit of service tasks per process, so that an authenticated peer cannot make
/// it start any number of them.
const MAX_SERVICES: usize = 4_096;

/// Maps services to their tasks and starts each task on first use.
///
/// The lock is never held across an await point.
pub struct ServiceTable {
    shared: sync::Arc<traffic::Shared>,
    tasks: sync::RwLock<sorted::SortedMap<ids::ServiceName, traffic::ServiceSender>>,
}

impl ServiceTable {
    /// Creates an empty table.
    pub fn new(shared: sync::Arc<traffic::Shared>) -> Self {
        Self {
            shared,
            tasks: sync::RwLock::default(),
        }
    }

    /// Queue of a service; `None` if the catalog does not contain the service.
    pub fn get(&self, service: &str) -> Option<traffic::ServiceSender> {
        let tasks = self
            .tasks
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if let Some(sender) = tasks.get(service) {
            return Some(sender.clone());
        }
        drop(tasks);
        if !self
            .shared
            .view
            .load()
            .catalog
            .services
            .contains_key(service)
        {
            return None;
        }
        let mut tasks = self
            .tasks
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if tasks.len() >= MAX_SERVICES {
            return None;
        }
        let shared = sync::Arc::clone(&self.shared);
        let start = || traffic::ServiceTask::start(shared, service.to_owned());
        Some(tasks.get_or_insert_with(service.to_owned(), start).clone())
    }

    /// Sends an event to every running task.
    pub fn broadcast(&self, event: &dispatch::Event) {
        let tasks = self
            .tasks
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner);
        for sender in tasks.values() {
            // A full queue may drop the event: the task loads the newest view with
            // its next message.
            let _ = sender.try_send(traffic::ServiceMessage::Event(event.clone()));
        }
    }

    /// Queues of all running tasks.
    pub fn all(&self) -> Vec<traffic::ServiceSender> {
        let tasks = self
            .tasks
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner);
        tasks.values().cloned().collect()
    }
}
