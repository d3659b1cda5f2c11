//! Links between one VM and a server, which tests can cut.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use socket2::SockRef;
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
    task::spawn_local,
};

/// State of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    Up,
    /// Open connections and attempts to connect get no response.
    Hanging,
    /// Open connections are reset, and new ones are refused.
    Resetting,
    /// Open connections work, and new ones are refused.
    RefusingNew,
}

/// The address at which one VM reaches a server.
pub struct Link {
    pub address: SocketAddr,
    state: watch::Sender<LinkState>,
    /// Number of accepted connections.
    connections: Rc<Cell<usize>>,
}

impl Link {
    /// Opens a link to a server.
    pub async fn to(server: SocketAddr) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (state, states) = watch::channel(LinkState::Up);
        let connections = Rc::new(Cell::new(0));
        spawn_local(run_link(listener, server, states, connections.clone()));
        Self { address, state, connections }
    }

    pub fn set(&self, state: LinkState) {
        self.state.send_replace(state);
    }

    /// Returns the number of connections that the link has accepted.
    pub fn connections(&self) -> usize {
        self.connections.get()
    }
}

async fn run_link(
    listener: TcpListener,
    server: SocketAddr,
    mut states: watch::Receiver<LinkState>,
    connections: Rc<Cell<usize>>,
) {
    let address = listener.local_addr().expect("an address");
    let mut open = Some(listener);
    loop {
        let state = *states.borrow_and_update();
        match state {
            LinkState::Up => {
                let listener = match open.take() {
                    Some(listener) => listener,
                    None => listen(address, 64),
                };
                loop {
                    tokio::select! {
                        accepted = listener.accept() => {
                            let stream = accepted.expect("a connection").0;
                            connections.set(connections.get() + 1);
                            spawn_local(forward(stream, server, states.clone()));
                        }
                        changed = states.changed() => {
                            if changed.is_err() {
                                return;
                            }
                            break;
                        }
                    }
                }
            }
            LinkState::Hanging => {
                // The kernel drops packets that open connections while the queue of accepted ones is full.
                let _listener = listen(address, 0);
                let _filler = TcpStream::connect(address).await;
                if states.changed().await.is_err() {
                    return;
                }
            }
            LinkState::Resetting | LinkState::RefusingNew => {
                if states.changed().await.is_err() {
                    return;
                }
            }
        }
    }
}

fn listen(address: SocketAddr, backlog: u32) -> TcpListener {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_reuseaddr(true).expect("an option");
    socket.bind(address).expect("the port of the link");
    socket.listen(backlog).expect("a listener")
}

/// Copies data in both directions until an end closes or the link is cut.
async fn forward(
    mut stream: TcpStream,
    server: SocketAddr,
    mut states: watch::Receiver<LinkState>,
) {
    let Ok(mut upstream) = TcpStream::connect(server).await else { return };
    tokio::select! {
        _ = copy_bidirectional(&mut stream, &mut upstream) => return,
        _ = states.wait_for(|it| matches!(it, LinkState::Hanging | LinkState::Resetting)) => {}
    }
    if *states.borrow() == LinkState::Hanging {
        // The VM's probes are answered by the kernel; its requests aren't.
        tokio::time::sleep(Duration::from_secs(60)).await;
        return;
    }
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}
