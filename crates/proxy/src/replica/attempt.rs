//! One attempt: a request is written to one replica, and its answer read up to where it begins to be passed on.

use std::io;
use std::rc::Rc;

use tulipridge_http1::codec::{self, Body, Head};

use crate::replica::connection::{Connection, Sent};
use crate::replica::outcome::{ConnectionState, Known, SendEvent};
use crate::replica::pool::Pool;
use crate::replica::replicas::ReplicaEntry;
use crate::replica::reply::Reply;

/// Interim answers that are skipped.
const MOST_INTERIM: u32 = 8;
/// Answers to earlier requests that are skipped.
const MOST_FOREIGN: u32 = 2;
/// Longest answer of a failure that is passed on.
const LONGEST_FAILURE: usize = 4 * 1024 * 1024;

/// How an attempt has come out, up to the beginning of its answer.
pub enum AttemptEnd {
    /// There is no answer that could be passed on.
    Ended(SendEvent),
    /// A whole answer that is no success and that the client may be given.
    Failure(SendEvent, Failure),
    /// The beginning of a success.
    Success(Box<Answer>),
}

/// A whole answer that is no success.
#[derive(Debug)]
pub struct Failure {
    /// Its head.
    pub head: Head,
    /// Its body.
    pub body: Vec<u8>,
}

/// The beginning of a success: its head, and the first bytes of its body or its end.
pub struct Answer {
    /// The replica.
    pub replica: Rc<ReplicaEntry>,
    /// Where the rest comes from.
    pub connection: Connection,
    /// The head.
    pub head: Head,
    /// How the body was framed when it began.
    pub framing: Body,
    /// What is still to come.
    pub body: Body,
    /// Bytes of the body that have come and were not yet passed on.
    pub bytes: Vec<u8>,
    /// The body has come whole.
    pub is_whole: bool,
}

/// A request as one replica is sent it.
#[derive(Clone, Copy)]
pub struct Outgoing<'a> {
    /// Its head, ready to be written.
    pub head: &'a [u8],
    /// Its body.
    pub body: &'a [u8],
    /// The client's name for the try.
    pub attempt_id: Option<&'a str>,
    /// The answer has a head alone.
    pub is_head_request: bool,
}

/// Writes the request and reads the answer up to the first bytes of a success, or to the end of anything else.
pub async fn exchange(
    pool: &Pool,
    replica: &Rc<ReplicaEntry>,
    mut connection: Connection,
    outgoing: Outgoing<'_>,
) -> AttemptEnd {
    if outgoing.attempt_id.is_none() {
        connection.mark(ConnectionState::NoAttemptId);
    }
    if outgoing.is_head_request {
        connection.mark(ConnectionState::HeadRequest);
    }
    let sent = connection.send(outgoing.head, outgoing.body, pool.limits()).await;
    if sent == Sent::CutInHead {
        return AttemptEnd::Ended(SendEvent::BrokenInHead);
    }
    // A replica that has closed the connection may have answered before.
    let mut no_answer =
        if sent == Sent::CutInBody { SendEvent::BrokenInBody } else { SendEvent::BrokenBeforeAnswer };
    for _ in 0..=MOST_FOREIGN {
        let head = match read_head(&mut connection, pool).await {
            Ok(head) => head,
            Err(NoHead::Nothing) => return AttemptEnd::Ended(no_answer),
            Err(NoHead::Part) => return AttemptEnd::Ended(SendEvent::BrokenInAnswer),
            Err(NoHead::NotHttp) => return AttemptEnd::Ended(SendEvent::NotHttp),
        };
        match Reply::read(&head, outgoing.attempt_id, &replica.id.0) {
            // It came late and in the place of the one that is due, which follows it.
            Reply::Foreign => {
                no_answer = SendEvent::OnlyForeign;
                connection.mark(ConnectionState::LateAnswer);
                if read_body(pool, &mut connection, head.response_body().ok()).await.is_none() {
                    return AttemptEnd::Ended(SendEvent::OnlyForeign);
                }
            }
            Reply::Due(SendEvent::Success) => {
                return begin(pool, replica, connection, head, outgoing).await;
            }
            Reply::Due(event) if !is_read_whole(event) => return AttemptEnd::Ended(event),
            Reply::Due(event) => return finish(pool, replica, connection, head, (outgoing, event)).await,
        }
    }
    AttemptEnd::Ended(SendEvent::OnlyForeign)
}

/// Whether an answer is read to its end, after which its connection may serve again.
fn is_read_whole(event: SendEvent) -> bool {
    !matches!(event, SendEvent::Unsealed | SendEvent::Encoded | SendEvent::WrongReplica)
}

/// Why the head of an answer can't be read.
enum NoHead {
    /// The connection ended without a byte of it.
    Nothing,
    /// The connection ended amid the head.
    Part,
    /// What came is none.
    NotHttp,
}

async fn read_head(connection: &mut Connection, pool: &Pool) -> Result<Head, NoHead> {
    let mut interim = 0;
    loop {
        match codec::response_head(&mut connection.wire.buf, pool.limits()) {
            Ok(Some(head)) if head.status() >= 200 => return Ok(head),
            Ok(Some(_)) if interim < MOST_INTERIM => interim += 1,
            Ok(Some(_)) | Err(_) => return Err(NoHead::NotHttp),
            Ok(None) => {
                if !matches!(connection.fill(pool.limits()).await, Ok(1..)) {
                    let is_nothing = connection.wire.buf.is_empty();
                    return Err(if is_nothing { NoHead::Nothing } else { NoHead::Part });
                }
            }
        }
    }
}

/// How the body of an answer is framed; none if that can't be told.
fn framing(head: &Head, outgoing: Outgoing<'_>) -> Option<Body> {
    if outgoing.is_head_request { Some(Body::Length(0)) } else { head.response_body().ok() }
}

/// Reads a success up to the first bytes of its body.
async fn begin(
    pool: &Pool,
    replica: &Rc<ReplicaEntry>,
    connection: Connection,
    head: Head,
    outgoing: Outgoing<'_>,
) -> AttemptEnd {
    let Some(framing) = framing(&head, outgoing) else { return AttemptEnd::Ended(SendEvent::NotHttp) };
    let mut answer = Box::new(Answer {
        replica: replica.clone(),
        connection,
        head,
        framing,
        body: framing,
        bytes: Vec::new(),
        is_whole: false,
    });
    if answer.take(pool).is_err() {
        return AttemptEnd::Ended(SendEvent::NotHttp);
    }
    while answer.bytes.is_empty() && !answer.is_whole {
        if answer.read(pool).await.is_err() {
            return AttemptEnd::Ended(SendEvent::BrokenInAnswer);
        }
    }
    AttemptEnd::Success(answer)
}

/// Reads an answer that is no success to its end. What says that the request has not run says so without its end.
async fn finish(
    pool: &Pool,
    replica: &Rc<ReplicaEntry>,
    mut connection: Connection,
    head: Head,
    (outgoing, event): (Outgoing<'_>, SendEvent),
) -> AttemptEnd {
    let body = read_body(pool, &mut connection, framing(&head, outgoing)).await;
    let is_passed_on =
        matches!(event, SendEvent::Rejected | SendEvent::ServerError | SendEvent::OtherFailure);
    let Some(body) = body else {
        let is_known = !is_passed_on && event.known() == Known::NotRun;
        return AttemptEnd::Ended(if is_known { event } else { SendEvent::BrokenInAnswer });
    };
    pool.give_back(&replica.id, connection, &head);
    if is_passed_on {
        return AttemptEnd::Failure(event, Failure { head, body });
    }
    AttemptEnd::Ended(event)
}

async fn read_body(pool: &Pool, connection: &mut Connection, framing: Option<Body>) -> Option<Vec<u8>> {
    let mut framing = framing.filter(|framing| *framing != Body::UntilClose)?;
    let mut bytes = Vec::new();
    while !framing.take(&mut connection.wire.buf, &mut bytes, pool.limits()).ok()? {
        let more = connection.fill(pool.limits()).await.ok()?;
        if more == 0 || bytes.len() > LONGEST_FAILURE {
            return None;
        }
    }
    Some(bytes)
}

impl Answer {
    /// Waits for bytes from the replica and takes what they hold of the body.
    pub async fn read(&mut self, pool: &Pool) -> io::Result<()> {
        let read = self.connection.fill(pool.limits()).await;
        self.came(read, pool)
    }

    /// Takes what the connection has read of the body.
    pub fn came(&mut self, read: io::Result<usize>, pool: &Pool) -> io::Result<()> {
        match read {
            Ok(0) if self.body == Body::UntilClose => {
                self.is_whole = true;
                Ok(())
            }
            Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(_) => self.take(pool),
            Err(error) => Err(error),
        }
    }

    fn take(&mut self, pool: &Pool) -> io::Result<()> {
        let taken = self.body.take(&mut self.connection.wire.buf, &mut self.bytes, pool.limits());
        self.is_whole = taken.map_err(|fault| io::Error::other(fault.what))?;
        Ok(())
    }

    /// Ends the answer, which has come whole; its connection may serve again.
    pub fn finish(mut self, pool: &Pool) {
        if self.framing == Body::UntilClose {
            self.connection.mark(ConnectionState::EndsWithAnswer);
        }
        pool.give_back(&self.replica.id, self.connection, &self.head);
    }
}
