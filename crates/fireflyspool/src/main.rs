//! The fireflyspool command line.

fn main() {}
