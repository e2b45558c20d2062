//! The part of the quota tolerance that the token buckets of the proxies use. Shared with the quota
//! allocator, which blocks a tenant before full buckets could exceed the tolerance.

/// Fraction of the allowed extra requests (slack) that deepens the buckets. Without it, requests that arrive
/// unevenly at many small buckets are rejected while other buckets have tokens left.
pub const SLACK_DEPTH_FRACTION: f64 = 0.6;
/// Fraction of the allowed overshoot that raises the fill rate of the buckets.
pub const OVERSHOOT_RATE_FRACTION: f64 = 0.4;
/// Minimum depth of a bucket, in tokens. With many proxies a share is less than one token, so all buckets
/// together may hold more than the quota; the allocator then blocks the tenant before it exceeds the
/// tolerance.
pub const MIN_BUCKET_DEPTH: f64 = 4.0;
