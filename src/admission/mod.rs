//! Admission control: connection slots, pipelined input, and the tenants' rate limits. No I/O and no clock.

pub mod connection_slots;
pub mod pipelined;
pub mod quota;
