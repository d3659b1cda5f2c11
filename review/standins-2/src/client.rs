//! A client: one request on one connection.

use std::{
    io::{self, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use crate::http::{Head, read_chunk, read_head};

/// What came back for a request.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if no answer began.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the answer ended as HTTP demands it.
    pub is_complete: bool,
    pub error: Option<String>,
    pub took: Duration,
}

/// Sends a request on a new connection and reads its answer.
pub fn send(address: SocketAddr, request: &[u8], limit: Duration) -> Answer {
    let began = Instant::now();
    let mut answer = Answer::default();
    if let Err(error) = exchange(address, request, limit, &mut answer) {
        answer.error = Some(error.to_string());
    }
    answer.took = began.elapsed();
    answer
}

fn exchange(
    address: SocketAddr,
    request: &[u8],
    limit: Duration,
    answer: &mut Answer,
) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    stream.write_all(request)?;
    read_answer(&mut BufReader::new(stream), answer)
}

/// Reads an answer. What was read before an error stays in `answer`.
pub fn read_answer(reader: &mut BufReader<TcpStream>, answer: &mut Answer) -> io::Result<()> {
    let head = read_head(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    answer.status = head.status();
    answer.head = head;
    if answer.head.get("transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(reader)? {
            answer.body.extend_from_slice(&chunk);
        }
        answer.is_complete = true;
        return Ok(());
    }
    match answer.head.get("content-length").and_then(|it| it.parse::<usize>().ok()) {
        Some(length) => {
            let mut buf = [0; 16 << 10];
            while answer.body.len() < length {
                let count = reader.read(&mut buf)?;
                if count == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                answer.body.extend_from_slice(&buf[..count]);
            }
        }
        None => {
            reader.read_to_end(&mut answer.body)?;
        }
    }
    answer.is_complete = true;
    Ok(())
}
