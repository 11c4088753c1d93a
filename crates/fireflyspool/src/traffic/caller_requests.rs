//! Requests of callers.

use std::{sync, time};

use crate::{
    directory, gather, ids, language, outcome, plan, rim, telemetry,
    traffic::{self, entry_node},
};

/// Deadline of a request that sets none.
const DEFAULT_DEADLINE: time::Duration = time::Duration::from_secs(1);

/// Number of hits of a search that sets no limit.
const DEFAULT_LIMIT: u32 = 10;

impl traffic::EntryNode {
    /// Runs a caller's request to its outcome.
    pub async fn query(self: sync::Arc<Self>, request: rim::QueryRequest) -> outcome::Outcome {
        let received = time::Instant::now();
        let running = traffic::RunningGuard::enter(&self.running);
        let id = request
            .request
            .clone()
            .unwrap_or_else(|| self.generate_request_id());
        let (kind, outcome) = match language::parse(&request.statement) {
            Ok(language::Statement::Search(statement)) => {
                let kind = statement.kind.unwrap_or_default();
                (kind, self.search(statement, id, received).await)
            }
            Ok(language::Statement::Submit(statement)) => (
                outcome::Kind::Interactive,
                self.submit(statement, received).await,
            ),
            Ok(_) => {
                let detail = "expected search or submit; commands go to /v1/command";
                (outcome::Kind::Interactive, invalid(id, detail))
            }
            Err(error) => (outcome::Kind::Interactive, invalid(id, &error.to_string())),
        };
        let outcome = self.add_addresses(outcome, &request);
        self.record(kind, &outcome, received);
        drop(running);
        outcome
    }

    pub(super) async fn search(
        self: &sync::Arc<Self>,
        statement: language::SearchStatement,
        request: ids::RequestId,
        received: time::Instant,
    ) -> outcome::Outcome {
        let deadline = statement.within.unwrap_or(DEFAULT_DEADLINE);
        let search = plan::Search {
            request,
            collection: statement.collection,
            service: statement.service,
            text: statement.text,
            kind: statement.kind.unwrap_or_default(),
            deadline: deadline.min(self.settings().deadline_limit),
            coverage: statement.coverage.unwrap_or_default(),
            version: statement.version,
            limit: statement.limit.unwrap_or(DEFAULT_LIMIT),
            partial: statement.partial,
        };
        if !self.drain().accepts() {
            return draining(search.request, search.deadline);
        }
        traffic::QueryTask::new(sync::Arc::clone(self), search, received)
            .run()
            .await
    }

    pub(super) async fn submit(
        self: &sync::Arc<Self>,
        statement: language::SubmitStatement,
        received: time::Instant,
    ) -> outcome::Outcome {
        let deadline = statement.within.unwrap_or(DEFAULT_DEADLINE);
        let deadline = deadline.min(self.settings().deadline_limit);
        if !self.drain().accepts() {
            return draining(statement.request, deadline);
        }
        let submit = gather::Submit {
            request: statement.request,
            service: statement.service,
            kind: outcome::Kind::Interactive,
            payload: statement.body,
            deadline,
        };
        traffic::SubmissionTask::new(sync::Arc::clone(self), submit, received)
            .run()
            .await
    }

    /// Adds addresses of other entry VMs to a refusal that is specific to this VM.
    pub(super) fn add_addresses(
        &self,
        outcome: outcome::Outcome,
        request: &rim::QueryRequest,
    ) -> outcome::Outcome {
        let outcome::Outcome::NotRun(mut refusal) = outcome else {
            return outcome;
        };
        let is_local = matches!(
            refusal.reason,
            outcome::RefusalReason::NoLease
                | outcome::RefusalReason::Draining
                | outcome::RefusalReason::Overloaded
        );
        if is_local {
            let view = self.shared.view.load();
            let caller = entry_node::caller_name(request.caller.as_deref());
            let others = directory::fallback_addresses("", &caller, &view);
            refusal.addresses = others.iter().map(ToString::to_string).collect();
        }
        outcome::Outcome::NotRun(refusal)
    }

    pub(super) fn record(
        &self,
        kind: outcome::Kind,
        outcome: &outcome::Outcome,
        received: time::Instant,
    ) {
        let metrics = &self.shared.metrics;
        telemetry::Metrics::count(&metrics.outcomes, outcome.name());
        if let outcome::Outcome::NotRun(refusal) = outcome {
            telemetry::Metrics::count(&metrics.refusals, refusal.reason.name());
        }
        let elapsed = received.elapsed();
        metrics.observe(kind.name(), elapsed);
        self.shared.log_outcome(kind, outcome, elapsed);
    }

    /// Id for a request without one: issue time and a random part.
    pub(super) fn generate_request_id(&self) -> ids::RequestId {
        let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
        format!(
            "{}-{:016x}",
            since.unwrap_or_default().as_millis(),
            self.shared.entropy()
        )
    }
}

fn invalid(request: ids::RequestId, detail: &str) -> outcome::Outcome {
    outcome::Outcome::NotRun(outcome::Refusal {
        request,
        reason: outcome::RefusalReason::Invalid,
        detail: detail.to_owned(),
        snapshot: None,
        deadline: time::Duration::ZERO,
        retry_after: None,
        addresses: Vec::new(),
    })
}

fn draining(request: ids::RequestId, deadline: time::Duration) -> outcome::Outcome {
    outcome::Outcome::NotRun(outcome::Refusal {
        request,
        reason: outcome::RefusalReason::Draining,
        detail: "this entry VM is shutting down".to_owned(),
        snapshot: None,
        deadline,
        retry_after: Some(time::Duration::ZERO),
        addresses: Vec::new(),
    })
}
