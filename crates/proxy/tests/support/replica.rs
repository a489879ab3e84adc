//! A replica that responds to requests as a script says.

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

/// Length in bytes of a body that exceeds the socket buffers of a connection.
pub(crate) const LONG_BODY: usize = 3 << 20;

/// One step of a replica's handling of a request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Step {
    /// Only as the first step: waits for the first byte of the request and reads nothing.
    AwaitFirstByte,
    /// Only as the first step: reads the head alone.
    AwaitHead,
    /// Reads the body that `AwaitHead` has left unread.
    ReadBody,
    /// Writes the text, with `{id}` replaced by the request's `Attempt-Id`.
    Write(String),
    /// Waits for `Harness::release`.
    Wait,
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
}

/// The steps for the next requests, in the order in which these reach any replica.
pub(crate) type Script = Rc<RefCell<VecDeque<Vec<Step>>>>;

/// A replica that responds as its script says.
pub(crate) struct ScriptedReplica {
    pub id: String,
    pub address: SocketAddr,
    script: Script,
    /// The requests received, as text.
    pub requests: RefCell<Vec<String>>,
    /// The number of connections accepted.
    pub connections: Cell<usize>,
    /// The number of accepted connections that are closed, by either side.
    pub closed_connections: Cell<usize>,
    permits: Rc<Cell<usize>>,
}

impl ScriptedReplica {
    pub(crate) fn start(
        executor: &Rc<LocalExecutor<'static>>,
        id: &str,
        script: &Script,
        permits: &Rc<Cell<usize>>,
    ) -> Rc<ScriptedReplica> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a free port");
        let replica = Rc::new(ScriptedReplica {
            id: id.to_owned(),
            address: listener.get_ref().local_addr().expect("an address"),
            script: script.clone(),
            requests: RefCell::default(),
            connections: Cell::new(0),
            closed_connections: Cell::new(0),
            permits: permits.clone(),
        });
        let (served, spawner) = (replica.clone(), executor.clone());
        executor
            .spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    served.connections.set(served.connections.get() + 1);
                    let served = served.clone();
                    spawner
                        .spawn(async move {
                            served.serve(stream).await;
                            served.closed_connections.set(served.closed_connections.get() + 1);
                        })
                        .detach();
                }
            })
            .detach();
        replica
    }

    /// The number of requests received so far.
    pub(crate) fn request_count(&self) -> usize {
        self.requests.borrow().len()
    }

    async fn serve(&self, mut stream: Async<TcpStream>) -> Option<()> {
        let mut buffer = Vec::new();
        loop {
            if buffer.is_empty() && stream.peek(&mut [0]).await.ok()? == 0 {
                return None;
            }
            let first = self.script.borrow().front().and_then(|steps| steps.first().cloned());
            let request = match first {
                Some(Step::AwaitFirstByte) => None,
                Some(Step::AwaitHead) => Some(read_head(&mut stream, &mut buffer).await?),
                _ => Some(read_message(&mut stream, &mut buffer).await?),
            };
            let index = request.as_ref().map(|request| self.record_request(request));
            let request = request.unwrap_or_default();
            let steps = self.script.borrow_mut().pop_front();
            let steps = steps.unwrap_or_else(|| vec![Step::Write(ok("served"))]);
            for step in steps {
                if step == Step::ReadBody {
                    self.read_body(index?, &mut stream, &mut buffer).await?;
                } else {
                    self.perform(&step, &request, &mut stream).await?;
                }
            }
        }
    }

    /// Records a request and returns its index.
    fn record_request(&self, request: &str) -> usize {
        let mut requests = self.requests.borrow_mut();
        requests.push(request.to_owned());
        requests.len() - 1
    }

    /// Performs a step; `None` if the connection is over.
    async fn perform(&self, step: &Step, request: &str, stream: &mut Async<TcpStream>) -> Option<()> {
        let id = header(request, "Attempt-Id").unwrap_or_default();
        match step {
            Step::AwaitFirstByte | Step::AwaitHead | Step::ReadBody => Some(()),
            Step::Write(text) => stream.write_all(text.replace("{id}", &id).as_bytes()).await.ok(),
            Step::Wait => self.wait(stream).await,
            Step::Close => None,
            Step::Reset => {
                let socket = socket2::SockRef::from(stream.get_ref());
                socket.set_linger(Some(Duration::ZERO)).ok()?;
                None
            }
        }
    }

    /// Appends the bytes of the body that arrive to the recorded request; `None` if the connection ends before the body.
    async fn read_body(
        &self,
        index: usize,
        stream: &mut Async<TcpStream>,
        buffer: &mut Vec<u8>,
    ) -> Option<()> {
        let length = header(&self.requests.borrow()[index], "Content-Length")?.parse().ok()?;
        let mut is_open = true;
        while is_open && buffer.len() < length {
            is_open = read_some(stream, buffer).await > 0;
        }
        let body: Vec<u8> = buffer.drain(..length.min(buffer.len())).collect();
        self.requests.borrow_mut()[index].push_str(&String::from_utf8_lossy(&body));
        is_open.then_some(())
    }

    /// Waits for `Harness::release`; `None` if the peer closes the connection first.
    async fn wait(&self, stream: &mut Async<TcpStream>) -> Option<()> {
        while self.permits.get() == 0 {
            let peeked = future::poll_once(stream.peek(&mut [0])).await;
            if matches!(peeked, Some(Ok(0) | Err(_))) {
                return None;
            }
            future::yield_now().await;
        }
        self.permits.set(self.permits.get() - 1);
        Some(())
    }
}
