//! Servers that answer by a script.

use super::*;

/// The state that all scripted servers share.
pub(super) struct Fleet<F> {
    pub(super) script: F,
    pub(super) store: FakeStore,
    /// Number of requests that have arrived.
    pub(super) request_count: Cell<usize>,
    /// Number of server starts, restarts included.
    pub(super) started_count: Cell<usize>,
    pub(super) arrivals: mpsc::UnboundedSender<Arrival>,
    pub(super) disconnects: mpsc::UnboundedSender<usize>,
    pub(super) connections: Rc<Cell<usize>>,
}

/// Time in which bytes that were sent arrive before their connection is reset.
const ARRIVAL_TIME: Duration = Duration::from_millis(30);
/// Time between the exit of a server and its restart.
const RESTART_TIME: Duration = Duration::from_millis(100);

/// Runs a server and restarts it after each exit.
pub(super) async fn run_server<F>(fleet: Rc<Fleet<F>>, mut at: usize, mut listener: TcpListener)
where
    F: Fn(usize, &Arrival) -> Reply + 'static,
{
    loop {
        serve_until_exit(&fleet, at, listener).await;
        let old_name = format!("server-{at}");
        sleep(RESTART_TIME).await;
        listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
        at = fleet.started_count.replace(fleet.started_count.get() + 1);
        let address = listener.local_addr().expect("an address");
        fleet.store.put_server(&format!("server-{at}"), entry(address));
        fleet.store.remove_server(&old_name);
    }
}

/// Serves until a reply exits the process, then closes the listener and all connections.
async fn serve_until_exit<F>(fleet: &Rc<Fleet<F>>, at: usize, listener: TcpListener)
where
    F: Fn(usize, &Arrival) -> Reply + 'static,
{
    let (exit_tx, exit) = watch::channel(false);
    let exit_tx = Rc::new(exit_tx);
    let mut listener_exit = exit.clone();
    loop {
        let stream = tokio::select! {
            _ = listener_exit.wait_for(|it| *it) => return,
            accepted = listener.accept() => accepted.expect("a connection").0,
        };
        fleet.connections.set(fleet.connections.get() + 1);
        let (fleet, exit_tx, mut exit) = (fleet.clone(), exit_tx.clone(), exit.clone());
        spawn_local(async move {
            tokio::select! {
                _ = exit.wait_for(|it| *it) => {}
                () = serve(&fleet, at, stream, &exit_tx) => {}
            }
        });
    }
}

async fn serve<F>(
    fleet: &Fleet<F>,
    server: usize,
    mut stream: TcpStream,
    exit: &watch::Sender<bool>,
) where
    F: Fn(usize, &Arrival) -> Reply,
{
    while let Some(arrival) = read_request(server, &mut stream).await {
        let number = fleet.request_count.replace(fleet.request_count.get() + 1);
        let reply = (fleet.script)(number, &arrival);
        let _ = fleet.arrivals.send(arrival);
        match reply {
            Reply::Send(text) => {
                let _ = stream.write_all(text.as_bytes()).await;
            }
            Reply::SendAndClose(text) => {
                let _ = stream.write_all(text.as_bytes()).await;
                return;
            }
            Reply::SendAndReset(text) => {
                let _ = stream.write_all(text.as_bytes()).await;
                sleep(ARRIVAL_TIME).await;
                let _ = stream.set_zero_linger();
                return;
            }
            Reply::SendAndWait(text) => {
                let _ = stream.write_all(text.as_bytes()).await;
                let mut buf = [0; 64];
                while matches!(stream.read(&mut buf).await, Ok(read) if read > 0) {}
                let _ = fleet.disconnects.send(server);
                return;
            }
            Reply::SendWithoutEnd(first, unit, pause) => {
                let mut sent = stream.write_all(first.as_bytes()).await;
                while sent.is_ok() {
                    sleep(pause).await;
                    sent = stream.write_all(unit.as_bytes()).await;
                }
                let _ = fleet.disconnects.send(server);
                return;
            }
            Reply::SendAndCloseOnNotify(text, notify) => {
                let _ = stream.write_all(text.as_bytes()).await;
                notify.notified().await;
                return;
            }
            Reply::SendMoreOnNotify(text, notify, more) => {
                let _ = stream.write_all(text.as_bytes()).await;
                notify.notified().await;
                let _ = stream.write_all(more.as_bytes()).await;
            }
            Reply::SendMoreAndCloseOnNotify(text, notify, more) => {
                let _ = stream.write_all(text.as_bytes()).await;
                notify.notified().await;
                let _ = stream.write_all(more.as_bytes()).await;
                return;
            }
            Reply::SendAndExit(text) => {
                let _ = stream.write_all(text.as_bytes()).await;
                exit.send_replace(true);
                return;
            }
            Reply::SendAndExitOnNotify(text, notify) => {
                let _ = stream.write_all(text.as_bytes()).await;
                notify.notified().await;
                exit.send_replace(true);
                return;
            }
        }
    }
}

async fn read_request(server: usize, stream: &mut TcpStream) -> Option<Arrival> {
    let mut bytes = Vec::new();
    let mut buf = [0; 4_096];
    let end = loop {
        if let Some(at) = bytes.windows(4).position(|it| it == b"\r\n\r\n") {
            break at + 4;
        }
        match stream.read(&mut buf).await {
            Ok(read) if read > 0 => bytes.extend_from_slice(&buf[..read]),
            _ => return None,
        }
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let length = head.lines().find_map(|it| it.strip_prefix("content-length: "));
    let length: usize = length.and_then(|it| it.parse().ok()).unwrap_or_default();
    while bytes.len() < end + length {
        match stream.read(&mut buf).await {
            Ok(read) if read > 0 => bytes.extend_from_slice(&buf[..read]),
            _ => return None,
        }
    }
    let body = String::from_utf8_lossy(&bytes[end..end + length]).into_owned();
    Some(Arrival { server, at: Instant::now(), head, body })
}
