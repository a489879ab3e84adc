//! The two sinks of the log: standard error, by a thread of its own, and a collector, by a task on the serving thread.

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

/// Stack size of the thread that writes to standard error, in bytes.
const STACK_BYTES: usize = 64 << 10;

/// Starts the thread that writes to standard error, so that a full pipe or a slow disk blocks this thread alone. The
/// descriptor's flags are not changed, since other processes may share it.
pub(super) fn start_stderr_writer(mut lines: Lines, limits: &Limits) -> io::Result<()> {
    let (short_pause, long_pause) = (limits.edge.accept_pause, limits.store.peer_interval);
    let write = move || {
        while let Some(mut line) = future::block_on(lines.next()) {
            line.push(b'\n');
            write_line(&line, &mut io::stderr(), short_pause, long_pause);
        }
    };
    thread::Builder::new().name("log".into()).stack_size(STACK_BYTES).spawn(write).map(drop)
}

/// Writes a complete line, however long that takes; a write that fails, on a full disk for example, is retried.
fn write_line(mut line: &[u8], out: &mut impl Write, short_pause: Duration, long_pause: Duration) {
    while !line.is_empty() {
        match out.write(line) {
            Ok(0) => thread::sleep(long_pause),
            Ok(written) => line = &line[written..],
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            // Another process that shares the descriptor has made it non-blocking.
            Err(e) if e.kind() == ErrorKind::WouldBlock => thread::sleep(short_pause),
            Err(_) => thread::sleep(long_pause),
        }
    }
}

/// Sends lines to the collector for as long as there are any; reconnects, and sends a line again that was not written.
pub async fn to_collector(collector: SocketAddr, mut lines: Lines, limits: &Limits) {
    let mut connection: Option<BufferedStream> = None;
    while let Some(line) = lines.next().await {
        loop {
            if connection.as_ref().is_none_or(|c| !c.is_idle()) {
                connection = BufferedStream::connect(collector, &limits.wire).await.ok();
            }
            if let Some(open) = &mut connection
                && let Ok(Ok(())) = within(limits.edge.write_timeout, open.write(&framed(&line))).await
            {
                break;
            }
            connection = None;
            Timer::after(limits.store.peer_interval).await;
        }
    }
}
