//! The bounded queue between writers of log lines and the sink. Writers never wait: lines that don't fit are dropped and
//! counted, and the count is reported in their place.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::SeqCst};

use async_channel::{Receiver, Sender};

/// Formats the line that reports a number of dropped lines.
type NoticeFormatter = Arc<dyn Fn(u64) -> Vec<u8> + Send + Sync>;

/// Counters that both ends share.
#[derive(Default)]
struct Counters {
    /// Dropped lines that are not reported yet.
    dropped: AtomicU64,
    /// Queued bytes.
    bytes: AtomicUsize,
    /// Lines that were accepted and not written yet.
    unwritten: AtomicUsize,
}

/// The writing end. env_logger writes to it, and serializes its writers.
pub(super) struct QueueWriter {
    queue: Sender<Vec<u8>>,
    counters: Arc<Counters>,
    max_bytes: usize,
    format_notice: NoticeFormatter,
    line: Vec<u8>,
}

/// The reading end. Asking for a line confirms that the one before was written.
pub struct Lines {
    queue: Receiver<Vec<u8>>,
    counters: Arc<Counters>,
    format_notice: NoticeFormatter,
    is_unconfirmed: bool,
}

/// Reports whether all lines are written.
#[derive(Clone)]
pub(super) struct DrainStatus(Arc<Counters>);

/// Creates a queue of at most `lines` lines and `bytes` bytes.
pub(super) fn queue(
    lines: usize,
    bytes: usize,
    format_notice: impl Fn(u64) -> Vec<u8> + Send + Sync + 'static,
) -> (QueueWriter, Lines, DrainStatus) {
    let (sender, receiver) = async_channel::bounded(lines);
    let (counters, format_notice): (Arc<Counters>, NoticeFormatter) =
        (Arc::default(), Arc::new(format_notice));
    let writer = QueueWriter {
        queue: sender,
        counters: counters.clone(),
        max_bytes: bytes,
        format_notice: format_notice.clone(),
        line: Vec::new(),
    };
    let lines = Lines { queue: receiver, counters: counters.clone(), format_notice, is_unconfirmed: false };
    (writer, lines, DrainStatus(counters))
}

impl QueueWriter {
    /// Queues a line, or drops it.
    pub(super) fn enqueue(&self, line: Vec<u8>) {
        let dropped = self.counters.dropped.swap(0, SeqCst);
        // A queue that was full accepts lines again once half of it is free, or it would hold mostly reports.
        if dropped > 0 && !(self.is_half_free() && self.try_push((self.format_notice)(dropped))) {
            self.counters.dropped.fetch_add(dropped + 1, SeqCst);
        } else if !self.try_push(line) {
            self.counters.dropped.fetch_add(1, SeqCst);
        }
    }

    fn is_half_free(&self) -> bool {
        let full = self.queue.capacity().is_some_and(|capacity| self.queue.len() > capacity / 2);
        !full && self.counters.bytes.load(SeqCst) <= self.max_bytes / 2
    }

    fn try_push(&self, line: Vec<u8>) -> bool {
        let size = line.len();
        // Counted before the reading end can take it.
        let queued_bytes = self.counters.bytes.fetch_add(size, SeqCst);
        self.counters.unwritten.fetch_add(1, SeqCst);
        let is_accepted = queued_bytes + size <= self.max_bytes && self.queue.try_send(line).is_ok();
        if !is_accepted {
            self.counters.bytes.fetch_sub(size, SeqCst);
            self.counters.unwritten.fetch_sub(1, SeqCst);
        }
        is_accepted
    }
}

impl Write for QueueWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let line = std::mem::take(&mut self.line);
        if !line.trim_ascii().is_empty() {
            self.enqueue(line.trim_ascii().to_vec());
        }
        Ok(())
    }
}

impl Lines {
    /// The next line; `None` once all writers are gone.
    pub async fn next(&mut self) -> Option<Vec<u8>> {
        if std::mem::take(&mut self.is_unconfirmed) {
            self.counters.unwritten.fetch_sub(1, SeqCst);
        }
        let line = match self.pending_notice() {
            Some(notice) => Some(notice),
            None => match self.queue.recv().await {
                Ok(line) => {
                    self.counters.bytes.fetch_sub(line.len(), SeqCst);
                    Some(line)
                }
                Err(_) => self.pending_notice(),
            },
        };
        self.is_unconfirmed = line.is_some();
        line
    }

    /// The report of dropped lines, once all lines before them are taken.
    fn pending_notice(&self) -> Option<Vec<u8>> {
        if !self.queue.is_empty() {
            return None;
        }
        match self.counters.dropped.swap(0, SeqCst) {
            0 => None,
            dropped => {
                self.counters.unwritten.fetch_add(1, SeqCst);
                Some((self.format_notice)(dropped))
            }
        }
    }
}

impl DrainStatus {
    /// Whether no line is queued, being written, or dropped without a report.
    pub(super) fn is_drained(&self) -> bool {
        self.0.unwritten.load(SeqCst) == 0 && self.0.dropped.load(SeqCst) == 0
    }
}
