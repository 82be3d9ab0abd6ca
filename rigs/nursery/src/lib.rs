//! A simulated network, disk and clock, seeded, on which any number of the cores run.
