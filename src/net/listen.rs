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
use snafu::{IntoError, ResultExt, Snafu, ensure};
use socket2::SockRef;

use super::limit_socket_buffers;
use crate::limits::Limits;

/// The variable by which the platform names an inherited listener.
const INHERITED_LISTENER_VARIABLE: &str = "EDGE_INHERITED_FD";

/// Why there is no listener.
#[derive(Debug, Snafu)]
pub enum ListenError {
    /// An inherited listener can't be taken over.
    #[snafu(display("the inherited listener: {source}"))]
    Inherited {
        /// The error of the operating system.
        source: io::Error,
    },
    /// More than one listener is inherited.
    #[snafu(display("the inherited listener: there are {count} of them, and one port for them"))]
    SeveralInherited {
        /// Their number.
        count: usize,
    },
    /// The inherited socket does not listen.
    #[snafu(display("the inherited listener: the socket does not listen"))]
    NoListener,
    /// The platform's variable names no descriptor.
    #[snafu(display("{INHERITED_LISTENER_VARIABLE}: '{given}' is no descriptor's number above 2"))]
    BadDescriptor {
        /// What it says.
        given: String,
    },
    /// The program's own file is not known, by which it would start over.
    #[snafu(display("{INHERITED_LISTENER_VARIABLE}: the program's own file: {source}"))]
    NoProgramFile {
        /// The error of the operating system.
        source: io::Error,
    },
    /// The program could not start over.
    #[snafu(display("{INHERITED_LISTENER_VARIABLE}: starting over with it: {source}"))]
    StartOver {
        /// The error of the operating system.
        source: io::Error,
    },
    /// An address can't be bound or set up.
    #[snafu(display("listen {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The inherited listener is at another address.
    #[snafu(display("listen {address}: the inherited listener is at {inherited}"))]
    OtherAddress {
        /// The address to listen at.
        address: SocketAddr,
        /// Where the inherited one is.
        inherited: SocketAddr,
    },
}

/// The listener that this process has inherited, if it has one. If the platform names one and the library does not
/// know it yet, the program starts over. To be called before anything else runs, as the environment changes.
///
/// # Errors
///
/// What is wrong with the inherited listener, or why the program could not start over with it.
pub fn inherited() -> Result<Option<TcpListener>, ListenError> {
    if let Ok(descriptor) = env::var(INHERITED_LISTENER_VARIABLE) {
        return Err(start_over(&descriptor));
    }
    let mut all = ListenFd::from_env();
    if all.len() > 1 {
        return SeveralInheritedSnafu { count: all.len() }.fail();
    }
    let Some(listener) = all.take_tcp_listener(0).context(InheritedSnafu)? else { return Ok(None) };
    let is_listener = SockRef::from(&listener).is_listener().context(InheritedSnafu)?;
    ensure!(is_listener, NoListenerSnafu);
    Ok(Some(listener))
}

/// Puts the program in its own place, with the names that the library knows; returns only with what is wrong.
fn start_over(descriptor: &str) -> ListenError {
    // The standard three can't be listeners: what they say would go to clients.
    if !descriptor.parse::<i32>().is_ok_and(|number| number > 2) {
        return BadDescriptorSnafu { given: descriptor }.build();
    }
    let program = match env::current_exe() {
        Ok(program) => program,
        Err(error) => return NoProgramFileSnafu.into_error(error),
    };
    let mut args = env::args_os();
    let mut command = Command::new(program);
    if let Some(name) = args.next() {
        command.arg0(name);
    }
    command.args(args).env_remove(INHERITED_LISTENER_VARIABLE).env_remove("LISTEN_PID");
    command.env("LISTEN_FDS", "1").env("LISTEN_FDS_FIRST_FD", descriptor);
    StartOverSnafu.into_error(command.exec())
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
) -> Result<Async<TcpListener>, ListenError> {
    let is_inherited = inherited.is_some();
    let listener = inherited.map_or_else(|| TcpListener::bind(addr), Ok).and_then(|listener| {
        // Connections have their buffers from their listener.
        limit_socket_buffers(&SockRef::from(&listener), &limits.wire);
        Async::new(listener)
    });
    let listener = listener.context(BindSnafu { address: addr })?;
    let at = listener.get_ref().local_addr().context(BindSnafu { address: addr })?;
    let any = at.ip().is_unspecified() || addr.ip().is_unspecified();
    if is_inherited && (at.port() != addr.port() && addr.port() != 0 || at.ip() != addr.ip() && !any) {
        return OtherAddressSnafu { address: addr, inherited: at }.fail();
    }
    log::info!(addr:% = at, port = port, inherited = is_inherited; "listening: ready to accept");
    Ok(listener)
}
