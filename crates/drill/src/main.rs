//! Plays faults against the real programs and prints figures.

fn main() {}
