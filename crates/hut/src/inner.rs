//! Those who come by the inner port: other huts and gatekeepers of the road, each on a line of its own.

use std::sync::Arc;

use lynxstair_lines as lines;
use lynxstair_trailbook::words::Up;
use lynxstair_wire::conn::Conn;
use lynxstair_wire::coroutine::go_then;

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
            let mut rooms = self.rooms();
            match word {
                Up::Core { from } => {
                    core = Some(from);
                    self.meet(&mut rooms, &[from]);
                }
                Up::Vote(vote) => {
                    let Some(from) = core else { return false };
                    self.hear_vote(now, &mut rooms, from, vote);
                }
                Up::Heard(lives) => {
                    rooms.hear_lives(now, &lives);
                    if let Some(from) = core {
                        rooms.cairn.knock(now, from);
                        self.act(now, &mut rooms);
                    }
                }
                Up::Hello { edge, lives } => {
                    follower = Some(self.welcome(now, &mut rooms, conn, edge, lives));
                }
                Up::Ping(ping) => {
                    let Some(number) = follower else { return false };
                    return rooms.hear_ping(now, number, &ping);
                }
            }
            true
        });
        conn.close();
        if let Some(number) = follower {
            self.rooms().feed.let_go(number);
        }
    }
}
