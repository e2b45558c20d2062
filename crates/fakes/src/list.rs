//! Discovery: the list of workers, told to those who watch it.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};

use crate::message::Message;
use crate::{listener, serve};

/// Tells the list to those who watch, and what came later to those who come later.
#[derive(Clone)]
pub struct Discovery {
    pub addr: SocketAddr,
    watches: Arc<Mutex<Vec<TcpStream>>>,
    /// What those who come later are told first.
    told: Arc<Mutex<Vec<String>>>,
    pub asked: Arc<Mutex<Vec<String>>>,
}

fn piece(news: &str) -> String {
    format!("{:x}\r\n{news}\n\r\n", news.len() + 1)
}

/// One that has nothing to tell yet, on a free port.
pub fn discovery() -> Discovery {
    let (on, addr) = listener();
    let told = Discovery { addr, watches: Arc::default(), told: Arc::default(), asked: Arc::default() };
    let kept = told.clone();
    serve(on, move |mut stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
        let Some(message) = Message::read(&mut reader) else { return };
        let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n";
        let told = kept.told.lock().expect("not poisoned").iter().map(|n| piece(n)).collect::<String>();
        if stream.write_all(head).is_ok() && stream.write_all(told.as_bytes()).is_ok() {
            kept.watches.lock().expect("not poisoned").push(stream);
            kept.asked.lock().expect("not poisoned").push(message.first);
        }
    });
    told
}

impl Discovery {
    /// Tells those who watch now, and those who come later.
    pub fn tell_all(&self, news: &str) {
        self.told.lock().expect("not poisoned").push(news.to_string());
        self.tell(news);
    }

    /// Tells those who watch now.
    pub fn tell(&self, news: &str) {
        let piece = piece(news);
        self.watches.lock().expect("not poisoned").retain_mut(|w| w.write_all(piece.as_bytes()).is_ok());
    }
}

/// A member of the list.
pub fn member(n: usize, addr: SocketAddr, phase: &str) -> String {
    format!(
        r#"{{"id":"s-{n}","host_port":"{addr}","locality":"z","flavor":"k","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":0}}"#
    )
}
