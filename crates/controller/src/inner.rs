//! Those who come by the inner port: other huts and gatekeepers of the road, each on a line of its own.

use std::sync::Arc;

use lynxstair_net::conn::Conn;
use lynxstair_net::coroutine::go_then;
use lynxstair_protocol::messages::Up;
use lynxstair_transport as lines;

use crate::hut::Hut;

impl Hut {
    pub fn admit(self: &Arc<Self>, stream: std::net::TcpStream) {
        let Ok(conn) = Conn::new(stream, lines::MOST) else { return };
        let conn = Arc::new(conn);
        lines::limit(&conn);
        let (h, c) = (self.clone(), conn.clone());
        go_then("an inner line", move || h.listen_to(&c), move |_| conn.close());
    }

    fn listen_to(self: &Arc<Self>, conn: &Arc<Conn>) {
        let mut core = None;
        let mut follower = None;
        lines::read(conn, |word: Up| {
            let now = self.alarms.now();
            // Where this process stood still, what is read may be old; the rooms that go by echoes know that themselves.
            let came = self.alarms.came_at(now);
            let mut rooms = self.rooms();
            match (word, core, follower) {
                (Up::Core { from, hears, others }, ..) => {
                    core = Some(from);
                    self.meet(now, &mut rooms, &[from]);
                    self.meet(now, &mut rooms, &others);
                    rooms.heard_hut(now, from);
                    if !hears {
                        rooms.peers.is_not_heard_by(now, from);
                    }
                }
                (Up::Agreement(message), Some(from), _) => {
                    rooms.cairn.hear(now, from, message);
                    self.act(now, &mut rooms);
                }
                (Up::Heard(lives), Some(_), _) => rooms.hear_lives(came, &lives),
                (Up::Sightings { sightings, whole, has_gathered }, Some(from), _) => {
                    rooms.directory.take(came, from, sightings, whole, has_gathered);
                }
                (Up::Hello { edge, lives }, ..) => {
                    follower = Some(self.welcome(now, &mut rooms, conn, edge, lives));
                }
                (Up::Ping(ping), _, Some(number)) => {
                    return self.hear_ping((now, came), &mut rooms, number, &ping);
                }
                // Whoever has not said who it is.
                _ => return false,
            }
            true
        });
        conn.close();
        if let Some(number) = follower {
            self.rooms().let_go(number);
        }
    }
}
