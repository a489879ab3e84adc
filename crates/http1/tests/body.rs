//! Framing of message bodies that arrive in arbitrary fragments.

use tulipridge_http1::Http1Limits;
use tulipridge_http1::codec::{Body, Chunk, LAST_CHUNK, ParseError, chunk};

fn limits() -> Http1Limits {
    Http1Limits {
        body_bytes: 256,
        line_bytes: 32,
        buffered_chunk_bytes: 16,
        headers: 2,
        ..Http1Limits::default()
    }
}

/// Parses a chunked body that arrives in fragments of `fragment_bytes`.
fn take_in_fragments(message: &[u8], fragment_bytes: usize) -> Result<(bool, Vec<u8>), ParseError> {
    let mut body = Body::Chunked(Chunk::Size);
    let (mut buffer, mut out) = (Vec::new(), Vec::new());
    let mut is_complete = false;
    for fragment in message.chunks(fragment_bytes) {
        buffer.extend_from_slice(fragment);
        is_complete = body.take(&mut buffer, &mut out, &limits())?;
    }
    Ok((is_complete, out))
}

fn status_of(message: &[u8]) -> u16 {
    take_in_fragments(message, message.len()).expect_err("the framing is rejected").status()
}

#[test]
fn fragmentation_does_not_change_a_chunked_body() {
    // The first chunk is buffered until it is complete; the second is too large for that.
    let small = b"hello".as_slice();
    let large = [b'x'; 40].as_slice();
    let message = [&chunk(small)[..], &chunk(large), b"0\r\nname: value\r\n\r\n"].concat();
    for fragment_bytes in 1..=message.len() {
        let taken = take_in_fragments(&message, fragment_bytes);
        assert_eq!(taken, Ok((true, [small, large].concat())), "in fragments of {fragment_bytes} bytes");
    }
}

#[test]
fn bytes_after_the_last_chunk_stay_for_the_next_message() {
    let mut body = Body::Chunked(Chunk::Size);
    let mut buffer = [&chunk(b"hello")[..], LAST_CHUNK, b"GET"].concat();
    let mut out = Vec::new();
    assert_eq!(body.take(&mut buffer, &mut out, &limits()), Ok(true));
    assert_eq!((out.as_slice(), buffer.as_slice()), (b"hello".as_slice(), b"GET".as_slice()));
}

#[test]
fn a_small_chunk_is_not_forwarded_before_it_is_complete() {
    assert_eq!(take_in_fragments(b"5\r\nhello", 3), Ok((false, Vec::new())));
}

#[test]
fn a_large_chunk_is_forwarded_as_it_arrives() {
    assert_eq!(take_in_fragments(b"20\r\nabc", 1), Ok((false, b"abc".to_vec())));
}

#[test]
fn invalid_framing_is_rejected() {
    assert_eq!(status_of(b"x\r\n"), 400, "a size that is not a number");
    assert_eq!(status_of(b"123456789"), 400, "a size with too many digits");
    assert_eq!(status_of(b"3\r\nabcd\r\n"), 400, "a chunk longer than its size");
    assert_eq!(status_of(b"101\r\n"), 413, "a chunk over the limit");
    assert_eq!(status_of(&[b"5;".as_slice(), &[b'x'; 40]].concat()), 400, "a line over the limit");
    assert_eq!(status_of(b"0\r\na: 1\r\nb: 2\r\nc: 3\r\n\r\n"), 431, "more trailers than the limit");
}

#[test]
fn a_body_with_a_length_ends_after_it() {
    let mut body = Body::Length(5);
    let mut buffer = b"hel".to_vec();
    let mut out = Vec::new();
    assert_eq!(body.take(&mut buffer, &mut out, &limits()), Ok(false));
    buffer.extend_from_slice(b"lo, next");
    assert_eq!(body.take(&mut buffer, &mut out, &limits()), Ok(true));
    assert_eq!((out.as_slice(), buffer.as_slice()), (b"hello".as_slice(), b", next".as_slice()));
}
