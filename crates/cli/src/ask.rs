//! Requests to a member at its control port.

use std::net::SocketAddrV4;
use std::path::Path;

use anyhow::{Context, Result, bail};
use lynxstair_cluster::Config;
use lynxstair_cluster::protocol::{Request, Response};

/// Sends a request and waits for the response.
pub fn send_request(addr: SocketAddrV4, request: &Request) -> Result<Response> {
    lynxstair_cluster::request(addr, request).context("no valid response")
}

/// Returns the given address, or the control address and the seeds of the given fleet file.
pub fn addresses(file_or_address: &str) -> Result<Vec<SocketAddrV4>> {
    if let Ok(addr) = file_or_address.parse() {
        return Ok(vec![addr]);
    }
    let path = Path::new(file_or_address);
    if !path.exists() {
        bail!("{file_or_address}: neither a fleet file nor an address like 127.0.0.1:7101");
    }
    let config = Config::read(path)?;
    let mut all = vec![config.control];
    all.extend(config.seeds.into_iter().filter(|s| *s != config.control));
    Ok(all)
}
