//! Where lines wait for their way out. No line makes its writer wait: what does not fit is dropped and counted,
//! and the count is told in the place where the lines would have stood.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::SeqCst};

use async_channel::{Receiver, Sender};

/// The line that tells of so many lost ones.
type Notice = Arc<dyn Fn(u64) -> Vec<u8> + Send + Sync>;

/// What both ends know.
#[derive(Default)]
struct Tally {
    /// Lines dropped of which nobody has been told.
    lost: AtomicU64,
    /// Bytes that wait.
    bytes: AtomicUsize,
    /// Lines that were taken in and are not out.
    unwritten: AtomicUsize,
}

/// The end where lines are written. It is what env_logger writes to, which keeps its writers apart.
pub(super) struct Intake {
    queue: Sender<Vec<u8>>,
    tally: Arc<Tally>,
    most_bytes: usize,
    notice: Notice,
    line: Vec<u8>,
}

/// The end where they are taken. Asking for a line says that the one before is out.
pub struct Lines {
    queue: Receiver<Vec<u8>>,
    tally: Arc<Tally>,
    notice: Notice,
    taken: bool,
}

/// Whether all is out.
#[derive(Clone)]
pub(super) struct Gauge(Arc<Tally>);

/// A queue of at most so many lines and so many bytes.
pub(super) fn queue(
    lines: usize,
    bytes: usize,
    notice: impl Fn(u64) -> Vec<u8> + Send + Sync + 'static,
) -> (Intake, Lines, Gauge) {
    let (to, from) = async_channel::bounded(lines);
    let (tally, notice): (Arc<Tally>, Notice) = (Arc::default(), Arc::new(notice));
    let intake = Intake {
        queue: to,
        tally: tally.clone(),
        most_bytes: bytes,
        notice: notice.clone(),
        line: Vec::new(),
    };
    let lines = Lines { queue: from, tally: tally.clone(), notice, taken: false };
    (intake, lines, Gauge(tally))
}

impl Intake {
    /// Takes a line in, or drops it.
    pub(super) fn put(&self, line: Vec<u8>) {
        let lost = self.tally.lost.swap(0, SeqCst);
        // Guards against a queue that holds hardly more than counts: one that was full takes lines again once half
        // of it is free.
        if lost > 0 && !(self.half_free() && self.push((self.notice)(lost))) {
            self.tally.lost.fetch_add(lost + 1, SeqCst);
        } else if !self.push(line) {
            self.tally.lost.fetch_add(1, SeqCst);
        }
    }

    fn half_free(&self) -> bool {
        let full = self.queue.capacity().is_some_and(|most| self.queue.len() > most / 2);
        !full && self.tally.bytes.load(SeqCst) <= self.most_bytes / 2
    }

    fn push(&self, line: Vec<u8>) -> bool {
        let size = line.len();
        // Counted before it can be taken.
        let waiting = self.tally.bytes.fetch_add(size, SeqCst);
        self.tally.unwritten.fetch_add(1, SeqCst);
        let taken = waiting + size <= self.most_bytes && self.queue.try_send(line).is_ok();
        if !taken {
            self.tally.bytes.fetch_sub(size, SeqCst);
            self.tally.unwritten.fetch_sub(1, SeqCst);
        }
        taken
    }
}

impl Write for Intake {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let line = std::mem::take(&mut self.line);
        if !line.trim_ascii().is_empty() {
            self.put(line.trim_ascii().to_vec());
        }
        Ok(())
    }
}

impl Lines {
    /// The next line; none once nobody can write any more.
    pub async fn next(&mut self) -> Option<Vec<u8>> {
        if std::mem::take(&mut self.taken) {
            self.tally.unwritten.fetch_sub(1, SeqCst);
        }
        let line = match self.owed() {
            Some(notice) => Some(notice),
            None => match self.queue.recv().await {
                Ok(line) => {
                    self.tally.bytes.fetch_sub(line.len(), SeqCst);
                    Some(line)
                }
                Err(_) => self.owed(),
            },
        };
        self.taken = line.is_some();
        line
    }

    /// The count of lost lines, once all that was written before them is out.
    fn owed(&self) -> Option<Vec<u8>> {
        if !self.queue.is_empty() {
            return None;
        }
        match self.tally.lost.swap(0, SeqCst) {
            0 => None,
            lost => {
                self.tally.unwritten.fetch_add(1, SeqCst);
                Some((self.notice)(lost))
            }
        }
    }
}

impl Gauge {
    /// Whether no line waits, is being written or has to be told as lost.
    pub(super) fn is_out(&self) -> bool {
        self.0.unwritten.load(SeqCst) == 0 && self.0.lost.load(SeqCst) == 0
    }
}
