//! The process as its listeners see it.

use std::{
    sync::{self, atomic},
    time,
};

use tokio::sync::oneshot;

use crate::{
    control, directory, dispatch, gather, ids, language, outcome, plan, rim, settings, shutdown,
    state, telemetry, traffic, view,
};

/// Deadline of a request that names none.
const DEFAULT_DEADLINE: time::Duration = time::Duration::from_secs(1);

/// Hits of a search that names no limit.
const DEFAULT_LIMIT: u32 = 10;

/// Time for a cancellation to reach an owner.
const CANCEL_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Everything that the listeners and tasks of one process work with.
pub struct EntryNode {
    shared: sync::Arc<traffic::Shared>,
    key: settings::SharedKey,
    peers: sync::Arc<rim::Peers>,
    services: traffic::ServiceTable,
    control: traffic::ControlClient,
    admission: traffic::AdmissionSender,
    drain: arc_swap::ArcSwap<shutdown::AnyDrain>,
    reads: traffic::SharedReads,
    routes: sync::Mutex<plan::RouteCache>,
    running: sync::Arc<atomic::AtomicUsize>,
    ticket: atomic::AtomicU64,
}

impl EntryNode {
    /// Assembles a process; must be called within the runtime.
    pub fn new(shared: sync::Arc<traffic::Shared>, key: settings::SharedKey) -> Self {
        let peers = sync::Arc::new(rim::Peers::new(key.clone()));
        Self {
            services: traffic::ServiceTable::new(sync::Arc::clone(&shared)),
            control: traffic::ControlClient::new(
                sync::Arc::clone(&shared),
                sync::Arc::clone(&peers),
            ),
            admission: traffic::AdmissionTask::start(sync::Arc::clone(&shared)),
            drain: arc_swap::ArcSwap::default(),
            reads: traffic::SharedReads::default(),
            routes: sync::Mutex::default(),
            running: sync::Arc::default(),
            ticket: atomic::AtomicU64::new(1),
            shared,
            key,
            peers,
        }
    }

    /// What all tasks share.
    pub fn shared(&self) -> &sync::Arc<traffic::Shared> {
        &self.shared
    }

    /// Settings of this process.
    pub fn settings(&self) -> &settings::Settings {
        &self.shared.settings
    }

    /// Key of the site.
    pub fn key(&self) -> &settings::SharedKey {
        &self.key
    }

    /// Connections to other processes.
    pub fn peers(&self) -> &sync::Arc<rim::Peers> {
        &self.peers
    }

    /// Tasks of the services.
    pub fn services(&self) -> &traffic::ServiceTable {
        &self.services
    }

    /// Calls to the leader.
    pub fn control(&self) -> &traffic::ControlClient {
        &self.control
    }

    /// Queue of the admission task.
    pub fn admission(&self) -> &traffic::AdmissionSender {
        &self.admission
    }

    /// Reads in flight.
    pub fn reads(&self) -> &traffic::SharedReads {
        &self.reads
    }

    /// Plans a search against the latest view.
    ///
    /// # Errors
    ///
    /// Returns the [`plan::PlanError`] of the planner.
    pub fn plan(&self, search: &plan::Search) -> Result<plan::Plan, plan::PlanError> {
        let view = self.shared.view.load();
        let now = time::Instant::now();
        let mut routes = self
            .routes
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        routes.plan(search, &view, now, self.shared.entropy())
    }

    /// Next number of a request of this process.
    pub fn next_ticket(&self) -> ids::Ticket {
        self.ticket.fetch_add(1, atomic::Ordering::Relaxed)
    }

    /// Requests of callers that run.
    pub fn running(&self) -> usize {
        self.running.load(atomic::Ordering::SeqCst)
    }

    /// Phase of the shutdown.
    pub fn drain(&self) -> shutdown::AnyDrain {
        **self.drain.load()
    }

    /// Moves the shutdown on.
    pub fn set_drain(&self, drain: shutdown::AnyDrain) {
        self.drain.store(sync::Arc::new(drain));
    }

    /// Which addresses a caller of a service should use.
    pub fn addresses(&self, service: &str, caller: Option<&str>) -> directory::AddressAnswer {
        let view = self.shared.view.load();
        directory::answer(service, &caller_name(caller), &view)
    }

    /// Whether this process can serve callers.
    ///
    /// # Errors
    ///
    /// Returns the reason if it cannot.
    pub fn readiness(&self) -> Result<(), &'static str> {
        let view = self.shared.view.load();
        if !self.drain().accepts() {
            return Err("draining");
        }
        if !self.settings().has(settings::Role::Entry) {
            return Err("no entry role");
        }
        if !view.may_act(time::Instant::now()) {
            return Err("no lease");
        }
        let owned =
            |record: &view::ServerRecord| record.owner.is_some() && view.is_eligible(record);
        if !view.catalog.collections.is_empty() && !view.servers.values().any(owned) {
            return Err("no backend server can be reached");
        }
        Ok(())
    }

    /// Runs a caller's request to its outcome.
    pub async fn query(self: sync::Arc<Self>, request: rim::QueryRequest) -> outcome::Outcome {
        let received = time::Instant::now();
        let running = traffic::RunningGuard::enter(&self.running);
        let id = request
            .request
            .clone()
            .unwrap_or_else(|| self.draw_request_id());
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

    /// Runs an operator's command.
    pub async fn command(&self, request: rim::CommandRequest) -> traffic::CommandOutcome {
        let statement = match language::parse(&request.statement) {
            Ok(language::Statement::Command(statement)) => statement,
            Ok(language::Statement::Show(show)) => return self.show(show).await,
            Ok(_) => {
                let detail = "expected a command or show; requests go to /v1/query".to_owned();
                return traffic::CommandOutcome::Invalid { detail };
            }
            Err(error) => {
                return traffic::CommandOutcome::Invalid {
                    detail: error.to_string(),
                };
            }
        };
        let command = state::Command {
            operator: request.operator,
            number: request.number,
            expected: statement.expected,
            change: directive(statement.order),
        };
        let reply = self.control.propose(&command).await;
        match reply {
            Ok(control::ProposeReply::Decided { receipt }) => {
                let in_force = self.await_in_force(&receipt, request.wait).await;
                traffic::CommandOutcome::Decided { receipt, in_force }
            }
            Ok(other) => traffic::CommandOutcome::NotRun {
                detail: format!("{other:?}"),
            },
            Err(false) => {
                let detail = "no leader of the control group could be reached".to_owned();
                traffic::CommandOutcome::NotRun { detail }
            }
            Err(true) => {
                let detail = "the answer was lost; send the command again with its number";
                traffic::CommandOutcome::Unknown {
                    detail: detail.to_owned(),
                }
            }
        }
    }

    /// Runs a sub-request on a backend server that this VM owns.
    pub async fn dispatch(&self, sub_request: Box<dispatch::SubRequest>) -> dispatch::SubOutcome {
        let Some(service) = self.services.get(&sub_request.service) else {
            return not_run(dispatch::SkipCause::NoServer);
        };
        let (sender, receiver) = oneshot::channel();
        let message = traffic::ServiceMessage::Submit(sub_request, sender);
        if service.try_send(message).is_err() {
            return not_run(dispatch::SkipCause::QueueFull);
        }
        let lost = dispatch::SubOutcome::Failed {
            server: None,
            cause: dispatch::FailureCause::OwnerLost,
        };
        receiver.await.unwrap_or(lost)
    }

    /// Cancels sub-requests that this VM holds for a coordinator.
    pub fn cancel(&self, call: &rim::CancelCall) {
        let Some(service) = self.services.get(&call.service) else {
            return;
        };
        for sub in &call.subs {
            let event = dispatch::Event::Cancel {
                coordinator: call.coordinator,
                incarnation: call.incarnation,
                sub: *sub,
            };
            // A lost cancellation only lets the attempt run to its deadline.
            let _ = service.try_send(traffic::ServiceMessage::Event(event));
        }
    }

    /// Runs a sub-request at its owner, which may be this VM.
    pub async fn run_at_owner(
        &self,
        owner: ids::NodeId,
        sub_request: dispatch::SubRequest,
        grace: time::Duration,
    ) -> dispatch::SubOutcome {
        if owner == self.shared.node {
            return self.dispatch(Box::new(sub_request)).await;
        }
        let address = self
            .shared
            .view
            .load()
            .members
            .get(&owner)
            .map(|member| member.rpc);
        let Some(address) = address else {
            return not_run(dispatch::SkipCause::NoServer);
        };
        let peer = self.peers.get(owner, address);
        let timeout = sub_request.remaining + grace;
        match peer
            .call(rim::Method::Dispatch, &sub_request, timeout)
            .await
        {
            Ok(outcome) => outcome,
            Err(error) if !error.may_have_arrived() => not_run(dispatch::SkipCause::NoServer),
            Err(_) => dispatch::SubOutcome::Failed {
                server: None,
                cause: dispatch::FailureCause::OwnerLost,
            },
        }
    }

    /// Tells an owner that sub-requests are no longer needed.
    pub fn send_cancel(&self, owner: ids::NodeId, service: &str, subs: Vec<ids::SubRequestId>) {
        let call = rim::CancelCall {
            coordinator: self.shared.node,
            incarnation: self.shared.incarnation,
            service: service.to_owned(),
            subs,
        };
        if owner == self.shared.node {
            self.cancel(&call);
            return;
        }
        let address = self
            .shared
            .view
            .load()
            .members
            .get(&owner)
            .map(|member| member.rpc);
        let Some(address) = address else { return };
        let peer = self.peers.get(owner, address);
        tokio::spawn(async move {
            // A lost cancellation only lets the attempt run to its deadline.
            let _ = peer
                .call::<_, ()>(rim::Method::Cancel, &call, CANCEL_TIMEOUT)
                .await;
        });
    }

    /// Sub-requests that wait or run at backend servers which this VM owns.
    pub async fn attempts(&self) -> usize {
        let sums = self.gauges().await;
        sums.waiting + sums.running
    }

    /// Reports backend servers as released that no task has a client for.
    ///
    /// The others are reported by their dispatchers once their last attempt has
    /// ended. A server that was assigned and taken away between two views is
    /// known to no dispatcher, so nobody else would report it.
    pub async fn give_up(&self, servers: Vec<ids::ServerName>) {
        for server in servers {
            if !self.has_client(&server).await {
                self.shared.tell_control(control::Event::Released(server));
            }
        }
    }

    async fn has_client(&self, server: &str) -> bool {
        for service in self.services.all() {
            let (sender, receiver) = oneshot::channel();
            let message = traffic::ServiceMessage::HasClient(server.to_owned(), sender);
            if service.send(message).await.is_ok() && receiver.await.unwrap_or(false) {
                return true;
            }
        }
        false
    }

    /// Metrics in the OpenMetrics text format.
    pub async fn metrics(&self) -> String {
        self.update_gauges().await;
        self.shared.metrics.encode()
    }

    async fn search(
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

    async fn submit(
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

    async fn show(&self, show: language::Show) -> traffic::CommandOutcome {
        let view = self.shared.view.load_full();
        let table = match show {
            language::Show::Members | language::Show::History => self.control.show(show).await,
            _ => Some(traffic::show_view(show, &view)),
        };
        match table {
            Some(table) => traffic::CommandOutcome::Shown { table },
            None => {
                let detail = "no leader of the control group could be reached".to_owned();
                traffic::CommandOutcome::NotRun { detail }
            }
        }
    }

    async fn await_in_force(&self, receipt: &state::Receipt, wait: rim::CommandWait) -> bool {
        match (receipt, wait) {
            (state::Receipt::Accepted { revision }, rim::CommandWait::InForce) => {
                self.control.await_in_force(*revision).await
            }
            _ => false,
        }
    }

    /// Adds other addresses to a refusal of which only this VM is the reason.
    fn add_addresses(
        &self,
        outcome: outcome::Outcome,
        request: &rim::QueryRequest,
    ) -> outcome::Outcome {
        let outcome::Outcome::NotRun(mut refusal) = outcome else {
            return outcome;
        };
        let elsewhere = matches!(
            refusal.reason,
            outcome::RefusalReason::NoLease
                | outcome::RefusalReason::Draining
                | outcome::RefusalReason::Overloaded
        );
        if elsewhere {
            let view = self.shared.view.load();
            let caller = caller_name(request.caller.as_deref());
            let others = directory::other_addresses("", &caller, &view);
            refusal.addresses = others.iter().map(ToString::to_string).collect();
        }
        outcome::Outcome::NotRun(refusal)
    }

    fn record(&self, kind: outcome::Kind, outcome: &outcome::Outcome, received: time::Instant) {
        let metrics = &self.shared.metrics;
        telemetry::Metrics::count(&metrics.outcomes, outcome.name());
        if let outcome::Outcome::NotRun(refusal) = outcome {
            telemetry::Metrics::count(&metrics.refusals, refusal.reason.name());
        }
        let elapsed = received.elapsed();
        metrics.observe(kind.name(), elapsed);
        self.shared.log_outcome(kind, outcome, elapsed);
    }

    async fn update_gauges(&self) {
        let metrics = &self.shared.metrics;
        let view = self.shared.view.load_full();
        let now = time::Instant::now();
        let owned = |record: &&view::ServerRecord| record.owner == Some(self.shared.node);
        metrics.set_state("revision", view.catalog.revision as i64);
        metrics.set_state("lease_valid", i64::from(view.may_act(now)));
        metrics.set_state("entry_members", view.members.len() as i64);
        metrics.set_state("backend_servers", view.servers.len() as i64);
        metrics.set_state(
            "owned_servers",
            view.servers.values().filter(owned).count() as i64,
        );
        metrics.set_state("suspects", view.suspects.len() as i64);
        metrics.set_state("running_requests", self.running() as i64);
        let dropped = self.shared.dropped_lines.load(atomic::Ordering::Relaxed);
        metrics
            .dropped_lines
            .set(i64::try_from(dropped).unwrap_or(i64::MAX));
        {
            let mut budgets = self.shared.budgets();
            let record = budgets.peak.record(now);
            metrics.set_state("minute_subrequests", record.total() as i64);
            metrics.set_state("month_peak_minute", record.month_peak() as i64);
        }
        let sums = self.gauges().await;
        metrics.set_state("waiting_subrequests", sums.waiting as i64);
        metrics.set_state("running_attempts", sums.running as i64);
        metrics.set_state("permits", sums.permits as i64);
        metrics.set_state("backend_connections", sums.connections as i64);
        metrics.set_state("warming_servers", sums.warming as i64);
        metrics.set_state("ejected_servers", sums.ejected as i64);
    }

    /// Sums of the figures of all dispatchers.
    async fn gauges(&self) -> dispatch::Gauges {
        let mut sums = dispatch::Gauges::default();
        for service in self.services.all() {
            let (sender, receiver) = oneshot::channel();
            let asked = service.send(traffic::ServiceMessage::Gauges(sender)).await;
            if asked.is_ok()
                && let Ok(gauges) = receiver.await
            {
                sums.waiting += gauges.waiting;
                sums.running += gauges.running;
                sums.permits += gauges.permits;
                sums.connections += gauges.connections;
                sums.warming += gauges.warming;
                sums.ejected += gauges.ejected;
            }
        }
        sums
    }

    /// Identifier for a request that brought none: issue time and a random part.
    fn draw_request_id(&self) -> ids::RequestId {
        let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
        format!(
            "{}-{:016x}",
            since.unwrap_or_default().as_millis(),
            self.shared.entropy()
        )
    }
}

fn caller_name(caller: Option<&str>) -> String {
    // A caller without a name gets a fresh draw, so that many of them spread.
    caller.map_or_else(|| rand::random::<u64>().to_string(), str::to_owned)
}

fn directive(order: language::Order) -> state::Directive {
    match order {
        language::Order::Change(change) => state::Directive::Change(change),
        language::Order::AddControl {
            node,
            incarnation,
            rpc,
        } => state::Directive::AddControl {
            node,
            incarnation,
            rpc,
        },
        language::Order::RemoveControl { node } => state::Directive::RemoveControl { node },
    }
}

fn not_run(cause: dispatch::SkipCause) -> dispatch::SubOutcome {
    dispatch::SubOutcome::NotRun {
        cause,
        retry_after: None,
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
