//! A program under test, run as a process of its own, and what it takes of its machine.

use std::{
    fs,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::Path,
    process::{Child, Command, Stdio},
    thread,
    time::Duration,
};

/// Time after which a client that can't send or gets no answer gives up.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of tries of a client that sends again what was not answered as expected.
const MAX_TRIES: usize = 20;
/// Time between two tries.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Returns a loopback address at which nothing listens.
///
/// # Panics
///
/// Panics if no port is free.
pub fn free_address() -> SocketAddr {
    let free = TcpListener::bind("127.0.0.1:0").and_then(|it| it.local_addr());
    free.expect("a free port")
}

/// A running program, which is killed when this is dropped.
#[derive(Debug)]
pub struct Program {
    child: Child,
}

impl Program {
    /// Starts a program with a settings file, and waits until it listens on `address`.
    ///
    /// # Panics
    ///
    /// Panics if the program can't be started or ends.
    pub fn start(executable: &str, settings: &Path, text: &str, address: SocketAddr) -> Self {
        fs::write(settings, text).expect("a writable folder");
        let command = Command::new(executable)
            .arg("--settings")
            .arg(settings)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn();
        let mut this = Self { child: command.expect("the program starts") };
        while TcpStream::connect(address).is_err() {
            this.assert_alive();
            thread::sleep(Duration::from_millis(50));
        }
        this
    }

    /// Checks that the process has not ended.
    ///
    /// # Panics
    ///
    /// Panics if it has.
    pub fn assert_alive(&mut self) {
        let ended = self.child.try_wait().expect("a child");
        assert!(ended.is_none(), "the program ended: {ended:?}");
    }

    /// Returns the most memory that the process had, in KB.
    pub fn peak_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let peak = status.lines().find_map(|it| it.strip_prefix("VmHWM:"));
        peak.and_then(|it| it.trim().trim_end_matches(" kB").parse().ok()).unwrap_or_default()
    }

    /// Returns the number of its open descriptors.
    pub fn descriptors(&self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // Fails if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Connects as a client that gives up in time.
pub fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(CLIENT_TIMEOUT)).ok()?;
    stream.set_write_timeout(Some(CLIENT_TIMEOUT)).ok()?;
    Some(stream)
}

/// Sends the bytes of an HTTP request and returns the connection, which stays open. Bytes that are not accepted are dropped.
pub fn send(address: SocketAddr, bytes: &[u8]) -> Option<TcpStream> {
    let mut stream = connect(address)?;
    // Fails if the request is refused meanwhile, and its connection closed.
    let _ = stream.write_all(bytes);
    Some(stream)
}

/// Sends an HTTP request until the status of its answer is `expected`; returns whether it was.
pub fn answers(address: SocketAddr, request: &[u8], expected: u16) -> bool {
    let ask = || {
        let mut status = String::new();
        BufReader::new(send(address, request)?).read_line(&mut status).ok()?;
        status.split(' ').nth(1)?.parse::<u16>().ok()
    };
    (0..MAX_TRIES).any(|_| {
        let is_expected = ask() == Some(expected);
        if !is_expected {
            thread::sleep(RETRY_INTERVAL);
        }
        is_expected
    })
}
