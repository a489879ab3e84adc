//! Replicas to which no connection comes up for a while.

use std::net::{SocketAddr, TcpListener};

use socket2::{Domain, Socket, Type};

use super::ms;

/// A socket that has an address, where it does not listen: who connects there is refused for as long as it is kept.
pub(crate) fn bound() -> (Socket, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&any.into()).expect("a port");
    let addr = socket.local_addr().expect("an address").as_socket().expect("an address");
    (socket, addr)
}

/// Its queue of those that wait to be accepted is full, and the system drops what comes. A connection that is tried
/// meanwhile comes up when the system tries again: 1 s after the first try, or 2 to 3 s.
pub(crate) struct Late {
    socket: Socket,
    pub addr: SocketAddr,
    /// What fills its queue.
    _fill: Vec<Socket>,
}

impl Late {
    pub(crate) fn new() -> Late {
        let (socket, addr) = bound();
        socket.listen(0).expect("it listens");
        let mut fill = Vec::new();
        loop {
            let one = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
            if one.connect_timeout(&addr.into(), ms(100)).is_err() {
                break;
            }
            fill.push(one);
        }
        assert!(fill.len() < 10, "the queue is never full");
        Late { socket, addr, _fill: fill }
    }

    /// Connections come up from now on, also all that are tried again in one moment.
    pub(crate) fn open(self) -> TcpListener {
        self.socket.listen(1024).expect("it listens");
        self.socket.into()
    }
}
