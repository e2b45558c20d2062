//! Where a core keeps its record: in SQLite, synced before it counts. `crates/controller/tests/store.rs` holds the contract of
//! every store, and what of it a loss of power may leave.

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};

use log::warn;
use lynxstair_consensus::Record;
use lynxstair_protocol::digest;
use lynxstair_protocol::messages::Bytes;
use rusqlite::{Connection, ErrorCode, OptionalExtension, params};

#[path = "first_shape.rs"]
mod first_shape;

pub trait Store: Send {
    /// What was saved last; None where the disk holds nothing.
    fn load(&mut self) -> Result<Option<Record>, String>;
    /// Returns once the record outlives a loss of power.
    fn save(&mut self, record: &Record) -> Result<(), String>;
    /// Whether nothing is held because what was held can't be read any more: this is no first start, whoever says so.
    fn is_emptied(&self) -> bool;
    /// The workers' lives as saved last; empty where nothing is held.
    fn load_lives(&mut self) -> Result<Vec<u8>, String>;
    fn save_lives(&mut self, lives: &[u8]) -> Result<(), String>;
}

/// Why a database can't be opened now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Not {
    /// The disk refuses.
    Given,
    /// Another process has it open.
    Ours,
}

/// Why a database is not used.
enum Trouble {
    /// It holds what no whole write left: it won't get better.
    Unreadable(String),
    /// The disk: it may be better soon.
    Disk(String),
    /// Another process has it open: it must not be touched.
    Held(String),
}

/// Why a record can't be read.
enum Bad {
    Sqlite(rusqlite::Error),
    Record(String),
}

/// On disk. The book has a row of its own, so that a vote does not write it again; what is held beside it names it by its
/// digest, so that a mixture of two writes is never taken for a record.
pub struct Sqlite {
    connection: Connection,
    /// The book that is on the disk, with its digest.
    book: Option<(Bytes, [u8; digest::LENGTH])>,
    is_emptied: bool,
}

const MAIN: &str = "book.sqlite";
const LOG: &str = "book.sqlite-wal";
/// What could not be read, kept to be looked at: the last one only.
const ASIDE: [(&str, &str); 2] = [(MAIN, "book.sqlite.unreadable"), (LOG, "book.sqlite-wal.unreadable")];

impl Sqlite {
    /// Opens what the folder holds. What no whole write left is set aside, and the disk counts as emptied. What the disk
    /// refuses to give is not: it may hold the only copy, and give it later. `wait` says whether to try again then.
    pub fn open(folder: &Path, mut wait: impl FnMut(Not) -> bool) -> Result<Sqlite, String> {
        loop {
            let (not, why) = match Sqlite::begin(folder) {
                Ok(sqlite) => return Ok(sqlite),
                Err(Trouble::Unreadable(why)) => (None, why),
                Err(Trouble::Disk(why)) => (Some(Not::Given), why),
                Err(Trouble::Held(why)) => (Some(Not::Ours), why),
            };
            if let Some(not) = not {
                if !wait(not) {
                    return Err(why);
                }
                warn!(error = why; "the disk can't be opened yet");
                continue;
            }
            warn!(error = why; "what the disk holds can't be read: set aside, the disk counts as emptied");
            set_aside(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
            return Sqlite::begin(folder).map_err(|t| match t {
                Trouble::Unreadable(why) | Trouble::Disk(why) | Trouble::Held(why) => why,
            });
        }
    }

    fn begin(folder: &Path) -> Result<Sqlite, Trouble> {
        let file: PathBuf = folder.join(MAIN);
        let at = |e: io::Error| Trouble::Disk(format!("{}: {e}", folder.display()));
        make(folder).map_err(at)?;
        let length = |name: &str| fs::metadata(folder.join(name)).map_or(0, |m| m.len());
        if length(MAIN) == 0 && length(LOG) > 0 {
            // SQLite would take this for a new one, and remove the log.
            return Err(Trouble::Unreadable(format!("{}: a log without its database", file.display())));
        }
        let fail = |e: rusqlite::Error| trouble(&file, &e);
        let connection = Connection::open(&file).map_err(fail)?;
        // One process and one thread use it: no mapped index of the log, which the lock alone would need. A write is
        // synced before it counts.
        connection
            .execute_batch(
                "PRAGMA locking_mode=EXCLUSIVE; PRAGMA journal_mode=WAL; PRAGMA synchronous=FULL;
                 PRAGMA cache_size=-256; PRAGMA wal_autocheckpoint=200; PRAGMA journal_size_limit=1048576;
                 CREATE TABLE IF NOT EXISTS head (one INTEGER PRIMARY KEY CHECK (one = 1), held BLOB NOT NULL,
                   book BLOB NOT NULL, digest BLOB NOT NULL);
                 CREATE TABLE IF NOT EXISTS book (one INTEGER PRIMARY KEY CHECK (one = 1), held BLOB NOT NULL);
                 CREATE TABLE IF NOT EXISTS lives (one INTEGER PRIMARY KEY CHECK (one = 1), held BLOB NOT NULL);",
            )
            .map_err(fail)?;
        let mut sqlite = Sqlite { connection, book: None, is_emptied: false };
        let found = sqlite.read().map_err(|bad| match bad {
            Bad::Sqlite(e) => fail(e),
            Bad::Record(why) => Trouble::Unreadable(format!("{}: {why}", file.display())),
        })?;
        sqlite.is_emptied = found.is_none() && ASIDE.iter().any(|(_, aside)| folder.join(aside).exists());
        // Its files are new, perhaps, the log at each start: they last once the folder that names them is synced.
        sync(folder).map_err(at)?;
        Ok(sqlite)
    }

    /// The record, where one is held and is whole.
    fn read(&mut self) -> Result<Option<Record>, Bad> {
        let row = |r: &rusqlite::Row| {
            Ok((r.get::<_, Vec<u8>>(0)?, r.get::<_, Vec<u8>>(1)?, r.get::<_, Vec<u8>>(2)?))
        };
        let head = self.connection.query_row("SELECT held, book, digest FROM head", [], row).optional();
        let book =
            self.connection.query_row("SELECT held FROM book", [], |r| r.get::<_, Vec<u8>>(0)).optional();
        let (head, book) = (head.map_err(Bad::Sqlite)?, book.map_err(Bad::Sqlite)?);
        let (held, named, digest, book) = match (head, book) {
            (None, None) => return first_shape::read(&self.connection).map_err(Bad::Record),
            (Some((held, named, digest)), Some(book)) => (held, named, digest, book),
            _ => return Err(Bad::Record("a part of the record is missing".to_string())),
        };
        let of_book = digest::of([&book[..]]);
        if named != of_book || digest != digest::of([&held[..], &named]) {
            return Err(Bad::Record("the record is not as it was written".to_string()));
        }
        let mut record: Record = ciborium::from_reader(&held[..]).map_err(|e| Bad::Record(e.to_string()))?;
        record.state.book = Bytes(book.into());
        self.book = Some((record.state.book.clone(), of_book));
        Ok(Some(record))
    }
}

fn trouble(file: &Path, e: &rusqlite::Error) -> Trouble {
    let why = format!("{}: {e}", file.display());
    match e.sqlite_error_code() {
        Some(ErrorCode::DatabaseBusy | ErrorCode::DatabaseLocked) => Trouble::Held(why),
        Some(
            ErrorCode::CannotOpen
            | ErrorCode::DiskFull
            | ErrorCode::SystemIoFailure
            | ErrorCode::OutOfMemory
            | ErrorCode::PermissionDenied
            | ErrorCode::ReadOnly,
        ) => Trouble::Disk(why),
        // Not a database, a broken one, or tables of another make.
        _ => Trouble::Unreadable(why),
    }
}

fn sync(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

/// Makes the folder, so that it lasts as well: each one that was made is named in the one above it.
fn make(folder: &Path) -> io::Result<()> {
    if folder.is_dir() {
        return Ok(());
    }
    let above = folder.parent().filter(|above| !above.as_os_str().is_empty());
    above.map_or(Ok(()), make)?;
    match fs::create_dir(folder) {
        Err(e) if e.kind() != io::ErrorKind::AlreadyExists => return Err(e),
        _ => {}
    }
    sync(above.unwrap_or(Path::new(".")))
}

fn set_aside(folder: &Path) -> io::Result<()> {
    for (name, aside) in ASIDE {
        match fs::rename(folder.join(name), folder.join(aside)) {
            // What was set aside before goes with it: a log of another database is of no use.
            Err(e) if e.kind() == io::ErrorKind::NotFound => {}
            done => done?,
        }
    }
    sync(folder)
}

impl Store for Sqlite {
    fn load(&mut self) -> Result<Option<Record>, String> {
        self.read().map_err(|bad| match bad {
            Bad::Sqlite(e) => format!("the book's record: {e}"),
            Bad::Record(why) => why,
        })
    }

    fn save(&mut self, record: &Record) -> Result<(), String> {
        let fail = |e: rusqlite::Error| format!("the book's record: {e}");
        let book = &record.state.book;
        let on_disk = self.book.take().filter(|(held, _)| held == book);
        let (is_new, of_book) = match &on_disk {
            Some((_, digest)) => (false, *digest),
            None => (true, digest::of([&book.0[..]])),
        };
        let mut head = record.clone();
        head.state.book = Bytes::default();
        let mut held = Vec::new();
        ciborium::into_writer(&head, &mut held).map_err(|e| format!("the book's record: {e}"))?;
        let digest = digest::of([&held[..], &of_book]);
        // Both or none of them. Where that fails, what the disk holds is not known: all is written the next time.
        let both = self.connection.transaction().map_err(fail)?;
        if is_new {
            both.execute("INSERT OR REPLACE INTO book (one, held) VALUES (1, ?1)", params![&book.0[..]])
                .map_err(fail)?;
        }
        both.execute(
            "INSERT OR REPLACE INTO head (one, held, book, digest) VALUES (1, ?1, ?2, ?3)",
            params![held, of_book, digest],
        )
        .map_err(fail)?;
        both.commit().map_err(fail)?;
        self.book = Some((book.clone(), of_book));
        self.is_emptied = false;
        Ok(())
    }

    fn is_emptied(&self) -> bool {
        self.is_emptied
    }

    fn load_lives(&mut self) -> Result<Vec<u8>, String> {
        let row =
            self.connection.query_row("SELECT held FROM lives", [], |r| r.get::<_, Vec<u8>>(0)).optional();
        row.map(Option::unwrap_or_default).map_err(|e| format!("the workers' lives: {e}"))
    }

    fn save_lives(&mut self, lives: &[u8]) -> Result<(), String> {
        let written = self
            .connection
            .execute("INSERT OR REPLACE INTO lives (one, held) VALUES (1, ?1)", params![lives]);
        written.map(|_| ()).map_err(|e| format!("the workers' lives: {e}"))
    }
}

/// In memory, for tests and for a core that was given no disk.
#[derive(Default)]
pub struct Memory {
    held: Option<Record>,
    lives: Vec<u8>,
}

impl Store for Memory {
    fn load(&mut self) -> Result<Option<Record>, String> {
        Ok(self.held.clone())
    }

    fn save(&mut self, record: &Record) -> Result<(), String> {
        self.held = Some(record.clone());
        Ok(())
    }

    fn is_emptied(&self) -> bool {
        false
    }

    fn load_lives(&mut self) -> Result<Vec<u8>, String> {
        Ok(self.lives.clone())
    }

    fn save_lives(&mut self, lives: &[u8]) -> Result<(), String> {
        self.lives = lives.to_vec();
        Ok(())
    }
}
