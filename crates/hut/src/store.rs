//! Where a core keeps its record: one row in SQLite, written and synced as a whole. The contract in the tests below
//! is what every store must pass.

use std::path::{Path, PathBuf};

use lynxstair_cairn::Record;
use rusqlite::{Connection, OptionalExtension, params};

pub trait Store: Send {
    /// What was saved last; None where the disk holds nothing.
    fn load(&mut self) -> Result<Option<Record>, String>;
    /// Returns once the record outlives a loss of power.
    fn save(&mut self, record: &Record) -> Result<(), String>;
    /// The workers' lives as saved last; empty where nothing is held.
    fn load_lives(&mut self) -> Result<Vec<u8>, String>;
    fn save_lives(&mut self, lives: &[u8]) -> Result<(), String>;
}

/// On disk.
pub struct Sqlite {
    connection: Connection,
}

impl Sqlite {
    pub fn open(folder: &Path) -> Result<Sqlite, String> {
        std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let file: PathBuf = folder.join("book.sqlite");
        let fail = |e: rusqlite::Error| format!("{}: {e}", file.display());
        let connection = Connection::open(&file).map_err(fail)?;
        // One process and one thread use it: no mapped index of the log, which the lock alone would need. A write is
        // synced before it counts.
        connection
            .execute_batch(
                "PRAGMA locking_mode=EXCLUSIVE; PRAGMA journal_mode=WAL; PRAGMA synchronous=FULL;
                 PRAGMA cache_size=-256; PRAGMA wal_autocheckpoint=200; PRAGMA journal_size_limit=1048576;
                 CREATE TABLE IF NOT EXISTS record (one INTEGER PRIMARY KEY CHECK (one = 1), held BLOB NOT NULL);
                 CREATE TABLE IF NOT EXISTS lives (one INTEGER PRIMARY KEY CHECK (one = 1), held BLOB NOT NULL);",
            )
            .map_err(fail)?;
        // Its files are new, perhaps: they last once the folder that names them is synced.
        let synced = std::fs::File::open(folder).and_then(|f| f.sync_all());
        synced.map_err(|e| format!("{}: {e}", folder.display()))?;
        Ok(Sqlite { connection })
    }
}

impl Store for Sqlite {
    fn load(&mut self) -> Result<Option<Record>, String> {
        let row =
            self.connection.query_row("SELECT held FROM record", [], |r| r.get::<_, Vec<u8>>(0)).optional();
        let Some(held) = row.map_err(|e| format!("the book's record: {e}"))? else { return Ok(None) };
        ciborium::from_reader(&held[..]).map(Some).map_err(|e| format!("the book's record: {e}"))
    }

    fn save(&mut self, record: &Record) -> Result<(), String> {
        let mut held = Vec::new();
        ciborium::into_writer(record, &mut held).map_err(|e| format!("the book's record: {e}"))?;
        let written = self
            .connection
            .execute("INSERT OR REPLACE INTO record (one, held) VALUES (1, ?1)", params![held]);
        written.map(|_| ()).map_err(|e| format!("the book's record: {e}"))
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

    fn load_lives(&mut self) -> Result<Vec<u8>, String> {
        Ok(self.lives.clone())
    }

    fn save_lives(&mut self, lives: &[u8]) -> Result<(), String> {
        self.lives = lives.to_vec();
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use std::sync::Arc;

    use lynxstair_cairn::Record;
    use lynxstair_trailbook::agreement::{LogId, Member, State};
    use lynxstair_trailbook::words::Bytes;

    use super::{Memory, Sqlite, Store};

    /// What every store must do.
    fn contract(store: &mut dyn Store) {
        assert_eq!(store.load(), Ok(None), "a new one holds nothing");
        assert_eq!(store.load_lives(), Ok(Vec::new()));
        for lives in [&b"one"[..], b"two"] {
            store.save_lives(lives).expect("saved");
            assert_eq!(store.load_lives().as_deref(), Ok(lives));
        }
        let node = "10.0.0.1:80".parse().expect("one");
        for term in 1..40 {
            let record = Record {
                term,
                vote: Some(node),
                last: LogId { term, index: 7 },
                state: State {
                    voters: vec![Member { node, disk: 9 }],
                    outgoing: None,
                    book: Bytes(Arc::new(vec![term as u8; 30_000])),
                },
                disk: 9,
            };
            store.save(&record).expect("saved");
            assert_eq!(store.load(), Ok(Some(record)), "the last one whole");
        }
    }

    #[test]
    fn stores_keep_the_contract() {
        contract(&mut Memory::default());
        let folder = tempfile::tempdir().expect("a folder");
        contract(&mut Sqlite::open(folder.path()).expect("open"));
        let mut again = Sqlite::open(folder.path()).expect("open");
        assert_eq!(again.load().expect("loads").map(|r| r.term), Some(39), "outlives its process");
    }

    #[test]
    fn a_folder_that_can_not_be_is_named() {
        let file = tempfile::NamedTempFile::new().expect("a file");
        let error = Sqlite::open(&file.path().join("x")).err().expect("no folder in a file");
        assert!(error.contains(&file.path().display().to_string()), "{error}");
    }
}
