//! The register: which workers there are, life by life, as they say of themselves. Soft state, said again with each
//! beat. Cores and gatekeepers keep one each.

use std::collections::HashMap;
use std::net::SocketAddr;

use lynxstair::types::{Span, Time};
use lynxstair_protocol::messages::{Life, Standing};

/// A life that is over is remembered for so long, so that a late beat does not bring it back.
const REMEMBERED: Span = Span::from_millis(60_000);
/// And a life that seems to go on, without a word of it, for so long.
const UNTOLD: Span = Span::from_millis(600_000);
/// So many beats missing make a life silent.
const MISSED: f64 = 4.5;
/// A life from before a start counts as heard so many beats ago.
const RESTORED: f64 = 2.0;
/// A change of the time that a worker is cold is news from here on.
const COLD_NEWS: Span = Span::from_millis(400);

#[derive(Clone, Debug, PartialEq)]
pub struct Known {
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub capacity: u32,
    pub standing: Standing,
    pub cold_until: Time,
    pub seq: u64,
    pub heard_at: Time,
}

#[derive(Debug, Default)]
pub struct Register {
    lives: HashMap<String, Known>,
}

impl Register {
    pub fn lives(&self) -> &HashMap<String, Known> {
        &self.lives
    }

    /// What was known before this process began: taken for what it is worth until each worker speaks again, and for
    /// less time than a beat that was heard. A request to a life that is over since costs a try: it names the life.
    pub fn restore(&mut self, now: Time, lives: &[Life], beat: Span) {
        for life in lives.iter().filter(|l| matches!(l.standing, Standing::Ready | Standing::Draining)) {
            let heard_ms = beat.times(RESTORED).nanos() / 1_000_000;
            self.hear(now, &Life { heard_ms, ..life.clone() });
        }
    }

    /// Whether what a worker says is news. An earlier word than the last is none, and nothing after the end is.
    pub fn hear(&mut self, now: Time, life: &Life) -> bool {
        let heard_at = now.saturating_sub(Span::from_millis(life.heard_ms));
        let cold_until =
            if life.cold_ms == 0 { Time::default() } else { now + Span::from_millis(life.cold_ms) };
        let Some(known) = self.lives.get_mut(&life.id) else {
            let known = Known {
                service: life.service.clone(),
                address: life.address,
                zone: life.zone.clone(),
                capacity: life.capacity,
                standing: life.standing,
                cold_until,
                seq: life.seq,
                heard_at,
            };
            self.lives.insert(life.id.clone(), known);
            return true;
        };
        if known.standing == Standing::Gone {
            return false;
        }
        if life.standing == Standing::Gone {
            known.standing = Standing::Gone;
            known.heard_at = now;
            return true;
        }
        if life.seq < known.seq {
            return false;
        }
        // The same word again, with an older or a newer silence.
        if life.seq == known.seq && (life.standing == known.standing || life.standing != Standing::Silent) {
            known.heard_at = known.heard_at.max(heard_at);
            return false;
        }
        // Who once drains does so to the end.
        let standing = match (known.standing, life.standing) {
            (Standing::Draining, _) => Standing::Draining,
            (_, standing) => standing,
        };
        let cold_is_news = now + COLD_NEWS < cold_until && known.cold_until + COLD_NEWS < cold_until
            || now + COLD_NEWS < known.cold_until && cold_until + COLD_NEWS < known.cold_until;
        let is_news = standing != known.standing
            || life.address != known.address
            || life.capacity != known.capacity
            || cold_is_news;
        known.seq = life.seq;
        known.heard_at = known.heard_at.max(heard_at);
        known.standing = standing;
        known.cold_until = cold_until;
        known.address = life.address;
        known.capacity = life.capacity;
        is_news
    }

    /// A worker says that its life ends, and nothing else.
    pub fn leave(&mut self, now: Time, id: &str) -> Option<Life> {
        let known = self.lives.get_mut(id)?;
        if known.standing != Standing::Gone {
            known.standing = Standing::Gone;
            known.heard_at = now;
        }
        self.life(now, id)
    }

    /// Who has fallen silent since; lets go of what is long over.
    pub fn sweep(&mut self, now: Time, beat: Span) -> Vec<String> {
        self.sweep_since(now, beat, Some(Time::default()))
    }

    /// The same, where silence counts from then on only; None where it does not count.
    pub fn sweep_since(&mut self, now: Time, beat: Span, counts_from: Option<Time>) -> Vec<String> {
        let silent = beat.times(MISSED);
        self.lives.retain(|_, k| {
            // Nobody was told yet that it is silent: it is kept until somebody may say so.
            let kept = if k.standing == Standing::Ready { UNTOLD } else { REMEMBERED };
            now - k.heard_at < kept + silent
        });
        let Some(from) = counts_from else { return Vec::new() };
        let mut news = Vec::new();
        for (id, known) in &mut self.lives {
            if known.standing == Standing::Ready && now - known.heard_at.max(from) > silent {
                known.standing = Standing::Silent;
                news.push(id.clone());
            }
        }
        news
    }

    /// One life, as it is told to others now.
    pub fn life(&self, now: Time, id: &str) -> Option<Life> {
        let known = self.lives.get(id)?;
        Some(Life {
            id: id.to_string(),
            service: known.service.clone(),
            address: known.address,
            zone: known.zone.clone(),
            capacity: known.capacity,
            standing: known.standing,
            cold_ms: (known.cold_until - now).nanos() / 1_000_000,
            seq: known.seq,
            heard_ms: (now - known.heard_at).nanos() / 1_000_000,
        })
    }

    pub fn all(&self, now: Time) -> Vec<Life> {
        self.lives.keys().filter_map(|id| self.life(now, id)).collect()
    }
}

#[cfg(test)]
mod tests {
    use lynxstair::types::{Span, Time};
    use lynxstair_protocol::messages::{Life, Standing};

    use super::Register;

    fn at(ms: u64) -> Time {
        Time::from_nanos((100_000 + ms) * 1_000_000)
    }

    fn life(seq: u64, standing: Standing, cold_ms: u64) -> Life {
        Life {
            id: "i-1".into(),
            service: "s".into(),
            address: "10.0.0.1:80".parse().expect("one"),
            zone: "z".into(),
            capacity: 3,
            standing,
            cold_ms,
            seq,
            heard_ms: 0,
        }
    }

    /// Late words, ends and cold spells: what is news, and what stands after it.
    #[test]
    fn words_of_a_life() {
        use Standing::{Draining, Gone, Ready, Silent};
        let mut register = Register::default();
        // When, what is said; whether it is news, and how the life stands then.
        let cases = [
            (0, life(4, Ready, 3000), true, Ready),
            (1500, life(5, Ready, 1500), false, Ready),
            (3000, life(6, Ready, 0), false, Ready),
            (4500, life(7, Ready, 3000), true, Ready),
            (4600, life(6, Draining, 0), false, Ready),
            (4700, life(7, Silent, 0), true, Silent),
            (4800, life(7, Ready, 0), false, Silent),
            (5000, life(8, Ready, 0), true, Ready),
            (6000, life(9, Draining, 0), true, Draining),
            (6100, life(10, Ready, 0), false, Draining),
            (7000, life(9, Gone, 0), true, Gone),
            (7100, life(12, Ready, 0), false, Gone),
        ];
        for (ms, life, news, standing) in cases {
            let case = format!("{ms} {life:?}");
            assert_eq!(register.hear(at(ms), &life), news, "{case}");
            assert_eq!(register.lives()["i-1"].standing, standing, "{case}");
        }
    }

    /// What was known before a start stands for a while, is silent unless it speaks, and never goes before a beat.
    #[test]
    fn lives_from_before_a_start() {
        let beat = Span::from_millis(1500);
        let mut register = Register::default();
        register.hear(at(0), &life(9, Standing::Draining, 0));
        register.restore(at(0), &[life(7, Standing::Ready, 0)], beat);
        assert_eq!(register.lives()["i-1"].standing, Standing::Draining);
        let mut register = Register::default();
        register.restore(
            at(0),
            &[life(7, Standing::Ready, 0), Life { id: "i-2".into(), ..life(3, Standing::Gone, 0) }],
            beat,
        );
        assert_eq!((register.lives().len(), register.sweep(at(3000), beat).len()), (1, 0));
        assert_eq!(register.sweep(at(4000), beat), ["i-1"]);
        assert!(register.hear(at(4100), &life(8, Standing::Ready, 0)));
    }

    #[test]
    fn the_silent_are_told_once_and_the_gone_forgotten() {
        let mut register = Register::default();
        let beat = Span::from_millis(1500);
        register.hear(at(0), &life(1, Standing::Ready, 0));
        assert!(register.sweep(at(6000), beat).is_empty());
        assert_eq!(register.sweep(at(7000), beat), ["i-1"]);
        assert!(register.sweep(at(7100), beat).is_empty());
        assert!(register.hear(at(8000), &life(2, Standing::Ready, 0)));
        register.leave(at(9000), "i-1");
        register.sweep(at(100_000), beat);
        assert!(register.lives().is_empty());
    }
}
