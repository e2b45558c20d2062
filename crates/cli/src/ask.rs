//! Asks a member at its control port.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::path::Path;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use lynxstair_fleet::Config;
use lynxstair_fleet::protocol::{Answer, Ask, LONGEST_ANSWER};

const CONNECTS_WITHIN: Duration = Duration::from_millis(1_000);
const ANSWERS_WITHIN: Duration = Duration::from_millis(3_000);

/// Asks one thing.
pub fn ask(addr: SocketAddrV4, ask: &Ask) -> Result<Answer> {
    let stream = TcpStream::connect_timeout(&addr.into(), CONNECTS_WITHIN).context("not reached")?;
    stream.set_read_timeout(Some(ANSWERS_WITHIN))?;
    stream.set_write_timeout(Some(ANSWERS_WITHIN))?;
    let mut said = serde_json::to_vec(ask)?;
    said.push(b'\n');
    (&stream).write_all(&said).context("not reached")?;
    let mut line = String::new();
    BufReader::new((&stream).take(LONGEST_ANSWER as u64)).read_line(&mut line).context("no answer")?;
    if line.is_empty() {
        bail!("no answer");
    }
    serde_json::from_str(&line).context("an answer that this program does not understand")
}

/// The addresses to ask: of a fleet file, or the one address that is given.
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
