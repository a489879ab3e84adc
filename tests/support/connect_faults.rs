//! Replica addresses at which a connection is refused or delayed.

use std::net::{SocketAddr, TcpListener};

use socket2::{Domain, Socket, Type};

use super::ms;

/// Binds a socket that does not listen: connections to its address are refused until the socket is dropped.
pub(crate) fn bound_socket() -> (Socket, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("create a socket");
    let any_port: SocketAddr = "127.0.0.1:0".parse().expect("a valid address");
    socket.bind(&any_port.into()).expect("bind to a free port");
    let addr = socket.local_addr().expect("a bound address").as_socket().expect("an IP address");
    (socket, addr)
}

/// A listener with a full accept queue, for which the kernel drops connection requests. A connection attempted
/// meanwhile is established when the kernel of the connecting side retransmits the request: 1 s after the first
/// request, or, if that is dropped too, 2 to 3 s after the first.
pub(crate) struct FullBacklogListener {
    socket: Socket,
    pub addr: SocketAddr,
    /// Connections that fill the accept queue.
    _queued_connections: Vec<Socket>,
}

impl FullBacklogListener {
    pub(crate) fn new() -> FullBacklogListener {
        let (socket, addr) = bound_socket();
        socket.listen(0).expect("listen");
        let mut queued_connections = Vec::new();
        loop {
            let connection = Socket::new(Domain::IPV4, Type::STREAM, None).expect("create a socket");
            if connection.connect_timeout(&addr.into(), ms(100)).is_err() {
                break;
            }
            queued_connections.push(connection);
        }
        assert!(queued_connections.len() < 10, "the accept queue does not fill up");
        FullBacklogListener { socket, addr, _queued_connections: queued_connections }
    }

    /// Enlarges the accept queue, so that all connection requests that are retransmitted together succeed.
    pub(crate) fn accept_connections(self) -> TcpListener {
        self.socket.listen(1024).expect("listen");
        self.socket.into()
    }
}
