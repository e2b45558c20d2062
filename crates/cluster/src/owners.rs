//! Ownership on sockets: a voter's records and datagrams, and this member's side. It decides nothing of who
//! owns what.

use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};

use lynxstair::types::Time;
use lynxstair_leases::{
    Broken, Came, Do, Epoch, ForHolder, Holder, HolderStart, Image, Record, Start, Voter, Wants,
};
use lynxstair_net::clock::Clock;
use lynxstair_net::ticker::Ticker;
use lynxstair_record_log::{RecordLog, Repair, Writer};
use tracing::warn;

use crate::config::Config;
use crate::protocol::{Answer, Ask, DutyHeld, VoterHeld};
use crate::side::{Side, failing, lock};

/// The voter's records, inside the member's folder.
const FOLDER: &str = "voter";

struct Inside {
    voter: Voter,
    holder: Holder,
}

type Done = (u64, Result<(), String>);

/// What this member has to do with owners.
pub(crate) struct Owners {
    inside: Mutex<Inside>,
    ticker: Arc<Ticker>,
    writer: Writer<u64>,
    /// What the records come to with those that wait: for the file when it is written anew.
    image: Arc<Mutex<Image>>,
    done: Arc<Mutex<Vec<Done>>>,
    trouble: Mutex<Option<String>>,
}

impl Owners {
    /// None where the fleet file names no voters.
    ///
    /// # Errors
    /// Where the records or a thread can't be had: what, and why.
    pub fn open(
        config: &Config,
        clock: Clock,
        ticker: Arc<Ticker>,
        (run, seed): (u32, u64),
    ) -> Result<Option<Self>, String> {
        let Some(ownership) = &config.ownership else { return Ok(None) };
        let folder = config.data.join(FOLDER);
        let owner = format!("{}/{}/voter", config.fleet, config.name);
        let opened =
            RecordLog::open(&folder, &owner, failing(config)).map_err(|e| format!("voter's records: {e}"))?;
        let image = Image::read(&opened.records)
            .map_err(|e| format!("voter's records: {}: {e}", folder.display()))?;
        let lost = opened.repairs.iter().any(|r| matches!(r, Repair::TornEnd { .. }));
        for repair in &opened.repairs {
            warn!(?repair, "fleet: a voter's records were mended");
        }
        let broken = config.trial.broken_ownership;
        if broken != Broken::default() {
            warn!(?broken, "fleet: parts are taken out for a trial; not for service");
        }
        let now = clock.now();
        let (fleet, name) = (config.fleet.as_str().to_string(), config.name.as_str().to_string());
        let voter = Voter::begin(
            now,
            Start {
                fleet: fleet.clone(),
                name: name.clone(),
                addr: config.advertise,
                named: ownership.voters.clone(),
                image: image.clone(),
                lost,
                // An identity that is drawn again after the records were lost must be another one.
                seed: seed ^ u64::from(run) << 32,
                times: ownership.times,
                broken,
            },
        );
        let holder = Holder::begin(
            now,
            HolderStart {
                fleet,
                name,
                voters: ownership.voters.iter().map(|(_, addr)| *addr).collect(),
                duties: ownership.duties.clone(),
                seed,
                stand: u64::from(run),
                times: ownership.times,
                broken,
            },
        );
        let (image, done) = (Arc::new(Mutex::new(image)), Arc::new(Mutex::new(Vec::new())));
        let (to_keep, told, waking) = (image.clone(), done.clone(), ticker.clone());
        let writer = Writer::start(
            opened.log,
            Box::new(move |ticket, what: Result<(), _>| {
                lock(&told).push((ticket, what.map_err(|e: lynxstair_record_log::Error| e.to_string())));
                waking.wake_now();
            }),
            Box::new(move || lock(&to_keep).records().iter().map(Record::written).collect()),
        )
        .map_err(|e| format!("the thread for a voter's records: {e}"))?;
        let inside = Mutex::new(Inside { voter, holder });
        Ok(Some(Owners { inside, ticker, writer, image, done, trouble: Mutex::new(None) }))
    }

    /// Has the rooms do something, and does what comes of it. The lock is held for the rooms only.
    fn with<T>(&self, side: &Side, now: Time, acts: impl FnOnce(&mut Inside) -> T) -> T {
        let (value, todo, due) = {
            let mut inside = lock(&self.inside);
            let value = acts(&mut inside);
            let mut todo = inside.voter.take();
            todo.extend(inside.holder.take());
            let due = inside.voter.next_due().into_iter().chain(inside.holder.next_due()).min();
            (value, todo, due)
        };
        for one in todo {
            match one {
                Do::Send { to, datagram } => side.send(to, &datagram),
                Do::Write { ticket, record } => self.write(ticket, &record),
                Do::Tell(event) => {
                    crate::log::tell_owners(&event);
                    side.note(now, &event);
                }
            }
        }
        if let Some(due) = due {
            self.ticker.wake_by(due);
        }
        value
    }

    fn write(&self, ticket: u64, record: &Record) {
        if let Err(e) = lock(&self.image).take_in(record) {
            warn!(%e, "fleet: a voter's own record");
        }
        if !self.writer.append(ticket, record.written()) {
            let why = "too many records wait for the disk".to_string();
            lock(&self.done).push((ticket, Err(why)));
            self.ticker.wake_now();
        }
    }

    pub fn tick(&self, side: &Side, now: Time) {
        for (ticket, what) in std::mem::take(&mut *lock(&self.done)) {
            *lock(&self.trouble) = what.as_ref().err().cloned();
            let what = what.as_ref().copied().map_err(String::as_str);
            self.with(side, now, |i| i.voter.written(now, ticket, what));
        }
        self.with(side, now, |i| {
            i.voter.tick(now);
            i.holder.tick(now);
        });
    }

    pub fn heard(&self, side: &Side, now: Time, from: SocketAddrV4, datagram: &[u8]) {
        self.with(side, now, |i| match i.voter.heard(now, from, datagram) {
            Ok(Some(ForHolder::Answer { number, answer })) => i.holder.heard(now, number, answer),
            Ok(Some(ForHolder::Hint { duty })) => i.holder.hinted(now, &duty),
            // Counted there.
            Ok(None) | Err(_) => {}
        });
    }

    pub fn may_begin(&self, now: Time, duty: &str) -> Option<Epoch> {
        lock(&self.inside).holder.may_begin(now, duty)
    }

    pub fn refused(&self, side: &Side, now: Time, duty: &str, seen: Epoch) {
        self.with(side, now, |i| i.holder.refused(now, duty, seen));
    }

    pub fn leave(&self, side: &Side, now: Time) {
        self.with(side, now, |i| i.holder.leave(now));
    }

    /// Answers an operator, who asks again while it waits.
    pub fn answer(&self, side: &Side, now: Time, ask: Ask) -> Answer {
        let (id, wants) = match ask {
            Ask::Own => {
                let disk = lock(&self.trouble).clone();
                return self.with(side, now, |i| Answer::Own {
                    voter: i.voter.view(now),
                    duties: i.holder.view(now),
                    disk,
                    uses: side.uses_kept().map_or((0, 0), |u| u.counts()),
                });
            }
            Ask::Owners { id } => (id, None),
            Ask::HandOver { id, duty, to } => {
                let to = to.as_str().to_string();
                (id, Some(Wants::HandOver { duty, to }))
            }
            Ask::Depose { id, duty } => (id, Some(Wants::Depose { duty })),
            Ask::Replace { id, old, new } => {
                let Some(addr) = side.address_of(now, &new) else {
                    return Answer::No { why: format!("{new} is not there, as seen from here") };
                };
                let (old, new) = (old.as_str().to_string(), new.as_str().to_string());
                (id, Some(Wants::Replace { old, new, addr }))
            }
            _ => return Answer::No { why: "not understood".to_string() },
        };
        match self.with(side, now, |i| i.holder.question(now, id, wants.as_ref())) {
            Came::Waits => Answer::Waits,
            Came::Unknown(why) => Answer::Unknown { why },
            Came::Answered(answer) => put(answer),
        }
    }
}

/// What voters answered, for people.
fn put(answer: lynxstair_leases::Answer) -> Answer {
    use lynxstair_leases::Answer as A;
    match answer {
        A::Done => Answer::Done,
        A::No { why } => Answer::No { why },
        A::Book { duties, voters, leader } => {
            let duty = |(duty, held): (String, lynxstair_leases::Held)| DutyHeld {
                duty,
                owner: held.owner.map(|o| o.name),
                epoch: held.epoch,
                since_unix_ms: held.since / 1_000_000,
                granted_by: held.by,
                meant_for: held.meant_for,
                state_bytes: held.state.len(),
            };
            let voter = |v: lynxstair_leases::VoterAt| VoterHeld { name: v.name, id: v.id.0, addr: v.addr };
            Answer::Owners {
                duties: duties.into_iter().map(duty).collect(),
                voters: voters.into_iter().map(voter).collect(),
                leader,
            }
        }
        _ => Answer::Unknown { why: "an answer to something else".to_string() },
    }
}
