//! Limits on what callers may make a controller hold, from the limits of its process.

use lynxstair_config::settings::Limits;
use lynxstair_net::server::ServerLimits;

/// File descriptors reserved for files, the database and outgoing connections.
const RESERVED_DESCRIPTORS: usize = 300;
/// Least number of descriptors for accepted connections.
const MIN_DESCRIPTORS: usize = 32;
/// Fractions of the other descriptors that each listener may use. The rest is for the internal one.
const CONTROL_FRACTION: f64 = 0.35;
const DIRECTORY_FRACTION: f64 = 0.2;
/// Longest body of a worker's or an operator's request, in bytes.
const MAX_CONTROL_BODY_BYTES: usize = 8 << 20;
/// Longest body of a look-up, in bytes.
const MAX_DIRECTORY_BODY_BYTES: usize = 1024;
/// The connections of callers may take the memory limit divided by this. Most of the rest is for the state of the
/// controller and for its internal connections.
const CONNECTION_MEMORY_DIVISOR: usize = 4;
/// The texts of commands that are handled at the same time may take the memory limit divided by this: a parsed one
/// takes about twenty times as much as its text.
const COMMAND_MEMORY_DIVISOR: usize = 64;
/// Known worker instances may take the memory limit divided by this.
const INSTANCE_MEMORY_DIVISOR: usize = 16;
/// Memory of an instance, with what is encoded of it to be stored and sent, in bytes.
const INSTANCE_BYTES: usize = 1 << 10;

/// Limits of a controller.
#[derive(Clone, Copy, Debug)]
pub struct ProcessLimits {
    /// Limits of the control address, for workers and operators.
    pub control: ServerLimits,
    /// Limits of the directory address, for look-ups of clients.
    pub directory: ServerLimits,
    /// Maximum number of incoming connections of controllers and proxies.
    pub max_internal: usize,
    /// Memory that the connections of callers may take together, in bytes.
    pub connection_bytes: usize,
    /// Bytes of commands that may be handled at the same time. A single command may be longer.
    pub command_bytes: usize,
    /// Maximum number of known worker instances. Heartbeats of further ones are not acknowledged.
    pub max_instances: usize,
}

impl ProcessLimits {
    /// Splits the limits of the process.
    pub fn new(limits: &Limits) -> ProcessLimits {
        let memory_bytes = (limits.memory_mb << 20) as usize;
        let descriptors = limits.max_fds.saturating_sub(RESERVED_DESCRIPTORS).max(MIN_DESCRIPTORS);
        let part = |fraction: f64| (descriptors as f64 * fraction) as usize;
        let (control, directory) = (part(CONTROL_FRACTION), part(DIRECTORY_FRACTION));
        ProcessLimits {
            control: ServerLimits { max_body_bytes: MAX_CONTROL_BODY_BYTES, max_connections: control },
            directory: ServerLimits { max_body_bytes: MAX_DIRECTORY_BODY_BYTES, max_connections: directory },
            max_internal: descriptors - control - directory,
            connection_bytes: memory_bytes / CONNECTION_MEMORY_DIVISOR,
            command_bytes: memory_bytes / COMMAND_MEMORY_DIVISOR,
            max_instances: memory_bytes / INSTANCE_MEMORY_DIVISOR / INSTANCE_BYTES,
        }
    }
}
