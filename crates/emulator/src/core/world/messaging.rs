//! Links between processes: opening them, sending messages and handling received ones.

use super::*;

impl World {
    pub(super) fn send(&mut self, ends: LinkEnds, from: usize, message: LinkMessage) {
        let delay = self.draw_network_delay();
        if let Some((at, message)) = self.links.send(self.now, from, ends, message, delay) {
            self.schedule_arrival(at, from, ends, message);
        }
    }

    pub(super) fn schedule_arrival(&mut self, at: Time, from: usize, ends: LinkEnds, message: LinkMessage) {
        let to = if from == ends.0 { ends.1 } else { ends.0 };
        let connection = self.links.connection_number(ends);
        self.schedule_process_event(to, at, ProcessEvent::Receive { ends, connection, from, message });
    }

    /// Keeps a link to another controller open from now on. A controller also sends its list to the proxies.
    pub(super) fn add_known_controller(&mut self, machine: usize, controller: usize) {
        if machine != controller && !self.machines[machine].known_controllers.contains(&controller) {
            self.machines[machine].known_controllers.push(controller);
            if machine >= PROXY_COUNT {
                let controllers = ToProxy::Controllers {
                    controllers: self.machines[machine]
                        .known_controllers
                        .iter()
                        .map(|c| address(*c))
                        .collect(),
                    is_complete: false,
                };
                for proxy in 0..PROXY_COUNT {
                    self.send((proxy, machine), machine, LinkMessage::ToProxy(Box::new(controllers.clone())));
                }
            }
        }
    }

    /// Opens the missing links to known controllers and sends the first messages on them.
    pub(super) fn open_links(&mut self, machine: usize) {
        for to in self.machines[machine].known_controllers.clone() {
            if self.machines[to].process.is_none() || !self.links.open((machine, to)) {
                continue;
            }
            let now = self.clock(machine);
            match &mut self.machines[machine].process {
                Some(Process::Controller(controller)) => {
                    let instances = controller.detector.registry().snapshot(now);
                    controller.consensus.on_peer_connected(address(to));
                    self.send((machine, to), machine, LinkMessage::Instances(instances));
                    self.send_peer_heartbeats(machine);
                }
                Some(Process::Proxy(proxy)) => {
                    // After a reconnection the proxy may have missed updates.
                    let wants_instances =
                        !proxy.has_instances || self.links.connection_number((machine, to)) > 1;
                    self.send((machine, to), machine, LinkMessage::Subscribe { wants_instances });
                    self.send_proxy_heartbeats(machine, Some(to));
                }
                None => {}
            }
        }
        let retry_delay = if machine < PROXY_COUNT { ms(150) } else { ms(60) };
        self.schedule_process_event(machine, self.now + retry_delay, ProcessEvent::OpenLinks);
    }

    /// Sends a heartbeat with the connected controllers to all known controllers.
    pub(super) fn send_peer_heartbeats(&mut self, machine: usize) {
        let known_controllers = self.machines[machine].known_controllers.clone();
        let known_peers: Vec<usize> =
            known_controllers.iter().copied().filter(|c| self.links.is_open((machine, *c))).collect();
        for to in known_controllers {
            self.send(
                (machine, to),
                machine,
                LinkMessage::PeerHeartbeat { known_peers: known_peers.clone() },
            );
        }
    }

    /// Sends a heartbeat of a proxy to its known controllers, or to one of them.
    pub(super) fn send_proxy_heartbeats(&mut self, proxy: usize, only: Option<usize>) {
        let clock = self.clock(proxy).nanos();
        let Some(revision) = self.proxy(proxy).map(Proxy::delta_base) else { return };
        for controller in self.machines[proxy]
            .known_controllers
            .clone()
            .into_iter()
            .filter(|c| only.is_none_or(|o| o == *c))
        {
            self.send((proxy, controller), proxy, LinkMessage::Heartbeat { clock, revision });
        }
    }

    pub(super) fn receive(&mut self, machine: usize, from: usize, message: LinkMessage) {
        let now = self.clock(machine);
        let mut respond_to = None;
        match (&mut self.machines[machine].process, message) {
            (Some(Process::Controller(controller)), message) => match message {
                LinkMessage::Consensus(message) => {
                    controller.handle_consensus_message(now, address(from), *message);
                    self.add_known_controller(machine, from);
                }
                LinkMessage::Instances(instances) => {
                    controller.handle_instances(now, address(from), &instances);
                    self.add_known_controller(machine, from);
                }
                LinkMessage::PeerHeartbeat { known_peers } => {
                    controller.handle_peer_heartbeat(now, address(from));
                    self.add_known_controller(machine, from);
                    known_peers
                        .into_iter()
                        .for_each(|controller| self.add_known_controller(machine, controller));
                }
                LinkMessage::Subscribe { wants_instances } => {
                    controller.subscribe(now, from, wants_instances);
                    let controllers = self.machines[machine].known_controllers.iter().chain([&machine]);
                    let controllers = ToProxy::Controllers {
                        controllers: controllers.map(|c| address(*c)).collect(),
                        is_complete: false,
                    };
                    self.send((from, machine), machine, LinkMessage::ToProxy(Box::new(controllers)));
                }
                LinkMessage::Heartbeat { clock, revision } => {
                    controller.handle_proxy_heartbeat(now, from, clock, revision)
                }
                LinkMessage::ToProxy(_) => {}
            },
            (Some(Process::Proxy(proxy)), LinkMessage::ToProxy(message)) => {
                if let ToProxy::Controllers { controllers, .. } = &*message {
                    for controller in controllers.clone() {
                        self.add_known_controller(machine, self::machine(controller));
                    }
                } else if proxy.handle_message(now, *message) {
                    respond_to = Some(from);
                }
            }
            _ => {}
        }
        if let Some(from) = respond_to {
            self.send_proxy_heartbeats(machine, Some(from));
        }
        self.execute_outputs(machine);
    }
}
