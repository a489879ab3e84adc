//! Opens listeners, which are either bound to an address or inherited from the platform.
//!
//! The platform passes the number of an inherited descriptor in `EDGE_INHERITED_FD`. `listenfd`, which takes over the
//! descriptor, reads the variables of systemd socket activation (`LISTEN_FDS`, `LISTEN_FDS_FIRST_FD`). Changing the
//! environment of a running program isn't safe, so the program executes itself once more with these variables set; the
//! process id stays the same.

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

/// The environment variable with the descriptor number of an inherited listener.
const INHERITED_LISTENER_VARIABLE: &str = "EDGE_INHERITED_FD";

/// The reason for which a listener can't be opened.
#[derive(Debug, Snafu)]
pub enum ListenError {
    /// An inherited listener can't be adopted.
    #[snafu(display("the inherited listener: {source}"))]
    Inherited {
        /// The error of the operating system.
        source: io::Error,
    },
    /// More than one listener is inherited.
    #[snafu(display("the inherited listener: expected one, got {count}"))]
    SeveralInherited {
        /// The number of inherited listeners.
        count: usize,
    },
    /// The inherited socket does not listen.
    #[snafu(display("the inherited listener: the socket does not listen"))]
    NotListening,
    /// The variable contains no valid descriptor number.
    #[snafu(display("{INHERITED_LISTENER_VARIABLE}: '{given}' is not a descriptor number above 2"))]
    BadDescriptor {
        /// The value of the variable.
        given: String,
    },
    /// The path of the executable can't be determined, so the program can't execute itself.
    #[snafu(display("{INHERITED_LISTENER_VARIABLE}: failed to find the executable: {source}"))]
    NoExecutable {
        /// The error of the operating system.
        source: io::Error,
    },
    /// The program could not execute itself.
    #[snafu(display("{INHERITED_LISTENER_VARIABLE}: failed to execute the program again: {source}"))]
    Execute {
        /// The error of the operating system.
        source: io::Error,
    },
    /// A listener can't be bound to an address, or can't be set up.
    #[snafu(display("failed to listen on {address}: {source}"))]
    Bind {
        /// The requested address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The inherited listener has another address.
    #[snafu(display("expected a listener on {address}, but the inherited one is on {inherited}"))]
    OtherAddress {
        /// The requested address.
        address: SocketAddr,
        /// The address of the inherited listener.
        inherited: SocketAddr,
    },
}

/// Returns the inherited listener of this process, if it has one. If `EDGE_INHERITED_FD` is set, the program executes
/// itself again with the variables of socket activation. Must be called before any thread starts, since reading the
/// variables of socket activation also removes them.
///
/// # Errors
///
/// If the inherited listener is unusable, or the program can't execute itself.
pub fn inherited_listener() -> Result<Option<TcpListener>, ListenError> {
    if let Ok(descriptor) = env::var(INHERITED_LISTENER_VARIABLE) {
        return Err(execute_again(&descriptor));
    }
    let mut inherited = ListenFd::from_env();
    if inherited.len() > 1 {
        return SeveralInheritedSnafu { count: inherited.len() }.fail();
    }
    let Some(listener) = inherited.take_tcp_listener(0).context(InheritedSnafu)? else { return Ok(None) };
    let is_listener = SockRef::from(&listener).is_listener().context(InheritedSnafu)?;
    ensure!(is_listener, NotListeningSnafu);
    Ok(Some(listener))
}

/// Executes the program again with the variables of socket activation; returns only if that fails.
fn execute_again(descriptor: &str) -> ListenError {
    // Descriptors 0 to 2 are the standard streams. If one were a listener, log output would be written to its socket.
    if !descriptor.parse::<i32>().is_ok_and(|number| number > 2) {
        return BadDescriptorSnafu { given: descriptor }.build();
    }
    let program = match env::current_exe() {
        Ok(program) => program,
        Err(error) => return NoExecutableSnafu.into_error(error),
    };
    let mut args = env::args_os();
    let mut command = Command::new(program);
    if let Some(name) = args.next() {
        command.arg0(name);
    }
    command.args(args).env_remove(INHERITED_LISTENER_VARIABLE).env_remove("LISTEN_PID");
    command.env("LISTEN_FDS", "1").env("LISTEN_FDS_FIRST_FD", descriptor);
    ExecuteSnafu.into_error(command.exec())
}

/// Sets up the inherited listener, or binds a new one. `purpose` names it in the log.
///
/// # Errors
///
/// If the listener can't be bound or set up, or the inherited listener has another address.
pub fn open(
    addr: SocketAddr,
    inherited: Option<TcpListener>,
    purpose: &str,
    limits: &Limits,
) -> Result<Async<TcpListener>, ListenError> {
    let is_inherited = inherited.is_some();
    let listener = inherited.map_or_else(|| TcpListener::bind(addr), Ok).and_then(|listener| {
        // Connections inherit the buffer sizes of their listener.
        limit_socket_buffers(&SockRef::from(&listener), &limits.wire);
        Async::new(listener)
    });
    let listener = listener.context(BindSnafu { address: addr })?;
    let local_addr = listener.get_ref().local_addr().context(BindSnafu { address: addr })?;
    let is_wildcard = local_addr.ip().is_unspecified() || addr.ip().is_unspecified();
    if is_inherited
        && (local_addr.port() != addr.port() && addr.port() != 0
            || local_addr.ip() != addr.ip() && !is_wildcard)
    {
        return OtherAddressSnafu { address: addr, inherited: local_addr }.fail();
    }
    log::info!(addr:% = local_addr, port = purpose, inherited = is_inherited; "listening: ready to accept connections");
    Ok(listener)
}
