//! The two sinks of the log: standard error, by a thread of its own, and a collector, on the serving thread.

use std::io::{self, ErrorKind, Write};
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;

use super::framed;
use super::queue::Lines;
use crate::limits::Limits;
use tulipridge_http1::{BufferedStream, within};

/// Enough for a thread that only writes.
const STACK: usize = 64 << 10;

/// Starts the thread that writes to standard error. Nothing else waits for whoever reads there: a full pipe or a
/// slow disk stops this thread alone. The descriptor is left as it was, since others may share it.
pub(super) fn to_stderr(mut lines: Lines, limits: &Limits) -> io::Result<()> {
    let (soon, later) = (limits.accept_pause, limits.peer_every);
    let write = move || {
        while let Some(mut line) = future::block_on(lines.next()) {
            line.push(b'\n');
            put_out(&line, &mut io::stderr(), soon, later);
        }
    };
    thread::Builder::new().name("log".into()).stack_size(STACK).spawn(write).map(drop)
}

/// Writes a line whole, however long that takes: what a full disk does not take is tried again.
fn put_out(mut line: &[u8], out: &mut impl Write, soon: Duration, later: Duration) {
    while !line.is_empty() {
        match out.write(line) {
            Ok(0) => thread::sleep(later),
            Ok(written) => line = &line[written..],
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            // Somebody who shares the descriptor has made it one that does not wait.
            Err(e) if e.kind() == ErrorKind::WouldBlock => thread::sleep(soon),
            Err(_) => thread::sleep(later),
        }
    }
}

/// Feeds the collector, for ever: connects anew when it has to, and sends again the line that was not taken.
pub async fn to_collector(collector: SocketAddr, mut lines: Lines, limits: &Limits) {
    let mut wire: Option<BufferedStream> = None;
    while let Some(line) = lines.next().await {
        loop {
            if wire.as_ref().is_none_or(|w| !w.is_quiet()) {
                wire = BufferedStream::connect(collector, &limits.wire).await.ok();
            }
            if let Some(open) = &mut wire
                && let Ok(Ok(())) = within(limits.edge_write, open.write(&framed(&line))).await
            {
                break;
            }
            wire = None;
            Timer::after(limits.peer_every).await;
        }
    }
}
