//! When the entries of the replicated log are compacted into a snapshot of the state.

/// Bytes of applied commands after which a snapshot is due.
pub const COMPACT_AFTER_BYTES: usize = 1 << 20;

/// Applied commands after which a snapshot is due, however small they are. A member applies them again when
/// it starts, each in about 10 ms for a configuration of 1.3 MB.
pub const COMPACT_AFTER_COMMANDS: usize = 64;

/// What was applied since the last snapshot.
#[derive(Clone, Copy, Debug, Default)]
pub struct AppliedSinceSnapshot {
    bytes: usize,
    commands: usize,
}

impl AppliedSinceSnapshot {
    /// Records that a command of `command_bytes` was applied.
    pub fn record(&mut self, command_bytes: usize) {
        self.bytes += command_bytes;
        self.commands += 1;
    }

    /// Whether a snapshot is due.
    #[must_use]
    pub fn is_snapshot_due(&self) -> bool {
        self.bytes >= COMPACT_AFTER_BYTES || self.commands >= COMPACT_AFTER_COMMANDS
    }
}
