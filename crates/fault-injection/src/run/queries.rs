//! Queries to the control address of a gatekeeper, and its CPU time.

use super::*;

/// Returns the CPU time that a process has used, in seconds.
pub(super) fn cpu_seconds(pid: u32) -> Option<f64> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let mut fields = stat.rsplit_once(')')?.1.split_whitespace().skip(11);
    let ticks = fields.next()?.parse::<f64>().ok()? + fields.next()?.parse::<f64>().ok()?;
    Some(ticks / 100.0)
}

/// Returns the phase of a member and the names of the members that it sees alive or suspected.
pub(super) fn member_status(addr: SocketAddrV4) -> Option<(Phase, BTreeSet<String>)> {
    let Response::Status { view, .. } = lynxstair_cluster::request(addr, &Request::Status).ok()? else {
        return None;
    };
    let present = view.members.iter().filter(|m| matches!(m.state, State::Alive | State::Suspected));
    Some((view.phase, present.map(|m| m.name.as_str().to_string()).collect()))
}

/// Returns the local role of a member for each duty.
pub(super) fn duties(addr: SocketAddrV4) -> Option<Vec<DutyView>> {
    match lynxstair_cluster::request(addr, &Request::LocalRoles).ok()? {
        Response::LocalRoles { duties, .. } => Some(duties),
        _ => None,
    }
}

/// Returns the duties that a member reports to own, with their epochs.
pub(super) fn owned_duties(addr: SocketAddrV4) -> Option<BTreeMap<String, u64>> {
    let owned = duties(addr)?.into_iter().filter_map(|d| match d.state {
        HolderState::Owner { epoch } => Some((d.duty, epoch.0)),
        HolderState::Claiming => None,
    });
    Some(owned.collect())
}

/// Returns `true` if a member knows an owner of each duty.
pub(super) fn knows_all_owners(addr: SocketAddrV4) -> Option<bool> {
    Some(duties(addr)?.iter().all(|d| d.owner.is_some()))
}
