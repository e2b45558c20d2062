//! How words go over lines in the world: what a machine says when a line opens, and what is heard.

use super::*;

impl World {
    pub(super) fn send(&mut self, ends: Ends, from: usize, word: Word) {
        let way = self.way();
        if let Some((at, word)) = self.lines.send(self.now, from, ends, word, way) {
            self.arrives(at, from, ends, word);
        }
    }

    pub(super) fn arrives(&mut self, at: Time, from: usize, ends: Ends, word: Word) {
        let to = if from == ends.0 { ends.1 } else { ends.0 };
        let line = self.lines.instance(ends);
        self.plan_at(to, at, Event::Hears { ends, line, from, word });
    }

    /// Keeps a line to another controller from now on.
    pub(super) fn knows(&mut self, machine: usize, controller: usize) {
        if machine != controller && !self.machines[machine].known.contains(&controller) {
            self.machines[machine].known.push(controller);
            if machine >= EDGES {
                let controllers = ToProxy::Controllers {
                    controllers: self.machines[machine].known.iter().map(|h| address(*h)).collect(),
                    is_complete: false,
                };
                for edge in 0..EDGES {
                    self.send((edge, machine), machine, Word::ToProxy(Box::new(controllers.clone())));
                }
            }
        }
    }

    pub(super) fn opens(&mut self, machine: usize) {
        for to in self.machines[machine].known.clone() {
            if self.machines[to].process.is_none() || !self.lines.open((machine, to)) {
                continue;
            }
            let now = self.clock(machine);
            match &mut self.machines[machine].process {
                Some(Process::Controller(controller)) => {
                    let instances = controller.detector.registry().snapshot(now);
                    controller.consensus.on_peer_connected(address(to));
                    self.send((machine, to), machine, Word::Heard(instances));
                    self.says_here(machine);
                }
                Some(Process::Edge(edge)) => {
                    // What it missed while it had no line, it is told.
                    let instances = !edge.has_instances || self.lines.instance((machine, to)) > 1;
                    self.send((machine, to), machine, Word::Hello { instances });
                    self.pings(machine, Some(to));
                }
                None => {}
            }
        }
        let again = if machine < EDGES { ms(150) } else { ms(60) };
        self.plan_at(machine, self.now + again, Event::Lines);
    }

    /// A controller says to those it has lines to that it is there, and which others it has a line to.
    pub(super) fn says_here(&mut self, machine: usize) {
        let known = self.machines[machine].known.clone();
        let controllers: Vec<usize> =
            known.iter().copied().filter(|h| self.lines.is_open((machine, *h))).collect();
        for to in known {
            self.send((machine, to), machine, Word::Here { controllers: controllers.clone() });
        }
    }

    pub(super) fn pings(&mut self, edge: usize, only: Option<usize>) {
        let clock = self.clock(edge).nanos();
        let Some(have) = self.edge(edge).map(Edge::have) else { return };
        for controller in
            self.machines[edge].known.clone().into_iter().filter(|h| only.is_none_or(|o| o == *h))
        {
            self.send((edge, controller), edge, Word::Ping { clock, have });
        }
    }

    pub(super) fn hears(&mut self, machine: usize, from: usize, word: Word) {
        let now = self.clock(machine);
        let mut pings = None;
        match (&mut self.machines[machine].process, word) {
            (Some(Process::Controller(controller)), word) => match word {
                Word::Agreement(message) => {
                    controller.hear(now, address(from), *message);
                    self.knows(machine, from);
                }
                Word::Heard(instances) => {
                    controller.hear_instances(now, address(from), &instances);
                    self.knows(machine, from);
                }
                Word::Here { controllers } => {
                    controller.here(now, address(from));
                    self.knows(machine, from);
                    controllers.into_iter().for_each(|controller| self.knows(machine, controller));
                }
                Word::Hello { instances } => {
                    controller.follow(now, from, instances);
                    let controllers = self.machines[machine].known.iter().chain([&machine]);
                    let controllers = ToProxy::Controllers {
                        controllers: controllers.map(|h| address(*h)).collect(),
                        is_complete: false,
                    };
                    self.send((from, machine), machine, Word::ToProxy(Box::new(controllers)));
                }
                Word::Ping { clock, have } => controller.ping(now, from, clock, have),
                Word::ToProxy(_) => {}
            },
            (Some(Process::Edge(edge)), Word::ToProxy(word)) => {
                if let ToProxy::Controllers { controllers, .. } = &*word {
                    for controller in controllers.clone() {
                        self.knows(machine, self::machine(controller));
                    }
                } else if edge.hear(now, *word) {
                    pings = Some(from);
                }
            }
            _ => {}
        }
        if let Some(from) = pings {
            self.pings(machine, Some(from));
        }
        self.after(machine);
    }
}
