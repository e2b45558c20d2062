//! Which huts a process keeps a line to: those that its settings name, and those that it was told of since. Who is
//! long gone is let go of, so that lines to dead addresses do not pile up over many replacements.

use std::net::SocketAddr;

use indexmap::IndexMap;
use lynxstair::types::{Span, Time};

/// No system has more huts than this.
pub const MOST: usize = 16;
/// A hut that was not heard for so long is let go of, unless something else speaks for it.
const UNHEARD: Span = Span::from_millis(30_000);
/// Where there are too many, one that was not heard for so long gives way.
const GIVES_WAY: Span = Span::from_millis(3_000);
/// Who had no line to any hut for so long looks whether the settings name others.
const ALONE: Span = Span::from_millis(2_000);

/// Huts say each half second that they are there: who was not heard for so long is not heard, and a line that has stood
/// for so long and is not heard at its other end is opened anew.
pub const DEAF: Span = Span::from_millis(1_500);

#[derive(Debug)]
struct Known {
    /// Which of the keepers of lines keeps the one to it.
    keeper: u64,
    /// When it was first named, or heard last.
    heard_at: Time,
    /// It was heard, not only named.
    has_spoken: bool,
}

#[derive(Debug)]
pub struct Huts {
    known: IndexMap<SocketAddr, Known>,
    keepers: u64,
    /// When a line to any of them last stood, or the settings were looked at for want of one.
    reached_at: Time,
}

impl Huts {
    pub fn new(now: Time) -> Huts {
        Huts { known: IndexMap::new(), keepers: 0, reached_at: now }
    }

    pub fn all(&self) -> impl Iterator<Item = SocketAddr> {
        self.known.keys().copied()
    }

    pub fn len(&self) -> usize {
        self.known.len()
    }

    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// A hut is named. Where it was not known, the number of the keeper that is to keep a line to it from now on.
    pub fn meet(&mut self, now: Time, hut: SocketAddr) -> Option<u64> {
        if self.known.contains_key(&hut) {
            return None;
        }
        if self.known.len() >= MOST {
            let oldest = self.known.iter().min_by_key(|(_, known)| known.heard_at);
            let (oldest, _) = oldest.filter(|(_, known)| now - known.heard_at > GIVES_WAY)?;
            let oldest = *oldest;
            self.known.shift_remove(&oldest);
        }
        self.keepers += 1;
        self.known.insert(hut, Known { keeper: self.keepers, heard_at: now, has_spoken: false });
        Some(self.keepers)
    }

    /// A hut is there.
    pub fn heard(&mut self, now: Time, hut: SocketAddr) {
        if let Some(known) = self.known.get_mut(&hut) {
            (known.heard_at, known.has_spoken) = (now, true);
        }
    }

    /// Whether a hut was heard a moment ago.
    pub fn hears(&self, now: Time, hut: SocketAddr) -> bool {
        self.known.get(&hut).is_some_and(|known| now - known.heard_at < DEAF)
    }

    /// Those that were heard a moment ago, to be named to others: one that is gone is not handed round for ever.
    pub fn heard_lately(&self, now: Time) -> Vec<SocketAddr> {
        self.all().filter(|hut| self.is_speaking(now, *hut)).collect()
    }

    fn is_speaking(&self, now: Time, hut: SocketAddr) -> bool {
        self.known.get(&hut).is_some_and(|k| k.has_spoken && now - k.heard_at < DEAF)
    }

    /// Whether this keeper still keeps a line to it.
    pub fn is_kept(&self, hut: SocketAddr, keeper: u64) -> bool {
        self.known.get(&hut).is_some_and(|known| known.keeper == keeper)
    }

    /// Lets go of those that were not heard for long, but for those that something else speaks for; how many went.
    pub fn let_go(&mut self, now: Time, speaks_for: impl Fn(SocketAddr) -> bool) -> usize {
        let before = self.known.len();
        self.known.retain(|hut, known| now - known.heard_at <= UNHEARD || speaks_for(*hut));
        before - self.known.len()
    }

    /// A line to one of them stands.
    pub fn reached(&mut self, now: Time) {
        self.reached_at = now;
    }

    /// Whether it is time to look who else there may be; then that counts as done.
    pub fn is_alone(&mut self, now: Time) -> bool {
        let is_alone = now - self.reached_at > ALONE;
        if is_alone {
            self.reached_at = now;
        }
        is_alone
    }
}
