//! Tasks of all services.

use std::sync;

use crate::{dispatch, ids, sorted, traffic};

/// Services that one process may run tasks for; bounds what an authenticated
/// peer can make it start.
const MAX_SERVICES: usize = 4_096;

/// Starts the task of a service when it is first needed.
///
/// The lock guards the table only and is never held across a wait.
pub struct ServiceTable {
    shared: sync::Arc<traffic::Shared>,
    tasks: sync::RwLock<sorted::SortedMap<ids::ServiceName, traffic::ServiceSender>>,
}

impl ServiceTable {
    /// An empty table.
    pub fn new(shared: sync::Arc<traffic::Shared>) -> Self {
        Self {
            shared,
            tasks: sync::RwLock::default(),
        }
    }

    /// Queue of a service; `None` for a service that the catalog does not name.
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
            // A task with a full queue sees the newest view with its next message.
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
