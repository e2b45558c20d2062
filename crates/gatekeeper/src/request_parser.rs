//! Parses client requests. Requests that the settings do not allow are rejected here, so that they are not
//! charged to a tenant.

use lynxstair::types::{OperationId, PlanId, Request, RequestId, Span, TenantId, Time};
use lynxstair_net::http::{HttpError, RequestHead};
use lynxstair_settings::{Names, OperationBounds, RequestBounds};

/// Tenant numbers are below this value.
const TENANT_LIMIT: u64 = 1 << 33;
/// Maximum length of a request id, in bytes.
const MAX_ID_BYTES: usize = 128;
/// Path of the readiness check.
const READINESS_PATH: &str = "/up";

/// A parsed client request.
pub enum ClientRequest<'a> {
    /// Readiness check.
    Readiness,
    /// Request to forward, and the id that the client chose for it.
    Forward(Request, &'a str),
}

/// Parses requests according to the settings.
pub struct RequestParser {
    names: Names,
    bounds: RequestBounds,
}

impl RequestParser {
    /// Creates a parser with the names and limits of the settings.
    pub fn new(names: Names, bounds: RequestBounds) -> Self {
        RequestParser { names, bounds }
    }

    /// Parses a request that was received at `received_at`. The dispatcher assigns its `RequestId` later.
    ///
    /// Fails if the request is malformed or not allowed by the settings.
    pub fn parse<'a>(
        &self,
        head: &RequestHead<'a>,
        received_at: Time,
    ) -> Result<ClientRequest<'a>, HttpError> {
        let path = head.target.split(['?', '#']).next().unwrap_or("");
        if path == READINESS_PATH {
            return Ok(ClientRequest::Readiness);
        }
        let path = path.strip_prefix('/').ok_or(HttpError::new(400, "bad target"))?;
        let name = path.split('/').next().unwrap_or("");
        let operation =
            position(&self.names.operations, name).ok_or(HttpError::new(404, "unknown operation"))?;
        let OperationBounds { integration_timeout, is_idempotent } = self.bounds.operations[operation];
        check_method(head.method, is_idempotent)?;
        let header = |name| head.headers.single(name);
        let id = header("request-id")?.ok_or(HttpError::new(400, "no id"))?;
        if id.is_empty() || id.len() > MAX_ID_BYTES {
            return Err(HttpError::new(400, "bad id"));
        }
        let plan = header("x-tariff")?.ok_or(HttpError::new(400, "no plan"))?;
        let plan = position(&self.names.plans, plan).ok_or(HttpError::new(400, "unknown plan"))?;
        let tenant = parse_tenant(header("cookie")?)?;
        let time_limit = header("request-timeout-ms")?.ok_or(HttpError::new(400, "no time limit"))?;
        let time_limit: u32 = time_limit.parse().map_err(|_| HttpError::new(400, "bad time limit"))?;
        // Clients wait no longer than the integration time-out of the operation.
        let time_limit = Span::from_millis(u64::from(time_limit)).min(integration_timeout);
        let weight = parse_weight(header("x-weight")?.unwrap_or(""), &self.bounds)?;
        let request = Request {
            id: RequestId::default(),
            deadline: received_at + time_limit,
            tenant,
            operation: OperationId(operation as u8),
            plan: PlanId(plan as u16),
            spread: weight.spread,
            units: weight.units,
        };
        Ok(ClientRequest::Forward(request, id))
    }
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

fn check_method(method: &str, is_idempotent: bool) -> Result<(), HttpError> {
    let is_allowed = if is_idempotent { method == "GET" } else { matches!(method, "POST" | "PUT" | "PATCH") };
    if is_allowed { Ok(()) } else { Err(HttpError::new(405, "bad method")) }
}

/// Parses the tenant from the cookie `key`, a hexadecimal number.
fn parse_tenant(cookies: Option<&str>) -> Result<TenantId, HttpError> {
    let cookies = cookies.ok_or(HttpError::new(400, "no key"))?;
    let key = cookies.split(';').find_map(|cookie| cookie.trim().strip_prefix("key="));
    let key = key.ok_or(HttpError::new(400, "no key"))?;
    let number = u64::from_str_radix(key, 16).ok();
    let tenant = number.filter(|number| *number < TENANT_LIMIT && !key.starts_with('+'));
    tenant.map(TenantId).ok_or(HttpError::new(400, "bad key"))
}

/// Values of the header `X-Weight`; NaN if not given.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Weight {
    /// Units of the quota that the request uses.
    units: f32,
    /// Number of gatekeepers that may receive the tenant's requests.
    spread: f32,
}

fn parse_weight(text: &str, bounds: &RequestBounds) -> Result<Weight, HttpError> {
    const BAD: HttpError = HttpError::new(400, "bad weight");
    let (mut units, mut spread, mut first) = (None, None, None);
    for part in text.split(',') {
        let Some((name, value)) = part.split_once('=') else { continue };
        let value = value.trim();
        let integer = || value.parse::<u32>().ok().filter(|_| !value.starts_with('+'));
        let is_repeated = match name.trim() {
            "units" => {
                let number = value.parse::<f32>().ok().filter(|n| *n > 0.0 && *n <= bounds.max_units);
                units.replace(number.ok_or(BAD)?).is_some()
            }
            "spread" => {
                let number = integer().filter(|n| (1..=bounds.max_gatekeepers).contains(n));
                spread.replace(number.ok_or(BAD)?).is_some()
            }
            "first" => first.replace(integer().filter(|n| *n < bounds.max_gatekeepers).ok_or(BAD)?).is_some(),
            _ => false,
        };
        if is_repeated {
            return Err(BAD);
        }
    }
    Ok(Weight { units: units.unwrap_or(f32::NAN), spread: spread.map_or(f32::NAN, |s| s as f32) })
}

#[cfg(test)]
mod tests;
