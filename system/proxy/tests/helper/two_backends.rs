//! A proxy with two backends of one service.

use super::upload_backend::UploadBackend;
use super::{Proxy, SERVICE, TestBed, listed_at};
use std::rc::Rc;

/// A proxy with a backend in its own zone, which is preferred, and a spare one in another zone.
pub struct TwoBackends {
    /// The addresses.
    pub test_bed: TestBed,
    /// The proxy under test.
    pub proxy: Proxy,
    /// The backend in the zone of the proxy.
    pub preferred: Rc<UploadBackend>,
    /// The backend in the other zone.
    pub spare: Rc<UploadBackend>,
}

impl TwoBackends {
    /// Starts all of it on the test bed with this number.
    pub async fn start(number: u8) -> Self {
        let test_bed = TestBed::new(number);
        let preferred = test_bed.upload_backend(1, "preferred").await;
        let spare = test_bed.upload_backend(2, "spare").await;
        let proxy = Proxy::start(&test_bed, &[]).await;
        let list = [(&preferred, "a"), (&spare, "b")]
            .map(|(backend, zone)| listed_at(SERVICE, backend.id(), backend.address(), zone, 0));
        proxy.send_list(1, list.to_vec()).await;
        Self { test_bed, proxy, preferred, spare }
    }

    /// Sends a list with this number in which the spare backend does not stand.
    pub async fn list_only_preferred(&self, number: u64) {
        let backend = &self.preferred;
        let listed = listed_at(SERVICE, backend.id(), backend.address(), "a", 0);
        self.proxy.send_list(number, vec![listed]).await;
    }

    /// Sends a request with a body of this size, and waits for its answer.
    pub async fn request(&self, path: &str, size: usize) -> (u16, String) {
        self.test_bed.upload(path, size).await.expect("a task").expect("an answer")
    }
}
