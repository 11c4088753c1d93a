//! Gathering of a group of shards for another entry VM.

use crate::forward;
use crate::node::{forward_task, running_exchange, running_guard};

/// Drives the exchange of one group; dropping it stops all its attempts.
pub struct GroupTask {
    /// `None` after the last answer.
    running: Option<(forward_task::ForwardTask, running_exchange::RunningExchange)>,
    /// Counts the group as a running request.
    _guard: running_guard::RunningGuard,
}

impl GroupTask {
    /// Sends the first attempts.
    pub(super) fn start(
        mut task: forward_task::ForwardTask,
        group: &forward::Group,
        guard: running_guard::RunningGuard,
    ) -> Self {
        let running = task.start_group(group);
        Self {
            running: Some((task, running)),
            _guard: guard,
        }
    }

    /// Waits for the next answer, and tells whether it is the last one; `None` after that.
    pub async fn next(&mut self) -> Option<(forward::GroupAnswer, bool)> {
        let (task, running) = self.running.as_mut()?;
        let answer = task.next_report(&mut running.exchange).await?;
        let last = !task.has_reports() && running.exchange.is_finished();
        if last && let Some((task, running)) = self.running.take() {
            task.finish_group(running, answer.missing.len());
        }
        Some((answer, last))
    }
}
