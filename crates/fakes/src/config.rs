//! Boot configurations of a gatekeeper that uses the fakes.

use std::net::SocketAddr;

const SETTINGS: &str = r#"{"areas":["z"],"shapes":["k"],"balancers":2,"me":0,"myZone":0,"step":4000000,"family":"gate",
 "classes":[{"name":"get","onTime":2000000000,"deadline":4000000000,"idempotency":"retryable","group":"all","points":1},
            {"name":"put","onTime":2000000000,"deadline":4000000000,"idempotency":"fragile","group":"all","points":1}],
 "packages":[{"name":"wide","refill":1000,"depth":1000,"pays":1},{"name":"narrow","refill":0.5,"depth":4,"pays":1}],
 "familyInfo":{"mayCount":true,"maxUnits":4,"counterTimeout":50000000},
 "limits":{"cancel":true,"connectTimeout":250000000,"idleClose":1500000000,"maxAttempts":3,"maxRetryAfter":1000000000,
           "probes":true,"retryAfter":true,"secondCopies":true},
 "rules":{"fall":2000000000,"fallMultiple":2,"startCapacity":0.2,"stopSendingWithin":250000000,"warmWithin":10000000000}}"#;

/// Returns the configuration of a gatekeeper named `n0`. `known` is the initial list of workers, as JSON.
pub fn gatekeeper_config(
    listen: SocketAddr,
    known: &str,
    counter: SocketAddr,
    discovery: SocketAddr,
) -> String {
    named_gatekeeper_config("n0", listen, known, counter, discovery)
}

/// Returns the configuration of the gatekeeper `name`. `known` is the initial list of workers, as JSON.
pub fn named_gatekeeper_config(
    name: &str,
    listen: SocketAddr,
    known: &str,
    counter: SocketAddr,
    discovery: SocketAddr,
) -> String {
    format!(
        r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","counter":"{counter}",
        "seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":256}},"known":{known},
        "settings":{SETTINGS}}}"#
    )
}
