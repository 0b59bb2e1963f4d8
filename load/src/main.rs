//! Load.
fn main() {}
