use futures::executor::block_on;
use http_body_util::BodyExt;

use super::*;

/// Returns the body's data, or that it was aborted.
fn read(body: AnswerBody) -> Result<Bytes, AnswerAborted> {
    block_on(body.collect()).map(http_body_util::Collected::to_bytes)
}

// Guards against a truncated stream that looks complete to its caller: the task that relays it panics, and its sender is
// dropped.
#[test]
fn a_body_whose_sender_is_dropped_is_aborted() {
    let (tx, body) = stream_body();
    block_on(tx.send(Bytes::from_static(b"id: 1\n\n"))).expect("room");
    drop(tx);
    assert_eq!(read(body), Err(AnswerAborted));
}

#[test]
fn a_completed_body_is_whole() {
    let (tx, body) = stream_body();
    block_on(tx.send(Bytes::from_static(b"id: 1\n\n"))).expect("room");
    tx.complete();
    drop(tx);
    assert_eq!(read(body), Ok(Bytes::from_static(b"id: 1\n\n")));
}
