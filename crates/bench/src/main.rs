//! Backend server stand-in and load tool.

fn main() {}
