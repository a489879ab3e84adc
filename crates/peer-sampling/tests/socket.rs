//! The exchange over the loopback interface.

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
const GUARD: Duration = Duration::from_secs(10);

fn bind(ip: Ipv4Addr, port: u16, seed: Ipv4Addr, role: Role) -> Rc<Exchange> {
    let me = Entry { id: NodeId::new(ip, Generation(1)), role, zone: "a".into(), age: 0 };
    let view = View::new(me, vec![seed], 3);
    Rc::new(Exchange::bind(SocketAddr::from((ip, port)), view, 3).expect("a socket"))
}

/// A port that is free on the first address.
fn free_port() -> u16 {
    let socket = UdpSocket::bind((FIRST, 0)).expect("a socket");
    socket.local_addr().expect("an address").port()
}

/// Lets the executor run until `condition` holds.
async fn until(condition: impl Fn() -> bool) {
    let holds = async {
        while !condition() {
            future::yield_now().await;
        }
    };
    within(GUARD, holds).await.expect("the condition holds in time");
}

#[test]
fn two_processes_meet_and_malformed_datagrams_are_dropped() {
    let executor = LocalExecutor::new();
    async_io::block_on(executor.run(async {
        let port = free_port();
        let control = bind(FIRST, port, SECOND, Role::Control);
        let agent = bind(SECOND, port, FIRST, Role::Agent);
        let stranger = UdpSocket::bind((FIRST, 0)).expect("a socket");
        for bytes in [vec![0xff; 20], vec![0; MAX_DATAGRAM_BYTES + 50]] {
            stranger.send_to(&bytes, (SECOND, port)).expect("a datagram");
        }
        for exchange in [&control, &agent] {
            let exchange = exchange.clone();
            executor.spawn(async move { exchange.run().await }).detach();
        }
        until(|| agent.control_nodes().len() == 1 && control.entries().len() == 1).await;
        until(|| agent.counts().malformed == 2).await;
        assert_eq!(agent.control_nodes()[0].id, NodeId::new(FIRST, Generation(1)));
        assert_eq!(control.entries()[0].id, NodeId::new(SECOND, Generation(1)));
    }));
}
