//! Tests of the owner's state machine.

mod cost;
mod experiment;
mod fixture;
mod fuzz;
mod happening;
mod judgement;
mod mode;
mod op;
mod order;
mod probe;
mod sent;
mod simulation;
mod stand_in;
mod sub;
mod world;
mod world_checks;
mod world_driver;
mod world_ops;
