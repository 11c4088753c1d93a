//! Demand of the running minute and the month's peak minute.
//!
//! Backend capacity is billed by the busiest minute of the month. The meter
//! counts every sub-request that leaves this entry VM by its cause and tells
//! when the running minute is about to raise the month's peak. At such a time
//! deferrable requests are paced and neither hedges nor retries are sent.
//!
//! The meter counts one entry VM. Callers spread over the entry VMs, so each
//! VM keeping its own share below its own peak keeps the sum below the sum of
//! the peaks; a limit set for the tier is divided among the live entry VMs.

mod cause;
mod month;
mod peak_error;
mod peak_meter;
mod peak_record;

pub use cause::Cause;
pub use peak_error::PeakError;
pub use peak_meter::PeakMeter;
pub use peak_record::PeakRecord;
