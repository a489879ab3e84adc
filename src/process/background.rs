//! Blocking work, such as disk access, on a background thread.

use std::io;
use std::thread;

/// Runs the work on a thread of its own and waits for its outcome: however long a disk takes, the serving thread
/// serves on.
///
/// # Errors
///
/// If the thread can't be started, or ended without an outcome.
pub async fn run_in_background<T: Send + 'static>(
    work: impl FnOnce() -> T + Send + 'static,
) -> io::Result<T> {
    let (tell, done) = async_channel::bounded(1);
    thread::Builder::new().name("background".into()).spawn(move || {
        // Nobody waits for it any more where the program has ended.
        let _ = tell.try_send(work());
    })?;
    done.recv().await.map_err(|_| io::Error::other("the work ended without an outcome"))
}
