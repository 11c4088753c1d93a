//! Queue order.
