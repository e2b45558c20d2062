//! Handling of one request: admission, attempts at workers, and relay of the worker's reply to the client.

use std::io::Write;
use std::sync::Arc;

use lynxstair::types::{Span, Time};
use lynxstair_net::http::{self, Extent, HttpError, MAX_HEAD_BYTES, RequestMethod};
use lynxstair_net::memory_budget::Reservation;

use crate::admitted_request::AdmittedRequest;
use crate::cancellation::CancelToken;
use crate::client_connection::ClientConnection;
use crate::client_limits::{Limits, MAX_BUFFER_BYTES};
use crate::local_response::LocalResponse;
use crate::outgoing_request::OutgoingRequest;
use crate::proxy::Proxy;
use crate::routing_state::RequestInfo;
use crate::worker_reply::{MAX_PIECE_BYTES, WorkerReply};

/// Time before the request's deadline at which the proxy stops waiting, to respond itself in time.
const DEADLINE_MARGIN: Span = Span::from_millis(4);
/// Maximum length of an attempt id.
const MAX_ATTEMPT_ID_BYTES: usize = 128;
/// Limit of unsent bytes on a client connection above which no more of a long response is read from the worker, and
/// no further request is started.
pub const MAX_UNSENT_BYTES: usize = 256 << 10;
/// Limit of unsent bytes on a client connection above which the relay of a received response is paused. The
/// buffer then has room for the next piece and its head.
const MAX_UNSENT_RECEIVED_BYTES: usize = 1 << 20;
const _: () = assert!(MAX_UNSENT_RECEIVED_BYTES + MAX_PIECE_BYTES + 2 * MAX_HEAD_BYTES <= MAX_BUFFER_BYTES);
/// Interval of checks whether a slow client has read more.
const CLIENT_CHECK_INTERVAL: Span = Span::from_millis(5);
/// Time after the request's deadline by which the worker must have sent the rest of a long response.
const RELAY_GRACE: Span = Span::from_millis(500);

/// A complete request read from a client.
pub struct ReadRequest {
    /// Number of the request on its connection.
    pub number: u64,
    /// Head and body.
    pub bytes: Vec<u8>,
    /// Positions of head and body in `bytes`.
    pub extent: Extent,
    /// Time at which it was read.
    pub read_at: Time,
    /// Memory of `bytes`.
    pub _reservation: Reservation,
}

/// A request after its last attempt.
struct ForwardedRequest {
    method: RequestMethod,
    attempt_id: String,
    /// The reply to relay, or the proxy's own response.
    result: Result<(AdmittedRequest, WorkerReply), LocalResponse>,
}

/// Handles one request; runs in its own coroutine.
pub fn handle(
    proxy: &Arc<Proxy>,
    client: &ClientConnection,
    request: ReadRequest,
    cancel: &Arc<CancelToken>,
) {
    let number = request.number;
    let Some(forwarded) = forward_read(proxy, &request, cancel) else { return client.connection.close() };
    // The response may wait for long until it is its turn and the client has read it.
    drop(request);
    let ForwardedRequest { method, attempt_id, result } = forwarded;
    if cancel.is_cancelled() || !client.wait_for_turn(number) {
        if let Ok((_, reply)) = result {
            proxy.workers.release(reply);
        }
        return;
    }
    let keep_alive = !client.requests().pipeline.closes_after(number, proxy.is_closing());
    let idle_timeout = keep_alive.then(|| Limits::in_force(&proxy.routing()).idle_timeout);
    let connection = client.connection_headers(idle_timeout);
    let is_complete = match result {
        Err(response) => {
            let write = |out: &mut _| response.write(out, method, Some(&attempt_id), &connection, keep_alive);
            client.connection.write(write).is_ok()
        }
        Ok((admitted, reply)) => relay(proxy, client, admitted.deadline, reply, cancel, &connection),
    };
    if is_complete {
        client.requests().pipeline.on_answered(number);
    }
}

/// Forwards a request that was read. Returns `None` if its head is malformed.
fn forward_read(proxy: &Proxy, request: &ReadRequest, cancel: &Arc<CancelToken>) -> Option<ForwardedRequest> {
    let (head, _) = http::parse_request_head(&request.bytes[..request.extent.head]).ok()??;
    let body = &request.bytes[request.extent.body.clone()];
    let attempt_id = head.headers.get("attempt-id").unwrap_or("");
    let result = forward(proxy, &head, body, attempt_id, request.read_at, cancel);
    let method = RequestMethod::from(head.method);
    Some(ForwardedRequest { method, attempt_id: attempt_id.to_string(), result })
}

/// Forwards a request to a worker and retries at others if allowed. Returns the reply to relay, or the
/// proxy's own response.
fn forward(
    proxy: &Proxy,
    head: &http::RequestHead,
    body: &[u8],
    attempt_id: &str,
    read_at: Time,
    cancel: &CancelToken,
) -> Result<(AdmittedRequest, WorkerReply), LocalResponse> {
    let info = read_head(head, attempt_id)?;
    let mut request = proxy.routing().admit(read_at, &info)?;
    request.deadline = request.deadline.saturating_sub(DEADLINE_MARGIN);
    let deadline = request.deadline;
    // Failure reply of the previous attempt, relayed if no retry is possible.
    let mut failure: Option<WorkerReply> = None;
    loop {
        let now = proxy.alarms.now();
        let picked = proxy.routing().pick(now, &mut request);
        let picked = match (picked, failure.take()) {
            (Ok(picked), failure) => {
                failure.into_iter().for_each(|reply| proxy.workers.release(reply));
                picked
            }
            (Err(_), Some(failure)) => return Ok((request, failure)),
            (Err(response), None) => return Err(response),
        };
        let may_forward = |now| proxy.routing().may_forward(now, &request, &picked);
        let tenant = request.tenant.as_deref();
        let outgoing = OutgoingRequest { head, body, tenant, attempt_id, may_forward: &may_forward };
        let result = proxy.workers.forward(&proxy.alarms, &picked.worker, &outgoing, deadline, cancel);
        let now = proxy.alarms.now();
        let (outcome, execution) = (result.outcome, result.execution);
        proxy.routing().on_attempt_ended(now, &mut request, &picked, outcome, execution);
        match result.reply {
            Some(reply) if execution.may_retry(request.kind.is_idempotent()) => failure = Some(reply),
            Some(reply) => return Ok((request, reply)),
            None if cancel.is_cancelled() => return Err(LocalResponse::new(502, "the client has left")),
            None => {}
        }
    }
}

/// Extracts the parts of a request head that routing needs.
fn read_head<'a>(head: &http::RequestHead<'a>, attempt_id: &str) -> Result<RequestInfo<'a>, LocalResponse> {
    let headers = &head.headers;
    let single =
        |name| headers.single(name).map_err(|_: HttpError| LocalResponse::new(400, "a header twice"));
    let path = head.target.split(['?', '#']).next().unwrap_or("");
    let host = single("host")?.unwrap_or("");
    let key = single("authorization")?.and_then(|value| value.split_once(' '));
    let key = key.filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"));
    single("attempt-id")?;
    let time_left_ms = single("time-left-ms")?.and_then(|value| value.parse::<f64>().ok());
    if attempt_id.is_empty() || attempt_id.len() > MAX_ATTEMPT_ID_BYTES {
        return Err(LocalResponse::new(400, "no Attempt-Id"));
    }
    let time_left = time_left_ms.map(|ms| Span::from_secs(ms / 1000.0));
    Ok(RequestInfo { host, path, key: key.map(|(_, key)| key.trim()), time_left })
}

/// Relays a worker's reply, no faster than the client reads. Returns `false` if it could not be written
/// completely.
fn relay(
    proxy: &Proxy,
    client: &ClientConnection,
    deadline: Time,
    mut reply: WorkerReply,
    cancel: &CancelToken,
    connection: &str,
) -> bool {
    // Returns `false` if the client has not read enough by the deadline.
    let wait_for_client = |max_unsent: usize| {
        while client.connection.unsent() > max_unsent {
            if client.connection.is_closed() || cancel.is_cancelled() || proxy.alarms.now() >= deadline {
                return false;
            }
            proxy.alarms.sleep_until(proxy.alarms.now() + CLIENT_CHECK_INTERVAL);
        }
        true
    };
    let write = |piece: &[u8]| client.connection.write(|out| out.write_all(piece)).is_ok();
    // If the relay stops early, the client detects it by `Content-Length`.
    let is_complete = wait_for_client(MAX_UNSENT_RECEIVED_BYTES)
        && client.connection.write(|out| reply.write_head(out, connection)).is_ok()
        && reply.relay_received(|| wait_for_client(MAX_UNSENT_RECEIVED_BYTES), write)
        && reply.relay_remaining(
            &proxy.alarms,
            deadline + RELAY_GRACE,
            cancel,
            || wait_for_client(MAX_UNSENT_BYTES),
            write,
        );
    proxy.workers.release(reply);
    is_complete
}
