//! Messages between members over loopback.

use std::net::{Ipv4Addr, TcpListener};
use std::rc::Rc;

use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::AsyncReadExt;
use tulipridge_control_plane::links::Links;
use tulipridge_protocol::frame;
use tulipridge_protocol::node::{Generation, NodeId};
use tulipridge_protocol::number::{Epoch, SequenceNumber};
use tulipridge_protocol::replication::{Entry, Envelope, ReplicationMessage};

/// The addresses of two machines, which use the same port as in a deployment.
const SENDER: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 1);
const RECEIVER: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);

fn prepare(epoch: u64) -> Envelope {
    let message = ReplicationMessage::Prepare { epoch: Epoch(epoch) };
    Envelope { from: NodeId::new(SENDER, Generation(0)), to: NodeId::new(RECEIVER, Generation(0)), message }
}

fn listen() -> Async<TcpListener> {
    Async::<TcpListener>::bind((RECEIVER, 0)).expect("a port is free")
}

fn port(listener: &Async<TcpListener>) -> u16 {
    listener.get_ref().local_addr().expect("the listener is bound").port()
}

/// Serves the listener until `count` messages have arrived, and returns them.
async fn receive(
    executor: &Rc<LocalExecutor<'static>>,
    links: &Rc<Links>,
    listener: Async<TcpListener>,
    count: usize,
) -> Vec<Envelope> {
    let (sender, receiver) = async_channel::unbounded();
    let on_message = Rc::new(move |envelope| {
        let _ = sender.try_send(envelope);
    });
    let serving = executor.spawn(links.clone().serve(listener, on_message));
    let mut envelopes = Vec::new();
    while envelopes.len() < count {
        envelopes.push(receiver.recv().await.expect("the links are served"));
    }
    serving.cancel().await;
    envelopes
}

#[test]
fn messages_arrive_in_order() {
    let executor = Rc::new(LocalExecutor::new());
    let listener = listen();
    let links = Rc::new(Links::new(executor.clone(), port(&listener)));
    let sent: Vec<Envelope> = (1..=500).map(prepare).collect();
    sent.iter().cloned().for_each(|envelope| links.send(envelope));
    let received = async_io::block_on(executor.run(receive(&executor, &links, listener, sent.len())));
    assert_eq!(received, sent);
}

#[test]
fn a_large_message_arrives_complete() {
    let executor = Rc::new(LocalExecutor::new());
    let listener = listen();
    let links = Rc::new(Links::new(executor.clone(), port(&listener)));
    let entry = Entry { sequence: SequenceNumber(1), command: vec![7; 3 << 20].into() };
    let message = ReplicationMessage::Append { epoch: Epoch(1), entry };
    let sent = Envelope { message, ..prepare(1) };
    links.send(sent.clone());
    let received = async_io::block_on(executor.run(receive(&executor, &links, listener, 1)));
    assert_eq!(received, [sent]);
}

#[test]
fn a_member_that_starts_to_listen_later_is_reached() {
    let executor = Rc::new(LocalExecutor::new());
    let port = port(&listen());
    let links = Rc::new(Links::new(executor.clone(), port));
    links.send(prepare(1));
    let listener = Async::<TcpListener>::bind((RECEIVER, port)).expect("the port is free again");
    let sending = async {
        // Messages may be lost, so the sender sends further ones.
        for epoch in 2.. {
            links.send(prepare(epoch));
            futures_lite::future::yield_now().await;
        }
        Vec::new()
    };
    let receiving = receive(&executor, &links, listener, 1);
    let received = async_io::block_on(executor.run(futures_lite::future::or(receiving, sending)));
    assert_eq!(received.len(), 1);
}

/// The receiver does not read the data connection, and its message is longer than all buffers on the path.
#[test]
fn a_short_message_does_not_wait_behind_a_long_entry() {
    let executor = Rc::new(LocalExecutor::new());
    let listener = listen();
    let links = Rc::new(Links::new(executor.clone(), port(&listener)));
    let entry = Entry { sequence: SequenceNumber(1), command: vec![7; 24 << 20].into() };
    links.send(Envelope { message: ReplicationMessage::Append { epoch: Epoch(1), entry }, ..prepare(1) });
    links.send(prepare(2));
    let received = async_io::block_on(executor.run(async {
        let mut connections = Vec::new();
        loop {
            let (mut stream, _) = listener.accept().await.expect("both connections are established");
            let mut buffer = vec![0; 4096];
            let count = stream.read(&mut buffer).await.expect("the connection sends bytes");
            buffer.truncate(count);
            if let Some(message) = frame::take::<Envelope>(&mut buffer).expect("a valid frame") {
                return message;
            }
            connections.push(stream);
        }
    }));
    assert_eq!(received, prepare(2));
}
