//! Wakes one coroutine when the next thing is due. A timerfd in the same epoll as the sockets: no second thread, no polling,
//! and no system call where what is due comes after what is set already.

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

/// A wake-up that is late by this much means that the process was stalled: half of what replies may be late by.
const STALL_THRESHOLD: Span = Span::from_millis(25);
/// The timer is not set.
const NEVER: u64 = u64::MAX;

struct TimerFile(TimerFd);

impl AsRawFd for TimerFile {
    fn as_raw_fd(&self) -> RawFd {
        self.0.as_fd().as_raw_fd()
    }
}

/// The timer that one coroutine waits for. All times are in nanoseconds.
pub struct WakeTimer {
    clock: Clock,
    timer: CoIo<TimerFile>,
    /// When it goes off.
    armed: AtomicU64,
    /// When the process was last seen to run.
    ran_at: AtomicU64,
    /// When it was last found to have been stalled.
    resumed_at: AtomicU64,
    /// Messages that are read within one step count as received at once.
    step: Span,
}

impl WakeTimer {
    /// A timer that is not set. `step`: messages that are read within it count as received at once.
    pub fn new(clock: Clock, step: Span) -> io::Result<Self> {
        let flags = TimerFlags::TFD_NONBLOCK | TimerFlags::TFD_CLOEXEC;
        let timer = TimerFd::new(ClockId::CLOCK_MONOTONIC, flags)?;
        let timer = CoIo::new(TimerFile(timer))?;
        Ok(WakeTimer {
            clock,
            timer,
            armed: AtomicU64::new(NEVER),
            ran_at: AtomicU64::new(clock.now().nanos()),
            resumed_at: AtomicU64::new(0),
            step,
        })
    }

    /// Wakes the coroutine no later than then.
    pub fn wake_by(&self, at: Time) {
        if at.nanos() >= self.armed.load(Ordering::Relaxed) {
            return;
        }
        self.armed.store(at.nanos(), Ordering::Relaxed);
        let wait = (at - self.clock.now()).nanos().max(1);
        let wait = TimeSpec::from_duration(Duration::from_nanos(wait));
        if let Err(e) = self.timer.inner().0.set(Expiration::OneShot(wait), TimerSetTimeFlags::empty()) {
            log_limited!("timer not set: {e}");
        }
    }

    /// Wakes the coroutine now; from any thread.
    pub fn wake_now(&self) {
        self.timer.waker().wakeup();
    }

    /// When a message that is read now may have been received: now, or, where the process was stalled, when it last ran
    /// before that. What came meanwhile is read before the timer's turn, or in the same step after it.
    pub fn received_at(&self, now: Time) -> Time {
        let load = |at: &AtomicU64| Time::from_nanos(at.load(Ordering::Relaxed));
        let is_overdue = now > load(&self.armed) + STALL_THRESHOLD;
        let has_just_resumed = now < load(&self.resumed_at) + self.step;
        if is_overdue || has_just_resumed {
            return load(&self.ran_at);
        }
        self.ran_at.store(now.nanos(), Ordering::Relaxed);
        now
    }

    /// Waits until the timer goes off or `wake_now` is called; the time then.
    pub fn wait(&self) -> Time {
        self.timer.wait_io();
        let now = self.clock.now();
        let armed = Time::from_nanos(self.armed.swap(NEVER, Ordering::Relaxed));
        if now > armed + STALL_THRESHOLD {
            log_limited!("stood still, or had no core, for {:.3} s at the least", (now - armed).secs());
            self.resumed_at.store(now.nanos(), Ordering::Relaxed);
        } else {
            self.received_at(now);
        }
        now
    }
}
