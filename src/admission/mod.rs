//! What is let in: connections, their pipelined input, and requests by their tenants' limits. No I/O and no clock.

pub mod connection_slots;
pub mod pipelined;
pub mod quota;
