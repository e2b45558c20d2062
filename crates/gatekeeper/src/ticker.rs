//! Wakes one coroutine when the next thing is due. A timerfd in the same epoll as the sockets: no second
//! thread, no polling, and no system call where what is due comes after what is set already.

use std::os::fd::{AsFd, AsRawFd, RawFd};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use lynxstair::types::Time;
use may::io::{CoIo, WaitIo};
use nix::sys::time::TimeSpec;
use nix::sys::timerfd::{ClockId, Expiration, TimerFd, TimerFlags, TimerSetTimeFlags};

use crate::clock::Clock;
use crate::log;

struct Fd(TimerFd);

impl AsRawFd for Fd {
    fn as_raw_fd(&self) -> RawFd {
        self.0.as_fd().as_raw_fd()
    }
}

pub struct Ticker {
    clock: Clock,
    timer: CoIo<Fd>,
    /// When it goes off; the largest number where it does not.
    armed: AtomicU64,
}

impl Ticker {
    pub fn new(clock: Clock) -> Result<Self, String> {
        let flags = TimerFlags::TFD_NONBLOCK | TimerFlags::TFD_CLOEXEC;
        let timer = TimerFd::new(ClockId::CLOCK_MONOTONIC, flags).map_err(|e| format!("timer: {e}"))?;
        let timer = CoIo::new(Fd(timer)).map_err(|e| format!("timer: {e}"))?;
        Ok(Ticker { clock, timer, armed: AtomicU64::new(u64::MAX) })
    }

    /// Wakes the coroutine no later than then.
    pub fn by(&self, at: Time) {
        if at.nanos() >= self.armed.load(Ordering::Relaxed) {
            return;
        }
        self.armed.store(at.nanos(), Ordering::Relaxed);
        let wait = (at - self.clock.now()).nanos().max(1);
        let wait = TimeSpec::from_duration(Duration::from_nanos(wait));
        if let Err(e) = self.timer.inner().0.set(Expiration::OneShot(wait), TimerSetTimeFlags::empty()) {
            log!("timer not set: {e}");
        }
    }

    /// Wakes the coroutine now; from any thread.
    pub fn poke(&self) {
        self.timer.waker().wakeup();
    }

    /// Waits until it is due or poked.
    pub fn wait(&self) {
        self.timer.wait_io();
        self.armed.store(u64::MAX, Ordering::Relaxed);
    }
}
