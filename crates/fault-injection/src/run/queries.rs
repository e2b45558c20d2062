//! What processes say of themselves at their control ports, and their CPU.

use super::*;

/// CPU that a process used so far, in seconds.
pub(super) fn cpu(pid: u32) -> Option<f64> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let mut fields = stat.rsplit_once(')')?.1.split_whitespace().skip(11);
    let ticks = fields.next()?.parse::<f64>().ok()? + fields.next()?.parse::<f64>().ok()?;
    Some(ticks / 100.0)
}

/// What a member answers: its phase, and whom it sees as there.
pub(super) fn status(addr: SocketAddrV4) -> Option<(Phase, BTreeSet<String>)> {
    let Response::Status { view, .. } = lynxstair_cluster::request(addr, &Request::Status).ok()? else {
        return None;
    };
    let there = view.members.iter().filter(|m| matches!(m.state, State::Alive | State::Suspected));
    Some((view.phase, there.map(|m| m.name.as_str().to_string()).collect()))
}

/// What a member is with each duty.
pub(super) fn duties(addr: SocketAddrV4) -> Option<Vec<DutyView>> {
    match lynxstair_cluster::request(addr, &Request::LocalRoles).ok()? {
        Response::LocalRoles { duties, .. } => Some(duties),
        _ => None,
    }
}

/// What a member says that it owns, and in which epoch.
pub(super) fn owns(addr: SocketAddrV4) -> Option<BTreeMap<String, u64>> {
    let owned = duties(addr)?.into_iter().filter_map(|d| match d.state {
        HolderState::Owner { epoch } => Some((d.duty, epoch.0)),
        HolderState::Claiming => None,
    });
    Some(owned.collect())
}

/// Whether a member has heard who owns each duty.
pub(super) fn owner_heard(addr: SocketAddrV4) -> Option<bool> {
    Some(duties(addr)?.iter().all(|d| d.owner.is_some()))
}
