//! What the kernel tells of a process: `/proc/PID` (proc(5)).

use std::fs;
use std::io;
use std::time::Duration;

/// The largest resident memory of a process so far, in bytes.
///
/// # Errors
/// If the process has ended.
pub fn peak_memory(process: u32) -> io::Result<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = line.and_then(|line| line.trim().strip_suffix("kB")?.trim().parse::<u64>().ok());
    kilobytes.map(|kilobytes| kilobytes * 1024).ok_or_else(|| io::ErrorKind::InvalidData.into())
}

/// Number of open file descriptors of a process.
///
/// # Errors
/// If the process has ended.
pub fn descriptors(process: u32) -> io::Result<usize> {
    Ok(fs::read_dir(format!("/proc/{process}/fd"))?.count())
}

/// Time on a processor of a process's first thread so far.
///
/// # Errors
/// If the process has ended.
pub fn processor_time(process: u32) -> io::Result<Duration> {
    let statistics = fs::read_to_string(format!("/proc/{process}/schedstat"))?;
    let nanoseconds = statistics.split_whitespace().next().and_then(|time| time.parse().ok());
    nanoseconds.map(Duration::from_nanos).ok_or_else(|| io::ErrorKind::InvalidData.into())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_figures_of_this_process_are_at_least_what_it_uses() {
        let me = std::process::id();
        let held = vec![1_u8; 64 << 20];
        let files: Vec<fs::File> =
            (0..10).map(|_| fs::File::open("/proc/self/stat").expect("a file")).collect();
        assert!(peak_memory(me).expect("memory") >= held.len() as u64);
        assert!(descriptors(me).expect("descriptors") >= files.len());
        assert!(processor_time(me).expect("time") > Duration::ZERO);
    }
}
