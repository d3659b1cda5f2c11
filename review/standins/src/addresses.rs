//! Loopback addresses that nobody else uses.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// Returns a /24 of loopback addresses whose port `port` is free at address 1, as its first three bytes.
///
/// # Panics
///
/// Panics if none is free.
pub fn free_network(port: u16) -> [u8; 3] {
    let first = std::process::id();
    for at in 0..400_u32 {
        let number = first.wrapping_add(at * 7);
        let network = [127, 20 + (number / 250 % 200) as u8, 1 + (number % 250) as u8];
        let address = SocketAddr::new(ip(network, 1).into(), port);
        if TcpListener::bind(address).is_ok() {
            return network;
        }
    }
    panic!("no free loopback network");
}

/// Returns an address of a network.
pub fn ip(network: [u8; 3], host: u8) -> Ipv4Addr {
    Ipv4Addr::new(network[0], network[1], network[2], host)
}
