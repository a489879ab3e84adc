//! The TCP listeners of a member.

use std::net::{SocketAddr, TcpListener};

use async_io::Async;
use snafu::{OptionExt, ResultExt};
use tulipridge_runtime::settings::Settings;

use super::error::{ListenSnafu, MissingSettingSnafu, ServerError};

/// Bound listeners. Connections queue in their backlogs until they are served.
pub(super) struct Listeners {
    /// The operator's API.
    pub(super) operator: Async<TcpListener>,
    /// Messages from the other members.
    pub(super) control: Async<TcpListener>,
    /// Subscribers to the feed.
    pub(super) feed: Async<TcpListener>,
}

impl Listeners {
    /// Binds all listeners.
    ///
    /// # Errors
    ///
    /// If the settings lack the port of the API, or an address can't be bound.
    pub(super) fn bind(settings: &Settings) -> Result<Listeners, ServerError> {
        let operator = settings.listen_on.control_port;
        let operator = operator.context(MissingSettingSnafu { field: "listenOn.controlPort" })?;
        Ok(Listeners {
            operator: listen(operator)?,
            control: listen(settings.control_socket(settings.ip_address))?,
            feed: listen(settings.feed_socket(settings.ip_address))?,
        })
    }
}

fn listen(address: SocketAddr) -> Result<Async<TcpListener>, ServerError> {
    Async::<TcpListener>::bind(address).context(ListenSnafu { address })
}
