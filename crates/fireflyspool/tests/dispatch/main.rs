//! Tests of [`fireflyspool::dispatch::Dispatcher`], the state machine of an owner.

mod driver_attempt;
mod event_execution;
mod event_tracking;
mod fake_driver;
mod fake_server;
mod fixture;
mod fuzz;
mod harness;
mod invariants;
mod queue_order;
mod reply_checks;
mod scheduled_event;
mod server_health;
mod server_mode;
mod simulation;
mod step;
mod step_execution;
mod sub_history;
