//! Map as a sorted vector.
//!
//! Control state is read far more often than it changes and holds at most a
//! few thousand records, so one contiguous vector with binary search is faster
//! to read, cheaper to copy into a snapshot and already ordered. Inserting and
//! removing shift the entries behind the position.

mod sorted_map;

pub use sorted_map::SortedMap;
