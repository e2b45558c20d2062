//! Simulated TCP connections between machines. Messages on an open link arrive once and in order. A cut,
//! which affects one direction, holds messages up; after it has healed they arrive in order, or are lost
//! with the connection. A link can be opened only if neither direction is cut.

use std::collections::{BTreeMap, HashSet};

use lynxstair::types::{Span, Time};

/// The machine that opens a link, and its peer.
pub(crate) type LinkEnds = (usize, usize);

#[derive(Debug)]
struct Link<M> {
    /// Number of the current connection between the two machines.
    connection: u64,
    is_open: bool,
    /// Arrival time of the last message of each direction: from the opener, to the opener.
    last_arrival: [Time; 2],
    /// Messages of each direction that are held up by a cut.
    held: [Vec<M>; 2],
}

#[derive(Debug)]
pub(crate) struct Links<M> {
    links: BTreeMap<LinkEnds, Link<M>>,
    /// Cut directions, by sender and recipient.
    cut: HashSet<LinkEnds>,
}

impl<M> Default for Links<M> {
    fn default() -> Self {
        Links { links: BTreeMap::new(), cut: HashSet::new() }
    }
}

impl<M> Links<M> {
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cut.insert((from, to));
    }

    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cut.contains(&(from, to))
    }

    /// Returns `true` if neither direction between two machines is cut.
    pub fn is_connected(&self, a: usize, b: usize) -> bool {
        !self.is_cut(a, b) && !self.is_cut(b, a)
    }

    pub fn is_open(&self, ends: LinkEnds) -> bool {
        self.links.get(&ends).is_some_and(|link| link.is_open)
    }

    /// Returns the number of the last connection, 0 if there was none.
    pub fn connection_number(&self, ends: LinkEnds) -> u64 {
        self.links.get(&ends).map_or(0, |link| link.connection)
    }

    /// Opens a link. Returns `false` if it is open already or if a direction is cut.
    pub fn open(&mut self, ends: LinkEnds) -> bool {
        if self.is_open(ends) || !self.is_connected(ends.0, ends.1) {
            return false;
        }
        let connection = self.connection_number(ends) + 1;
        let held = [Vec::new(), Vec::new()];
        self.links.insert(ends, Link { connection, is_open: true, last_arrival: [Time::default(); 2], held });
        true
    }

    /// Closes a link and drops the messages that are held up.
    pub fn close(&mut self, ends: LinkEnds) {
        if let Some(link) = self.links.get_mut(&ends) {
            link.is_open = false;
            link.held = [Vec::new(), Vec::new()];
        }
    }

    /// Closes all links of a machine.
    pub fn close_all(&mut self, machine: usize) {
        let links: Vec<LinkEnds> =
            self.links.keys().filter(|(a, b)| *a == machine || *b == machine).copied().collect();
        links.into_iter().for_each(|ends| self.close(ends));
    }

    /// Sends a message. Returns it with its arrival time, or `None` if it is held up or lost.
    pub fn send(
        &mut self,
        now: Time,
        from: usize,
        ends: LinkEnds,
        message: M,
        delay: Span,
    ) -> Option<(Time, M)> {
        let is_cut = self.is_cut(from, if from == ends.0 { ends.1 } else { ends.0 });
        let link = self.links.get_mut(&ends).filter(|link| link.is_open)?;
        let direction = usize::from(from != ends.0);
        if is_cut || !link.held[direction].is_empty() {
            link.held[direction].push(message);
            return None;
        }
        let at = (now + delay).max(link.last_arrival[direction] + Span::from_nanos(1));
        link.last_arrival[direction] = at;
        Some((at, message))
    }

    /// Ends all cuts. `draw_delay` draws the delay of a link's held messages, or `None` if its connection
    /// is lost. Returns these messages with arrival time, sender and link.
    pub fn heal(
        &mut self,
        now: Time,
        mut draw_delay: impl FnMut() -> Option<Span>,
    ) -> Vec<(Time, usize, LinkEnds, M)> {
        self.cut.clear();
        let mut arrivals = Vec::new();
        let mut lost = Vec::new();
        for (ends, link) in &mut self.links {
            if link.held.iter().all(Vec::is_empty) {
                continue;
            }
            let Some(delay) = draw_delay() else {
                lost.push(*ends);
                continue;
            };
            for direction in 0..2 {
                let from = if direction == 0 { ends.0 } else { ends.1 };
                let mut at = (now + delay).max(link.last_arrival[direction]);
                for message in std::mem::take(&mut link.held[direction]) {
                    at = at + Span::from_nanos(1);
                    arrivals.push((at, from, *ends, message));
                }
                link.last_arrival[direction] = at;
            }
        }
        lost.into_iter().for_each(|ends| self.close(ends));
        arrivals
    }
}
