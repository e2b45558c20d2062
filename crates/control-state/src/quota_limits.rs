//! How much of what the operators grant beyond a quota the token buckets of all proxies use. The allocator has to know
//! it as well: it blocks a tenant before full buckets could exceed the grant.

/// The fraction of the granted extra requests that goes into deeper buckets, as requests that arrive unevenly at many
/// small buckets would be rejected with tokens left elsewhere.
pub const SLACK_DEPTH_FRACTION: f64 = 0.6;
/// The fraction of the granted overshoot that goes into a higher fill rate.
pub const OVERSHOOT_RATE_FRACTION: f64 = 0.4;
/// The least depth of a bucket, in tokens. With many proxies a share is less than a token. All buckets together could
/// then hold more than the quota; the allocator blocks the tenant before they let it through.
pub const MIN_BUCKET_DEPTH: f64 = 4.0;
