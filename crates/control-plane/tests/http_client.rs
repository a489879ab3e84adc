//! Calls to the platform and to replicas.

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
    let address = listener.get_ref().local_addr().expect("it is bound");
    (listener, address)
}

async fn read_request(stream: &mut Async<TcpStream>) -> String {
    let mut request = vec![0; 4096];
    let count = stream.read(&mut request).await.expect("a request comes");
    String::from_utf8_lossy(&request[..count]).replace("\r\n", "\n")
}

/// Serves one connection: to each request the next of these answers; then it is closed.
async fn serve(listener: &Async<TcpListener>, answers: &[&str]) -> Vec<String> {
    let (mut stream, _) = listener.accept().await.expect("a call comes");
    let mut requests = Vec::new();
    for answer in answers {
        requests.push(read_request(&mut stream).await);
        stream.write_all(answer.as_bytes()).await.expect("the answer is taken");
    }
    requests
}

fn call_once(answer: &str, timeout: Duration) -> (Result<Response, CallError>, String) {
    let (listener, address) = listen();
    let headers = [("Meant-Server", "i-1")];
    let call = Call { method: "POST", target: "/order", headers: &headers, body: b"{}" };
    let mut client = HttpClient::new(address, Http1Limits::default());
    let answers = [answer];
    let (answer, mut requests) =
        async_io::block_on(future::zip(client.call(call, timeout), serve(&listener, &answers)));
    let request = requests.remove(0).replace(&address.to_string(), "ADDRESS");
    (answer, request)
}

#[test]
fn a_call_is_answered() {
    let (answer, request) = call_once("HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\nok", TIMEOUT);
    assert_snapshot!(request, @"
    POST /order HTTP/1.1
    Host: ADDRESS
    Meant-Server: i-1
    Content-Type: application/json
    Content-Length: 2

    {}
    ");
    let answer = answer.expect("it is answered");
    assert_eq!((answer.status, answer.body.as_slice()), (202, b"ok".as_slice()));
}

#[rstest]
#[case::until_close("HTTP/1.1 200 OK\r\n\r\nall of it")]
#[case::chunked("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nall of it\r\n0\r\n\r\n")]
fn bodies_are_read_to_their_end(#[case] answer: &str) {
    assert_eq!(call_once(answer, TIMEOUT).0.expect("it is answered").body, b"all of it");
}

#[rstest]
#[case::cut_short("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nall")]
#[case::noise("what?\r\n\r\n")]
#[case::nothing("")]
fn an_incomplete_response_is_none(#[case] answer: &str) {
    assert!(matches!(call_once(answer, TIMEOUT).0, Err(CallError::Broken { .. })));
}

#[test]
fn a_call_that_is_not_answered_ends_in_time() {
    let (listener, address) = listen();
    let mut client = HttpClient::new(address, Http1Limits::default());
    let answer = async_io::block_on(client.call(Call::get("/report"), Duration::from_millis(20)));
    assert!(matches!(answer, Err(CallError::Broken { .. })));
    drop(listener);
}

#[test]
fn a_call_that_nobody_takes_has_not_been_seen() {
    let address = listen().1;
    let mut client = HttpClient::new(address, Http1Limits::default());
    let answer = async_io::block_on(client.call(Call::get("/report"), TIMEOUT));
    assert!(matches!(answer, Err(CallError::Connect { .. })));
}

#[test]
fn a_connection_is_kept_until_the_other_side_closes_it() {
    let (listener, address) = listen();
    let mut client = HttpClient::new(address, Http1Limits::default());
    let keep = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let close = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    let calls = async {
        for _ in 0..3 {
            let answer = client.call(Call::get("/servers"), TIMEOUT).await.expect("it is answered");
            assert_eq!(answer.status, 200);
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
