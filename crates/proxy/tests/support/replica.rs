//! A replica that answers by a script.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::{AsyncWriteExt, future};

use super::http::{header, ok};
use super::reading::{listener, read_head, read_message, read_some};

/// Bytes of a body that no connection takes at once.
pub(crate) const LONG_BODY: usize = 3 << 20;

/// A part of what a replica does for one request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Part {
    /// As the first part: what follows is done once a byte has come, and nothing is read.
    BeforeHead,
    /// As the first part: what follows is done once the head has come.
    BeforeBody,
    /// Reads the body that was left where it was.
    ReadBody,
    /// Writes this, with `{id}` as the request's `Attempt-Id`.
    Write(String),
    /// Waits until the test lets it go on.
    Wait,
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
}

/// What replicas do for the next requests, whichever of them these reach.
pub(crate) type Script = Rc<RefCell<VecDeque<Vec<Part>>>>;

/// A replica that answers by script.
pub(crate) struct StandIn {
    pub id: String,
    pub address: SocketAddr,
    script: Script,
    /// Requests as they came.
    pub requests: RefCell<Vec<String>>,
    /// Connections that were made.
    pub connections: Cell<usize>,
    /// Connections that the other side has ended.
    pub ended: Cell<usize>,
    gates: Rc<Cell<usize>>,
}

impl StandIn {
    pub(crate) fn start(
        executor: &Rc<LocalExecutor<'static>>,
        id: &str,
        script: &Script,
        gates: &Rc<Cell<usize>>,
    ) -> Rc<StandIn> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a free port");
        let stand_in = Rc::new(StandIn {
            id: id.to_owned(),
            address: listener.get_ref().local_addr().expect("an address"),
            script: script.clone(),
            requests: RefCell::default(),
            connections: Cell::new(0),
            ended: Cell::new(0),
            gates: gates.clone(),
        });
        let (served, spawner) = (stand_in.clone(), executor.clone());
        executor
            .spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    served.connections.set(served.connections.get() + 1);
                    let served = served.clone();
                    spawner
                        .spawn(async move {
                            served.serve(stream).await;
                            served.ended.set(served.ended.get() + 1);
                        })
                        .detach();
                }
            })
            .detach();
        stand_in
    }

    /// Requests that came so far.
    pub(crate) fn count(&self) -> usize {
        self.requests.borrow().len()
    }

    async fn serve(&self, mut stream: Async<TcpStream>) -> Option<()> {
        let mut buffer = Vec::new();
        loop {
            if buffer.is_empty() && stream.peek(&mut [0]).await.ok()? == 0 {
                return None;
            }
            let first = self.script.borrow().front().and_then(|parts| parts.first().cloned());
            let request = match first {
                Some(Part::BeforeHead) => None,
                Some(Part::BeforeBody) => Some(read_head(&mut stream, &mut buffer).await?),
                _ => Some(read_message(&mut stream, &mut buffer).await?),
            };
            let number = request.as_ref().map(|request| self.note(request));
            let request = request.unwrap_or_default();
            let parts = self.script.borrow_mut().pop_front();
            let parts = parts.unwrap_or_else(|| vec![Part::Write(ok("served"))]);
            for part in parts {
                if part == Part::ReadBody {
                    self.read_body(number?, &mut stream, &mut buffer).await?;
                } else {
                    self.act(&part, &request, &mut stream).await?;
                }
            }
        }
    }

    /// Keeps a request; its number.
    fn note(&self, request: &str) -> usize {
        let mut requests = self.requests.borrow_mut();
        requests.push(request.to_owned());
        requests.len() - 1
    }

    /// Does a part; none once the connection is over.
    async fn act(&self, part: &Part, request: &str, stream: &mut Async<TcpStream>) -> Option<()> {
        let id = header(request, "Attempt-Id").unwrap_or_default();
        match part {
            Part::BeforeHead | Part::BeforeBody | Part::ReadBody => Some(()),
            Part::Write(text) => stream.write_all(text.replace("{id}", &id).as_bytes()).await.ok(),
            Part::Wait => self.wait(stream).await,
            Part::Close => None,
            Part::Reset => {
                let socket = socket2::SockRef::from(stream.get_ref());
                socket.set_linger(Some(Duration::ZERO)).ok()?;
                None
            }
        }
    }

    /// Adds its body to a request, as far as it comes.
    async fn read_body(
        &self,
        number: usize,
        stream: &mut Async<TcpStream>,
        buffer: &mut Vec<u8>,
    ) -> Option<()> {
        let length = header(&self.requests.borrow()[number], "Content-Length")?.parse().ok()?;
        let mut is_open = true;
        while is_open && buffer.len() < length {
            is_open = read_some(stream, buffer).await > 0;
        }
        let body: Vec<u8> = buffer.drain(..length.min(buffer.len())).collect();
        self.requests.borrow_mut()[number].push_str(&String::from_utf8_lossy(&body));
        is_open.then_some(())
    }

    /// Waits for the test's word; none once the other side has ended the connection.
    async fn wait(&self, stream: &mut Async<TcpStream>) -> Option<()> {
        while self.gates.get() == 0 {
            let peeked = future::poll_once(stream.peek(&mut [0])).await;
            if matches!(peeked, Some(Ok(0) | Err(_))) {
                return None;
            }
            future::yield_now().await;
        }
        self.gates.set(self.gates.get() - 1);
        Some(())
    }
}
