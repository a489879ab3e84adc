//! Work that may wait for a disk, on a thread of its own.

use std::io;
use std::thread;

/// Does the work elsewhere: however long a disk takes, the serving thread serves on.
pub async fn aside<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> io::Result<T> {
    let (tell, done) = async_channel::bounded(1);
    thread::Builder::new().name("aside".into()).spawn(move || {
        // Nobody waits for it any more where the program has ended.
        let _ = tell.try_send(work());
    })?;
    done.recv().await.map_err(|_| io::Error::other("the work ended without an outcome"))
}
