//! Command line of geraniummount.

fn main() {}
