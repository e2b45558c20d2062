//! The watch of a hut over the workers' lives: what it answers to a worker that speaks, and whether it may say that
//! one has fallen silent. A hut that is cut off from the others hears part of the workers only: it promises nothing,
//! and takes nobody's silence for an end.

use lynxstair::types::{Span, Time};
use lynxstair_protocol::messages::Life;

use crate::instance_registry::Register;

/// A watch that was not looked at for so long stood still: what was said meanwhile may lie unread.
const STOOD: Span = Span::from_millis(1_500);

/// How a hut stands to the majority of the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// Out of touch with it.
    Out,
    /// In touch with the hut that leads it.
    Follows,
    Leads,
}

/// What becomes of a worker's word.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Its life as it stands now, to be told to the other huts; None where nothing is known of it.
    pub life: Option<Life>,
    /// It is told to the road as well.
    pub is_news: bool,
    /// Whether the worker may be told that it was heard. Else it calls the next hut.
    pub is_promised: bool,
}

/// The register of a hut, and how the hut stands.
#[derive(Debug)]
pub struct Watch {
    register: Register,
    beat: Span,
    contact: Contact,
    /// It leads, in touch with the majority, without a break since then.
    leads_since: Option<Time>,
    looked_at: Time,
}

impl Watch {
    /// `beat`: how often a worker speaks.
    pub fn new(now: Time, register: Register, beat: Span) -> Watch {
        Watch { register, beat, contact: Contact::Out, leads_since: None, looked_at: now }
    }

    pub fn register(&self) -> &Register {
        &self.register
    }

    /// How the hut stands now; to be told before each word of a worker and each sweep, once a second at least.
    pub fn stand(&mut self, now: Time, contact: Contact) {
        let stood_still = now - self.looked_at > STOOD;
        self.looked_at = now;
        self.contact = contact;
        self.leads_since = match (contact, self.leads_since) {
            (Contact::Leads, Some(since)) if !stood_still => Some(since),
            (Contact::Leads, _) => Some(now),
            _ => None,
        };
    }

    /// A worker says how it is.
    pub fn beat(&mut self, now: Time, life: &Life) -> Answer {
        let is_news = self.register.hear(now, life);
        self.answer(now, &life.id, is_news)
    }

    /// A worker says that its life ends. Of a life that is not known here nobody could be told: another hut knows it.
    pub fn leave(&mut self, now: Time, id: &str) -> Answer {
        let is_known = self.register.leave(now, id).is_some();
        let answer = self.answer(now, id, is_known);
        Answer { is_promised: answer.is_promised && is_known, ..answer }
    }

    fn answer(&self, now: Time, id: &str, is_news: bool) -> Answer {
        let life = self.register.life(now, id);
        Answer { life, is_news, is_promised: self.contact != Contact::Out }
    }

    /// What another hut tells; what of it is news.
    pub fn hear(&mut self, now: Time, lives: &[Life]) -> Vec<Life> {
        let news: Vec<&Life> = lives.iter().filter(|life| self.register.hear(now, life)).collect();
        news.iter().filter_map(|life| self.register.life(now, &life.id)).collect()
    }

    /// Who has fallen silent, as far as this hut may say so: it leads, in touch, and has done so for as long as makes a
    /// life silent. All huts that acknowledge beats hand them to it, so nobody else has heard them either.
    pub fn sweep(&mut self, now: Time) -> Vec<Life> {
        let silent = self.register.sweep_since(now, self.beat, self.leads_since);
        silent.iter().filter_map(|id| self.register.life(now, id)).collect()
    }
}
