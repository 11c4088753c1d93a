//! Keyed collections as sorted vectors.
//!
//! Control state is read far more often than it changes and holds at most a
//! few thousand records, so one contiguous vector with binary search is faster
//! to read, cheaper to copy into a snapshot and ordered for free. Inserting
//! costs a move of the tail.

mod sorted_map;

pub use sorted_map::SortedMap;
