//! The state of this process: its lifecycle, the other processes of the same gateway beside it, and the
//! responsiveness of its serving thread.

pub mod background;
pub mod lag;
pub mod lifecycle;
pub mod overlap;
