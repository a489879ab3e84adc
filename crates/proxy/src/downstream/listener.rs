//! Accepts client connections until the process drains.

use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::future;
use tulipridge_http1::BufferedStream;

use crate::downstream::connection::serve_connection;
use crate::lifecycle::Stage;
use crate::proxy::Proxy;

/// Delay after a failed accept, as when no file descriptor is free.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

/// Accepts connections until the process drains, and serves each in its own task.
pub async fn listen(proxy: Rc<Proxy>, executor: Rc<LocalExecutor<'static>>, listener: Async<TcpListener>) {
    while proxy.stage() < Stage::Draining {
        future::or(accept(&proxy, &executor, &listener), proxy.stage_changed().changed()).await;
    }
    // Connections that remain in the accept queue would be reset when the listener is closed.
    while let Some(Ok((stream, _))) = future::poll_once(listener.accept()).await {
        spawn_connection(&proxy, &executor, stream);
    }
}

/// Accepts one connection. If the limit of open connections is reached, waits until one is closed instead.
async fn accept(proxy: &Rc<Proxy>, executor: &Rc<LocalExecutor<'static>>, listener: &Async<TcpListener>) {
    if !proxy.usage.may_accept() {
        return proxy.usage.client_closed.changed().await;
    }
    match listener.accept().await {
        Ok((stream, _)) => spawn_connection(proxy, executor, stream),
        Err(error) => {
            log::warn!(error:% = error; "failed to accept a connection");
            proxy.timers.sleep(ACCEPT_BACKOFF).await;
        }
    }
}

fn spawn_connection(proxy: &Rc<Proxy>, executor: &LocalExecutor<'static>, stream: Async<TcpStream>) {
    let permit = proxy.client_permit();
    executor.spawn(serve_connection(proxy.clone(), BufferedStream::new(stream), permit)).detach();
}
