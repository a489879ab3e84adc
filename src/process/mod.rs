//! The state of this process: its lifecycle, the connection limits that it shares with other processes of the same
//! gateway, the responsiveness of its serving thread, and blocking work on background threads.

pub mod background;
pub mod lag;
pub mod lifecycle;
pub mod overlap;
