//! Load tool.
//!
//! [`Generator`] starts requests at intended times that do not depend on
//! responses (open loop), so latency includes the time that a request spends
//! waiting for a slow system. [`Caller`] behaves as callers do: it asks for
//! addresses, caches them and sends the request to the first usable one.
//! [`Verifier`] checks every response, [`Tally`] counts, [`Census`] sums up the
//! counters of the searchers and [`Report`] holds the results. [`run()`] joins
//! these parts; all others take times and random numbers as arguments.

mod address_book;
mod arrivals;
mod caller;
mod census;
mod census_taker;
mod collector;
mod ending;
mod event_report;
mod fault;
mod generator;
mod kind_report;
mod kind_tally;
mod kind_weights;
mod latency;
mod mix;
mod operator;
mod report;
mod request;
mod run;
mod sample;
mod score;
mod scoring;
mod searcher_report;
mod selection;
mod settings;
mod signal;
mod step;
mod step_action;
mod surge;
mod table;
mod tally;
mod template;
mod verifier;

pub use address_book::AddressBook;
pub use arrivals::Arrivals;
pub use caller::Caller;
pub use census::Census;
pub use census_taker::CensusTaker;
pub use collector::Collector;
pub use ending::Ending;
pub use event_report::EventReport;
pub use fault::Fault;
pub use generator::Generator;
pub use kind_report::KindReport;
pub use kind_tally::KindTally;
pub use kind_weights::KindWeights;
pub use latency::Latency;
pub use mix::Mix;
pub use operator::Operator;
pub use report::Report;
pub use request::Request;
pub use run::run;
pub use sample::Sample;
pub use score::Score;
pub use scoring::Scoring;
pub use searcher_report::SearcherReport;
pub use selection::Selection;
pub use settings::Settings;
pub use signal::Signal;
pub use step::Step;
pub use step_action::StepAction;
pub use surge::Surge;
pub use table::Table;
pub use tally::Tally;
pub use template::Template;
pub use verifier::Verifier;
