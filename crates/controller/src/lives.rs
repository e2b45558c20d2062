//! The workers' lives: beats, ends, silence, and what of it goes to the other huts, the road and the disk.

use log::info;
use lynxstair::types::{Span, Time};
use lynxstair_config::json;
use lynxstair_control_state::failure_detector::{Answer, Contact, Watch};
use lynxstair_control_state::instance_registry::Register;
use lynxstair_net::calls::Reply;
use lynxstair_protocol::messages::{Down, Life, Standing, Up};

use crate::control::error;
use crate::hut::{Hut, Rooms};

/// How often the workers' lives are written, where they changed: known at once after a loss of power, they are served
/// before each has beaten again.
const KEEP: Span = Span::from_millis(1_000);

pub struct Lives {
    watch: Watch,
    /// Since they were written last, which is due again then.
    changed: bool,
    keep_at: Time,
}

impl Lives {
    pub fn new(now: Time, found: &[Life], beat: Span) -> Lives {
        let mut register = Register::default();
        register.restore(now, found, beat);
        Lives { watch: Watch::new(now, register, beat), changed: false, keep_at: now + KEEP }
    }

    pub fn all(&self, now: Time) -> Vec<Life> {
        self.watch.register().all(now)
    }

    pub fn ready(&self) -> usize {
        self.watch.register().lives().values().filter(|k| k.standing == Standing::Ready).count()
    }
}

impl Rooms {
    /// How this hut stands to the majority now.
    fn contact(&self, now: Time) -> Contact {
        match (self.cairn.is_in_touch(now), self.cairn.leads()) {
            (false, _) => Contact::Out,
            (true, false) => Contact::Follows,
            (true, true) => Contact::Leads,
        }
    }

    /// Whether what only the leader may say may be said here now.
    pub fn leads(&self, now: Time) -> bool {
        self.contact(now) == Contact::Leads
    }

    fn stand(&mut self, now: Time) {
        let contact = self.contact(now);
        self.lives.watch.stand(now, contact);
    }

    /// What another hut heard of workers. That one tells the road; the leader does so too, for those of the road that
    /// it can't reach.
    pub fn hear_lives(&mut self, now: Time, lives: &[Life]) {
        let news = self.lives.watch.hear(now, lives);
        self.lives.changed |= !news.is_empty();
        if !news.is_empty() && self.cairn.leads() {
            self.feed.tell(&Down::Lives { lives: news, whole: false });
        }
    }

    /// What a worker said here goes to the other huts, and where it is news to the road; and what the worker gets.
    fn answered(&mut self, answer: Answer) -> Reply {
        self.lives.changed |= answer.is_news;
        if let Some(life) = answer.life {
            self.peers.tell(&Up::Heard(vec![life.clone()]));
            if answer.is_news {
                self.feed.tell(&Down::Lives { lives: vec![life], whole: false });
            }
        }
        if answer.is_promised {
            Reply::json(200, "{}")
        } else {
            error(503, "out of touch with the other huts")
        }
    }
}

impl Hut {
    pub fn beat(&self, id: &str, body: &[u8]) -> Reply {
        let mut life = match read_life(id, body) {
            Ok(life) => life,
            Err(fault) => return error(400, &fault.to_string()),
        };
        let now = self.alarms.now();
        // Where this process stood still the worker may be long gone.
        life.heard_ms = (now - self.alarms.came_at(now)).nanos() / 1_000_000;
        let mut rooms = self.rooms();
        rooms.stand(now);
        let answer = rooms.lives.watch.beat(now, &life);
        rooms.answered(answer)
    }

    pub fn leave(&self, id: &str) -> Reply {
        let now = self.alarms.now();
        let mut rooms = self.rooms();
        rooms.stand(now);
        let answer = rooms.lives.watch.leave(now, id);
        rooms.answered(answer)
    }

    /// Says who is silent, as far as this hut may, and writes what changed.
    pub fn sweep_lives(&self, now: Time, rooms: &mut Rooms) {
        rooms.stand(now);
        let lives = rooms.lives.watch.sweep(now);
        if !lives.is_empty() {
            info!(lives = lives.len(); "workers have fallen silent");
            rooms.lives.changed = true;
            rooms.peers.tell(&Up::Heard(lives.clone()));
            rooms.feed.tell(&Down::Lives { lives, whole: false });
        }
        if now >= rooms.lives.keep_at && rooms.lives.changed {
            rooms.lives.keep_at = now + KEEP;
            rooms.lives.changed = false;
            let mut held = Vec::new();
            if ciborium::into_writer(&rooms.lives.all(now), &mut held).is_ok() {
                self.disk.keep_lives(held);
            }
        }
    }
}

fn read_life(id: &str, body: &[u8]) -> Result<Life, json::Fault> {
    let value = json::read(body)?;
    let all = json::object(&value, "body")?;
    let text = |key: &str| json::needed(all, key, "").and_then(|v| json::text(v, key));
    let number = |key: &str| json::at(all, key).map_or(Ok(0.0), |v| json::number(v, key));
    let Ok(address) = text("address")?.parse() else { return json::fault("address", "not an address") };
    let standing = match text("state")? {
        "draining" => Standing::Draining,
        _ => Standing::Ready,
    };
    Ok(Life {
        id: id.to_string(),
        service: text("service")?.to_string(),
        address,
        zone: text("zone")?.to_string(),
        capacity: number("capacity")?.clamp(1.0, 1e6) as u32,
        standing,
        cold_ms: (number("cold-left-s")?.clamp(0.0, 600.0) * 1000.0) as u64,
        seq: number("call-seq")?.max(0.0) as u64,
        heard_ms: 0,
    })
}
