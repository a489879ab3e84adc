//! The client's side of a request: what it sent, and how it is answered.

use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use tulipridge_http1::codec::Head;
use tulipridge_http1::{BufferedStream, Http1Limits};

use crate::bounds::HeldBytes;
use crate::headers::{After, OwnAnswer};
use crate::lifecycle::Stage;
use crate::proxy::Proxy;

/// Time for an answer of the proxy itself to be taken by its client.
const OWN_ANSWER_WRITE: Duration = Duration::from_secs(5);
/// Bytes that a client may send behind a request that is being answered.
const BYTES_AHEAD: usize = 16 * 1024;

/// A request that was read whole.
pub struct Incoming {
    /// Its head.
    pub head: Head,
    /// Its body.
    pub body: Vec<u8>,
    /// When its first byte came.
    pub started: Instant,
    /// The count of its bytes.
    pub held: HeldBytes,
}

impl Incoming {
    /// The client's name for the try.
    #[must_use]
    pub fn attempt_id(&self) -> Option<&str> {
        self.head.get("attempt-id")
    }

    /// How long the client waits, if it says so.
    #[must_use]
    pub fn time_left(&self) -> Option<Duration> {
        time_left(&self.head)
    }
}

/// How long the client waits from a request's first byte, if its head says so.
#[must_use]
pub fn time_left(head: &Head) -> Option<Duration> {
    let millis: f64 = head.get("time-left-ms")?.parse().ok()?;
    Duration::try_from_secs_f64(millis / 1000.0).ok()
}

/// What becomes of a client's connection after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Done {
    /// It may carry another request.
    KeepOpen,
    /// Its last answer is written.
    Close,
    /// The client left, or its answer could not be completed: nothing more may be written.
    Abandon,
}

/// The client's side of a request.
pub struct Client<'a> {
    /// The connection.
    pub wire: &'a mut BufferedStream,
    /// Its limits.
    pub limits: Rc<Http1Limits>,
    /// What is announced of its idle time.
    pub idle: Duration,
    /// The client keeps the connection for further requests.
    pub keeps_alive: bool,
}

impl Client<'_> {
    /// Ready once the client has left. What it sends behind its request waits in the buffer.
    pub fn poll_gone(&mut self, context: &mut Context<'_>) -> Poll<()> {
        loop {
            if self.wire.buf.len() > BYTES_AHEAD {
                return Poll::Pending;
            }
            match self.wire.poll_fill(context, &self.limits) {
                Poll::Ready(Ok(0) | Err(_)) => return Poll::Ready(()),
                Poll::Ready(Ok(_)) => {}
                Poll::Pending => return Poll::Pending,
            }
        }
    }

    /// What becomes of the connection after an answer that begins now.
    pub fn after(&self, proxy: &Proxy) -> After {
        if self.keeps_alive && proxy.stage() == Stage::Serving {
            After::KeepOpen(self.idle)
        } else {
            After::Close
        }
    }
}

impl From<After> for Done {
    fn from(after: After) -> Done {
        match after {
            After::KeepOpen(_) => Done::KeepOpen,
            After::Close => Done::Close,
        }
    }
}

/// Writes an answer of the proxy itself.
pub async fn write_own(proxy: &Proxy, client: Client<'_>, incoming: &Incoming, answer: OwnAnswer) -> Done {
    let after = client.after(proxy);
    let mut bytes = Vec::new();
    answer.write(incoming.attempt_id(), after, &mut bytes);
    write_last(proxy, client, &bytes, after).await
}

/// Writes an answer that is there whole.
pub async fn write_last(proxy: &Proxy, client: Client<'_>, bytes: &[u8], after: After) -> Done {
    let by = Instant::now() + OWN_ANSWER_WRITE;
    match proxy.alarms.by(by, client.wire.write(bytes)).await {
        Some(Ok(())) => after.into(),
        _ => Done::Abandon,
    }
}
