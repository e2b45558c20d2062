//! Timer that wakes one coroutine at the earliest requested time.
//!
//! It is a timerfd in the epoll instance of the sockets. A request for a later time than the armed one makes
//! no system call.

use std::io;
use std::os::fd::{AsFd, AsRawFd, RawFd};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use lynxstair::types::{Span, Time};
use may::io::{CoIo, WaitIo};
use nix::sys::time::TimeSpec;
use nix::sys::timerfd::{ClockId, Expiration, TimerFd, TimerFlags, TimerSetTimeFlags};

use crate::clock::Clock;
use crate::log_limited;

/// Delay of a wake-up above which the process is considered to have been stalled.
const STALL_THRESHOLD: Span = Span::from_millis(25);
/// Value of `WakeTimer::armed_for` if the timer is not armed.
const NOT_ARMED: u64 = u64::MAX;

struct TimerFile(TimerFd);

impl AsRawFd for TimerFile {
    fn as_raw_fd(&self) -> RawFd {
        self.0.as_fd().as_raw_fd()
    }
}

/// One-shot timer that one coroutine waits for. Times in its fields are in nanoseconds.
pub struct WakeTimer {
    clock: Clock,
    timer: CoIo<TimerFile>,
    /// Time at which the timer fires.
    armed_for: AtomicU64,
    /// Last time at which the process was known to run without a stall.
    ran_at: AtomicU64,
    /// End of the last stall.
    resumed_at: AtomicU64,
    /// Messages read within this time after a stall count as received during it.
    time_resolution: Span,
}

impl WakeTimer {
    /// Creates a timer that is not armed. Messages read within `time_resolution` after a stall of the process
    /// count as received during it.
    pub fn new(clock: Clock, time_resolution: Span) -> io::Result<Self> {
        let flags = TimerFlags::TFD_NONBLOCK | TimerFlags::TFD_CLOEXEC;
        let timer = TimerFd::new(ClockId::CLOCK_MONOTONIC, flags)?;
        let timer = CoIo::new(TimerFile(timer))?;
        Ok(WakeTimer {
            clock,
            timer,
            armed_for: AtomicU64::new(NOT_ARMED),
            ran_at: AtomicU64::new(clock.now().nanos()),
            resumed_at: AtomicU64::new(0),
            time_resolution,
        })
    }

    /// Arms the timer for `at`, unless it is armed for an earlier time.
    pub fn wake_by(&self, at: Time) {
        if at.nanos() >= self.armed_for.load(Ordering::Relaxed) {
            return;
        }
        self.armed_for.store(at.nanos(), Ordering::Relaxed);
        let wait = (at - self.clock.now()).nanos().max(1);
        let wait = TimeSpec::from_duration(Duration::from_nanos(wait));
        if let Err(e) = self.timer.inner().0.set(Expiration::OneShot(wait), TimerSetTimeFlags::empty()) {
            log_limited!("cannot arm the timer: {e}");
        }
    }

    /// Wakes the coroutine at once. May be called from any thread.
    pub fn wake_now(&self) {
        self.timer.waker().wakeup();
    }

    /// Earliest time at which a message that is read at `now` may have been received.
    ///
    /// This is `now`, or, after a stall, the last time at which the process ran before it. Messages that
    /// arrived during the stall are read before the overdue timer is handled or within `time_resolution`
    /// after it.
    pub fn received_at(&self, now: Time) -> Time {
        let load = |at: &AtomicU64| Time::from_nanos(at.load(Ordering::Relaxed));
        let is_overdue = now > load(&self.armed_for) + STALL_THRESHOLD;
        let has_just_resumed = now < load(&self.resumed_at) + self.time_resolution;
        if is_overdue || has_just_resumed {
            return load(&self.ran_at);
        }
        self.ran_at.store(now.nanos(), Ordering::Relaxed);
        now
    }

    /// Waits until the timer fires or `wake_now` is called, disarms the timer and returns the current time.
    pub fn wait(&self) -> Time {
        self.timer.wait_io();
        let now = self.clock.now();
        let armed_for = Time::from_nanos(self.armed_for.swap(NOT_ARMED, Ordering::Relaxed));
        if now > armed_for + STALL_THRESHOLD {
            log_limited!("process was paused or had no CPU for at least {:.3} s", (now - armed_for).secs());
            self.resumed_at.store(now.nanos(), Ordering::Relaxed);
        } else {
            self.received_at(now);
        }
        now
    }
}
