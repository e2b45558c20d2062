//! Wakes one coroutine when the next thing is due. A timerfd in the same epoll as the sockets: no second
//! thread, no polling, and no system call where what is due comes after what is set already.

use std::io;
use std::os::fd::{AsFd, AsRawFd, RawFd};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use lynxstair::types::{Span, Time};
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
    /// When the program was last seen to run.
    ran_at: AtomicU64,
    /// When it was last found to have stood still.
    stood_until: AtomicU64,
    /// What is read within one step counts as come at once.
    step: Span,
}

/// What goes off this much late tells that the program stood still: half of what answers may be late by.
const STOOD: Span = Span::from_millis(25);

impl Ticker {
    pub fn new(clock: Clock, step: Span) -> io::Result<Self> {
        let flags = TimerFlags::TFD_NONBLOCK | TimerFlags::TFD_CLOEXEC;
        let timer = TimerFd::new(ClockId::CLOCK_MONOTONIC, flags)?;
        let timer = CoIo::new(Fd(timer))?;
        Ok(Ticker {
            clock,
            timer,
            armed: AtomicU64::new(u64::MAX),
            ran_at: AtomicU64::new(clock.now().nanos()),
            stood_until: AtomicU64::new(0),
            step,
        })
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

    /// When a message that is read now may have come: now, or, where the program stood still, when it last
    /// ran before that. What came meanwhile is read before the timer's turn, or in the same step after it.
    pub fn came_at(&self, now: Time) -> Time {
        let load = |at: &AtomicU64| Time::from_nanos(at.load(Ordering::Relaxed));
        let overdue = now > load(&self.armed) + STOOD;
        let just_woke = now < load(&self.stood_until) + self.step;
        if overdue || just_woke {
            return load(&self.ran_at);
        }
        self.ran_at.store(now.nanos(), Ordering::Relaxed);
        now
    }

    /// Waits until it is due or poked; the time then.
    pub fn wait(&self) -> Time {
        self.timer.wait_io();
        let now = self.clock.now();
        let armed = Time::from_nanos(self.armed.swap(u64::MAX, Ordering::Relaxed));
        if now > armed + STOOD {
            log!("stood still, or had no core, for {:.3} s at the least", (now - armed).secs());
            self.stood_until.store(now.nanos(), Ordering::Relaxed);
        } else {
            self.came_at(now);
        }
        now
    }
}
