//! The HTTP client for calls to the platform and to replicas.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use insta::assert_snapshot;
use rstest::rstest;
use tulipridge_control_plane::http_client::{Call, CallError, HttpClient, Response};
use tulipridge_http1::Http1Limits;

const TIMEOUT: Duration = Duration::from_secs(5);

fn listen() -> (Async<TcpListener>, SocketAddr) {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port is free");
    let address = listener.get_ref().local_addr().expect("the listener is bound");
    (listener, address)
}

async fn read_request(stream: &mut Async<TcpStream>) -> String {
    let mut request = vec![0; 4096];
    let count = stream.read(&mut request).await.expect("a request arrives");
    String::from_utf8_lossy(&request[..count]).replace("\r\n", "\n")
}

/// Serves one connection: sends these responses to consecutive requests, then closes the connection.
async fn serve(listener: &Async<TcpListener>, responses: &[&str]) -> Vec<String> {
    let (mut stream, _) = listener.accept().await.expect("a call arrives");
    let mut requests = Vec::new();
    for response in responses {
        requests.push(read_request(&mut stream).await);
        stream.write_all(response.as_bytes()).await.expect("the response is read");
    }
    requests
}

fn call_once(response: &str, timeout: Duration) -> (Result<Response, CallError>, String) {
    let (listener, address) = listen();
    let headers = [("Meant-Server", "i-1")];
    let call = Call { method: "POST", target: "/order", headers: &headers, body: b"{}" };
    let mut client = HttpClient::new(address, Http1Limits::default());
    let responses = [response];
    let (response, mut requests) =
        async_io::block_on(future::zip(client.call(call, timeout), serve(&listener, &responses)));
    let request = requests.remove(0).replace(&address.to_string(), "ADDRESS");
    (response, request)
}

#[test]
fn a_call_returns_the_response() {
    let (response, request) = call_once("HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\nok", TIMEOUT);
    assert_snapshot!(request, @"
    POST /order HTTP/1.1
    Host: ADDRESS
    Meant-Server: i-1
    Content-Type: application/json
    Content-Length: 2

    {}
    ");
    let response = response.expect("the call gets a response");
    assert_eq!((response.status, response.body.as_slice()), (202, b"ok".as_slice()));
}

#[rstest]
#[case::until_close("HTTP/1.1 200 OK\r\n\r\nall of it")]
#[case::chunked("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nall of it\r\n0\r\n\r\n")]
fn bodies_are_read_completely(#[case] response: &str) {
    assert_eq!(call_once(response, TIMEOUT).0.expect("the call gets a response").body, b"all of it");
}

#[rstest]
#[case::truncated("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nall")]
#[case::not_http("what?\r\n\r\n")]
#[case::empty("")]
fn an_incomplete_response_is_an_error(#[case] response: &str) {
    assert!(matches!(call_once(response, TIMEOUT).0, Err(CallError::Broken { .. })));
}

#[test]
fn a_call_without_a_response_times_out() {
    let (listener, address) = listen();
    let mut client = HttpClient::new(address, Http1Limits::default());
    let response = async_io::block_on(client.call(Call::get("/report"), Duration::from_millis(20)));
    assert!(matches!(response, Err(CallError::Broken { .. })));
    drop(listener);
}

#[test]
fn a_call_to_a_closed_port_is_a_connect_error() {
    let address = listen().1;
    let mut client = HttpClient::new(address, Http1Limits::default());
    let response = async_io::block_on(client.call(Call::get("/report"), TIMEOUT));
    assert!(matches!(response, Err(CallError::Connect { .. })));
}

#[test]
fn a_connection_is_reused_until_the_peer_closes_it() {
    let (listener, address) = listen();
    let mut client = HttpClient::new(address, Http1Limits::default());
    let keep = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let close = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    let calls = async {
        for _ in 0..3 {
            let response =
                client.call(Call::get("/servers"), TIMEOUT).await.expect("the call gets a response");
            assert_eq!(response.status, 200);
        }
    };
    let serving = async {
        let first = serve(&listener, &[keep, close]).await;
        let second = serve(&listener, &[keep]).await;
        (first.len(), second.len())
    };
    let ((), served) = async_io::block_on(future::zip(calls, serving));
    assert_eq!(served, (2, 1));
}
