//! Blocking work, such as disk access, on a background thread.

use std::io;
use std::thread;

/// Runs the work on a thread of its own and waits for its result, so that a slow disk does not block the serving thread.
///
/// # Errors
///
/// If the thread can't be started, or ended without a result.
pub async fn run_in_background<T: Send + 'static>(
    work: impl FnOnce() -> T + Send + 'static,
) -> io::Result<T> {
    let (result_sender, result_receiver) = async_channel::bounded(1);
    thread::Builder::new().name("background".into()).spawn(move || {
        // The receiver is gone if the waiting task was dropped, as on exit.
        let _ = result_sender.try_send(work());
    })?;
    result_receiver
        .recv()
        .await
        .map_err(|_| io::Error::other("the background thread ended without a result"))
}
