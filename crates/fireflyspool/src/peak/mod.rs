//! Meter of the sub-requests per minute and of the month's peak minute.
//!
//! Backend capacity is billed by the busiest minute of the month. The meter
//! counts every sub-request that this entry VM sends by its cause, and detects
//! when the running minute is about to raise the month's peak. During such a
//! minute deferrable requests are held back, and neither hedges nor retries
//! are sent.
//!
//! Each entry VM meters only itself. Callers spread over the entry VMs, so if
//! each VM stays below its own peak, the sum stays below the sum of the peaks.
//! A limit that is set for the tier is divided among the live entry VMs.

mod cause;
mod month;
mod peak_error;
mod peak_meter;
mod peak_record;

pub use cause::Cause;
pub use peak_error::PeakError;
pub use peak_meter::PeakMeter;
pub use peak_record::PeakRecord;
