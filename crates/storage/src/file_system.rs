//! The file system as the log uses it, and the implementation by the operating system's.
//!
//! After a loss of power a file contains what its last sync covered; each later write is there, missing or torn. A name
//! that was created, renamed or removed since the last sync of its directory may be kept or lost, each independently.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::Path;

/// A file system. Every method returns the error of the operating system as it is.
pub trait FileSystem {
    /// An open file.
    type File: OpenFile;

    /// Creates a directory and its missing parents, durably. Does nothing if it exists.
    fn create_directory(&self, directory: &Path) -> io::Result<()>;

    /// The names of the entries of a directory, in any order. Names that aren't UTF-8 are left out.
    fn list_names(&self, directory: &Path) -> io::Result<Vec<String>>;

    /// Opens an existing file for reading and writing.
    fn open(&self, path: &Path) -> io::Result<Self::File>;

    /// Creates an empty file for reading and writing; an existing one is truncated.
    fn create(&self, path: &Path) -> io::Result<Self::File>;

    /// Renames a file, replacing one that has the new name. Durable after [`FileSystem::sync_directory`].
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Removes a file. Durable after [`FileSystem::sync_directory`].
    fn remove(&self, path: &Path) -> io::Result<()>;

    /// Makes the names in a directory durable.
    fn sync_directory(&self, directory: &Path) -> io::Result<()>;
}

/// A file that is read once, written at offsets, truncated and synced.
pub trait OpenFile {
    /// Reads the whole file.
    fn read_all(&mut self) -> io::Result<Vec<u8>>;

    /// Writes all bytes at an offset, in bytes from the start.
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Truncates the file to a length in bytes.
    fn set_len(&mut self, length: u64) -> io::Result<()>;

    /// Makes the contents and the metadata of the file durable.
    fn sync(&mut self) -> io::Result<()>;

    /// Makes the contents of the file durable.
    fn sync_data(&mut self) -> io::Result<()>;
}

/// The operating system's file system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemFiles;

impl FileSystem for SystemFiles {
    type File = File;

    fn create_directory(&self, directory: &Path) -> io::Result<()> {
        if directory.is_dir() {
            return Ok(());
        }
        let parent = directory.parent().filter(|parent| !parent.as_os_str().is_empty());
        let parent = parent.unwrap_or(Path::new("."));
        self.create_directory(parent)?;
        fs::create_dir(directory)?;
        self.sync_directory(parent)
    }

    fn list_names(&self, directory: &Path) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(directory)? {
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

    fn sync_directory(&self, directory: &Path) -> io::Result<()> {
        File::open(directory)?.sync_all()
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
