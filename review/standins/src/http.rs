//! Blocking HTTP/1.1: parsing of requests and responses, and a server with one thread per connection.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
};

/// A message head: the first line and the headers, with lowercase names.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the first header of a name, given in lowercase.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(it, _)| it == name).map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response, or 0.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or_default()
    }
}

/// A request with its whole body.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub head: Head,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns a parameter of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        query.split('&').filter_map(|it| it.split_once('=')).find(|it| it.0 == name).map(|it| it.1)
    }
}

/// Reads a message head; `None` if the connection ended before it.
pub fn read_head<R: BufRead>(reader: &mut R) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    if reader.read_line(&mut head.line)? == 0 {
        return Ok(None);
    }
    head.line = head.line.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(head));
        }
        if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads one chunk of a chunked body; empty at the end of the body.
pub fn read_chunk<R: BufRead>(reader: &mut R) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = line.trim_end().split(';').next().unwrap_or_default();
    let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok(chunk)
}

/// Reads the whole body that follows a head.
pub fn read_body<R: BufRead>(reader: &mut R, head: &Head) -> io::Result<Vec<u8>> {
    if head.get("transfer-encoding").is_some_and(|it| it.eq_ignore_ascii_case("chunked")) {
        let mut body = Vec::new();
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(body);
            }
            body.extend_from_slice(&chunk);
        }
    }
    let length = head.get("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Reads a request with its body; `None` if the connection ended before it.
pub fn read_request<R: BufRead>(reader: &mut R) -> io::Result<Option<Request>> {
    let Some(head) = read_head(reader)? else { return Ok(None) };
    let mut words = head.line.split(' ').map(str::to_owned);
    let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let body = read_body(reader, &head)?;
    Ok(Some(Request { method, target, head, body }))
}

/// Writes a whole answer with a length.
pub fn write_answer(
    stream: &mut impl Write,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Serves connections in threads of their own, for as long as the process runs. `handle` answers one request, and the
/// connection ends if it returns an error.
pub fn serve<H>(listener: TcpListener, handle: H)
where
    H: Fn(&Request, &mut TcpStream, SocketAddr) -> io::Result<()> + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                let Ok(from) = stream.peer_addr() else { return };
                let _ = stream.set_nodelay(true);
                let Ok(reading) = stream.try_clone() else { return };
                let (mut reader, mut stream) = (BufReader::new(reading), stream);
                while let Ok(Some(req)) = read_request(&mut reader) {
                    if handle(&req, &mut stream, from).is_err() {
                        return;
                    }
                }
            });
        }
    });
}
