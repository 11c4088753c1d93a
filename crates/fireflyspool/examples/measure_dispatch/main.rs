//! Measures the dispatcher: `measure_dispatch cost|order|cold`.
//!
//! `cost` prints the CPU time of the state machine per sub-request, `order` the
//! effect of queueing hedges ahead of first attempts, and `cold` the effect of
//! slow start on servers that fail above one request. Backend servers are
//! simulated in virtual time.

mod cost;
mod experiment;
#[path = "../../tests/dispatch/fixture.rs"]
#[expect(dead_code, reason = "tests use the rest")]
mod fixture;
mod query;
mod sim_event;
mod simulation;
mod simulation_events;
mod sub;

fn main() {
    let arguments = std::env::args().skip(1).collect::<Vec<_>>();
    for argument in &arguments {
        match argument.as_str() {
            "cost" => cost::print_cost(),
            "order" => experiment::print_hedge_order(),
            "cold" => experiment::print_cold_starts(),
            other => eprintln!("unknown measurement {other}; known: cost, order, cold"),
        }
    }
}
