use tokio::net::TcpListener;

use super::*;

/// Silence of a sound server, after which it goes on.
const SHORT_SILENCE: Duration = Duration::from_millis(1_800);

// Guards against requests that are lost because the TCP user timeout, which also ends keepalive probes, is shorter
// than the silence of a sound server.
#[tokio::test]
async fn connections_outlast_a_short_silence_of_a_server() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let stream = open_stream(address.ip(), address).await.expect("a connection");
    let options = SockRef::from(&stream);
    let timeout = options.tcp_user_timeout().expect("the option").expect("a timeout");
    let first_probe = options.tcp_keepalive_time().expect("the option");
    let interval = options.tcp_keepalive_interval().expect("the option");
    let mut given_up_after = first_probe;
    while given_up_after < timeout {
        given_up_after += interval;
    }
    assert!(timeout > SHORT_SILENCE, "unacknowledged data: {timeout:?}");
    assert!(given_up_after > SHORT_SILENCE, "probes: {given_up_after:?}");
}
