//! Whole lines to a writer that may fail.

use std::io::Write;

/// Writes lines to a writer that may fail, and says later how many lines are missing.
pub struct LineSink<W> {
    writer: W,
    /// The last line was written in part.
    in_line: bool,
}

impl<W: Write> LineSink<W> {
    /// A sink that writes to `writer`.
    pub fn new(writer: W) -> Self {
        Self { writer, in_line: false }
    }

    /// Writes a line, and before it how many were dropped, if any. False if it could not be written whole.
    pub fn write(&mut self, line: &[u8], dropped: u64) -> bool {
        let mut text = Vec::with_capacity(line.len());
        if self.in_line {
            text.push(b'\n');
        }
        if dropped > 0 {
            text.extend_from_slice(
                format!("level=warn event=log-lines-dropped count={dropped}\n").as_bytes(),
            );
        }
        text.extend_from_slice(line);
        self.write_whole(&text)
    }

    fn write_whole(&mut self, mut text: &[u8]) -> bool {
        while !text.is_empty() {
            match self.writer.write(text) {
                Ok(0) => return false,
                Ok(written) => {
                    self.in_line = text.get(written.saturating_sub(1)) != Some(&b'\n');
                    text = text.get(written..).unwrap_or_default();
                }
                Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        true
    }
}
