//! Standard outputs of a process that cannot be written: what a log is written to is not always there.

use std::fs::File;
use std::io::{self, PipeReader, Write, pipe};
use std::process::Stdio;

/// What is wrong with an output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenOutput {
    /// A pipe whose reader has ended.
    ReaderGone,
    /// A file on a disk that is full.
    DiskFull,
    /// A full pipe whose reader lives and reads nothing.
    ReaderStopped,
}

/// A broken output for one process.
#[derive(Debug)]
pub struct OpenOutput {
    /// The output.
    pub output: Stdio,
    /// The reader that has stopped; the output changes when it is dropped.
    pub reader: Option<PipeReader>,
}

impl BrokenOutput {
    /// All kinds.
    pub const ALL: [Self; 3] = [Self::ReaderGone, Self::DiskFull, Self::ReaderStopped];

    /// Opens such an output.
    ///
    /// # Errors
    /// If the system has no descriptors or memory for it.
    pub fn open(self) -> io::Result<OpenOutput> {
        match self {
            Self::ReaderGone => {
                let (_, writer) = pipe()?;
                Ok(OpenOutput { output: writer.into(), reader: None })
            }
            Self::DiskFull => {
                // full(4): every write fails with ENOSPC.
                let file = File::options().write(true).open("/dev/full")?;
                Ok(OpenOutput { output: file.into(), reader: None })
            }
            Self::ReaderStopped => {
                let (reader, mut writer) = pipe()?;
                let capacity = rustix::pipe::fcntl_getpipe_size(&writer)?;
                writer.write_all(&vec![b'\n'; capacity])?;
                Ok(OpenOutput { output: writer.into(), reader: Some(reader) })
            }
        }
    }
}
