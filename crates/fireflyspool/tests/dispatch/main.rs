//! Tests of the owner's state machine.

mod deliveries;
mod fixture;
mod fuzz;
mod happening;
mod judgement;
mod mode;
mod op;
mod order;
mod probe;
mod reply_checks;
mod sent;
mod stand_in;
mod sub;
mod world;
mod world_checks;
mod world_driver;
mod world_happenings;
mod world_ops;
