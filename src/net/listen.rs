//! Where listeners come from: bound at an address, or inherited from the platform.
//!
//! The platform names an inherited descriptor in `EDGE_INHERITED_FD`. The library that adopts it knows it by the
//! names of socket activation; as a running program can't well change its own environment, it puts itself in its
//! own place once, with these names set. The process stays the same one.

use std::env;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::process::Command;

use async_io::Async;
use listenfd::ListenFd;
use socket2::SockRef;

use super::limit_socket_buffers;
use crate::limits::Limits;

const TOLD: &str = "EDGE_INHERITED_FD";

/// The listener that this process has inherited, if it has one. If the platform names one and the library does not
/// know it yet, the program starts over. To be called before anything else runs, as the environment changes.
///
/// # Errors
///
/// What is wrong with the inherited listener, or why the program could not start over with it.
pub fn inherited() -> Result<Option<TcpListener>, String> {
    if let Ok(told) = env::var(TOLD) {
        return Err(start_over(&told));
    }
    let name = |e: io::Error| format!("the inherited listener: {e}");
    let mut all = ListenFd::from_env();
    if all.len() > 1 {
        return Err(format!(
            "the inherited listener: there are {} of them, and one port for them",
            all.len()
        ));
    }
    let Some(listener) = all.take_tcp_listener(0).map_err(name)? else { return Ok(None) };
    if !SockRef::from(&listener).is_listener().map_err(name)? {
        return Err("the inherited listener: the socket does not listen".into());
    }
    Ok(Some(listener))
}

/// Puts the program in its own place, with the names that the library knows; returns only with what is wrong.
fn start_over(told: &str) -> String {
    // The standard three can't be listeners: what they say would go to clients.
    if !told.parse::<i32>().is_ok_and(|fd| fd > 2) {
        return format!("{TOLD}: '{told}' is no descriptor's number above 2");
    }
    let program = match env::current_exe() {
        Ok(program) => program,
        Err(e) => return format!("{TOLD}: the program's own file: {e}"),
    };
    let mut args = env::args_os();
    let mut command = Command::new(program);
    if let Some(name) = args.next() {
        command.arg0(name);
    }
    command.args(args).env_remove(TOLD).env_remove("LISTEN_PID");
    command.env("LISTEN_FDS", "1").env("LISTEN_FDS_FIRST_FD", told);
    format!("{TOLD}: starting over with it: {}", command.exec())
}

/// A listener ready to accept, bound here if none was inherited; `port` says in the log what it is for.
///
/// # Errors
///
/// What can't be bound or set up, with its address; also an inherited listener that is at another address.
pub fn open(
    addr: SocketAddr,
    inherited: Option<TcpListener>,
    port: &str,
    limits: &Limits,
) -> Result<Async<TcpListener>, String> {
    let is_inherited = inherited.is_some();
    let listener = inherited.map_or_else(|| TcpListener::bind(addr), Ok).and_then(|listener| {
        // Connections have their buffers from their listener.
        limit_socket_buffers(&SockRef::from(&listener), &limits.wire);
        Async::new(listener)
    });
    let listener = listener.map_err(|e| format!("listen {addr}: {e}"))?;
    let at = listener.get_ref().local_addr().map_err(|e| format!("listen {addr}: {e}"))?;
    let any = at.ip().is_unspecified() || addr.ip().is_unspecified();
    if is_inherited && (at.port() != addr.port() && addr.port() != 0 || at.ip() != addr.ip() && !any) {
        return Err(format!("listen {addr}: the inherited listener is at {at}"));
    }
    log::info!(addr:% = at, port = port, inherited = is_inherited; "listening: ready to accept");
    Ok(listener)
}
