//! What the log asks of the file system, and the system's own.
//!
//! After a loss of power a file holds what its last sync covered; each later write is there, missing or torn. A name that was
//! made, renamed or removed since the last sync of its folder may be kept or lost, each on its own.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::Path;

/// Files by name.
pub trait FileSystem {
    /// An open file.
    type File: OpenFile;

    /// Makes a folder and those above it that are missing, so that they last.
    fn make_folder(&self, folder: &Path) -> io::Result<()>;

    /// The names in a folder.
    fn names(&self, folder: &Path) -> io::Result<Vec<String>>;

    /// Opens a file that is there.
    fn open(&self, path: &Path) -> io::Result<Self::File>;

    /// Makes an empty file, in place of one that is there.
    fn create(&self, path: &Path) -> io::Result<Self::File>;

    /// Renames a file.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Removes a file.
    fn remove(&self, path: &Path) -> io::Result<()>;

    /// Makes the names in a folder last.
    fn sync_folder(&self, folder: &Path) -> io::Result<()>;
}

/// A file that is read once, written at offsets, cut and synced.
pub trait OpenFile {
    /// All that it holds.
    fn read_all(&mut self) -> io::Result<Vec<u8>>;

    /// Writes at an offset.
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Cuts it to a length.
    fn set_len(&mut self, length: u64) -> io::Result<()>;

    /// Makes the file last, with what it holds.
    fn sync(&mut self) -> io::Result<()>;

    /// Makes what it holds last.
    fn sync_data(&mut self) -> io::Result<()>;
}

/// The file system of this machine.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemFiles;

impl FileSystem for SystemFiles {
    type File = File;

    fn make_folder(&self, folder: &Path) -> io::Result<()> {
        if folder.is_dir() {
            return Ok(());
        }
        let parent = folder.parent().filter(|parent| !parent.as_os_str().is_empty());
        let parent = parent.unwrap_or(Path::new("."));
        self.make_folder(parent)?;
        fs::create_dir(folder)?;
        self.sync_folder(parent)
    }

    fn names(&self, folder: &Path) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(folder)? {
            names.extend(entry?.file_name().into_string());
        }
        Ok(names)
    }

    fn open(&self, path: &Path) -> io::Result<File> {
        OpenOptions::new().read(true).write(true).open(path)
    }

    fn create(&self, path: &Path) -> io::Result<File> {
        OpenOptions::new().read(true).write(true).create(true).truncate(true).open(path)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        fs::remove_file(path)
    }

    fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        File::open(folder)?.sync_all()
    }
}

impl OpenFile for File {
    fn read_all(&mut self) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        self.seek(SeekFrom::Start(0))?;
        self.read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.seek(SeekFrom::Start(offset))?;
        self.write_all(bytes)
    }

    fn set_len(&mut self, length: u64) -> io::Result<()> {
        File::set_len(self, length)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_all()
    }

    fn sync_data(&mut self) -> io::Result<()> {
        File::sync_data(self)
    }
}
