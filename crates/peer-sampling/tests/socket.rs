//! The exchange of views over the loopback interface.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use futures_lite::future;
use tulipridge_http1::within;
use tulipridge_peer_sampling::datagram::MAX_DATAGRAM_BYTES;
use tulipridge_peer_sampling::{Exchange, View};
use tulipridge_protocol::node::{Generation, NodeId};
use tulipridge_protocol::peer_sampling::{Entry, Role};

const FIRST: Ipv4Addr = Ipv4Addr::new(127, 0, 7, 1);
const SECOND: Ipv4Addr = Ipv4Addr::new(127, 0, 7, 2);
const TIMEOUT: Duration = Duration::from_secs(10);

fn bind(ip: Ipv4Addr, port: u16, seed: Ipv4Addr, role: Role) -> Rc<Exchange> {
    let own_entry = Entry { id: NodeId::new(ip, Generation(1)), role, zone: "a".into(), age: 0 };
    let view = View::new(own_entry, vec![seed], 3);
    Rc::new(Exchange::bind(SocketAddr::from((ip, port)), view, 3).expect("a socket"))
}

/// A port that is free on the first address.
fn free_port() -> u16 {
    let socket = UdpSocket::bind((FIRST, 0)).expect("a socket");
    socket.local_addr().expect("an address").port()
}

/// Yields to the executor until `condition` holds; panics after [`TIMEOUT`].
async fn wait_until(condition: impl Fn() -> bool) {
    let holds = async {
        while !condition() {
            future::yield_now().await;
        }
    };
    within(TIMEOUT, holds).await.expect("the condition holds before the timeout");
}

#[test]
fn processes_find_each_other_despite_malformed_datagrams() {
    let executor = LocalExecutor::new();
    async_io::block_on(executor.run(async {
        let port = free_port();
        let control = bind(FIRST, port, SECOND, Role::Control);
        let agent = bind(SECOND, port, FIRST, Role::Agent);
        let other_sender = UdpSocket::bind((FIRST, 0)).expect("a socket");
        for bytes in [vec![0xff; 20], vec![0; MAX_DATAGRAM_BYTES + 50]] {
            other_sender.send_to(&bytes, (SECOND, port)).expect("a datagram");
        }
        for exchange in [&control, &agent] {
            let exchange = exchange.clone();
            executor.spawn(async move { exchange.run().await }).detach();
        }
        wait_until(|| agent.control_nodes().len() == 1 && control.entries().len() == 1).await;
        wait_until(|| agent.counts().malformed == 2).await;
        assert_eq!(agent.control_nodes()[0].id, NodeId::new(FIRST, Generation(1)));
        assert_eq!(control.entries()[0].id, NodeId::new(SECOND, Generation(1)));
    }));
}
