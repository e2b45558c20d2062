//! Compatibility of the message encoding: guards against renamed or removed fields and variants. Golden
//! files are decoded and encoded again. `WRITE_GOLDEN=1` creates missing files.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use lynxstair_protocol::consensus::{LogId, Member, Message, ReplicatedState};
use lynxstair_protocol::frames;
use lynxstair_protocol::messages::{
    Bytes, Instance, InstanceState, ProxyHeartbeat, ProxyInfo, ProxyStatus, QuotaAccountId, QuotaGrants,
    QuotaReport, QuotaShare, Readiness, SpentTokens, TenantUsage, ToController, ToProxy, TokenCounts,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Checks that the value encodes to the golden file and that the golden file decodes to the value.
fn check<T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug>(name: &str, value: &T) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(format!("{name}.cbor"));
    let mut written = Vec::new();
    frames::encode(value, &mut written);
    if !path.exists() && std::env::var_os("WRITE_GOLDEN").is_some() {
        std::fs::create_dir_all(path.parent().expect("path has a parent directory"))
            .expect("creates the directory");
        std::fs::write(&path, &written).expect("writes the golden file");
    }
    let stored = std::fs::read(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    assert_eq!(written, stored, "{name}: encoded message differs from the golden file");
    let (read, length) = frames::decode::<T>(&stored).expect("valid frame").expect("complete frame");
    assert_eq!((&read, length), (value, stored.len()), "{name}");
}

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 8383))
}

fn proxy_info() -> ProxyInfo {
    ProxyInfo {
        node: "edge-1".into(),
        zone: "zone-1".into(),
        region: "region-1".into(),
        client_address: address(7),
        incarnation: 77,
    }
}

fn instance(instance_state: InstanceState) -> Instance {
    Instance {
        id: "i-1".into(),
        service: "s".into(),
        address: address(9),
        zone: "zone-1".into(),
        capacity: 6,
        state: instance_state,
        warming_up_ms: 1500,
        call_seq: 12,
        heartbeat_age_ms: 250,
        is_unconfirmed: false,
    }
}

fn heartbeat(readiness: Readiness, shares: Option<Vec<(String, f32)>>) -> ProxyHeartbeat {
    let usage = TenantUsage { tenant: "t".into(), admitted: 5, rejected: 2, age_ms: 30 };
    ProxyHeartbeat {
        clock: 123_456_789,
        revision: 4,
        readiness,
        received_shares_number: 3,
        membership_revision: 0,
        usage: vec![usage],
        held_shares: shares,
        quota: None,
    }
}

fn state() -> ReplicatedState {
    ReplicatedState {
        voters: vec![Member { node: address(1), disk: 0 }, Member { node: address(2), disk: 0xfeed }],
        outgoing_voter: Some(Member { node: address(3), disk: 5 }),
        config: Bytes(Arc::new(vec![1, 2, 3])),
    }
}

#[test]
fn messages_of_consensus_keep_their_stored_names() {
    let last = LogId { term: 4, index: 9 };
    let all = [
        ("request-vote", Message::RequestVote { term: 5, last, is_pre_vote: true }),
        ("vote-reply", Message::VoteReply { term: 5, granted: true, is_pre_vote: false, disk: 8 }),
        (
            "append",
            Message::Append {
                term: 5,
                round: 6,
                last,
                state: Some(state()),
                committed: LogId { term: 4, index: 8 },
                clock_echo: 99,
                confirmed_ns_ago: Some(7),
            },
        ),
        ("append-reply", Message::AppendReply { term: 5, round: 6, stored: last, disk: 8, clock: 98 }),
        ("timeout-now", Message::TimeoutNow { term: 5 }),
        ("leaving", Message::LeaveRequest { disk: 8 }),
    ];
    for (name, message) in all {
        check(&format!("consensus-{name}"), &ToController::Consensus(message));
    }
}

fn token_counts() -> TokenCounts {
    let tenant = "t".into();
    TokenCounts { tenant, granted: 9, used: 4, age_ms: 130, returned: 2, admitted: 6, rejected: 1 }
}

#[test]
fn quota_tokens_keep_their_stored_names() {
    let account = Some(QuotaAccountId { term: 5, number: 17 });
    let report = QuotaReport {
        term: 6,
        account,
        given_up: QuotaAccountId::default(),
        uptime_ms: 61_000,
        counts: vec![token_counts()],
        spent: Some(vec![SpentTokens { tenant: "t".into(), count: 3, age_ms: 1_200 }]),
    };
    let with_quota = |report| {
        let heartbeat = heartbeat(Readiness::Ready, None);
        ToController::Heartbeat(ProxyHeartbeat { usage: Vec::new(), quota: Some(report), ..heartbeat })
    };
    check("to-controller-ping-quota", &with_quota(report));
    check("to-controller-ping-quota-empty", &with_quota(QuotaReport::default()));
    let granted = TokenCounts { tenant: "t".into(), granted: 9, ..TokenCounts::default() };
    check(
        "to-proxy-pong-quota",
        &ToProxy::HeartbeatAck {
            clock: 123_456_789,
            revision: 4,
            confirmed_ms_ago: Some(15),
            is_leader: true,
            knows_instances: false,
            quota: Some(QuotaGrants { term: 6, account, tokens: vec![granted], wait_ms: 0 }),
        },
    );
}

#[test]
fn messages_to_controllers_keep_their_stored_names() {
    let status = |readiness| ProxyStatus { proxy: proxy_info(), readiness };
    check("to-controller-hello", &ToController::Subscribe { proxy: proxy_info(), wants_instances: true });
    check(
        "to-controller-ping",
        &ToController::Heartbeat(heartbeat(Readiness::Ready, Some(vec![("t".into(), 0.25)]))),
    );
    let with_membership = ProxyHeartbeat { membership_revision: 7, ..heartbeat(Readiness::Ready, None) };
    check("to-controller-ping-membership", &ToController::Heartbeat(with_membership));
    check("to-controller-ping-stale", &ToController::Heartbeat(heartbeat(Readiness::Stale, None)));
    let peer_heartbeat = |confirms_departures| ToController::PeerHeartbeat {
        from: address(1),
        hears_recipient: true,
        known_peers: vec![address(2)],
        confirms_departures,
    };
    check("to-controller-core", &peer_heartbeat(false));
    check("to-controller-core-confirms", &peer_heartbeat(true));
    check("to-controller-stored", &ToController::DeparturesStored(vec!["i-1".into(), "i-2".into()]));
    let all = [
        Readiness::Ready,
        Readiness::Stale,
        Readiness::Starting,
        Readiness::ShuttingDown,
        Readiness::Disconnected,
    ];
    let all_statuses = all.map(status).to_vec();
    check(
        "to-controller-sightings",
        &ToController::ProxyStatuses { statuses: all_statuses, is_snapshot: true, is_complete: false },
    );
    let all = [
        InstanceState::Ready,
        InstanceState::Draining,
        InstanceState::Unresponsive,
        InstanceState::Deregistered,
    ];
    check("to-controller-heard", &ToController::InstanceUpdates(all.map(instance).to_vec()));
}

#[test]
fn messages_to_proxies_keep_their_stored_names() {
    let share = QuotaShare { tenant: "t".into(), fraction: 0.5, blocked_ms: 900, throttled_ms: 5900 };
    check("to-proxy-book", &ToProxy::Config { revision: 4, update: Bytes(Arc::new(vec![4, 5])) });
    check(
        "to-proxy-lives",
        &ToProxy::Instances { instances: vec![instance(InstanceState::Ready)], is_snapshot: false },
    );
    check(
        "to-proxy-pong",
        &ToProxy::HeartbeatAck {
            clock: 123_456_789,
            revision: 4,
            confirmed_ms_ago: Some(15),
            is_leader: true,
            knows_instances: false,
            quota: None,
        },
    );
    check(
        "to-proxy-pong-knows-lives",
        &ToProxy::HeartbeatAck {
            clock: 123_456_789,
            revision: 4,
            confirmed_ms_ago: Some(15),
            is_leader: true,
            knows_instances: true,
            quota: None,
        },
    );
    check("to-proxy-shares", &ToProxy::QuotaShares { number: 3, shares: vec![share] });
    check("to-proxy-zones", &ToProxy::ProxyCounts(vec![("zone-1".into(), 4)]));
    check(
        "to-proxy-huts",
        &ToProxy::Controllers { controllers: vec![address(1), address(2)], is_complete: true },
    );
}
